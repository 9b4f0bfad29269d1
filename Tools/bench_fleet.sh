#!/usr/bin/env bash
# Measures what an idle node uses at several fleet sizes, with real processes:
# processor time, memory and network traffic, as a mean over the nodes.
# Usage: Tools/bench_fleet.sh [SIZE ...]
set -eu
cd "$(dirname "$0")/.."
. Tools/fleet.sh
trap fleet_stop EXIT
seconds=15

counter() { sed -n "s/^$2 //p" "$fleet_dir/counters.$1"; }

read_all() {
    local i
    for i in $(seq 1 "$fleet_nodes"); do
        fleet_get "$(fleet_http "$i")" /v1/counters \
            >"$fleet_dir/counters.$i"
    done
}

# Sum of a counter over all nodes.
sum() {
    local i total=0
    for i in $(seq 1 "$fleet_nodes"); do
        total=$((total + $(counter "$i" "$1")))
    done
    echo "$total"
}

memory() {
    local i total=0 kb
    for i in $(seq 1 "$fleet_nodes"); do
        kb=$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' \
            "/proc/$(fleet_pid "n$i")/status")
        total=$((total + kb))
    done
    echo $((total / fleet_nodes))
}

for size in "${@:-13}"; do
    fleet_start 10 "$size" 20 >/dev/null
    sleep 10
    read_all
    cpu=$(sum cpu_us)
    udp=$(sum udp_bytes)
    tcp=$(sum tcp_peer_bytes)
    polls=$(sum load_polls)
    store=$(sum store_calls)
    sleep "$seconds"
    read_all
    div=$((seconds * size))
    echo "nodes $size: cpu $((($(sum cpu_us) - cpu) / div)) us/s," \
        "udp $((($(sum udp_bytes) - udp) / div)) B/s," \
        "peer tcp $((($(sum tcp_peer_bytes) - tcp) / div)) B/s," \
        "polls $(((($(sum load_polls) - polls) * 1000) / div)) /1000 s," \
        "store calls of the fleet $((($(sum store_calls) - store) / seconds))" \
        "/s, memory $(memory) KB"
    fleet_stop
    fleet_base=0
    fleet_dir=$(mktemp -d)
    fleet_reserve
done
