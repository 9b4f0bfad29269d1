#!/usr/bin/env bash
# Checks a fleet of gateways, as processes with fakes of the platform, under
# failures of upstreams, of the store and of the gateways, and with malformed
# requests.  It guards against events that are missing, repeated or wrong,
# orders executed twice, requests reported as not executed that were, revoked
# API keys that are accepted, and streams cut by a planned stop.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

fail() {
    echo "FAILED: $1"
    for log in "$fleet_dir"/g*.log; do tail -n 3 "$log"; done
    exit 1
}

# Prints the number of requests in progress at an engine.
requests_in_progress() { # I
    "$bin/carobench" get "$(gateway_target "$1")" /fault |
        sed -n 's/^running //p'
}

# Waits until a request with the API key gets the status.
wait_status() { # KEY STATUS SECONDS
    local tries=0
    until [ "$(call_with_key "$1")" = "$2" ]; do
        tries=$((tries + 1))
        [ "$tries" -lt $((10 * $3)) ] ||
            fail "key $1: no status $2 within $3 s"
        sleep 0.1
    done
}

# Sends one idempotent request with an API key; prints the status.
call_with_key() { # KEY
    send_raw 1 "GET /l/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: k$RANDOM\r\nX-Deadline-Ms: 2000\r\nX-Api-Key: $1\r\nConnection: close\r\n\r\n" |
        sed -n '1s/HTTP.1.1 \([0-9]*\).*/\1/p'
}

# Sends raw bytes to a gateway and prints the response received within 2 s.
send_raw() { # I BYTES
    local address
    address=$(gateway_front "$1")
    exec 9<>"/dev/tcp/${address%:*}/${address#*:}"
    # shellcheck disable=SC2059
    printf "$2" >&9
    timeout 2 cat <&9 || true
    exec 9>&-
}

gateway_fleet_start 2 4 6

echo "== load without faults"
gateway_load --seconds 3 --seed 11 || fail "load without faults"

echo "== load while an engine is killed, one is frozen, responses are lost"
fleet_fault "$(gateway_desk 1)" "lose=0.2&fail=0.1"
fleet_fault "$(gateway_target 2)" "torn=0.3"
gateway_load --seconds 6 --seed 12 --workers 20 >"$fleet_dir/load.txt" &
load=$!
sleep 1
fleet_kill t1 KILL
sleep 1
fleet_kill t3 STOP
sleep 1
gateway_start_target 1
sleep 1
fleet_kill t3 CONT
wait "$load" || { cat "$fleet_dir/load.txt"; fail "load under faults"; }
cat "$fleet_dir/load.txt"
fleet_fault "$(gateway_desk 1)" "lose=0&fail=0"
fleet_fault "$(gateway_target 2)" "torn=0"

echo "== load while every gateway is restarted"
gateway_load --seconds 12 --seed 13 >"$fleet_dir/load.txt" &
load=$!
for i in 1 2 3 4; do
    sleep 0.5
    fleet_kill "g$i" TERM
    pid=$(fleet_pid "g$i")
    for _ in $(seq 1 100); do
        kill -0 "$pid" 2>/dev/null || break
        sleep 0.1
    done
    kill -0 "$pid" 2>/dev/null && fail "g$i did not stop in 10 s"
    gateway_start "$i"
    gateway_wait_ready "$i"
done
wait "$load" || {
    cat "$fleet_dir/load.txt"
    fail "load while gateways were restarted"
}
cat "$fleet_dir/load.txt"
grep -q "gone_on=0 .* failed=0 " "$fleet_dir/load.txt" ||
    fail "a planned stop cut a stream or failed a request"

echo "== API keys are added and revoked"
wait_status key-1 200 5
wait_status key-2 401 5
gateway_config 2 '{"name":"yard","api_keys":["key-2"]}'
wait_status key-2 200 3
wait_status key-1 401 3
gateway_config 3
wait_status key-1 200 3

echo "== the last client account is removed"
gateway_config 4 ' '
wait_status key-1 401 3
wait_status key-2 401 3
wait_status "" 401 3
gateway_config 5
wait_status key-1 200 3

echo "== an upstream drains right after the store compacted its history"
fleet_fault "$(gateway_registry)" "forget=1"
fleet_fault "$(gateway_target 4)" "leave=1"
sleep 2.5
gateway_load --seconds 3 --seed 14 >"$fleet_dir/load.txt" &
load=$!
for _ in 1 2 3 4 5; do
    sleep 0.5
    [ "$(requests_in_progress 4)" = 0 ] ||
        fail "a draining upstream gets requests"
done
wait "$load" || {
    cat "$fleet_dir/load.txt"
    fail "load after the compaction"
}

echo "== the store is unavailable"
fleet_fault "$(gateway_registry)" "deaf=1"
gateway_load --seconds 2 --seed 15 ||
    fail "load in the first 2 s of the outage"
sleep 4
[ "$(call_with_key key-1)" = 503 ] ||
    fail "a key is accepted with an unconfirmed configuration"
[ "$(call_with_key none)" = 503 ] ||
    fail "a key is rejected with an unconfirmed configuration"
gateway_is_ready 1 &&
    fail "a gateway with an unconfirmed configuration is ready"
fleet_fault "$(gateway_registry)" "deaf=0"
wait_status key-1 200 4
gateway_wait_ready 1 2 3 4
gateway_load --seconds 2 --seed 16 || fail "load after the outage"

echo "== requests with ambiguous framing are rejected"
head='POST /o/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: raw\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 900\r\n'
inner='POST /o/y HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: inner\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n'
for framing in 'Content-Length: 3\r\nContent-Length: 3' \
    'Transfer-Encoding: gzip, chunked' 'Content-Length : 3' \
    'Content-Length: +3' 'Content-Length: 3\r\nTransfer-Encoding: chunked' \
    'X-A: b\r\n c' 'X-A: b\nX-B: c'; do
    got=$(send_raw 1 "$head$framing\r\n\r\n$inner" |
        grep -a -c "^HTTP" || true)
    first=$(send_raw 1 "$head$framing\r\n\r\n$inner" | head -1)
    case $first in
    *" 400 "*) [ "$got" -le 1 ] || fail "$framing: $got responses" ;;
    *) fail "$framing: not status 400: $first" ;;
    esac
done
for i in 1 2; do
    ran=$("$bin/carobench" get "$(gateway_desk "$i")" "/ran?id=inner")
    [ "${ran%%[!0-9]*}" = 0 ] || fail "a smuggled request was executed"
done

echo "== a caller's time beyond all bounds is that of the route"
first=$(send_raw 1 'GET /l/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: far\r\nX-Deadline-Ms: 999999999999999999\r\nX-Api-Key: key-1\r\nConnection: close\r\n\r\n' | head -1)
case $first in
*" 200 "*) ;;
*) fail "a time of 18 digits: $first, expected status 200" ;;
esac

echo "== connections with incomplete request heads are closed"
address=$(gateway_front 2)
for n in $(seq 1 300); do
    exec {fd}<>"/dev/tcp/${address%:*}/${address#*:}"
    printf 'GET /l/x HTTP/1.1\r\nHost:' >&"$fd"
    fds[n]=$fd
done
gateway_load --seconds 2 --seed 17 ||
    fail "load beside incomplete request heads"
open=$("$bin/carobench" get "$(gateway_metrics 2)" /state |
    sed 's/.*"connections":\([0-9]*\).*/\1/')
for n in $(seq 1 300); do
    fd=${fds[n]}
    exec {fd}>&-
done
[ "$open" -lt 100 ] ||
    fail "$open connections are open, expected fewer than 100"
echo "all gateway checks passed"
