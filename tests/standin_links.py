"""Simulated setup server in virtual time, with connections that fail and are reset; written from the protocol.

It sends the end of a call on the connection of its set-up, or else on any open one, and also on the next one
opened, and records the time; it does not notice messages lost on a connection that has failed silently.
With `again` off it sends each end once, on the newest connection if its own is closed, and it resets a connection
that the proxy half-closes, as seen in traces of setup servers: messages in flight at the close are lost.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from random import Random

from twisted.internet import error
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from tests.standins import binary

SERVE_MS, RTT_MS = 20.0, 20.0
LATE_MS = 2900.0  # an answer delayed beyond its time-out


class FakeConnection:
    """The proxy's transport of one simulated connection: data arrives after half a round trip."""

    def __init__(self, server: StandInServer, factory: object) -> None:
        self.server, self.protocol = server, factory.buildProtocol(None)
        self.failed_silently = False  # open, but delivers nothing any more
        self.first: list[bytes] = []  # ends repeated when it opened, until they have arrived
        self.server_open, self.proxy_open, self.disconnecting = True, True, False

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        """Ignored: writes are never delayed."""

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Ignored: the simulated server never stops reading."""

    def write(self, data: bytes) -> None:
        self.server.later(RTT_MS / 2, self._arrive, bytes(data))

    dataBuffer = b""  # noqa: N815 (Twisted's name)

    def doWrite(self) -> None:  # noqa: N802
        """Ignored: writes are sent at once."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.server.later(RTT_MS / 2, self.server.half_closed, self)

    def abortConnection(self) -> None:  # noqa: N802
        if self.proxy_open:
            self.proxy_open, self.disconnecting = False, True
            self.server.later(RTT_MS / 2, self.server.closed, self)
            self.server.later(0, self.protocol.connectionLost, Failure(error.ConnectionAborted()))

    loseConnection = abortConnection  # noqa: N815

    def _arrive(self, data: bytes) -> None:
        if self.server.defer_while_hung(self._arrive, data):
            return
        while data and self.server_open and not self.failed_silently:
            (size,) = struct.unpack_from("!H", data)
            self.server.message_received(self, data[2 : 2 + size])
            data = data[2 + size :]

    def send(self, data: bytes) -> None:
        self.server.later(RTT_MS / 2, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        if self.proxy_open and not self.failed_silently:
            self.protocol.dataReceived(data)

    def end(self, reason: Exception) -> None:
        """Closes the server's side; the proxy is notified unless the connection has failed silently."""
        if self.server_open:
            self.server.closed(self)
            self.server.later(RTT_MS / 2, self._ended, reason)

    def _ended(self, reason: Exception) -> None:
        if self.proxy_open and not self.failed_silently:
            self.proxy_open, self.disconnecting = False, True
            self.protocol.connectionLost(Failure(reason))


class StandInServer:
    """Accepts set-ups, establishes and ends calls, and records when it sent each end."""

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
        # fraction of the answers that are delayed by LATE_MS
        self.repeats_ends, self.late = repeats_ends, late
        self.released: set[bytes] = set()
        self.deferred: list[tuple[Callable, tuple]] | None = None  # actions to run after a hang, in order
        self.wires: list[FakeConnection] = []
        self.repeat_on_open: list[bytes] = []  # ends sent since the last connection was opened
        self.established: dict[bytes, FakeConnection] = {}
        self.ended_ms: dict[bytes, float] = {}
        self.refuses = self.vanished = False
        self.dials = 0
        if states:
            self._send_state()

    def now_ms(self) -> float:
        return self.clock.seconds() * 1000.0

    def later(self, ms: float, action: Callable, *args: object) -> None:
        self.clock.callLater(ms / 1000.0, action, *args)

    def connectTCP(self, host: str, port: int, factory: object, timeout: float) -> None:  # noqa: N802
        """Acts as the proxy's reactor: a connection opens after a round trip, or is refused."""
        self.dials += 1
        if self.refuses:
            reason = Failure(error.ConnectionRefusedError())
            self.later(RTT_MS, factory.clientConnectionFailed, None, reason)
        else:
            self.later(RTT_MS / 2, self._accept, factory)

    def _accept(self, factory: object) -> None:
        wire = FakeConnection(self, factory)
        self.wires.append(wire)
        self.later(RTT_MS / 2, wire.protocol.makeConnection, wire)
        if self.deferred is not None:
            return  # the kernel has accepted it; the server sends nothing
        wire.first, self.repeat_on_open = self.repeat_on_open, []
        self.later(RTT_MS, wire.first.clear)
        self.later(RTT_MS / 2, wire.send, binary(43, bytes(8), (51, b"x0:50;x1:50")) + b"".join(wire.first))

    def _send_state(self) -> None:
        for wire in self.wires[:4] if self.deferred is None else ():
            wire.send(binary(43, bytes(8), (51, b"x0:50;x1:50")))
        self.later(500.0, self._send_state)

    def message_received(self, wire: FakeConnection, message: bytes) -> None:
        message_type, call = message[0], message[1:9]
        if message_type == 1:
            late = self.late and self.rng.random() < self.late
            self.later(LATE_MS if late else SERVE_MS, self._establish, wire, call)
        elif message_type == 12:
            self.released.add(call)
        elif message_type == 52 and wire.server_open:
            wire.send(binary(53, call, (61, b"\x01")))

    def _establish(self, wire: FakeConnection, call: bytes) -> None:
        if self.defer_while_hung(self._establish, wire, call):
            return
        if wire.server_open:
            wire.send(binary(9, call, (63, b"sdp")))
            if call in self.released:
                return
            self.established[call] = wire
            self.later(self.rng.uniform(0.5, 1.5) * self.hold_ms, self.release, call)

    def defer_while_hung(self, action: Callable, *args: object) -> bool:
        """Returns whether the server hangs; if so, the action runs when it resumes."""
        if self.deferred is not None:
            self.deferred.append((action, args))
        return self.deferred is not None

    def hang(self, for_ms: float) -> None:
        """Hangs for a time; then sends the ends that have built up, and after them handles what has arrived."""
        self.deferred = []
        self.later(for_ms, self._resume)

    def _resume(self) -> None:
        deferred, self.deferred = self.deferred, None
        for action, args in sorted(deferred, key=lambda entry: entry[0] != self.release):
            action(*args)

    def release(self, call: bytes) -> None:
        if self.defer_while_hung(self.release, call):
            return
        wire = self.established.pop(call, None)
        if wire is None:
            return
        if wire not in self.wires and self.wires:
            wire = self.rng.choice(self.wires) if self.repeats_ends else self.wires[-1]
        release = binary(12, call, (61, b"\x10"))
        self.ended_ms[call] = self.now_ms()
        if self.repeats_ends or not self.wires:
            self.repeat_on_open.append(release)
        wire.send(release)

    def half_closed(self, wire: FakeConnection) -> None:
        if self.defer_while_hung(self.half_closed, wire):
            return
        if not wire.failed_silently:
            wire.end(error.ConnectionDone() if self.repeats_ends else error.ConnectionLost())

    def closed(self, wire: FakeConnection) -> None:
        if self.defer_while_hung(self.closed, wire):
            return
        wire.server_open = False
        self.repeat_on_open += wire.first  # the ends did not arrive on one reset while opening
        if wire in self.wires:
            self.wires.remove(wire)
