#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out; the stand-in reads it.
set -u
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
exec ../run-case.sh lost-answer "$PWD"
