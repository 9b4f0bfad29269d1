#!/usr/bin/env bash
# Checks the layering of the library: the references between its object files
# have no cycle, and a header that is private to a part is included by the
# files of that part only.
set -u
cd "$(dirname "$0")/.."
BIN=${BIN:-build}
failed=0

edges=$(mktemp)
trap 'rm -f "$edges" "$edges.loops"' EXIT
objects=$(ls {Objects,Controllers,Parser,Modules,Filters,platform}/*.c |
    sed "s|^|$BIN/|; s|c\$|o|")
nm -A $objects | awk '
    { split($1, at, ":"); file = at[1] }
    $(NF - 1) ~ /^[TDRB]$/ { owner[$NF] = file }
    $(NF - 1) == "U" { wanted[++n] = file " " $NF }
    END {
        for (i = 1; i <= n; i++) {
            split(wanted[i], w, " ")
            if (w[2] in owner && owner[w[2]] != w[1]) {
                print w[1], owner[w[2]]
            }
        }
    }' | sort -u >"$edges"
if [ "$(wc -l <"$edges")" -lt 100 ]; then
    echo "BROKEN: only $(wc -l <"$edges") references between files found"
    failed=1
fi
if ! tsort "$edges" >/dev/null 2>"$edges.loops"; then
    echo "BROKEN: cyclic references between files"
    cat "$edges.loops"
    failed=1
fi

check_private() { # HEADER FILES...
    local header=$1 file
    shift
    for file in $(grep -l "#include \"internal/$header\"" -r Modules Objects Controllers \
        Parser Filters platform Programs Tools Include --include='*.[ch]'); do
        case " $* " in *" $file "*) continue ;; esac
        echo "BROKEN: $file includes the private $header"
        failed=1
    done
}
check_private caro_session.h Modules/session*.c
check_private caro_console_private.h Modules/console*.c
check_private caro_registry_private.h Modules/registry*.c
check_private caro_relay_private.h Modules/relay*.c

[ "$failed" -eq 0 ] &&
    echo "$(wc -l <"$edges") references between files, no cycle"
exit "$failed"
