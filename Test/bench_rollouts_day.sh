#!/usr/bin/env bash
# Measures rollouts under daytime traffic, 1,000 of each kind, and fails when
# a result misses the target.
exec build/carobench rollouts day
