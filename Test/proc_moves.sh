#!/usr/bin/env bash
# Guards against a rollout that exposes too many requests to a faulty version
# or does not complete with a good one.  The operator requests a rollout to
# each; the first must be rolled back by the canary test, the second must
# complete on schedule and leave the old version without requests.  One gateway
# is killed during each rollout.
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

# Prints the rollout's outcome from the store.
outcome() {
    "$bin/carobench" get "$(gateway_registry)" \
        "/kv-key?key=status/rollout/desk" 2>/dev/null |
        sed -n 's/.*"value":"\([^"]*\)".*/\1/p' | base64 -d 2>/dev/null || true
}

# Waits for an outcome and prints how long that took.
wait_outcome() { # TEXT TENTHS
    local tries=0
    until outcome | grep -q "$1"; do
        tries=$((tries + 1))
        [ "$tries" -lt "$2" ] ||
            fail "no $1 within $2 tenths of a second: $(outcome)"
        sleep 0.1
    done
    echo "$1 after about $tries tenths of a second"
}

# Prints the number of requests executed by an order service.
requests_run() { # I
    "$bin/carobench" get "$(gateway_desk "$1")" /fault | sed -n 's/^total //p'
}

gateway_fleet_start 2 4 2
desk_count=6
gateway_start_desk 3 v2
gateway_start_desk 4 v2
gateway_start_desk 5 v3
gateway_start_desk 6 v3

echo "== rollout to a version that fails 40% is rolled back"
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
after=$(($(requests_run 3) + $(requests_run 4)))
wait "$load" || { cat "$fleet_dir/load.txt"; fail "load during the rollout"; }
cat "$fleet_dir/load.txt"
bad=$(($(requests_run 3) + $(requests_run 4)))
all=$((bad + $(requests_run 1) + $(requests_run 2) +
    $(requests_run 5) + $(requests_run 6)))
echo "requests at the faulty version: $bad of $all"
[ "$bad" -eq "$after" ] ||
    fail "the faulty version got requests after the rollback"
# At most a tenth of the requests and 50 more may be exposed (move_share and
# move_slack in the settings).
[ $((10 * bad)) -le $((all + 500)) ] ||
    fail "too many requests were exposed to the faulty version"

echo "== rollout to a good version completes on schedule"
gateway_start 2
gateway_wait_ready 2
before=$(($(requests_run 5) + $(requests_run 6)))
gateway_load --seconds 9 --seed 22 --workers 40 >"$fleet_dir/load.txt" &
load=$!
gateway_write op/rollout/desk '{"service":"desk","target":"v3","duration_s":6}'
sleep 1
fleet_kill g1 KILL
wait_outcome '"completed","target":"v3"' 50
old=$(($(requests_run 1) + $(requests_run 2)))
sleep 1
[ "$old" -ge $(($(requests_run 1) + $(requests_run 2) - 15)) ] ||
    fail "the old version still gets requests"
wait "$load" || { cat "$fleet_dir/load.txt"; fail "load during the rollout"; }
cat "$fleet_dir/load.txt"
[ $(($(requests_run 5) + $(requests_run 6))) -gt $((before + 100)) ] ||
    fail "the new version got too few requests"
echo "both rollouts ended as expected"
