"""Processes of the program that form a fleet over loopback, and the platform's, which has none of it.

The short set of drills: each starts real processes, breaks something between them and is judged by histories. Waits
are on events; the patience only ends what hangs, and no verdict depends on how quick the machine is.
"""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from leadslip.cli.drill import held
from leadslip.config import MalformedError
from leadslip.drill import check, scenario
from leadslip.drill.scenario import Act, Fault, Scenario
from leadslip.parts import Around
from leadslip.parts.fleet import settings as part
from tests.standins import HOST, ROOT, Program

PATIENT_S = 60.0


def played(tmp_path, *faults, processes=4, broken="", settle_s=PATIENT_S, seed=1):
    told = Scenario("short", "a few faults", processes, list(faults), 8.0, settle_s)
    return held(told, seed, tmp_path / "drill", broken=broken)


def test_a_platforms_proxy_has_no_fleet(tmp_path):
    told = (
        "import sys, leadslip.__main__, leadslip.parts as p; [p.kind(n) for n in p.NAMES];"
        "print([n for n in sys.modules if n.startswith(('leadslip.fleet', 'leadslip.net.peers', 'leadslip.drill',"
        "'leadslip.lab', 'msgspec'))])"
    )
    done = subprocess.run([sys.executable, "-c", told], capture_output=True, text=True, cwd=ROOT, check=True)
    assert done.stdout.strip() == "[]"


def test_a_proxy_with_the_fleet_off_has_no_further_socket(tmp_path):
    program = Program(tmp_path, {"s0": f"{HOST}:9"}, ops=f"{HOST}:0")
    try:
        pid = program.process.pid
        with open(f"/proc/{pid}/net/udp") as file:
            inodes = {line.split()[9] for line in file.readlines()[1:]}
        held_ = {os.readlink(f"/proc/{pid}/fd/{fd}") for fd in os.listdir(f"/proc/{pid}/fd")}
        assert not {f"socket:[{inode}]" for inode in inodes} & held_, "no datagrams anywhere"
        assert program.call("GET", "/control/fleet")[0] == 404
    finally:
        program.stop()


def test_processes_know_one_another_and_settle_after_a_crash_a_stall_and_a_partition(tmp_path):
    told = played(
        tmp_path,
        Fault("kill", 0.2, back_s=0.3),
        Fault("stall", 0.4, 1.0),
        Fault("partition", 0.6, 5.0, parts="halves"),
    )
    assert told["held"], told["breaches"]
    assert told["calls"] > 10 and told["figures"]["calls_judged"] > 5
    histories = {path.stem: check.lines(path) for path in (tmp_path / "drill").glob("*.jsonl")}
    assert len(histories) == 5, "one started twice"
    ends = [
        one
        for told_of in histories.values()
        for one in told_of
        if one["do"] == "held" and one["state"] == "dead"
    ]
    assert ends, "the partition was long enough to part views"


def test_a_leave_and_an_upgrade_are_no_crashes(tmp_path):
    told = played(tmp_path, Fault("upgrade", 0.2, 1.0), Fault("leave", 2.5), processes=3)
    assert told["held"], told["breaches"]
    histories = [check.lines(path) for path in (tmp_path / "drill").glob("*.jsonl")]
    states = {one["state"] for told_of in histories for one in told_of if one["do"] == "held"}
    assert "left" in states and "dead" not in states


def test_two_versions_out_of_service_under_skewed_clocks(tmp_path):
    told = Scenario(
        "short",
        "versions and clocks",
        4,
        [
            Fault("service", 0.2, 1.0, count=4),
            Fault("clock", 0.3, 1.5, count=2, ms=3.6e6),
            Fault("busy", 0.4, 1.0, ms=200.0),
            Fault("descriptors", 0.5, 1.0),
            Fault("kill", 0.6, back_s=0.2),
        ],
        8.0,
        PATIENT_S,
        former=2,
        drift_ppm=500.0,
    )
    found = held(told, 3, tmp_path / "drill")
    assert found["held"], found["breaches"]
    histories, faults = check.records(tmp_path / "drill")
    assert len(histories) == 5, "one started twice"
    done = {one["do"] for one in faults}
    assert {"clock", "end clock", "busy", "descriptors", "end descriptors", "in service"} <= done


def test_an_interrupted_drill_leaves_no_process_and_no_file(tmp_path):
    drill = subprocess.Popen(
        [sys.executable, "-m", "leadslip.cli", "drill", "run", "halves"],
        cwd=ROOT,
        env=os.environ | {"TMPDIR": str(tmp_path)},
    )
    pids = []
    while len(pids) < 4 and drill.poll() is None:
        pids = [int(pid) for pid in os.listdir("/proc") if pid.isdigit() and mine(pid, tmp_path)]
        time.sleep(0.05)
    drill.terminate()
    assert drill.wait(PATIENT_S) == 128 + signal.SIGTERM
    assert len(pids) >= 4 and not any(os.path.exists(f"/proc/{pid}") for pid in pids)
    assert os.listdir(tmp_path) == []


def mine(pid, place):
    """Whether a process works for a drill that keeps its files there."""
    try:
        with open(f"/proc/{pid}/environ", "rb") as file:
            return f"NODE_CONFIG={place}/drill-".encode() in file.read()
    except OSError:
        return False


@pytest.mark.parametrize(
    ("broken", "invariant", "fault"),
    [
        ("apart", "V2", Fault("partition", 0.2, 6.0, parts="halves")),
        ("forgiving", "V3", Fault("stall", 0.2, 8.0)),
        ("deaf", "V1", Fault("stall", 0.2, 8.0)),
        ("waiting", "C1", Fault("kill", 0.2)),
    ],
)
def test_the_checker_sees_a_program_that_is_broken_on_purpose(tmp_path, broken, invariant, fault):
    told = played(tmp_path, fault, broken=broken, settle_s=4.0)
    assert invariant in {one["invariant"] for one in told["breaches"]}


def test_calls_without_their_one_answer_are_seen():
    call = {"id": "x", "proxy": "n00", "at_ms": 1000.0, "lost": False}
    good = call | {"answers": [[1100.0, 200]]}
    twice = call | {"answers": [[1100.0, 200], [1200.0, 200]]}
    never, late = call | {"answers": []}, call | {"answers": [[9000.0, 200]]}
    breaches, judged = check.unanswered([good, twice, never, late], [])
    assert judged == 4 and len(breaches) == 3
    killed = [{"do": "kill", "who": ["n00"], "unix_ms": 900.0, "mono_ms": 0.0}]
    assert check.unanswered([never], killed) == ([], 0)


def test_a_schedule_is_its_seeds_and_is_made_smaller():
    told = scenario.load("mixed")
    acts = scenario.draw_schedule(told, 5)
    assert acts == scenario.draw_schedule(told, 5) != scenario.draw_schedule(told, 6)
    assert [act.at_s for act in acts] == sorted(act.at_s for act in acts)
    guilty = next(act for act in acts if act.do == "stop")
    least = scenario.shrunk(acts, lambda some: guilty in some)
    assert [act.do for act in least] == ["stop", "go on"]
    assert scenario.shrunk(acts, lambda some: some == acts) == acts


def test_every_scenario_that_comes_with_the_program_is_sound_and_named_in_the_list(capsys):
    from leadslip.cli import main

    with pytest.raises(SystemExit):
        main(["drill", "list"])
    listed = capsys.readouterr().out
    stems = [path.stem for path in scenario.HERE.glob("*.toml")]
    assert len(stems) >= 14 and all(stem in listed for stem in stems)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("", "title"),
        ('title = "a"\nprovokes = "b"\nprocesses = 1\nfault = []\n', "processes"),
        ('title = "a"\nprovokes = "b"\nprocesses = 3\n[[fault]]\nkind = "odd"\nat_s = 1.0\n', "fault.0.kind"),
        (
            'title = "a"\nprovokes = "b"\nprocesses = 3\n[[fault]]\nkind = "kill"\nat_s = 1.0\ncount = 4\n',
            "count",
        ),
        (
            'title = "a"\nprovokes = "b"\nprocesses = 3\n[[fault]]\nkind = "kill"\nat_s = 1.0\nodd = 4\n',
            "odd",
        ),
    ],
)
def test_a_bad_scenario_is_named_and_nothing_is_started(tmp_path, capsys, text, key):
    from leadslip.cli import main

    (tmp_path / "bad.toml").write_text(text)
    with pytest.raises(SystemExit) as code:
        main(["drill", "run", str(tmp_path / "bad.toml")])
    assert code.value.code == 2 and key in capsys.readouterr().err


def test_a_partition_cuts_the_ways_it_should():
    import random

    names = scenario.names(6)
    for parts, ways in (("halves", 18), ("one", 10), ("three", 24), ("bridge", 12), ("ring", 18)):
        cut = scenario.cut_ways(random.Random(1), names, parts)
        assert len(cut) == len(set(cut)) == ways, parts
        assert {(b, a) for a, b in cut} == set(cut)


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"listen": "nowhere"}, "fleet.listen"),
        ({"seeds": ["x"]}, "fleet.seeds.0"),
        ({"zone": 5}, "fleet.zone"),
        ({"most_members": 0}, "fleet.most_members"),
        ({"key_file": "/nowhere/fleet.key"}, "fleet.key_file"),
        ({"odd": 1}, "fleet.odd"),
    ],
)
def test_settings_of_the_fleet_name_the_faulty_key(tmp_path, change, key):
    (tmp_path / "fleet.key").write_text("# first\n" + "ab" * 32 + "\n" + "cd" * 16 + "\n")
    good = {"enabled": True, "listen": "127.0.0.1:7946", "key_file": str(tmp_path / "fleet.key"), "seeds": []}
    conf = part.settings(good, Around(running=True))
    assert conf.keys == (b"\xab" * 32, b"\xcd" * 16) and conf.advertise == ("127.0.0.1", 7946)
    with pytest.raises(MalformedError, match=key):
        part.settings(good | change, Around(running=True))
    for keys in ("", "ab\n", "zz" * 16, "ab" * 16 + "\n" + "ab" * 16):
        (tmp_path / "fleet.key").write_text(keys)
        with pytest.raises(MalformedError, match="fleet.key_file"):
            part.settings(good, Around(running=True))


def test_acts_are_kept_whole(tmp_path):
    import msgspec

    acts = scenario.draw_schedule(scenario.load("bridge"), 3)
    raw = json.loads(msgspec.json.encode(acts))
    assert [msgspec.convert(one, Act) for one in raw] == acts
