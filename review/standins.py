"""Stand-ins for the review's cases: callers, setup servers, notice board and the proxy's process, on one asyncio loop.

They follow PROTOCOL and DEPLOY and use the standard library only. Every address is a loopback address, every port one
that the system chose. `Record` writes record.txt: what was sent, answered and run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SET_UP, PROGRESS, ANSWER, RELEASE, STATE, TEST, TEST_RESULT = 1, 6, 9, 12, 43, 52, 53
CLASS, WAIT, NUMBER, NOTE, REPORT, CAUSE, DESCRIPTION = 33, 35, 41, 47, 51, 61, 63
NORMAL, ERROR, RESET = 16, 17, 41
READY_LIMIT_S = 30.0


def trouble() -> bool:
    """Whether the case plays its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt, one line an event, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.start_s = time.monotonic()

    def __call__(self, who: str, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.start_s:8.3f} {who:<10} {text}\n")
        self.file.flush()


def encode(message_type: int, call: str, *fields: tuple[int, bytes]) -> bytes:
    """One message of the setup servers' protocol."""
    body = bytes((message_type,)) + bytes.fromhex(call)
    body += b"".join(struct.pack("!BH", code, len(value)) + value for code, value in fields)
    return struct.pack("!H", len(body)) + body


def decode(body: bytes) -> tuple[int, str, dict[int, bytes]]:
    """The type, the call and the parameters of one message."""
    fields, offset = {}, 9
    while offset < len(body):
        code, size = struct.unpack_from("!BH", body, offset)
        fields[code] = body[offset + 3 : offset + 3 + size]
        offset += 3 + size
    return body[0], body[1:9].hex(), fields


class Call:
    """One set-up as a setup server received it."""

    def __init__(self, call: str, fields: dict[int, bytes], writer: asyncio.StreamWriter) -> None:
        self.call, self.fields, self.writer = call, fields, writer
        self.received_s = time.monotonic()
        self.answered_s = self.ended_s = 0.0


class SetupServer:
    """A setup server; `on_set_up` says what becomes of a set-up.

    It reports its lines first on each new connection, passes tests at once, and writes a release on the connection of
    the set-up, otherwise on any open one, and again on the next one opened.
    """

    def __init__(self, name: str, record: Record, on_set_up: Callable[[SetupServer, Call], None]) -> None:
        self.name, self.record, self.on_set_up = name, record, on_set_up
        self.calls: dict[str, Call] = {}  # in progress or established
        self.received: list[Call] = []
        self.connections: list[asyncio.StreamWriter] = []
        self.repeated: list[bytes] = []  # releases to write on the next connection as well
        self.answers_tests = True

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.append(writer)
        writer.write(encode(STATE, "00" * 8, (REPORT, b"x0:500;x1:500;latency_ms:1;qps:100")))
        repeated, self.repeated = self.repeated, []
        for message in repeated:
            writer.write(message)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                (size,) = struct.unpack("!H", await reader.readexactly(2))
                self.message(writer, *decode(await reader.readexactly(size)))
        if writer in self.connections:
            self.connections.remove(writer)
        writer.close()
        for call in list(self.calls.values()):
            if call.writer is writer and not call.answered_s:
                self.end(call, "given up with its connection")

    def message(self, writer: asyncio.StreamWriter, type_: int, call_id: str, fields: dict) -> None:
        if type_ == TEST and self.answers_tests:
            writer.write(encode(TEST_RESULT, call_id, (CAUSE, b"\x01")))
        elif type_ == RELEASE and call_id in self.calls:
            self.end(self.calls[call_id], "released by the proxy")
        elif type_ == SET_UP:
            call = self.calls[call_id] = Call(call_id, fields, writer)
            self.received.append(call)
            self.record(self.name, f"set-up {call_id} class {fields[CLASS].decode()} received")
            self.on_set_up(self, call)

    def end(self, call: Call, why: str) -> None:
        if self.calls.pop(call.call, None) is not None:
            call.ended_s = time.monotonic()
            self.record(self.name, f"{call.call} {why}")

    def answer(self, call: Call) -> None:
        if call.call in self.calls and not call.answered_s:
            call.answered_s = time.monotonic()
            call.writer.write(encode(ANSWER, call.call, (DESCRIPTION, self.description(call))))
            self.record(self.name, f"{call.call} answered: the call stands")

    def answered_unheard(self, call: Call) -> None:
        """The call stands, but its answer was lost with its connection."""
        call.answered_s = time.monotonic()
        self.record(
            self.name, f"{call.call} answered: the call stands; the answer is lost with its connection"
        )

    def description(self, call: Call) -> bytes:
        return f"{self.name} {call.call}".encode()

    def refuse(self, call: Call, cause: int) -> None:
        if call.call in self.calls and not call.answered_s:
            call.writer.write(encode(RELEASE, call.call, (CAUSE, bytes((cause,)))))
            self.end(call, f"refused with cause {cause}")

    def release(self, call: Call, cause: int = NORMAL) -> None:
        """The call has come to its end, or was cut."""
        if call.call not in self.calls:
            return
        message = encode(RELEASE, call.call, (CAUSE, bytes((cause,))))
        self.repeated.append(message)
        writer = call.writer if call.writer in self.connections else next(iter(self.connections), None)
        if writer is not None:
            writer.write(message)
        self.end(call, f"ended, release with cause {cause} {'written' if writer else 'waits'}")

    def reset(self, writer: asyncio.StreamWriter) -> None:
        """Resets one connection; what was established on it goes on."""
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        self.record(self.name, "resets a connection")


class Board:
    """The notice board: each poll gets the events after its Last-Event-ID, and a comment every second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            last = int(re.search(rb"last-event-id: *([0-9]+)", head, re.IGNORECASE)[1])
            self.record("board", f"polled after event {last}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            comment_s = 0.0
            while not writer.is_closing() and not reader.at_eof():
                for event in self.events:
                    if event["rev"] > last:
                        last = event["rev"]
                        writer.write(f"id: {last}\ndata: {json.dumps(event)}\n\n".encode())
                        self.record("board", f"event {last} written")
                if time.monotonic() >= comment_s:
                    comment_s = time.monotonic() + 1.0
                    writer.write(b": comment\n\n")
                await writer.drain()
                await asyncio.sleep(0.02)
        writer.close()


def notice(rev: int, targets: list[dict], whole: bool = False) -> dict:
    """One event of the notice board."""
    return {"rev": rev, "pool": {"rev": rev, "all": whole, "targets": targets}}


def target(uid: str, address: str, group: int, state: str = "active", boot_ms: float = 0) -> dict:
    """One setup server in an event."""
    return {
        "uid": uid,
        "endpoint": address,
        "az": "seoul",
        "model": "std-1core",
        "pod_group": group,
        "state": state,
        "capacity_hint": 1,
        "boot_ms": boot_ms,
    }


class Request:
    """One set-up as a caller sent it, and what came back."""

    def __init__(self, call: str) -> None:
        self.call, self.sent_s = call, time.monotonic()
        self.answers: list[tuple[float, int]] = []
        self.released_s: list[float] = []
        self.answered = asyncio.Event()

    @property
    def status(self) -> int:
        return self.answers[0][1] if self.answers else 0


class Caller:
    """Callers of one proxy: their requests, and the connections on which they hear."""

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        self.record, self.address = record, address
        self.requests: dict[str, Request] = {}
        self.connections: list[CallerConnection] = []

    async def connect(self) -> CallerConnection:
        connection = CallerConnection(self, *await asyncio.open_connection(*self.address))
        self.connections.append(connection)
        return connection


class CallerConnection:
    """One connection of a caller, which answers a release with 200 and acknowledges a final answer."""

    def __init__(self, caller: Caller, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.caller, self.record, self.reader, self.writer = caller, caller.record, reader, writer
        self.name = "caller-" + str(len(caller.connections))
        self.closed_s = 0.0
        self.task = asyncio.create_task(self.read())

    def invite(
        self, call: str, class_: str, destination: int, expires_ms: int, number: str = "0123"
    ) -> Request:
        request = self.caller.requests[call] = Request(call)
        body = f"offer of {call}"
        self.record(
            self.name, f"INVITE {call} to {number} class {class_} dest {destination} Expires-Ms {expires_ms}"
        )
        self.write(
            f"INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: 1 INVITE\r\n"
            f"Priority-Class: {class_}\r\nExpires-Ms: {expires_ms}\r\n"
            f"P-Trunk-Info: dest:{destination};width:1;via:-1\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        )
        return request

    def write(self, text: str) -> None:
        self.writer.write(text.encode())

    async def read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                size = int(re.search(r"\r\nContent-Length: *([0-9]+)", head, re.IGNORECASE)[1])
                body = await self.reader.readexactly(size)
                self.message(head, body)
        self.closed_s = time.monotonic()
        self.record(self.name, "connection has ended")
        self.writer.close()

    def message(self, head: str, body: bytes) -> None:
        call = re.search(r"\r\nCall-ID: *([0-9a-f]{16})", head, re.IGNORECASE)[1].lower()
        request = self.caller.requests.get(call)
        self.record(self.name, f"<- {head.splitlines()[0]} {call} {body.decode(errors='replace')}".rstrip())
        if head.startswith("BYE "):
            self.write(
                f"SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP proxy\r\nCall-ID: {call}\r\nCSeq: 2 BYE\r\n"
                "Content-Length: 0\r\n\r\n"
            )
            if request is not None:
                request.released_s.append(time.monotonic())
        elif re.search(r"\r\nCSeq: *1 INVITE", head) and not head.startswith("SIP/2.0 1"):
            self.write(
                f"ACK sip:0123@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: 1 ACK\r\n"
                "Content-Length: 0\r\n\r\n"
            )
            if request is not None:
                request.answers.append((time.monotonic(), int(head[8:11])))
                request.answered.set()

    def close(self) -> None:
        self.record(self.name, "closes its connection")
        self.writer.close()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def service(name: str, worth: float) -> dict:
    """A class of the settings, with the figures of mirae-warncall."""
    return {
        "name": name,
        "gain": worth,
        "late_worth": 0.25 if worth == 1.0 else 0.1,
        "aim_ms": 1500.0,
        "deadline_ms": 9000.0,
        "idempotency": "retryable",
        "key_scope": "all",
        "window_ms": 5000.0,
        "stream": True,
    }


def settings(**changes: object) -> dict:
    """The settings of a proxy of mirae-warncall, as in WIRE; `changes` replace whole keys."""
    values = {
        "balancers": 5,
        "index": 0,
        "zone": "seoul",
        "zones": ["seoul", "daejeon", "gwangju", "busan"],
        "services": [service("resident-call", 1.0), service("officer-call", 3.0)],
        "membership_mode": "pushed",
        "tick_ms": 5.0,
        "limits": {
            "cancel": True,
            "conn_idle_ms": 600000.0,
            "dial_timeout_ms": 500.0,
            "max_retry_after_ms": 2000.0,
            "may_duplicate": False,
            "may_probe": False,
            "most_held": 20000,
            "most_tries": 6,
            "multiplex": 1048576,
            "peers": False,
            "retry_after": True,
        },
        "load_report": {"fields": ["x0", "x1", "latency_ms", "qps"], "how": "answers"},
        "obligations": {
            "answer_slack_ms": 20.0,
            "ask_within_ms": 10000.0,
            "cold_from": 0.29,
            "stop_sending_within_ms": 1000.0,
            "tip_after_ms": 1500.0,
            "tip_multiple": 2.5,
            "warm_after_ms": 14000.0,
        },
        "extra": {
            "allowed_pools": [[0, 1], [0, 1]],
            "centre_advises": False,
            "channels_needed": [1, 1],
            "guard_ms": 500.0,
            "here": -1,
            "mean_hold_ms": [9000.0, 7200.0],
            "peer_load": "answers",
            "resend_ms": 800.0,
            "says_wait": False,
            "shape": "skills",
        },
    }
    return values | changes


class Proxy:
    """The proxy's process, started with `run` of the deploy file from the root of the repository."""

    def __init__(self, record: Record, folder: Path, board: Board, servers: list[SetupServer]) -> None:
        self.record, self.folder = record, folder
        self.listen, self.ops = (HOST, free_port()), (HOST, free_port())
        targets = [target(server.name, server.address, i) for i, server in enumerate(servers)]
        self.configuration = {
            "name": "n0",
            "listen": "{}:{}".format(*self.listen),
            "ops": "{}:{}".format(*self.ops),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "board": board.address,
            "known": {"rev": 1, "notices": [notice(1, targets, whole=True)]},
            "settings": settings(),
        }
        self.environment: dict[str, str] = {}
        self.process: asyncio.subprocess.Process | None = None

    def configure(self, configuration: dict | None = None) -> None:
        """Writes the configuration file whole, over the old one."""
        new = self.folder / "new.json"
        new.write_text(json.dumps(configuration or self.configuration))
        new.replace(self.folder / "config.json")

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.configure()
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = os.environ | {
            "NODE_NAME": "n0",
            "NODE_LISTEN": "{}:{}".format(*self.listen),
            "NODE_OPS": "{}:{}".format(*self.ops),
            "NODE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(scratch),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment | self.environment, stdout=log, stderr=log
            )
        self.record("proxy", f"started: {command}")
        limit_s = time.monotonic() + READY_LIMIT_S
        while await self.ask("GET", "ready") != 200:
            if self.process.returncode is not None or time.monotonic() > limit_s:
                raise CaseFailedError(f"the proxy did not become ready: {self.log()[-400:]}")
            await asyncio.sleep(0.05)
        self.record("proxy", "ready")

    async def ask(self, method: str, name: str) -> int:
        """One call at the operators' address; 0 without an answer."""
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            reader, writer = await asyncio.open_connection(*self.ops)
            writer.write(f"{method} /control/{name} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return int(line.split()[1]) if line else 0
        return 0

    async def operate(self, method: str, path: str, document: object = None) -> tuple[int, dict]:
        """One call at the operators' address that brings or returns a JSON document; status 0 without an answer."""
        body = b"" if document is None else json.dumps(document).encode()
        try:
            reader, writer = await asyncio.open_connection(*self.ops)
            head = f"{method} /control/{path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            answer = await asyncio.wait_for(reader.read(), 12.0)
            writer.close()
            head, _, text = answer.decode().partition("\r\n\r\n")
            return int(head.split()[1]), json.loads(text)
        except (OSError, TimeoutError, ValueError, IndexError):
            return 0, {}

    async def counters(self) -> dict[str, str]:
        reader, writer = await asyncio.open_connection(*self.ops)
        writer.write(b"GET /control/counters HTTP/1.1\r\nHost: x\r\n\r\n")
        text = (await asyncio.wait_for(reader.read(), 2.0)).decode()
        writer.close()
        return dict(line.split("=", 1) for line in text.splitlines() if line.startswith("proxy."))

    def signal(self, number: signal.Signals) -> None:
        self.record("proxy", f"gets {number.name}")
        self.process.send_signal(number)

    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 6.0)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        if self.process is not None:
            self.record("proxy", f"ended with status {self.process.returncode}")


class CaseFailedError(Exception):
    """The case could not run."""


def run_case(folder: Path, play: Callable, limit_s: float = 100.0) -> int:
    """Plays a case in a temporary folder; returns 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder / "record.txt")
    record("case", f"TROUBLE={int(trouble())}")
    proxies: list[Proxy] = []

    async def whole() -> list[str]:
        with tempfile.TemporaryDirectory() as scratch:
            try:
                return await asyncio.wait_for(play(record, Path(scratch), proxies), limit_s)
            finally:
                for proxy in proxies:
                    await proxy.stop()
                    for line in proxy.log().splitlines():
                        record("log", line)

    # Told to end, the case ends the processes that it started first.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        findings = asyncio.run(whole())
    except Exception as error:  # whatever it is, nothing is known of the rule
        record("case", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    for finding in findings:
        record("case", f"BROKEN: {finding}")
        print(f"broken: {finding}")
    if not findings:
        record("case", "the rule held")
        print("the rule held")
    return 1 if findings else 0
