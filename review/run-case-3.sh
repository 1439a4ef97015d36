#!/usr/bin/env bash
# Runs the script of one case: run-case-3.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run. Ends all processes that it started.
cd "$(dirname "$0")/.." || exit 2
for program in target/review-3/cases target/release/basilhavend; do
    if [ ! -x "$program" ]; then
        echo "$program is not built" >&2
        exit 2
    fi
done
# The crowds of three cases, and the daemon beside them, need more descriptors than many shells allow.
ulimit -Sn 10000 2>/dev/null
if [ "$(ulimit -Sn)" != unlimited ] && [ "$(ulimit -Sn)" -lt 8000 ]; then
    echo "the limit on descriptors is $(ulimit -Sn)" >&2
    exit 2
fi
timeout -k 2 115 target/review-3/cases "$1" "$2/record.txt"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
