#!/usr/bin/env bash
# Guards against orders that are executed twice, or whose caller gets a wrong
# "not run" or "done", when nodes or the order service are killed or frozen,
# responses are lost or the store is unavailable.  The responses to the callers
# are compared with the order service's own counts.
set -eu
. Tools/fleet.sh
trap fleet_stop EXIT

# Sends orders, causes a fault by a command after 1 s, and audits the orders.
under_fault() { # TITLE COMMAND...
    local title=$1
    shift
    # shellcheck disable=SC2046
    "$bin/carobench" load $(fleet_node_flags) --rate 0.001 --seconds 3 --service desk \
        --order-rate 60 --orders-file "$fleet_dir/orders.txt" \
        >"$fleet_dir/load.txt" &
    local load=$!
    sleep 1
    "$@"
    wait "$load" || true
    echo "== $title"
    grep '^order' "$fleet_dir/load.txt"
    "$bin/carobench" audit "$fleet_dir/orders.txt" "$(fleet_orders 1)" || {
        echo "FAILED: $title"
        exit 1
    }
}

kill_node() { fleet_kill n1 KILL; }
freeze_node() { fleet_freeze n2 2; }
freeze_service() { fleet_freeze o1 1; }
lose_responses() { fleet_fault "$(fleet_orders 1)" "lose=0.3"; }
freeze_two() {
    fleet_kill n3 STOP
    fleet_kill n4 STOP
    sleep 1.5
    fleet_kill n3 CONT
    fleet_kill n4 CONT
}
kill_and_restart() {
    fleet_kill n3 KILL
    sleep 0.3
    fleet_start_node 3
}
store_down() { fleet_fault "$(fleet_store)" "down=1"; }

fleet_start 3 5 1
under_fault "no fault" true
under_fault "arbiter or backup killed" kill_node
fleet_start_node 1
under_fault "arbiter or backup frozen, then continued" freeze_node
under_fault "two nodes frozen, then continued" freeze_two
under_fault "a node killed and restarted" kill_and_restart
under_fault "order service frozen" freeze_service
under_fault "responses lost after the order was executed" lose_responses
fleet_fault "$(fleet_orders 1)" "lose=0"
store_down
under_fault "store unavailable throughout, a node killed" kill_node
echo "all faults passed"
