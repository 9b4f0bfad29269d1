#!/usr/bin/env bash
# Checks "caro where" at a real gateway: where an order and a stream would go,
# refusals and errors with their exit statuses, that nothing is counted or sent,
# and that no line is longer than 40 columns.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

out=$fleet_dir/where.txt

fail() {
    echo "FAILED: $1"
    cat "$out"
    for log in "$fleet_dir"/g*.log; do tail -n 3 "$log"; done
    exit 1
}

# Asks a gateway and checks the exit status and a text in the output.
where() { # STATUS TEXT GATEWAY OPTIONS...
    local status=0 wanted=$1 text=$2 gateway=$3
    shift 3
    timeout 30 "$bin/caro" where --gateway "$gateway" "$@" >"$out" 2>&1 ||
        status=$?
    echo "== where $*"
    cat "$out"
    [ "$status" -eq "$wanted" ] || fail "exit status $status, not $wanted"
    tr '\n' ' ' <"$out" | sed 's/  */ /g' | grep -q -- "$text" ||
        fail "the output lacks: $text"
    if grep -nE '^.{41,}$' "$out"; then
        fail "a line is longer than 40 columns"
    fi
}

# Counters of requests and placements, which an explanation must not change.
counters() {
    "$bin/carobench" get "$(gateway_metrics 1)" /metrics |
        grep -E '^(requests|relays|refused|unauthorized|no_route|malformed|placements)' ||
        true
}

gateway_fleet_start 1 1 2
g1=$(gateway_metrics 1)
desk=(--host desk.example --key key-1)
counters >"$fleet_dir/before.txt"
grep -q '^requests ' "$fleet_dir/before.txt" || fail "no counter of requests"

where 0 "goes to o1-" "$g1" "${desk[@]}" --path /o/1 --method POST
where 0 "service chat" "$g1" "${desk[@]}" --path /s/1 --tokens 8200 \
    --parts ab:4000,cd:4200
where 0 "account yard" "$g1" --host desk.example --account yard --path '/o/1?a=b c'
where 1 "no route matches" "$g1" --host other.example --key key-1 --path /o/1
where 1 "API key is unknown" "$g1" --host desk.example --key none --path /o/1
where 2 "path must begin" "$g1" "${desk[@]}" --path o/1
where 2 "parts is not" "$g1" "${desk[@]}" --path /s/1 --parts xyz
where 2 "usage: caro where" "$g1" --host desk.example
where 2 "gateway names no" nowhere "${desk[@]}" --path /o/1
where 2 "unexpected argument" "$g1" "${desk[@]}" --path /o/1 \
    an-argument-that-is-much-longer-than-a-line
where 0 "goes to o1-" "localhost:${g1##*:}" "${desk[@]}" --path /o/1
where 1 "no response" "$(gateway_metrics 40)" "${desk[@]}" --path /o/1
where 1 "not a gateway" "$(gateway_registry)" "${desk[@]}" --path /o/1

echo "== as JSON"
"$bin/caro" where --gateway "$g1" "${desk[@]}" --path /o/1 --json >"$out" ||
    fail "exit status with --json"
grep -q '"target": "o1-' "$out" || fail "no target in the JSON"

counters >"$fleet_dir/after.txt"
cmp "$fleet_dir/before.txt" "$fleet_dir/after.txt" ||
    fail "explanations changed counters"
! grep -q "A request" "$fleet_dir/g1.log" || fail "a request was logged"

echo "== an order that follows goes where the explanation says"
gateway_load --seconds 2 --seed 41 --workers 2 >"$out" || fail "load"
where 0 "goes to o1-" "$g1" "${desk[@]}" --path /o/1
where 0 "age: load [0-9]* ms" "$g1" "${desk[@]}" --path /o/1

echo "== a VM without a configuration"
fleet_kill registry KILL
fleet_kill g1 KILL
sleep 0.3
gateway_start 1
for _ in $(seq 1 50); do
    "$bin/carobench" get "$g1" /state >/dev/null 2>&1 && break
    sleep 0.1
done
where 1 "no configuration" "$g1" "${desk[@]}" --path /o/1
echo "all checks of explanations passed"
