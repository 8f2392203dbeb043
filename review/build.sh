#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in this folder; needs the Rust toolchain only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/harness/main.rs -o target/review/harness
