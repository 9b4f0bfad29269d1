#!/usr/bin/env bash
# Guards against a rollout to a failing version that is not rolled back at
# every node, and against one to a good version that does not complete on
# schedule or cannot be rolled back by the operator afterwards.
set -eu
. Tools/fleet.sh
trap fleet_stop EXIT

caro() { "$bin/caro" --at "$(fleet_http 2)" "$@"; }

# Waits until "caro dep" shows a state.
wait_state() { # PATTERN
    local i
    for i in $(seq 1 150); do
        if caro dep | grep -q "$1"; then
            return 0
        fi
        sleep 0.2
    done
    echo "FAILED: dep does not show $1 after 150 tries"
    caro dep
    tail -3 "$fleet_dir"/n*.log
    exit 1
}

ENGINE_FLAGS="--step-us 4000" fleet_start 3 3 3 3
# Engines 4 to 6 run version v2, which responds with errors.
for i in 4 5 6; do
    fleet_fault "$(fleet_engine $i)" "fail=0.7"
done
# shellcheck disable=SC2046
"$bin/carobench" load $(fleet_node_flags) --rate 60 --seconds 30 --tokens 30 \
    --json "$fleet_dir/load.json" >"$fleet_dir/load.txt" &
load=$!
caro mv chat v2 by +40s
wait_state UNDONE
caro dep
# Every node reports the reason, not only the one that decided.
"$bin/caro" --at "$(fleet_http 3)" why chat | tee "$fleet_dir/why.txt"
grep -q 'taken back' "$fleet_dir/why.txt" || {
    echo "FAILED: why does not report the rollback"
    exit 1
}
for i in 4 5 6; do
    fleet_fault "$(fleet_engine $i)" "fail=0"
done
caro mv chat v2 by +12s
wait_state "v2 .*done"
caro dep
# A completed rollout can be rolled back as well.
caro undo chat
wait_state "v1 .*UNDONE"
status=0
wait "$load" || status=$?
cat "$fleet_dir/load.txt"
[ "$status" -eq 0 ] || {
    echo "FAILED: token faults or generations given up, see above"
    exit 1
}
echo "rollouts ended as expected"
