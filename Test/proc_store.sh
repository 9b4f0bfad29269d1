#!/usr/bin/env bash
# The store: racing operators, answers lost after a write, an outage with a
# node started in it, and the return without a storm.  Real processes.
set -eu
. Tools/fleet.sh
trap fleet_stop EXIT

caro() { # NODE WORD...
    local at=$1
    shift
    "$bin/caro" --at "$(fleet_http "$at")" "$@"
}

fail() {
    echo "FAILED: $1"
    for log in "$fleet_dir"/n*.log; do tail -n 5 "$log"; done
    exit 1
}

# Waits until a node's report says the text.
wait_says() { # NODE COMMAND TEXT
    local i
    for i in $(seq 1 100); do
        if caro "$1" "$2" 2>/dev/null | grep -q "$3"; then
            return 0
        fi
        sleep 0.1
    done
    fail "$2 at n$1 does not say $3"
}

revision() { caro "$1" st | sed -n 's/^config rev //p'; }

fleet_start 3 3 1 1

# The commands overlap for certain: the store takes 800 ms an answer, so both
# changes are made from the revision before either has been answered.  One
# that came later, to a node that knows the first, would rightly be done too.
echo "== two operators at once"
fleet_fault "$(fleet_store)" "slow_ms=800"
caro 1 mv chat v2 by +1h >"$fleet_dir/a.txt" &
a=$!
caro 2 mv chat v2 by +2h >"$fleet_dir/b.txt" &
b=$!
wait "$a" "$b"
fleet_fault "$(fleet_store)" "slow_ms=0"
cat "$fleet_dir/a.txt" "$fleet_dir/b.txt"
won=$(cat "$fleet_dir/a.txt" "$fleet_dir/b.txt" | grep -c '^done' || true)
lost=$(cat "$fleet_dir/a.txt" "$fleet_dir/b.txt" | grep -c '^not done' || true)
[ "$won" = 1 ] && [ "$lost" = 1 ] || fail "not one winner and one loser"
for i in 1 2 3; do
    wait_says "$i" dep moving
done

echo "== answers lost after the write"
fleet_fault "$(fleet_store)" "lose=0.5"
for round in 1 2 3; do
    for step in "undo chat:UNDONE" "mv chat v2 by +1h:moving"; do
        before=$(revision 1)
        # shellcheck disable=SC2086
        verdict=$(caro 1 ${step%:*} | head -1)
        echo "$round $verdict"
        case $verdict in
        done:*) wait_says 2 dep "${step#*:}" ;;
        "not done:"*) fail "no other operator was there: $verdict" ;;
        unknown:*) ;;
        *) fail "no clear word: $verdict" ;;
        esac
        [ "$(revision 1)" -ge "$before" ] || fail "a revision fell"
    done
done
fleet_fault "$(fleet_store)" "lose=0"

# The store tells whether it was asked to write; a node's revision may still
# grow here by a change of above that it was told of as unknown.
writes() { fleet_get "$(fleet_store)" /fault | sed 's/.*writes \([0-9]*\).*/\1/'; }
echo "== a bad change is refused"
before=$(writes)
caro 1 mv chat v9 by +1h | tee "$fleet_dir/c.txt"
grep -q '^not done' "$fleet_dir/c.txt" || fail "v9 was taken"
[ "$(writes)" = "$before" ] || fail "a refused change reached the store"

echo "== get, edit, put"
caro 1 get >"$fleet_dir/edit.json"
sed -i 's/"name": "a9"/"name": "added"/' "$fleet_dir/edit.json"
caro 1 put "$fleet_dir/edit.json" | tee "$fleet_dir/e.txt"
grep -q '^done' "$fleet_dir/e.txt" || fail "put was not done"
caro 2 put "$fleet_dir/edit.json" | tee "$fleet_dir/e.txt"
grep -q '^not done' "$fleet_dir/e.txt" || fail "an old revision was put"
sed 's/"kind": "model"/"kind": "cat"/' "$fleet_dir/config.json" |
    sed 's/"kind":"model"/"kind":"cat"/' >"$fleet_dir/bad.json"
caro 1 put "$fleet_dir/bad.json" | tee "$fleet_dir/e.txt"
grep -q '^not done' "$fleet_dir/e.txt" || fail "a bad configuration was put"
before=$(revision 1)

echo "== an upstream leaves"
caro 1 drain e2
for i in 1 2 3; do
    wait_says "$i" up "e2 .*leaving"
done
before=$(revision 1)

echo "== an outage, and a node started in it"
fleet_fault "$(fleet_store)" "down=1"
fleet_kill n3 KILL
sleep 1
fleet_start_node 3
wait_says 3 st "config rev $before"
caro 1 undo chat | tee "$fleet_dir/d.txt"
grep -q '^unknown' "$fleet_dir/d.txt" || fail "an outage is not told"
sleep 3
reads() { fleet_get "$(fleet_store)" "/fault?down=$1" | sed 's/reads \([0-9]*\).*/\1/'; }
start=$(reads 0)
sleep 5
used=$(($(reads 0) - start))
echo "reads in 5 s after the return: $used"
# A fifth of the service's 2,000 reads a second would be 2,000 here.
[ "$used" -le 100 ] || fail "a storm of reads"
[ "$used" -ge 1 ] || fail "nobody reads the store"
echo "the store was met as it should"
