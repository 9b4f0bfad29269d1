#!/usr/bin/env bash
# Runs the unit tests, the deterministic measurements and the tests with
# processes, and prints a result for each.  Only the failures that
# KNOWN-RED.txt lists (lines "red: NAME") are tolerated; they are printed.
set -u
cd "$(dirname "$0")/.."
passed=0
failed=0
red=0
outputs=$(mktemp -d)
trap 'rm -rf "$outputs"' EXIT

is_known_red() {
    grep -q "^red: $1\$" KNOWN-RED.txt 2>/dev/null
}

# Counts a test by its exit status and prints the output of a failed one.
count_test() { # NAME STATUS
    if [ "$2" -eq 0 ]; then
        passed=$((passed + 1))
        echo "ok       $1"
    elif is_known_red "$1"; then
        red=$((red + 1))
        echo "KNOWN    $1"
    else
        failed=$((failed + 1))
        echo "FAILED   $1"
        tail -40 "$outputs/$1"
    fi
}

run_test() { # NAME COMMAND...
    local name=$1 status=0
    shift
    "$@" >"$outputs/$name" 2>&1 || status=$?
    count_test "$name" "$status"
}

for test in "$BIN"/Test/test_*; do
    case $test in *.o | *.d) continue ;; esac
    run_test "$(basename "$test")" "$test"
done

# The measurements do not depend on real time and run in parallel.
parallel_tests=$(ls Test/layers.sh Test/fuzz_run.sh Test/model_*.sh \
    Test/bench_*.sh)
pids=()
names=()
for test in $parallel_tests; do
    name=$(basename "$test" .sh)
    bash "$test" >"$outputs/$name" 2>&1 &
    pids+=($!)
    names+=("$name")
done
for i in "${!pids[@]}"; do
    status=0
    wait "${pids[$i]}" || status=$?
    count_test "${names[$i]}" "$status"
done

for test in Test/proc_*.sh; do
    run_test "$(basename "$test" .sh)" bash "$test"
done
if [ -s KNOWN-RED.txt ]; then
    echo "known red:"
    cat KNOWN-RED.txt
fi
echo "$passed passed, $failed failed, $red skipped"
[ "$failed" -eq 0 ]
