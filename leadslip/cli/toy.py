"""A toy setup server and notice board, on the wire of the real ones: for the demo, and for a first try by hand."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import protocol
from twisted.protocols.basic import Int16StringReceiver, LineReceiver

from leadslip.net.servers import (
    ANSWER,
    CAUSE,
    DESCRIPTION,
    NORMAL,
    NOTE,
    RELEASE,
    REPORT,
    SET_UP,
    STATE,
    TEST,
    TEST_ENDED,
    message,
)

FULL = 34
OFFER = b"c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"


class ToyServer(Int16StringReceiver):
    """Lets a call stand while a line is free, and releases it after a time; refuses it else."""

    def connectionMade(self) -> None:  # noqa: N802
        toy = self.factory
        self.transport.setTcpNoDelay(
            True
        )  # else a release waits for the acknowledgement of the answer before it
        toy.links.append(self)
        told, toy.ends = toy.ends, []
        self.say(message(STATE, bytes(8), (REPORT, toy.report())) + b"".join(told))

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        self.factory.links.remove(self)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        kind, call = string[0], string[1:9]
        toy = self.factory
        if kind == RELEASE and call in toy.standing:
            toy.standing.pop(call).cancel()
        if kind == TEST:
            self.say(message(TEST_ENDED, call, (CAUSE, b"\x01")))
        if kind != SET_UP:
            return
        if len(toy.standing) >= toy.lines:
            toy.told(f"{call.hex()} refused: {toy.lines} lines are busy")
            told = (CAUSE, bytes((FULL,))), (NOTE, b"no_circuit"), (REPORT, toy.report())
            self.say(message(RELEASE, call, *told))
            return
        toy.told(f"{call.hex()} stands on line {len(toy.standing) + 1} of {toy.lines}")
        toy.standing[call] = toy.reactor.callLater(toy.hold_s, self.release, call)
        self.say(message(ANSWER, call, (DESCRIPTION, OFFER), (REPORT, toy.report())))

    def release(self, call: bytes) -> None:
        """The call has come to its end."""
        toy = self.factory
        del toy.standing[call]
        told = message(RELEASE, call, (CAUSE, bytes((NORMAL,))), (REPORT, toy.report()))
        # On the connection of its set-up, otherwise on any open one, and on the next one opened as well.
        toy.ends = [*toy.ends[-99:], told]
        if toy.links:
            (self if self in toy.links else toy.links[0]).say(told)

    def say(self, whole: bytes) -> None:
        self.transport.write(whole)


class ToyServers(protocol.Factory):
    """The server behind all connections to it."""

    protocol = ToyServer

    def __init__(self, reactor: object, lines: int, hold_s: float, told: Callable[[str], None]) -> None:
        self.reactor, self.lines, self.hold_s, self.told = reactor, lines, hold_s, told
        self.standing: dict[bytes, object] = {}  # call -> its release to come
        self.links: list[ToyServer] = []
        self.ends: list[bytes] = []  # told since the last connection was opened, the latest hundred

    def report(self) -> bytes:
        """Free lines and all."""
        return b"x0:%d;x1:%d" % (self.lines - len(self.standing), self.lines)


class ToyBoard(LineReceiver):
    """A notice board that has no news, and says so every second."""

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if not line:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            self.comment()

    def comment(self) -> None:
        if self.connected:
            self.transport.write(b": no news\n\n")
            self.factory.reactor.callLater(1.0, self.comment)


def start(
    reactor: object, server_port: int, board_port: int, lines: int, hold_s: float, told: Callable[[str], None]
) -> tuple[int, int]:
    """Listen on loopback; tells the two ports, which the system chooses where nought is given."""
    servers = ToyServers(reactor, lines, hold_s, told)
    board = protocol.Factory.forProtocol(ToyBoard)
    board.reactor = reactor
    ports = (
        reactor.listenTCP(server_port, servers, interface="127.0.0.1"),
        reactor.listenTCP(board_port, board, interface="127.0.0.1"),
    )
    return tuple(port.getHost().port for port in ports)  # type: ignore[return-value]


def serve(lines: int = 100_000, hold_s: float = 0.3) -> None:
    """Listen on free ports, print the two on one line, and serve until ended or left by who reads that line."""
    from twisted.internet import reactor, stdio

    class Left(protocol.Protocol):
        def connectionLost(self, reason: object = None) -> None:  # noqa: N802
            reactor.callWhenRunning(reactor.stop)

    server, board = start(reactor, 0, 0, lines, hold_s, lambda text: None)
    stdio.StandardIO(Left())
    print(server, board, flush=True)
    reactor.run()


def start_by_hand() -> None:
    """Listen where example/config.json says, until interrupted."""
    from twisted.internet import reactor

    start(reactor, 3868, 4222, 10, 1.0, print)
    reactor.run()
