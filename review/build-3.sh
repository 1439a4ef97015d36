#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start (cases 11 to 15). Needs only rustc.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O review/standin-3/main.rs -o target/review-3/cases
