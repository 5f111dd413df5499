"""Peers of the proxies in a soak trial, on one asyncio loop: setup servers, notice board and callers, with records.

The records are all that the judge (soak.py) reads. Times are those of `time.monotonic`, in seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import struct
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from random import Random

from tests.standins import encode_message

SET_UP, ANSWER, RELEASE, STATE, TEST, TEST_RESULT = 1, 9, 12, 43, 52, 53
CLASS_PARAMETER, CAUSE_PARAMETER, DESCRIPTION_PARAMETER, REPORT_PARAMETER = 33, 61, 63, 51
CAUSE_NORMAL = b"\x10"
SLOW_ANSWER_S = 3.5  # of a slow board, until it begins to answer a poll
REPORT = (REPORT_PARAMETER, b"x0:5000;x1:5000")
CALL_ID = re.compile(rb"\r\nCall-ID: *([0-9a-f]{16})\r\n", re.IGNORECASE)
CONTENT_LENGTH = re.compile(rb"\r\nContent-Length: *([0-9]+)\r\n", re.IGNORECASE)


@dataclass
class SetUpRecord:
    """One set-up as a server received it, and its end there."""

    call: str
    server: str
    proxy: str
    received_s: float
    ended_s: float = 0.0  # answered, refused, given up or reset
    established: bool = False
    released_s: float = 0.0  # when the server wrote the release of the established call
    is_release_written: bool = False


@dataclass
class RequestRecord:
    """One request as its caller sent it, and what came back."""

    call: str
    proxy: str
    sent_s: float
    expires_s: float
    answers: list[tuple[float, int]] = field(default_factory=list)
    cancelled_s: float = 0.0
    released_s: list[float] = field(default_factory=list)
    closed_s: float = 0.0  # when its connection ended without an answer


class SetupServer:
    """A setup server: answers after a delay, releases calls later; may hang, be replaced, or reset its connections."""

    def __init__(
        self, name: str, rng: Random, answer_s: float, call_s: float, records: list[SetUpRecord]
    ) -> None:
        self.name, self.rng, self.answer_s, self.call_s, self.records = name, rng, answer_s, call_s, records
        self.writers: set[asyncio.StreamWriter] = set()
        self.calls: dict[str, tuple[SetUpRecord, asyncio.StreamWriter]] = {}
        self.hangs_until_s = 0.0

    async def start(self, host: str) -> None:
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{self.port}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        messages: asyncio.Queue[tuple[bytes, float]] = asyncio.Queue()
        handler = asyncio.create_task(self.handle(messages, writer))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readexactly(2)
                body = await reader.readexactly(struct.unpack("!H", head)[0])
                messages.put_nowait((body, time.monotonic()))
        handler.cancel()
        self.writers.remove(writer)
        for record, own_writer in list(self.calls.values()):
            if own_writer is writer and not record.ended_s:
                record.ended_s = time.monotonic()  # given up with its connection
                del self.calls[record.call]

    async def handle(
        self, messages: asyncio.Queue[tuple[bytes, float]], writer: asyncio.StreamWriter
    ) -> None:
        """Handles messages in order, but none while the server hangs."""
        await self.unless_hanging()
        writer.write(encode_message(STATE, bytes(8), REPORT))
        while True:
            body, received_s = await messages.get()
            await self.unless_hanging()
            self.message(body, writer, received_s)

    async def unless_hanging(self) -> None:
        while time.monotonic() < self.hangs_until_s:
            await asyncio.sleep(0.02)

    def message(self, body: bytes, writer: asyncio.StreamWriter, received_s: float) -> None:
        message_type, call = body[0], body[1:9].hex()
        if message_type == TEST:
            writer.write(encode_message(TEST_RESULT, body[1:9], (CAUSE_PARAMETER, b"\x01")))
        elif message_type == RELEASE and call in self.calls:
            record, _ = self.calls.pop(call)
            # While the server hung, the answer may have been written after the set-up was given up.
            record.ended_s = min(record.ended_s or received_s, received_s)
        elif message_type == SET_UP:
            proxy = body.partition(b"offer=")[2][:2].decode()
            record = SetUpRecord(call, self.name, proxy, received_s)
            self.records.append(record)
            self.calls[call] = (record, writer)
            delay_s = self.answer_s * self.rng.uniform(0.5, 1.5)
            asyncio.get_running_loop().call_later(delay_s, self.establish, record, writer)

    def establish(self, record: SetUpRecord, writer: asyncio.StreamWriter) -> None:
        if record.call not in self.calls or record.ended_s:
            return
        loop, left_s = asyncio.get_running_loop(), self.hangs_until_s - time.monotonic()
        if left_s > 0.0:
            loop.call_later(left_s + 0.01, self.establish, record, writer)
            return
        record.ended_s, record.established = time.monotonic(), True
        call = bytes.fromhex(record.call)
        writer.write(encode_message(ANSWER, call, (DESCRIPTION_PARAMETER, record.call.encode()), REPORT))
        loop.call_later(self.rng.expovariate(1.0 / self.call_s), self.release, record)

    def release(self, record: SetUpRecord) -> None:
        if record.call not in self.calls:
            return
        left_s = self.hangs_until_s - time.monotonic()
        if left_s > 0.0:
            asyncio.get_running_loop().call_later(left_s + 0.01, self.release, record)
            return
        _, writer = self.calls.pop(record.call)
        message = encode_message(RELEASE, bytes.fromhex(record.call), (CAUSE_PARAMETER, CAUSE_NORMAL), REPORT)
        record.released_s = time.monotonic()
        record.is_release_written = writer in self.writers and not writer.is_closing()
        if record.is_release_written:
            writer.write(message)

    def reset_connections(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()


class Board:
    """The notice board of one proxy, at two addresses; `written_s` has when each event was written to a poll."""

    def __init__(self, events: list[dict]) -> None:
        self.events = events  # shared by the boards of all proxies
        self.written_s: dict[int, float] = {}  # by event number
        self.silent_until_s = self.refuses_until_s = self.slow_until_s = 0.0
        self.polls: set[asyncio.StreamWriter] = set()
        self.addresses: list[str] = []

    async def start(self, host: str) -> None:
        for _ in range(2):
            server = await asyncio.start_server(self.serve, host, 0)
            self.addresses.append(f"{host}:{server.sockets[0].getsockname()[1]}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            if time.monotonic() < self.refuses_until_s:
                writer.transport.abort()
                return
            if time.monotonic() < self.slow_until_s:
                await asyncio.sleep(SLOW_ANSWER_S)
            self.polls.add(writer)
            last = int(re.search(rb"last-event-id: *([0-9]+)", head, re.IGNORECASE)[1])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            next_comment_s = 0.0
            while not writer.is_closing() and not reader.at_eof():
                now_s = time.monotonic()
                if now_s >= self.silent_until_s:
                    for event in self.events:
                        if event["rev"] > last:
                            last = event["rev"]
                            self.written_s.setdefault(last, now_s)
                            writer.write(f"id: {last}\ndata: {json.dumps(event)}\n\n".encode())
                    if now_s >= next_comment_s:
                        next_comment_s = now_s + 1.0
                        writer.write(b": comment\n\n")
                    await writer.drain()
                await asyncio.sleep(0.02)
        self.polls.discard(writer)
        writer.close()

    def abort_polls(self) -> None:
        for writer in list(self.polls):
            writer.transport.abort()


class RefusedPeer:
    """A peer that is no caller: asks once for a class that does not exist, reads, and stays until it is closed."""

    def __init__(self, proxy: str, address: tuple[str, int], call: str) -> None:
        self.proxy, self.address, self.call = proxy, address, call
        self.connected_s = self.answered_s = 0.0
        self.is_served = False

    async def play(self) -> None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*self.address)
            self.connected_s = time.monotonic()
            writer.write(
                b"INVITE sip:0123@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"
                b"Priority-Class: no-such-class\r\nExpires-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
                % self.call.encode()
            )
            while data := await reader.read(4096):
                self.answered_s = self.answered_s or time.monotonic()
                self.is_served |= b"SIP/2.0 200 " in data
            writer.close()
        self.answered_s = self.answered_s or time.monotonic()


class CallerConnection:
    """One connection of a caller: in use until the proxy closes it, or quiet after one call."""

    def __init__(
        self,
        caller: Caller,
        proxy: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_quiet: bool,
    ) -> None:
        self.caller, self.proxy, self.reader, self.writer, self.is_quiet = (
            caller,
            proxy,
            reader,
            writer,
            is_quiet,
        )
        self.open: dict[str, RequestRecord] = {}
        self.established: dict[str, RequestRecord] = {}
        self.opened_s, self.closed_s = time.monotonic(), 0.0

    def send(self, record: RequestRecord) -> None:
        self.open[record.call] = record
        self.caller.records.setdefault(record.call, record)
        body = b"offer=%s" % self.proxy.encode()
        self.writer.write(
            b"INVITE sip:0123@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"
            b"Priority-Class: plain\r\nExpires-Ms: %d\r\nP-Trunk-Info: dest:%d;width:1;via:-1\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (
                record.call.encode(),
                int(record.expires_s * 1000),
                self.caller.rng.randrange(3),
                len(body),
                body,
            )
        )

    def cancel(self, record: RequestRecord) -> None:
        if record.call in self.open and not self.closed_s:
            record.cancelled_s = time.monotonic()
            del self.open[record.call]
            self.writer.write(
                b"CANCEL sip:0123@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n"
                % record.call.encode()
            )

    def held_in_drain(self, at_s: float, recent_s: float) -> str:
        """Returns how this open connection breaks the rule on drains at a time, or an empty string."""
        sent_before = [record for record in self.open.values() if record.sent_s <= at_s]
        recent = [record.call for record in sent_before if at_s - record.sent_s < recent_s]
        if recent:
            return f"held with {', '.join(recent)}"
        return "" if self.open or self.established else "held idle"

    def is_open_throughout(self, from_s: float, to_s: float) -> bool:
        """Returns whether this connection was open for all of a time."""
        return self.opened_s < from_s and (not self.closed_s or self.closed_s > to_s)

    async def read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await self.reader.readuntil(b"\r\n\r\n")
                await self.reader.readexactly(int(CONTENT_LENGTH.search(head)[1]))
                self.message(head, CALL_ID.search(head)[1].decode(), time.monotonic())
        self.closed_s = time.monotonic()
        self.writer.close()
        self.caller.connection_closed(self)

    def message(self, head: bytes, call: str, now_s: float) -> None:
        record = self.caller.records.get(call)
        if head.startswith(b"BYE "):
            self.writer.write(
                b"SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n" % call.encode()
            )
            if record is not None:
                record.released_s.append(now_s)
            for connection in self.caller.all_connections:
                connection.established.pop(call, None)
        elif b"\r\nCSeq: 1 INVITE\r\n" in head and record is not None:
            status = int(head[8:11])
            record.answers.append((now_s, status))
            if self.open.pop(call, None) is not None and status == 200:
                self.established[call] = record
            elif record.cancelled_s and status == 200:  # the answer crossed the cancellation
                self.writer.write(
                    b"BYE sip:0123@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"
                    % call.encode()
                )


class Caller:
    """Callers of all proxies: some connections to each proxy that is ready, all used without a pause."""

    def __init__(
        self, rng: Random, records: dict[str, RequestRecord], rate: float, deadline_s: float
    ) -> None:
        self.rng, self.records, self.rate, self.deadline_s = rng, records, rate, deadline_s
        self.connections: list[CallerConnection] = []
        self.all_connections: list[CallerConnection] = []
        self.tasks: set[asyncio.Task] = set()

    async def connect(self, proxy: str, address: tuple[str, int], is_quiet: bool = False) -> None:
        """Opens one connection; a proxy that refuses it is left alone until the next try."""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            connection = CallerConnection(self, proxy, reader, writer, is_quiet)
            self.connections.append(connection)
            self.all_connections.append(connection)
            self.place_call(connection)
            self.keep(connection.read())

    def keep(self, coroutine: Coroutine) -> None:
        """Runs a coroutine as a task until it ends."""
        self.tasks.add(asyncio.create_task(coroutine))

    async def run(self) -> None:
        """Sends requests on all connections at random intervals, until cancelled."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            busy = [connection for connection in self.connections if not connection.is_quiet]
            if busy:
                self.place_call(self.rng.choice(busy))

    def place_call(self, connection: CallerConnection) -> None:
        call = f"{self.rng.getrandbits(64):016x}"
        expires_s = self.deadline_s * self.rng.choice((0.3, 1.0, 1.0))
        record = RequestRecord(call, connection.proxy, time.monotonic(), expires_s)
        connection.send(record)
        if self.rng.random() < 0.05:
            asyncio.get_running_loop().call_later(self.rng.uniform(0.0, 0.2), connection.cancel, record)

    def connection_closed(self, connection: CallerConnection) -> None:
        self.connections.remove(connection)
        for record in connection.open.values():
            record.closed_s = connection.closed_s
