#!/bin/sh
# Builds the stand-ins and the test of each case, with the machine's Rust compiler alone. Run it from anywhere, after
# the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*; do
    rustc --edition 2021 -O --crate-name "case_$(basename "$case")" \
        -o "target/review/case-$(basename "$case")" "$case/case.rs"
done
