#!/usr/bin/env bash
# Runs plays beside each other, as far as the machine's thread ids carry them.
#
#   deploy/plays.sh LIST OUT
#
# LIST has a play a line: its name, the thread ids that it takes at most, its command. What each prints goes to
# OUT/NAME.out, and a line to OUT/plays.log when it begins and ends. A play begins once the ids in use and those that
# plays under way may still take leave room for it, in the order of the list among those that fit. Nothing is ended.
set -eu
list=$1 out=$2
mkdir -p "$out"
# A tenth stays free: what is not counted here wants some too.
limit=$(($(cat /proc/sys/kernel/pid_max) * 9 / 10))
# So many plays at once, whatever their threads: one a processor, less one.
most=${MOST_PLAYS:-$(($(nproc) - 1))}
declare -A pid=() ids=() begun=()

in_use() { cut -d' ' -f4 /proc/loadavg | cut -d/ -f2; }
say() { echo "$(date +%T) $*" >>"$out/plays.log"; }

# Thread ids that plays under way may take in all.
promised() {
    local sum=0 name
    for name in "${!pid[@]}"; do sum=$((sum + ids[$name])); done
    echo "$sum"
}

reap() {
    local name status
    for name in "${!pid[@]}"; do
        if ! kill -0 "${pid[$name]}" 2>/dev/null; then
            status=0
            wait "${pid[$name]}" || status=$?
            say "$name ended with $status, $(($(date +%s) - begun[$name])) s"
            unset "pid[$name]" "ids[$name]" "begun[$name]"
        fi
    done
}

mapfile -t plays < <(grep -v '^ *\(#\|$\)' "$list")
# What runs here besides takes its part of the limit too.
others=$(in_use)
while [ ${#plays[@]} -gt 0 ] || [ ${#pid[@]} -gt 0 ]; do
    reap
    for at in "${!plays[@]}"; do
        read -r name need command <<<"${plays[$at]}"
        taken=$(promised)
        used=$(in_use)
        if [ ${#pid[@]} -lt "$most" ] && [ $((others + taken + need)) -le "$limit" ] && [ $((used + need)) -le "$limit" ]; then
            bash -c "$command" >"$out/$name.out" 2>&1 &
            pid[$name]=$! ids[$name]=$need begun[$name]=$(date +%s)
            say "$name begins, $used ids in use, $((taken + need)) promised"
            unset "plays[$at]"
        fi
    done
    sleep 2
done
say "all have ended"
