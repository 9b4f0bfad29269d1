#!/usr/bin/env bash
# Guards against a request that runs although its text stands inside the body of
# another one (review case 8), and against a broken answer of an upstream that
# reaches its caller as a whole one.  Processes: a gateway, raw callers, order
# services that count what they ran, upstreams with malformed answers.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

fail() {
    echo "FAILED: $1"
    tail -n 5 "$fleet_dir"/g1.log
    exit 1
}

head_of() { # ID TARGET LAST-HEADER
    printf 'POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\n' \
        "$2" "$1"
    printf 'X-Deadline-Ms: 2500\r\nX-Api-Key: key-1\r\n%s\r\n\r\n' "$3"
}

# Sends standard input to the gateway and prints what comes back.
exchange() { # SECONDS
    local address
    address=$(gateway_front 1)
    exec 9<>"/dev/tcp/${address%:*}/${address#*:}"
    cat >&9
    timeout "$1" cat <&9 || true
    exec 9>&-
}

ran() { # ID
    "$bin/carobench" get "$(gateway_desk 1)" "/ran?id=$1" |
        grep -a -o -E '^[0-9]+$' | tail -n 1
}

metric() { # NAME
    "$bin/carobench" get "$(gateway_metrics 1)" /metrics |
        sed -n "s/^$1 //p"
}

gateway_fleet_start 1 1 0

# What a body in chunks may hold that the grammar does not have.  The text of
# another request stands behind it, or inside the data of a second chunk.
broken=(
    '2;\nxx' '2;a="\n"\r\nxx' '2;a\0b\r\nxx' '2\nxx' '2 \r\nxx' '2 5\r\nxx'
    '0x2\r\nxx' '+2\r\nxx' '2\rXxx' '2;a\r\nxxXY0' '2\r\nxx\rX0'
    '0\r\n\n' '0\r\nNote: a\n\n' '0\r\nNote: a\r\n\n' '0\r\nNote: a\r\n b\r\n\r\n'
    '0\r\nNote : a\r\n\r\n'
)
sound=(
    '2\r\nxx\r\n0\r\n\r\n' '2;a="b;c"\r\nxx\r\n0\r\n\r\n'
    '0002;A\r\nxx\r\n00\r\nNote:\r\n\r\n'
)
chunked='Transfer-Encoding: chunked'
n=0
echo "== requests with broken framing"
for form in "${broken[@]}"; do
    for place in behind inside; do
        n=$((n + 1))
        inner=$(head_of "inner-$n" /o/inner 'Content-Length: 0' | tr '\r' '%')
        {
            head_of "outer-$n" /o/outer "$chunked"
            # shellcheck disable=SC2059
            printf "$form"
            if [ "$place" = inside ]; then
                printf '\r\n%x\r\n0\r\n\r\n' $((${#inner} + 7))
            fi
            printf '%s\n\n' "$inner" | tr '%' '\r'
            printf '\r\n0\r\n\r\n'
        } | exchange 1 >"$fleet_dir/answer"
        answers=$(grep -a -c '^HTTP/1.1 ' "$fleet_dir/answer" || true)
        status=$(sed -n '1s/HTTP.1.1 \([0-9]*\).*/\1/p' "$fleet_dir/answer")
        outer_runs=$(ran "outer-$n")
        inner_runs=$(ran "inner-$n")
        [ "$answers/$status/$outer_runs/$inner_runs" = 1/400/0/0 ] ||
            fail "$form, text $place: $answers answers, status $status, \
outer ran $outer_runs times, inner $inner_runs"
    done
done
echo "$n requests, each refused, none ran"

echo "== requests with sound framing"
for form in "${sound[@]}"; do
    n=$((n + 1))
    {
        head_of "outer-$n" /o/outer "$chunked"
        # shellcheck disable=SC2059
        printf "$form"
        head_of "next-$n" /o/next 'Content-Length: 0'
    } | exchange 1 >"$fleet_dir/answer"
    answers=$(grep -a -c '^HTTP/1.1 200' "$fleet_dir/answer" || true)
    [ "$answers/$(ran "outer-$n")/$(ran "next-$n")" = 2/1/1 ] ||
        fail "$form: $answers answers, ran $(ran "outer-$n"), $(ran "next-$n")"
done

echo "== targets and headers that two readers take differently"
try_head() { # STATUS TARGET HEADER
    n=$((n + 1))
    head_of "head-$n" "$2" "$3" | exchange 1 >"$fleet_dir/answer"
    grep -a -q "^HTTP/1.1 $1 " "$fleet_dir/answer" ||
        fail "$2 with $3: $(head -n 1 "$fleet_dir/answer"), not $1"
    [ "$1" = 200 ] || [ "$(ran "head-$n")" = 0 ] || fail "$2 with $3 ran"
}
none='Content-Length: 0'
try_head 400 /o/../l/x "$none"
try_head 400 /l/%2e%2e/o/x "$none"
try_head 400 '/o/x#y' "$none"
try_head 400 /o/x "$none"$'\r\nX-Api-Key: key-1'
try_head 400 /o/x "$none"$'\r\nX-Deadline-Ms: 9'
try_head 400 /o/x "$none"$'\r\nX-Attempt-Id: other'
try_head 400 /o/x "$none"$'\r\nHost: desk.example'
try_head 400 /o/x "$none"$'\r\nConnection: X-Api-Key'
try_head 417 /o/x "$none"$'\r\nExpect: foo'
try_head 200 http://desk.example/o/x "$none"
try_head 200 /o/x $'Content-Length:\t0'
[ "$(metric requests_malformed_target)" = 3 ] || fail "targets are not counted"
[ "$(metric requests_malformed_trailer)" -gt 0 ] ||
    fail "trailers are not counted"
grep -q 'A message was refused. kind=request peer=127.0.0.1:.* cause=trailer ' \
    "$fleet_dir/g1.log" || fail "no line of the log names the cause"

echo "== answers with broken framing"
port=$((fleet_base + 320))
for kind in sound lf-in-extension data-end data-end-cr two-sizes trailer-lf \
    last-lf folded-trailer refusal-data-end; do
    port=$((port + 1))
    address=127.0.0.1:$port
    fleet_run "m-$kind" "$bin/carofake" endless --listen "$address" \
        --name "$kind"
    entry="\"service\":\"desk\",\"address\":\"$address\",\"zone\":\"d1\",\
\"version\":\"v1\",\"slots\":64"
    gateway_write "servers/m-$kind" "{$entry,\"state\":\"ready\"}"
    sleep 0.5
    for i in $(seq 1 24); do
        path=/o/x
        [ $((i % 2)) -eq 0 ] || path=/l/x
        head_of "$kind-$i" $path "$none"$'\r\nConnection: close' |
            exchange 2 >"$fleet_dir/answer.$i"
        sleep 0.1 # A failing upstream is tried again after a pause.
    done
    gateway_write "servers/m-$kind" "{$entry,\"state\":\"draining\"}"
    reached=$(grep -c . "$fleet_dir/m-$kind.log" || true)
    helloes=0
    failed=0
    for i in $(seq 1 24); do
        ! grep -a -q hello "$fleet_dir/answer.$i" || helloes=$((helloes + 1))
        status=$(sed -n '1s/HTTP.1.1 \([0-9]*\).*/\1/p' "$fleet_dir/answer.$i")
        case $status in
        200) ;;
        502) # Only what runs once may fail, and it makes no promise.
            [ $((i % 2)) -eq 0 ] || fail "$kind: a repeatable request failed"
            failed=$((failed + 1))
            ;;
        *) fail "$kind: status $status" ;;
        esac
    done
    echo "$kind: $reached reached it, $helloes came back whole, $failed failed"
    [ "$reached" -gt 0 ] || fail "$kind: no request went there"
    if [ "$kind" = sound ]; then
        [ "$helloes" = "$reached" ] || fail "$kind: not all came back"
    elif [ "$helloes" != 0 ]; then
        fail "$kind: a broken answer came back as a whole one"
    fi
    fleet_kill "m-$kind" KILL
done
[ "$(metric responses_malformed_chunk_end)" -gt 0 ] ||
    fail "answers are not counted"
