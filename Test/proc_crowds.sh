#!/usr/bin/env bash
# Guards against a gateway whose memory is used up by callers that send requests
# behind each other without reading, read slowly, or send the beginning of a
# request and nothing more (review case 7): 1, 100 and 1,000 of each kind, beside
# callers that read.  CROWDS="unread:1 ..." plays others.
set -eu
# A sanitizer keeps freed memory, which would be measured.
BIN=build
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

memory_mb=96
seconds=${SECONDS_EACH:-4}
crowds=${CROWDS:-unread:1 unread:100 unread:1000 slow:1 slow:100 slow:1000
    silent:1 silent:100 silent:1000}
ulimit -n 4096

fail() {
    echo "FAILED: $1"
    tail -n 5 "$fleet_dir"/g1.log
    exit 1
}

start_limited() {
    gateway_settings 1
    sed -i "s/\"bounds\"/\"limits\":{\"memory_mb\":$memory_mb,\
\"descriptors\":2870},\"bounds\"/" "$fleet_dir/g1.json"
    fleet_run g1 "$bin/carobloftd" --gateway "$fleet_dir/g1.json"
    gateway_wait_ready 1
}

status_kb() { # FIELD
    sed -n "s/^$1:[^0-9]*\([0-9]*\).*/\1/p" "/proc/$(fleet_pid g1)/status"
}

# Lookups, one after the other, each on a connection of its own: prints how many
# of how many were answered.
send_lookups() { # KIND
    local end=$((SECONDS + seconds - 1)) n=0 answered=0 line address
    address=$(gateway_front 1)
    while [ "$SECONDS" -lt "$end" ]; do
        n=$((n + 1))
        line=""
        if exec 9<>"/dev/tcp/${address%:*}/${address#*:}"; then
            printf 'POST /l/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' \
                "$1-$n" >&9
            IFS= read -r -t 2 line <&9 || true
            exec 9>&-
        fi
        case $line in "HTTP/1.1 200"*) answered=$((answered + 1)) ;; esac
    done
    echo "$answered $n"
}

request='GET /never/x HTTP/1.1'$'\r\n''Host: desk.example'$'\r\n''X-Attempt-Id: look'$'\r\n''X-Deadline-Ms: 2500'$'\r\n''X-Api-Key: key-1'
gateway_fleet_start 1 1 1
fleet_kill g1 KILL
start_limited
echo "at first: $(status_kb VmRSS) kB of $((memory_mb * 1024))"
for crowd in $crowds; do
    "$bin/carobench" crowd "$(gateway_front 1)" "${crowd%:*}" "${crowd#*:}" \
        "$seconds" "$request" >"$fleet_dir/crowd" &
    pid=$!
    sleep 0.5
    read -r answered n <<<"$(send_lookups "${crowd%:*}${crowd#*:}")"
    wait "$pid"
    kill -0 "$(fleet_pid g1)" 2>/dev/null || fail "$crowd: the gateway ended"
    peak=$(status_kb VmHWM)
    echo "$(cat "$fleet_dir/crowd"): peak $peak kB, sound callers $answered of $n"
    [ "$peak" -le $((memory_mb * 1024)) ] ||
        fail "$crowd: $peak kB, the VM has $((memory_mb * 1024))"
    [ "$answered" -ge $((n * 95 / 100)) ] && [ "$n" -ge 20 ] ||
        fail "$crowd: only $answered of $n sound requests were answered"
done
