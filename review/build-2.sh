#!/usr/bin/env bash
# Builds the stand-ins of the second review, without dependencies and without a network. The program is left below
# target/, beside that of the deploy file's build.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
rustc --edition 2024 -O -o "$root/target/review-2/standin" "$root/review/standin-2/main.rs"
