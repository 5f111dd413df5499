"""Drains of a running proxy whose callers keep using their open connections."""

import contextlib
import itertools
import queue
import socket
import threading
import time
from pathlib import Path

import pytest

from tests.standins import HOST, Caller, Program, SetupServer, encode_message, settings

# The protocol's limits after PUT /control/out-of-service. At the first one no caller's connection may be open that is
# idle, or has an open request that was sent within the second one.
DRAIN_LIMIT_S = 4.05
RECENT_REQUEST_S = 2.0
ANSWER_DELAY_S = 0.12
CALL_DURATION_S = 1.5
RELEASE_LIMIT_S = 1.05
POLL_S = 0.002
TCP_ESTABLISHED = 1  # Linux's number of this state, in the first byte of TCP_INFO
UNREAD_ANSWERS = 40_000  # more than the buffers of both sockets hold


class DelayedServer(SetupServer):
    """A setup server that answers each set-up after `answer_delay_s` and releases the call `call_duration_s` later.

    One thread does all of it: with a thread for each call they wait for one another, some tenths of a second beside
    other load, between the time that is noted for a release and its sending.
    """

    def __init__(self, answer_delay_s=ANSWER_DELAY_S, call_duration_s=CALL_DURATION_S):
        self.answer_delay_s, self.call_duration_s = answer_delay_s, call_duration_s
        self.released_at = {}
        self.due = queue.PriorityQueue()  # (time, number, action)
        self.numbers = itertools.count()
        threading.Thread(target=self._run_due, daemon=True).start()
        super().__init__()

    def _run_due(self):
        while True:
            due_at, number, action = self.due.get()
            wait_s = due_at - time.monotonic()
            if wait_s <= 0:
                action()
            else:  # an action that is due earlier may be added meanwhile
                self.due.put((due_at, number, action))
                time.sleep(min(wait_s, POLL_S))

    def _call_later(self, delay_s, action):
        self.due.put((time.monotonic() + delay_s, next(self.numbers), action))

    def report(self):
        return b"x0:5000;x1:5000"

    def answer(self, connection, call, fields):
        def establish():
            with contextlib.suppress(OSError):
                connection.sendall(encode_message(9, call, (63, b"v=answer")))

        def release():
            self.released_at[call.hex()] = time.monotonic()
            with contextlib.suppress(OSError):
                connection.sendall(encode_message(12, call, (61, b"\x10")))

        self._call_later(self.answer_delay_s, establish)
        self._call_later(self.answer_delay_s + self.call_duration_s, release)


class PersistentCaller(Caller):
    """A caller that keeps sending set-ups on its one connection until the proxy closes it.

    `sent_at` and `answers` are by call id; `established` has the calls that the proxy has not released yet.
    """

    def __init__(self, program, number, interval_s, expires_ms=1600):
        super().__init__(program)
        self.number, self.interval_s, self.expires_ms = number, interval_s, expires_ms
        self.sent_at, self.answers, self.released_at = {}, {}, {}
        self.established = set()
        self.closed_at = None
        self.threads = [
            threading.Thread(target=target, daemon=True) for target in (self._send, self._receive)
        ]
        for thread in self.threads:
            thread.start()

    def _send(self):
        with contextlib.suppress(OSError):
            while self._is_connected():
                id_ = f"{self.number:08x}{len(self.sent_at):08x}"
                self.sent_at[id_] = time.monotonic()
                self.invite(id_, expires=self.expires_ms)
                time.sleep(self.interval_s)

    def _receive(self):
        with contextlib.suppress(OSError):
            while (message := self.receive())[0]:
                start_line, headers, _ = message
                id_ = headers["Call-ID"]
                if start_line.startswith("BYE "):
                    self.released_at[id_] = time.monotonic()
                    self.established.discard(id_)
                    self._acknowledge(id_)
                elif headers["CSeq"] == "1 INVITE":
                    if start_line.startswith("SIP/2.0 200"):
                        self.established.add(id_)
                    self.answers[id_] = start_line
        self.closed_at = time.monotonic()

    def _is_connected(self):
        """Returns whether the proxy's close has not arrived yet, even if no thread has been scheduled to read it."""
        return self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_ESTABLISHED

    def _acknowledge(self, id_):
        """Answers a release; what the proxy wrote before it closed the connection is read even if this fails."""
        with contextlib.suppress(OSError):
            self.socket.sendall(
                f"SIP/2.0 200 OK\r\nCall-ID: {id_}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n".encode()
            )

    def breach(self, now):
        """Returns how this connection breaks the drain's rule at its limit, or an empty string."""
        if self.closed_at is not None:
            return ""
        open_ids = self.sent_at.keys() - self.answers.keys()
        recent = [id_ for id_ in open_ids if now - self.sent_at[id_] < RECENT_REQUEST_S]
        if recent:
            return f"held with {len(recent)} requests of the last 2 s"
        return "" if open_ids or self.established else "held idle"


@pytest.fixture
def start(tmp_path):
    """A function that starts the proxy with the given setup servers; checks its exit after the test."""
    started = []

    def start_program(*servers, **options):
        addresses = {f"s{i}": server.address for i, server in enumerate(servers)}
        started.append(Program(tmp_path, addresses, ops=f"{HOST}:0", **options))
        return started[-1]

    yield start_program
    for program in started:
        assert program.stop() == 0 and "Traceback" not in "".join(program.log), program.log
        assert not [name for name in program.counts() if name.startswith("broken")]


def test_a_drain_holds_no_recent_request_though_callers_keep_using_their_connections(start):
    """Guards against a drain that waits for a pause between calls, which steady callers never make."""
    server = DelayedServer()
    program = start(server, settings=settings(tick_ms=5.0))
    callers = [PersistentCaller(program, i, interval_s=0.04) for i in range(4)]
    time.sleep(1.0)
    assert program.http_request("PUT", "/control/out-of-service")[0] == 200
    drained_at = time.monotonic()
    time.sleep(drained_at + DRAIN_LIMIT_S - time.monotonic())
    now = time.monotonic()
    assert [breach for caller in callers if (breach := caller.breach(now))] == []
    for thread in (thread for caller in callers for thread in caller.threads):
        thread.join(CALL_DURATION_S + RELEASE_LIMIT_S)
    for caller in callers:
        last_id = max(caller.sent_at, key=caller.sent_at.get)
        unanswered = caller.sent_at.keys() - caller.answers.keys() - {last_id}
        assert not unanswered, "only the set-up that crosses the close may stay without an answer"
        assert not caller.established, "each call is released on a connection that stays open for it"
        for id_, released_at in caller.released_at.items():
            assert released_at - server.released_at[id_] < RELEASE_LIMIT_S


def is_held(program, connection):
    """Returns whether the proxy still has its end of a connection open, as the system's table of sockets says."""
    own_port, listen_port = f":{connection.getsockname()[1]:04X}", f":{program.listen[1]:04X}"
    for line in Path(f"/proc/{program.process.pid}/net/tcp").read_text().splitlines()[1:]:
        _, local, remote, _, _, _, _, _, _, inode, *_ = line.split()
        if local.endswith(listen_port) and remote.endswith(own_port):
            return inode != "0"  # a socket that its process has closed belongs to no inode
    return False


def test_a_drain_holds_no_connection_with_a_partial_message(start):
    """Guards against a drain that waits for the rest of a message longer than connections may be held."""
    program = start(DelayedServer(call_duration_s=3.0))
    writer = Caller(program)
    writer.invite(f"{0:016x}")
    assert writer.receive()[0] == "SIP/2.0 200 OK"
    assert program.http_request("PUT", "/control/out-of-service")[0] == 200
    drained_at = time.monotonic()
    time.sleep(2.5)
    writer.socket.sendall(b"INVITE sip:0123@net SIP/2.0")
    assert writer.receive()[0].startswith("BYE ")
    time.sleep(drained_at + DRAIN_LIMIT_S - time.monotonic())
    assert not is_held(program, writer.socket)


def test_a_drain_holds_no_connection_whose_caller_does_not_read(start):
    """Guards against a drain that waits until what it has written is read: Twisted never closes a paused producer."""
    program = start(DelayedServer())
    reader = Caller.__new__(Caller)
    reader.socket = socket.socket()
    reader.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    reader.socket.connect(program.listen)
    request = (
        b"OPTIONS sip:x@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n" % 1
    )
    reader.socket.sendall(request * UNREAD_ANSWERS)
    assert program.http_request("PUT", "/control/out-of-service")[0] == 200
    time.sleep(DRAIN_LIMIT_S)
    assert not is_held(program, reader.socket)


def test_steady_callers_are_refused_shortly_before_the_exit_and_no_set_up_is_left_open(start):
    """Guards against an exit that cuts short set-ups that came too late to be answered by a server."""
    short_class = {"name": "plain", "gain": 1.0, "late_worth": 0.2, "aim_ms": 500.0, "deadline_ms": 800.0}
    program = start(DelayedServer(), settings=settings(services=[short_class]))
    callers = [PersistentCaller(program, i, interval_s=0.04, expires_ms=800) for i in range(4)]
    time.sleep(1.0)
    program.process.terminate()
    terminated_at = time.monotonic()
    assert program.process.wait(1.5) == 0, "SIGKILL may follow 1.5 s after SIGTERM"
    for caller in callers:
        for thread in caller.threads:
            thread.join(1.0)
        assert not any(status.startswith("SIP/2.0 500") for status in caller.answers.values())
        unanswered = [id_ for id_ in caller.sent_at if id_ not in caller.answers]
        assert all(caller.closed_at - caller.sent_at[id_] < 0.05 for id_ in unanswered), (
            "it crossed the close"
        )
        assert caller.closed_at - terminated_at < 1.5
