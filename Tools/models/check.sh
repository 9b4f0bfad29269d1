#!/usr/bin/env bash
# Checks the model of the order protocol with Spin, and checks that an
# assertion is violated when any one of its rules is removed.
set -u
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# Checks the model with a macro defined and prints "holds", "broken" (an
# assertion was violated) or "unusable" (the search was not completed).
verdict() { # MACRO
    cp orders.pml "$work/"
    (
        cd "$work" || exit 1
        # shellcheck disable=SC2086
        spin -a ${1:+-D$1} orders.pml >spin.log 2>&1 &&
            gcc -O2 -DSAFETY -w -o pan pan.c &&
            ./pan -E -m100000 -w24 >pan.log 2>&1
        if grep -q "errors: 0" pan.log && ! grep -q "out of memory" pan.log &&
            ! grep -q "max search depth too small" pan.log; then
            echo holds
        elif grep -q "assertion violated" pan.log; then
            echo broken
        else
            echo unusable
        fi
    )
}

# Prints the number of states in the last search.
states() { sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.log"; }

expect() { # RESULT MACRO
    local got
    got=$(verdict "$2")
    if [ "$got" = "$1" ]; then
        echo "ok      ${2:-all rules}: $got, $(states) states"
    else
        echo "FAILED  ${2:-all rules}: $got, expected $1"
        failed=1
        tail -20 "$work"/*.log
    fi
}

expect holds ""
expect broken NO_INTENT
expect broken NO_FENCE
expect broken NO_BOOT
expect broken NO_SELF_FENCE
exit $failed
