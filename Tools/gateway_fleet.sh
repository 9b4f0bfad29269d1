# Runs a fleet of gateways on loopback ports with fakes of the platform, for
# the demo and the tests.  To be sourced by bash; extends Tools/fleet.sh.
#
# gateway_fleet_start DOMAINS GATEWAYS ENGINES
#                         starts them, and one order service in each domain
# gateway_front I, gateway_directory I, gateway_metrics I
#                         print an address; I counts from 1
# gateway_write KEY JSON  writes to the store as the operator does
. Tools/fleet.sh

gateway_front() { echo "127.0.0.1:$((fleet_base + $1))"; }
gateway_ready() { echo "127.0.0.1:$((fleet_base + 50 + $1))"; }
gateway_directory() { echo "127.0.0.1:$((fleet_base + 100 + $1))"; }
gateway_metrics() { echo "127.0.0.1:$((fleet_base + 200 + $1))"; }
gateway_target() { echo "127.0.0.1:$((fleet_base + 250 + $1))"; }
gateway_desk() { echo "127.0.0.1:$((fleet_base + 300 + $1))"; }
gateway_registry() { echo "127.0.0.1:$((fleet_base + 398))"; }

gateway_write() { # KEY JSON
    local got
    got=$("$bin/carobench" call "$(gateway_registry)" POST "/write?key=$1" \
        "$2") || true
    case $got in
    2*) ;;
    *)
        echo "the store did not accept $1: $got"
        return 1
        ;;
    esac
}

# Waits until a fake that was started responds.
gateway_wait_up() { # ADDRESS
    local tries=0
    until "$bin/carobench" get "$1" /fault >/dev/null 2>&1; do
        tries=$((tries + 1))
        [ "$tries" -lt 100 ] || {
            echo "$1 does not respond after 10 s"
            return 1
        }
        sleep 0.1
    done
}

# Writes the settings of a gateway.
gateway_settings() { # I
    cat >"$fleet_dir/g$1.json" <<EOF
{"vm":"g$1","front":"$(gateway_front "$1")","ready":"$(gateway_ready "$1")",
 "directory":"$(gateway_directory "$1")","host":"127.0.0.1",
 "peer_port":$((fleet_base + 150 + $1)),
 "tunnel_port":$((fleet_base + 350 + $1)),
 "metrics_port":$((fleet_base + 200 + $1)),
 "domain":"$(fleet_domain "$1")","region":"r1","seeds":[],
 "store":{"address":"$(gateway_registry)"},
 "bounds":{"grace_s":${GRACE_S:-6},"move_share":0.1,"move_slack":50,"retry_ratio":0.8,"retry_slack":300}}
EOF
}

gateway_start() {
    gateway_settings "$1"
    fleet_run "g$1" "$bin/carobloftd" --gateway "$fleet_dir/g$1.json"
}

# With CRASH=KIND:MS[:EVENTS] an engine ends on a prompt with the part "dead", is
# started again after RESTART_MS, with KEEP_NAME under its name, and records both
# in the file crashes.txt.
gateway_start_target() { # I
    local flags=()
    if [ -n "${CRASH:-}" ]; then
        flags=(--crash "$CRASH" --crash-log "$fleet_dir/crashes.txt"
            --restart-ms "${RESTART_MS:-2000}")
        [ -z "${KEEP_NAME:-}" ] || flags+=(--keep-name)
    fi
    fleet_run "t$1" "$bin/carofake" target --listen "$(gateway_target "$1")" \
        --name "t$1-$RANDOM" --registry "$(gateway_registry)" \
        --domain "$(fleet_domain "$1")" --service chat --step-us 15000 \
        --prefill-us 500 ${flags[@]+"${flags[@]}"}
    gateway_wait_up "$(gateway_target "$1")"
}

# Prints how many deadly requests reached engines, how many crashes there were,
# and how many requests came later than so long after the fifth.
gateway_count_crashes() { # CONTACT_MS
    sort -n "$fleet_dir/crashes.txt" 2>/dev/null | awk -v contact="$1" '
        $2 == "crash" && ++crashes == 5 { fifth = $1 }
        $2 == "try" { at[++tries] = $1 }
        END {
            for (i = 1; i <= tries; i++) late += fifth && at[i] > fifth + contact
            printf "tries=%d crashes=%d late=%d", tries, crashes, late
        }'
}

gateway_start_desk() { # I [VERSION]
    fleet_run "o$1" "$bin/carofake" target --listen "$(gateway_desk "$1")" \
        --name "o$1-$RANDOM" --registry "$(gateway_registry)" \
        --domain "$(fleet_domain "$1")" --service desk \
        --work-ms "${DESK_WORK_MS:-10}" \
        --version "${2:-v1}"
    gateway_wait_up "$(gateway_desk "$1")"
}

# Writes the configuration to the store, with the given or one default account.
gateway_config() { # VERSION [ACCOUNTS]
    local accounts=${2:-'{"name":"yard","api_keys":["key-1"]}'}
    local route='"host":"desk.example","timeout_ms":8000'
    gateway_write op/config "{\"version\":$1,\"routes\":[
{\"name\":\"r-s\",$route,\"path_prefix\":\"/s/\",\"kind\":\"streaming\",
 \"target_latency_ms\":2000,\"target_gap_ms\":700,\"resumable\":true,
 \"max_attempts\":5,\"service\":\"chat\"},
{\"name\":\"r-o\",$route,\"path_prefix\":\"/o/\",\"kind\":\"non_idempotent\",
 \"max_attempts\":1,\"service\":\"desk\"},
{\"name\":\"r-l\",$route,\"path_prefix\":\"/l/\",\"kind\":\"idempotent\",
 \"target_latency_ms\":150,\"max_attempts\":2,\"service\":\"desk\"}],
\"services\":[],\"tenants\":[$accounts],
\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":100000,
\"header_timeout_ms\":700,\"idle_timeout_ms\":3000}}"
}

gateway_is_ready() { # I
    "$bin/carobench" get "$(gateway_ready "$1")" /readiness >/dev/null 2>&1
}

gateway_wait_ready() { # I...
    local i tries
    for i in "$@"; do
        tries=0
        until gateway_is_ready "$i"; do
            tries=$((tries + 1))
            [ "$tries" -lt 200 ] || {
                echo "g$i is not ready after 20 s"
                tail -n 5 "$fleet_dir/g$i.log"
                return 1
            }
            sleep 0.1
        done
    done
}

# Waits until the directory of a gateway lists a number of VMs.
gateway_wait_listed() { # I COUNT
    local tries=0 got
    until got=$("$bin/carobench" get "$(gateway_directory "$1")" \
        "/resolve?name=desk.example&zone=none" 2>/dev/null |
        grep -o '127.0.0.1' | wc -l) && [ "$got" -eq "$2" ]; do
        tries=$((tries + 1))
        [ "$tries" -lt 150 ] || {
            echo "g$1 lists $got of $2 VMs after 15 s"
            return 1
        }
        sleep 0.1
    done
}

gateway_fleet_start() { # DOMAINS GATEWAYS ENGINES
    local i
    fleet_domains=$1
    gateway_count=$2
    target_count=$3
    if [ "$gateway_count" -gt 49 ] || [ "$target_count" -gt 49 ]; then
        echo "a fleet has at most 49 gateways and 49 engines" >&2
        exit 2
    fi
    fleet_run registry "$bin/carofake" registry \
        --listen "$(gateway_registry)"
    gateway_wait_up "$(gateway_registry)"
    gateway_config 1
    for i in $(seq 1 "$3"); do gateway_start_target "$i"; done
    for i in $(seq 1 "$1"); do gateway_start_desk "$i"; done
    for i in $(seq 1 "$2"); do gateway_start "$i"; done
    # shellcheck disable=SC2046
    gateway_wait_ready $(seq 1 "$2")
    for i in $(seq 1 "$2"); do gateway_wait_listed "$i" "$2"; done
}

# Runs a load that checks each response; returns non-zero when a check fails.
gateway_load() { # OPTIONS...
    local i flags=()
    for i in $(seq 1 "$gateway_count"); do
        flags+=(--directory "$(gateway_directory "$i")")
    done
    for i in $(seq 1 "$target_count"); do
        flags+=(--target "$(gateway_target "$i")")
    done
    for i in $(seq 1 "${desk_count:-$fleet_domains}"); do
        flags+=(--target "$(gateway_desk "$i")")
    done
    timeout 90 "$bin/carobench" gateway "${flags[@]}" --host desk.example \
        --key key-1 "$@"
}
