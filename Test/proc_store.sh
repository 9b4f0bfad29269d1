#!/usr/bin/env bash
# Guards against lost or wrongly reported configuration changes and against a
# burst of reads on the store.  Two operators write at once, responses are lost
# after a write, invalid and outdated configurations are put, and the store
# becomes unavailable while a node is restarted, then recovers.
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

# Waits until the output of a command at a node contains a text.
wait_output() { # NODE COMMAND TEXT
    local i
    for i in $(seq 1 100); do
        if caro "$1" "$2" 2>/dev/null | grep -q "$3"; then
            return 0
        fi
        sleep 0.1
    done
    fail "$2 at n$1 does not show $3 after 100 tries"
}

revision() { caro "$1" st | sed -n 's/^config rev //p'; }

fleet_start 3 3 1 1

# The store delays each response by 800 ms, so that the commands overlap: both
# changes start from the revision before either is acknowledged.  A command
# that reached a node after it learned of the first change would rightly
# succeed too.
echo "== two operators write at once"
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
[ "$won" = 1 ] && [ "$lost" = 1 ] ||
    fail "expected one change done and one not done"
for i in 1 2 3; do
    wait_output "$i" dep moving
done

echo "== responses lost after the write"
fleet_fault "$(fleet_store)" "lose=0.5"
for round in 1 2 3; do
    for step in "undo chat:UNDONE" "mv chat v2 by +1h:moving"; do
        before=$(revision 1)
        # shellcheck disable=SC2086
        verdict=$(caro 1 ${step%:*} | head -1)
        echo "$round $verdict"
        case $verdict in
        done:*) wait_output 2 dep "${step#*:}" ;;
        "not done:"*) fail "not done without a competing change: $verdict" ;;
        unknown:*) ;;
        *) fail "unknown form of the response: $verdict" ;;
        esac
        [ "$(revision 1)" -ge "$before" ] || fail "the revision decreased"
    done
done
fleet_fault "$(fleet_store)" "lose=0"

# The store's own count shows whether a write was attempted.  The revision
# does not: it may still increase by a change above whose outcome was unknown.
write_count() {
    fleet_get "$(fleet_store)" /fault | sed 's/.*writes \([0-9]*\).*/\1/'
}
echo "== an invalid change is rejected"
before=$(write_count)
caro 1 mv chat v9 by +1h | tee "$fleet_dir/c.txt"
grep -q '^not done' "$fleet_dir/c.txt" ||
    fail "the unknown version v9 was accepted"
[ "$(write_count)" = "$before" ] || fail "a rejected change reached the store"

echo "== get, edit, put"
caro 1 get >"$fleet_dir/edit.json"
sed -i 's/"name": "a9"/"name": "added"/' "$fleet_dir/edit.json"
caro 1 put "$fleet_dir/edit.json" | tee "$fleet_dir/e.txt"
grep -q '^done' "$fleet_dir/e.txt" || fail "put was not done"
caro 2 put "$fleet_dir/edit.json" | tee "$fleet_dir/e.txt"
grep -q '^not done' "$fleet_dir/e.txt" ||
    fail "an outdated configuration was accepted"
sed 's/"kind": "model"/"kind": "cat"/' "$fleet_dir/config.json" |
    sed 's/"kind":"model"/"kind":"cat"/' >"$fleet_dir/bad.json"
caro 1 put "$fleet_dir/bad.json" | tee "$fleet_dir/e.txt"
grep -q '^not done' "$fleet_dir/e.txt" ||
    fail "an invalid configuration was accepted"
before=$(revision 1)

echo "== an upstream is drained"
caro 1 drain e2
for i in 1 2 3; do
    wait_output "$i" up "e2 .*leaving"
done
before=$(revision 1)

echo "== a node restarted while the store is unavailable"
fleet_fault "$(fleet_store)" "down=1"
fleet_kill n3 KILL
sleep 1
fleet_start_node 3
wait_output 3 st "config rev $before"
caro 1 undo chat | tee "$fleet_dir/d.txt"
grep -q '^unknown' "$fleet_dir/d.txt" ||
    fail "the outcome during the outage is not unknown"
sleep 3
# Sets the fault "down" and prints the number of reads so far.
set_down_and_count_reads() { # DOWN
    fleet_get "$(fleet_store)" "/fault?down=$1" |
        sed 's/reads \([0-9]*\).*/\1/'
}
start=$(set_down_and_count_reads 0)
sleep 5
used=$(($(set_down_and_count_reads 0) - start))
echo "reads in 5 s after the recovery: $used"
# A fifth of the store's capacity of 2,000 reads per second would be 2,000
# reads in this time.
[ "$used" -le 100 ] || fail "too many reads after the recovery"
[ "$used" -ge 1 ] || fail "no node reads the store"
echo "all store checks passed"
