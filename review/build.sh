#!/bin/sh
# Builds the stand-ins that the scripts start. The programs themselves come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/standin.rs
