#!/usr/bin/env bash
# Runs a case of the stand-in: `run-case.sh CASE FOLDER`. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/.."
for program in target/release/basilhavend target/review/standin; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
logs=$(mktemp -d)
LOGS="$logs" timeout -k 2 115 target/review/standin "$1" "$2"
code=$?
rm -rf "$logs"
case "$code" in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
