#!/usr/bin/env bash
# Runs the unit tests and the tests with processes, each under its name,
# passes over just what KNOWN-RED.txt lists (lines "red: NAME"), prints
# those, and ends with the count.
set -u
cd "$(dirname "$0")/.."
passed=0
failed=0
red=0
output=$(mktemp)
trap 'rm -f "$output"' EXIT

is_known_red() {
    grep -q "^red: $1\$" KNOWN-RED.txt 2>/dev/null
}

run_test() {
    local name=$1
    shift
    if "$@" >"$output" 2>&1; then
        passed=$((passed + 1))
        echo "ok       $name"
    elif is_known_red "$name"; then
        red=$((red + 1))
        echo "KNOWN    $name"
    else
        failed=$((failed + 1))
        echo "FAILED   $name"
        tail -40 "$output"
    fi
}

for test in "$BIN"/Test/test_*; do
    case $test in *.o | *.d) continue ;; esac
    run_test "$(basename "$test")" "$test"
done
for test in Test/fuzz_run.sh Test/model_*.sh Test/bench_*.sh Test/proc_*.sh; do
    run_test "$(basename "$test" .sh)" bash "$test"
done
if [ -s KNOWN-RED.txt ]; then
    echo "known red:"
    cat KNOWN-RED.txt
fi
echo "$passed passed, $failed failed, $red skipped"
[ "$failed" -eq 0 ]
