#!/bin/bash
# run-case.sh CASE FOLDER: runs a case of the stand-ins, and ends all processes that it started.
case=$1 folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
for program in target/release/passway-instance target/review/standin; do
  [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build.sh" >&2; exit 2; }
done
scratch=$(mktemp -d) || exit 2
set -m
target/review/standin "$case" "$scratch" "$folder/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$scratch"' EXIT
trap 'exit 2' INT TERM
wait "$group"
