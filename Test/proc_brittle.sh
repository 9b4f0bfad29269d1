#!/usr/bin/env bash
# Checks a fleet of gateways with upstreams that fall over when rejections press
# them, under more requests than they have room for, while VMs are restarted,
# killed and frozen.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

VMS=${VMS:-6}
SEED=${SEED:-41}
export DESK_WORK_MS=60
# Of three upstreams, as the platform judges one time in which they say so.
FALLS_MAX=2

fail() {
    echo "FAILED: $1"
    for log in "$fleet_dir"/g*.log; do tail -n 3 "$log"; done
    exit 1
}

desk_value() { # I FIELD
    "$bin/carobench" get "$(gateway_desk "$1")" /fault | sed -n "s/^$2 //p"
}

sum_desks() { # FIELD
    local i sum=0
    for i in 1 2 3; do
        sum=$((sum + $(desk_value "$i" "$1")))
    done
    echo "$sum"
}

fault_desks() { # QUERY
    local i
    for i in 1 2 3; do
        fleet_fault "$(gateway_desk "$i")" "$1"
    done
}

gateway_fleet_start 3 "$VMS" 2

echo "== brittle upstreams with two slots under more than their room"
fault_desks "slots=2&queue=8"
sleep 1
gateway_load --seconds 16 --seed "$SEED" --workers 60 \
    >"$fleet_dir/load.txt" &
load=$!
sleep 2
fault_desks "slots=2&queue=8&brittle=5"
sleep 3
fault_desks "slots=2&queue=1&brittle=5"
before=$(sum_desks total)
sleep 4
after=$(sum_desks total)
fleet_kill g1 TERM
fleet_kill g2 KILL
gateway_start 2
sleep 1
fleet_kill g3 STOP
sleep 2
fleet_kill g3 CONT
wait "$load" || { cat "$fleet_dir/load.txt"; fail "load on brittle upstreams"; }
cat "$fleet_dir/load.txt"
falls=$(sum_desks falls)
rate=$(((after - before) / 4))
echo "falls=$falls (bound $FALLS_MAX) rejected=$(sum_desks rejected) run_per_s=$rate"
[ "$falls" -le "$FALLS_MAX" ] || fail "$falls falls, bound $FALLS_MAX"
# Six slots run 100 requests of 60 ms a second.
[ "$rate" -ge 50 ] || fail "only $rate requests a second were run"

echo "== the upstreams are sound again"
fault_desks "slots=0&brittle=0"
gateway_load --seconds 3 --seed $((SEED + 1)) --workers 20 >"$fleet_dir/load.txt" ||
    { cat "$fleet_dir/load.txt"; fail "load after the brittle time"; }
echo "proc_brittle passed"
