#!/usr/bin/env bash
# The model of the order protocol, and that each rule in it is needed.
exec Tools/models/check.sh
