#!/usr/bin/env bash
# Guards against a gateway whose memory is used up by responses that many callers
# do not read: each response has a bound, and all together have one.
set -eu
# A sanitizer keeps freed memory, which would be measured.
BIN=build
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

memory_mb=36
callers=450

limited_settings() {
    gateway_settings 1
    sed -i "s/\"bounds\"/\"limits\":{\"memory_mb\":$memory_mb,\
\"descriptors\":2048},\"bounds\"/" "$fleet_dir/g1.json"
}

gateway_fleet_start 1 1 1
fleet_kill o1 KILL
fleet_kill g1 KILL
limited_settings
fleet_run g1 "$bin/carobloftd" --gateway "$fleet_dir/g1.json"
address=127.0.0.1:$((fleet_base + 390))
fleet_run endless "$bin/carofake" endless --listen "$address" --name success
gateway_write servers/p-1 "{\"service\":\"desk\",\"address\":\"$address\",
\"zone\":\"d1\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\"}"
gateway_wait_ready 1
sleep 2
front=$(gateway_front 1)
ulimit -n 2048
for n in $(seq 1 "$callers"); do
    exec {fd}<>"/dev/tcp/${front%:*}/${front#*:}"
    printf 'POST /l/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n' \
        "x$n" >&"$fd"
done
sleep 6
kill -0 "$(fleet_pid g1)" 2>/dev/null || {
    echo "FAILED: the gateway ended"
    exit 1
}
peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' \
    "/proc/$(fleet_pid g1)/status")
served=$(wc -l <"$fleet_dir/endless.log")
echo "peak $peak kB with $served responses"
[ "$served" -ge $((callers / 2)) ] || {
    echo "FAILED: only $served responses began"
    exit 1
}
[ "$peak" -le $((memory_mb * 1024)) ] || {
    echo "FAILED: $peak kB, the VM has $((memory_mb * 1024))"
    exit 1
}
