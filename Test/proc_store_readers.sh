#!/usr/bin/env bash
# Checks the readers of the store in a fleet of 42 gateways as processes.  It
# guards against VMs that all call the store, against configurations and
# draining upstreams that VMs learn late while the readers of a domain are
# frozen, and against upstreams that are lost in an outage of the store.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

gateways=42

fail() {
    echo "FAILED: $1"
    for i in $(seq 1 "$gateways"); do
        echo "g$i $(state "$i" store_role) $(state "$i" config_revision)"
    done
    grep -h "store" "$fleet_dir"/g*.log | tail -n 20
    exit 1
}

state() { # I KEY
    "$bin/carobench" get "$(gateway_metrics "$1")" /state 2>/dev/null |
        sed -n "s/.*\"$2\":\"\{0,1\}\([^\",]*\).*/\1/p"
}

# Prints the numbers of the gateways with a role.
with_role() { # ROLE
    local i
    for i in $(seq 1 "$gateways"); do
        [ "$(state "$i" store_role)" != "$1" ] || echo "$i"
    done
}

store_calls() {
    "$bin/carobench" get "$(gateway_registry)" /fault | sed 's/calls //'
}

# Prints the milliseconds until the last of the gateways logged the text.
logged_ms() { # TEXT SINCE_MS GATEWAY...
    local text=$1 since=$2 i at last=0
    shift 2
    for i in "$@"; do
        at=$(grep -m 1 "$text" "$fleet_dir/g$i.log" | cut -d' ' -f1)
        [ -n "$at" ] || return 1
        at=$(($(date -d "$at" +%s%N) / 1000000 - since))
        [ "$at" -le "$last" ] || last=$at
    done
    echo "$last"
}

gateway_fleet_start 2 "$gateways" 1
sleep 3

echo "== two VMs of each domain read the store"
readers=$(with_role reader)
[ "$(echo "$readers" | wc -l)" -eq 4 ] || fail "readers: $readers"
for _ in $(seq 1 100); do
    followers=$(with_role follower | wc -l)
    [ "$followers" -lt $((gateways - 4)) ] || break
    sleep 0.2
done
[ "$followers" -eq $((gateways - 4)) ] || fail "$followers followers"
before=$(store_calls)
sleep 5
used=$(($(store_calls) - before))
echo "store calls in 5 s: $used"
# 4 readers with a read a second and a watch each 3 s, 42 renewals each 20 s,
# and the engine's and the two order services' renewals each 1.2 s: 60.
[ "$used" -le 100 ] || fail "$used calls in 5 s"

echo "== a configuration reaches all VMs, also when readers are frozen"
all=$(seq 1 "$gateways")
# It does not fit in a datagram, and is fetched over TCP.
accounts='{"name":"yard","api_keys":["key-1"]}'
for i in $(seq 1 200); do
    accounts="$accounts,{\"name\":\"a$i\",\"api_keys\":[\"another-key-$i\"]}"
done
since=$(($(date +%s%N) / 1000000))
gateway_config 2 "$accounts"
sleep 3.2
# shellcheck disable=SC2086
took=$(logged_ms "applied. version=2 " "$since" $all) || fail "not applied by all"
echo "applied after ms: $took"
[ "$took" -le 3000 ] || fail "the slowest VM took $took ms"
frozen=$(for i in $readers; do
    [ "$(fleet_domain "$i")" != d1 ] || echo "$i"
done)
for i in $frozen; do fleet_kill "g$i" STOP; done
# The readers of the domain are asked and do not answer.
sleep 0.3
since=$(($(date +%s%N) / 1000000))
gateway_config 3
fleet_fault "$(gateway_target 1)" "leave=1"
sleep 3.2
others=$(comm -23 <(echo "$all" | sort) <(echo "$frozen" | sort))
for text in "applied. version=3 " "registered. .* leaving=1"; do
    # shellcheck disable=SC2086
    took=$(logged_ms "$text" "$since" $others) || fail "not all log $text"
    echo "$text after ms: $took"
    [ "$took" -le 3000 ] || fail "the slowest VM took $took ms"
done
for i in $frozen; do fleet_kill "g$i" CONT; done

echo "== all VMs use readers again"
for _ in $(seq 1 100); do
    followers=$(with_role follower | wc -l)
    [ "$followers" -lt $((gateways - 4)) ] || break
    sleep 0.2
done
[ "$followers" -eq $((gateways - 4)) ] || fail "$followers followers"
echo "== the store is unavailable"
fleet_fault "$(gateway_registry)" "deaf=1"
sleep 6
for i in 1 2 3 4 5 6; do
    ! gateway_is_ready "$i" ||
        fail "g$i is ready with an unconfirmed configuration"
done
fleet_fault "$(gateway_registry)" "deaf=0"
# shellcheck disable=SC2046
gateway_wait_ready $(seq 1 "$gateways")
sleep 3
! grep -h "An upstream was removed" "$fleet_dir"/g*.log ||
    fail "an upstream was removed because of the outage"
echo "all checks of the readers passed"
