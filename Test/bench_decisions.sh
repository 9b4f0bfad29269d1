#!/usr/bin/env bash
# Measures the decision functions on a virtual clock and fails when a result
# misses the target.  The run is deterministic, so it uses the build
# without sanitizers.
exec build/carobench decisions all
