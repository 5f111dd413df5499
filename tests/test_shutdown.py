"""Shutdown of the proxy's process while requests, reloads or connects are pending, and shortage of descriptors."""

import os
import resource
import signal
import socket
import subprocess
import sys

import pytest

from leadslip.readiness import Readiness
from tests.standins import (
    HOST,
    ROOT,
    TEST_TIMEOUT_S,
    Board,
    Caller,
    Listener,
    Program,
    SetupServer,
    notice,
    settings,
    wait_for,
)
from tests.test_program import FIRST, SECOND

SHORT_CLASS = {"name": "plain", "gain": 1.0, "late_worth": 0.2, "aim_ms": 500.0, "deadline_ms": 600.0}


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


def test_no_set_up_is_accepted_after_the_last_answer(start):
    program, (server, other) = start("silent", "hold", settings=settings(services=[SHORT_CLASS]))
    caller = Caller(program)
    caller.invite(FIRST, expires=5000)  # longer than the process runs after SIGTERM
    wait_for(lambda: set_ups(server) == [FIRST])
    program.process.terminate()
    assert caller.receive()[0] == "SIP/2.0 500 Server Internal Error"
    try:
        caller.invite(SECOND, expires=5000, dest=1)
        assert caller.receive()[0] in ("SIP/2.0 503 Service Unavailable", ""), (
            "refused, or closed before it is read"
        )
    except (ConnectionResetError, BrokenPipeError):
        pass  # the set-up crossed the close
    assert program.process.wait(TEST_TIMEOUT_S) == 0
    assert set_ups(server) == [FIRST] and set_ups(other) == []


def test_answers_to_a_slow_reader_are_sent_before_the_connection_ends(start):
    """Guards against a reset of connections that still have unsent or unread answers at the exit.

    There are many calls on one connection, whose caller reads nothing until the process has exited.
    """
    program, (server,) = start("silent", settings=settings(services=[SHORT_CLASS]))
    caller = Caller(program)
    ids = [f"{i:016x}" for i in range(200)]
    for id_ in ids:
        caller.invite(id_, expires=5000)
    wait_for(lambda: "requests" in program.counts() or server.received)
    program.process.terminate()
    assert program.process.wait(TEST_TIMEOUT_S) == 0
    answered = set()
    while (message := caller.receive())[0]:
        if message[0].startswith("SIP/2.0 "):
            answered.add(message[1]["Call-ID"])
    assert answered == set(ids), "each set-up gets one final answer, and the connection ends without a reset"


def test_further_sigterm_and_sighup_during_the_drain_prevent_neither_the_answer_nor_the_exit(start):
    program, (server,) = start("silent", settings=settings(services=[SHORT_CLASS]))
    caller = Caller(program)
    caller.invite(FIRST, expires=5000)
    wait_for(lambda: set_ups(server))
    program.process.terminate()
    wait_for(lambda: any(" draining" in line for line in program.log))
    program.process.terminate()
    # The reloaded deadlines are longer than those at the first SIGTERM, from which the time of SIGKILL counts.
    assert "reload.taken" in program.reload(board=Board().address, settings=settings())
    program.process.terminate()
    assert caller.receive()[0] == "SIP/2.0 500 Server Internal Error"
    assert program.process.wait(TEST_TIMEOUT_S) == 0


def test_answers_are_due_by_the_shorter_of_the_longest_deadlines_at_sigterm_and_after_a_reload():
    readiness = Readiness(listening=True)
    readiness.begin_shutdown(10_000.0, longest_deadline_ms=600.0)
    assert readiness.answer_by_ms(600.0) == readiness.answer_by_ms(9000.0) == 11_100.0
    assert readiness.answer_by_ms(300.0) == 10_800.0
    longer = Readiness(listening=True)
    longer.begin_shutdown(10_000.0, longest_deadline_ms=9000.0)
    assert longer.answer_by_ms(9000.0) == 13_500.0, "at most 3 s of the deadline count"


class UnresponsiveBoard(Listener):
    """A board that accepts connections and never answers."""

    def serve(self, connection):
        while connection.recv(4096):
            pass


class FullBacklogBoard:
    """A board whose listen backlog is full: a connect is neither refused nor accepted."""

    def __init__(self):
        self.socket = socket.socket()
        self.socket.bind((HOST, 0))
        self.socket.listen(0)
        self.address = f"{HOST}:{self.socket.getsockname()[1]}"
        self.connections = [socket.socket() for _ in range(4)]
        for connection in self.connections:
            connection.setblocking(False)
            connection.connect_ex(self.socket.getsockname())


@pytest.mark.parametrize("board", [UnresponsiveBoard, FullBacklogBoard])
def test_a_drain_does_not_wait_for_an_unresponsive_board_or_a_connect_to_it(start, board):
    unresponsive = board()
    program, _ = start("answer", board=unresponsive.address, settings=settings(services=[SHORT_CLASS]))
    wait_for(lambda: unresponsive.connections)
    caller = Caller(program)
    caller.invite(FIRST)
    assert caller.receive()[0] == "SIP/2.0 200 OK"


def test_sigterm_before_listening_exits_with_status_0(tmp_path):
    """Guards against exit by the signal itself while the process starts: it blocks reading its configuration."""
    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)
    process = subprocess.Popen(
        [sys.executable, "-O", "-m", "leadslip"],
        cwd=ROOT,
        env=os.environ | {"NODE_CONFIG": str(pipe)},
        stderr=subprocess.PIPE,
        text=True,
    )
    # open() returns once the process has opened the pipe for reading, after it has installed its signal handlers.
    with open(pipe, "w") as writer:
        process.send_signal(signal.SIGTERM)
        assert process.wait(TEST_TIMEOUT_S) == 0 and process.stderr.read() == ""
        assert not writer.closed


def test_idle_callers_leave_descriptors_for_the_board_the_servers_and_operators(start):
    """Guards against idle callers that use up the descriptors needed for the board, servers, operators and reloads.

    There are far more idle callers than descriptors while the board is down; then its address changes, and the board
    at the new address lists new servers.
    """
    limit = 96
    program, (first,) = start("answer", limits={"sockets": limit}, ops=f"{HOST}:0")
    wait_for(lambda: program.board.polls)
    resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (limit, limit))
    second, third = SetupServer("answer"), SetupServer("answer")
    for connection in program.board.connections:
        connection.shutdown(socket.SHUT_RDWR)
    program.board.stop_with_reset()
    idle = []
    for _ in range(3 * limit):
        idle.append(socket.create_connection(program.listen, timeout=TEST_TIMEOUT_S))
    used = len(os.listdir(f"/proc/{program.process.pid}/fd"))
    assert used < limit, "descriptors are left while all idle callers are connected"
    new_board = Board()
    new_board.events.append((2, notice(2, ("s1", second.address, "active"))))
    assert "reload.taken" in program.reload(board=new_board.address), (
        "a descriptor is free to open the configuration file"
    )
    wait_for(lambda: second.connections)
    new_board.events.append((3, notice(3, ("s2", third.address, "active"))))
    wait_for(lambda: third.connections)
    assert program.http_request("GET", "/control/ready") == (200, b"ready\n")
    caller = Caller(program)
    caller.invite(FIRST)
    assert caller.receive()[0] == "SIP/2.0 200 OK"
    assert set_ups(first) == [FIRST]
    for connection in idle:
        connection.close()
