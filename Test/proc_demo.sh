#!/usr/bin/env bash
# Runs the demo: generations must survive the kill of an engine, and an order
# must be executed exactly once.
exec Tools/demo.sh
