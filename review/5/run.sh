#!/usr/bin/env bash
exec bash "$(dirname "$0")/../run-case.sh" bad-version "$(dirname "$0" | xargs realpath)"
