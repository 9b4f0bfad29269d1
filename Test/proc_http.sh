#!/usr/bin/env bash
# Guards against malformed, oversized or unauthorized input that is accepted,
# stops the node or gets an unhelpful response.  Each such request must get a
# 4xx status whose text names the fault, and the node must continue to serve.
set -eu
. Tools/fleet.sh
trap fleet_stop EXIT
TICKET_TTL_MS=1000 fleet_start 2 2 1
at=$(fleet_http 1)
failed=0

# Sends a request and checks the status and a part of the response.
expect() { # STATUS TEXT METHOD PATH BODY [HEADER VALUE]
    local status=$1 text=$2 got
    shift 2
    got=$("$bin/carobench" call "$at" "$@" 2>&1) || true
    case $got in
    "$status "*"$text"*) ;;
    *)
        echo "FAILED: $* got: $got"
        echo "        expected: $status ... $text"
        failed=1
        ;;
    esac
}

good='"account":"a0","model":"chat","prompt":"x","max_tokens":4'
c=/v1/completions
expect 400 'line 1 column' POST $c '{"account":'
expect 400 '$.account: found no text' POST $c '{}'
expect 400 '$.model' POST $c '{"account":"a0"}'
expect 400 '$.prompt' POST $c '{"account":"a0","model":"chat"}'
expect 400 '$.max_tokens' POST $c \
    '{"account":"a0","model":"chat","prompt":"x","max_tokens":0}'
expect 400 '$.stream' POST $c "{$good}"
expect 403 'found nobody' POST $c "{${good/a0/nobody},\"stream\":true}"
expect 404 'found cat' POST $c "{${good/chat/cat},\"stream\":true}"
expect 404 'found desk' POST $c "{${good/chat/desk},\"stream\":true}"
expect 400 'Last-Event-ID' POST $c "{$good,\"stream\":true}" \
    Last-Event-ID nonsense
expect 410 'the generation is lost' POST $c "{$good,\"stream\":true}" \
    Last-Event-ID 0123456789abcdef.n1.n2.3
expect 405 'allowed: POST' GET $c ''
expect 404 'no such path' GET /v1/nothing ''
for i in $(seq 1 50); do
    expect 413 'allowed: 262144' POST $c '#300000'
done
expect 400 'found nothing' POST '/v1/orders/desk/book?account=a0' '{}'
expect 428 'carries no ticket' POST '/v1/orders/desk/book?account=a0' '{}' \
    Idempotency-Key my-key
expect 428 'signature' POST '/v1/orders/desk/book?account=a0' '{}' \
    Idempotency-Key n1.1.n2.2.ffffffffff.0123456789abcdef01234567.x
ticket=$(fleet_get "$at" "/v1/addresses?account=a0" |
    sed 's/.*"ticket":"\([^"]*\)".*/\1/')
expect 201 'booked' POST '/v1/orders/desk/book?account=a0' '{}' \
    Idempotency-Key "$ticket.one"
expect 201 '"number":1' POST '/v1/orders/desk/book?account=a0' '{}' \
    Idempotency-Key "$ticket.one"
expect 422 'used for another request' POST \
    '/v1/orders/desk/book?account=a0' '{"x":1}' Idempotency-Key "$ticket.one"
sleep 1.2
expect 410 'has ended' POST '/v1/orders/desk/book?account=a0' '{}' \
    Idempotency-Key "$ticket.two"
expect 403 'unknown account' POST '/v1/orders/desk/book?account=zz' '{}'
expect 404 'unknown order service' POST '/v1/orders/chat/book?account=a0' '{}'
expect 200 'stock' GET '/v1/orders/desk/stock?account=a0' ''
expect 401 'token is required' POST /v1/command 'st'
expect 401 'token is required' POST /v1/command 'st' Authorization 'Bearer x'
expect 400 'nearest is: undo' POST /v1/command 'undp chat' \
    Authorization "Bearer $CARO_TOKEN"
expect 200 'seen by n1' POST /v1/command 'st' \
    Authorization "Bearer $CARO_TOKEN"
expect 401 '' GET /v1/state ''
expect 200 'requests ' GET /v1/counters ''
expect 200 '[DONE]' POST $c "{$good,\"stream\":true}"

# An incomplete request head and 100 connections that send nothing do not keep
# the node from serving.
exec 3<>"/dev/tcp/${at%:*}/${at#*:}"
printf 'POST /v1/completions HTTP/1.1\r\nHost:' >&3
for i in $(seq 1 100); do
    exec {fd}<>"/dev/tcp/${at%:*}/${at#*:}"
done
expect 200 '[DONE]' POST $c "{$good,\"stream\":true}"
exit $failed
