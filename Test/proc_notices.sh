#!/usr/bin/env bash
# Checks a fleet of gateways with upstreams that announce that they leave, that
# want no requests for some time, and that write earlier refusals once more, and
# with a store that has entries which cannot be read.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

VMS=4

fail() {
    echo "FAILED: $1"
    for log in "$fleet_dir"/g*.log; do tail -n 3 "$log"; done
    exit 1
}

fault_value() { # ADDRESS FIELD
    "$bin/carobench" get "$1" /fault | sed -n "s/^$2 //p"
}

load() { # SECONDS SEED WHAT
    gateway_load --seconds "$1" --seed "$2" --workers 24 \
        >"$fleet_dir/load.txt" ||
        { cat "$fleet_dir/load.txt"; fail "$3"; }
    cat "$fleet_dir/load.txt"
}

gateway_fleet_start 3 $VMS 3

echo "== entries that cannot be read, in lists and watches"
fleet_fault "$(gateway_registry)" "odd=1"
fleet_fault "$(gateway_registry)" "forget=1"
gateway_config 2
gateway_start_target 4
target_count=4
sleep 1
for i in $(seq 1 $VMS); do
    grep -q "upstream was registered. id=t4" "$fleet_dir/g$i.log" ||
        fail "g$i did not follow the store beside odd entries"
    grep -q "A configuration was applied. version=2" "$fleet_dir/g$i.log" ||
        fail "g$i did not read the configuration beside odd entries"
done
load 4 41 "load beside odd entries"

echo "== refusals that are written once more on kept connections"
for i in 1 2 3; do
    fleet_fault "$(gateway_desk "$i")" "refuse=0.3&repeat=0.3"
done
load 8 42 "load beside repeated refusals"
repeats=0
for i in 1 2 3; do
    repeats=$((repeats + $(fault_value "$(gateway_desk "$i")" repeats)))
    fleet_fault "$(gateway_desk "$i")" "refuse=0&repeat=0"
done
echo "repeats=$repeats"
[ "$repeats" -gt 10 ] || fail "only $repeats refusals were repeated"

echo "== an upstream that wants no requests for 4 s"
fleet_fault "$(gateway_desk 1)" "unavailable=4"
load 4 43 "load beside an upstream that wants no requests"
late=$(fault_value "$(gateway_desk 1)" late)
echo "late=$late"
[ "$late" -le $((2 * VMS)) ] || fail "$late requests came in that time"

echo "== an order service and an engine announce that they leave"
fleet_fault "$(gateway_desk 2)" "announce=1"
fleet_fault "$(gateway_target 2)" "announce=1"
load 5 44 "load beside upstreams that announce that they leave"
for address in "$(gateway_desk 2)" "$(gateway_target 2)"; do
    late=$(fault_value "$address" late)
    echo "late=$late"
    # Each VM may send one before it has read the announcement.
    [ "$late" -le "$VMS" ] || fail "$late requests came after it was announced"
done

echo "== all order services announce it: refused, and served by a new one"
for i in 1 3; do fleet_fault "$(gateway_desk "$i")" "announce=1"; done
gateway_load --seconds 3 --seed 45 --workers 24 >"$fleet_dir/load.txt" || true
cat "$fleet_dir/load.txt"
grep -q "wrong=0 " "$fleet_dir/load.txt" || {
    cat "$fleet_dir/load.txt"
    fail "wrong answers when all order services leave"
}
gateway_start_desk 4
desk_count=4
sleep 1
load 4 46 "load with a new order service"
echo "all checks of notices passed"
