#!/usr/bin/env bash
# Checks that a single node with an in-memory store serves generations and
# orders with the settings of examples/alone.json without logging an error,
# and that an invalid settings file is rejected with a message that names the
# place.
set -eu
. Tools/fleet.sh
trap fleet_stop EXIT
fleet_domains=1
fleet_nodes=1
fleet_config 1
fleet_start_engine 1
fleet_run o1 "$bin/carofake" orders --listen "$(fleet_orders 1)" --name o1
sed -e "s/127.0.0.1:8100/$(fleet_http 1)/; s/127.0.0.1:8101/$(fleet_peer 1)/" \
    -e "s#examples/alone-config.json#$fleet_dir/config.json#" \
    -e "s/\"token_sha256\": \"[0-9a-f]*\"/\"token_sha256\": \"$token_hash\"/" \
    examples/alone.json >"$fleet_dir/n1.json"
fleet_run n1 "$bin/carobloftd" --settings "$fleet_dir/n1.json"
fleet_wait_ready
"$bin/carobench" load --node "$(fleet_http 1)" --rate 10 --seconds 1 \
    --tokens 20 --json "$fleet_dir/load.json"
"$bin/carobench" order --node "$(fleet_http 1)" --service desk
if grep -q ERROR "$fleet_dir/n1.log"; then
    echo "FAILED: the node logged an error"
    cat "$fleet_dir/n1.log"
    exit 1
fi

# Checks that the settings, edited by a sed expression, are rejected with the
# text.
expect_bad() { # TEXT EXPRESSION
    local status=0
    sed -e "$2" "$fleet_dir/n1.json" >"$fleet_dir/bad.json"
    "$bin/carobloftd" --check "$fleet_dir/bad.json" 2>"$fleet_dir/bad.txt" ||
        status=$?
    if [ "$status" -ne 2 ] || ! grep -q -- "$1" "$fleet_dir/bad.txt"; then
        echo "FAILED: --check gave status $status, expected 2 and the text: $1"
        cat "$fleet_dir/bad.txt"
        exit 1
    fi
}

expect_bad 'bad.json: .*\$.colour: found an unknown key' 's/"vm":/"colour": 1, "vm":/'
expect_bad '\$.region: found nothing' 's/"region": "r1",//'
expect_bad '\$.http: found here' 's/"http": "[^"]*"/"http": "here"/'
expect_bad 'line ' 's/}$/]/'
"$bin/carobloftd" --check "$fleet_dir/n1.json"
echo "single node passed"
