"""Processes of the program that hold one another's calls: one is killed, and its calls are ended through the others."""

import json

import pytest

from leadslip.config import MalformedError
from leadslip.parts import Around
from leadslip.parts.replicas import settings as part
from tests.standins import HOST, Caller, Program, SetupServer, wait_for

CALLS = [f"{number:016x}" for number in range(1, 13)]
LATER = [f"{number:016x}" for number in range(101, 113)]


@pytest.fixture
def fleet(tmp_path):
    """Four members; `begin(name, on)` starts one, as the very first the seed of the others."""
    (tmp_path / "fleet.key").write_text("ab" * 32)
    server, started = SetupServer("hold"), {}
    seeds = []

    def begin(name, on=True):
        folder = tmp_path / f"{name}-{len(started)}"
        folder.mkdir()
        told = {"listen": f"{HOST}:0", "seeds": seeds, "key_file": str(tmp_path / "fleet.key")}
        told["zone"] = f"zone{int(name[1:]) % 2}"
        text = "enabled = true\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in told.items())
        parts = {"fleet": text, "replicas": f"enabled = {str(on).lower()}\n"}
        one = Program(folder, {"s0": server.address}, name=name, parts=parts, ops=f"{HOST}:0")
        if not seeds:
            seeds.append(json.loads(one.call("GET", "/control/fleet")[1])["self"]["address"])
        started[folder.name] = one
        return one

    yield begin, server
    for one in started.values():
        if one.process.poll() is None:
            assert one.stop() == 0
        assert "Traceback" not in "".join(one.log), "".join(one.log)


def replicas(one):
    return json.loads(one.call("GET", "/control/replicas")[1])


def stand(one, calls=CALLS):
    """Calls that stand at a proxy; one that is refused, as its server is new to the proxy, is placed again."""
    caller = Caller(one)
    for call in calls:
        start = ""
        while start != "SIP/2.0 200 OK":
            caller.invite(call)
            start = caller.hear()[0]
            while start.startswith("SIP/2.0 1"):
                start = caller.hear()[0]


def released(one, calls=CALLS):
    """What a proxy answers to a release of each of them."""
    caller, told = Caller(one), []
    for call in calls:
        caller.say("BYE", call)
        told.append(caller.hear()[0])
    return told


def held(one):
    """Whether two others hold all of it."""
    told = replicas(one)
    acknowledged = [holder["number"] for holder in told["holders"].values()]
    return len(acknowledged) == 2 and min(acknowledged) == told["own"]["number"] >= len(CALLS)


def test_calls_of_a_killed_proxy_are_released_through_any_other_and_one_back_with_nothing_knows_them(fleet):
    begin, server = fleet
    first, second, third = begin("n0"), begin("n1"), begin("n2")
    wait_for(lambda: not replicas(first)["behind"])
    stand(second)
    wait_for(lambda: held(second))
    second.process.kill()
    second.process.wait()
    again = begin("n1")
    wait_for(lambda: replicas(again)["own"]["records"] >= len(CALLS))
    wait_for(lambda: not replicas(again)["behind"])
    assert released(again) == ["SIP/2.0 200 OK"] * len(CALLS)
    wait_for(lambda: sum(kind == 12 for kind, *_ in server.heard) >= len(CALLS))
    stand(third, LATER)
    wait_for(lambda: held(third))
    third.process.kill()
    third.process.wait()
    assert released(first, LATER) == ["SIP/2.0 200 OK"] * len(CALLS), (
        "through another, while nobody has that name"
    )
    assert released(first, LATER) == ["SIP/2.0 481 Call/Transaction Does Not Exist"] * len(CALLS), (
        "each ends once"
    )


def test_without_replicas_no_such_call_is_known(fleet):
    begin, _ = fleet
    first, second = begin("n0", on=False), begin("n1", on=False)
    assert json.loads(first.call("GET", "/control/replicas")[1])["code"] == "ops.no-such-call"
    stand(second)
    second.process.kill()
    second.process.wait()
    assert released(first) == ["SIP/2.0 481 Call/Transaction Does Not Exist"] * len(CALLS)


def test_settings_of_replicas_name_the_faulty_key():
    around = Around(settings={"fleet": True})
    assert part.settings({"enabled": True}, around).copies == 2
    for change, key in (({"copies": 0}, "replicas.copies"), ({"odd": 1}, "replicas.odd")):
        with pytest.raises(MalformedError, match=key):
            part.settings({"enabled": True} | change, around)
    with pytest.raises(MalformedError, match="needs the fleet"):
        part.settings({"enabled": True}, Around())
