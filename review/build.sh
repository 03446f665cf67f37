#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs only the compiler that the project needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-standin review/standin.rs
