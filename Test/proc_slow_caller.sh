#!/usr/bin/env bash
# A caller that stops reading is let go when the bytes held for it pass the
# bound, and hurts no other.
set -eu
. Tools/fleet.sh
trap fleet_stop EXIT
ENGINE_FLAGS="--step-us 1000 --token-bytes 2000" fleet_start 2 2 1
at=$(fleet_http 1)
body='{"account":"a0","model":"chat","prompt":"x","max_tokens":65536,"stream":true}'
exec 5<>"/dev/tcp/${at%:*}/${at#*:}"
printf 'POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s' \
    "${#body}" "$body" >&5

slow() { fleet_get "$at" /v1/counters | sed -n 's/^callers_too_slow //p'; }

i=0
while [ "$(slow)" = 0 ]; do
    # shellcheck disable=SC2046
    "$bin/carobench" load $(fleet_node_flags) --rate 20 --seconds 0.5 \
        --tokens 20 --json "$fleet_dir/load.json" >"$fleet_dir/load.txt" || {
        echo "FAILED: another caller was hurt"
        cat "$fleet_dir/load.txt"
        exit 1
    }
    i=$((i + 1))
    [ "$i" -lt 100 ] || { echo "FAILED: the slow caller is still held"; exit 1; }
done
memory=$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' \
    "/proc/$(fleet_pid n1)/status")
echo "let go after $i rounds; memory of the node $memory KB"
cat "$fleet_dir/load.txt"
