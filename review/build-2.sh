#!/bin/sh
# The stand-ins that the scripts of review/6 to review/10 start are Python modules without dependencies, beside them.
# Checks that the Python of the deploy file's build can compile them; writes nothing.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -B - review/peers2.py review/[6-9]/case.py review/10/case.py <<'END'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
END
