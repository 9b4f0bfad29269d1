#!/usr/bin/env bash
# A request in chunks whose framing uses a bare line feed.  The client sends
# one request; the text of another one stands inside its body.
set -u
cd "$(dirname "$0")/../.."
. review/lib-2.sh
trouble=${TROUBLE:-1} # With TROUBLE=0 the disruption is left out.
record=review/8/record.txt # What was sent, answered and run.
case_begin 8

start_store
write_store op/config "$(config 1 '"key-1"')"
for i in 1 2; do start_server "$i"; done
for i in 1 2; do start_gateway "$i"; done
wait_ready 1 2

# The text that stands inside the body.
inner() { # ID
    printf 'POST /o/inner HTTP/1.1\r\nHost: orders.example\r\n'
    printf 'X-Attempt-Id: %s\r\nX-Deadline-Ms: 2500\r\n' "$1"
    printf 'X-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n'
}

outer_head() { # ID
    printf 'POST /o/outer HTTP/1.1\r\nHost: orders.example\r\n'
    printf 'X-Attempt-Id: %s\r\nX-Deadline-Ms: 2500\r\n' "$1"
    printf 'X-Api-Key: key-1\r\nTransfer-Encoding: chunked\r\n\r\n'
}

# Two chunks: "xx", and a text in which the inner request stands.  With
# trouble, the line of the first chunk's size ends with a line feed alone.
in_extension() { # ID
    local text="0\r\n\r\n" size end='a\r\n'
    [ "$trouble" = 0 ] || end='\n'
    size=$(($(inner "$1" | wc -c) + 5))
    printf '2;%b' "$end"
    printf 'xx\r\n%x\r\n%b' "$size" "$text"
    inner "$1"
    printf '\r\n0\r\n\r\n'
}

# A trailer field.  With trouble, its line and the next, empty one end with a
# line feed alone, and what follows up to the empty line is the inner request;
# without, that stands in the body.
in_trailer() { # ID
    if [ "$trouble" = 0 ]; then
        printf '%x\r\n' "$(inner "$1" | wc -c)"
        inner "$1"
        printf '\r\n0\r\nNote: a\r\n\r\n'
    else
        printf '0\r\nNote: a\n\n'
        inner "$1"
    fi
}

sum_runs() { # ID
    local one two
    one=$(ran 1 "$1") || return 1
    two=$(ran 2 "$1") || return 1
    [ -n "$one" ] && [ -n "$two" ] && echo $((one + two))
}

broken=0
try() { # GATEWAY FORM
    local id="$2-$1" answer outer inner_runs
    say "--- to gateway $1, $2:"
    { outer_head "outer-$id"; "$2" "inner-$id"; } | tee "$work/sent" |
        send_raw "$(front "$1")" 2 >"$work/answer"
    cat -A "$work/sent" >>"$record"
    answer=$(grep -a -c '^HTTP/1.1 ' "$work/answer")
    say "answers: $answer; $(grep -a '^HTTP/1.1 ' "$work/answer" | tr -d '\r' | tr '\n' ';')"
    outer=$(sum_runs "outer-$id") || unable "no count of outer-$id"
    inner_runs=$(sum_runs "inner-$id") || unable "no count of inner-$id"
    say "ran: outer-$id $outer times, inner-$id $inner_runs times"
    [ "$inner_runs" = 0 ] || broken=1
    if [ "$trouble" = 0 ] && [ "$outer" != 1 ]; then
        unable "a sound request did not run"
    fi
}

for gateway in 1 2; do
    try "$gateway" in_extension
    try "$gateway" in_trailer
done
case_end "$broken"
