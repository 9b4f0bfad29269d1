# Runs a fleet of processes on loopback ports, for the demo and the tests.  To
# be sourced by bash; fleet_stop ends every process that was started, by pid.
#
# fleet_start DOMAINS NODES ENGINES [V2_ENGINES]
#                                starts store, order service, engines and nodes
# fleet_http I, fleet_engine I   print an address; I counts from 1
# fleet_kill NAME SIGNAL         sends a signal to a process such as n1 or e2

bin=${BIN:-build}
fleet_dir=$(mktemp -d)
fleet_base=0
fleet_lock=""
export CARO_TOKEN=demo-token
token_hash=$(printf '%s' "$CARO_TOKEN" | sha256sum | cut -c1-64)
secret=$(printf 'fleet' | sha256sum | cut -c1-64)

# Reserves a block of 400 ports below the ephemeral port range, so that fleets
# running in parallel do not collide.  A lock directory that holds the owner's
# pid marks a block as reserved; one whose owner has ended is removed.
fleet_reserve() {
    local block lock owner
    while [ "$fleet_base" -eq 0 ]; do
        block=$((RANDOM % 55))
        lock=${TMPDIR:-/tmp}/carobloft-ports.$block
        owner=$(cat "$lock/pid" 2>/dev/null || true)
        if [ -n "$owner" ] && ! kill -0 "$owner" 2>/dev/null; then
            rm -rf "$lock"
        fi
        if mkdir "$lock" 2>/dev/null; then
            echo $$ >"$lock/pid"
            fleet_lock=$lock
            fleet_base=$((10000 + 400 * block))
        fi
    done
}
fleet_reserve

fleet_http() { echo "127.0.0.1:$((fleet_base + $1))"; }
fleet_peer() { echo "127.0.0.1:$((fleet_base + 100 + $1))"; }
fleet_engine() { echo "127.0.0.1:$((fleet_base + 200 + $1))"; }
fleet_orders() { echo "127.0.0.1:$((fleet_base + 300 + $1))"; }
fleet_store() { echo "127.0.0.1:$((fleet_base + 399))"; }

# Starts a program in the background and records its pid under a name.  While
# the program is loaded it has no handler yet, and SIGHUP would end it: it
# inherits that the signal is ignored.
fleet_run() { # NAME COMMAND...
    local name=$1
    shift
    trap '' HUP
    "$@" >>"$fleet_dir/$name.log" 2>&1 &
    echo $! >"$fleet_dir/$name.pid"
    trap - HUP
    disown # Otherwise bash reports its end by a signal.
}

fleet_pid() { cat "$fleet_dir/$1.pid"; }
fleet_kill() { kill "-$2" "$(fleet_pid "$1")"; }

fleet_domain() { echo "d$(($1 % fleet_domains + 1))"; }

# Writes a configuration with engines of version v1 and, after them, of v2.
fleet_config() { # ENGINES [V2_ENGINES]
    local engines=$1 v2_engines=${2:-0} i version
    {
        printf '{"deployments":[{"name":"chat","kind":"model",'
        printf '"version":"v1"},{"name":"desk","kind":"orders",'
        printf '"version":"v1"}],"upstreams":['
        i=1
        while [ "$i" -le $((engines + v2_engines)) ]; do
            version=v1
            [ "$i" -gt "$engines" ] && version=v2
            printf '{"name":"e%d","address":"%s","domain":"%s",' \
                "$i" "$(fleet_engine "$i")" "$(fleet_domain "$i")"
            printf '"deployment":"chat","version":"%s"},' "$version"
            i=$((i + 1))
        done
        printf '{"name":"o1","address":"%s","domain":"d1",' \
            "$(fleet_orders 1)"
        printf '"deployment":"desk","version":"v1"}],"accounts":['
        i=0
        while [ "$i" -lt 10 ]; do
            [ "$i" -gt 0 ] && printf ','
            printf '{"name":"a%d"}' "$i"
            i=$((i + 1))
        done
        printf ']}\n'
    } >"$fleet_dir/config.json"
}

# Writes the settings of a node.
fleet_settings() { # I
    local i
    {
        printf '{"vm":"n%d","http":"%s","peer":"%s",' "$1" \
            "$(fleet_http "$1")" "$(fleet_peer "$1")"
        printf '"domain":"%s","region":"r1","fleet_secret":"%s",' \
            "$(fleet_domain "$1")" "$secret"
        printf '"platform":{"store":"%s"},' "$(fleet_store)"
        printf '"operators":[{"name":"anna","token_sha256":"%s"}],' \
            "$token_hash"
        printf '"timing":{"drain_ms":%d,"ticket_ttl_ms":%d},"vms":[' \
            "${DRAIN_MS:-4000}" "${TICKET_TTL_MS:-600000}"
        i=1
        while [ "$i" -le "$fleet_nodes" ] && [ "$i" -le 20 ]; do
            [ "$i" -gt 1 ] && printf ','
            printf '{"vm":"n%d","http":"%s","peer":"%s","domain":"%s",' \
                "$i" "$(fleet_http "$i")" "$(fleet_peer "$i")" \
                "$(fleet_domain "$i")"
            printf '"region":"r1"}'
            i=$((i + 1))
        done
        printf ']}\n'
    } >"$fleet_dir/n$1.json"
}

fleet_start_node() {
    fleet_settings "$1"
    fleet_run "n$1" "$bin/carobloftd" --settings "$fleet_dir/n$1.json"
}

fleet_start_engine() {
    # shellcheck disable=SC2086
    fleet_run "e$1" "$bin/carofake" engine --listen "$(fleet_engine "$1")" \
        --name "e$1" ${ENGINE_FLAGS:-}
}

# Waits up to 30 s until every node of a small fleet has a configuration and
# lists all others.
fleet_wait_ready() {
    local tries=0 ready i
    while [ "$tries" -lt 300 ]; do
        ready=0
        i=1
        while [ "$i" -le "$fleet_nodes" ]; do
            if "$bin/caro" --at "$(fleet_http "$i")" st 2>/dev/null |
                grep -q "^ok "; then
                ready=$((ready + 1))
            fi
            i=$((i + 1))
        done
        [ "$ready" -eq "$fleet_nodes" ] && return 0
        sleep 0.1
        tries=$((tries + 1))
    done
    echo "the fleet was not ready within 30 s" >&2
    return 1
}

fleet_start() {
    fleet_domains=$1
    fleet_nodes=$2
    fleet_engines=$3
    local v2_engines=${4:-0} i
    fleet_config "$fleet_engines" "$v2_engines"
    fleet_run store "$bin/carofake" store --listen "$(fleet_store)" \
        --load "$fleet_dir/config.json"
    fleet_run o1 "$bin/carofake" orders --listen "$(fleet_orders 1)" \
        --name o1
    i=1
    while [ "$i" -le $((fleet_engines + v2_engines)) ]; do
        fleet_start_engine "$i"
        i=$((i + 1))
    done
    i=1
    while [ "$i" -le "$fleet_nodes" ]; do
        fleet_start_node "$i"
        i=$((i + 1))
    done
    fleet_wait_ready
}

# Prints the carobench flags with the address of every node.
fleet_node_flags() {
    local i
    for i in $(seq 1 "$fleet_nodes"); do
        printf -- '--node %s ' "$(fleet_http "$i")"
    done
}

fleet_freeze() { # NAME SECONDS
    fleet_kill "$1" STOP
    sleep "$2"
    fleet_kill "$1" CONT
}

# Prints a number from the result of the last load.
fleet_field() { # NAME
    sed -n "s/.*\"$1\": \([0-9]*\),*/\1/p" "$fleet_dir/load.json" | head -1
}

# Kills all processes that were started, by pid, and removes the directory.
fleet_stop() {
    local file
    # The files also name what a subshell has started.
    for file in "$fleet_dir"/*.pid; do
        kill -CONT "$(cat "$file")" 2>/dev/null || true
        kill -KILL "$(cat "$file")" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$fleet_dir" "$fleet_lock"
}

# Sets a fault at a fake, or sends a GET request.
fleet_fault() { # ADDRESS QUERY
    fleet_get "$1" "/fault?$2" >/dev/null
}
fleet_get() { # ADDRESS PATH
    "$bin/carobench" get "$1" "$2"
}
