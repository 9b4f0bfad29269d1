#!/usr/bin/env bash
# Measures the rollout of a faulty version when there are few requests, where
# the canary test has little data, and fails when a result misses the target.
exec build/carobench rollouts night
