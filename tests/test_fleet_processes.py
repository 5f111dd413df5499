"""Proxy processes that form a fleet over loopback, and a proxy without a fleet, as on the platform.

The short fault-injection runs start real processes, inject faults between them and check their histories. Waits are on
events; the time-out only ends runs that hang, and no result depends on the speed of the machine.
"""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from leadslip.cli.drill import run_scenario
from leadslip.config import MalformedError
from leadslip.drill import check, scenario
from leadslip.drill.scenario import Fault, Scenario, ScheduledAction
from leadslip.parts import SettingsContext
from leadslip.parts.fleet import settings as fleet_settings
from tests.standins import HOST, ROOT, Program, Stopped

TIMEOUT_S = 60.0


def run_faults(tmp_path, *faults, processes=4, broken="", settle_s=TIMEOUT_S, seed=1):
    """Runs processes under faults, as the faulty variant `broken` if that is given; returns the checker's report."""
    short_scenario = Scenario("short", "a few faults", processes, list(faults), 8.0, settle_s)
    return run_scenario(short_scenario, seed, tmp_path / "drill", faulty_variant=broken)


def test_a_platform_proxy_imports_no_fleet_module(tmp_path):
    """A proxy without a fleet must not pay for the fleet in start-up time and memory, nor need msgspec."""
    script = (
        "import sys, leadslip.__main__, leadslip.parts as p; [p.settings_class(n) for n in p.NAMES];"
        "print([n for n in sys.modules if n.startswith(('leadslip.fleet', 'leadslip.net.peers', 'leadslip.drill',"
        "'leadslip.lab', 'msgspec'))])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert completed.stdout.strip() == "[]"


def test_a_proxy_with_the_fleet_off_opens_no_udp_socket(tmp_path):
    """A proxy without a fleet must not be reachable by fleet messages."""
    program = Program(tmp_path, {"s0": f"{HOST}:9"}, ops=f"{HOST}:0")
    try:
        with Stopped(program):  # a running process may close a file between its listing and its reading
            pid = program.process.pid
            inodes = set()
            for table in ("udp", "udp6"):
                with open(f"/proc/{pid}/net/{table}") as file:
                    inodes |= {line.split()[9] for line in file.readlines()[1:]}
            open_files = {os.readlink(f"/proc/{pid}/fd/{fd}") for fd in os.listdir(f"/proc/{pid}/fd")}
        assert not {f"socket:[{inode}]" for inode in inodes} & open_files, "no UDP socket is open"
        assert program.http_request("GET", "/control/fleet")[0] == 404
    finally:
        program.stop()


def test_views_converge_after_a_crash_a_pause_and_a_partition(tmp_path):
    report = run_faults(
        tmp_path,
        Fault("kill", 0.2, back_s=0.3),
        Fault("stall", 0.4, 1.0),
        Fault("partition", 0.6, 5.0, parts="halves"),
    )
    assert report["held"], report["breaches"]
    assert report["calls"] > 10 and report["figures"]["calls_judged"] > 5
    histories = {path.stem: check.read_history(path) for path in (tmp_path / "drill").glob("*.jsonl")}
    assert len(histories) == 5, "one process was started twice"
    deaths = [
        entry
        for history in histories.values()
        for entry in history
        if entry["do"] == "held" and entry["state"] == "dead"
    ]
    assert deaths, "the partition was long enough for views to differ"


def test_a_leave_and_an_upgrade_are_not_taken_for_crashes(tmp_path):
    report = run_faults(tmp_path, Fault("upgrade", 0.2, 1.0), Fault("leave", 2.5), processes=3)
    assert report["held"], report["breaches"]
    histories = [check.read_history(path) for path in (tmp_path / "drill").glob("*.jsonl")]
    states = {entry["state"] for history in histories for entry in history if entry["do"] == "held"}
    assert "left" in states and "dead" not in states


def test_views_converge_with_two_wire_versions_skewed_clocks_and_proxies_out_of_service(tmp_path):
    """Guards against a rolling upgrade, a jump of the Unix clock or clock drift that removes live members."""
    version_scenario = Scenario(
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
        TIMEOUT_S,
        former=2,
        drift_ppm=500.0,
    )
    report = run_scenario(version_scenario, 3, tmp_path / "drill")
    assert report["held"], report["breaches"]
    histories, injected_faults = check.read_records(tmp_path / "drill")
    assert len(histories) == 5, "one process was started twice"
    actions = {fault["do"] for fault in injected_faults}
    assert {"clock", "end clock", "busy", "descriptors", "end descriptors", "in service"} <= actions


def test_an_interrupted_run_leaves_no_process_and_no_file(tmp_path):
    drill_process = subprocess.Popen(
        [sys.executable, "-m", "leadslip.cli", "drill", "run", "halves"],
        cwd=ROOT,
        env=os.environ | {"TMPDIR": str(tmp_path)},
    )
    pids = []
    while len(pids) < 4 and drill_process.poll() is None:
        pids = [int(pid) for pid in os.listdir("/proc") if pid.isdigit() and belongs_to(pid, tmp_path)]
        time.sleep(0.05)
    drill_process.terminate()
    assert drill_process.wait(TIMEOUT_S) == 128 + signal.SIGTERM
    assert len(pids) >= 4 and not any(os.path.exists(f"/proc/{pid}") for pid in pids)
    assert os.listdir(tmp_path) == []


def belongs_to(pid, folder):
    """Whether a process was started by a fault-injection run whose files are in the folder."""
    try:
        with open(f"/proc/{pid}/environ", "rb") as file:
            return f"NODE_CONFIG={folder}/drill-".encode() in file.read()
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
def test_the_checker_detects_faulty_variants_of_the_program(tmp_path, broken, invariant, fault):
    """A checker that misses a violated invariant would let every run pass."""
    report = run_faults(tmp_path, fault, broken=broken, settle_s=4.0)
    assert invariant in {breach["invariant"] for breach in report["breaches"]}


def test_calls_without_exactly_one_answer_in_time_are_reported():
    """C1; a call whose proxy was killed while it waited for an answer is not judged."""
    call = {"id": "x", "proxy": "n00", "at_ms": 1000.0, "lost": False}
    good = call | {"answers": [[1100.0, 200]]}
    twice = call | {"answers": [[1100.0, 200], [1200.0, 200]]}
    never, late = call | {"answers": []}, call | {"answers": [[9000.0, 200]]}
    breaches, judged = check.check_answers([good, twice, never, late], [])
    assert judged == 4 and len(breaches) == 3
    killed = [{"do": "kill", "who": ["n00"], "unix_ms": 900.0, "mono_ms": 0.0}]
    assert check.check_answers([never], killed) == ([], 0)


def test_a_schedule_depends_on_its_seed_only_and_can_be_shrunk():
    """A failed run has to be repeatable, and reducible to the few actions that make it fail."""
    mixed = scenario.load("mixed")
    schedule = scenario.draw_schedule(mixed, 5)
    assert schedule == scenario.draw_schedule(mixed, 5) != scenario.draw_schedule(mixed, 6)
    assert [action.at_s for action in schedule] == sorted(action.at_s for action in schedule)
    failing_action = next(action for action in schedule if action.do == "stop")
    smallest = scenario.minimize(schedule, lambda subset: failing_action in subset)
    assert [action.do for action in smallest] == ["stop", "go on"]
    assert scenario.minimize(schedule, lambda subset: subset == schedule) == schedule


def test_every_bundled_scenario_is_valid_and_listed(capsys):
    from leadslip.cli import main

    with pytest.raises(SystemExit):
        main(["drill", "list"])
    listed = capsys.readouterr().out
    stems = [path.stem for path in scenario.SCENARIO_DIR.glob("*.toml")]
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
def test_an_invalid_scenario_is_reported_with_its_key(tmp_path, capsys, text, key):
    from leadslip.cli import main

    (tmp_path / "bad.toml").write_text(text)
    with pytest.raises(SystemExit) as exit_info:
        main(["drill", "run", str(tmp_path / "bad.toml")])
    assert exit_info.value.code == 2 and key in capsys.readouterr().err


def test_each_kind_of_partition_blocks_the_right_paths():
    import random

    names = scenario.process_names(6)
    for parts, path_count in (("halves", 18), ("one", 10), ("three", 24), ("bridge", 12), ("ring", 18)):
        blocked = scenario.partition_paths(random.Random(1), names, parts)
        assert len(blocked) == len(set(blocked)) == path_count, parts
        assert {(b, a) for a, b in blocked} == set(blocked)


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
def test_a_fleet_settings_error_names_the_faulty_key(tmp_path, change, key):
    (tmp_path / "fleet.key").write_text("# first\n" + "ab" * 32 + "\n" + "cd" * 16 + "\n")
    valid = {
        "enabled": True,
        "listen": "127.0.0.1:7946",
        "key_file": str(tmp_path / "fleet.key"),
        "seeds": [],
    }
    conf = fleet_settings.parse(valid, SettingsContext(running=True))
    assert conf.keys == (b"\xab" * 32, b"\xcd" * 16) and conf.advertise == ("127.0.0.1", 7946)
    with pytest.raises(MalformedError, match=key):
        fleet_settings.parse(valid | change, SettingsContext(running=True))
    for keys in ("", "ab\n", "zz" * 16, "ab" * 16 + "\n" + "ab" * 16):
        (tmp_path / "fleet.key").write_text(keys)
        with pytest.raises(MalformedError, match="fleet.key_file"):
            fleet_settings.parse(valid, SettingsContext(running=True))


def test_scheduled_actions_round_trip_through_json(tmp_path):
    import msgspec

    schedule = scenario.draw_schedule(scenario.load("bridge"), 3)
    raw = json.loads(msgspec.json.encode(schedule))
    assert [msgspec.convert(item, ScheduledAction) for item in raw] == schedule
