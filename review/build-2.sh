#!/bin/sh
# Builds the stand-ins of the second review. Needs the Rust toolchain of the deploy file's build only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/driver review/stand-ins-2/main.rs
