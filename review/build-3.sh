#!/usr/bin/env bash
# Builds the stand-ins and scripts of the third review, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases-3 review/cases-3.rs
