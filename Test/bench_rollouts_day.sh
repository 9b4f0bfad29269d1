#!/usr/bin/env bash
# Moves of traffic, 1,000 of each kind, with the aims as bounds.
exec build/carobench rollouts day
