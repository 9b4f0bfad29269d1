#!/usr/bin/env bash
# Guards against a caller that stops reading and so uses up a node's memory or
# delays other callers.  It must be disconnected when the bytes buffered for it
# exceed the limit.
set -eu
. Tools/fleet.sh
trap fleet_stop EXIT
ENGINE_FLAGS="--step-us 1000 --token-bytes 2000" fleet_start 2 2 1
at=$(fleet_http 1)
body='{"account":"a0","model":"chat","prompt":"x","max_tokens":65536,"stream":true}'
exec 5<>"/dev/tcp/${at%:*}/${at#*:}"
printf 'POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s' \
    "${#body}" "$body" >&5

slow_callers() {
    fleet_get "$at" /v1/counters | sed -n 's/^callers_too_slow //p'
}

i=0
while [ "$(slow_callers)" = 0 ]; do
    # shellcheck disable=SC2046
    "$bin/carobench" load $(fleet_node_flags) --rate 20 --seconds 0.5 \
        --tokens 20 --json "$fleet_dir/load.json" >"$fleet_dir/load.txt" || {
        echo "FAILED: the load of other callers failed"
        cat "$fleet_dir/load.txt"
        exit 1
    }
    i=$((i + 1))
    [ "$i" -lt 100 ] || {
        echo "FAILED: the slow caller is still connected after 100 loads"
        exit 1
    }
done
memory=$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' \
    "/proc/$(fleet_pid n1)/status")
echo "disconnected after $i loads; memory of the node $memory KB"
cat "$fleet_dir/load.txt"
