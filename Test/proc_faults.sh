#!/usr/bin/env bash
# Guards against tokens that are missing, repeated or from another generation,
# and against callers that get no response, when engines, nodes or a whole
# failure domain are killed or frozen (stopped and continued) under load.
set -eu
. Tools/fleet.sh
trap fleet_stop EXIT

# Runs a load, causes a fault after some seconds by a command, and checks the
# result of the load.
under_fault() { # TITLE SECONDS COMMAND...
    local title=$1 wait=$2 status=0
    shift 2
    "$bin/carobench" load $(fleet_node_flags) --rate 40 --seconds 4 --tokens 150 \
        --prompt-groups 64 \
        --json "$fleet_dir/load.json" >"$fleet_dir/load.txt" &
    local load=$!
    sleep "$wait"
    "$@"
    wait "$load" || status=$?
    echo "== $title"
    cat "$fleet_dir/load.txt"
    check "$title" "$status"
}

check() { # TITLE STATUS
    if [ "$2" -ne 0 ] || [ "$(fleet_field lost)" != 0 ] ||
        [ "$(fleet_field whole)" -lt 10 ]; then
        echo "FAILED: $1"
        tail -5 "$fleet_dir"/n*.log
        exit 1
    fi
}

kill_engine() { fleet_kill e1 KILL; }
freeze_engine() { fleet_freeze e2 2; }
kill_node() { fleet_kill n1 KILL; }
freeze_node() { fleet_freeze n2 3; }
freeze_domain() { # Domain d2 consists of engines 1, 4 and nodes 1, 4.
    local name
    for name in e1 e4 n1 n4; do
        fleet_kill "$name" STOP
    done
    sleep 4
    for name in e1 e4 n1 n4; do
        fleet_kill "$name" CONT
    done
}
kill_both() { fleet_kill e3 KILL; fleet_kill n3 KILL; }

ENGINE_FLAGS="--step-us 10000" fleet_start 3 6 6
under_fault "engine killed" 1.5 kill_engine
fleet_start_engine 1
under_fault "engine frozen, then continued" 1.5 freeze_engine
under_fault "node killed" 1.5 kill_node
fleet_start_node 1
under_fault "node frozen, then continued" 1.5 freeze_node
under_fault "failure domain frozen, then continued" 1.5 freeze_domain
under_fault "engine and node killed" 1.5 kill_both
echo "all faults passed"
