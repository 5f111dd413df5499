"""The fleet transport: UDP datagrams, and TCP for larger messages, on one port number. Off unless configured.

Passes received messages to the `View` or to the part that they are addressed to, and sends the messages that these have
queued; takes no decisions. Other members are reached at the address that they advertise, never at a datagram's source;
outbound connections are bound to the IP address of `listen`. Time is the system's CLOCK_BOOTTIME, which goes on while a
process or a machine is suspended and does not jump.

There are two kinds of TCP sessions: anti-entropy sessions, in which two members sync their tables, and delivery
sessions, in which one member delivers messages of parts to another.
"""

from __future__ import annotations

import random
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from twisted.internet import error, protocol
from twisted.protocols.basic import Int32StringReceiver

from leadslip.deadlines import Deadlines
from leadslip.fleet import wire
from leadslip.fleet.view.view import OwnMember, ProtocolTiming, StartSync, View
from leadslip.logs import Log
from leadslip.metrics import Metrics

if TYPE_CHECKING:
    from leadslip.parts.fleet.settings import FleetConfig

CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
SESSION_TIMEOUT_MS = 3000.0  # for connecting, and again from the connection to the end of a session
# Open at a time: sessions of either kind opened by other members, and anti-entropy sessions opened by this member.
MAX_INBOUND_SESSIONS, MAX_OUTBOUND_SESSIONS = 16, 2
MAX_UNVERIFIED_FRAME = 16 * 1024  # bytes of a frame from a peer that has not proved yet that it has a key
MAX_DELIVERY_CONNECTIONS = 8  # delivery sessions that this member has open at a time
MAX_QUEUED_BYTES = 4 << 20  # of messages of parts that wait for delivery to one member
MAX_DELIVERY_BYTES = 1 << 20  # of messages of parts in one delivery session; the last message may exceed it
# Larger bodies of messages of parts are delivered over TCP; 60 bytes are left for the other fields of the message.
MAX_DATAGRAM_BODY = wire.MAX_DATAGRAM_BYTES - wire.AUTH_HEADER_BYTES - 60
# Of datagrams that are read in one turn of the reactor, so that a flood does not delay calls.
MAX_TURN_BYTES = 16 * 1024
RECEIVE_BUFFER_BYTES = 1 << 20  # of the UDP socket; holds datagrams while this process is busy or paused


class FleetClock:
    """Milliseconds since the machine started, including time spent suspended."""

    def now_ms(self) -> float:
        return time.clock_gettime(CLOCK) * 1000.0


class PeerDatagrams(protocol.DatagramProtocol):
    """The UDP port of this member."""

    noisy = False

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def startProtocol(self) -> None:
        self.transport.maxThroughput = MAX_TURN_BYTES

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        if len(datagram) > wire.MAX_DATAGRAM_BYTES:
            self.peers.metrics.add("fleet.refused.long")
        else:
            self.peers.datagram_received(datagram)

    def connectionRefused(self) -> None:
        """Ignored: no process listens at the address of some member; that member's probe times out."""


class PeerSession(Int32StringReceiver):
    """A TCP session between members; each message is a signed frame, and an error ends the session.

    The accepting side begins with a `Hello`. In an anti-entropy session the initiator sends a `SyncRequest`, the
    accepting side answers with a `SyncTable`, and the initiator sends a `SyncTable` with its newer records. In a
    delivery session the initiator sends one or more `PartMessage`s.
    """

    MAX_LENGTH = MAX_UNVERIFIED_FRAME

    def __init__(self, peers: Peers) -> None:
        self.peers = peers
        self.transferred_bytes = 0  # in both directions
        self.token = random.SystemRandom().getrandbits(63)  # that the peer's messages must repeat
        self.timeout = None  # deadline that ends the session

    def connectionMade(self) -> None:
        deadlines = self.peers.deadlines
        self.transport.setTcpNoDelay(True)  # else a second frame would wait for the first to be acknowledged
        self.timeout = deadlines.call_at(deadlines.clock.now_ms() + SESSION_TIMEOUT_MS, self.timed_out)
        self.on_connected()

    def on_connected(self) -> None:
        """Called when the connection is established."""

    def timed_out(self, _: object = None) -> None:
        """Ends a session that has taken too long."""
        self.peers.metrics.add("fleet.sessions_late")
        self.transport.abortConnection()

    def connectionLost(self, reason: object = None) -> None:
        self.peers.deadlines.cancel(self.timeout)
        self.peers.session_ended(self)

    def lengthLimitExceeded(self, length: int) -> None:
        self.peers.metrics.add("fleet.refused.long")
        self.transport.abortConnection()

    def send_message(self, message: wire.AnyMessage) -> None:
        """Sends a message in the newest version that the receiver supports."""
        peers = self.peers
        version = peers.view.version_for(message.receiver_run)
        data = peers.authenticator.sign(wire.encode_frame(message, version), version)
        self.transferred_bytes += len(data)
        self.sendString(data)

    def stringReceived(self, string: bytes) -> None:
        try:
            self.transferred_bytes += len(string)
            message = wire.decode_frame(self.peers.authenticator.verify(string), string[0])
            self.message_received(message, self.peers.clock.now_ms())
        except wire.WireError as wire_error:
            self.peers.metrics.add(f"fleet.refused.{wire_error}")
            self.transport.abortConnection()
            return
        self.peers.flush()

    def message_received(self, message: wire.AnyMessage, now_ms: float) -> None:
        """Handles a verified message; raises WireError if it is not expected in this session."""
        raise NotImplementedError


class InboundSession(PeerSession):
    """A session of either kind that another member opened."""

    def on_connected(self) -> None:
        self.send_message(self.peers.view.hello(self.token))

    def message_received(self, message: wire.AnyMessage, now_ms: float) -> None:
        if getattr(message, "token", None) != self.token:
            raise wire.WireError("token")
        # A signed message with our token is no replay, so the peer has a key of the fleet.
        self.MAX_LENGTH = wire.MAX_FRAME_BYTES
        if isinstance(message, wire.SyncRequest):
            self.send_message(self.peers.view.answer_sync(now_ms, message))
        elif isinstance(message, wire.SyncTable):
            self.peers.view.accept_sync(now_ms, message)
            self.transport.loseConnection()
        elif isinstance(message, wire.PartMessage):
            self.peers.part_message_received(now_ms, message)
        else:
            raise wire.WireError("misplaced")


class OutboundSession(PeerSession):
    """An anti-entropy session that this member opened."""

    peer_token = 0  # from the peer's Hello; 0 until that has arrived

    def message_received(self, message: wire.AnyMessage, now_ms: float) -> None:
        if isinstance(message, wire.Hello) and not self.peer_token:
            self.peer_token = message.token
            self.MAX_LENGTH = wire.MAX_FRAME_BYTES
            self.send_message(self.peers.view.begin_sync(now_ms, message, self.token))
        elif isinstance(message, wire.SyncTable) and message.token == self.token:
            self.send_message(self.peers.view.complete_sync(now_ms, message, self.peer_token))
            self.peers.view.charge_sync(self.transferred_bytes)
        else:
            raise wire.WireError("misplaced")


class DeliverySession(PeerSession):
    """A delivery session that this member opened: waits for the peer's Hello and expects no other message."""

    def __init__(self, peers: Peers, run: int) -> None:
        super().__init__(peers)
        self.run = run  # of the receiving member

    def message_received(self, message: wire.AnyMessage, now_ms: float) -> None:
        if not isinstance(message, wire.Hello):
            raise wire.WireError("misplaced")
        queue, sent_bytes = self.peers.queues.get(self.run), 0
        while queue is not None and queue.messages and sent_bytes < MAX_DELIVERY_BYTES:
            part, body = queue.pop()
            sent_bytes += len(body)
            view = self.peers.view
            self.send_message(
                wire.PartMessage(next(view.message_counter), view.run, self.run, message.token, part, body)
            )
        self.transport.loseConnection()


class DeliverySessionFactory(protocol.ClientFactory):
    """Opens one delivery session."""

    noisy = False

    def __init__(self, peers: Peers, run: int) -> None:
        self.peers, self.run = peers, run

    def buildProtocol(self, addr: object) -> DeliverySession:
        return DeliverySession(self.peers, self.run)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self.peers.delivering.discard(self.run)
        self.peers.queues.pop(self.run, None)  # lost like datagrams: each part retransmits what it needs


class MessageQueue:
    """Messages of parts that wait for delivery to one member."""

    __slots__ = ("messages", "size")

    def __init__(self) -> None:
        self.messages: deque[tuple[str, bytes]] = deque()  # (name of the part, body)
        self.size = 0  # bytes of the bodies

    def pop(self) -> tuple[str, bytes]:
        """Removes the oldest message and returns its part's name and its body."""
        part, body = self.messages.popleft()
        self.size -= len(body)
        return part, body


class MessagingPart(Protocol):
    """A part whose messages the fleet transport sends. It does no I/O itself."""

    outbox: list[tuple[int, bytes]]  # messages to be sent: (run of the receiving member, body)
    wake_ms: float  # when `on_timer` is to be called next

    def on_message(self, now_ms: float, run: int, body: bytes) -> None:
        """Handles a signed message from the run of a live member; the body has not been validated."""

    def on_timer(self, now_ms: float) -> None:
        """Does the work that is due; called at `wake_ms`, and possibly earlier or later."""


class PartTransport:
    """Sends and receives the messages of one part, and runs its timer; `add_part` describes `after_flush`."""

    def __init__(self, peers: Peers, name: str, part: MessagingPart, after_flush: Callable[[], None]) -> None:
        self.peers, self.name, self.part, self.after_flush = peers, name, part, after_flush
        self.timer = None

    def message_received(self, now_ms: float, run: int, body: bytes) -> None:
        """Passes a received message to the part and sends what that has queued."""
        self.part.on_message(now_ms, run, body)
        self.flush()

    def timer_fired(self, _: object = None) -> None:
        """Has the part do the work that is due and sends what it has queued."""
        self.timer = None
        if not self.peers.stopped:
            self.part.on_timer(self.peers.clock.now_ms())
            self.flush()

    def flush(self) -> None:
        """Sends what the part has queued and sets its timer."""
        part, peers = self.part, self.peers
        if peers.stopped:
            return
        outgoing, part.outbox = part.outbox, []
        for run, body in outgoing:
            peers.send_part_message(self.name, run, body)
        self.after_flush()
        if self.timer is None or self.timer.callback is None or part.wake_ms < self.timer.due_ms:
            peers.deadlines.cancel(self.timer)
            self.timer = peers.deadlines.call_at(part.wake_ms, self.timer_fired)


class InboundSessionFactory(protocol.Factory):
    """Accepts sessions, up to `MAX_INBOUND_SESSIONS` at a time."""

    noisy = False

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def buildProtocol(self, addr: object) -> InboundSession | None:
        if len(self.peers.inbound) >= MAX_INBOUND_SESSIONS:
            self.peers.metrics.add("fleet.sessions_refused")
            return None
        session = InboundSession(self.peers)
        self.peers.inbound.add(session)
        return session


class OutboundSessionFactory(protocol.ClientFactory):
    """Opens one anti-entropy session."""

    noisy = False

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def buildProtocol(self, addr: object) -> OutboundSession:
        return OutboundSession(self.peers)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self.peers.outbound_count -= 1


class Peers:
    """The fleet transport of one member, and its view of the fleet."""

    def __init__(self, reactor: object, conf: FleetConfig, name: str, metrics: Metrics, log: Log) -> None:
        self.reactor, self.conf, self.name, self.metrics, self.log = reactor, conf, name, metrics, log
        self.clock = FleetClock()
        # By default the reactor's timers use the Unix clock: if that is set back by an hour, they fire an hour late.
        # Timers set before this line would be due by the other clock, so this object is created before any is set.
        reactor.seconds = lambda: time.clock_gettime(CLOCK)
        self.deadlines = Deadlines(self.clock, reactor)
        self.authenticator = wire.Authenticator(conf.keys)  # raises for invalid keys before any port is bound
        self.rng = random.SystemRandom()
        self.inbound: set[PeerSession] = set()
        self.outbound_count = 0  # anti-entropy sessions that this member has open
        self.parts: dict[str, PartTransport] = {}  # by the part's name
        self.queues: dict[int, MessageQueue] = {}  # by the run of the receiving member
        self.delivering: set[int] = set()  # runs to which a delivery session is open
        self.timer = None
        self.stopped = False
        self.datagrams = self.port = self.view = None  # until `start`
        self.history: Callable[..., None] | None = None  # records an event of a fault-injection run

    def start(self, metadata: Callable[[], dict[str, str | int]]) -> None:
        """Binds the TCP and the UDP port and joins the fleet; `metadata` returns this member's current metadata.

        Raises CannotListenError if the address is in use or not available.
        """
        host, port_number = self.conf.listen
        advertise = self.conf.advertise
        try:
            self._bind(host, port_number)
        except error.CannotListenError:
            if advertise != self.conf.listen:
                raise
            # During an upgrade the old process of this proxy still uses the port. Each process is a member of its own,
            # so this one takes a free port and advertises that.
            self._bind(host, 0)
        bound_port = self.port.getHost().port
        if advertise == self.conf.listen:
            advertise = (host, bound_port)
        me = OwnMember(self.name, "{}:{}".format(*advertise), self.conf.zone, metadata())
        self.metadata = metadata
        seeds = tuple("{}:{}".format(*seed) for seed in self.conf.seeds)
        view_class = View
        if self.conf.faulty_variant:
            from leadslip.drill.faulty import VIEW_VARIANTS

            view_class = VIEW_VARIANTS.get(self.conf.faulty_variant, View)
        # The view uses a pseudo-random generator, seeded from the system's.
        rng = random.Random(self.rng.getrandbits(64))
        self.view = view_class(me, seeds, rng, self.metrics, ProtocolTiming(), self.conf.most_members)
        self.authenticator = wire.Authenticator(self.conf.keys, self.view.max_version)
        if self.conf.history:
            from leadslip.fleet import history

            record = history.file_writer(self.conf.history)
            history.record_view(self.view, record)
            self.history = lambda **event: record(event)
        self.view.start(self.clock.now_ms())
        self.flush()
        self.log("fleet.serves", address=me.address, run=f"{self.view.run:016x}")

    def _bind(self, host: str, port_number: int) -> None:
        """Binds TCP and UDP to one port number; 0 lets the system choose one.

        If the one chosen for TCP is in use for UDP, another is tried, up to eight times in all.
        """
        for attempts_left in range(8, 0, -1):
            port = self.reactor.listenTCP(
                port_number, InboundSessionFactory(self), backlog=64, interface=host
            )
            try:
                self.datagrams = PeerDatagrams(self)
                self.udp = self.reactor.listenUDP(
                    port.getHost().port,
                    self.datagrams,
                    interface=host,
                    maxPacketSize=wire.MAX_DATAGRAM_BYTES + 1,
                )
            except error.CannotListenError:
                port.stopListening()
                if port_number or attempts_left == 1:
                    raise
                continue
            self.udp.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self.port = port
            return

    def datagram_received(self, datagram: bytes) -> None:
        """Handles a datagram; nothing in it is used before its signature is verified."""
        try:
            message = wire.decode(self.authenticator.verify(datagram))
        except wire.WireError as wire_error:
            self.metrics.add(f"fleet.refused.{wire_error}")
            return
        if self.stopped:
            return
        now_ms = self.clock.now_ms()
        if isinstance(message, wire.PartMessage):
            if self.view.replay_filter.accept(message.sender_run, message.sequence_number):
                self.part_message_received(now_ms, message)
            else:
                self.metrics.add("fleet.replayed")
            return
        self.view.on_message(now_ms, message)
        self.flush()

    def part_message_received(self, now_ms: float, message: wire.PartMessage) -> None:
        """Passes a message to its part if it is addressed to this run and its sender is the run of a live member."""
        part, sender = self.parts.get(message.part), self.view.table.get(message.sender_run)
        if part is None or message.receiver_run != self.view.run:
            self.metrics.add("fleet.for_another")
        elif sender is None or not sender.live or sender.run != message.sender_run:
            self.metrics.add("fleet.of_no_member")
        else:
            part.message_received(now_ms, message.sender_run, message.body)

    def add_part(self, name: str, part: MessagingPart, after_flush: Callable[[], None]) -> PartTransport:
        """Sends and receives a part's messages from now on, and runs its timer.

        `after_flush` is called each time the part's queued messages have been sent, also if there were none.
        """
        transport = self.parts[name] = PartTransport(self, name, part, after_flush)
        transport.timer_fired()
        return transport

    def send_part_message(self, part: str, run: int, body: bytes) -> None:
        """Sends a part's message to a member: as a datagram if it fits, else over TCP. It may be lost."""
        receiver = self.view.table.get(run)
        if self.stopped or receiver is None or not receiver.live or self.view.version_for(run) < 3:
            self.metrics.add("fleet.unsent")
            return
        if len(body) <= MAX_DATAGRAM_BODY:
            self._send(
                receiver.address,
                wire.PartMessage(next(self.view.message_counter), self.view.run, run, 0, part, body),
            )
            return
        queue = self.queues.setdefault(run, MessageQueue())
        if queue.size + len(body) > MAX_QUEUED_BYTES:
            self.metrics.add("fleet.unsent")
            return
        queue.messages.append((part, body))
        queue.size += len(body)
        self._deliver_queued()

    def _deliver_queued(self) -> None:
        """Opens a delivery session to each member with queued messages, up to `MAX_DELIVERY_CONNECTIONS` in total."""
        for run in list(self.queues):
            receiver = self.view.table.get(run)
            if receiver is None or not receiver.live or not self.queues[run].messages:
                del self.queues[run]
            elif run not in self.delivering and len(self.delivering) < MAX_DELIVERY_CONNECTIONS:
                self.delivering.add(run)
                self._connect(receiver.address, DeliverySessionFactory(self, run))

    def flush(self) -> None:
        """Sends what the view and the parts have queued and sets their timers."""
        if self.stopped:
            return
        outgoing, self.view.outbox = self.view.outbox, []
        for item in outgoing:
            if isinstance(item, StartSync):
                self._open_sync(item.address)
            else:
                self._send(item.address, item.message)
        if self.timer is None or self.timer.callback is None or self.view.wake_ms < self.timer.due_ms:
            self.deadlines.cancel(self.timer)
            self.timer = self.deadlines.call_at(self.view.wake_ms, self._timer_fired)
        for part in self.parts.values():
            part.flush()

    def _timer_fired(self, _: object = None) -> None:
        self.timer = None
        if not self.stopped:
            self.view.on_timer(self.clock.now_ms())
            self.flush()

    def _send(self, address: str, message: wire.AnyMessage) -> None:
        """Sends a message in a datagram."""
        data = self.authenticator.sign(wire.encode(message), self.view.version_for(message.receiver_run))
        if not self.metrics.check_invariant(
            len(data) <= wire.MAX_DATAGRAM_BYTES, "a datagram of the fleet keeps its size"
        ):
            return
        host, _, port = address.rpartition(":")
        try:
            self.datagrams.transport.write(data, (host, int(port)))
        except (OSError, ValueError):  # no route, full send buffer, bad address: lost like any datagram
            self.metrics.add("fleet.unsent")

    def _open_sync(self, address: str) -> None:
        if self.outbound_count >= MAX_OUTBOUND_SESSIONS:
            self.metrics.add("fleet.sessions_waiting")
            return
        self.outbound_count += 1
        self._connect(address, OutboundSessionFactory(self))

    def _connect(self, address: str, factory: protocol.ClientFactory) -> None:
        host, _, port = address.rpartition(":")
        bind_address = self.conf.listen[0], 0
        self.reactor.connectTCP(
            host, int(port), factory, timeout=SESSION_TIMEOUT_MS / 1000.0, bindAddress=bind_address
        )

    def session_ended(self, session: PeerSession) -> None:
        """Removes a session whose connection has closed."""
        if session in self.inbound:
            self.inbound.discard(session)
        elif isinstance(session, DeliverySession):
            self.delivering.discard(session.run)
            if not self.stopped:
                self._deliver_queued()
        else:
            self.outbound_count -= 1

    def publish_metadata(self) -> None:
        """Disseminates this member's metadata if it has changed."""
        if self.view is not None and not self.stopped:
            self.view.set_metadata(self.clock.now_ms(), self.metadata())
            self.flush()

    def replace_keys(self, keys: tuple[bytes, ...]) -> None:
        """Signs with the first of these keys from now on, and accepts signatures by any of them."""
        self.authenticator = wire.Authenticator(keys, self.authenticator.max_version)

    def stop(self) -> None:
        """Leaves the fleet, stops accepting sessions and closes the inbound ones; does nothing more from then on."""
        if self.view is None or self.stopped:
            return
        for part in list(self.parts.values()):
            part.timer_fired()  # sends the parts' last messages before this member leaves
        self.view.leave(self.clock.now_ms())
        self.flush()
        self.stopped = True
        self.deadlines.cancel(self.timer)
        self.port.stopListening()
        for session in list(self.inbound):
            session.transport.loseConnection()
