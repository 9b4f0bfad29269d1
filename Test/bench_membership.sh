#!/usr/bin/env bash
# Measures the membership protocol with 13 to 410 VMs on a virtual clock and
# fails when a result misses the target.
exec build/carobench membership
