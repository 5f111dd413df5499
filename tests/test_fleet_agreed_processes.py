"""Processes of the program that agree on documents, broken on purpose: A1 to A3 by their histories alone."""

import json

import pytest

from leadslip.cli.drill import run_scenario
from leadslip.config import MalformedError
from leadslip.drill.scenario import Fault, Scenario
from leadslip.parts import Around
from leadslip.parts.agreement import settings as part
from tests.standins import HOST, Program

PATIENT_S = 60.0


def played(tmp_path, *faults, broken="", seed=1, settle_s=PATIENT_S, processes=4, calls=60.0):
    told = Scenario("short", "agreed", processes, list(faults), calls, settle_s, voters=3, changes_per_s=4.0)
    return run_scenario(told, seed, tmp_path / "drill", broken=broken)


def test_processes_agree_through_a_kill_and_one_cut_off(tmp_path):
    told = played(
        tmp_path,
        Fault("kill", 0.3, back_s=0.3),
        Fault("partition", 0.8, 3.0, parts="one"),
    )
    assert told["held"], told["breaches"]
    assert told["figures"]["acknowledged"] >= 2 and told["figures"]["revisions_acted_on"] >= 2
    assert told["figures"]["contradiction_per_cent"] <= 100.0
    settings = json.loads((tmp_path / "drill/settings.json").read_text())
    assert all(one["action"] for one in settings["changes"] if one.get("code")), "each error says what to do"


@pytest.mark.parametrize(
    ("broken", "invariant", "fault"),
    [
        ("timeless", "A2", Fault("partition", 0.2, 6.0, parts="one")),
        ("headstrong", "A1", Fault("partition", 0.2, 6.0, parts="halves")),
    ],
)
def test_the_checker_sees_an_agreement_that_is_broken_on_purpose(tmp_path, broken, invariant, fault):
    told = played(tmp_path, fault, broken=broken, settle_s=3.0, processes=4)
    assert invariant in {one["invariant"] for one in told["breaches"]}, told


def test_where_nothing_is_agreed_on_there_is_no_call_for_it(tmp_path):
    program = Program(tmp_path, {"s0": f"{HOST}:9"}, ops=f"{HOST}:0")
    try:
        status, body = program.call("GET", "/control/settings")
        assert status == 404 and json.loads(body)["code"] == "ops.no-such-call"
    finally:
        program.stop()


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"voters": []}, "agreement.voters"),
        ({"voters": ["a", "a"]}, "names one twice"),
        ({"in_force_ms": 10.0}, "agreement.in_force_ms"),
        ({"disk": "there/"}, "agreement.disk"),
        ({"odd": 1}, "agreement.odd"),
    ],
)
def test_settings_of_the_agreement_name_the_faulty_key(change, key):
    good = {"enabled": True, "voters": ["a", "b", "c"], "disk": "a.db"}
    around = Around(settings={"fleet": True})
    assert part.settings(good, around).in_force_ms == 2000.0
    with pytest.raises(MalformedError, match=key):
        part.settings(good | change, around)
    with pytest.raises(MalformedError, match="needs the fleet"):
        part.settings(good, Around())
