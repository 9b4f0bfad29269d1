#!/usr/bin/env bash
# Measures the processor time per 1,000 tokens of two nodes (one serves the
# streams, the other keeps the replicas of their journals) and of a plain byte
# relay under the same load, and the time between tokens with a direct
# connection, through the relay and through the nodes.
set -eu
cd "$(dirname "$0")/.."
. Tools/fleet.sh
trap fleet_stop EXIT

cpu_of() { fleet_get "$(fleet_http "$1")" /v1/counters | sed -n 's/^cpu_us //p'; }
tokens() { sed -n 's/.*"tokens": \([0-9]*\),*/\1/p' "$fleet_dir/$1.json"; }
gap() { grep -E '^(first_token|gap)' "$fleet_dir/$1.txt" | sed 's/^/    /'; }

run_load() { # NAME FLAGS
    local name=$1
    shift
    "$bin/carobench" load --rate "$rate" --seconds 10 --tokens 200 \
        --json "$fleet_dir/$name.json" "$@" >"$fleet_dir/$name.txt"
}

rate=${RATE:-40}
ENGINE_FLAGS="--step-us 15000 --sequence-us 20 --batch 512" \
    fleet_start 2 2 1
relay=127.0.0.1:$((fleet_base + 350))
fleet_run relay "$bin/carobench" relay "$relay" "$(fleet_engine 1)"
sleep 1
run_load direct --node "$(fleet_http 1)" --direct "$(fleet_engine 1)"
run_load relay --node "$(fleet_http 1)" --direct "$relay"
fleet_kill relay TERM
sleep 0.3
relay_us=$(sed -n 's/^cpu_us //p' "$fleet_dir/relay.log")
before=$(($(cpu_of 1) + $(cpu_of 2)))
start=$(date +%s%N)
run_load nodes --node "$(fleet_http 1)" --node "$(fleet_http 2)"
after=$(($(cpu_of 1) + $(cpu_of 2)))
end=$(date +%s%N)
# The processor time of two idle nodes, measured after the load, is subtracted.
sleep 1
idle_before=$(($(cpu_of 1) + $(cpu_of 2)))
sleep 5
idle=$((($(cpu_of 1) + $(cpu_of 2) - idle_before) / 5))
elapsed=$(((end - start) / 1000000000))
used=$((after - before - idle * elapsed))
echo "tokens relay $(tokens relay), nodes $(tokens nodes)"
echo "relay: $((relay_us * 1000 / $(tokens relay))) us per 1,000 tokens"
echo "nodes: $((used * 1000 / $(tokens nodes))) us per 1,000 tokens," \
    "idle $idle us/s for two"
echo "ratio: $((used * 100 / $(tokens nodes) * $(tokens relay) / relay_us))%"
echo "  direct"
gap direct
echo "  through the relay"
gap relay
echo "  through the nodes"
gap nodes
