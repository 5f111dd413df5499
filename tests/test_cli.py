"""The `leadslip` command (JSON output, error lines, demo, reports), the log formats, and errors in settings files."""

import io
import json
import subprocess
import sys

import pytest

from leadslip import interface, logs
from leadslip.cli import GROUPS, main
from leadslip.config import MalformedError
from leadslip.parts import SettingsContext
from leadslip.parts.logs import settings as logs_part
from leadslip.parts.logs.part import RequestLog
from leadslip.parts.store import settings as store_part
from leadslip.parts.trunks import settings as trunks_part
from leadslip.request import AnswerReason, Attempt, Request
from leadslip.store.base import Store
from leadslip.trunks import record
from tests.standins import HOST, ROOT, TEST_TIMEOUT_S, settings
from tests.test_trunks import days


def run_command(capsys, *words):
    """Run a command in this process; return its exit code, stdout and stderr."""
    with pytest.raises(SystemExit) as exit_info:
        main(list(words))
    captured = capsys.readouterr()
    return exit_info.value.code, captured.out, captured.err


@pytest.mark.parametrize(
    ("words", "expected"),
    [
        ("blocking --erlangs 10 --trunks 15", {"blocking": 0.036497}),
        ("blocking --erlangs 3 --trunks 2 --sources 6", {"blocking": 10 / 16}),
        ("blocking --erlangs 10 --trunks 15 --peakedness 1.5", {"blocking": 0.065859}),
        (
            "wait --erlangs 10 --trunks 15 --hold-s 180 --over-s 10",
            {"p_wait": 0.10204, "mean_wait_s": 3.6735},
        ),
        ("size --erlangs 10 --blocking 0.01", {"trunks": 18, "blocking": 0.0071424}),
        ("size --erlangs 10 --blocking 0.01 --module 30", {"trunks": 30}),
        ("size --erlangs 10 --blocking 0.01 --calls 100", {"trunks": 22, "erlangs": 13.184}),
        ("load --trunks 30 --blocking 0.01", {"erlangs": 20.3373}),
        ("overflow --erlangs 8 --trunks 10", {"mean": 0.973289, "peakedness": 2.04015}),
        ("blocking --erlangs 28 --trunks 30 --persistence 0.8", {"blocking": 0.177112, "carried": 26.768}),
        ("fresh --carried 8 --blocking 0.2 --persistence 0.5", {"erlangs": 9.0}),
    ],
)
def test_trunk_commands_print_json_or_one_line_per_value(capsys, words, expected):
    code, out, _ = run_command(capsys, "trunks", *words.split(), "--json")
    result = json.loads(out)
    assert code == 0 and {key: result[key] for key in expected} == pytest.approx(expected, rel=1e-3)
    code, out, _ = run_command(capsys, "trunks", *words.split())
    assert code == 0 and len(out.splitlines()) == len(result)


@pytest.mark.parametrize(
    ("words", "error_part"),
    [
        ("trunks blocking --erlangs 0 --trunks 15", "erlangs"),
        ("trunks blocking --erlangs ten --trunks 15", "--erlangs"),
        ("trunks blocking --erlangs 1", "--trunks"),
        ("trunks wait --erlangs 15 --trunks 15 --hold-s 1", "erlangs must be below trunks"),
        ("trunks size --erlangs 1 --blocking 2", "blocking"),
        ("trunks size --erlangs 1 --blocking 0.1 --module 0", "module"),
        ("trunks report /nowhere/store.db", "there is no store"),
        ("trunks plan /nowhere/plan.toml", "/nowhere/plan.toml"),
        ("trunks polish", "polish"),
        ("polish", "polish"),
        ("demo --calls 0", "--calls"),
    ],
)
def test_usage_errors_are_one_line_with_exit_code_2(capsys, words, error_part):
    code, out, err = run_command(capsys, *words.split())
    assert (code, out) == (2, "") and error_part in err and len(err.splitlines()) == 1


def test_help_lists_every_group_and_each_group_loads(capsys):
    assert all(name in run_command(capsys, "--help")[1] for name in GROUPS)
    for name in GROUPS:
        code, out, _ = run_command(capsys, name, "--help")
        assert code == 0 and out.startswith("Usage: leadslip")


def test_the_demo_shows_established_refused_and_ended_calls_and_exits_cleanly():
    command = [sys.executable, "-m", "leadslip.cli", "demo", "--calls", "6", "--hold-s", "0.7"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert completed.returncode == 0, completed.stdout
    last = completed.stdout.splitlines()[-1]
    assert (
        "6 calls" in last
        and " 0 failed" in last
        and "established" in completed.stdout
        and "refused" in completed.stdout
    )
    assert "ended with exit code 0" in completed.stdout


def test_run_and_configure_subcommands_work_as_processes(tmp_path):
    def run(*words):
        command = [sys.executable, "-m", "leadslip.cli", *words]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=TEST_TIMEOUT_S)

    (tmp_path / "c.json").write_text("{}")
    completed = run("run", "--config", str(tmp_path / "c.json"))
    assert completed.returncode == 2 and completed.stderr.startswith(
        "leadslip: settings is missing (config.missing): "
    )
    completed = run("configure", "write", "example/applications.toml", str(tmp_path / "out"))
    files = [str(path) for path in (tmp_path / "out").glob("*/*")]
    assert completed.returncode == 0 and len(completed.stdout.splitlines()) == len(files) > 1
    assert run("configure", "check", *files).returncode == 0
    assert run("configure", "check", str(tmp_path / "c.json")).returncode == 2


@pytest.fixture
def history(tmp_path):
    """Path of a store with eight days of traffic of the group north: a surge on one day, and one missing interval."""
    path = str(tmp_path / "leadslip.db")
    store = Store(path)
    intervals = days(8, lambda day, q: (50.0 if day == 5 else 20.0) if 50 <= q < 54 else 2.0)
    store.write([record.to_point(interval, 1) for i, interval in enumerate(intervals) if i != 100])
    store.close()
    return path


def test_the_report_gives_the_busy_hour_surges_gaps_and_limits(capsys, history, tmp_path):
    code, out, _ = run_command(capsys, "trunks", "report", history, "--json")
    (north,) = json.loads(out)["groups"]
    assert code == 0 and north["starts_s"] == 50 * 900 and north["load"] == pytest.approx(20.0)
    assert north["low"] < 20.0 < north["high"] < 22.0 and len(north["surges"]) == 1
    assert north["gaps"] == [[1_764_547_200 + 100 * 900, 900]]
    code, out, _ = run_command(capsys, "trunks", "report", history, "--busy-hour", "adph")
    assert code == 0 and "surge of 50" in out and "not measured for 900 s" in out
    (tmp_path / "plan.toml").write_text('[[group]]\nname = "n"\nmeasured = "north"\ntrunks = 24\n')
    code, out, _ = run_command(
        capsys, "trunks", "plan", str(tmp_path / "plan.toml"), "--store", history, "--json"
    )
    (planned,) = json.loads(out)["groups"]
    assert code == 0 and planned["load"] == pytest.approx(north["high"]) and planned["more"] > 0
    code, _, err = run_command(capsys, "trunks", "report", history, "--group", "south")
    assert code == 2 and "south" in err


def test_the_report_is_plotted(capsys, history, tmp_path):
    pytest.importorskip("matplotlib", reason="an extra: pip install .[plots]")
    plot = tmp_path / "days.svg"
    assert run_command(capsys, "trunks", "report", history, "--plot", str(plot))[0] == 0
    assert plot.read_text().startswith("<?xml") and "first tries" in plot.read_text()


# Logs.


def test_plain_log_lines_quote_values_and_respect_the_level():
    stream = io.StringIO()
    log = logs.PlainLog("info", stream)
    log("a.b", level="debug", hidden=1)
    log("a.b", n=3, text='two words "quoted"', ratio=0.25, none="")
    (line,) = stream.getvalue().splitlines()
    assert line.split(" ", 1)[1] == 'a.b n=3 text="two words \\"quoted\\"" ratio=0.25 none=""'


def test_structured_log_lines_are_json_or_console_text():
    stream = io.StringIO()
    log = logs.StructuredLog("json", "info", stream, {"proxy": "n0"})
    log("serves", address="a:1")
    log("serves", level="debug")
    log("reload.refused", level="error", fault="x is missing")
    first, second = map(json.loads, stream.getvalue().splitlines())
    assert first.pop("timestamp").endswith("Z")
    assert first == {"event": "serves", "level": "info", "proxy": "n0", "address": "a:1"}
    assert second["level"] == "error" and second["fault"] == "x is missing"
    stream = io.StringIO()
    logs.StructuredLog("console", "info", stream)("serves", address="a:1")
    assert "serves" in stream.getvalue() and "address=a:1" in stream.getvalue()


@pytest.mark.parametrize(
    ("read", "given", "key"),
    [
        (logs_part.parse, {"format": "xml"}, "logs.format"),
        (logs_part.parse, {"level": "loud"}, "logs.level"),
        (logs_part.parse, {"colour": 1}, "logs.colour"),
        (store_part.parse, {"enabled": True}, "store.path"),
        (store_part.parse, {"enabled": True, "path": "folder/"}, "store.path"),
        (store_part.parse, {"enabled": True, "path": "x.db", "days": 1}, "store.days"),
        (store_part.parse, {"enabled": True, "path": "x.db", "most_mb": 0}, "store.most_mb"),
    ],
)
def test_errors_in_logs_and_store_settings_name_the_key(read, given, key):
    with pytest.raises(MalformedError, match=key):
        read(given)


CONTEXT = SettingsContext(("plain", "urgent"), {"store": True})
GROUP = {"name": "n", "destinations": [0], "trunks": 5}


@pytest.mark.parametrize(
    ("given", "key"),
    [
        ({"measure": 1}, "trunks.measure"),
        ({"interval_s": 61}, "trunks.interval_s"),
        ({"group": {}}, "trunks.group"),
        ({"group": [3]}, "trunks.group.0 is no table"),
        ({"group": [GROUP | {"name": "a/b"}]}, "trunks.group.0.name"),
        ({"group": [GROUP, GROUP]}, "trunks.group.1.name is used twice"),
        ({"group": [GROUP, GROUP | {"name": "m"}]}, "trunks.group.1.destinations: 0 belongs to 'n'"),
        ({"group": [GROUP | {"destinations": ["x"]}]}, "trunks.group.0.destinations"),
        ({"group": [{"name": "n", "destinations": [1]}]}, "trunks.group.0.trunks is missing"),
        ({"group": [GROUP | {"share": 2}]}, "trunks.group.0.share"),
        ({"group": [GROUP | {"reserve": {"odd": 1}}]}, "trunks.group.0.reserve.odd is no class"),
        ({"group": [GROUP | {"reserve": {"plain": 6}}]}, "trunks.group.0.reserve.plain"),
    ],
)
def test_errors_in_trunks_settings_name_the_key(given, key):
    with pytest.raises(MalformedError, match=key):
        trunks_part.parse({"enabled": True} | given, CONTEXT)
    assert trunks_part.parse({"enabled": False}, SettingsContext()) is None
    with pytest.raises(MalformedError, match="needs the store"):
        trunks_part.parse({"enabled": True}, SettingsContext())
    good = trunks_part.parse({"enabled": True, "group": [GROUP | {"share": 0.5}]}, CONTEXT)
    assert good.groups[0].trunks == 2.5


def test_an_error_in_any_settings_file_exits_with_2_and_names_the_key(tmp_path):
    config = {"name": "n", "listen": f"{HOST}:0", "seed": "1", "board": f"{HOST}:1", "settings": settings()}
    (tmp_path / "c.json").write_text(json.dumps(config | {"known": {"rev": 1, "notices": []}}))
    (tmp_path / "trunks.toml").write_text("enabled = true\n")
    env = {"NODE_CONFIG": str(tmp_path / "c.json"), "LEADSLIP_TRUNKS": str(tmp_path / "trunks.toml")}
    command = [sys.executable, "-m", "leadslip"]
    completed = subprocess.run(
        command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=TEST_TIMEOUT_S
    )
    assert completed.returncode == 2 and "trunks.measure needs the store to be turned on" in completed.stderr
    (tmp_path / "store.toml").write_text(f'enabled = true\npath = "{tmp_path}/nowhere/leadslip.db"\n')
    env["LEADSLIP_STORE"] = str(tmp_path / "store.toml")
    completed = subprocess.run(
        command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=TEST_TIMEOUT_S
    )
    assert completed.returncode == 2 and completed.stderr.startswith(
        "leadslip: store.path is no file in a folder"
    )


@pytest.mark.parametrize("make_log", [logs.PlainLog, lambda **kwargs: logs.StructuredLog("json", **kwargs)])
def test_a_closed_log_stream_does_not_raise(make_log):
    class ClosedStream(io.StringIO):
        def write(self, text):
            raise BrokenPipeError

    make_log(stream=ClosedStream())("draining")


def test_at_level_debug_each_answer_and_attempt_is_logged_with_its_reason():
    stream = io.StringIO()
    observer = RequestLog(logs.PlainLog("debug", stream))
    request = Request("9b1f03aa5c7e2d41", "plain", 3000.0, None)
    request.received_at_ms, request.answer_reason = 1000.0, AnswerReason.OUT_OF_SERVICE
    observer.attempt_ended(Attempt(request, "s0", 0, 1000.0, 2000.0), interface.Outcome.FULL, 1040.0)
    observer.request_answered(request, "refused", 1050.0)
    attempt_line, answer_line = stream.getvalue().splitlines()
    assert attempt_line.endswith(
        "id=9b1f03aa5c7e2d41 server=s0 attempt=0 outcome=full established=False after_ms=40"
    )
    assert "answer=refused reason=out_of_service attempts=0 after_ms=50 left_ms=1950" in answer_line
