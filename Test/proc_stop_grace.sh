#!/usr/bin/env bash
# Guards against requests that a gateway reads while it is being stopped, hands
# to an upstream and then ends without an answer: orders of many callers all
# through the grace period, on kept and on new connections, with bodies that
# arrive slowly, and streams and resumes of streams.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

fail() {
    echo "FAILED: $1"
    tail -n 5 "$fleet_dir/g1.log"
    exit 1
}

answers=$fleet_dir/answers

request_head() { # PATH ID DEADLINE_MS BODY_SIZE MORE
    printf 'POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: %s\r\nContent-Length: %s\r\n%s\r\n' \
        "$1" "$2" "$3" "$4" "${5:-}"
}

# Reads a response and prints "STATUS how it ended".
read_answer() { # FD
    local line status="" size="" close=kept
    while IFS= read -r -t 9 line <&"$1"; do
        line=${line%$'\r'}
        case $line in
        HTTP/1.1*) status=${line:9:3} ;;
        [Cc]ontent-[Ll]ength:*) size=${line#*: } ;;
        [Cc]onnection:*close*) close=closed ;;
        "") break ;;
        esac
    done
    [ -z "$status" ] && {
        echo "none closed"
        return
    }
    if [ -n "$size" ]; then
        [ "$size" -eq 0 ] || IFS= read -r -t 9 -N "$size" _ <&"$1" ||
            close=torn
    else
        # A stream in chunks; its last one is empty.
        close=torn
        while IFS= read -r -t 9 line <&"$1"; do
            [ "$line" = $'0\r' ] && close=whole
        done
    fi
    echo "$status $close"
}

open_caller() { # sets fd; returns 1 when the port is closed
    { exec {fd}<>"/dev/tcp/${address%:*}/${address#*:}"; } 2>/dev/null
}

# Sends orders one after the other, until the gateway takes no connection.
run_caller() { # I
    local n=0 id answer
    while open_caller; do
        while :; do
            n=$((n + 1))
            id=c$1-$n
            request_head /o/x "$id" 900 0 >&"$fd" 2>/dev/null || break
            answer=$(read_answer "$fd")
            echo "$id $answer" >>"$answers.$1"
            # A caller that was refused looks for another address first.
            [ "${answer%% *}" != 503 ] || sleep 0.1
            [ "${answer#* }" = kept ] || break
            sleep "0.0$((RANDOM % 9 + 1))"
        done
        exec {fd}>&-
    done
}

# Sends an order whose body arrives in so many pieces, half a second apart.
run_slow_body() { # PIECES
    local i id=b$1
    open_caller || return 0
    request_head /o/x "$id" 900 "$1" >&"$fd"
    for i in $(seq 1 "$1"); do
        sleep 0.5
        printf x >&"$fd" 2>/dev/null || break
    done
    echo "$id $(read_answer "$fd")" >>"$answers.b$1"
    exec {fd}>&-
}

run_stream() { # ID DELAY EVENTS MORE
    sleep "$2"
    open_caller || return 0
    request_head /s/x "$1" 8000 0 "X-Token-Usage: 20,$3"$'\r\n'"${4:-}" >&"$fd"
    echo "$1 $(read_answer "$fd")" >>"$answers.$1"
    exec {fd}>&-
}

GRACE_S=6
gateway_fleet_start 1 2 2
fleet_kill o1 KILL
for i in 2 3; do
    fleet_run "o$i" "$bin/carofake" target --listen "$(gateway_desk "$i")" \
        --name "o$i" --registry "$(gateway_registry)" \
        --domain "$(fleet_domain 1)" --service desk --work-ms 400
    gateway_wait_up "$(gateway_desk "$i")"
done
sleep 1.5
address=$(gateway_front 1)
jobs=()
for i in $(seq 1 24); do
    run_caller "$i" &
    jobs+=($!)
done
for i in $(seq 1 14); do
    run_slow_body "$i" &
    jobs+=($!)
done
run_stream before 0.3 120 &
jobs+=($!)
for i in 1 2 3 4 5; do
    run_stream "late$i" "$i.4" 20 &
    jobs+=($!)
    run_stream "resume$i" "$i.6" 20 $'Last-Event-Id: 4\r\n' &
    jobs+=($!)
done
sleep 1
pid=$(fleet_pid g1)
fleet_kill g1 TERM
for _ in $(seq 1 100); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
done
kill -0 "$pid" 2>/dev/null && fail "g1 did not end in 10 s"
for job in "${jobs[@]}"; do wait "$job" || true; done

grep -h "" "$answers".* >"$fleet_dir/all"
echo "answers: $(awk '{ n[$2 " " $3]++ }
    END { for (k in n) printf "%s: %d  ", k, n[k] }' "$fleet_dir/all")"
while read -r id status end; do
    ran=0
    case $status in
    200 | 502 | 504) ;;
    *)
        ran=$(($(fleet_get "$(gateway_desk 2)" "/ran?id=$id") +
            $(fleet_get "$(gateway_desk 3)" "/ran?id=$id")))
        ;;
    esac
    case $status in
    200) ;;
    408 | 503) [ "$ran" -eq 0 ] || fail "$id: $status, and it ran" ;;
    502 | 504) ;;
    none)
        [ "$ran" -eq 0 ] || fail "$id ran and has no answer"
        grep -q "id=$id " "$fleet_dir/g1.log" &&
            fail "$id was read and has no answer"
        ;;
    *) fail "$id: status $status" ;;
    esac
    [ "$end" != torn ] || [ "$id" = before ] || fail "$id: $status $end"
done <"$fleet_dir/all"
grep -q "^before 200 whole" "$fleet_dir/all" ||
    fail "a stream that began before the stop was cut"
[ "$(grep -c '^\(late\|resume\)[0-9] 503 ' "$fleet_dir/all")" -ge 6 ] ||
    fail "streams in the grace period were not refused at once"
[ "$(grep -c '^c.* 200 ' "$fleet_dir/all")" -ge 100 ] ||
    fail "too few orders were served"
echo "every request that was read in the grace period was answered"
