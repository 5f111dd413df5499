"""Toy setup server and notice board that speak the real wire protocols, for the demo and for manual trials."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import protocol
from twisted.protocols.basic import Int16StringReceiver, LineReceiver

from leadslip.net.server_messages import (
    ANSWER,
    CAUSE,
    CAUSE_NORMAL,
    DESCRIPTION,
    NOTE,
    RELEASE,
    REPORT,
    SET_UP,
    STATE,
    TEST,
    TEST_RESULT,
    encode_message,
)

CAUSE_NO_CIRCUIT = 34  # cause value "no circuit/channel available" (ITU-T Q.850)
OFFER = b"c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"


class ToyServerProtocol(Int16StringReceiver):
    """One connection: establishes a call if a line is free and releases it after `hold_s`; refuses it otherwise."""

    def connectionMade(self) -> None:  # noqa: N802
        server = self.factory
        # Otherwise Nagle's algorithm would delay a release until the preceding answer is acknowledged.
        self.transport.setTcpNoDelay(True)
        server.connections.append(self)
        releases, server.recent_releases = server.recent_releases, []
        self.send(encode_message(STATE, bytes(8), (REPORT, server.report())) + b"".join(releases))

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        self.factory.connections.remove(self)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        message_type, call_id = string[0], string[1:9]
        server = self.factory
        if message_type == RELEASE and call_id in server.release_timers:
            server.release_timers.pop(call_id).cancel()
        if message_type == TEST:
            self.send(encode_message(TEST_RESULT, call_id, (CAUSE, b"\x01")))
        if message_type != SET_UP:
            return
        if len(server.release_timers) >= server.lines:
            server.log(f"{call_id.hex()} refused: all {server.lines} lines are busy")
            fields = (CAUSE, bytes((CAUSE_NO_CIRCUIT,))), (NOTE, b"no_circuit"), (REPORT, server.report())
            self.send(encode_message(RELEASE, call_id, *fields))
            return
        server.log(f"{call_id.hex()} established on line {len(server.release_timers) + 1} of {server.lines}")
        server.release_timers[call_id] = server.reactor.callLater(server.hold_s, self.release, call_id)
        self.send(encode_message(ANSWER, call_id, (DESCRIPTION, OFFER), (REPORT, server.report())))

    def release(self, call_id: bytes) -> None:
        """Release a call at the end of its holding time."""
        server = self.factory
        del server.release_timers[call_id]
        release = encode_message(RELEASE, call_id, (CAUSE, bytes((CAUSE_NORMAL,))), (REPORT, server.report()))
        # Sent on the connection of the set-up, else on any open one, and repeated on the next that opens: the first may
        # be closing and lose it.
        server.recent_releases = [*server.recent_releases[-99:], release]
        if server.connections:
            (self if self in server.connections else server.connections[0]).send(release)

    def send(self, data: bytes) -> None:
        """Write an encoded message."""
        self.transport.write(data)


class ToyServerFactory(protocol.Factory):
    """The toy server: its lines, and the state that all its connections share."""

    protocol = ToyServerProtocol

    def __init__(self, reactor: object, lines: int, hold_s: float, log: Callable[[str], None]) -> None:
        self.reactor, self.lines, self.hold_s, self.log = reactor, lines, hold_s, log
        self.release_timers: dict[bytes, object] = {}  # call id -> timer of its release
        self.connections: list[ToyServerProtocol] = []
        self.recent_releases: list[bytes] = []  # the latest 100 since a connection was last opened

    def report(self) -> bytes:
        """Return a load report: the number of free lines (x0) and of all lines (x1)."""
        return b"x0:%d;x1:%d" % (self.lines - len(self.release_timers), self.lines)


class ToyBoardProtocol(LineReceiver):
    """A notice board that has no server list updates, and sends a keep-alive comment every second."""

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if not line:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            self.send_comment()

    def send_comment(self) -> None:
        """Send a comment of the event stream and schedule the next one."""
        if self.connected:
            self.transport.write(b": no news\n\n")
            self.factory.reactor.callLater(1.0, self.send_comment)


def start(
    reactor: object, server_port: int, board_port: int, lines: int, hold_s: float, log: Callable[[str], None]
) -> tuple[int, int]:
    """Listen on loopback and return the server's and the board's port; 0 lets the system choose one."""
    server = ToyServerFactory(reactor, lines, hold_s, log)
    board = protocol.Factory.forProtocol(ToyBoardProtocol)
    board.reactor = reactor
    ports = (
        reactor.listenTCP(server_port, server, interface="127.0.0.1"),
        reactor.listenTCP(board_port, board, interface="127.0.0.1"),
    )
    return tuple(port.getHost().port for port in ports)  # type: ignore[return-value]


def serve(lines: int = 100_000, hold_s: float = 0.3) -> None:
    """Listen on free ports, print both on one line, and serve until terminated or until stdin is closed."""
    from twisted.internet import reactor, stdio

    class StdinWatcher(protocol.Protocol):
        """Stops the reactor when the parent process closes the pipe."""

        def connectionLost(self, reason: object = None) -> None:  # noqa: N802
            reactor.callWhenRunning(reactor.stop)

    server_port, board_port = start(reactor, 0, 0, lines, hold_s, lambda text: None)
    stdio.StandardIO(StdinWatcher())
    print(server_port, board_port, flush=True)
    reactor.run()


def serve_on_example_ports() -> None:
    """Listen on the ports named in example/config.json until interrupted."""
    from twisted.internet import reactor

    start(reactor, 3868, 4222, 10, 1.0, print)
    reactor.run()
