"""ENUM look-ups over DNS (RFC 6116): the downstream server for NAPTR queries, and the upstream resolvers.

A client's query is a request of the engine, and an exchange with a resolver is an attempt. A resolver's reply ends the
attempt, and is forwarded as received but for its id and header flags. Messages are parsed by twisted.names only.
"""

from __future__ import annotations

import re
import secrets
import struct
from collections.abc import Callable

from twisted.internet import error, protocol
from twisted.names import dns

from leadslip import interface
from leadslip.config import Address
from leadslip.core import Attempt, Deadlines, Engine, Observer, Request
from leadslip.logs import Log
from leadslip.metrics import Metrics
from leadslip.net.connections import LengthPrefixedReceiver, MessageError
from leadslip.net.inbound import InboundConnection, InboundConnections
from leadslip.parts.enum.settings import EnumConfig

HEADER = struct.Struct("!HBBHHHH")
# Bits of the header's third byte: QR, AA, TC and RD; the bits 0x78 are the opcode.
RESPONSE, AUTHORITATIVE, TRUNCATED, RECURSION_DESIRED = 0x80, 0x04, 0x02, 0x01
RECURSION_AVAILABLE = 0x80  # RA, in the header's fourth byte, whose bits 0x0F are the RCODE
OPT = 41  # type of the EDNS record, in which a client states the longest datagram that it accepts
MIN_DATAGRAM, MAX_DATAGRAM = 512, 4096  # bounds of that length, in bytes
DIGIT_LABELS = re.compile(r"(?:[0-9]\.){1,15}")  # an E.164 number has at most 15 digits
DECODE_ERRORS = (  # that the codec of twisted.names raises for malformed messages
    EOFError,
    ValueError,
    KeyError,
    IndexError,
    TypeError,
    AttributeError,
    OverflowError,
    struct.error,
)
OUTCOME_BY_RCODE = {dns.ESERVER: interface.Outcome.ERROR, dns.EREFUSED: interface.Outcome.FULL}
SendReply = Callable[[bytes], None]
# Of queries that are read in one turn of the reactor, so that a flood does not delay others.
MAX_TURN_BYTES = 1024
MAX_PORT_ATTEMPTS = 16  # to find a port that is free for both TCP and UDP, if the operating system chooses it


def parse_message(data: bytes) -> dns.Message:
    """Parses a DNS message; raises MessageError if it is malformed."""
    message = dns.Message()
    try:
        message.fromStr(data)
    except DECODE_ERRORS as decode_error:
        raise MessageError(f"malformed DNS message of {len(data)} bytes") from decode_error
    return message


def number_of(name: str, suffix: str) -> str | None:
    """The E.164 number that a domain name encodes: digits in reverse order, a label each; None if it encodes none."""
    lower_name, ending = name.lower(), f".{suffix}"
    if not lower_name.endswith(ending) or not DIGIT_LABELS.fullmatch(lower_name[: -len(ending)] + "."):
        return None
    return "+" + lower_name[: -len(ending)].replace(".", "")[::-1]


def owners_match(answers: list, name: bytes) -> bool:
    """Whether every NAPTR record belongs to the queried name, or to an alias target that its CNAME records lead to."""
    names = {name.lower()}
    for record in answers:
        if record.type == dns.CNAME and record.name.name.lower() in names:
            names.add(record.payload.name.name.lower())
    return all(record.name.name.lower() in names for record in answers if record.type == dns.NAPTR)


class ClientQuery:
    """State of a client's query until it is replied to; `key` identifies its retransmissions."""

    __slots__ = ("send_reply", "key", "id", "header_flags", "question", "max_size", "name")

    def __init__(
        self, send_reply: SendReply, key: object, data: bytes, message: dns.Message, max_size: int
    ) -> None:
        self.send_reply, self.key, self.max_size = send_reply, key, max_size
        self.id, self.header_flags = data[:2], data[2]
        self.name = message.queries[0].name.name
        question_message = dns.Message()
        question_message.queries = message.queries[:1]
        self.question = question_message.toStr()[HEADER.size :]

    def empty_reply(self, rcode: int, extra_flags: int = 0) -> bytes:
        """A reply without records; `extra_flags` are set in the header's third byte."""
        reply_flags = RESPONSE | (self.header_flags & (0x78 | RECURSION_DESIRED)) | extra_flags
        return (
            self.id + bytes((reply_flags, RECURSION_AVAILABLE | rcode)) + b"\0\1\0\0\0\0\0\0" + self.question
        )


class EnumServer(protocol.DatagramProtocol):
    """Receives queries over UDP, and over TCP from EnumConnection; replies to each exactly once."""

    engine: Engine  # set once both exist

    def __init__(self, conf: EnumConfig, metrics: Metrics, deadlines: Deadlines) -> None:
        self.conf, self.metrics, self.deadlines = conf, metrics, deadlines
        self.request_count = 0  # numbers the requests and distributes them over the resolvers
        self.open_requests: dict[object, Request] = {}  # by ClientQuery.key

    def startProtocol(self) -> None:
        self.transport.maxThroughput = MAX_TURN_BYTES

    def datagramReceived(self, data: bytes, addr: Address) -> None:
        def send_reply(reply: bytes) -> None:
            if self.transport is not None:
                self.transport.write(reply, addr)

        try:
            self.handle_query(data, send_reply, addr, None)
        except MessageError:
            self.metrics.add("enum.malformed")
            if len(data) >= HEADER.size and not data[2] & RESPONSE:
                # At least the header can be read: without a reply the client would wait for its time-out.
                reply_flags = RESPONSE | (data[2] & 0x78)
                send_reply(data[:2] + bytes((reply_flags, dns.EFORMAT)) + b"\0" * 8)

    def handle_query(
        self, data: bytes, send_reply: SendReply, client: object, max_size: int | None
    ) -> Request | None:
        """Offers a new ENUM look-up to the engine and returns its request; replies to any other query with an error.

        `client` identifies the sender; `max_size` limits the reply in bytes, None: as the query states for UDP. A
        retransmission is ignored. Raises MessageError for a malformed query.
        """
        message = parse_message(data)
        if message.answer:  # the QR bit
            raise MessageError("a response where a query was expected")
        if len(message.queries) != 1:
            raise MessageError(f"a query must have one question, got {len(message.queries)}")
        query = message.queries[0]
        if max_size is None:
            sizes = [record.cls for record in message.additional if record.type == OPT]  # in the class field
            max_size = min(max([MIN_DATAGRAM, *sizes]), MAX_DATAGRAM)
        key = (client, message.id, query.name.name.lower(), query.type)
        client_query = ClientQuery(send_reply, key, data, message, max_size)
        if not data.startswith(client_query.question, HEADER.size):
            # The codec joins labels by dots, so that a label with a dot in it would be passed on as two labels.
            raise MessageError("the question can't be passed on unchanged")
        number = number_of(query.name.name.decode("latin-1"), self.conf.suffix)
        if message.opCode != dns.OP_QUERY:
            send_reply(client_query.empty_reply(dns.ENOTIMP))
        elif number is None or query.cls != dns.IN or query.type != dns.NAPTR:
            self.metrics.add("enum.not_served")
            send_reply(client_query.empty_reply(dns.EREFUSED))
        elif key not in self.open_requests:  # else a retransmission: the reply to the first query serves it
            self.request_count += 1
            valid_until_ms = self.deadlines.clock.now_ms() + self.conf.answer_within_ms
            request = Request(f"{self.request_count:016x}", "enum", valid_until_ms, self)
            request.number_called, request.context = number, client_query
            request.destination = self.request_count % len(self.conf.resolvers)
            self.open_requests[key] = request
            self.engine.offer(request)
            return request
        return None

    def read_pending(self, request: Request) -> None:
        """Cancels the look-up if the client has closed its TCP connection; UDP clients can't be checked."""
        client = request.context.key[0]
        if isinstance(client, EnumConnection):
            client.close_if_peer_has_left()

    def client_left(self, request: Request) -> None:
        """Cancels the request of a client that has disconnected."""
        self.open_requests.pop(request.context.key, None)
        self.engine.cancel(request)

    # Callbacks of the engine.

    def on_established(self, request: Request, payload: object) -> None:
        """Forwards a resolver's reply; if it is too long for the client, an empty one that makes it retry over TCP."""
        client_query: ClientQuery = request.context
        if len(payload) > client_query.max_size:
            self._reply(request, client_query.empty_reply(dns.OK, TRUNCATED))
            return
        third_byte = RESPONSE | (payload[2] & AUTHORITATIVE) | (client_query.header_flags & RECURSION_DESIRED)
        fourth_byte = RECURSION_AVAILABLE | (payload[3] & 0x0F)
        self._reply(request, b"".join((client_query.id, bytes((third_byte, fourth_byte)), payload[4:])))

    def on_refused(self, request: Request, pause_ms: float) -> None:
        self._reply(request, request.context.empty_reply(dns.EREFUSED))

    def on_failed(self, request: Request) -> None:
        self._reply(request, request.context.empty_reply(dns.ESERVER))

    def call_ended(self, request: Request, cut: bool) -> None:
        """Nothing to release: an answered look-up holds no resources."""

    def _reply(self, request: Request, reply: bytes) -> None:
        self.open_requests.pop(request.context.key, None)
        request.context.send_reply(reply)


class EnumConnection(InboundConnection, LengthPrefixedReceiver):
    """One TCP connection of a client; its queries are handled by the EnumServer."""

    peer_kind = "enum_askers"

    def __init__(self, factory: EnumConnections) -> None:
        self.factory, self.downstream, self.metrics = factory, factory.downstream, factory.downstream.metrics
        self.now_ms = factory.downstream.deadlines.clock.now_ms
        self.inbound = factory.inbound
        self.requests: dict[str, Request] = {}  # not replied to yet, by id

    def awaits_answer(self) -> bool:
        return bool(self.requests)

    def on_closed(self) -> None:
        for request in self.requests.values():
            self.downstream.client_left(request)

    def malformed(self, fault: MessageError) -> None:
        super().malformed(fault)
        self.inbound.remove(self)

    def stringReceived(self, view: memoryview) -> None:
        # Not empty once the query has been replied to, which may happen before handle_query returns.
        replies: list[str] = []

        def send_reply(reply: bytes) -> None:
            replies.append("")  # only marks the query as replied to
            if self in self.inbound.open:
                self.send(struct.pack("!H", len(reply)), reply)
            if request is not None:
                self.requests.pop(request.id, None)

        self.message_received()
        request: Request | None = None
        # Copied, as the codec requires bytes.
        request = self.downstream.handle_query(bytes(view), send_reply, self, 0xFFFF)
        if request is not None and not replies:
            self.requests[request.id] = request


class EnumConnections(protocol.Factory):
    """Accepts the TCP connections of clients, up to `max_connections`."""

    noisy = False

    def __init__(self, downstream: EnumServer, max_connections: int) -> None:
        self.downstream = downstream
        self.inbound = InboundConnections(
            downstream.metrics, "enum_askers", max_connections, downstream.deadlines
        )

    def buildProtocol(self, addr: object) -> EnumConnection | None:
        return EnumConnection(self) if self.inbound.has_capacity() else None


class ResolverConnection(LengthPrefixedReceiver):
    """A TCP connection to a resolver, for exchanges whose reply over UDP was truncated."""

    peer_kind = "enum_resolvers"

    def __init__(self, resolver: Resolver) -> None:
        self.resolver, self.metrics = resolver, resolver.upstream.metrics
        self.now_ms = resolver.upstream.deadlines.clock.now_ms

    def connectionMade(self) -> None:
        super().connectionMade()
        self.resolver.connected(self)

    def connectionLost(self, reason: object = None) -> None:
        self.resolver.connection_lost(self)

    def stringReceived(self, view: memoryview) -> None:
        self.resolver.reply_received(bytes(view), over_tcp=True)


class ResolverConnectionFactory(protocol.ClientFactory):
    """Makes the TCP connections to one resolver."""

    noisy = False

    def __init__(self, resolver: Resolver) -> None:
        self.resolver = resolver

    def buildProtocol(self, addr: object) -> ResolverConnection:
        return ResolverConnection(self.resolver)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self.resolver.connect_failed(reason.check(error.ConnectionRefusedError) is not None)


class Resolver(protocol.DatagramProtocol):
    """One resolver: a UDP socket connected to its address, and its TCP connection when one is needed."""

    noisy = False

    def __init__(self, upstream: Resolvers, name: str, address: Address) -> None:
        self.upstream, self.name, self.address = upstream, name, address
        self.pending: dict[int, Attempt] = {}  # message id -> attempt
        self.ids: dict[str, int] = {}  # request id -> message id of its exchange
        self.tcp_queries: dict[int, bytes] = {}  # message id -> query, for exchanges that continue over TCP
        self.connection: ResolverConnection | None = None
        self.connecting = False
        self.connection_factory = ResolverConnectionFactory(self)

    def startProtocol(self) -> None:
        self.transport.connect(*self.address)

    def send(self, attempt: Attempt) -> interface.Outcome | None:
        """Sends the query over UDP; returns an outcome if it could not be sent, else None."""
        if self.transport is None:
            return interface.Outcome.NO_CONNECTION
        id_ = secrets.randbelow(0x10000)  # unpredictable, so that a third party can hardly spoof a reply
        while id_ in self.pending:
            id_ = secrets.randbelow(0x10000)
        self.pending[id_] = attempt
        self.ids[attempt.request.id] = id_
        self.transport.write(self._query(id_))
        return None

    def _query(self, id_: int) -> bytes:
        return HEADER.pack(id_, RECURSION_DESIRED, 0, 1, 0, 0, 0) + self.pending[id_].request.context.question

    def abandon(self, attempt: Attempt) -> None:
        """Removes an exchange, whether it is finished or not; a later reply to it counts as unsolicited."""
        id_ = self.ids.pop(attempt.request.id, None)
        self.pending.pop(id_, None)
        self.tcp_queries.pop(id_, None)
        self._check_connection()

    def end(self, id_: int, outcome: interface.Outcome) -> None:
        """Ends an exchange, if it is still pending, and reports its outcome to the engine."""
        attempt = self.pending.get(id_)
        if attempt is not None:
            self.abandon(attempt)
            self.upstream.engine.on_attempt_ended(attempt, outcome)

    # UDP.

    def datagramReceived(self, data: bytes, addr: Address) -> None:
        try:
            self.reply_received(data, over_tcp=False)
        except MessageError:
            # A third party may have sent it, so the exchange stays open until its own deadline.
            self.upstream.metrics.add("enum_resolvers.malformed")

    def connectionRefused(self) -> None:
        """The resolver's UDP port is closed: no query pending over UDP has been worked on, so all these end."""
        for id_ in [id_ for id_ in self.pending if id_ not in self.tcp_queries]:
            self.end(id_, interface.Outcome.NO_CONNECTION)

    def reply_received(self, data: bytes, over_tcp: bool) -> None:
        """Handles a reply; ignored unless it repeats the question of an exchange pending over this transport."""
        message = parse_message(data)
        attempt = self.pending.get(message.id)
        if attempt is None or not message.answer or over_tcp is not (message.id in self.tcp_queries):
            self.upstream.metrics.add("enum_resolvers.unsolicited")
            return
        client_query: ClientQuery = attempt.request.context
        query = message.queries[0] if len(message.queries) == 1 else None
        same_name = query is not None and query.name.name.lower() == client_query.name.lower()
        if not same_name or query.type != dns.NAPTR or query.cls != dns.IN:
            self.upstream.metrics.add("enum_resolvers.mismatched")
        elif message.trunc and not over_tcp:
            self.tcp_queries[message.id] = self._query(message.id)
            self._query_over_tcp(message.id)
        elif (
            message.rCode in (dns.OK, dns.ENAME)
            and not message.trunc
            and owners_match(message.answers, client_query.name)
        ):
            self.abandon(attempt)
            self.upstream.engine.on_established(attempt, memoryview(data))
            self.upstream.engine.on_attempt_ended(attempt, interface.Outcome.SERVED)
        else:
            self.end(message.id, OUTCOME_BY_RCODE.get(message.rCode, interface.Outcome.ERROR))

    # TCP.

    def _query_over_tcp(self, id_: int) -> None:
        self.upstream.metrics.add("enum_resolvers.truncated")
        if self.connection is not None:
            self.connection.send(struct.pack("!H", len(self.tcp_queries[id_])), self.tcp_queries[id_])
        else:
            self._connect()

    def _connect(self) -> None:
        if not self.connecting:
            self.connecting = True
            host, port = self.address
            self.upstream.reactor.connectTCP(
                host, port, self.connection_factory, timeout=self.upstream.attempt_ms / 1000.0
            )

    def connect_failed(self, refused: bool) -> None:
        """Ends all exchanges over TCP; `refused`: the resolver's host rejected the connection."""
        self.connecting = False
        for id_ in list(self.tcp_queries):
            self.end(id_, interface.Outcome.ERROR if refused else interface.Outcome.CUT)

    def connected(self, connection: ResolverConnection) -> None:
        """Sends the queries that wait for the connection."""
        self.connecting, self.connection = False, connection
        for query in self.tcp_queries.values():
            connection.send(struct.pack("!H", len(query)), query)
        self._check_connection()

    def connection_lost(self, connection: ResolverConnection) -> None:
        """Ends all exchanges over TCP if the connection was the current one."""
        if self.connection is connection:
            self.connection = None
            for id_ in list(self.tcp_queries):
                self.end(id_, interface.Outcome.CUT)

    def _check_connection(self) -> None:
        """Replaces the connection if a reply stays unfinished; closes it if unused, as truncated replies are rare."""
        connection = self.connection
        if (
            connection is not None
            and connection.partial_since_ms
            and connection.now_ms() - connection.partial_since_ms > self.upstream.attempt_ms / 2
        ):
            # Otherwise a reply that is never finished would block all replies after it.
            self.connection = None
            connection.malformed(MessageError("reply over TCP is unfinished for over half an attempt"))
            if self.tcp_queries:
                self._connect()  # the remaining queries are sent again on the new connection
        elif connection is not None and not self.tcp_queries:
            self.connection = None
            connection.transport.loseConnection()


class Resolvers:
    """The engine's upstream side: sends each attempt to the resolver that the Controller has chosen."""

    engine: Engine  # set once both exist

    def __init__(self, reactor: object, conf: EnumConfig, metrics: Metrics, deadlines: Deadlines) -> None:
        self.reactor, self.metrics, self.deadlines = reactor, metrics, deadlines
        self.attempt_ms = conf.attempt_ms
        names = [f"{host}:{port}" for host, port in conf.resolvers]
        self.resolvers = {
            name: Resolver(self, name, address) for name, address in zip(names, conf.resolvers, strict=True)
        }

    def start(self) -> None:
        """Opens a socket for each resolver and passes their list to the engine."""
        for resolver in self.resolvers.values():
            self.reactor.listenUDP(0, resolver)
        entries = [
            interface.ListEntry(name, i, interface.ServerState.READY) for i, name in enumerate(self.resolvers)
        ]
        self.engine.update_servers(interface.ServerListUpdate(interface.UpdateKind.SNAPSHOT, tuple(entries)))

    def send(self, attempt: Attempt) -> interface.Outcome | None:
        return self.resolvers[attempt.server].send(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.resolvers[attempt.server].abandon(attempt)

    release = cancel  # required by core.Upstream; never called, since a look-up ends when it is answered


def start(
    reactor: object,
    conf: EnumConfig,
    seed: int,
    deadlines: Deadlines,
    metrics: Metrics,
    log: Log,
    observer: Observer | None = None,
) -> Engine:
    """Starts ENUM look-ups and returns their engine, which the proxy shuts down like that of calls."""
    downstream = EnumServer(conf, metrics, deadlines)
    resolvers = Resolvers(reactor, conf, metrics, deadlines)
    engine = Engine(
        conf.settings,
        seed,
        deadlines.clock,
        deadlines,
        resolvers,
        metrics,
        log,
        conf.max_open_requests,
        observer,
        max_attempt_ms=conf.attempt_ms,
    )
    downstream.engine = resolvers.engine = engine
    port = _listen(reactor, conf, downstream)
    resolvers.start()
    log("enum.serves", address=f"{conf.listen[0]}:{port}")
    return engine


def _listen(reactor: object, conf: EnumConfig, downstream: EnumServer) -> int:
    """Listens over TCP and UDP on one port and returns it; if the system chooses it, one that is free for both."""
    host, port = conf.listen
    for attempts_left in reversed(range(1 if port else MAX_PORT_ATTEMPTS)):
        tcp = reactor.listenTCP(port, EnumConnections(downstream, conf.max_connections), interface=host)
        bound_port = tcp.getHost().port
        try:
            reactor.listenUDP(bound_port, downstream, interface=host, maxPacketSize=MAX_DATAGRAM)
            break
        except error.CannotListenError:
            tcp.stopListening()
            if not attempts_left:
                raise
    return bound_port
