"""The agreement among processes of the program under fault injection, and the validation of its settings.

After a run, the checker (drill/check.py) searches the processes' event histories for violations of A1 to A3.
"""

import json

import pytest

from leadslip.cli.drill import run_scenario
from leadslip.config import MalformedError
from leadslip.drill.scenario import Fault, Scenario
from leadslip.parts import SettingsContext
from leadslip.parts.agreement import settings as agreement_settings
from tests.standins import HOST, Program

SETTLE_TIMEOUT_S = 60.0


def run_drill(tmp_path, *faults, broken="", seed=1, settle_s=SETTLE_TIMEOUT_S, processes=4, calls=60.0):
    scenario = Scenario(
        "short", "agreed", processes, list(faults), calls, settle_s, voters=3, changes_per_s=4.0
    )
    return run_scenario(scenario, seed, tmp_path / "drill", faulty_variant=broken)


def test_processes_agree_through_a_kill_and_a_partition(tmp_path):
    report = run_drill(
        tmp_path,
        Fault("kill", 0.3, back_s=0.3),
        Fault("partition", 0.8, 3.0, parts="one"),
    )
    assert report["held"], report["breaches"]
    assert report["figures"]["acknowledged"] >= 2 and report["figures"]["revisions_acted_on"] >= 2
    assert report["figures"]["contradiction_per_cent"] <= 100.0
    settings = json.loads((tmp_path / "drill/settings.json").read_text())
    assert all(change["action"] for change in settings["changes"] if change.get("code")), (
        "each error names an action"
    )


@pytest.mark.parametrize(
    ("broken", "invariant", "fault"),
    [
        ("timeless", "A2", Fault("partition", 0.2, 6.0, parts="one")),
        ("headstrong", "A1", Fault("partition", 0.2, 6.0, parts="halves")),
    ],
)
def test_the_checker_detects_a_faulty_agreement(tmp_path, broken, invariant, fault):
    """Guards against a checker that finds nothing: the processes run a variant that breaks an invariant on purpose."""
    report = run_drill(tmp_path, fault, broken=broken, settle_s=3.0, processes=4)
    assert invariant in {breach["invariant"] for breach in report["breaches"]}, report


def test_without_the_agreement_part_its_endpoint_does_not_exist(tmp_path):
    program = Program(tmp_path, {"s0": f"{HOST}:9"}, ops=f"{HOST}:0")
    try:
        status, body = program.http_request("GET", "/control/settings")
        assert status == 404 and json.loads(body)["code"] == "ops.no-such-call"
    finally:
        program.stop()


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"voters": []}, "agreement.voters"),
        ({"voters": ["a", "a"]}, "names a voter twice"),
        ({"in_force_ms": 10.0}, "agreement.in_force_ms"),
        ({"disk": "there/"}, "agreement.disk"),
        ({"odd": 1}, "agreement.odd"),
    ],
)
def test_invalid_settings_name_the_faulty_key(change, key):
    valid = {"enabled": True, "voters": ["a", "b", "c"], "disk": "a.db"}
    context = SettingsContext(settings={"fleet": True})
    assert agreement_settings.parse(valid, context).in_force_ms == 2000.0
    with pytest.raises(MalformedError, match=key):
        agreement_settings.parse(valid | change, context)
    with pytest.raises(MalformedError, match="needs the fleet"):
        agreement_settings.parse(valid, SettingsContext())
