#!/usr/bin/env bash
# The operator orders moves of traffic to a bad and to a good version: the
# first is taken back by evidence and reaches few, the second is done in its
# time and from then on serves alone.  One gateway is killed in each.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

fail() {
    echo "FAILED: $1"
    grep -h moves: "$fleet_dir"/g*.log | tail -n 12
    for i in 1 2 3 4; do
        "$bin/carobench" get "$(gateway_metrics "$i")" /state 2>/dev/null |
            grep -o '"moves.*' || true
    done
    cat "$fleet_dir/load.txt" 2>/dev/null || true
    exit 1
}

# What the store says of the move.
outcome() {
    "$bin/carobench" get "$(gateway_registry)" \
        "/kv-key?key=status/rollout/desk" 2>/dev/null |
        sed -n 's/.*"value":"\([^"]*\)".*/\1/p' | base64 -d 2>/dev/null || true
}

# Waits for an outcome and prints after how many tenths of a second.
wait_outcome() { # TEXT TENTHS
    local tries=0
    until outcome | grep -q "$1"; do
        tries=$((tries + 1))
        [ "$tries" -lt "$2" ] || fail "no $1 in $2 tenths: $(outcome)"
        sleep 0.1
    done
    echo "$1 after about $tries tenths of a second"
}

total() { # I
    "$bin/carobench" get "$(gateway_desk "$1")" /fault | sed -n 's/^total //p'
}

gateway_fleet_start 2 4 2
desk_count=6
gateway_start_desk 3 v2
gateway_start_desk 4 v2
gateway_start_desk 5 v3
gateway_start_desk 6 v3

echo "== a version that fails 40% is taken back"
fleet_fault "$(gateway_desk 3)" "fail=0.4"
fleet_fault "$(gateway_desk 4)" "fail=0.4"
gateway_write op/rollout/desk '{"service":"desk","target":"v2","duration_s":10}'
wait_outcome '"in_progress"' 30
gateway_load --seconds 10 --seed 21 --workers 40 >"$fleet_dir/load.txt" &
load=$!
sleep 0.5
fleet_kill g2 KILL
wait_outcome '"rolled_back"' 60
sleep 1.5
after=$(($(total 3) + $(total 4)))
wait "$load" || { cat "$fleet_dir/load.txt"; fail "the load"; }
cat "$fleet_dir/load.txt"
bad=$(($(total 3) + $(total 4)))
all=$((bad + $(total 1) + $(total 2) + $(total 5) + $(total 6)))
echo "requests at the bad version: $bad of $all"
[ "$bad" -eq "$after" ] || fail "the version got work after it was taken back"
# Exposed may be a tenth of the requests, and 50 more.
[ $((10 * bad)) -le $((all + 500)) ] || fail "too many met the bad version"

echo "== a good version is done in its time"
gateway_start 2
gateway_wait_ready 2
before=$(($(total 5) + $(total 6)))
gateway_load --seconds 9 --seed 22 --workers 40 >"$fleet_dir/load.txt" &
load=$!
gateway_write op/rollout/desk '{"service":"desk","target":"v3","duration_s":6}'
sleep 1
fleet_kill g1 KILL
wait_outcome '"completed","target":"v3"' 50
old=$(($(total 1) + $(total 2)))
sleep 1
[ "$old" -ge $(($(total 1) + $(total 2) - 15)) ] ||
    fail "the old version still gets work"
wait "$load" || { cat "$fleet_dir/load.txt"; fail "the load"; }
cat "$fleet_dir/load.txt"
[ $(($(total 5) + $(total 6))) -gt $((before + 100)) ] ||
    fail "the new version does not serve"
echo "both moves ended as they should"
