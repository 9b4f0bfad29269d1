# Runs machines, the store and servers on loopback addresses, for the scripts of
# the cases 11 to 15.  To be sourced by bash from run.sh, which has set "here" and
# "record".
#
# Every machine has an address of its own, and all have the same ports, as on
# the platform.  end_all ends what was started, by process ids.
cd "$here/../.."
work=$(mktemp -d)
: >"$record"
pids=()
tools=build/review-3

say() { echo "$(date +%s%3N) $*" | tee -a "$record"; }

end_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap end_all EXIT

# The case cannot run.
cannot() {
    say "cannot run: $*"
    exit 2
}

for file in target/carobloftd build/carofake build/carobench "$tools/callers"; do
    [ -x "$file" ] || cannot "$file is missing; see review/build-3.sh"
done

# Addresses 127.A.B.I; I = 1 is the platform, 10 and above are machines, 100
# and above servers.
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))"
port=$((20000 + RANDOM % 9000))
is_free() { ! (exec 3<>"/dev/tcp/$net.1/$1") 2>/dev/null; }
until is_free "$port" && is_free $((port + 1)); do port=$((port + 10)); done
store="$net.1:$port"
machine_ip() { echo "$net.$((9 + $1))"; }
front() { echo "$(machine_ip "$1"):$((port + 1))"; }
server() { echo "$net.$((99 + $1)):$((port + 6))"; }

# Starts a program and stores its process id in the variable "pid_NAME".
start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pids+=("$!")
    printf -v "pid_$name" '%s' "$!"
}
pid_of() { local name="pid_$1"; echo "${!name}"; }
is_running() { kill -0 "$(pid_of "$1")" 2>/dev/null; }

get() { # ADDRESS PATH
    build/carobench get "$1" "$2" 2>/dev/null
}

start_store() {
    local i
    start store build/carofake registry --listen "$store"
    for i in $(seq 100); do
        ! get "$store" /fault >/dev/null || return 0
        sleep 0.1
    done
    cannot "the store does not answer"
}

# Writes to the store as the operator and the servers do.
put() { # KEY VALUE
    local got
    got=$(build/carobench call "$store" POST "/write?key=$1" "$2") || true
    case $got in
    2*) ;;
    *) cannot "the store did not take $1: $got" ;;
    esac
}

put_server() { # NUMBER SERVICE VERSION SLOTS ZONE
    put "servers/i-$1" "{\"service\":\"$2\",\"address\":\"$(server "$1")\",
\"zone\":\"$5\",\"version\":\"$3\",\"slots\":$4,\"state\":\"ready\",
\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$(date +%s%3N)}"
}

# The settings as platform/settings.json.tmpl writes them for a machine of
# fiaccole-iblee.
start_machine() { # NUMBER ZONE
    local ip
    ip=$(machine_ip "$1")
    cat >"$work/m$1.json" <<END
{"vm":"edge-$2-$1","front":"$ip:$((port + 1))","ready":"$ip:$((port + 2))",
 "directory":"$ip:$((port + 3))","host":"$ip","peer_port":$((port + 4)),
 "tunnel_port":$((port + 5)),"metrics_port":9464,"domain":"$2","region":"r1",
 "terms":["base","drain","config","cost","retry","recover","engine","stream",
 "tenants","rollout","platform"],
 "seeds":["$(machine_ip 1):$((port + 7))","$(machine_ip 2):$((port + 7))"],
 "store":{"address":"$store"},"limits":{"memory_mb":96,"descriptors":2870},
 "bounds":{"proof_ms":5000,"config_delay_ms":2000,"grace_s":8,
 "address_ttl_s":5,"retry_ratio":0.8,"retry_slack":325,"retry_window_s":10,
 "move_share":0.1,"move_slack":50}}
END
    start "m$1" target/carobloftd --gateway "$work/m$1.json"
}

is_ready() { get "$(machine_ip "$1"):$((port + 2))" /readiness >/dev/null; }

wait_ready() { # NUMBER...
    local i tries
    for i in "$@"; do
        for tries in $(seq 150); do
            ! is_ready "$i" || break
            sleep 0.1
        done
        [ "$tries" -lt 150 ] || cannot "machine $i is not ready"
    done
}

# Waits until a machine lists a number of machines to callers.
wait_listed() { # NUMBER COUNT
    local tries
    for tries in $(seq 150); do
        [ "$(get "$(machine_ip "$1"):$((port + 3))" \
            "/resolve?name=a&zone=none" | grep -o "$net" | wc -l)" != "$2" ] ||
            return 0
        sleep 0.1
    done
    cannot "machine $1 does not list $2 machines"
}
