"""The drill's scenarios in the lab: the same checker, the same course for the same seed whatever the hash seed."""

import json
import os
import subprocess
import sys

import pytest

from leadslip.cli import main
from leadslip.drill import scenario
from leadslip.lab.play import Play
from tests.standins import ROOT

LIGHT = ["halves", "bridge", "crashes", "stalls", "upgrade", "leaves", "late", "spoilt", "mixed"]
LIGHT += ["busy", "clocks", "descriptors", "versions"]


@pytest.mark.parametrize("name", LIGHT)
def test_scenarios_hold_with_other_sizes(name):
    told = Play(scenario.load(name), 10, seed=3).run()
    assert told["held"], told["breaches"]
    assert told["figures"]["settled_ms"] < 6000.0 and told["joined_ms"] < 4000.0


def test_a_run_is_drawn(tmp_path):
    pytest.importorskip("matplotlib", reason="an extra: pip install .[plots]")
    plot = tmp_path / "run.svg"
    with pytest.raises(SystemExit) as code:
        main(["lab", "fleet", "mixed", "--members", "8", "--plot", str(plot)])
    assert code.value.code == 0
    drawn = plot.read_text()
    assert all(text in drawn for text in ("All at once", "different views", "bytes a member", "stop"))


def test_a_course_is_the_seeds_whatever_the_hash_seed():
    digests = set()
    for hash_seed in ("1", "2"):
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "leadslip.cli",
                "lab",
                "fleet",
                "crashes",
                "--members",
                "8",
                "--seed",
                "5",
                "--json",
            ],
            capture_output=True,
            text=True,
            cwd=ROOT,
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
            check=True,
        )
        digests.add(json.loads(done.stdout)["digest"])
    assert len(digests) == 1
