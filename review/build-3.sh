#!/bin/bash
# Builds the stand-ins that the scripts of this review start. It takes no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/harness review/harness-3/main.rs
