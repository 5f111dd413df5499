"""A setup server in virtual time, with connections that die and are reset; written from the protocol.

It tells the end of a call on the connection of its set-up, otherwise on any open one, and on the next one
that is opened as well, and notes when it did; what a connection that has gone bad swallows is not seen by it.
With `again` off an end is told once and no more, on the newest connection where its own is gone, and a connection
that we half close is reset, as was traced of setup servers: what a close overtakes is lost.
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
LATE_MS = 2900.0  # an answer that comes after its time


class Wire:
    """One connection as the proxy's transport: what is written arrives after half a round trip."""

    def __init__(self, server: StandInServer, factory: object) -> None:
        self.server, self.protocol = server, factory.buildProtocol(None)
        self.bad = False  # stays open and brings nothing more
        self.first: list[bytes] = []  # ends told at its opening, until they have arrived
        self.server_open, self.proxy_open, self.disconnecting = True, True, False

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        """Nothing waits here."""

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """A stand-in reads all."""

    def write(self, data: bytes) -> None:
        self.server.later(RTT_MS / 2, self._arrive, bytes(data))

    dataBuffer = b""  # noqa: N815 (Twisted's name)

    def doWrite(self) -> None:  # noqa: N802
        """What is written leaves at once."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.server.later(RTT_MS / 2, self.server.half_closed, self)

    def abortConnection(self) -> None:  # noqa: N802
        if self.proxy_open:
            self.proxy_open, self.disconnecting = False, True
            self.server.later(RTT_MS / 2, self.server.closed, self)
            self.server.later(0, self.protocol.connectionLost, Failure(error.ConnectionAborted()))

    loseConnection = abortConnection  # noqa: N815

    def _arrive(self, data: bytes) -> None:
        if self.server.waits(self._arrive, data):
            return
        while data and self.server_open and not self.bad:
            (size,) = struct.unpack_from("!H", data)
            self.server.heard(self, data[2 : 2 + size])
            data = data[2 + size :]

    def say(self, data: bytes) -> None:
        self.server.later(RTT_MS / 2, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        if self.proxy_open and not self.bad:
            self.protocol.dataReceived(data)

    def end(self, why: Exception) -> None:
        """The server's side is over; the proxy hears of it unless the connection has gone bad."""
        if self.server_open:
            self.server.closed(self)
            self.server.later(RTT_MS / 2, self._ended, why)

    def _ended(self, why: Exception) -> None:
        if self.proxy_open and not self.bad:
            self.proxy_open, self.disconnecting = False, True
            self.protocol.connectionLost(Failure(why))


class StandInServer:
    """Takes set-ups, lets calls stand and end, and remembers when it told each end."""

    def __init__(
        self, clock: Clock, seed: int, hold_ms: float, states: bool, again: bool = True, late: float = 0.0
    ) -> None:
        self.clock, self.draw, self.hold_ms, self.states = clock, Random(seed), hold_ms, states
        self.again, self.late = again, late  # share of the answers that come after their time
        self.given_up: set[bytes] = set()
        self.held: list[tuple[Callable, tuple]] | None = None  # while it hangs: what it will do, in order
        self.wires: list[Wire] = []
        self.told_next: list[bytes] = []  # ends told since the last connection was opened
        self.standing: dict[bytes, Wire] = {}
        self.ended_ms: dict[bytes, float] = {}
        self.refuses = self.vanished = False
        self.dials = 0
        if states:
            self._state()

    def now_ms(self) -> float:
        return self.clock.seconds() * 1000.0

    def later(self, ms: float, work: Callable, *what: object) -> None:
        self.clock.callLater(ms / 1000.0, work, *what)

    def connectTCP(self, host: str, port: int, factory: object, timeout: float) -> None:  # noqa: N802
        """The proxy's reactor: a connection comes up after a round trip, is refused, or never comes up."""
        self.dials += 1
        if self.refuses:
            why = Failure(error.ConnectionRefusedError())
            self.later(RTT_MS, factory.clientConnectionFailed, None, why)
        else:
            self.later(RTT_MS / 2, self._accept, factory)

    def _accept(self, factory: object) -> None:
        wire = Wire(self, factory)
        self.wires.append(wire)
        self.later(RTT_MS / 2, wire.protocol.makeConnection, wire)
        if self.held is not None:
            return  # the kernel has taken it; nobody says anything
        wire.first, self.told_next = self.told_next, []
        self.later(RTT_MS, wire.first.clear)
        self.later(RTT_MS / 2, wire.say, binary(43, bytes(8), (51, b"x0:50;x1:50")) + b"".join(wire.first))

    def _state(self) -> None:
        for wire in self.wires[:4] if self.held is None else ():
            wire.say(binary(43, bytes(8), (51, b"x0:50;x1:50")))
        self.later(500.0, self._state)

    def heard(self, wire: Wire, message: bytes) -> None:
        kind, call = message[0], message[1:9]
        if kind == 1:
            late = self.late and self.draw.random() < self.late
            self.later(LATE_MS if late else SERVE_MS, self._stand, wire, call)
        elif kind == 12:
            self.given_up.add(call)
        elif kind == 52 and wire.server_open:
            wire.say(binary(53, call, (61, b"\x01")))

    def _stand(self, wire: Wire, call: bytes) -> None:
        if self.waits(self._stand, wire, call):
            return
        if wire.server_open:
            wire.say(binary(9, call, (63, b"sdp")))
            if call in self.given_up:
                return
            self.standing[call] = wire
            self.later(self.draw.uniform(0.5, 1.5) * self.hold_ms, self.release, call)

    def waits(self, work: Callable, *what: object) -> bool:
        """Whether it hangs; what it would have done is done later."""
        if self.held is not None:
            self.held.append((work, what))
        return self.held is not None

    def hang(self, for_ms: float) -> None:
        """Do nothing for so long; then first what has ended meanwhile, then what has come."""
        self.held = []
        self.later(for_ms, self._go_on)

    def _go_on(self) -> None:
        held, self.held = self.held, None
        for work, what in sorted(held, key=lambda one: one[0] != self.release):
            work(*what)

    def release(self, call: bytes) -> None:
        if self.waits(self.release, call):
            return
        wire = self.standing.pop(call, None)
        if wire is None:
            return
        if wire not in self.wires and self.wires:
            wire = self.draw.choice(self.wires) if self.again else self.wires[-1]
        told = binary(12, call, (61, b"\x10"))
        self.ended_ms[call] = self.now_ms()
        if self.again or not self.wires:
            self.told_next.append(told)
        wire.say(told)

    def half_closed(self, wire: Wire) -> None:
        if self.waits(self.half_closed, wire):
            return
        if not wire.bad:
            wire.end(error.ConnectionDone() if self.again else error.ConnectionLost())

    def closed(self, wire: Wire) -> None:
        if self.waits(self.closed, wire):
            return
        wire.server_open = False
        self.told_next += wire.first  # one reset when new has not been opened
        if wire in self.wires:
            self.wires.remove(wire)
