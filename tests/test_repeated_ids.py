"""An id that was sent to a setup server is not sent again, whatever has become of the first request."""

import socket
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadslip.sent_ids import BUCKET_IDS, BUCKETS, TABLE_BYTES, SentIds, open_shared
from tests.standins import HOST, Caller, Program, SetupServer
from tests.test_core import EngineFixture
from tests.test_links import deterministic

ID = "9b1f03aa5c7e2d41"


def set_ups(server, id_=ID):
    return sum(kind == 1 and call.hex() == id_ for kind, call, _ in server.received)


def wait_until(condition, limit_s=10.0):
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, "not seen in time"
        time.sleep(0.01)


@pytest.fixture
def start(tmp_path):
    started = []

    def begin(name, servers, **more):
        (tmp_path / name).mkdir()
        started.append(Program(tmp_path / name, servers, **more))
        return started[-1]

    yield begin
    for program in started:
        assert program.stop() == 0 and "Traceback" not in "".join(program.log), program.log


# Guards against a call that runs twice (picture c): its caller left, and the id came again on another connection.
def test_an_id_that_comes_again_after_its_caller_has_left_is_failed_and_sent_nowhere(start):
    servers = [SetupServer("silent"), SetupServer("silent")]
    program = start("n0", {f"s{number}": server.address for number, server in enumerate(servers)})
    leaving = Caller(program)
    leaving.invite(ID)
    wait_until(lambda: sum(map(set_ups, servers)) == 1)
    leaving.file.close()
    leaving.socket.close()
    wait_until(lambda: any(kind == 12 for server in servers for kind, _, _ in server.received))
    again = Caller(program)
    again.invite(ID)
    assert again.receive()[0].startswith("SIP/2.0 500 ")
    assert sum(map(set_ups, servers)) == 1


# Guards against the same at an upgrade (picture c): the second process did not know what the first one had sent.
def test_an_id_that_comes_again_at_the_other_process_of_an_upgrade_is_failed(start, tmp_path, monkeypatch):
    (tmp_path / "tmp").mkdir()
    monkeypatch.setenv("TMPDIR", str(tmp_path / "tmp"))
    with socket.create_server((HOST, 0)) as free:
        listen = "{}:{}".format(*free.getsockname())
    server = SetupServer("hold")
    old = start("old", {"s0": server.address}, listen=listen)
    first = Caller(old)
    first.invite(ID)
    assert first.receive()[0].startswith("SIP/2.0 200 ")
    new = start("new", {"s0": server.address}, listen=listen)
    assert old.stop() == 0
    again = Caller(new)
    again.invite(ID)
    assert again.receive()[0].startswith("SIP/2.0 500 ")
    assert set_ups(server) == 1


def test_an_id_that_was_refused_without_having_been_sent_may_come_again():
    world = EngineFixture()
    world.engine.sent_ids = SentIds()
    world.engine.max_open_requests = 0
    world.offer(ID)
    world.engine.max_open_requests = 10
    world.offer(ID)
    assert world.recorded == [("refused", ID)] and len(world.sent) == 1
    assert world.engine.may_send(world.sent[0]) and world.engine.may_send(world.sent[0]), "for each attempt"


@deterministic
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 40)), max_size=60))
def test_two_processes_never_both_claim_an_id(claims):
    table = bytearray(TABLE_BYTES)
    processes = SentIds(table), SentIds(table)
    claimed = []
    for now_ms, (by_second, number) in enumerate(claims):
        id_ = f"{number * BUCKETS * (1 + number % 3):016x}"
        if processes[by_second].claim(id_, float(now_ms + 1)):
            claimed.append(id_)
    newest = claimed[-BUCKET_IDS:]
    assert len(set(newest)) == len(newest), "the newest of a bucket are kept"


def test_an_incomplete_table_is_made_anew_and_a_third_process_takes_the_lane_of_the_first(tmp_path):
    (tmp_path / f"ids-{TABLE_BYTES}").write_bytes(b"cut off")
    first, second = SentIds(open_shared(tmp_path, "ids")), SentIds(open_shared(tmp_path, "ids"))
    assert first.claim(ID, 1.0) and not second.claim(ID, 2.0)
    third = SentIds(open_shared(tmp_path, "ids"))
    assert not third.claim(ID, 3.0) and third.claim("f" * 16, 4.0) and not second.claim("f" * 16, 5.0)
    assert [path.name for path in tmp_path.iterdir()] == [f"ids-{TABLE_BYTES}"]
