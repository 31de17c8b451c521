#!/usr/bin/env bash
# Runs the Sprungfloor fleet on loopback under mixed traffic with a target that fails some requests, a drain and a
# graceful restart, and checks the guarantees. Usage: scripts/demo.sh [--base PORT] [--seconds N] [--seed N]
# Exit status: 0 when every guarantee holds, 1 when one is violated, 2 for invalid options or a failed start.
set -euo pipefail
cd "$(dirname "$0")/.."
base=21000
seconds=60
seed=1
while [ $# -gt 0 ]; do
    case "$1" in
    --base) base=$2 ;;
    --seconds) seconds=$2 ;;
    --seed) seed=$2 ;;
    *) sed -n '2,4s/^# //p' "$0"; exit 2 ;;
    esac
    shift 2 || { echo "demo: the last option has no value" >&2; exit 2; }
done
[[ "$base$seconds$seed" =~ ^[0-9]+$ ]] && [ "$seconds" -ge 40 ] && [ "$base" -le 65000 ] ||
    { echo "demo: PORT and N must be numbers; --seconds is at least 40 and --base at most 65000" >&2; exit 2; }
build=$PWD/build
dir=$PWD/out/demo
rm -rf "$dir"
mkdir -p "$dir"
programs=(buckthorncroft buckthorncroft-load standin-target standin-platform)
scripts/install-packages.sh
cmake --preset dev >/dev/null
cmake --build --preset dev -j3 -t "${programs[@]}" >"$dir/build.log" || { tail -20 "$dir/build.log"; exit 2; }
. scripts/fleet.sh
trap fleet_stop EXIT
trap 'exit 2' INT TERM
gray=5    # number of the bookdesk target that fails 30 % of its requests
drained=2 # number of the stockboard target that is drained
restarted=3 # number of the entry instance that is restarted gracefully

start_load() {
    local n options=()
    for ((n = 1; n <= entry_count; n++)); do
        options+=(--entry "127.0.0.1:$(caller_port "$n")" --ready "127.0.0.1:$(operators_port "$n")")
    done
    launch load "$build/buckthorncroft-load" "${options[@]}" --duration "$seconds" --seed "$seed" --deadline-ms 2000 \
        --retry-unknown --json "$dir/load.json" \
        --stream 'stockboard:GET:/availability?bytes=4000:60' --stream quotebook:GET:/quotes:100 \
        --stream bookdesk:GET:/lookup:60 --stream bookdesk:POST:/bookings:40:400:keyed \
        --stream plandrop:PUT:/plans:3:3000000
}

# Records the request counts of the bookdesk targets once per second: time in ms, count of the gray target, sum of all.
watch_gray() {
    local values total
    while sleep 1; do
        mapfile -t values < <(service_values bookdesk requests)
        total=$(IFS=+; echo $((${values[*]})))
        echo "$(date +%s%3N) ${values[gray - 1]} $total"
    done >"$dir/gray.txt"
}

# Prints the seconds from the fault until the start of the first 2 seconds in which the gray target received less than
# 5 % of its fair share.
detection_time() {
    awk -v start="$1" -v targets="${target_count[bookdesk]}" '
        { time[NR] = $1; gray[NR] = $2; all[NR] = $3 }
        END {
            for (n = 1; n + 2 <= NR; n++) {
                share = all[n + 2] - all[n] > 0 ? (gray[n + 2] - gray[n]) * targets / (all[n + 2] - all[n]) : 1
                if (time[n] >= start && share < 0.05) { printf "%.1f\n", (time[n] - start) / 1000; exit }
            }
            print "none"
        }' "$dir/gray.txt"
}

broken=0
# Prints one checked guarantee: description, value, 1 when it holds.
promise() {
    local word=kept
    [ "$3" = 1 ] || { word=BROKEN; broken=1; }
    printf '  %-46s %-12s %s\n' "$1" "$2" "$word"
}
sum() { awk '{ s += $1 } END { print s + 0 }'; }
total() { sed -n "s/^total.* $1=\([0-9]*\).*/\1/p" "$dir/load.log"; }

echo "demo: starting 37 targets and $entry_count entry instances, ports from $base, seed $seed"
fleet_start
start_load
sleep 10
gray_since=$(date +%s%3N)
http_call POST "$(target_port bookdesk $gray)" /control/fault '{"kind":"wrong","share":0.3}' >/dev/null
echo "demo: bookdesk-$gray now fails 30 % of its requests"
watch_gray &
fleet_pids[watch]=$!
sleep 10
http_call POST "$(target_port stockboard $drained)" /control/drain >/dev/null
echo "demo: stockboard-$drained is drained"
signal "entry-$restarted" TERM
echo "demo: entry-$restarted stops gracefully"
entry_status=0
reap "entry-$restarted" || entry_status=$?
start_entry $restarted
echo "demo: entry-$restarted exited with status $entry_status and is restarted"
load_status=0
reap load || load_status=$?
signal watch TERM || true
reap watch || true

cat "$dir/load.log"
for service in "${services[@]}"; do
    for ((n = 1; n <= target_count[$service]; n++)); do http_call GET "$(target_port "$service" "$n")" /control/keys; done
done | awk 'NF == 2 && $2 ~ /^[0-9]+$/ { runs[$1] += $2 }
    END { for (key in runs) if (runs[key] > 1) doubled++; print length(runs), doubled + 0 }' >"$dir/keys.txt"
read -r bookings doubled <"$dir/keys.txt"
cut=$(($(total broken) + $(total truncated) + $(total refused)))
uploads_cut=$(service_values plandrop uploads_cut | sum)
after_drain=$(target_value stockboard $drained requests_after_drain)
received=$(for service in "${services[@]}"; do service_values "$service" requests; done | sum)
detected=$(detection_time "$gray_since")
echo
echo "guarantees ($bookings bookings run, $(total requests) requests, $received received by targets)"
promise "bookings run more than once" "$doubled" $((doubled == 0 && bookings > 0))
promise "wrong responses" "$(total wrong)" $(($(total wrong) == 0 && load_status == 0))
promise "interrupted requests" "$cut" $((cut == 0))
promise "interrupted uploads at targets" "$uploads_cut" $((uploads_cut == 0))
promise "requests to the drained target after 3 s" "$after_drain" $((after_drain == 0))
promise "status of the gracefully stopped entry" "$entry_status" $((entry_status == 0))
promise "attempts per request at most 1.1" "$received/$(total requests)" $((received * 10 <= $(total requests) * 11))
promise "gray target detected (goal 10 s), seconds" "$detected" "$([ "$detected" = none ] && echo 0 || echo 1)"
exit $broken
