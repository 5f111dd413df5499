"""Setup servers: the binary wire, one connection for all calls of a server."""

from __future__ import annotations

import struct
from collections.abc import Callable

from twisted.internet import error, protocol

from leadslip import interface as face
from leadslip.checks import Tally
from leadslip.config import Address, MalformedError, load_named
from leadslip.core import Attempt, Engine
from leadslip.net.links import MessageError, SliceReceiver

SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, STATE, TEST, TEST_ENDED = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, WAIT, NUMBER, NOTE, REPORT, CAUSE, DESCRIPTION = 33, 35, 41, 47, 51, 61, 63
ENDS = {  # cause of a release before the answer
    34: face.Outcome.FULL,
    17: face.Outcome.ERROR,
    47: face.Outcome.ERROR,
    102: face.Outcome.NOT_SENT,
    41: face.Outcome.CUT,
}
NOTES = {
    b"no_circuit": face.Cause.NO_LINE,
    b"turned_back": face.Cause.BOUNCED,
    b"overload": face.Cause.PROCESSOR_FULL,
    b"lines_busy": face.Cause.NUMBER_BUSY,
    b"far_overload": face.Cause.BOUNCED,
}
HEAD = struct.Struct("!HB8s")  # length, type, call
PARAMETER = struct.Struct("!BH")  # code, length
NORMAL, CUT = 16, 41
RECENT_MS = 30_000.0  # for so long the end of a call that was held here may be told again
SILENT_MS = (
    2000.0  # for so long a connection with set-ups timing out may say nothing before another is dialled
)


def parameters(view: memoryview, at: int) -> dict[int, memoryview]:
    """The parameters of a message, as slices; of a code that comes twice the first holds."""
    found: dict[int, memoryview] = {}
    size = len(view)
    while at < size:
        if size - at < 3:
            raise MessageError("parameter")
        code, length = PARAMETER.unpack_from(view, at)
        at += 3 + length
        if at > size:
            raise MessageError("parameter length")
        found.setdefault(code, view[at - length : at])
    return found


def message(kind: int, call: bytes, *told: tuple[int, bytes]) -> bytes:
    """One message with its length."""
    body = b"".join(part for code, value in told for part in (PARAMETER.pack(code, len(value)), value))
    return HEAD.pack(9 + len(body), kind, call) + body


class ServerLink(SliceReceiver):
    """One connection to a setup server."""

    peer_kind = "servers"

    def __init__(self, server: Server) -> None:
        self.server, self.tally, self.now_ms = server, server.far.tally, server.far.now_ms
        self.heard_ms = self.now_ms()

    def connectionMade(self) -> None:
        super().connectionMade()
        self.server.connected(self)

    def connectionLost(self, reason: object = None) -> None:
        self.server.lost(self)

    def dataReceived(self, data: bytes) -> None:
        self.heard_ms = self.now_ms()
        super().dataReceived(data)

    def stringReceived(self, view: memoryview) -> None:
        if len(view) < 9:
            raise MessageError("short")
        kind, call = view[0], bytes(view[1:9])
        told = parameters(view, 9)
        load = self.server.far.load_of(told.get(REPORT))
        if kind == ANSWER:
            self.server.answered(call, told.get(DESCRIPTION, b""))
        elif kind == RELEASE:
            cause = told.get(CAUSE)
            if cause is None or len(cause) != 1:
                raise MessageError("cause")
            self.server.released(call, cause[0], NOTES.get(bytes(told.get(NOTE, b"")), face.Cause.NONE), load)
        elif kind == STATE and load is not None:
            self.server.far.engine.looked(self.server.uid, load)
        elif kind == TEST:
            self.say(message(TEST_ENDED, call, (CAUSE, b"\x01")))


class ServerLinks(protocol.ClientFactory):
    """Makes the connections of one server."""

    noisy = False

    def __init__(self, server: Server) -> None:
        self.server = server

    def buildProtocol(self, addr: object) -> ServerLink:
        return ServerLink(self.server)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self.server.dial_failed(reason.check(error.ConnectionRefusedError) is not None)


class Server:
    """One setup server, by its id: two that follow each other at one address are two."""

    def __init__(
        self, far: Servers, uid: str, address: Address, state: face.ServerState, since: float
    ) -> None:
        self.far, self.uid, self.address, self.state, self.since = far, uid, address, state, since
        self.link: ServerLink | None = None
        self.old: ServerLink | None = None  # a silent connection that another has taken the place of
        self.dialling = False
        self.waiting: dict[bytes, Attempt] = {}  # set-ups that wait for a connection
        self.calls: dict[bytes, Attempt] = {}  # set-ups out, and calls that stand
        self.links = ServerLinks(self)

    # What the engine asks.

    def send(self, attempt: Attempt) -> face.Outcome | None:
        call = bytes.fromhex(attempt.request.id)
        if self.link is None:
            self.waiting[call] = attempt
            self.dial()
            return None
        return self._set_up(call, attempt)

    def _set_up(self, call: bytes, attempt: Attempt) -> face.Outcome | None:
        request, far = attempt.request, self.far
        if self.link.stalled_ms:
            # A machine that is cut off reads nothing: what it can't take must not pile up here.
            return face.Outcome.NO_CONNECTION
        left_ms = max(1, int(attempt.cut_at_ms - far.now_ms()))
        self.calls[call] = attempt
        self.link.say(
            message(
                SET_UP,
                call,
                (CLASS, request.call_class.encode()),
                (WAIT, b"%d" % left_ms),
                (NUMBER, request.number.encode()),
                (DESCRIPTION, request.payload),
            )
        )
        return None

    def end(self, attempt: Attempt) -> None:
        """Give a set-up up, or release a call that stands: cause 16 either way."""
        call = bytes.fromhex(attempt.request.id)
        if self.waiting.pop(call, None) is None and self._drop(call) is not None and self.link:
            self.link.say(message(RELEASE, call, (CAUSE, bytes((NORMAL,)))))
            self._doubt()
        self.far.tidy(self)

    def _drop(self, call: bytes) -> Attempt | None:
        """Forget a call; that it was held is remembered for a while, as its end may be told once more."""
        attempt = self.calls.pop(call, None)
        if attempt is not None:
            self.far.remember(call)
        return attempt

    def _doubt(self) -> None:
        """Dial anew where a connection has been silent for long: a vanished machine never says so.

        Guards against calls that stand for ever at a machine that is gone, since open connections to it stay
        open; a processor that only hangs accepts the new connection, and nothing is lost.
        """
        if self.link is not None and self.far.now_ms() - self.link.heard_ms > SILENT_MS:
            self.far.tally.add("servers.silent")
            self.dial()

    # Connections.

    def dial(self) -> None:
        if self.dialling:
            return
        self.dialling = True
        host, port = self.address
        self.far.reactor.connectTCP(host, port, self.links, timeout=self.far.dial_timeout_s)

    def connected(self, link: ServerLink) -> None:
        self.dialling = False
        if self.old is not None:
            self.old.transport.abortConnection()
        self.old, self.link = self.link, link
        waiting, self.waiting = self.waiting, {}
        for call, attempt in waiting.items():
            if not self.far.engine.sent_to(self.uid):
                outcome = face.Outcome.NO_CONNECTION  # told to drain while the connection came up
            else:
                outcome = self._set_up(call, attempt)
            if outcome is not None:
                self.far.engine.ended(attempt, outcome)
        self.far.tidy(self)

    def dial_failed(self, refused: bool) -> None:
        self.dialling = False
        self.far.tally.add("servers.refused" if refused else "servers.unreachable")
        waiting, self.waiting = self.waiting, {}
        for attempt in waiting.values():
            self.far.engine.ended(attempt, face.Outcome.NO_CONNECTION)
        if self.link is not None:
            # Silent, and no other connection comes up: the machine has vanished.
            link, self.link = self.link, None
            link.transport.abortConnection()
            self.cut(standing=False)
        # A process that is gone has cut its calls, and no connection will come up to tell of it.
        self.cut(standing=True)
        self.far.tidy(self)

    def lost(self, link: ServerLink) -> None:
        """A connection has gone: the set-ups open on it may have run; calls that stand may stand on."""
        if self.old is link:
            self.old = None
        if self.link is not link:
            return
        self.link = None
        self.cut(standing=False)
        if self.calls and self.state is not face.ServerState.GONE:
            self.dial()
        elif self.calls:
            self.cut(standing=True)
        self.far.tidy(self)

    def cut(self, standing: bool) -> None:
        """End the set-ups that are out, or the calls that stand, as cut."""
        for call, attempt in list(self.calls.items()):
            if attempt.stands is standing and self._drop(call) is not None:
                self.far.engine.ended(attempt, face.Outcome.CUT)

    # What the server says.

    def answered(self, call: bytes, description: memoryview | bytes) -> None:
        attempt = self.calls.get(call)
        if attempt is not None:
            self.far.engine.stood(attempt, description)

    def released(self, call: bytes, cause: int, note: face.Cause, load: face.Load | None) -> None:
        attempt = self._drop(call)
        if attempt is None:
            if call not in self.far.recent and cause in (NORMAL, CUT):
                self.far.unknown_end(call, cause != NORMAL)
        elif attempt.stands:
            outcome = face.Outcome.SERVED if cause == NORMAL else face.Outcome.CUT
            self.far.engine.ended(attempt, outcome, load=load)
        else:
            self.far.engine.ended(attempt, ENDS.get(cause, face.Outcome.ERROR), note, load)


class Servers:
    """The far side of the engine: all setup servers that the list has named."""

    engine: Engine  # set once both are made

    def __init__(
        self,
        reactor: object,
        tally: Tally,
        now_ms: Callable[[], float],
        dial_timeout_ms: float,
        unknown_end: Callable[[bytes, bool], None],
    ) -> None:
        self.reactor, self.tally, self.now_ms = reactor, tally, now_ms
        self.dial_timeout_s = dial_timeout_ms / 1000.0
        self.unknown_end = unknown_end
        self.servers: dict[str, Server] = {}
        self.recent: dict[bytes, float] = {}  # calls lately over here -> when, oldest first

    def listed(self, news: face.ListNews, addresses: dict[str, Address]) -> None:
        """Take news of the list; to be called before the engine is told, so that it can send there."""
        if news.kind is not face.NewsKind.CHANGES:
            for uid in self.servers.keys() - addresses.keys():
                self._gone(self.servers[uid])
        for entry in news.entries:
            held = self.servers.get(entry.server)
            if held is not None and (
                entry.online_since_ms > held.since or held.address != addresses[entry.server]
            ):
                self._gone(held)  # the same id, but another process: what stood at the old one is cut
                held = None
            if entry.state is face.ServerState.GONE:
                if held is not None:
                    self._gone(held)
                continue
            if held is None:
                held = self.servers[entry.server] = Server(
                    self, entry.server, addresses[entry.server], entry.state, entry.online_since_ms
                )
                held.dial()
            held.state = entry.state

    def _gone(self, server: Server) -> None:
        server.state = face.ServerState.GONE
        waiting, server.waiting = server.waiting, {}
        for attempt in waiting.values():
            self.engine.ended(attempt, face.Outcome.NO_CONNECTION)
        if server.link is None and not server.dialling:
            server.cut(standing=True)
        self.tidy(server)

    def tidy(self, server: Server) -> None:
        """A server that has left is forgotten once nothing is open there."""
        if server.state is face.ServerState.GONE and not server.calls:
            for link in (server.link, server.old):
                if link is not None:
                    link.transport.loseConnection()
            if self.servers.get(server.uid) is server:
                del self.servers[server.uid]

    def remember(self, call: bytes) -> None:
        """Keep the id of a call that is over here; the oldest are forgotten."""
        now_ms = self.now_ms()
        self.recent[call] = now_ms
        while now_ms - next(iter(self.recent.values())) > RECENT_MS:
            del self.recent[next(iter(self.recent))]

    def load_of(self, report: memoryview | None) -> face.Load | None:
        """A report such as x0:12;x1:40; fields of unknown names are skipped."""
        if report is None:
            return None
        try:
            return load_named(str(report, "ascii"))
        except (UnicodeDecodeError, MalformedError) as fault:
            raise MessageError("report") from fault

    # The engine's far side.

    def send(self, attempt: Attempt) -> face.Outcome | None:
        server = self.servers.get(attempt.server)
        return face.Outcome.NO_CONNECTION if server is None else server.send(attempt)

    def give_up(self, attempt: Attempt) -> None:
        server = self.servers.get(attempt.server)
        if server is not None:
            server.end(attempt)

    release = give_up
