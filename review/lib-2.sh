# What the scripts of review/6 and later share: a small deployment of gateways
# on loopback ports, with the project's stand-ins for the store and the order
# servers.  To be sourced by bash in the repository's root.
#
# The script sets trouble (0 or 1) and record (the path of its record.txt).
#
# case_begin N           prepares a temporary folder and ports, empties the record
# say TEXT...            writes a line to record.txt and to standard output
# start_store, start_server I [FLAGS...], start_gateway I
# write_store KEY JSON   writes as the operator does; prints nothing
# wait_ready I...        waits until gateways answer 200 at /readiness
# send_raw ADDRESS SECONDS   sends standard input to ADDRESS as it is, prints
#                        what comes back until the close or for SECONDS
# ran I ID               prints how often server I ran the request ID
#
# The script ends with "case_end STATUS"; all processes that were started are
# ended by their ids when it exits.

daemon=target/carobloftd
fake=build/carofake
bench=build/carobench
pids=()

stop_all() {
    local pid
    # Those that a subshell started.
    for pid in $(cat "${work:-/nonexistent}/pids" 2>/dev/null); do
        kill -KILL "$pid" 2>/dev/null || true
    done
    for pid in ${pids[@]+"${pids[@]}"}; do kill -CONT "$pid" 2>/dev/null || true; done
    for pid in ${pids[@]+"${pids[@]}"}; do kill -KILL "$pid" 2>/dev/null || true; done
    for pid in ${pids[@]+"${pids[@]}"}; do wait "$pid" 2>/dev/null || true; done
    [ -z "${work:-}" ] || rm -rf "$work"
}

say() { echo "$*" | tee -a "$record"; }

case_end() {
    case $1 in
    0) say "result: the rule held" ;;
    1) say "result: the rule was broken" ;;
    *) say "result: the case could not run" ;;
    esac
    exit "$1"
}

unable() {
    say "unable: $*"
    case_end 2
}

port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Sets "base" to the first of a block of ports that nobody listens on.
choose_ports() {
    local tries offset is_free
    for tries in $(seq 1 50); do
        base=$((12000 + 100 * (RANDOM % 180)))
        is_free=1
        for offset in $(seq 0 79); do
            port_is_free $((base + offset)) || is_free=0
        done
        [ "$is_free" = 0 ] || return 0
    done
    unable "no free ports after $tries tries"
}

case_begin() { # N
    work=""
    : >"$record"
    trap stop_all EXIT
    say "case $1, trouble=$trouble, $(uname -m)"
    for program in "$daemon" "$fake" "$bench"; do
        [ -x "$program" ] || unable "$program is not built"
    done
    work=$(mktemp -d)
    choose_ports
}

front() { echo "127.0.0.1:$((base + $1))"; }
ready() { echo "127.0.0.1:$((base + 10 + $1))"; }
directory() { echo "127.0.0.1:$((base + 20 + $1))"; }
server() { echo "127.0.0.1:$((base + 50 + $1))"; }
store() { echo "127.0.0.1:$((base + 70))"; }

# Starts a program in the background and keeps its id in pid_NAME.
run() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pids+=("$!")
    eval "pid_$name=$!"
    say "started $name: ${*//$work\//}"
}

wait_up() { # ADDRESS
    local tries
    for tries in $(seq 1 100); do
        "$bench" get "$1" /fault >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    unable "$1 does not answer after $tries tries"
}

start_store() {
    run store "$fake" registry --listen="$(store)"
    wait_up "$(store)"
}

start_server() { # I [FLAGS...]
    local i=$1
    shift
    run "server$i" "$fake" target --listen="$(server "$i")" --name="order-$i" \
        --registry="$(store)" --domain="zone-$((i % 3))" --service=ordini \
        --work-ms="${WORK_MS:-20}" "$@"
    wait_up "$(server "$i")"
}

write_store() { # KEY JSON
    local answer
    answer=$("$bench" call "$(store)" POST "/write?key=$1" "$2") || true
    case $answer in
    2*) ;;
    *) unable "the store did not accept $1: $answer" ;;
    esac
}

# Settings as the template of the deploy file gives them, with the bounds of a
# small deployment.
start_gateway() { # I
    cat >"$work/g$1.json" <<END
{"vm":"edge-$1","front":"$(front "$1")","ready":"$(ready "$1")",
 "directory":"$(directory "$1")","host":"127.0.0.1",
 "peer_port":$((base + 30 + $1)),"tunnel_port":$((base + 40 + $1)),
 "metrics_port":$((base + 71 + $1)),"domain":"zone-$(($1 % 3))",
 "region":"region-1","terms":["base","drain","config","cost","retry",
 "recover","engine","stream","tenants","rollout","platform"],"seeds":[],
 "store":{"address":"$(store)"},
 "limits":{"memory_mb":96,"descriptors":2870},
 "bounds":{"proof_ms":5000,"config_delay_ms":2000,"grace_s":8,
 "address_ttl_s":5,"retry_ratio":0.8,"retry_slack":325,"retry_window_s":10,
 "move_share":0.1,"move_slack":50}}
END
    run "gateway$1" "$daemon" --gateway "$work/g$1.json"
}

wait_ready() { # I...
    local i tries is_ready
    for i in "$@"; do
        is_ready=0
        for tries in $(seq 1 150); do
            if "$bench" get "$(ready "$i")" /readiness >/dev/null 2>&1; then
                is_ready=1
                break
            fi
            sleep 0.1
        done
        [ "$is_ready" = 1 ] || unable "gateway $i is not ready after $tries tries"
    done
}

# A configuration with the given version and keys ("key-1","key-2", ...).
config() { # VERSION KEYS
    printf '{"version":%d,"routes":[{"name":"r-o","host":"orders.example",' "$1"
    printf '"path_prefix":"/o/","kind":"non_idempotent","timeout_ms":2500,'
    printf '"target_latency_ms":150,"priority":2,"max_attempts":1,'
    printf '"public":false,"service":"ordini"},{"name":"r-l",'
    printf '"host":"orders.example","path_prefix":"/l/","kind":"idempotent",'
    printf '"timeout_ms":2500,"target_latency_ms":150,"priority":2,'
    printf '"max_attempts":2,"public":false,"service":"ordini"}],"services":'
    printf '[{"name":"ordini","health_path":"/health","max_connections":208,'
    printf '"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,'
    printf '"max_body_bytes":4194304,"header_timeout_ms":3000,'
    printf '"idle_timeout_ms":15000},"tenants":[{"name":"yard",'
    printf '"api_keys":[%s],"priority":1}]}' "$2"
}

send_raw() { # ADDRESS SECONDS
    exec 4<>"/dev/tcp/${1%:*}/${1#*:}"
    cat >&4
    timeout "$2" cat <&4 || true
    exec 4<&- 4>&-
}

ran() { # I ID
    local count
    count=$("$bench" get "$(server "$1")" "/ran?id=$2" 2>/dev/null |
        grep -a -o -E '^[0-9]+$' | tail -n 1)
    [ -n "$count" ] || unable "server $1 does not say what it ran"
    echo "$count"
}
