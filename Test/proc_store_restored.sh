#!/usr/bin/env bash
# Checks a fleet of gateways, as processes with fakes of the platform, while the
# store is restored from an older copy.  It guards against configurations that
# come back older or are never in force again, revoked API keys that are
# accepted, upstreams that get no requests or get them after they left, VMs
# that refuse everything, and VMs that are not registered any more.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

gateways=4

fail() {
    echo "FAILED: $1"
    for i in $(seq 1 "$gateways"); do
        echo "g$i $("$bin/carobench" get "$(gateway_metrics "$i")" /state |
            head -c 400)"
        grep -h -E "registry:|config:" "$fleet_dir/g$i.log" | tail -n 8
    done
    exit 1
}

# Sends one idempotent request to a gateway with an API key; prints the status.
call_with_key() { # I KEY
    local address
    address=$(gateway_front "$1")
    exec 9<>"/dev/tcp/${address%:*}/${address#*:}"
    printf 'GET /l/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: k%s\r\nX-Deadline-Ms: 2000\r\nX-Api-Key: %s\r\nConnection: close\r\n\r\n' \
        "$RANDOM" "$2" >&9
    timeout 3 cat <&9 | sed -n '1s/HTTP.1.1 \([0-9]*\).*/\1/p' || true
    exec 9>&-
}

# Waits until each gateway gives a key the status.
wait_status() { # KEY STATUS SECONDS
    local i end=$((SECONDS + $3))
    for i in $(seq 1 "$gateways"); do
        until [ "$(call_with_key "$i" "$1")" = "$2" ]; do
            [ "$SECONDS" -lt "$end" ] ||
                fail "g$i: key $1 has no status $2 within $3 s"
            sleep 0.1
        done
    done
}

# Checks that each gateway gives a key one of two statuses.
check_status() { # KEY STATUS OTHER
    local i got
    for i in $(seq 1 "$gateways"); do
        got=$(call_with_key "$i" "$1")
        [ "$got" = "$2" ] || [ "$got" = "$3" ] ||
            fail "g$i: key $1 gets $got, expected $2 or $3"
    done
}

state() { # I KEY
    "$bin/carobench" get "$(gateway_metrics "$1")" /state |
        sed -n "s/.*\"$2\":\"\{0,1\}\([^\",]*\).*/\1/p"
}

key_2='{"name":"yard","api_keys":["key-2"]}'
key_3='{"name":"yard","api_keys":["key-3"]}'

gateway_fleet_start 2 "$gateways" 3
wait_status key-1 200 5

echo "== a revoked key stays revoked while the store has the older copy"
fleet_fault "$(gateway_registry)" "copy=1"
gateway_config 2 "$key_2"
wait_status key-1 401 4
fleet_fault "$(gateway_registry)" "down=1"
sleep 1
fleet_fault "$(gateway_registry)" "down=0&restore=1"
for _ in 1 2 3 4; do
    check_status key-1 401 503
    sleep 0.3
done
for i in $(seq 1 "$gateways"); do
    [ "$(state "$i" store_timeline)" = 1 ] ||
        fail "g$i has not noticed the restoration"
done
gateway_config 2 "$key_2"
wait_status key-2 200 5
wait_status key-1 401 1

echo "== configurations are in force again, though their numbers are known"
gateway_config 3 "$key_3"
wait_status key-3 200 3
wait_status key-2 401 1

echo "== a gateway that starts beside the copy learns the version of others"
gateway_config 4
wait_status key-1 200 3
fleet_fault "$(gateway_registry)" "copy=1"
gateway_config 5 "$key_2"
wait_status key-2 200 3
wait_status key-1 401 1
fleet_kill g4 KILL
fleet_fault "$(gateway_registry)" "restore=1"
gateway_start 4
sleep 2
check_status key-1 401 503
gateway_config 5 "$key_2"
wait_status key-2 200 6

echo "== a second restoration within the recovery from the first"
gateway_config 6
wait_status key-1 200 3
fleet_fault "$(gateway_registry)" "copy=1"
sleep 1
fleet_fault "$(gateway_registry)" "restore=1"
sleep 0.2
fleet_fault "$(gateway_registry)" "restore=1"
gateway_config 6
wait_status key-1 200 5
gateway_load --seconds 3 --seed 32 ||
    fail "load after two restorations"

echo "== an upstream that left after the copy was made gets no requests"
fleet_fault "$(gateway_registry)" "copy=1"
fleet_fault "$(gateway_target 3)" "leave=1"
sleep 2.5
fleet_fault "$(gateway_registry)" "restore=1"
gateway_config 6
gateway_load --seconds 3 --seed 33 >"$fleet_dir/load.txt" &
load=$!
for _ in 1 2 3 4 5; do
    sleep 0.5
    running=$("$bin/carobench" get "$(gateway_target 3)" /fault |
        sed -n 's/^running //p')
    [ "$running" = 0 ] || fail "an upstream that leaves gets requests"
done
wait "$load" || {
    cat "$fleet_dir/load.txt"
    fail "load beside an upstream that leaves"
}
gateway_wait_ready $(seq 1 "$gateways")
for i in $(seq 1 "$gateways"); do
    grep -q "restored from an older copy" "$fleet_dir/g$i.log" ||
        fail "g$i did not log the restorations"
done
echo "all checks of the restored store passed"
