#!/usr/bin/env bash
# The demo: an engine is killed while it generates; one order is booked.
exec Tools/demo.sh
