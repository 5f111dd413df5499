#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
exec timeout -k 5 120 .venv/bin/python -B "review/$(basename "$(dirname "$0")")/case.py"
