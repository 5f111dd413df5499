#!/bin/sh
# Creates .venv with the packages of requirements.txt and the optimized bytecode that `python -O` loads for `run` and
# `sim`. pip writes unoptimized bytecode only; on a read-only file system every start would compile everything again.
set -eu
wanted="$(python3 --version; cat requirements.txt)"
if [ ! -x .venv/bin/python ] || [ "$(cat .venv/built 2>/dev/null)" != "$wanted" ]; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q --disable-pip-version-check install -r requirements.txt
    # Packages may contain templates that are not valid Python: these fail to compile but are never imported.
    .venv/bin/python -O -m compileall -q .venv/lib >/dev/null || true
    printf '%s\n' "$wanted" >.venv/built
fi
.venv/bin/python -O -m compileall -q leadslip
