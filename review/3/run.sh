#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. timeout -k 5 110 python3 case.py
code=$?
[ "$code" -le 2 ] || exit 2
exit "$code"
