#!/bin/bash
# Builds the stand-ins of the scripts. Needs the Rust toolchain only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target && rustc --edition 2021 -O -o target/review-cases review/standin/cases.rs
