#!/bin/sh
# Runs the case in the folder that is given. Exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
export PYTHONDONTWRITEBYTECODE=1
timeout -k 10 105 python3 "$1/case.py"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
