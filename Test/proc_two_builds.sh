#!/usr/bin/env bash
# Guards against an upgrade in which the builds do not read each other's evidence
# on prompts that crash engines: every second gateway is of the build before,
# made from the history, and no more such requests reach engines late than with
# one build.
set -u
cd "$(dirname "$0")/.."
previous=78a9c09
folder=$PWD/build-previous/$previous
bin=${BIN:-build}

if ! git cat-file -e "$previous^{commit}" 2>/dev/null; then
    echo "not run: the history has no $previous"
    exit 0
fi
if [ ! -x "$folder/build/carobloftd" ]; then
    mkdir -p "$folder"
    git archive "$previous" -- Makefile Include Objects Controllers Parser \
        Grammar Modules Filters platform Protocol Programs Tools |
        tar -x -C "$folder" || exit 1
    env -u BIN -u MAKEFLAGS make -C "$folder" -j8 BUILD=build \
        build/carobloftd >"$folder/make.log" 2>&1 || {
        tail -5 "$folder/make.log"
        exit 1
    }
fi

results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT
pids=()
for crash in head:50 events:50:1 events:0:8; do
    BIN=$bin BIN2=$folder/build GATEWAYS=4 SECONDS_LONG=14 LATE_MAX=3 \
        SERVED_MIN=95 bash Tools/crashing_prompts.sh "$crash" \
        >"$results/$crash" 2>&1 &
    pids+=($!)
done
status=0
for pid in "${pids[@]}"; do wait "$pid" || status=1; done
cat "$results"/*
exit $status
