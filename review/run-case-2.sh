#!/usr/bin/env bash
# Runs a case of the second review: run-case-2.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
standin=$root/target/review-2/standin
program=$root/target/release/passway-instance
if [ ! -x "$standin" ] || [ ! -x "$program" ]; then
    echo "build the program of the deploy file, then run review/build-2.sh" >&2
    exit 2
fi
folder=$(mktemp -d)
clean() {
    # Only processes of this case that its stand-in did not end.
    for file in "$folder"/*.pid; do
        if [ -e "$file" ]; then kill -9 "$(cat "$file")" 2>/dev/null; fi
    done
    rm -rf "$folder"
}
trap clean EXIT
timeout 110 "$standin" "$1" "$root" "$folder" "$2/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
