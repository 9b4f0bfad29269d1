#!/usr/bin/env bash
# Guards against a second way to read HTTP: the listeners of the product's own
# interface and the gateway's addresses for readiness, the directory and metrics
# refuse what the gateway's listener for callers refuses.  Behind each malformed
# request stands another one, which must not be answered.
set -eu
. Tools/gateway_fleet.sh
trap fleet_stop EXIT

fail() {
    echo "FAILED: $1"
    exit 1
}

# Sends standard input to the address and prints what comes back.
exchange() { # ADDRESS
    exec 9<>"/dev/tcp/${1%:*}/${1#*:}"
    cat >&9
    timeout 2 cat <&9 || true
    exec 9>&-
}

host='Host: a\r\n'
next='GET /next HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
chunked="POST /p HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\n"
sized="POST /p HTTP/1.1\r\n$host"
malformed=(
    "POST /p HTTP/1.1\nHost: a\nContent-Length: 0\n\n"
    "${sized}Content-Length: 2\r\nContent-Length: 2\r\n\r\nab"
    "${sized}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"
    "${sized}Content-Length: +2\r\n\r\nab" "${sized}Content-Length: 0x2\r\n\r\nab"
    "${sized}Content-Length : 2\r\n\r\nab" "${sized}X: a\r\n b\r\n\r\n"
    "POST /p HTTP/1.1\r\nContent-Length: 0\r\n\r\n" "POST /a/../p HTTP/1.1\r\n$host\r\n"
)
for body in '2\nab\r\n0\r\n\r\n' '2\r\nab\n0\r\n\r\n' '2\r\nab0\r\n\r\n' \
    '2 \r\nab\r\n0\r\n\r\n' '2 5\r\nab\r\n0\r\n\r\n' ' 2\r\nab\r\n0\r\n\r\n' \
    '0x2\r\nab\r\n0\r\n\r\n' '+2\r\nab\r\n0\r\n\r\n' '2;a\nb\r\nab\r\n0\r\n\r\n' \
    '0\r\n\n' '0\n\r\n' '0\r\nNote: a\n\n' '0\r\nNote: a\r\n b\r\n\r\n' \
    '0\r\nNote : a\r\n\r\n' '0\r\nNote: a\0\r\n\r\n' '0\r\n: a\r\n\r\n'; do
    malformed+=("$chunked$body")
done
sound=(
    "${sized}Content-Length: 2\r\n\r\nab" "${chunked}2\r\nab\r\n0\r\n\r\n"
    "${chunked}02;a=\"b;c\"\r\nab\r\n0\r\nNote: a\r\n\r\n"
)

check_listener() { # NAME ADDRESS
    local form answers
    for form in "${malformed[@]}"; do
        # shellcheck disable=SC2059
        printf "$form$next" | exchange "$2" >"$fleet_dir/answer"
        answers=$(grep -a -o 'HTTP/1.1 [0-9]* ' "$fleet_dir/answer" | wc -l)
        [ "$answers" = 1 ] && grep -a -q '^HTTP/1.1 400 ' "$fleet_dir/answer" ||
            fail "$1, $form: $answers answers, $(head -n 1 "$fleet_dir/answer")"
    done
    for form in "${sound[@]}"; do
        # shellcheck disable=SC2059
        printf "$form$next" | exchange "$2" >"$fleet_dir/answer"
        answers=$(grep -a -o 'HTTP/1.1 [0-9]* ' "$fleet_dir/answer" | wc -l)
        [ "$answers" = 2 ] || fail "$1, $form: $answers answers"
    done
    echo "$1: ${#malformed[@]} malformed requests refused, ${#sound[@]} answered"
}

gateway_fleet_start 1 1 0
check_listener callers "$(gateway_front 1)"
check_listener readiness "$(gateway_ready 1)"
check_listener directory "$(gateway_directory 1)"
check_listener metrics "$(gateway_metrics 1)"

# The ports of the alone node follow those of the gateway.
sed -e "s/127.0.0.1:8100/$(fleet_http 2)/; s/127.0.0.1:8101/$(fleet_peer 90)/" \
    -e "s#examples/alone-config.json#$PWD/examples/alone-config.json#" \
    examples/alone.json >"$fleet_dir/alone.json"
fleet_run alone "$bin/carobloftd" --settings "$fleet_dir/alone.json"
for tries in $(seq 1 50); do
    ! "$bin/carobench" get "$(fleet_http 2)" /v1/addresses >/dev/null 2>&1 ||
        break
    sleep 0.1
done
[ "$tries" -lt 50 ] || fail "the node alone does not answer"
check_listener own "$(fleet_http 2)"
count=$("$bin/carobench" get "$(fleet_http 2)" /v1/counters |
    sed -n 's/^requests_malformed_trailer //p')
[ "$count" -gt 0 ] || fail "the node does not count the causes"
