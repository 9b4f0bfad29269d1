#!/usr/bin/env bash
# Checks that a gateway survives SIGHUP from its first moment on, where the
# process that starts it ignores the signal, and that it reloads its settings on
# a later one.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

STARTS=30

gateway_fleet_start 1 1 1
ended=0
for ((i = 0; i < STARTS; i++)); do
    gateway_start 2
    sleep "0.00$((i % 10))"
    fleet_kill g2 HUP || true
    sleep 0.15
    if kill -0 "$(fleet_pid g2)" 2>/dev/null; then
        fleet_kill g2 KILL
    else
        ended=$((ended + 1))
    fi
    while kill -0 "$(fleet_pid g2)" 2>/dev/null; do sleep 0.02; done
done
echo "ended by an early signal: $ended of $STARTS"
[ "$ended" -eq 0 ]
gateway_start 2
gateway_wait_ready 2
fleet_kill g2 HUP
tries=0
until grep -q "settings were reloaded" "$fleet_dir/g2.log"; do
    tries=$((tries + 1))
    [ "$tries" -lt 100 ] || {
        echo "FAILED: no reload within 10 s"
        exit 1
    }
    sleep 0.1
done
echo "the settings were reloaded by a later signal"
