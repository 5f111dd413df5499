"""Simulated fault-injection scenarios: no invariant is violated, and a run depends on its seed alone."""

import json
import os
import subprocess
import sys

import pytest

from leadslip.cli import main
from leadslip.drill import scenario
from leadslip.lab.simulation import Simulation
from tests.standins import ROOT

FAST_SCENARIOS = ["halves", "bridge", "crashes", "stalls", "upgrade", "leaves", "late", "spoilt", "mixed"]
FAST_SCENARIOS += ["busy", "clocks", "descriptors", "versions"]


@pytest.mark.parametrize("name", FAST_SCENARIOS)
def test_no_scenario_violates_an_invariant_with_another_fleet_size(name):
    result = Simulation(scenario.load(name), 10, seed=3).run()
    assert result["held"], result["breaches"]
    assert result["figures"]["settled_ms"] < 6000.0 and result["joined_ms"] < 4000.0


def test_plot_has_its_title_axes_and_faults(tmp_path):
    pytest.importorskip("matplotlib", reason="an extra: pip install .[plots]")
    plot = tmp_path / "run.svg"
    with pytest.raises(SystemExit) as code:
        main(["lab", "fleet", "mixed", "--members", "8", "--plot", str(plot)])
    assert code.value.code == 0
    svg = plot.read_text()
    assert all(text in svg for text in ("All at once", "different views", "bytes per member and s", "stop"))


def test_run_is_independent_of_the_hash_seed():
    """A run must not depend on the order of a set or on hash(), which Python varies between processes."""
    digests = set()
    for hash_seed in ("1", "2"):
        process = subprocess.run(
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
        digests.add(json.loads(process.stdout)["digest"])
    assert len(digests) == 1
