#!/usr/bin/env bash
# Runs a fleet of gateways under a series of faults and planned work that is
# drawn from a seed, while callers use their connections until these end, and
# checks what callers and upstreams saw.
#
#   Tools/soak.sh SEED [SECONDS [GATEWAYS [ENGINES [WORKERS]]]]
#
# One seed in three has planned work alone: stops with SIGTERM and restarts,
# SIGHUP, changes of the configuration.  The others add kills and freezes of
# gateways and engines, freezes of order services, lost and failed responses,
# torn streams, a store that does not answer, order services that refuse requests
# and write refusals once more, that want no requests for some time, or are
# brittle, and order services and engines that announce in their responses alone that they leave.
# In one seed in three, with faults, engines end on prompts with one part, in a way
# drawn from the seed, and callers send such prompts all the time; no more than
# LATE_MAX of them may reach engines later than contact_ms after the fifth crash.
# In one seed in four the order services limit their requests, in one in five the
# store has entries that cannot be read.  In one seed in two some callers send
# requests behind each other without reading or read slowly, and others send
# requests in whose malformed bodies an order stands, which must not run.
#
# A request that ended without an answer is lost, unless its gateway or its
# upstream had a fault at that time, or the request crossed the gateway's close
# and never reached an upstream.  A pause of the callers' own process, which
# may have written the request after it, is measured.  SOAK_KEEP=DIR keeps the logs of a failed run.
set -eu
seed=$1
seconds=${2:-30}
gateways=${3:-4}
engines=${4:-6}
workers=${5:-24}
# Time after which an upstream or a gateway that had a fault counts as sound.
contact_ms=3000
# Time within which a request counts as crossing a close.
loss_slack_ms=200
# The platform's bound.
LATE_MAX=3
crash_kinds=(head:50 no-head:0 no-head:200 in-event:0 events:50:1 events:0:8
    no-head:1500 hanging:800)
if [ $((seed % 3)) = 1 ]; then
    export CRASH=${crash_kinds[$((seed / 3 % ${#crash_kinds[@]}))]}
    export RESTART_MS=700
fi
. Tools/gateway_fleet.sh
faults="$fleet_dir/faults"
: >"$faults"
trap fleet_stop EXIT
RANDOM=$((seed % 32768))

now_ms() { date +%s%3N; }
pause() { sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"; }
# Sets "drawn" to a number from LOW to HIGH - 1.  No subshell, which would draw
# from a copy of the generator.
draw() { drawn=$(($1 + RANDOM % ($2 - $1))); }

# Records a fault: its time, the address of the gateway or the kind of
# requests that it may affect, and a description.
record() { # FROM TO AFFECTED TEXT
    echo "$1 $2 $3 $4" >>"$faults"
}

# A process gets one fault at a time.
take() { mkdir "$fleet_dir/busy.$1" 2>/dev/null; }
give_back() { rmdir "$fleet_dir/busy.$1"; }

wait_gone() { # NAME
    local pid tries=0
    pid=$(fleet_pid "$1")
    while kill -0 "$pid" 2>/dev/null; do
        tries=$((tries + 1))
        [ "$tries" -lt 120 ] || {
            echo "$1 did not stop in 12 s" >>"$fleet_dir/failures"
            kill -KILL "$pid"
            return
        }
        sleep 0.1
    done
}

stop_gateway() { # I PAUSE_MS
    record "$(now_ms)" 0 planned "SIGTERM g$1"
    fleet_kill "g$1" TERM
    wait_gone "g$1"
    pause "$2"
    gateway_start "$1"
    give_back "g$1"
}

kill_gateway() { # I PAUSE_MS
    local from
    from=$(now_ms)
    fleet_kill "g$1" KILL
    wait_gone "g$1"
    record "$from" "$(now_ms)" "$(gateway_front "$1")" "SIGKILL g$1"
    pause "$2"
    gateway_start "$1"
    give_back "g$1"
}

freeze() { # NAME AFFECTED MS
    local from
    from=$(now_ms)
    # Recorded before it ends too, in case the run ends first.
    record "$from" "$((from + $3))" "$2" "SIGSTOP $1"
    fleet_kill "$1" STOP
    pause "$3"
    fleet_kill "$1" CONT
    record "$from" "$(now_ms)" "$2" "SIGCONT $1"
    give_back "$1"
}

kill_engine() { # I PAUSE_MS
    local from
    from=$(now_ms)
    record "$from" "$((from + $2))" stream "SIGKILL t$1"
    fleet_kill "t$1" KILL
    wait_gone "t$1"
    pause "$2"
    gateway_start_target "$1" >/dev/null
    record "$from" "$(now_ms)" stream "restart t$1"
    give_back "t$1"
}

# An engine announces that it leaves, and another start follows it.
replace_engine() { # I MS
    local from
    from=$(now_ms)
    record "$from" "$((from + $2))" stream "t$1 announces that it leaves"
    fleet_fault "$(gateway_target "$1")" announce=1
    pause "$2"
    fleet_kill "t$1" TERM
    wait_gone "t$1"
    gateway_start_target "$1" >/dev/null
    record "$from" "$(now_ms)" stream "restart t$1"
    give_back "t$1"
}

# An order service announces that it leaves, once a run, and another one takes
# its place.  It stays, since it knows which orders it has run.
replace_desk() { # I MS
    record "$(now_ms)" 0 planned "o$1 announces that it leaves"
    fleet_fault "$(gateway_desk "$1")" announce=1
    pause "$2"
    gateway_start_desk $((fleet_domains + $1)) >/dev/null
}

upstream_fault() { # NAME ADDRESS AFFECTED QUERY END_QUERY MS
    local from
    from=$(now_ms)
    record "$from" "$((from + $6))" "$3" "$1 $4"
    fleet_fault "$2" "$4"
    pause "$6"
    fleet_fault "$2" "$5"
    record "$from" "$(now_ms)" "$3" "$1 $5"
    give_back "$1"
}

# Each version has other limits and other routes beside the three in use, with
# long names.
version=1
write_config() { # IDLE_MS EXTRA_ROUTES EXTRA_KEYS
    local i routes="" keys='"key-1"' long
    long=$(printf '%060d' "$((version + 1))")
    version=$((version + 1))
    for ((i = 0; i < $2; i++)); do
        routes="$routes,{\"name\":\"x$i-$long\",\"host\":\"desk.example\",
\"timeout_ms\":8000,\"path_prefix\":\"/x$i/\",\"kind\":\"idempotent\",
\"target_latency_ms\":150,\"max_attempts\":2,\"service\":\"desk\"}"
    done
    for ((i = 0; i < $3; i++)); do keys="$keys,\"key-$long-$i\""; done
    record "$(now_ms)" 0 planned "config $version idle_timeout_ms=$1"
    local route='"host":"desk.example","timeout_ms":8000'
    cat >"$fleet_dir/config.next" <<END
{"version":$version,"routes":[
{"name":"r-s",$route,"path_prefix":"/s/","kind":"streaming",
 "target_latency_ms":2000,"target_gap_ms":700,"resumable":true,
 "max_attempts":5,"service":"chat"},
{"name":"r-o",$route,"path_prefix":"/o/","kind":"non_idempotent",
 "max_attempts":1,"service":"desk"},
{"name":"r-l",$route,"path_prefix":"/l/","kind":"idempotent",
 "target_latency_ms":150,"max_attempts":2,"service":"desk"}$routes],
"services":[],"tenants":[{"name":"yard","api_keys":[$keys]},
{"name":"none $long","api_keys":[]}],
"limits":{"max_header_bytes":8192,"max_body_bytes":100000,
"header_timeout_ms":700,"idle_timeout_ms":$1}}
END
    mv "$fleet_dir/config.next" "$fleet_dir/config.json"
    gateway_write op/config "$(cat "$fleet_dir/config.json")" >/dev/null || true
}

# Changes in quick succession, with idle timeouts around the callers' pauses.
change_config() {
    local n i idle
    draw 1 6
    n=$drawn
    for ((i = 0; i < n; i++)); do
        draw 2 16
        idle=$((100 * drawn))
        draw 0 20
        local extra=$drawn
        # Above the size from which a configuration is confirmed by revision.
        [ "$extra" -lt 17 ] || extra=300
        draw 0 4
        write_config "$idle" "$extra" "$drawn"
        draw 20 300
        pause "$drawn"
    done
}

# The store is restored from an older copy, also within the recovery from
# another restoration; the operator then writes the newest configuration again.
restore_store() {
    local pause_ms
    for pause_ms in 1500 400 2500; do
        fleet_fault "$(gateway_registry)" copy=1
        pause "$pause_ms"
        record "$(now_ms)" 0 none "the store is restored from a copy"
        fleet_fault "$(gateway_registry)" down=1
        pause 500
        fleet_fault "$(gateway_registry)" "down=0&restore=1"
        [ ! -f "$fleet_dir/config.json" ] ||
            gateway_write op/config "$(cat "$fleet_dir/config.json")" \
                >/dev/null || true
    done
}

# Draws one event.  Everything is drawn before a subshell begins.
step() { # PLANNED_ONLY
    local i ms what
    draw 0 $(($1 ? 10 : 28))
    what=$drawn
    draw 1 $((gateways + 1))
    i=$drawn
    draw 20 2500
    ms=$drawn
    case $what in
    0 | 1 | 2 | 3)
        # At least one gateway is left.
        # shellcheck disable=SC2012
        [ "$(ls -d "$fleet_dir"/busy.g* 2>/dev/null | wc -l)" -lt \
            $((gateways - 1)) ] || return 0
        take "g$i" || return 0
        stop_gateway "$i" $((ms / 4)) &
        ;;
    4 | 5)
        record "$(now_ms)" 0 planned "SIGHUP g$i"
        fleet_kill "g$i" HUP 2>/dev/null || true
        ;;
    6 | 7 | 8 | 9) change_config ;;
    10 | 11)
        # shellcheck disable=SC2012
        [ "$(ls -d "$fleet_dir"/busy.g* 2>/dev/null | wc -l)" -lt \
            $((gateways - 1)) ] || return 0
        take "g$i" || return 0
        kill_gateway "$i" $((ms / 4)) &
        ;;
    12 | 13)
        take "g$i" || return 0
        freeze "g$i" "$(gateway_front "$i")" "$ms" &
        ;;
    14)
        draw 1 $((engines + 1))
        take "t$drawn" || return 0
        kill_engine "$drawn" "$ms" &
        ;;
    15)
        draw 1 $((engines + 1))
        take "t$drawn" || return 0
        freeze "t$drawn" stream "$ms" &
        ;;
    16)
        draw 1 $((engines + 1))
        take "t$drawn" || return 0
        upstream_fault "t$drawn" "$(gateway_target "$drawn")" stream \
            torn=0.4 torn=0 "$ms" &
        ;;
    17 | 18)
        draw 1 $((fleet_domains + 1))
        i=$drawn
        take "o$i" || return 0
        draw 0 3
        if [ "$drawn" = 0 ]; then
            freeze "o$i" desk "$ms" &
        else
            upstream_fault "o$i" "$(gateway_desk "$i")" desk \
                "lose=0.3&fail=0.2" "lose=0&fail=0" "$ms" &
        fi
        ;;
    19)
        take registry || return 0
        # Requests are refused then, but none is lost.
        upstream_fault registry "$(gateway_registry)" none deaf=1 deaf=0 \
            "$ms" &
        ;;
    20 | 21)
        draw 1 $((fleet_domains + 1))
        i=$drawn
        take "o$i" || return 0
        upstream_fault "o$i" "$(gateway_desk "$i")" desk \
            "refuse=0.4&repeat=0.4" "refuse=0&repeat=0" "$ms" &
        ;;
    22)
        draw 1 $((fleet_domains + 1))
        i=$drawn
        take "o$i" || return 0
        upstream_fault "o$i" "$(gateway_desk "$i")" desk \
            "unavailable=$((ms / 1000 + 1))" "unavailable=0" "$ms" &
        ;;
    23)
        draw 1 $((fleet_domains + 1))
        i=$drawn
        take "o$i" || return 0
        replace_desk "$i" "$ms" &
        ;;
    24)
        draw 1 $((engines + 1))
        i=$drawn
        take "t$i" || return 0
        replace_engine "$i" "$ms" &
        ;;
    25 | 26 | 27)
        draw 1 $((fleet_domains + 1))
        i=$drawn
        take "o$i" || return 0
        upstream_fault "o$i" "$(gateway_desk "$i")" desk \
            "slots=3&queue=1&brittle=5" "slots=0&queue=0&brittle=0" \
            $((ms + 1000)) &
        ;;
    esac
}

# Callers that do not behave, until the soak ends.  Each malformed request may get
# one refusal, or none from a gateway that ends.
hostile_callers() {
    local n=0 i kind address order answer
    while [ "$(now_ms)" -lt "$ends_at" ]; do
        for i in $(seq 1 "$gateways"); do
            n=$((n + 1))
            address=$(gateway_front "$i")
            kind=unread
            [ $((n % 2)) = 0 ] || kind=slow
            "$bin/carobench" crowd "$address" "$kind" 20 1 \
                $'GET /never/x HTTP/1.1\r\nHost: desk.example' >/dev/null ||
                true
            order="POST /o/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: \
hidden-$n\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
            # shellcheck disable=SC2059
            answer=$({
                exec 9<>"/dev/tcp/${address%:*}/${address#*:}" &&
                    printf "POST /o/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: shown-$n\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n2;\nxx\r\n9c\r\n0\r\n\r\n$order" >&9 &&
                    timeout 2 cat <&9
            } 2>/dev/null | grep -a -o 'HTTP/1.1 [0-9]*' | tr '\n' ' ') || true
            case $answer in
            "" | "HTTP/1.1 400 ") ;;
            *) echo "malformed request $n at g$i: $answer" \
                >>"$fleet_dir/failures" ;;
            esac
        done
    done
}

# Prints the requests that no fault excuses.
lost_requests() {
    sed -n 's/^trouble //p' "$fleet_dir/load.txt" |
        awk -v contact="$contact_ms" -v slack="$loss_slack_ms" \
            -v faults="$faults" '
    BEGIN {
        while ((getline line < faults) > 0) {
            split(line, f, " ")
            if (f[3] == "planned" || f[3] == "none") continue
            n++
            from[n] = f[1]; to[n] = f[2]; whom[n] = f[3]
        }
    }
    {
        for (i = 1; i <= NF; i++) { split($i, p, "="); v[p[1]] = p[2] }
        desk = v["kind"] != "stream"
        for (i = 1; i <= n; i++) {
            affected = whom[i] == v["address"] ||
                (whom[i] == "stream" && !desk) || (whom[i] == "desk" && desk)
            if (affected && v["sent"] <= to[i] + contact &&
                v["ended"] >= from[i]) next
        }
        crossed = v["status"] == 0 && v["runs"] == 0 &&
            v["ended"] - v["sent"] - v["stall"] <= slack
        if (!crossed) print
    }'
}

gateway_fleet_start 2 "$gateways" "$engines" >&2
desk_count=$((2 * fleet_domains)) # With those that may be started.
planned_only=$((seed % 3 == 0))
if [ $((seed % 4)) = 1 ]; then
    for i in $(seq 1 "$fleet_domains"); do
        fleet_fault "$(gateway_desk "$i")" limit=8
    done
fi
if [ $((seed % 5)) = 2 ]; then
    fleet_fault "$(gateway_registry)" odd=1
fi
gateway_load --seconds "$seconds" --seed "$seed" --workers "$workers" \
    --soak-pause-ms 1600 >"$fleet_dir/load.txt" &
load=$!
prompts=""
if [ -n "${CRASH:-}" ]; then
    fronts=()
    for i in $(seq 1 "$gateways"); do
        fronts+=(--front "$(gateway_front "$i")")
    done
    "$bin/carobench" prompts "${fronts[@]}" --host desk.example --key key-1 \
        --seconds "$seconds" --sound 4 --deadly 1.5 --deadly-after 1 \
        --seed "$seed" >"$fleet_dir/prompts.txt" &
    prompts=$!
fi
if [ $((seed % 4)) = 0 ] && [ "$planned_only" = 0 ]; then
    restore_store &
fi
ends_at=$(($(now_ms) + 1000 * seconds))
if [ $((seed % 2)) = 0 ]; then
    hostile_callers &
fi
while [ "$(now_ms)" -lt "$ends_at" ]; do
    step "$planned_only"
    draw 30 900
    pause "$drawn"
done
rc=0
wait "$load" || rc=$?
wait
if [ -n "$prompts" ]; then
    counts=$(gateway_count_crashes "$contact_ms")
    echo "crash=$CRASH $counts $(cat "$fleet_dir/prompts.txt")"
    [ "${counts##*late=}" -le "$LATE_MAX" ] ||
        echo "${counts##*late=} deadly requests reached engines late" \
            >>"$fleet_dir/failures"
    awk -v restart="$RESTART_MS" '$2 == "crash" {
        print $1, $1 + restart, "stream", "crash of", $3 }' \
        "$fleet_dir/crashes.txt" >>"$faults"
fi
lost=$(lost_requests)
echo "soak seed=$seed planned_only=$planned_only faults=$(wc -l <"$faults")" \
    "troubles=$(grep -c '^trouble' "$fleet_dir/load.txt" || true)"
grep -v '^trouble' "$fleet_dir/load.txt" || true
# A gateway that ends by itself is started by nobody.
for i in $(seq 1 "$gateways"); do
    kill -0 "$(fleet_pid "g$i")" 2>/dev/null || {
        echo "g$i ended by itself" >>"$fleet_dir/failures"
        tail -n 5 "$fleet_dir/g$i.log"
    }
done
if [ "$rc" != 0 ] || [ -n "$lost" ] || [ -s "$fleet_dir/failures" ]; then
    echo "FAILED: seed $seed"
    cat "$fleet_dir/failures" 2>/dev/null || true
    if [ -n "$lost" ]; then
        echo "requests lost without a fault that excuses it:"
        echo "$lost"
    fi
    if [ -n "${SOAK_KEEP:-}" ]; then
        mkdir -p "$SOAK_KEEP"
        cp -r "$fleet_dir" "$SOAK_KEEP/seed-$seed"
    fi
    exit 1
fi
echo "no request was lost without a fault that excuses it"
