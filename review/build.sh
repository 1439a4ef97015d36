#!/usr/bin/env bash
# Builds the stand-ins of the cases. The daemon is built by the `build` line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
