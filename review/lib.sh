# Helpers of the review's cases; sourced by each run.sh, which runs in the
# repository's root.
#
#   case_begin RECORD       free ports, a temporary folder, an empty record
#   start NAME COMMAND...   runs a program; pid NAME prints its process id
#   start_store             the project's stand-in of the platform's store
#   start_gateway I         the program of the deploy file, as gateway I
#   wait_ready I...         until the platform would call them ready
#   operator KEY JSON       writes as the operator; prints the time
#   note TEXT               a line of the record
# All processes end, by their process ids, when the script does.

case_begin() {
    record=$1
    : >"$record"
    run_dir=$(mktemp -d)
    trap case_end EXIT
    trap 'exit 2' INT TERM
    local tries=0
    until base=$((10000 + 100 * (RANDOM % 200))) && ports_are_free; do
        tries=$((tries + 1))
        [ "$tries" -lt 50 ] || cannot_run "no free ports"
    done
    store=127.0.0.1:$base
    local file
    for file in target/carobloftd build/carofake build/review/desk \
        build/review/callers; do
        [ -x "$file" ] || cannot_run "$file is missing; see review/build.sh"
    done
}

ports_are_free() {
    local port
    for port in $(seq "$base" $((base + 99))); do
        grep -qi ":$(printf '%04X' "$port") " /proc/net/tcp /proc/net/udp &&
            return 1
    done
    return 0
}

case_end() {
    local file job
    for job in $(jobs -p); do kill "$job" 2>/dev/null || true; done
    for file in "$run_dir"/*.pid; do
        [ -e "$file" ] || continue
        kill -CONT "$(cat "$file")" 2>/dev/null || true
        kill -KILL "$(cat "$file")" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$run_dir"
}

cannot_run() {
    echo "the case cannot run: $1"
    exit 2
}

note() { echo "# $(date +%s.%N | cut -c1-17) $1" >>"$record"; }

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$run_dir/$name.log" 2>&1 &
    echo $! >"$run_dir/$name.pid"
    disown
}

pid() { cat "$run_dir/$1.pid"; }

front() { echo "127.0.0.1:$((base + 10 + $1))"; }
ready() { echo "127.0.0.1:$((base + 20 + $1))"; }
desk_address() { echo "127.0.0.1:$((base + 60 + $1))"; }

# Sends a request without a body by a GET, or with one by a POST; prints the
# status.
http_status() { # ADDRESS TARGET [BODY]
    local fd status=0 line
    if ! { exec {fd}<>"/dev/tcp/${1%:*}/${1#*:}"; } 2>/dev/null; then
        echo 0
        return
    fi
    if [ $# -gt 2 ]; then
        printf 'POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
            "$2" "${#3}" "$3" >&"$fd" 2>/dev/null || true
    else
        printf 'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$2" \
            >&"$fd" 2>/dev/null || true
    fi
    IFS= read -r -t 5 line <&"$fd" && status=${line:9:3}
    exec {fd}>&-
    echo "${status:-0}"
}

wait_for() { # TEXT COMMAND...
    local text=$1 tries=0
    shift
    until "$@"; do
        tries=$((tries + 1))
        [ "$tries" -lt 150 ] || cannot_run "$text"
        sleep 0.1
    done
}

store_is_up() { [ "$(http_status "$store" /fault)" = 200 ]; }

start_store() {
    start store build/carofake registry --listen "$store"
    wait_for "the store does not respond" store_is_up
}

operator() { # KEY JSON
    [ "$(http_status "$store" "/write?key=$1" "$2")" = 200 ] ||
        cannot_run "the store did not accept $1"
    note "operator wrote $1"
}

# The settings that platform/settings.json.tmpl makes of the figures of the
# site, with loopback addresses.  $2 is the store that the gateway uses.
start_gateway() { # I [STORE]
    cat >"$run_dir/g$1.json" <<EOF
{"vm":"edge-d$1-1","front":"$(front "$1")","ready":"$(ready "$1")",
 "directory":"127.0.0.1:$((base + 30 + $1))","host":"127.0.0.1",
 "peer_port":$((base + 40 + $1)),"metrics_port":$((base + 50 + $1)),
 "domain":"d$1","region":"r1","seeds":[],"store":{"address":"${2:-$store}"},
 "limits":{"memory_mb":182,"descriptors":2870},
 "bounds":{"proof_ms":5000,"grace_s":8,"address_ttl_s":5,"retry_ratio":0.8,
 "retry_slack":333,"retry_window_s":10,"move_share":0.1,"move_slack":50}}
EOF
    start "g$1" target/carobloftd --gateway "$run_dir/g$1.json"
}

gateway_is_ready() { [ "$(http_status "$(ready "$1")" /readiness)" = 200 ]; }

wait_ready() { # I...
    local i
    for i in "$@"; do
        wait_for "gateway $i is not ready" gateway_is_ready "$i"
    done
}

# Starts order service I; its id is i-I.
start_desk() { # I OPTIONS...
    local i=$1
    shift
    start "desk$i" build/review/desk --listen "$(desk_address "$i")" \
        --store "$store" --id "i-$i" --zone "d$((i % 3 + 1))" \
        --runs "$run_dir/runs" "$@"
}

# A configuration as the operator writes it: version, routes, tenants.
config() { # VERSION ROUTES TENANTS
    echo "{\"version\":$1,\"routes\":[$2],\"services\":[],\"tenants\":[$3],
\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":100000,
\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
}

order_route() { # NAME PREFIX SERVICE
    echo "{\"name\":\"$1\",\"host\":\"desk.example\",\"path_prefix\":\"$2\",
\"kind\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":300,
\"max_attempts\":1,\"priority\":2,\"service\":\"$3\"}"
}
