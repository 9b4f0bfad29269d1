#!/usr/bin/env bash
# Builds the fuzz target of the parsers and runs it from the committed corpus,
# with a fixed seed and a limited number of inputs.  It fails when an input
# crashes a parser or violates a sanitizer check.
set -eu
out=build-fuzz
mkdir -p "$out"
packages="libtirpc jansson gsl libcrypto libevent log4c"
# shellcheck disable=SC2046,SC2086
clang -std=c11 -O1 -g -D_GNU_SOURCE -fsanitize=fuzzer,address,undefined \
    -fno-sanitize-recover=all -IInclude -IProtocol \
    $(pkg-config --cflags $packages) -o "$out/fuzz_parsers" \
    Test/fuzz_parsers.c Parser/*.c platform/*.c Objects/error.c \
    Objects/name.c Objects/prompt_parts.c Objects/revision.c Objects/routes.c \
    Objects/text.c Objects/ticket.c Objects/http_chars.c \
    Objects/http_target.c Modules/clock.c Modules/http.c \
    Modules/http_chunks.c Modules/http_fault.c Modules/http_head.c \
    Modules/http_reader.c Modules/log.c \
    $(pkg-config --libs $packages) -lm
cp -r Test/corpus "$out/"
"$out/fuzz_parsers" -seed=1 -runs="${RUNS:-200000}" -max_len=4096 \
    "$out/corpus" 2>&1 | tail -3
exit "${PIPESTATUS[0]}"
