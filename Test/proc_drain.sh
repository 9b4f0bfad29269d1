#!/usr/bin/env bash
# Every node of a running fleet is replaced, one after the other, under
# load with answers longer than the drain: no answer is cut, none is lost.
set -eu
. Tools/fleet.sh
trap fleet_stop EXIT

wait_gone() { # NAME
    local pid
    pid=$(fleet_pid "$1")
    while kill -0 "$pid" 2>/dev/null; do
        sleep 0.05
    done
}

DRAIN_MS=1000 ENGINE_FLAGS="--step-us 15000" fleet_start 3 4 4
export DRAIN_MS=1000
# shellcheck disable=SC2046
"$bin/carobench" load $(fleet_node_flags) --rate 12 --seconds 12 --tokens 200 \
    --json "$fleet_dir/load.json" >"$fleet_dir/load.txt" &
load=$!
sleep 1
for i in 1 2 3 4; do
    if [ $((i % 2)) = 0 ]; then
        fleet_kill "n$i" TERM
    else
        "$bin/caro" --at "$(fleet_http $((i % 4 + 1)))" drain "n$i"
    fi
    wait_gone "n$i"
    fleet_start_node "$i"
    sleep 1.5
done
status=0
wait "$load" || status=$?
cat "$fleet_dir/load.txt"
[ "$status" -eq 0 ] || { echo "FAILED: tokens"; exit 1; }
[ "$(fleet_field cut)" = 0 ] || { echo "FAILED: an answer was cut"; exit 1; }
[ "$(fleet_field lost)" = 0 ] || { echo "FAILED: a generation was lost"; exit 1; }
[ "$(fleet_field whole)" -gt 50 ] || { echo "FAILED: few answers"; exit 1; }
echo "every node was replaced"
