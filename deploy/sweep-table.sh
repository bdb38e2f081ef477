#!/usr/bin/env bash
# Turns what sweeps print into the table of docs/CAPACITY.md.
#
#   deploy/sweep-table.sh FILE...
#
# A table for each file, under its name: a line for the worth of each day and one for each resource, with the middle
# and the busiest at each size, the growth of the busiest with the fleet (its power), and what that comes to at the target.
set -eu
for file in "$@"; do
    name=$(basename "$file" .out)
    awk -v name="$name" '
        function cells(from, to,    text, at) {
            text = ""
            for (at = from; at <= to; at++) text = text " " $at " |"
            return text
        }
        /^sweep-[0-9]+ / && $2 ~ /\// {
            size = substr($1, 7)
            sizes = sizes " " size " |"
            rule = rule " --- |"
            worth = worth " " $4 " |"
            served = served " " $5 " |"
            lost = lost " " $6 ", " $7 " |"
        }
        / power +at / {
            printf "### %s\n\n| what |%s power | %s |\n| --- |%s --- | --- |\n", name, sizes, $(NF - 1) " " $NF, rule
            printf "| worth |%s | |\n| served, of one |%s | |\n| refused, failed |%s | |\n", worth, served, lost
            inside = 1
            next
        }
        inside && / \/ / {
            line = $0
            # The name ends where the first figure of two with a stroke between begins.
            match(line, /[0-9.]+ \/ [0-9.]+/)
            what = substr(line, 1, RSTART - 1)
            sub(/ +$/, "", what)
            rest = substr(line, RSTART)
            out = ""
            while (match(rest, /^ *[0-9.]+ \/ [0-9.]+/)) {
                pair = substr(rest, RSTART, RLENGTH)
                gsub(/ /, "", pair)
                sub(/\//, ", ", pair)
                out = out " " pair " |"
                rest = substr(rest, RSTART + RLENGTH)
            }
            split(rest, last, " ")
            printf "| %s |%s %s | %s |\n", what, out, last[1], last[2]
            next
        }
        inside && /^$/ { inside = 0 }
        END { print "" }
    ' "$file"
done
