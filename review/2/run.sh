#!/usr/bin/env bash
exec bash "$(dirname "$0")/../run-case.sh" many-services "$(dirname "$0" | xargs realpath)"
