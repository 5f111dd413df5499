"""The build command of deploy/balancer.toml: installs again only if its inputs change, and compiles the bytecode."""

import os
import subprocess
import sys
import tomllib

from tests.standins import ROOT

FAKE_PIP = """#!/bin/sh
echo "$*" >>installed
"""
FAKE_PYTHON = """#!/bin/sh
case "$1" in
  --version) cat version ;;
  -m) mkdir -p .venv/bin .venv/lib && ln -s {python} .venv/bin/python && cp pip .venv/bin/pip ;;
esac
"""


def build(folder):
    """Run the build with a fake python3, whose pip only records its arguments; returns the number of installs."""
    conf = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    environ = os.environ | {"PATH": f"{folder / 'bin'}:{os.environ['PATH']}", "PYTHONDONTWRITEBYTECODE": "1"}
    environ.pop("PYTHONPYCACHEPREFIX", None)
    subprocess.run(["/bin/sh", "-c", conf["build"]], cwd=folder, env=environ, check=True)
    return len((folder / "installed").read_text().splitlines())


def test_the_environment_is_rebuilt_when_requirements_or_python_change_and_bytecode_is_compiled(tmp_path):
    for name in ("bin", "deploy", "leadslip"):
        (tmp_path / name).mkdir()
    (tmp_path / "deploy" / "build.sh").write_text((ROOT / "deploy" / "build.sh").read_text())
    (tmp_path / "leadslip" / "one.py").write_text("ONE = 1\n")
    (tmp_path / "requirements.txt").write_text("one==1\n")
    (tmp_path / "version").write_text("Python 1\n")
    for name, text in (("pip", FAKE_PIP), ("bin/python3", FAKE_PYTHON.format(python=sys.executable))):
        (tmp_path / name).write_text(text)
        (tmp_path / name).chmod(0o755)
    assert (build(tmp_path), build(tmp_path)) == (1, 1), "no rebuild when nothing has changed"
    assert list((tmp_path / "leadslip" / "__pycache__").glob("one.*.opt-1.pyc"))
    (tmp_path / "requirements.txt").write_text("one==2\n")
    assert (build(tmp_path), build(tmp_path)) == (2, 2)
    (tmp_path / "version").write_text("Python 2\n")
    assert build(tmp_path) == 3
