#!/usr/bin/env bash
# Guards against bytes of an error, or an end that looks complete, in a stream
# whose engine broke off and whose next one answers with something else than
# the rest of it.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

gateway_fleet_start 2 2 4
seed=31
for status in 500 502 404 302 204 200; do
    for i in 1 2 3; do
        fleet_fault "$(gateway_target "$i")" "torn=0.7&resume=$status"
    done
    # One engine serves resumes, so that some streams become whole.
    fleet_fault "$(gateway_target 4)" "torn=0.2&resume=0"
    echo "== resumes are answered with status $status"
    if ! gateway_load --seconds 2 --seed "$seed" --workers 16 \
        >"$fleet_dir/load.txt"; then
        cat "$fleet_dir/load.txt"
        echo "FAILED: load beside resumes with status $status"
        exit 1
    fi
    cat "$fleet_dir/load.txt"
    grep -q ' wrong=0 ' "$fleet_dir/load.txt" || {
        echo "FAILED: foreign events, or an early end, at status $status"
        exit 1
    }
    seed=$((seed + 1))
done
grep -q 'reason="the upstream failed"' "$fleet_dir"/g1.log || {
    echo "FAILED: no resume was answered with an error"
    exit 1
}
echo "no stream had foreign bytes or an early end"
