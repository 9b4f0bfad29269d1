#!/usr/bin/env bash
# Resumes after engines' ends at one seed, with the bounds of the target.
exec build/carobench decisions tail
