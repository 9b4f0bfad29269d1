#!/usr/bin/env bash
# The operator takes the last tenant away, and its key with it.  From then on
# the gateways run every request, with the key that was taken away, with one
# that never was, and with none.  Exits with 1 when a request that was sent
# later than revoke_ms after the acknowledgement ran.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
. review/lib.sh
case_begin "$here/record.txt"

revoke_ms=5000
route=$(order_route cut-booking /o/ desk)
tenant='{"name":"yard","api_keys":["key-1"]}'

start_store
operator op/config "$(config 1 "$route" "$tenant")"
for i in 1 2 3; do
    start_desk "$i" --service desk --slots 6 --work-ms 60
done
start_gateway 1
start_gateway 2
wait_ready 1 2
sleep 1

send() { # PREFIX KEY: some clients, in the background
    build/review/callers --to "$(front 1),$(front 2)" --key "$2" \
        --prefix "$1" --clients 4 --seconds 16 --pause-ms 100 \
        --answers "$run_dir/answers.$1" &
}
send held- key-1
send unknown- key-9
send none- ""
sleep 3
# Without trouble the version is a new one and the tenant keeps its key.
[ "${TROUBLE:-1}" = 0 ] || tenant=""
operator op/config "$(config 2 "$route" "$tenant")"
acked=$(date +%s.%N)
wait

# Requests that ran, with the time at which they were sent.
cat "$run_dir"/answers.* >"$run_dir/answers"
awk -v acked="$acked" -v bound="$revoke_ms" -v trouble="${TROUBLE:-1}" '
    NR == FNR { if ($2 == "run") ran[$3] = $4 " " $5; next }
    { kind = $4; sub(/-.*/, "", kind); late = $1 > acked + bound / 1000 }
    ($4 in ran) && kind != "held" { print "ROUTE", $0, "ran at", ran[$4] }
    ($4 in ran) && kind == "held" && late && trouble != 0 {
        print "CONFIG", $0, "ran at", ran[$4] }' \
    "$run_dir/runs" "$run_dir/answers" >"$run_dir/broken"
{
    echo "# acknowledged at $acked; revoke_ms $revoke_ms"
    for kind in held unknown none; do
        for part in before after; do
            awk -v acked="$acked" -v part="$part" -v kind="$kind" '
                (part == "before") == ($1 <= acked + 5) { n[$5]++ }
                END { for (s in n) print "# key " kind ", sent " part \
                    " the end of revoke_ms: status " s ": " n[s] }' \
                "$run_dir/answers.$kind-"
        done
    done
    echo "# requests that ran and should not have"
    cat "$run_dir/broken"
    echo "# all answers: sent, word, answered, id, status, body"
    cat "$run_dir/answers"
    echo "# what the servers read (got) and ran"
    cat "$run_dir/runs"
} >>"$record"
grep '^# key' "$record"
echo "ran_with_key_taken_away=$(grep -c '^CONFIG' "$run_dir/broken" || true)" \
    "ran_with_unknown_or_no_key=$(grep -c '^ROUTE' "$run_dir/broken" || true)"
grep -q ' 200 ' "$run_dir/answers.held-" || cannot_run "nothing was served"
[ ! -s "$run_dir/broken" ]
