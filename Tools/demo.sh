#!/usr/bin/env bash
# Shows how a small fleet handles a failure: an engine is killed while it
# generates, and one order is sent.  Then does the same with gateways on the
# platform.  Exits non-zero if a token is missing, repeated or from another
# generation, or if the number of executed orders differs from one.
set -eu
cd "$(dirname "$0")/.."
. Tools/fleet.sh
trap fleet_stop EXIT

ENGINE_FLAGS="--step-us 20000" fleet_start 2 3 2
echo "started: 1 store, 2 engines, 1 order service, 3 nodes in 2 domains"

"$bin/carobench" load --node "$(fleet_http 1)" --rate 4 --seconds 2 \
    --tokens 150 --service desk --json "$fleet_dir/load.json" \
    >"$fleet_dir/load.txt" &
load=$!
"$bin/carobench" order --node "$(fleet_http 2)" --service desk
sleep 2.5
fleet_kill e1 KILL
echo "killed: engine e1, with SIGKILL, while it generated"
status=0
wait "$load" || status=$?
cat "$fleet_dir/load.txt"
runs=$(fleet_get "$(fleet_orders 1)" /audit | sed 's/.*"runs":\([0-9]*\).*/\1/')
echo "orders booked  $runs"
echo
CARO_AT=$(fleet_http 3) "$bin/caro" st
CARO_AT=$(fleet_http 3) "$bin/caro" up
[ "$status" -eq 0 ] || {
    echo "demo: FAILED, token faults or generations given up, see above"
    exit 1
}
[ "$runs" = 1 ] || {
    echo "demo: FAILED, $runs orders were executed, expected 1"
    exit 1
}
grep -q '"whole": 0,' "$fleet_dir/load.json" &&
    { echo "demo: FAILED, no generation was complete"; exit 1; }
fleet_stop

echo
echo "== the same program as a gateway on the users' platform"
. Tools/gateway_fleet.sh
gateway_fleet_start 2 3 4
echo "started: 1 store, 4 engines, 2 order services, 3 gateways in 2 domains"
gateway_load --seconds 4 --seed 1 >"$fleet_dir/load.txt" &
load=$!
sleep 1.5
fleet_kill t1 KILL
echo "killed: engine t1, with SIGKILL, while it generated"
status=0
wait "$load" || status=$?
cat "$fleet_dir/load.txt"
[ "$status" -eq 0 ] || {
    echo "demo: FAILED, load on the gateways, see above"
    exit 1
}
echo "demo: passed"
