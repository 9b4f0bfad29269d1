#!/usr/bin/env bash
# Generations under losses of every kind, with real processes: nothing is
# missing, repeated or mixed, and no caller is left without an answer.
set -eu
. Tools/fleet.sh
trap fleet_stop EXIT

# Runs a load while "$3..." brings a loss about after "$2" seconds.
under_fault() {
    local title=$1 wait=$2 status=0
    shift 2
    "$bin/carobench" load $(nodes) --rate 40 --seconds 4 --tokens 150 \
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

nodes() {
    local i
    for i in $(seq 1 "$fleet_nodes"); do
        printf -- '--node %s ' "$(fleet_http "$i")"
    done
}

field() { sed -n "s/.*\"$1\": \([0-9]*\),*/\1/p" "$fleet_dir/load.json" | head -1; }

check() {
    if [ "$2" -ne 0 ] || [ "$(field lost)" != 0 ] ||
        [ "$(field whole)" -lt 10 ]; then
        echo "FAILED: $1"
        tail -5 "$fleet_dir"/n*.log
        exit 1
    fi
}

freeze_for() { # NAME SECONDS
    fleet_kill "$1" STOP
    sleep "$2"
    fleet_kill "$1" CONT
}

kill_engine() { fleet_kill e1 KILL; }
freeze_engine() { freeze_for e2 2; }
kill_node() { fleet_kill n1 KILL; }
freeze_node() { freeze_for n2 3; }
kill_both() { fleet_kill e3 KILL; fleet_kill n3 KILL; }

ENGINE_FLAGS="--step-us 10000" fleet_start 3 6 6
under_fault "engine killed" 1.5 kill_engine
fleet_start_engine 1
under_fault "engine frozen, then back" 1.5 freeze_engine
under_fault "node killed" 1.5 kill_node
fleet_start_node 1
under_fault "node frozen, then back" 1.5 freeze_node
under_fault "engine and node together" 1.5 kill_both
echo "all losses passed"
