#!/usr/bin/env bash
# Brings back failures that need a machine with far too much to do: whole suites at once, beside busy loops.
#
#   tests/four-suites.sh BINARY OUT [SUITES]
#
# BINARY is the test binary that `cargo test -p passway --test all --no-run` names. What each suite prints goes to OUT; at
# the end stands how many suites each test failed in. It is no measure: waits that do not come about may lack nothing but time.
set -eu
binary=$1 out=$2 suites=${3:-4}
loops=8 loop_s=100
mkdir -p "$out"
cd "$(dirname "$0")/.."
export CARGO_MANIFEST_DIR=$PWD RUST_TEST_THREADS=16
for _ in $(seq "$loops"); do
    (
        end=$((SECONDS + loop_s))
        while [ "$SECONDS" -lt "$end" ]; do :; done
    ) &
done
running=()
for number in $(seq "$suites"); do
    "$binary" >"$out/$number.out" 2>&1 &
    running+=($!)
done
for suite in "${running[@]}"; do wait "$suite" || true; done
grep -h '^test result' "$out"/*.out
grep -hE '^test [a-z_]+::.* FAILED$' "$out"/*.out | sort | uniq -c | sort -rn || true
