#!/usr/bin/env bash
# Builds the stand-ins of the review's cases: the project's own, and those of
# review/stand-ins, which go to build/review.
set -eu
cd "$(dirname "$0")/.."
make -j8 build/carofake build/carobench >/dev/null
mkdir -p build/review
for source in review/stand-ins/*.c; do
    name=$(basename "$source" .c)
    gcc -std=c11 -O2 -g -D_GNU_SOURCE -Wall -Wextra -o "build/review/$name" \
        "$source" -lpthread -lm
done
