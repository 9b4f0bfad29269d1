#!/usr/bin/env bash
# The membership's functions at 13 to 410 VMs on a virtual clock, with the
# bounds of the target.
exec build/carobench membership
