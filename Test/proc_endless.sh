#!/usr/bin/env bash
# Guards against a gateway that keeps what a faulty upstream sends without end:
# each kind of such bytes, from an upstream of a plain service and from one of
# streams, beside sound ones.  The gateway has the memory of the smallest VM, and
# the requests of other callers have to be served.
set -eu
# A sanitizer keeps freed memory, which would be measured.
BIN=build
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

memory_kb=$((96 * 1024))
kinds="line status-line headers header empty-lines interim failure
failure-length not-found refusal chunks extension trailers foreign others
unsealed success success-length comments comment event no-events"

fail() {
    echo "FAILED: $1"
    tail -n 5 "$fleet_dir"/g1.log
    exit 1
}

register() { # ID SERVICE ADDRESS STATE
    gateway_write "servers/$1" "{\"service\":\"$2\",\"address\":\"$3\",
\"zone\":\"d1\",\"version\":\"v1\",\"slots\":64,\"state\":\"$4\"}"
}

peak_kb() { # of g1
    sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$(fleet_pid g1)/status"
}

# Sends lookups and streams at once, and prints how many were answered.
send_requests() { # KIND COUNT
    local i path tokens address
    address=$(gateway_front 1)
    for i in $(seq 1 "$2"); do
        path=/l/x
        tokens=""
        [ $((i % 2)) -eq 0 ] || {
            path=/s/x
            tokens='X-Token-Usage: 10,5\r\n'
        }
        {
            exec 9<>"/dev/tcp/${address%:*}/${address#*:}"
            # shellcheck disable=SC2059
            printf "POST $path HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: $1-$i\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 1500\r\n${tokens}Content-Length: 0\r\nConnection: close\r\n\r\n" >&9
            # A success without an end is as long as the caller reads.
            timeout 3 head -c 20000 <&9 | head -1 | tr -d '\r'
        } >"$fleet_dir/answer.$i" &
    done
    wait
    cat "$fleet_dir"/answer.* | grep -c '^HTTP/1.1' || true
    rm -f "$fleet_dir"/answer.*
}

gateway_fleet_start 1 1 2
start=$(peak_kb)
last=$start
port=$((fleet_base + 320))
for kind in $kinds; do
    port=$((port + 1))
    address=127.0.0.1:$port
    fleet_run "e-$kind" "$bin/carofake" endless --listen "$address" \
        --name "$kind"
    register "p-$kind" desk "$address" ready
    register "s-$kind" chat "$address" ready
    sleep 1
    answered=$(send_requests "$kind" 24)
    kill -0 "$(fleet_pid g1)" 2>/dev/null ||
        fail "the gateway ended behind the kind $kind"
    peak=$(peak_kb)
    echo "$kind: $answered of 24 answered, peak ${peak} kB"
    [ "$peak" -le "$memory_kb" ] ||
        fail "$kind: $peak kB, the smallest VM has $memory_kb"
    [ -s "$fleet_dir/e-$kind.log" ] ||
        fail "$kind: no request went to the faulty upstream"
    [ "$answered" -ge 22 ] || fail "$kind: only $answered were answered"
    register "p-$kind" desk "$address" draining
    register "s-$kind" chat "$address" draining
    fleet_kill "e-$kind" KILL
    last=$peak
done
gateway_load --seconds 2 --seed 41 || fail "load behind all kinds"
echo "peak $last kB, $start kB before"
