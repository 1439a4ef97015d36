#!/usr/bin/env bash
exec bash "$(dirname "$0")/../run-case.sh" abort "$(dirname "$0" | xargs realpath)"
