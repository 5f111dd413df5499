#!/bin/sh
# Builds the stand-ins of the cases: Python with the standard library only, run by the interpreter of deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
