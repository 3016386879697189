#!/bin/sh
# Builds the stand-ins of the cases review/11 to review/15. The project's programs are built by the command of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc -O --edition 2024 -o target/review-3/standin review/11/standin/main.rs
