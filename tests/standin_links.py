"""Simulated setup server in virtual time, with connections that fail silently or are reset.

It is written from the protocol's description, not from the proxy's code. It sends the release of a call on the
connection of its set-up, or if that is closed on any open one, and again on the next one opened; it records the time,
and does not notice messages lost on a connection that has failed silently. With `repeats_ends` off it sends each
release once, on the newest connection if that of the set-up is closed, and it resets a connection that the proxy
half-closes, so that messages in flight are lost: both as seen in traces of setup servers.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from random import Random

from twisted.internet import error
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from tests.standins import encode_message

SERVE_MS, RTT_MS = 20.0, 20.0  # from a set-up's arrival to its answer; round trip of a message
LATE_MS = 2900.0  # instead of SERVE_MS, for an answer after the time-out of its attempt


class FakeConnection:
    """One simulated connection, which is the proxy's transport: data takes half a round trip in each direction."""

    def __init__(self, server: StandInServer, factory: object) -> None:
        self.server, self.protocol = server, factory.buildProtocol(None)
        self.failed_silently = False  # it stays open on both sides, but delivers nothing
        self.repeated_releases: list[bytes] = []  # sent when it opened; empty once they have arrived
        self.server_open, self.proxy_open, self.disconnecting = True, True, False

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        """Ignored: writes are never delayed."""

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Ignored: the simulated server never stops reading."""

    def write(self, data: bytes) -> None:
        self.server.call_later(RTT_MS / 2, self._arrive, bytes(data))

    dataBuffer = b""  # noqa: N815 (Twisted's name)

    def doWrite(self) -> None:  # noqa: N802
        """Ignored: writes are sent at once."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.server.call_later(RTT_MS / 2, self.server.half_closed, self)

    def abortConnection(self) -> None:  # noqa: N802
        if self.proxy_open:
            self.proxy_open, self.disconnecting = False, True
            self.server.call_later(RTT_MS / 2, self.server.closed, self)
            self.server.call_later(0, self.protocol.connectionLost, Failure(error.ConnectionAborted()))

    loseConnection = abortConnection  # noqa: N815

    def _arrive(self, data: bytes) -> None:
        if self.server.defer_while_hung(self._arrive, data):
            return
        while data and self.server_open and not self.failed_silently:
            (size,) = struct.unpack_from("!H", data)
            self.server.message_received(self, data[2 : 2 + size])
            data = data[2 + size :]

    def send(self, data: bytes) -> None:
        self.server.call_later(RTT_MS / 2, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        if self.proxy_open and not self.failed_silently:
            self.protocol.dataReceived(data)

    def end(self, reason: Exception) -> None:
        """Closes the server's side; the proxy learns of it with the reason, unless it has failed silently."""
        if self.server_open:
            self.server.closed(self)
            self.server.call_later(RTT_MS / 2, self._ended, reason)

    def _ended(self, reason: Exception) -> None:
        if self.proxy_open and not self.failed_silently:
            self.proxy_open, self.disconnecting = False, True
            self.protocol.connectionLost(Failure(reason))


class StandInServer:
    """Accepts set-ups, establishes and releases calls, and records when it sent each release.

    `hold_ms`: mean duration of a call; `states`: whether it sends state reports; `late`: the fraction of answers that
    are late.
    """

    def __init__(
        self,
        clock: Clock,
        seed: int,
        hold_ms: float,
        states: bool,
        repeats_ends: bool = True,
        late: float = 0.0,
    ) -> None:
        self.clock, self.rng, self.hold_ms, self.states = clock, Random(seed), hold_ms, states
        self.repeats_ends, self.late = repeats_ends, late
        self.released: set[bytes] = set()  # calls that the proxy has released or cancelled
        self.deferred: list[tuple[Callable, tuple]] | None = None  # actions to run after a hang, in order
        self.connections: list[FakeConnection] = []
        self.repeat_on_open: list[bytes] = []  # releases sent since the last connection was opened
        self.established: dict[bytes, FakeConnection] = {}  # call -> connection of its set-up
        self.ended_ms: dict[bytes, float] = {}  # call -> when its release was sent
        self.refuses_connects = self.vanished = False
        self.connect_count = 0
        if states:
            self._send_state()

    def now_ms(self) -> float:
        return self.clock.seconds() * 1000.0

    def call_later(self, ms: float, action: Callable, *args: object) -> None:
        self.clock.callLater(ms / 1000.0, action, *args)

    def connectTCP(self, host: str, port: int, factory: object, timeout: float) -> None:  # noqa: N802
        """Stands for the method of the proxy's reactor: a connection opens or is refused after a round trip."""
        self.connect_count += 1
        if self.refuses_connects:
            reason = Failure(error.ConnectionRefusedError())
            self.call_later(RTT_MS, factory.clientConnectionFailed, None, reason)
        else:
            self.call_later(RTT_MS / 2, self._accept, factory)

    def _accept(self, factory: object) -> None:
        connection = FakeConnection(self, factory)
        self.connections.append(connection)
        self.call_later(RTT_MS / 2, connection.protocol.makeConnection, connection)
        if self.deferred is not None:
            return  # accepted by the kernel of a server that hangs and sends nothing
        connection.repeated_releases, self.repeat_on_open = self.repeat_on_open, []
        self.call_later(RTT_MS, connection.repeated_releases.clear)
        self.call_later(
            RTT_MS / 2,
            connection.send,
            encode_message(43, bytes(8), (51, b"x0:50;x1:50")) + b"".join(connection.repeated_releases),
        )

    def _send_state(self) -> None:
        for connection in self.connections[:4] if self.deferred is None else ():
            connection.send(encode_message(43, bytes(8), (51, b"x0:50;x1:50")))
        self.call_later(500.0, self._send_state)

    def message_received(self, connection: FakeConnection, message: bytes) -> None:
        message_type, call = message[0], message[1:9]
        if message_type == 1:
            late = self.late and self.rng.random() < self.late
            self.call_later(LATE_MS if late else SERVE_MS, self._establish, connection, call)
        elif message_type == 12:
            self.released.add(call)
        elif message_type == 52 and connection.server_open:
            connection.send(encode_message(53, call, (61, b"\x01")))

    def _establish(self, connection: FakeConnection, call: bytes) -> None:
        if self.defer_while_hung(self._establish, connection, call):
            return
        if connection.server_open:
            connection.send(encode_message(9, call, (63, b"sdp")))
            if call in self.released:
                return
            self.established[call] = connection
            self.call_later(self.rng.uniform(0.5, 1.5) * self.hold_ms, self.release, call)

    def defer_while_hung(self, action: Callable, *args: object) -> bool:
        """Returns whether the server hangs; if it does, the action runs when it resumes."""
        if self.deferred is not None:
            self.deferred.append((action, args))
        return self.deferred is not None

    def hang(self, for_ms: float) -> None:
        """Hangs for a time; then sends the releases that have built up, and after them handles what has arrived."""
        self.deferred = []
        self.call_later(for_ms, self._resume)

    def _resume(self) -> None:
        deferred, self.deferred = self.deferred, None
        for action, args in sorted(deferred, key=lambda entry: entry[0] != self.release):
            action(*args)

    def release(self, call: bytes) -> None:
        if self.defer_while_hung(self.release, call):
            return
        connection = self.established.pop(call, None)
        if connection is None:
            return
        if connection not in self.connections and self.connections:
            connection = self.rng.choice(self.connections) if self.repeats_ends else self.connections[-1]
        release = encode_message(12, call, (61, b"\x10"))
        self.ended_ms[call] = self.now_ms()
        if self.repeats_ends or not self.connections:
            self.repeat_on_open.append(release)
        connection.send(release)

    def half_closed(self, connection: FakeConnection) -> None:
        if self.defer_while_hung(self.half_closed, connection):
            return
        if not connection.failed_silently:
            connection.end(error.ConnectionDone() if self.repeats_ends else error.ConnectionLost())

    def closed(self, connection: FakeConnection) -> None:
        if self.defer_while_hung(self.closed, connection):
            return
        connection.server_open = False
        # Not empty if it was reset while it opened: the releases repeated on it did not arrive.
        self.repeat_on_open += connection.repeated_releases
        if connection in self.connections:
            self.connections.remove(connection)
