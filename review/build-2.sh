#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/6 and later start.  The
# gateways are those of the build in deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
make -j4 build/carofake build/carobench
