"""Members of the fleet: datagrams over UDP, what does not fit over TCP, at one number. Off unless configured.

Brings what arrives to the View and sends what it gives; decides nothing. Others are reached at the address that they
advertise and never at a datagram's source; outgoing connections leave from the IP of `listen`. Time is the system's
CLOCK_BOOTTIME, which goes on while a process or a machine is stopped and knows no jumps.
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

from leadslip.checks import Tally
from leadslip.deadlines import Deadlines
from leadslip.fleet import wire
from leadslip.fleet.view.view import Compare, Me, Pace, View
from leadslip.logs import Log

if TYPE_CHECKING:
    from leadslip.parts.fleet.settings import FleetConfig

CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
SESSION_MS = 3000.0  # a comparison takes so long at the most
MOST_TAKEN, MOST_MADE = 16, 2  # comparisons under way that others began, and that we began
MOST_ASK = 16 * 1024  # bytes of a frame, until its sender has shown that it holds the key
MOST_CARRYING = 8  # connections under way that bring messages of other parts to others
MOST_WAITING = 4 << 20  # bytes of such messages that may wait for one member
MOST_BATCH = 1 << 20  # bytes of them that one connection brings
CARRIED_ROOM = wire.MOST_DATAGRAM - wire.SEAL_SIZE - 60  # bytes of such a message that go as a datagram
RECEIVE_BUFFER = 1 << 20  # bytes of datagrams that may wait while this process is busy or stopped


class FleetClock:
    """Milliseconds since the machine started, stopped time and all."""

    def now_ms(self) -> float:
        return time.clock_gettime(CLOCK) * 1000.0


class PeerDatagrams(protocol.DatagramProtocol):
    """The one UDP port."""

    noisy = False

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        if len(datagram) > wire.MOST_DATAGRAM:
            self.peers.tally.add("fleet.refused.long")
        else:
            self.peers.arrived(datagram)

    def connectionRefused(self) -> None:
        """Nobody listens there; the probe's time tells."""


class PeerLink(Int32StringReceiver):
    """One comparison: Hello, SyncAsk, SyncTable and SyncTable, each a sealed frame; a fault ends it."""

    MAX_LENGTH = MOST_ASK

    def __init__(self, peers: Peers) -> None:
        self.peers = peers
        self.moved = 0  # bytes, both ways
        self.token = random.SystemRandom().getrandbits(63)
        self.overdue = None

    def connectionMade(self) -> None:
        deadlines = self.peers.deadlines
        self.transport.setTcpNoDelay(True)  # else a second frame waits for the first to be acknowledged
        self.overdue = deadlines.at(deadlines.clock.now_ms() + SESSION_MS, self.too_late)
        self.begin()

    def begin(self) -> None:
        """The connection is up."""

    def too_late(self, _: object = None) -> None:
        self.peers.tally.add("fleet.sessions_late")
        self.transport.abortConnection()

    def connectionLost(self, reason: object = None) -> None:
        self.peers.deadlines.cancel(self.overdue)
        self.peers.ended(self)

    def lengthLimitExceeded(self, length: int) -> None:
        self.peers.tally.add("fleet.refused.long")
        self.transport.abortConnection()

    def say(self, message: wire.Any) -> None:
        peers = self.peers
        version = peers.view.version_for(message.to)
        data = peers.seal.close(wire.frame(message, version), version)
        self.moved += len(data)
        self.sendString(data)

    def stringReceived(self, string: bytes) -> None:
        try:
            self.moved += len(string)
            message = wire.unframe(self.peers.seal.open(string), string[0])
            self.told(message, self.peers.clock.now_ms())
        except wire.WireError as fault:
            self.peers.tally.add(f"fleet.refused.{fault}")
            self.transport.abortConnection()
            return
        self.peers.flush()

    def told(self, message: wire.Any, now_ms: float) -> None:
        raise NotImplementedError


class TakenLink(PeerLink):
    """One that another began."""

    def begin(self) -> None:
        self.say(self.peers.view.hello(self.token))

    def told(self, message: wire.Any, now_ms: float) -> None:
        if getattr(message, "token", None) != self.token:
            raise wire.WireError("token")
        self.MAX_LENGTH = wire.MOST_FRAME  # who repeats our token under the key is a member
        if isinstance(message, wire.SyncAsk):
            self.say(self.peers.view.answer(now_ms, message))
        elif isinstance(message, wire.SyncTable):
            self.peers.view.given(now_ms, message)
            self.transport.loseConnection()
        elif isinstance(message, wire.Carried):
            self.peers.carried(now_ms, message)
        else:
            raise wire.WireError("misplaced")


class MadeLink(PeerLink):
    """One that we began."""

    asked = 0  # the taker's token, once it has told it

    def told(self, message: wire.Any, now_ms: float) -> None:
        if isinstance(message, wire.Hello) and not self.asked:
            self.asked = message.token
            self.MAX_LENGTH = wire.MOST_FRAME
            self.say(self.peers.view.ask(now_ms, message, self.token))
        elif isinstance(message, wire.SyncTable) and message.token == self.token:
            self.say(self.peers.view.compared(now_ms, message, self.asked))
            self.peers.view.spent(self.moved)
        else:
            raise wire.WireError("misplaced")


class CarryLink(PeerLink):
    """One that brings messages of other parts to a member; its taker's Hello is waited for, and nothing else."""

    def __init__(self, peers: Peers, run: int) -> None:
        super().__init__(peers)
        self.run = run

    def told(self, message: wire.Any, now_ms: float) -> None:
        if not isinstance(message, wire.Hello):
            raise wire.WireError("misplaced")
        waiting, size = self.peers.outbox.get(self.run), 0
        while waiting is not None and waiting.messages and size < MOST_BATCH:
            part, body = waiting.next()
            size += len(body)
            view = self.peers.view
            self.say(wire.Carried(next(view.counts), view.run, self.run, message.token, part, body))
        self.transport.loseConnection()


class CarryLinks(protocol.ClientFactory):
    """Begins one of them."""

    noisy = False

    def __init__(self, peers: Peers, run: int) -> None:
        self.peers, self.run = peers, run

    def buildProtocol(self, addr: object) -> CarryLink:
        return CarryLink(self.peers, self.run)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self.peers.carrying.discard(self.run)
        self.peers.outbox.pop(self.run, None)  # lost, as datagrams are: each part sends anew what matters


class Waiting:
    """Messages of other parts that wait for a connection to one member."""

    __slots__ = ("messages", "size")

    def __init__(self) -> None:
        self.messages: deque[tuple[str, bytes]] = deque()
        self.size = 0

    def next(self) -> tuple[str, bytes]:
        part, body = self.messages.popleft()
        self.size -= len(body)
        return part, body


class Party(Protocol):
    """A part of the fleet whose messages are carried here; no I/O. It gives messages in `out`, each for a run."""

    out: list[tuple[int, bytes]]
    wake_ms: float

    def received(self, now_ms: float, run: int, body: bytes) -> None:
        """A member's message, signed and of a run that lives; what it holds is still to be checked."""

    def due(self, now_ms: float) -> None:
        """Do what is due; to be called at wake_ms, and no harm if sooner or later."""


class Carrier:
    """Brings one part's messages, and wakes it."""

    def __init__(self, peers: Peers, name: str, party: Party, after: Callable[[], None]) -> None:
        self.peers, self.name, self.party, self.after = peers, name, party, after
        self.wake = None

    def arrived(self, now_ms: float, run: int, body: bytes) -> None:
        self.party.received(now_ms, run, body)
        self.flush()

    def due(self, _: object = None) -> None:
        self.wake = None
        if not self.peers.stopped:
            self.party.due(self.peers.clock.now_ms())
            self.flush()

    def flush(self) -> None:
        """Send what it gives, and be woken when it asks."""
        party, peers = self.party, self.peers
        if peers.stopped:
            return
        out, party.out = party.out, []
        for run, body in out:
            peers.carry(self.name, run, body)
        self.after()
        if self.wake is None or self.wake.work is None or party.wake_ms < self.wake.due_ms:
            peers.deadlines.cancel(self.wake)
            self.wake = peers.deadlines.at(party.wake_ms, self.due)


class TakenLinks(protocol.Factory):
    """Takes comparisons, so many at a time."""

    noisy = False

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def buildProtocol(self, addr: object) -> TakenLink | None:
        if len(self.peers.taken) >= MOST_TAKEN:
            self.peers.tally.add("fleet.sessions_refused")
            return None
        link = TakenLink(self.peers)
        self.peers.taken.add(link)
        return link


class MadeLinks(protocol.ClientFactory):
    """Begins one comparison."""

    noisy = False

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def buildProtocol(self, addr: object) -> MadeLink:
        return MadeLink(self.peers)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self.peers.making -= 1


class Peers:
    """The transport of one member, and its view."""

    def __init__(self, reactor: object, conf: FleetConfig, name: str, tally: Tally, log: Log) -> None:
        self.reactor, self.conf, self.name, self.tally, self.log = reactor, conf, name, tally, log
        self.clock = FleetClock()
        # Guards against a Unix clock that jumps: the reactor's timers would wait out an hour that never was. Timers
        # set before would go by the other clock: this is made before there are any.
        reactor.seconds = lambda: time.clock_gettime(CLOCK)
        self.deadlines = Deadlines(self.clock, reactor)
        self.seal = wire.Seal(conf.keys)  # refuses bad ones before anything is bound
        self.draw = random.SystemRandom()
        self.taken: set[PeerLink] = set()
        self.making = 0
        self.parts: dict[str, Carrier] = {}  # that messages are carried for, by name
        self.outbox: dict[int, Waiting] = {}
        self.carrying: set[int] = set()
        self.wake = None
        self.stopped = False
        self.datagrams = self.port = self.view = None
        self.history: Callable[..., None] | None = None  # where a drill wants written what was done

    def start(self, facts: Callable[[], dict[str, str | int]]) -> None:
        """Bind both, TCP first, and join, `facts` telling of this member.

        Raises CannotListenError where the address can't be had.
        """
        host, number = self.conf.listen
        advertise = self.conf.advertise
        try:
            self._bind(host, number)
        except error.CannotListenError:
            if advertise != self.conf.listen:
                raise
            # Another run of this proxy holds it, as during an upgrade: two runs are two members.
            self._bind(host, 0)
        bound = self.port.getHost().port
        if advertise == self.conf.listen:
            advertise = (host, bound)
        me = Me(self.name, "{}:{}".format(*advertise), self.conf.zone, facts())
        self.facts = facts
        seeds = tuple("{}:{}".format(*seed) for seed in self.conf.seeds)
        kind = View
        if self.conf.broken:
            from leadslip.drill.broken import KINDS

            kind = KINDS.get(self.conf.broken, View)
        # The view draws from a generator of its own; only its seed comes from the system.
        draw = random.Random(self.draw.getrandbits(64))
        self.view = kind(me, seeds, draw, self.tally, Pace(), self.conf.most_members)
        self.seal = wire.Seal(self.conf.keys, self.view.speaks)
        if self.conf.history:
            from leadslip.fleet import history

            keep = history.to_file(self.conf.history)
            history.follow(self.view, keep)
            self.history = lambda **told: keep(told)
        self.view.start(self.clock.now_ms())
        self.flush()
        self.log("fleet.serves", address=me.address, run=f"{self.view.run:016x}")

    def _bind(self, host: str, number: int) -> None:
        """One number for both; a number that the system drew may be taken over UDP, then another is drawn."""
        for left in range(8, 0, -1):
            port = self.reactor.listenTCP(number, TakenLinks(self), backlog=64, interface=host)
            try:
                self.datagrams = PeerDatagrams(self)
                self.udp = self.reactor.listenUDP(
                    port.getHost().port, self.datagrams, interface=host, maxPacketSize=wire.MOST_DATAGRAM + 1
                )
            except error.CannotListenError:
                port.stopListening()
                if number or left == 1:
                    raise
                continue
            self.udp.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            self.port = port
            return

    def arrived(self, datagram: bytes) -> None:
        """One datagram: nothing of it counts before its seal does."""
        try:
            message = wire.decode(self.seal.open(datagram))
        except wire.WireError as fault:
            self.tally.add(f"fleet.refused.{fault}")
            return
        if self.stopped:
            return
        now_ms = self.clock.now_ms()
        if isinstance(message, wire.Carried):
            if self.view.heard.fresh(message.run, message.count):
                self.carried(now_ms, message)
            else:
                self.tally.add("fleet.replayed")
            return
        self.view.received(now_ms, message)
        self.flush()

    def carried(self, now_ms: float, message: wire.Carried) -> None:
        """A message for another part: only for the life we live, and of one that we hold alive."""
        part, held = self.parts.get(message.part), self.view.table.get(message.run)
        if part is None or message.to != self.view.run:
            self.tally.add("fleet.for_another")
        elif held is None or not held.live or held.run != message.run:
            self.tally.add("fleet.of_no_member")
        else:
            part.arrived(now_ms, message.run, message.body)

    def join(self, name: str, party: Party, after: Callable[[], None]) -> Carrier:
        """Carry a part's messages from here on; `after` is called whenever it has had something to do."""
        held = self.parts[name] = Carrier(self, name, party, after)
        held.due()
        return held

    def carry(self, part: str, run: int, body: bytes) -> None:
        """Bring another part's message to a member: as a datagram where it fits, else over TCP. It may be lost."""
        held = self.view.table.get(run)
        if self.stopped or held is None or not held.live or self.view.version_for(run) < 3:
            self.tally.add("fleet.unsent")
            return
        if len(body) <= CARRIED_ROOM:
            self._send(held.address, wire.Carried(next(self.view.counts), self.view.run, run, 0, part, body))
            return
        waiting = self.outbox.setdefault(run, Waiting())
        if waiting.size + len(body) > MOST_WAITING:
            self.tally.add("fleet.unsent")
            return
        waiting.messages.append((part, body))
        waiting.size += len(body)
        self._bring()

    def _bring(self) -> None:
        """Connect to those for whom messages wait, one connection to each and so many at a time."""
        for run in list(self.outbox):
            held = self.view.table.get(run)
            if held is None or not held.live or not self.outbox[run].messages:
                del self.outbox[run]
            elif run not in self.carrying and len(self.carrying) < MOST_CARRYING:
                self.carrying.add(run)
                self._connect(held.address, CarryLinks(self, run))

    def flush(self) -> None:
        """Send what the view gives, and be woken when it asks."""
        if self.stopped:
            return
        out, self.view.out = self.view.out, []
        for one in out:
            if isinstance(one, Compare):
                self._compare(one.address)
            else:
                self._send(one.address, one.message)
        if self.wake is None or self.wake.work is None or self.view.wake_ms < self.wake.due_ms:
            self.deadlines.cancel(self.wake)
            self.wake = self.deadlines.at(self.view.wake_ms, self._due)
        for part in self.parts.values():
            part.flush()

    def _due(self, _: object = None) -> None:
        self.wake = None
        if not self.stopped:
            self.view.due(self.clock.now_ms())
            self.flush()

    def _send(self, address: str, message: wire.Any) -> None:
        data = self.seal.close(wire.encode(message), self.view.version_for(message.to))
        if not self.tally.must(len(data) <= wire.MOST_DATAGRAM, "a datagram of the fleet keeps its size"):
            return
        host, _, port = address.rpartition(":")
        try:
            self.datagrams.transport.write(data, (host, int(port)))
        except (OSError, ValueError):  # no way there, or no room: lost, as datagrams are
            self.tally.add("fleet.unsent")

    def _compare(self, address: str) -> None:
        if self.making >= MOST_MADE:
            self.tally.add("fleet.sessions_waiting")
            return
        self.making += 1
        self._connect(address, MadeLinks(self))

    def _connect(self, address: str, factory: protocol.ClientFactory) -> None:
        host, _, port = address.rpartition(":")
        bind = self.conf.listen[0], 0
        self.reactor.connectTCP(host, int(port), factory, timeout=SESSION_MS / 1000.0, bindAddress=bind)

    def ended(self, link: PeerLink) -> None:
        """A comparison is over."""
        if link in self.taken:
            self.taken.discard(link)
        elif isinstance(link, CarryLink):
            self.carrying.discard(link.run)
            if not self.stopped:
                self._bring()
        else:
            self.making -= 1

    def tell_facts(self) -> None:
        """Spread what is to be told of this member, if it has changed."""
        if self.view is not None and not self.stopped:
            self.view.change_facts(self.clock.now_ms(), self.facts())
            self.flush()

    def rekey(self, keys: tuple[bytes, ...]) -> None:
        """Sign with the first of these keys from now on, and take them all."""
        self.seal = wire.Seal(keys, self.seal.speaks)

    def stop(self) -> None:
        """Leave in good order."""
        if self.view is None or self.stopped:
            return
        for part in list(self.parts.values()):
            part.due()  # what has happened last goes out before we leave
        self.view.leave(self.clock.now_ms())
        self.flush()
        self.stopped = True
        self.deadlines.cancel(self.wake)
        self.port.stopListening()
        for link in list(self.taken):
            link.transport.loseConnection()
