#!/bin/sh
# 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../.venv/bin/python ] || { echo "run deploy/build.sh first" >&2; exit 2; }
exec ../../.venv/bin/python case.py
