#!/usr/bin/env bash
# Measures how long streams take to be resumed after an engine failed, at one
# seed, and fails when the longest times miss the target.
exec build/carobench decisions tail
