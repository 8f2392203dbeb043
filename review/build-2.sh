#!/bin/bash
# Builds the stand-ins of the cases 6 to 10: one program without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand-ins review/harness-2/main.rs
