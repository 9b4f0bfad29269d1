#!/usr/bin/env bash
# Checks a fleet of gateways with upstreams that limit their requests a second:
# all VMs together stay within the limit, use it in full, and end with it, also
# while VMs are restarted and frozen.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

LIMIT=6
VMS=6

fail() {
    echo "FAILED: $1"
    for log in "$fleet_dir"/g*.log; do tail -n 3 "$log"; done
    exit 1
}

limit_value() { # I FIELD
    "$bin/carobench" get "$(gateway_desk "$1")" /fault |
        sed -n "s/^$2 //p"
}

# The most requests in 4 s are one and a half times the allowance and 5 more.
check_limit() { # I LEAST_PERCENT
    local most=$((LIMIT * 6 + 5)) got arrived ms
    got=$(limit_value "$1" window_max)
    arrived=$(limit_value "$1" arrived)
    ms=$(limit_value "$1" in_ms)
    echo "o$1: window_max=$got (bound $most) arrived=$arrived in_ms=$ms"
    [ "$got" -le "$most" ] || fail "o$1 got $got requests in 4 s, bound $most"
    [ $((arrived * 100000)) -ge $((LIMIT * ms * $2)) ] ||
        fail "o$1 got $arrived requests in $ms ms, limit $LIMIT a second"
}

gateway_fleet_start 2 $VMS 2

echo "== two limited upstreams under more requests than they take"
fleet_fault "$(gateway_desk 1)" "limit=$LIMIT"
fleet_fault "$(gateway_desk 2)" "limit=$LIMIT"
gateway_load --seconds 14 --seed 31 --workers 40 >"$fleet_dir/load.txt" &
load=$!
sleep 13
check_limit 1 70
check_limit 2 70
wait "$load" || { cat "$fleet_dir/load.txt"; fail "load under limits"; }
cat "$fleet_dir/load.txt"

echo "== the same while VMs are restarted, killed and frozen"
gateway_load --seconds 16 --seed 32 --workers 40 >"$fleet_dir/load.txt" &
load=$!
sleep 1
fleet_kill g1 TERM
fleet_kill g2 KILL
gateway_start 2
sleep 1
fleet_kill g3 STOP
sleep 3
fleet_kill g3 CONT
sleep 4
gateway_start 1
sleep 6
check_limit 1 50
check_limit 2 50
wait "$load" || { cat "$fleet_dir/load.txt"; fail "load and restarts"; }
cat "$fleet_dir/load.txt"

echo "== one upstream ends its limit: requests go where there is room"
fleet_fault "$(gateway_desk 1)" "limit=0"
gateway_load --seconds 4 --seed 33 --workers 40 >"$fleet_dir/load.txt" ||
    { cat "$fleet_dir/load.txt"; fail "load when a limit ends"; }
gateway_load --seconds 4 --seed 34 --workers 40 >"$fleet_dir/load.txt" ||
    { cat "$fleet_dir/load.txt"; fail "load after the end of a limit"; }
cat "$fleet_dir/load.txt"
grep -q "refused=0 " "$fleet_dir/load.txt" ||
    fail "requests were refused although an upstream has no limit"
check_limit 2 0
echo "all checks of limits passed"
