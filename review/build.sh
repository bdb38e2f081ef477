#!/bin/bash
# Builds the stand-ins of the cases, with the standard library only, into target/review/standin.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
