#!/usr/bin/env bash
exec bash "$(dirname "$0")/../run-case.sh" lost-answer "$(dirname "$0" | xargs realpath)"
