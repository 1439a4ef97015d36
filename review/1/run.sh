#!/usr/bin/env bash
exec bash "$(dirname "$0")/../run-case.sh" refused "$(dirname "$0" | xargs realpath)"
