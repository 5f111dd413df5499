"""Message races over sockets: while the process is stopped, messages arrive that it then finds unread at once.

A caller's cancellation or disconnect must count although the process reads it after the message that would cause a
retry; an answer must count although its deadline has passed when the process reads it.
"""

import socket
import struct
import time

import pytest

from tests.standins import Caller, Program, SetupServer, Stopped, encode_message, settings, wait_for
from tests.test_program import FIRST, LONG_CLASS, SECOND

FULL = ((61, b"\x22"), (47, b"overload"))  # parameters of a release by which a server refuses a set-up
GUARD_MS = 2000.0  # the wait before a retry, `guard_ms` of the settings


@pytest.fixture
def start(tmp_path):
    """A function that starts the proxy with a setup server for each behaviour; checks its exit after the test."""
    started = []

    def start_program(*behaviours, **more):
        servers = [SetupServer(behaviour) for behaviour in behaviours]
        started.append(Program(tmp_path, {f"s{i}": s.address for i, s in enumerate(servers)}, **more))
        return started[-1], servers

    yield start_program
    for program in started:
        code = program.stop()
        assert code == 0 and "Traceback" not in "".join(program.log), program.log
        assert not [name for name in program.counts() if name.startswith("broken")]


def set_ups(server):
    """Returns the ids of the calls whose set-ups a server has received."""
    return [call.hex() for message_type, call, _ in server.received if message_type == 1]


def leave(caller, manner):
    """Lets a caller cancel its set-up, end its connection in order, or reset it."""
    if manner == "cancel":
        caller.send("CANCEL", FIRST)
    elif manner == "end":
        caller.socket.shutdown(socket.SHUT_WR)
    else:
        caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        caller.file.close()
        caller.socket.close()


def set_ups_after_another_call(program, server):
    """Places another call, and returns the set-ups of its server: a retry sent earlier would be among them."""
    other = Caller(program)
    other.invite(SECOND, dest=1)
    assert other.receive()[0] == "SIP/2.0 200 OK"
    return set_ups(server)


@pytest.mark.parametrize("manner", ["cancel", "end", "reset"])
def test_no_retry_for_a_caller_that_left_before_the_refusal_was_read(start, manner):
    program, (first, second) = start("silent", "hold")
    caller = Caller(program)
    caller.invite(FIRST)
    wait_for(lambda: set_ups(first) == [FIRST])
    with Stopped(program):
        (connection,) = first.connections
        connection.sendall(encode_message(12, bytes.fromhex(FIRST), *FULL))  # sent first, so read first
        leave(caller, manner)
    assert set_ups_after_another_call(program, second) == [SECOND]


@pytest.mark.parametrize("manner", ["cancel", "end", "reset"])
def test_no_retry_when_the_caller_has_left_by_the_end_of_the_guard_time(start, manner):
    guarded = settings(services=[LONG_CLASS], extra={"guard_ms": GUARD_MS, "allowed_pools": [[0, 1]]})
    program, (first, second) = start("silent", "hold", settings=guarded)
    caller = Caller(program)
    caller.invite(FIRST, expires=20_000)
    wait_for(lambda: set_ups(first) == [FIRST])
    (connection,) = first.connections
    connection.shutdown(socket.SHUT_RDWR)
    # The program has noticed the loss and connected again; it waits for the guard time before the retry.
    wait_for(lambda: len(first.connections) > 1)
    with Stopped(program):
        leave(caller, manner)
        time.sleep(1.1 * GUARD_MS / 1000.0)  # the guard time has passed when the process continues
    assert set_ups_after_another_call(program, second) == [SECOND]


def test_a_set_up_whose_caller_disconnects_before_it_is_read_is_never_sent(start):
    program, (first, second) = start("hold", "hold")
    caller = Caller(program)
    with Stopped(program):
        caller.invite(FIRST)
        leave(caller, "end")
    assert set_ups_after_another_call(program, second) == [SECOND] and set_ups(first) == []


def test_an_answer_unread_at_its_deadline_still_counts(start):
    program, (first, _) = start("silent", "hold")
    caller = Caller(program)
    caller.invite(FIRST, expires=2000)
    wait_for(lambda: set_ups(first) == [FIRST])
    with Stopped(program):
        (connection,) = first.connections
        connection.sendall(encode_message(9, bytes.fromhex(FIRST), (63, b"sdp")))
        time.sleep(2.1)
    assert caller.receive()[0] == "SIP/2.0 200 OK"
