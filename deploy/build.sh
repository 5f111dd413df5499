#!/bin/sh
# Leave all that `run` and `sim` need in .venv: what requirements.txt names, and bytecode of the kind that `-O` reads.
# pip writes the plain kind alone, and where the file system is read-only each start would compile everything anew.
set -eu
wanted="$(python3 --version; cat requirements.txt)"
if [ ! -x .venv/bin/python ] || [ "$(cat .venv/built 2>/dev/null)" != "$wanted" ]; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q --disable-pip-version-check install -r requirements.txt
    # Packages may bring templates that are no Python by themselves: those are not compiled, and not imported.
    .venv/bin/python -O -m compileall -q .venv/lib >/dev/null || true
    printf '%s\n' "$wanted" >.venv/built
fi
.venv/bin/python -O -m compileall -q leadslip
