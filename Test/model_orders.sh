#!/usr/bin/env bash
# Model-checks the order protocol, and checks that removing any one of its
# rules violates it.
exec Tools/models/check.sh
