#!/usr/bin/env bash
# Guards against requests with a part that crashes engines still being sent long
# after the fifth crash, in each way that an engine can end on a request.
set -u
export SECONDS_LONG=14 LATE_MAX=3 SERVED_MIN=95
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT
pids=()

start_run() { # NAME VARIABLE=VALUE... CRASH
    local name=$1
    shift
    env "${@:1:$#-1}" bash Tools/crashing_prompts.sh "${!#}" \
        >"$results/$name" 2>&1 &
    pids+=($!)
}

status=0
wait_runs() {
    local pid
    for pid in "${pids[@]}"; do wait "$pid" || status=1; done
    pids=()
}

start_run head DEADLY=2 head:50
start_run no-head DEADLY=2 no-head:50
start_run one-event DEADLY=2 events:50:1
wait_runs
start_run some-events DEADLY=2 events:0:8
start_run silence DEADLY=2 no-head:3000
start_run many-at-once DEADLY=4 BURST=8 head:50
wait_runs
# A third of the callers cannot be served while it is stopped.
start_run stopped-gateway SERVED_MIN= DEADLY=4 STOPPED_S=6 head:50
start_run same-name DEADLY=2 KEEP_NAME=1 RESTART_MS=0 no-head:0
start_run plain-route DEADLY=2 ROUTE=/p/ no-head:50
wait_runs
cat "$results"/*
exit $status
