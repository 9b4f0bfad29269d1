#!/usr/bin/env bash
# The files of the library form layers: no circle of calls between them, and
# headers that are private to a part are included by that part alone.
set -u
cd "$(dirname "$0")/.."
BIN=${BIN:-build}
broken=0

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
    echo "BROKEN: only $(wc -l <"$edges") calls between files were found"
    broken=1
fi
if ! tsort "$edges" >/dev/null 2>"$edges.loops"; then
    echo "BROKEN: files call each other in a circle"
    cat "$edges.loops"
    broken=1
fi

only() { # HEADER FILES...
    local header=$1 file
    shift
    for file in $(grep -l "#include \"internal/$header\"" -r Modules Objects Controllers \
        Parser Filters platform Programs Tools Include --include='*.[ch]'); do
        case " $* " in *" $file "*) continue ;; esac
        echo "BROKEN: $file includes the private $header"
        broken=1
    done
}
only caro_session.h Modules/session*.c
only caro_console_private.h Modules/console*.c

[ "$broken" -eq 0 ] && echo "$(wc -l <"$edges") calls between files, no circle"
exit "$broken"
