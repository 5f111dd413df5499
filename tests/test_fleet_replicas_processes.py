"""Replication between processes: calls of a killed proxy can be released through other proxies or after its restart."""

import json

import pytest

from leadslip.config import MalformedError
from leadslip.parts import SettingsContext
from leadslip.parts.replicas import settings as replicas_settings
from tests.standins import HOST, Caller, Program, SetupServer, wait_for

CALLS = [f"{number:016x}" for number in range(1, 13)]
LATER_CALLS = [f"{number:016x}" for number in range(101, 113)]


@pytest.fixture
def fleet(tmp_path):
    """Yields `start_member(name, with_replicas)`, which starts a proxy, and the setup server that all proxies use.

    The first member started is the seed of the others.
    """
    (tmp_path / "fleet.key").write_text("ab" * 32)
    server, started = SetupServer("hold"), {}
    seeds = []

    def start_member(name, with_replicas=True):
        folder = tmp_path / f"{name}-{len(started)}"
        folder.mkdir()
        fleet_settings = {"listen": f"{HOST}:0", "seeds": seeds, "key_file": str(tmp_path / "fleet.key")}
        fleet_settings["zone"] = f"zone{int(name[1:]) % 2}"
        fleet_toml = "enabled = true\n" + "".join(
            f"{key} = {json.dumps(value)}\n" for key, value in fleet_settings.items()
        )
        parts = {"fleet": fleet_toml, "replicas": f"enabled = {str(with_replicas).lower()}\n"}
        program = Program(folder, {"s0": server.address}, name=name, parts=parts, ops=f"{HOST}:0")
        if not seeds:
            seeds.append(json.loads(program.http_request("GET", "/control/fleet")[1])["self"]["address"])
        started[folder.name] = program
        return program

    yield start_member, server
    for program in started.values():
        if program.process.poll() is None:
            assert program.stop() == 0
        assert "Traceback" not in "".join(program.log), "".join(program.log)


def replicas(program):
    """A proxy's state of replication, as it reports it to operators."""
    return json.loads(program.http_request("GET", "/control/replicas")[1])


def establish(program, calls=CALLS):
    """Establish calls through a proxy; a call refused because the server is new to the proxy is retried."""
    caller = Caller(program)
    for call in calls:
        status_line = ""
        while status_line != "SIP/2.0 200 OK":
            caller.invite(call)
            status_line = caller.receive()[0]
            while status_line.startswith("SIP/2.0 1"):
                status_line = caller.receive()[0]


def release(program, calls=CALLS):
    """Release calls through a proxy; returns the status line of its answer to each."""
    caller, answers = Caller(program), []
    for call in calls:
        caller.send("BYE", call)
        answers.append(caller.receive()[0])
    return answers


def is_replicated(program):
    """Whether two other members have acknowledged all of a proxy's table, with the calls established there."""
    status = replicas(program)
    acknowledged = [holder["number"] for holder in status["holders"].values()]
    return len(acknowledged) == 2 and min(acknowledged) == status["own"]["number"] >= len(CALLS)


def test_calls_of_a_killed_proxy_are_released_through_another_and_through_it_once_restarted(fleet):
    start_member, server = fleet
    first, second, third = start_member("n0"), start_member("n1"), start_member("n2")
    wait_for(lambda: not replicas(first)["behind"])
    establish(second)
    wait_for(lambda: is_replicated(second))
    second.process.kill()
    second.process.wait()
    restarted = start_member("n1")
    wait_for(lambda: replicas(restarted)["own"]["records"] >= len(CALLS))
    wait_for(lambda: not replicas(restarted)["behind"])
    assert release(restarted) == ["SIP/2.0 200 OK"] * len(CALLS)
    # Messages of type 12 are releases.
    wait_for(lambda: sum(message_type == 12 for message_type, *_ in server.received) >= len(CALLS))
    establish(third, LATER_CALLS)
    wait_for(lambda: is_replicated(third))
    third.process.kill()
    third.process.wait()
    assert release(first, LATER_CALLS) == ["SIP/2.0 200 OK"] * len(CALLS), (
        "through another proxy, while no process has that name"
    )
    assert release(first, LATER_CALLS) == ["SIP/2.0 481 Call/Transaction Does Not Exist"] * len(CALLS), (
        "each call is released once"
    )


def test_without_replicas_calls_of_a_killed_proxy_are_unknown(fleet):
    start_member, _ = fleet
    first, second = start_member("n0", with_replicas=False), start_member("n1", with_replicas=False)
    assert json.loads(first.http_request("GET", "/control/replicas")[1])["code"] == "ops.no-such-call"
    establish(second)
    second.process.kill()
    second.process.wait()
    assert release(first) == ["SIP/2.0 481 Call/Transaction Does Not Exist"] * len(CALLS)


def test_settings_errors_of_replicas_name_the_key():
    context = SettingsContext(settings={"fleet": True})
    assert replicas_settings.parse({"enabled": True}, context).copies == 2
    for change, key in (({"copies": 0}, "replicas.copies"), ({"odd": 1}, "replicas.odd")):
        with pytest.raises(MalformedError, match=key):
            replicas_settings.parse({"enabled": True} | change, context)
    with pytest.raises(MalformedError, match="needs the fleet"):
        replicas_settings.parse({"enabled": True}, SettingsContext())
