#!/usr/bin/env bash
# A new version moves a route to another service, and also brings a tenant
# with a name of 41 characters.  The gateways reject the whole version: the
# old service goes on to run the orders, and later nobody does.  Exits with 1
# when a request that was sent later than config_apply_ms after the
# acknowledgement was run by the old service.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
. review/lib.sh
case_begin "$here/record.txt"

apply_ms=2000
long="Carpenters of Sesvete and Dubrava, Zagreb"
[ "${TROUBLE:-1}" = 0 ] && long="Carpenters"
yard='{"name":"yard","api_keys":["key-1"]}'

start_store
operator op/config "$(config 1 "$(order_route cut-booking /o/ old-desk)" \
    "$yard")"
for i in 1 2; do
    start_desk "$i" --service old-desk --slots 6 --work-ms 60
    start_desk $((i + 2)) --service new-desk --slots 6 --work-ms 60
done
start_gateway 1
start_gateway 2
wait_ready 1 2
sleep 1

build/review/callers --to "$(front 1),$(front 2)" --key key-1 --clients 8 \
    --seconds 16 --pause-ms 100 --answers "$run_dir/answers" &
callers=$!
sleep 3
operator op/config "$(config 2 "$(order_route cut-booking /o/ new-desk)" \
    "$yard,{\"name\":\"$long\",\"api_keys\":[\"key-2\"]}")"
acked=$(date +%s.%N)
wait $callers

awk -v acked="$acked" -v bound="$apply_ms" '
    NR == FNR { if ($2 == "run") ran[$3] = $4; next }
    $1 > acked + bound / 1000 && ran[$4] ~ /^i-[12]$/ {
        print "CONFIG", $0, "ran at the old service", ran[$4] }' \
    "$run_dir/runs" "$run_dir/answers" >"$run_dir/broken"
{
    echo "# acknowledged at $acked; config_apply_ms $apply_ms"
    echo "# by second after the acknowledgement: status and count"
    awk -v acked="$acked" '
        $1 > acked { n[int($1 - acked) " s: status " $5]++ }
        END { for (k in n) print "# " k ": " n[k] }' "$run_dir/answers" |
        sort -k2n
    echo "# what the gateways logged on the configuration"
    grep -h ' config: ' "$run_dir"/g?.log | grep -v 'applied' | head -n 20
    echo "# requests that the old service ran too late"
    cat "$run_dir/broken"
    echo "# all answers: sent, word, answered, id, status, body"
    cat "$run_dir/answers"
    echo "# what the servers read (got) and ran"
    cat "$run_dir/runs"
} >>"$record"
served=$(awk -v acked="$acked" '$1 > acked + 6 && $5 == 200' \
    "$run_dir/answers" | wc -l)
sent=$(awk -v acked="$acked" '$1 > acked + 6' "$run_dir/answers" | wc -l)
echo "run_by_the_old_service_too_late=$(wc -l <"$run_dir/broken")" \
    "served_later_than_6_s=$served of $sent"
grep -q ' 200 ' "$run_dir/answers" || cannot_run "nothing was served"
[ ! -s "$run_dir/broken" ]
