#!/usr/bin/env bash
# Guards against a configuration that is not applied because a name, a key or
# a list in it is long (review/4): the upstreams of the old service must not
# run requests that were sent after the bound, on routes with and without API
# keys.  It also checks that long names reach upstreams and the store as they
# are, and that a configuration that cannot be read ends what the one before
# it allowed until there is another.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

fail() {
    echo "FAILED: $1"
    for log in "$fleet_dir"/g*.log; do tail -n 5 "$log"; done
    exit 1
}

long_text() { # SIZE LETTER
    printf "%$(($1 - 1))s$2" '' | tr ' ' n
}

# Settings as those of a fleet, with names of VMs and domains of 50 bytes.
long_settings() { # I
    gateway_settings "$1"
    sed -i "s/\"vm\":\"g$1\"/\"vm\":\"$(long_text 49 g)$1\"/
        s/\"domain\":\"[^\"]*\"/\"domain\":\"$zone\"/" "$fleet_dir/g$1.json"
    fleet_run "g$1" "$bin/carobloftd" --gateway "$fleet_dir/g$1.json"
}

start_desk() { # I NAME SERVICE VERSION
    fleet_run "o$1" "$bin/carofake" target --listen "$(gateway_desk "$1")" \
        --name "$2" --registry "$(gateway_registry)" --domain "$zone" \
        --service "$3" --work-ms 5 --version "$4"
    gateway_wait_up "$(gateway_desk "$1")"
}

route() { # NAME PREFIX KIND MORE
    printf '{"name":"%s","host":"%s","path_prefix":"/%s/","kind":"%s",' \
        "$1" "$host" "$2" "$3"
    printf '"timeout_ms":1500,"max_attempts":2,%s}' "$4"
}

write_config() { # VERSION ROUTES TENANTS
    gateway_write op/config "{\"version\":$1,\"routes\":[$2],\"services\":[],
\"tenants\":[$3],\"limits\":{\"max_header_bytes\":8192,
\"max_body_bytes\":100000,\"header_timeout_ms\":700,\"idle_timeout_ms\":3000}}"
}

# Sends an order; prints the status and, on the next line, Retry-After.
order() { # I PREFIX KEY ID
    local address
    address=$(gateway_front "$1")
    exec 9<>"/dev/tcp/${address%:*}/${address#*:}"
    printf 'POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\nX-Api-Key: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' \
        "$2" "$host" "$4" "$3" >&9
    timeout 2 cat <&9 | tr -d '\r' |
        sed -n '1s/HTTP.1.1 \([0-9]*\).*/\1/p; s/^Retry-After: //p' || true
    exec 9>&-
}

status() { order "$@" | head -1; }

# Waits until an order at each gateway gets the status.
wait_status() { # STATUS PREFIX KEY
    local i tries
    for i in 1 2; do
        tries=0
        until [ "$(status "$i" "$2" "$3" "w$RANDOM$RANDOM")" = "$1" ]; do
            tries=$((tries + 1))
            [ "$tries" -lt 40 ] ||
                fail "/$2/ at g$i: not status $1 within 4 s"
            sleep 0.1
        done
    done
}

requests_run() { # I...
    local i sum=0
    for i in "$@"; do
        sum=$((sum + $(fleet_get "$(gateway_desk "$i")" /fault |
            sed -n 's/^total //p')))
    done
    echo "$sum"
}

host=desk.example
zone=$(long_text 50 z)
service=$(long_text 150 s)
key=$(long_text 300 k)
prefix=$(long_text 400 p)
account="Carpenters of Sesvete and Dubrava, Zagreb $(long_text 200 t)"
commit=$(printf 'commit' | sha256sum | cut -c1-40)
next_commit=$(printf 'next' | sha256sum | cut -c1-40)
gateway_count=2
fleet_domains=1
yard='{"name":"yard","api_keys":["key-1"]}'

fleet_run registry "$bin/carofake" registry --listen "$(gateway_registry)"
gateway_wait_up "$(gateway_registry)"
write_config 1 "$(route r o non_idempotent '"service":"old"'),
$(route p free non_idempotent '"service":"old","public":true')" "$yard"
start_desk 1 old-1 old v1
start_desk 2 "$(long_text 192 i)" "$service" "$commit"
long_settings 1
long_settings 2
gateway_wait_ready 1 2
for i in 1 2; do gateway_wait_listed "$i" 2; done
[ "$(status 1 o key-1 a1)" = 200 ] || fail "no order is served at first"

echo "== a version moves both routes and has long names"
host=$(long_text 200 h)
split=$(for i in 1 2 3 4 5 6 7 8 9; do
    printf '{"service":"none-%d","weight":0},' "$i"
done)
moved="\"traffic_split\":[$split{\"service\":\"$service\",\"weight\":1}]"
host=desk.example
routes="$(route r o non_idempotent "$moved"),
$(route p free non_idempotent "$moved,\"public\":true"),
$(route "$(long_text 100 r)" "$prefix" non_idempotent "$moved")"
host=$(long_text 200 h)
routes="$routes,$(route h o non_idempotent "$moved")"
host=desk.example
write_config 2 "$routes" "$yard,{\"name\":\"$account\",\"api_keys\":[\"$key\"]}"
sleep 2
before=$(requests_run 1)
for n in $(seq 1 20); do
    for i in 1 2; do
        [ "$(status "$i" o key-1 "b$i-$n")" = 200 ] || fail "an order"
        [ "$(status "$i" free none "c$i-$n")" = 200 ] ||
            fail "an order of a public route"
    done
done
[ "$(requests_run 1)" = "$before" ] ||
    fail "the old service ran $(($(requests_run 1) - before)) orders"
[ "$(status 1 "$prefix" "$key" "$(long_text 250 d)")" = 200 ] ||
    fail "an order with a long prefix, key and id"
got=$(fleet_get "$(gateway_desk 2)" /account)
[ "$got" = "$account" ] || fail "the upstream was told the account $got"
host=$(long_text 200 h)
[ "$(status 1 o "$key" d2)" = 200 ] || fail "an order to a long host"
host=$(long_text 200 x)
[ "$(status 1 o "$key" d3)" = 404 ] || fail "a host that no route has"
host=desk.example
[ "$(status 1 o "${key%k}x" d4)" = 401 ] || fail "a key that no account has"

echo "== a rollout to a version with a name of 40 characters"
start_desk 3 next "$service" "$next_commit"
gateway_write "op/rollout/$service" \
    "{\"service\":\"$service\",\"target\":\"$next_commit\",\"duration_s\":4}"
tries=0
until "$bin/carobench" get "$(gateway_registry)" \
    "/kv-key?key=status/rollout/$service" 2>/dev/null |
    sed -n 's/.*"value":"\([^"]*\)".*/\1/p' | base64 -d 2>/dev/null |
    grep -q "\"completed\".*\"$next_commit\""; do
    status 1 o key-1 "e$tries" >/dev/null
    tries=$((tries + 1))
    [ "$tries" -lt 150 ] || fail "the rollout did not complete in 15 s"
    sleep 0.1
done

echo "== one route cannot be read"
write_config 3 "$(route r o non_idempotent "$moved"),
$(route p free unheard-of "$moved,\"public\":true")" "$yard"
wait_status 503 free none
wait_status 200 o key-1

echo "== a configuration cannot be read"
gateway_write op/config '{"version":4,"routes":"none"}'
wait_status 503 o key-1
order 1 o key-1 f1 | sed -n 2p | grep -q '^1\.' ||
    fail "a refusal without Retry-After"
gateway_is_ready 1 && fail "a gateway with an unread configuration is ready"
before=$(requests_run 1 2 3)
[ "$(status 2 free none f2)" = 503 ] || fail "a public route is served"
[ "$(requests_run 1 2 3)" = "$before" ] || fail "a refused order ran"
write_config 5 "$(route r o non_idempotent "$moved")" "$yard"
wait_status 200 o key-1
gateway_wait_ready 1 2
echo "long names are served"
