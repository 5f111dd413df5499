"""Crossings over sockets: the program is stopped, what crosses is sent in order, and all of it lies unread."""

import os
import signal
import socket
import struct
import time
from pathlib import Path

import pytest

from tests.standins import Caller, Program, SetupServer, binary, settings, wait_for
from tests.test_program import FIRST, LONG, SECOND

FULL = ((61, b"\x22"), (47, b"overload"))
GUARD_MS = 2000.0


@pytest.fixture
def start(tmp_path):
    started = []

    def begin(*behaviours, **more):
        servers = [SetupServer(behaviour) for behaviour in behaviours]
        started.append(Program(tmp_path, {f"s{i}": s.address for i, s in enumerate(servers)}, **more))
        return started[-1], servers

    yield begin
    for program in started:
        code = program.stop()
        assert code == 0 and "Traceback" not in "".join(program.log), program.log
        assert not [name for name in program.counts() if name.startswith("broken")]


class Stopped:
    """The program does nothing within; what it is sent meanwhile lies unread."""

    def __init__(self, program):
        self.pid = program.process.pid

    def __enter__(self):
        os.kill(self.pid, signal.SIGSTOP)
        wait_for(lambda: Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T")

    def __exit__(self, *_):
        os.kill(self.pid, signal.SIGCONT)


def set_ups(server):
    return [call.hex() for kind, call, _ in server.heard if kind == 1]


def leave(caller, how):
    if how == "cancel":
        caller.say("CANCEL", FIRST)
    elif how == "end":
        caller.socket.shutdown(socket.SHUT_WR)
    else:
        caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        caller.file.close()
        caller.socket.close()


def others_are_served(program, server):
    """A later set-up has come through; all that was to come of earlier ones has come before it."""
    other = Caller(program)
    other.invite(SECOND, dest=1)
    assert other.hear()[0] == "SIP/2.0 200 OK"
    return set_ups(server)


@pytest.mark.parametrize("how", ["cancel", "end", "reset"])
def test_no_further_attempt_for_a_caller_that_left_before_the_answer_was_read(start, how):
    program, (first, second) = start("silent", "hold")
    caller = Caller(program)
    caller.invite(FIRST)
    wait_for(lambda: set_ups(first) == [FIRST])
    with Stopped(program):
        (link,) = first.links
        link.sendall(binary(12, bytes.fromhex(FIRST), *FULL))  # read first, as it comes first
        leave(caller, how)
    assert others_are_served(program, second) == [SECOND]


@pytest.mark.parametrize("how", ["cancel", "end", "reset"])
def test_no_further_attempt_when_the_wait_after_a_release_ends_with_its_caller_gone(start, how):
    told = settings(services=[LONG], extra={"guard_ms": GUARD_MS, "allowed_pools": [[0, 1]]})
    program, (first, second) = start("silent", "hold", settings=told)
    caller = Caller(program)
    caller.invite(FIRST, expires=20_000)
    wait_for(lambda: set_ups(first) == [FIRST])
    (link,) = first.links
    link.shutdown(socket.SHUT_RDWR)
    wait_for(lambda: len(first.links) > 1)  # the program knows that it has gone, and waits
    with Stopped(program):
        leave(caller, how)
        time.sleep(1.1 * GUARD_MS / 1000.0)  # what it waited for is due when it goes on
    assert others_are_served(program, second) == [SECOND]


def test_what_a_caller_sends_and_takes_back_while_nothing_is_read_is_sent_nowhere(start):
    program, (first, second) = start("hold", "hold")
    caller = Caller(program)
    with Stopped(program):
        caller.invite(FIRST)
        leave(caller, "end")
    assert others_are_served(program, second) == [SECOND] and set_ups(first) == []


def test_an_answer_that_lies_unread_when_its_time_is_up_is_still_one(start):
    program, (first, _) = start("silent", "hold")
    caller = Caller(program)
    caller.invite(FIRST, expires=2000)
    wait_for(lambda: set_ups(first) == [FIRST])
    with Stopped(program):
        (link,) = first.links
        link.sendall(binary(9, bytes.fromhex(FIRST), (63, b"sdp")))
        time.sleep(2.1)
    assert caller.hear()[0] == "SIP/2.0 200 OK"
