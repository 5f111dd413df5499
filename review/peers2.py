"""Stand-ins of the second review: setup server, notice board, callers, and the proxy as a process.

They follow the operators' PROTOCOL page, on one asyncio loop; only the proxy is a process of its own, started with the
`run` command of the deploy file. Every address is a loopback address. What is sent, answered and run is recorded.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, STATE, TEST, TEST_RESULT = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, WAIT, NUMBER, NOTE, REPORT, CAUSE, DESCRIPTION = 33, 35, 41, 47, 51, 61, 63
# Exit codes of a case's program. run.sh makes them 0, 1 and 2; anything else, such as a traceback, becomes 2 as well.
HELD, BROKEN, NOT_RUN = 0, 3, 2
READY_LIMIT_S = 30.0


class NotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """The lines of record.txt: seconds since the start of the case, and what happened."""

    def __init__(self, path: Path) -> None:
        self.started_s = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        print(f"{time.monotonic() - self.started_s:8.3f} {text}", file=self.file, flush=True)


def free_port() -> int:
    with socket.create_server((HOST, 0)) as listener:
        return listener.getsockname()[1]


def encode(message_type: int, call: bytes, *fields: tuple[int, bytes]) -> bytes:
    """Encodes one message of the setup servers' protocol."""
    body = bytes((message_type,)) + call
    body += b"".join(struct.pack("!BH", code, len(value)) + value for code, value in fields)
    return struct.pack("!H", len(body)) + body


def notice(rev: int, *targets: tuple[str, str, int, str], full: bool = False, boot_ms: int = 0) -> dict:
    """One event of the notice board; a target is (uid, endpoint, number, state)."""
    listed = [
        {"uid": uid, "endpoint": endpoint, "az": "seoul", "model": "std-1core", "pod_group": number}
        | {"state": state, "capacity_hint": 1, "boot_ms": boot_ms}
        for uid, endpoint, number, state in targets
    ]
    return {"rev": rev, "pool": {"rev": rev, "all": full, "targets": listed}}


def settings(**changes: object) -> dict:
    """The settings of a proxy at mirae-warncall, with the names and figures of the operators' pages."""
    service = {"aim_ms": 1500.0, "deadline_ms": 9000.0, "idempotency": "retryable", "stream": True}
    values = {
        "balancers": 5,
        "index": 0,
        "services": [
            {"name": "resident-call", "gain": 1.0, "late_worth": 0.25} | service,
            {"name": "officer-call", "gain": 3.0, "late_worth": 0.1} | service,
        ],
        "membership_mode": "pushed",
        "limits": {
            "cancel": True,
            "conn_idle_ms": 600000.0,
            "dial_timeout_ms": 500.0,
            "max_retry_after_ms": 2000.0,
            "may_duplicate": False,
            "may_probe": False,
            "most_held": 20000,
            "most_tries": 6,
            "peers": False,
            "retry_after": True,
        },
        "obligations": {
            "answer_slack_ms": 20.0,
            "cold_from": 0.29,
            "stop_sending_within_ms": 1000.0,
            "tip_after_ms": 1500.0,
            "tip_multiple": 2.5,
            "warm_after_ms": 14000.0,
        },
        "extra": {
            "allowed_pools": [[0, 1], [0, 1]],
            "channels_needed": [1, 1],
            "guard_ms": 500.0,
            "here": -1,
            "mean_hold_ms": [9000.0, 7200.0],
            "resend_ms": 800.0,
            "shape": "skills",
        },
        "load_report": {"fields": ["idle", "circuits", "avg_ms", "max_rate"], "how": "answers"},
        "tick_ms": 5.0,
    }
    return values | changes


@dataclass
class ServerCall:
    """One call at a setup server."""

    id: bytes
    writer: asyncio.StreamWriter | None  # of the connection of its set-up; None once that has closed
    stands: bool = False
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


class SetupServer:
    """A sound setup server: answers each set-up after `answer_s`, and releases the call after `hold_s`.

    It sends what concerns a call on the connection of its set-up, otherwise on any open one, and its release on the
    next connection opened as well.
    """

    def __init__(self, name: str, number: int, record: Record, answer_s: float = 0.03, hold_s: float = 9.0):
        self.name, self.number, self.record = name, number, record
        self.answer_s, self.hold_s = answer_s, hold_s
        self.calls: dict[bytes, ServerCall] = {}
        self.set_ups: list[tuple[float, bytes, dict[int, bytes]]] = []  # time, call, parameters
        self.ended_s: dict[bytes, float] = {}  # call -> when it ended here, for calls that stood
        self.cut: set[bytes] = set()  # calls that the proxy has released
        self.to_repeat: list[bytes] = []  # releases to send on the next connection opened
        self.writers: list[asyncio.StreamWriter] = []
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task] = set()
        self.accepting: asyncio.Task | None = None

    async def start(self, port: int = 0) -> None:
        self.listener = socket.create_server((HOST, port), backlog=128)
        self.listener.setblocking(False)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.accepting = asyncio.create_task(self._accept())
        self.record(f"{self.name}: listens at {self.address}")

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=connection)
            task = asyncio.create_task(self._serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def hold_back_connections(self) -> None:
        """From now on new connections do not come up: their first packets are dropped, open ones go on."""
        self.accepting.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.accepting
        self.listener.listen(0)
        for _ in range(8):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            self.fillers.append(filler)
            try:
                loop = asyncio.get_running_loop()
                await asyncio.wait_for(loop.sock_connect(filler, self.listener.getsockname()), 0.15)
            except TimeoutError:
                self.record(f"{self.name}: new connections do not come up from now on")
                return
        raise NotRunError("new connections still come up although nobody accepts them")

    def let_connections_up(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.listen(128)
        self.accepting = asyncio.create_task(self._accept())
        self.record(f"{self.name}: new connections come up again")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        writer.write(encode(STATE, bytes(8), (REPORT, b"x0:5000;x1:5000;latency_ms:5;qps:200")))
        repeats, self.to_repeat = self.to_repeat, []
        self.record(f"{self.name}: connection opened, {len(repeats)} releases repeated on it")
        for message in repeats:
            writer.write(message)
        self.writers.append(writer)
        try:
            while True:
                (size,) = struct.unpack("!H", await reader.readexactly(2))
                self._message(await reader.readexactly(size), writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._closed(writer)
            writer.close()

    def _closed(self, writer: asyncio.StreamWriter) -> None:
        if writer in self.writers:
            self.writers.remove(writer)
            self.record(f"{self.name}: connection closed")
        for call in list(self.calls.values()):
            if call.writer is writer:
                call.writer = None
                if not call.stands:  # the set-ups open on a connection are given up with it
                    self._forget(call)

    def _forget(self, call: ServerCall) -> None:
        for timer in call.timers:
            timer.cancel()
        self.calls.pop(call.id, None)

    def _message(self, body: bytes, writer: asyncio.StreamWriter) -> None:
        message_type, id_, fields, offset = body[0], body[1:9], {}, 9
        while offset < len(body):
            code, size = struct.unpack_from("!BH", body, offset)
            fields[code] = body[offset + 3 : offset + 3 + size]
            offset += 3 + size
        if message_type == TEST:
            writer.write(encode(TEST_RESULT, id_, (CAUSE, b"\x01")))
        elif message_type == SET_UP:
            self.record(f"{self.name}: set-up {id_.hex()} number {fields.get(NUMBER)!r}")
            self.set_ups.append((time.monotonic(), id_, fields))
            call = self.calls[id_] = ServerCall(id_, writer)
            loop = asyncio.get_running_loop()
            call.timers.append(loop.call_later(self.answer_s, self._answer, call))
        elif message_type == RELEASE:
            call = self.calls.get(id_)
            self.record(f"{self.name}: release from the proxy of {id_.hex()}")
            if call is not None:
                if call.stands:
                    self.cut.add(id_)
                    self.ended_s[id_] = time.monotonic()
                self._forget(call)
                writer.write(encode(RELEASE_HEARD, id_))

    def description(self, id_: bytes) -> bytes:
        return b"c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 " + id_.hex().encode() + b"\r\n"

    def _answer(self, call: ServerCall) -> None:
        if call.writer is None:
            return
        call.stands = True
        call.writer.write(encode(ANSWER, call.id, (DESCRIPTION, self.description(call.id))))
        self.record(f"{self.name}: answer {call.id.hex()}")
        call.timers = [asyncio.get_running_loop().call_later(self.hold_s, self.end, call)]

    def end(self, call: ServerCall, cause: int = 16) -> None:
        """Ends a call that stands, and sends its release."""
        release = encode(RELEASE, call.id, (CAUSE, bytes((cause,))), (REPORT, b"x0:5000;x1:5000"))
        self._forget(call)
        self.ended_s[call.id] = time.monotonic()
        writer = call.writer or (self.writers[0] if self.writers else None)
        self.to_repeat.append(release)
        if writer is not None:
            writer.write(release)
        where = "no connection is open" if writer is None else "sent"
        self.record(f"{self.name}: call {call.id.hex()} has ended, release: {where}")

    async def stop(self) -> None:
        if self.accepting is not None:
            self.accepting.cancel()
        for filler in self.fillers:
            filler.close()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Board:
    """A sound notice board: each poll gets the events after its Last-Event-ID, and a comment every second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[tuple[int, dict]] = []
        self.changed = asyncio.Event()
        self.streams: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def publish(self, event: dict) -> None:
        self.record(f"board: {json.dumps(event)}")
        self.events.append((event["rev"], event))
        self.changed.set()
        self.changed = asyncio.Event()

    def close_streams(self) -> None:
        for writer in list(self.streams):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        last = 0
        self.streams.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (line := await reader.readline()) not in (b"\r\n", b""):
                name, _, value = line.partition(b":")
                if name.lower() == b"last-event-id":
                    last = int(value)
            self.record(f"board at {self.address}: asked for events after {last}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            while not writer.is_closing():
                changed = self.changed
                for rev, event in list(self.events):
                    if rev > last:
                        last = rev
                        writer.write(f"id: {rev}\ndata: {json.dumps(event)}\n\n".encode())
                writer.write(b": here\n\n")
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), 1.0)
        self.streams.discard(writer)
        writer.close()


@dataclass
class CallerCall:
    """One set-up as its caller sent it, and what came back."""

    id: str
    call_class: str
    number: bytes
    description: bytes
    sent_s: float
    expires_s: float
    answers: list[tuple[float, int, bytes]] = field(default_factory=list)  # time, status, description
    released_s: list[float] = field(default_factory=list)
    closed_s: float = 0.0  # when its connection ended before any answer

    @property
    def stands(self) -> bool:
        return any(status == 200 for _, status, _ in self.answers)


class Callers:
    """All callers' calls by id, over all connections: no connection owns a call that stands."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.calls: dict[str, CallerCall] = {}
        self.connections: list[CallerConnection] = []

    def summary(self) -> str:
        stands = sum(call.stands for call in self.calls.values())
        unanswered = sum(not call.answers for call in self.calls.values())
        return f"{len(self.calls)} set-ups by callers, {stands} stood, {unanswered} without an answer"


class CallerConnection:
    """One connection of a usual caller."""

    def __init__(self, callers: Callers, name: str) -> None:
        self.callers, self.record, self.name = callers, callers.record, name
        self.deaf = False  # it does not answer releases of calls that it does not know
        self.own: dict[str, CallerCall] = {}  # not answered yet
        self.closed = False
        self.passed_test: asyncio.Future | None = None

    async def open(self, address: tuple[str, int]) -> CallerConnection:
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.callers.connections.append(self)
        self.task = asyncio.create_task(self._read())
        self.record(f"{self.name}: connected")
        return self

    async def test(self, limit_s: float = 1.0) -> bool:
        """Sends a test as the front does; returns whether it has passed."""
        self.passed_test = asyncio.get_running_loop().create_future()
        self.writer.write(
            b"OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP front\r\nCall-ID: %s\r\nCSeq: 1 OPTIONS\r\n"
            b"Content-Length: 0\r\n\r\n" % secrets.token_hex(8).encode()
        )
        try:
            return await asyncio.wait_for(self.passed_test, limit_s)
        except TimeoutError:
            return False

    def set_up(
        self,
        call_class: str = "resident-call",
        first_choice: int = 0,
        expires_ms: int = 3000,
        number: bytes | None = None,
    ) -> CallerCall:
        """Sends a set-up; `number` is the number called, else a new one."""
        id_ = secrets.token_hex(8)
        number = number or secrets.token_hex(8).encode()
        description = b"%s\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n" % id_.encode()
        call = CallerCall(id_, call_class, number, description, time.monotonic(), expires_ms / 1000.0)
        self.callers.calls[id_] = self.own[id_] = call
        self.writer.write(
            b"INVITE sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP caller\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"
            b"Priority-Class: %s\r\nExpires-Ms: %d\r\nP-Trunk-Info: dest:%d;width:1;via:-1\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (
                number,
                id_.encode(),
                call_class.encode(),
                expires_ms,
                first_choice,
                len(description),
                description,
            )
        )
        self.record(f"{self.name}: set-up {id_} {call_class} number {number!r} first choice {first_choice}")
        return call

    async def _read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await self.reader.readuntil(b"\r\n\r\n")
                length = int(re.search(rb"(?i)\r\nContent-Length: *([0-9]+)", head).group(1))
                self._message(head, await self.reader.readexactly(length))
        self.closed = True
        self.record(f"{self.name}: connection closed, {len(self.own)} set-ups unanswered on it")
        for call in self.own.values():
            call.closed_s = time.monotonic()
        self.writer.close()

    def _message(self, head: bytes, body: bytes) -> None:
        start = head.split(b"\r\n", 1)[0]
        id_ = re.search(rb"(?i)\r\nCall-ID: *([0-9a-f]+)", head).group(1).decode()
        method = re.search(rb"(?i)\r\nCSeq: *[0-9]+ *([A-Z]+)", head).group(1)
        if start.startswith(b"SIP/2.0 "):
            status = int(start.split()[1])
            if method == b"OPTIONS" and self.passed_test is not None and not self.passed_test.done():
                self.passed_test.set_result(status == 200)
            elif method == b"INVITE" and status >= 200:
                call = self.callers.calls[id_]
                call.answers.append((time.monotonic(), status, body))
                self.own.pop(id_, None)
                self.record(f"{self.name}: answer {status} to {id_}")
                self.writer.write(
                    b"ACK sip:x@net SIP/2.0\r\nVia: SIP/2.0/TCP caller\r\nCall-ID: %s\r\nCSeq: 1 ACK\r\n"
                    b"Content-Length: 0\r\n\r\n" % id_.encode()
                )
        elif start.startswith(b"BYE "):
            call = self.callers.calls.get(id_)
            self.record(f"{self.name}: release of {id_}")
            if call is not None:
                call.released_s.append(time.monotonic())
            if call is None and self.deaf:
                return
            status_line = b"200 OK" if call is not None else b"481 Call/Transaction Does Not Exist"
            echoed = re.findall(rb"(?im)^(?:Via|Call-ID|CSeq):[^\r]*\r\n", head)
            self.writer.write(b"SIP/2.0 %s\r\n%sContent-Length: 0\r\n\r\n" % (status_line, b"".join(echoed)))

    def close(self) -> None:
        self.writer.close()


class Proxy:
    """The proxy, as a process of its own that is started with the command of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str = "n0") -> None:
        self.record, self.folder, self.name = record, folder, name
        self.address = (HOST, free_port())
        self.configuration: dict = {}
        self.environ: dict[str, str] = {}
        self.processes: list[subprocess.Popen] = []
        self.logs: list[Path] = []

    def configure(self, **values: object) -> None:
        """Writes the configuration file; `values` are kept for later calls."""
        self.configuration |= {"name": self.name, "listen": "{}:{}".format(*self.address)} | values
        self.configuration.setdefault("limits", {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
        path = self.folder / f"{self.name}.new"
        path.write_text(json.dumps(self.configuration))
        path.replace(self.folder / f"{self.name}.json")

    def start(self, ops: tuple[str, int] | None = None) -> subprocess.Popen:
        """Starts a process; returns without waiting until it is ready."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        number = len(self.processes)
        private = self.folder / f"{self.name}-tmp"
        private.mkdir(exist_ok=True)
        environ = {"PATH": os.environ.get("PATH", ""), "TMPDIR": str(private)} | self.environ
        environ |= {
            "NODE_NAME": self.name,
            "NODE_LISTEN": "{}:{}".format(*self.address),
            "NODE_CONFIG": str(self.folder / f"{self.name}.json"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        if ops is not None:
            environ["NODE_OPS"] = "{}:{}".format(*ops)
        if self.configuration:
            self.configuration["seed"] = secrets.token_hex(8)
            self.configure()
        log = self.folder / f"{self.name}-{number}.log"
        self.logs.append(log)
        with log.open("wb") as output:
            process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.processes.append(process)
        self.record(f"{self.name}: process {number} started")
        return process

    async def ready(self, limit_s: float = READY_LIMIT_S) -> None:
        """Waits until the newest process has passed a test, as the front does."""
        until_s = time.monotonic() + limit_s
        process = self.processes[-1]
        while time.monotonic() < until_s and process.poll() is None:
            with contextlib.suppress(OSError):
                front = CallerConnection(Callers(lambda text: None), "front")
                front.deaf = True
                await front.open(self.address)
                passed = await front.test()
                front.close()
                if passed:
                    self.record(f"{self.name}: ready")
                    return
            await asyncio.sleep(0.02)
        raise NotRunError(f"{self.name} is not ready; its log: {self.logs[-1].read_text()[-500:]}")

    def signal(self, number: signal.Signals, process: subprocess.Popen | None = None) -> None:
        process = process or self.processes[-1]
        self.record(f"{self.name}: {number.name} to process {self.processes.index(process)}")
        process.send_signal(number)

    async def exited(self, process: subprocess.Popen, limit_s: float) -> int | None:
        """Waits for the exit of a process; returns its status, None if it still runs."""
        until_s = time.monotonic() + limit_s
        while process.poll() is None and time.monotonic() < until_s:
            await asyncio.sleep(0.02)
        if process.poll() is not None:
            self.record(f"{self.name}: process {self.processes.index(process)} ended: {process.poll()}")
        return process.poll()

    def end_all(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def tell_logs(self) -> None:
        """Copies the last lines of the processes' logs into the record."""
        for number, log in enumerate(self.logs):
            for line in log.read_text(errors="replace").splitlines()[-25:]:
                self.record(f"log of {self.name}, process {number}: {line[:600]}")


class Case:
    """What a case has at hand: its record, a temporary folder, whether the disruption is to happen, its peers."""

    def __init__(self, record: Record, folder: Path, trouble: bool) -> None:
        self.record, self.folder, self.trouble = record, folder, trouble
        self.callers = Callers(record)
        self.proxies: list[Proxy] = []
        self.servers: list[SetupServer] = []
        self.faults: list[str] = []

    async def set_out(self, servers: int = 2, proxy: str = "n0", **server_options: float) -> Proxy:
        """Starts a notice board and setup servers, and configures a proxy, which is not started yet."""
        self.board = Board(self.record)
        await self.board.start()
        for number in range(servers):
            server = SetupServer(f"s{number}", number, self.record, **server_options)
            await server.start()
            self.servers.append(server)
        return self.add_proxy(proxy)

    def add_proxy(self, name: str) -> Proxy:
        proxy = Proxy(self.record, self.folder, name)
        self.proxies.append(proxy)
        targets = [(server.name, server.address, server.number, "active") for server in self.servers]
        proxy.configure(
            board=self.board.address,
            known={"rev": 1, "notices": [notice(1, *targets, full=True)]},
            settings=settings(),
        )
        return proxy

    async def close(self) -> None:
        """Closes all connections of the stand-ins."""
        for server in self.servers:
            await server.stop()
        for connection in self.callers.connections:
            connection.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def require(self, holds: bool, text: str) -> None:
        """Ends the case as not run unless what its check rests on has happened."""
        if not holds:
            raise NotRunError(text)

    def require_running(self, proxy: Proxy) -> None:
        status = proxy.processes[-1].poll()
        self.require(status is None, f"{proxy.name} has ended with {status}")

    def fault(self, text: str) -> None:
        self.faults.append(text)
        self.record(f"BROKEN: {text}")


def run(path: str, play: Callable[[Case], Awaitable[None]], limit_s: float = 110.0) -> None:
    """Plays a case beside the file `path`, writes its record and exits with its result."""
    folder = Path(path).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def told_to_end(*_: object) -> None:
        raise NotRunError("told to end")

    signal.signal(signal.SIGTERM, told_to_end)
    record(f"disruption: {'yes' if trouble else 'no'}")
    with tempfile.TemporaryDirectory() as temporary:
        case = Case(record, Path(temporary), trouble)

        async def whole() -> None:
            try:
                await asyncio.wait_for(play(case), limit_s)
            finally:
                for proxy in case.proxies:
                    proxy.end_all()
                    proxy.tell_logs()
                await case.close()

        try:
            asyncio.run(whole())
        except Exception as error:  # a fault of the case itself says nothing about the rule
            record(f"not run: {type(error).__name__}: {error}")
            print(f"not run: {type(error).__name__}: {error}")
            sys.exit(NOT_RUN)
    result = f"broken: {case.faults[0]} ({len(case.faults)} in all)" if case.faults else "held"
    record(f"{case.callers.summary()}; {result}")
    print(f"{'with' if trouble else 'without'} the disruption: {result}")
    sys.exit(BROKEN if case.faults else HELD)
