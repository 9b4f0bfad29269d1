#!/usr/bin/env bash
# The measurement of the decisions on a virtual clock, with the bounds of
# the target.  It is deterministic, so it runs without sanitizers.
exec build/carobench decisions all
