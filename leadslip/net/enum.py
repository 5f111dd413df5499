"""ENUM look-ups over DNS (RFC 6116): a front that answers NAPTR queries, and the resolvers it asks.

A query is a request of the engine, an exchange with a resolver is an attempt, and an answer is an outcome.
A reply passes on as it was read, under the asker's id; only the codec of twisted.names reads it.
"""

from __future__ import annotations

import re
import secrets
import struct
from collections.abc import Callable

from twisted.internet import error, protocol
from twisted.names import dns

from leadslip import interface as face
from leadslip.checks import Tally
from leadslip.config import Address
from leadslip.core import Attempt, Deadlines, Engine, Request, Watcher
from leadslip.logs import Log
from leadslip.net.links import AcceptedLink, AcceptedLinks, MessageError, SliceReceiver
from leadslip.parts.enum.settings import EnumConfig

HEADER = struct.Struct("!HBBHHHH")
RESPONSE, AUTHORITATIVE, TRUNCATED, RECURSION_WANTED = 0x80, 0x04, 0x02, 0x01  # in the third byte
RECURSION_TO_BE_HAD = 0x80  # in the fourth
OPT = 41  # the record by which an asker tells how long a datagram may be
LEAST_DATAGRAM, MOST_DATAGRAM = 512, 4096
DIGITS = re.compile(r"(?:[0-9]\.){1,15}")
UNREADABLE = (
    EOFError,
    ValueError,
    KeyError,
    IndexError,
    TypeError,
    AttributeError,
    OverflowError,
    struct.error,
)
OUTCOMES = {dns.ESERVER: face.Outcome.ERROR, dns.EREFUSED: face.Outcome.FULL}
Say = Callable[[bytes], None]
PORTS_DRAWN = 16  # where the system chooses the port, before it is given up


def read(data: bytes) -> dns.Message:
    """A message by the codec, whose many errors become one."""
    message = dns.Message()
    try:
        message.fromStr(data)
    except UNREADABLE as fault:
        raise MessageError("dns") from fault
    return message


def number_of(name: str, suffix: str) -> str | None:
    """The E.164 number that a name stands for: its digits reversed, dotted, under the suffix."""
    lower, end = name.lower(), f".{suffix}"
    if not lower.endswith(end) or not DIGITS.fullmatch(lower[: -len(end)] + "."):
        return None
    return "+" + lower[: -len(end)].replace(".", "")[::-1]


def named(answers: list, name: bytes) -> bool:
    """Whether all NAPTR records are of the name asked for, or of one that its aliases lead to."""
    names = {name.lower()}
    for record in answers:
        if record.type == dns.CNAME and record.name.name.lower() in names:
            names.add(record.payload.name.name.lower())
    return all(record.name.name.lower() in names for record in answers if record.type == dns.NAPTR)


class Asked:
    """What is kept of a query until its one answer."""

    __slots__ = ("say", "key", "id", "third", "question", "most", "name")

    def __init__(self, say: Say, key: object, data: bytes, message: dns.Message, most: int) -> None:
        self.say, self.key, self.most = say, key, most
        self.id, self.third = data[:2], data[2]
        self.name = message.queries[0].name.name
        asked = dns.Message()
        asked.queries = message.queries[:1]
        self.question = asked.toStr()[HEADER.size :]

    def answer(self, rcode: int, flags: int = 0) -> bytes:
        """An answer without records."""
        third = RESPONSE | (self.third & (0x78 | RECURSION_WANTED)) | flags
        return self.id + bytes((third, RECURSION_TO_BE_HAD | rcode)) + b"\0\1\0\0\0\0\0\0" + self.question


class EnumFront(protocol.DatagramProtocol):
    """Takes queries over UDP, and over TCP by its links; every one gets exactly one answer."""

    engine: Engine  # set once both are made

    def __init__(self, conf: EnumConfig, tally: Tally, deadlines: Deadlines) -> None:
        self.conf, self.tally, self.deadlines = conf, tally, deadlines
        self.count = 0
        self.open: dict[object, Request] = {}

    def datagramReceived(self, data: bytes, addr: Address) -> None:
        def say(answer: bytes) -> None:
            if self.transport is not None:
                self.transport.write(answer, addr)

        try:
            self.take(data, say, addr, None)
        except MessageError:
            self.tally.add("enum.malformed")
            if len(data) >= HEADER.size and not data[2] & RESPONSE:
                # A query whose header alone can be read: told so, else its asker would wait in vain.
                third = RESPONSE | (data[2] & 0x78)
                say(data[:2] + bytes((third, dns.EFORMAT)) + b"\0" * 8)

    def take(self, data: bytes, say: Say, asker: object, most: int | None) -> Request | None:
        """One query: refused at once if it is no ENUM look-up, else a request of the engine."""
        message = read(data)
        if message.answer:
            raise MessageError("an answer where a query was due")
        if len(message.queries) != 1:
            raise MessageError("questions")
        query = message.queries[0]
        if most is None:
            told = [record.cls for record in message.additional if record.type == OPT]
            most = min(max([LEAST_DATAGRAM, *told]), MOST_DATAGRAM)
        key = (asker, message.id, query.name.name.lower(), query.type)
        asked = Asked(say, key, data, message, most)
        number = number_of(query.name.name.decode("ascii", "replace"), self.conf.suffix)
        if message.opCode != dns.OP_QUERY:
            say(asked.answer(dns.ENOTIMP))
        elif number is None or query.cls != dns.IN or query.type != dns.NAPTR:
            self.tally.add("enum.not_served")
            say(asked.answer(dns.EREFUSED))
        elif key not in self.open:  # else the same query sent again: it has its answer to come
            self.count += 1
            valid_until_ms = self.deadlines.clock.now_ms() + self.conf.answer_within_ms
            request = Request(f"{self.count:016x}", "enum", valid_until_ms, self)
            request.number, request.context = number, asked
            request.destination = self.count % len(self.conf.resolvers)
            self.open[key] = request
            self.engine.offer(request)
            return request
        return None

    def catch_up(self, request: Request) -> None:
        """Over UDP nobody tells that he leaves."""
        asker = request.context.key[0]
        if isinstance(asker, EnumLink):
            asker.catch_up()

    def gone(self, request: Request) -> None:
        """The asker has left."""
        self.open.pop(request.context.key, None)
        self.engine.cancel(request)

    # What the engine says.

    def stands(self, request: Request, payload: object) -> None:
        asked: Asked = request.context
        if len(payload) > asked.most:
            self._answer(request, asked.answer(dns.OK, TRUNCATED))
            return
        third = RESPONSE | (payload[2] & AUTHORITATIVE) | (asked.third & RECURSION_WANTED)
        fourth = RECURSION_TO_BE_HAD | (payload[3] & 0x0F)
        self._answer(request, b"".join((asked.id, bytes((third, fourth)), payload[4:])))

    def refused(self, request: Request, pause_ms: float) -> None:
        self._answer(request, request.context.answer(dns.EREFUSED))

    def failed(self, request: Request) -> None:
        self._answer(request, request.context.answer(dns.ESERVER))

    def over(self, request: Request, cut: bool) -> None:
        """A look-up that was answered holds nothing."""

    def _answer(self, request: Request, answer: bytes) -> None:
        self.open.pop(request.context.key, None)
        request.context.say(answer)


class EnumLink(AcceptedLink, SliceReceiver):
    """One connection from an asker."""

    peer_kind = "enum_askers"

    def __init__(self, links: EnumLinks) -> None:
        self.links, self.front, self.tally = links, links.front, links.front.tally
        self.now_ms = links.front.deadlines.clock.now_ms
        self.accepted = links.accepted
        self.requests: dict[str, Request] = {}

    def busy(self) -> bool:
        return bool(self.requests)

    def left(self) -> None:
        for request in self.requests.values():
            self.front.gone(request)

    def malformed(self, fault: MessageError) -> None:
        super().malformed(fault)
        self.accepted.remove(self)

    def stringReceived(self, view: memoryview) -> None:
        answered: list[str] = []

        def say(answer: bytes) -> None:
            answered.append("")
            if self in self.accepted.held:
                self.say(struct.pack("!H", len(answer)), answer)
            if request is not None:
                self.requests.pop(request.id, None)

        self.heard()
        request: Request | None = None
        request = self.front.take(bytes(view), say, self, 0xFFFF)  # the codec wants bytes
        if request is not None and not answered:
            self.requests[request.id] = request


class EnumLinks(protocol.Factory):
    """Makes the connections from askers, so many at the most."""

    noisy = False

    def __init__(self, front: EnumFront, most: int) -> None:
        self.front = front
        self.accepted = AcceptedLinks(front.tally, "enum_askers", most, front.deadlines)

    def buildProtocol(self, addr: object) -> EnumLink | None:
        return EnumLink(self) if self.accepted.room() else None


class ResolverLink(SliceReceiver):
    """A connection to a resolver, for the exchanges whose datagram came back truncated."""

    peer_kind = "enum_resolvers"

    def __init__(self, resolver: Resolver) -> None:
        self.resolver, self.tally = resolver, resolver.far.tally
        self.now_ms = resolver.far.deadlines.clock.now_ms

    def connectionMade(self) -> None:
        super().connectionMade()
        self.resolver.connected(self)

    def connectionLost(self, reason: object = None) -> None:
        self.resolver.lost(self)

    def stringReceived(self, view: memoryview) -> None:
        self.resolver.replied(bytes(view), over_tcp=True)


class ResolverLinks(protocol.ClientFactory):
    """Makes the connections to one resolver."""

    noisy = False

    def __init__(self, resolver: Resolver) -> None:
        self.resolver = resolver

    def buildProtocol(self, addr: object) -> ResolverLink:
        return ResolverLink(self.resolver)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self.resolver.dial_failed(reason.check(error.ConnectionRefusedError) is not None)


class Resolver(protocol.DatagramProtocol):
    """One resolver: its datagram socket, which the kernel ties to its address, and its connection."""

    noisy = False

    def __init__(self, far: Resolvers, name: str, address: Address) -> None:
        self.far, self.name, self.address = far, name, address
        self.pending: dict[int, Attempt] = {}
        self.ids: dict[str, int] = {}  # request -> id of its exchange
        self.over_tcp: dict[int, bytes] = {}  # exchanges that go on over TCP, and their queries
        self.link: ResolverLink | None = None
        self.dialling = False
        self.links = ResolverLinks(self)

    def startProtocol(self) -> None:
        self.transport.connect(*self.address)

    def send(self, attempt: Attempt) -> face.Outcome | None:
        if self.transport is None:
            return face.Outcome.NO_CONNECTION
        id_ = secrets.randbelow(0x10000)  # unforeseeable, so that a stranger can't answer
        while id_ in self.pending:
            id_ = secrets.randbelow(0x10000)
        self.pending[id_] = attempt
        self.ids[attempt.request.id] = id_
        self.transport.write(self._query(id_))
        return None

    def _query(self, id_: int) -> bytes:
        return HEADER.pack(id_, RECURSION_WANTED, 0, 1, 0, 0, 0) + self.pending[id_].request.context.question

    def drop(self, attempt: Attempt) -> None:
        """The engine has ended an exchange: a late reply finds nothing."""
        id_ = self.ids.pop(attempt.request.id, None)
        self.pending.pop(id_, None)
        self.over_tcp.pop(id_, None)
        self._tidy()

    def end(self, id_: int, outcome: face.Outcome) -> None:
        attempt = self.pending.get(id_)
        if attempt is not None:
            self.drop(attempt)
            self.far.engine.ended(attempt, outcome)

    # Datagrams.

    def datagramReceived(self, data: bytes, addr: Address) -> None:
        try:
            self.replied(data, over_tcp=False)
        except MessageError:
            # A stranger could have sent it: the exchange goes on, and its deadline holds.
            self.far.tally.add("enum_resolvers.malformed")

    def connectionRefused(self) -> None:
        """Nothing listens there: what is out never ran."""
        for id_ in [id_ for id_ in self.pending if id_ not in self.over_tcp]:
            self.end(id_, face.Outcome.NO_CONNECTION)

    def replied(self, data: bytes, over_tcp: bool) -> None:
        """One reply; only one that answers the very question of an open exchange counts."""
        message = read(data)
        attempt = self.pending.get(message.id)
        if attempt is None or not message.answer or over_tcp is not (message.id in self.over_tcp):
            self.far.tally.add("enum_resolvers.unsolicited")
            return
        asked: Asked = attempt.request.context
        query = message.queries[0] if len(message.queries) == 1 else None
        same = query is not None and query.name.name.lower() == asked.name.lower()
        if not same or query.type != dns.NAPTR or query.cls != dns.IN:
            self.far.tally.add("enum_resolvers.mismatched")
        elif message.trunc and not over_tcp:
            self.over_tcp[message.id] = self._query(message.id)
            self._ask_over_tcp(message.id)
        elif (
            message.rCode in (dns.OK, dns.ENAME) and not message.trunc and named(message.answers, asked.name)
        ):
            self.drop(attempt)
            self.far.engine.stood(attempt, memoryview(data))
            self.far.engine.ended(attempt, face.Outcome.SERVED)
        else:
            self.end(message.id, OUTCOMES.get(message.rCode, face.Outcome.ERROR))

    # The connection.

    def _ask_over_tcp(self, id_: int) -> None:
        self.far.tally.add("enum_resolvers.truncated")
        if self.link is not None:
            self.link.say(struct.pack("!H", len(self.over_tcp[id_])), self.over_tcp[id_])
        else:
            self._dial()

    def _dial(self) -> None:
        if not self.dialling:
            self.dialling = True
            host, port = self.address
            self.far.reactor.connectTCP(host, port, self.links, timeout=self.far.attempt_ms / 1000.0)

    def dial_failed(self, refused: bool) -> None:
        self.dialling = False
        for id_ in list(self.over_tcp):
            self.end(id_, face.Outcome.ERROR if refused else face.Outcome.CUT)

    def connected(self, link: ResolverLink) -> None:
        self.dialling, self.link = False, link
        for query in self.over_tcp.values():
            link.say(struct.pack("!H", len(query)), query)
        self._tidy()

    def lost(self, link: ResolverLink) -> None:
        if self.link is link:
            self.link = None
            for id_ in list(self.over_tcp):
                self.end(id_, face.Outcome.CUT)

    def _tidy(self) -> None:
        """A connection without an exchange is closed: truncated replies are few."""
        link = self.link
        if link is not None and link.partial_ms and link.now_ms() - link.partial_ms > self.far.attempt_ms / 2:
            # Guards against half a reply that never ends: it would hold up all that come after it.
            self.link = None
            link.malformed(MessageError("unfinished"))
            if self.over_tcp:
                self._dial()  # they are asked again there
        elif link is not None and not self.over_tcp:
            self.link = None
            link.transport.loseConnection()


class Resolvers:
    """The far side of the engine for look-ups."""

    engine: Engine  # set once both are made

    def __init__(self, reactor: object, conf: EnumConfig, tally: Tally, deadlines: Deadlines) -> None:
        self.reactor, self.tally, self.deadlines = reactor, tally, deadlines
        self.attempt_ms = conf.attempt_ms
        names = [f"{host}:{port}" for host, port in conf.resolvers]
        self.resolvers = {
            name: Resolver(self, name, address) for name, address in zip(names, conf.resolvers, strict=True)
        }

    def start(self) -> None:
        """Open a socket for each resolver, and tell the engine of them."""
        for resolver in self.resolvers.values():
            self.reactor.listenUDP(0, resolver)
        entries = [face.ListEntry(name, i, face.ServerState.READY) for i, name in enumerate(self.resolvers)]
        self.engine.news(face.ListNews(face.NewsKind.WHOLE, tuple(entries)))

    def send(self, attempt: Attempt) -> face.Outcome | None:
        return self.resolvers[attempt.server].send(attempt)

    def give_up(self, attempt: Attempt) -> None:
        self.resolvers[attempt.server].drop(attempt)

    release = give_up


def start(
    reactor: object,
    conf: EnumConfig,
    seed: int,
    deadlines: Deadlines,
    tally: Tally,
    log: Log,
    watcher: Watcher | None = None,
) -> Engine:
    """The whole path: askers, engine, resolvers; tells the engine, which drains like any other."""
    front = EnumFront(conf, tally, deadlines)
    resolvers = Resolvers(reactor, conf, tally, deadlines)
    engine = Engine(
        conf.settings,
        seed,
        deadlines.clock,
        deadlines,
        resolvers,
        tally,
        log,
        conf.most_held,
        watcher,
        attempt_ms=conf.attempt_ms,
    )
    front.engine = resolvers.engine = engine
    port = _listen(reactor, conf, front)
    resolvers.start()
    log("enum.serves", address=f"{conf.listen[0]}:{port}")
    return engine


def _listen(reactor: object, conf: EnumConfig, front: EnumFront) -> int:
    """Listen over TCP and UDP on one port; where the system chooses it, one that is free for both."""
    host, port = conf.listen
    for left in reversed(range(1 if port else PORTS_DRAWN)):
        tcp = reactor.listenTCP(port, EnumLinks(front, conf.most_connections), interface=host)
        given = tcp.getHost().port
        try:
            reactor.listenUDP(given, front, interface=host, maxPacketSize=MOST_DATAGRAM)
            break
        except error.CannotListenError:
            tcp.stopListening()
            if not left:
                raise
    return given
