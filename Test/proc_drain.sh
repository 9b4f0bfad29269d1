#!/usr/bin/env bash
# Guards against streams that are cut or lost when a node is stopped as
# planned.  Every node of a loaded fleet is drained and replaced in turn, while
# the streams take longer than the drain timeout and so must be handed over.
set -eu
. Tools/fleet.sh
trap fleet_stop EXIT

wait_exit() { # NAME
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
    wait_exit "n$i"
    fleet_start_node "$i"
    sleep 1.5
done
status=0
wait "$load" || status=$?
cat "$fleet_dir/load.txt"
[ "$status" -eq 0 ] || {
    echo "FAILED: token faults or generations given up, see above"
    exit 1
}
[ "$(fleet_field cut)" = 0 ] || { echo "FAILED: a stream was cut"; exit 1; }
[ "$(fleet_field lost)" = 0 ] || {
    echo "FAILED: a generation was lost"
    exit 1
}
[ "$(fleet_field whole)" -gt 50 ] || {
    echo "FAILED: 50 or fewer generations were complete"
    exit 1
}
echo "all nodes replaced without loss"
