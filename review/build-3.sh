#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build of
# deploy/system.toml: the project's own store and its client, and the small
# ones of review/stand-ins-3/.
set -eu
cd "$(dirname "$0")/.."
make -j4 build/carofake build/carobench
mkdir -p build/review-3
for name in callers desk stray; do
    [ ! -f "review/stand-ins-3/$name.c" ] ||
        gcc -std=c11 -O2 -D_GNU_SOURCE -Wall -Wextra -pthread \
            -o "build/review-3/$name" "review/stand-ins-3/$name.c"
done
