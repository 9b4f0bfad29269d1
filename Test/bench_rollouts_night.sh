#!/usr/bin/env bash
# The move of a bad version when there are few requests.
exec build/carobench rollouts night
