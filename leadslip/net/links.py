"""What all connections share: framing by slices of the buffer read into, and bounds on stalled peers.

Twisted's own receivers copy what is left of the buffer for every line; these keep their classes and callbacks
but hand out memoryview slices, and copy only the unfinished tail of a read.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections import OrderedDict
from collections.abc import Callable

from twisted.internet import error, interfaces, protocol, tcp
from twisted.protocols.basic import Int16StringReceiver, LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from leadslip.checks import Tally
from leadslip.core import Deadlines

MAX_MESSAGE = 16 * 1024  # bytes of one message; the protocol's cap
FIRST_MS = 2000.0  # in so long a peer has to bring its first message, and to finish any
IDLE_MS = 15_000.0  # for so long a connection may stay open with nothing due on it
LOOK_MS = 200.0  # between two looks at the connections taken
STALLED_MS = 2000.0  # for so long a peer may leave what we wrote unread
SPARE_MS = 500.0  # so long a connection beyond the bound has to say what it is told to come again with
READ = 64 * 1024  # bytes of one read, as Twisted's; and of all that is taken from a connection in one turn
READS_ON = 4  # reads that may follow on one before what came of it is offered


def listen_shared(
    reactor: object, address: tuple[str, int], factory: protocol.Factory, backlog: int
) -> tcp.Port:
    """Listen at an address that another process may bind as well (SO_REUSEPORT), as during an upgrade.

    The kernel then spreads new connections over all that listen there. Raises CannotListenError.
    """
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    shared = socket.socket(family, socket.SOCK_STREAM)
    try:
        shared.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        shared.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        shared.bind((host, port))
        shared.listen(backlog)
        shared.setblocking(False)
        return reactor.adoptStreamPort(shared.fileno(), family, factory)  # takes a copy of the descriptor
    except OSError as fault:
        raise error.CannotListenError(host, port, fault) from fault
    finally:
        shared.close()


def stop_shared(port: tcp.Port) -> None:
    """Take no more connections here, and lose none that wait: those are taken, then the socket stops listening.

    Guards against connections reset in the queue of a socket that closes while another process shares its
    address: between the last accept and the shutdown, which follow each other at once, nothing can land here.
    """
    port.stopReading()
    port.numberAccepts = 1 << 16
    port.doRead()
    with contextlib.suppress(OSError):  # not listening any more
        port.socket.shutdown(socket.SHUT_RDWR)
    port.stopListening()


class MessageError(Exception):
    """A message that the protocol does not allow."""


@implementer(interfaces.IPushProducer)
class Link:
    """One connection: counts a malformed message and closes itself alone; notices a peer that won't read."""

    tally: Tally
    peer_kind = "peer"
    now_ms: Callable[[], float]
    stalled_ms = 0.0  # since when the peer has left our bytes unread; 0: it has not
    partial_ms = 0.0  # since when a message has been unfinished, however much of it comes; 0: none is

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.tally.add(f"{self.peer_kind}.connections")

    def pauseProducing(self) -> None:
        self.stalled_ms = self.now_ms()

    def resumeProducing(self) -> None:
        self.stalled_ms = 0.0

    def stopProducing(self) -> None:
        """The transport is closing; connectionLost follows."""

    def left_over(self, tail: bytes, begun: bool) -> bytes:
        """Keep what is unfinished of a read; `begun` tells that it began in this read."""
        if not tail:
            self.partial_ms = 0.0
        elif begun or not self.partial_ms:
            self.partial_ms = self.now_ms()
        return tail

    def say(self, *parts: bytes | memoryview) -> bool:
        """Write one message; a peer that has not read for long is cut off, so that buffers stay bounded."""
        if self.stalled_ms and self.now_ms() - self.stalled_ms > STALLED_MS:
            self.tally.add(f"{self.peer_kind}.stalled")
            self.transport.abortConnection()
            return False
        self.transport.write(b"".join(parts))
        return True

    def flush(self) -> None:
        """Hand what was written to the system now, not at the reactor's next turn."""
        if not self.transport.disconnecting:
            self.transport.doWrite()  # an error of it is met again at that turn, and handled there

    def blocked(self) -> bool:
        """Whether the system took no more at the last flush: what is written now would wait here."""
        return bool(self.stalled_ms or self.transport.dataBuffer)

    def malformed(self, fault: MessageError) -> None:
        self.tally.add(f"{self.peer_kind}.malformed")
        self.transport.abortConnection()

    def receive(self, most: int = READ) -> bytes | None:
        """What waits in the socket, not read yet; empty where the connection has ended, None where nothing waits."""
        try:
            return self.transport.getHandle().recv(most)
        except BlockingIOError:
            return None
        except OSError:  # reset
            return b""


class AcceptedLink(Link):
    """A connection that a front has taken; its messages are told to the front's AcceptedLinks."""

    accepted: AcceptedLinks
    opened_ms = 0.0
    heard_ms = 0.0  # when its last whole message came; 0: none has
    reading = False  # what has been read is being taken
    spare = False  # taken beyond the bound: told to come again, and closed

    def connectionMade(self) -> None:
        self.opened_ms = self.now_ms()
        self.spare = len(self.accepted.held) >= self.accepted.most
        self.accepted.held[self] = self.accepted.silent[self] = None
        super().connectionMade()

    def connectionLost(self, reason: object = None) -> None:
        self.accepted.ended(self)

    def dataReceived(self, data: bytes) -> None:
        """Take a read and, where requests have come of it, whatever follows it already; then let them be offered.

        Guards against servers working on requests withdrawn or left since: what tells it may lie right behind. In all
        no more is taken than one read may bring, so that a flood does not hold up everybody else for longer.
        """
        self.reading = True
        left = READ - len(data)
        try:
            super().dataReceived(data)
            for _ in range(READS_ON):
                if left <= 0 or not self.asking() or self not in self.accepted.held:
                    break
                more = self.receive(left)
                if more is None:
                    break
                if not more:
                    self.accepted.close(self)
                    return
                left -= len(more)
                super().dataReceived(more)
            self.read()
        finally:
            self.reading = False

    def asking(self) -> bool:
        """Whether requests have been read that are not offered yet."""
        return False

    def read(self) -> None:
        """All that had come has been taken."""

    def catch_up(self) -> None:
        """Take what has come meanwhile and is not read yet: its peer may have spoken, or gone."""
        if self.reading or self not in self.accepted.held or self.transport.disconnecting:
            return
        data = self.receive()
        if data:
            self.dataReceived(data)
        elif data is not None:
            self.accepted.close(self)

    def heard(self) -> None:
        """A whole message has come."""
        self.heard_ms = self.now_ms()
        if self in self.accepted.held:
            self.accepted.held.move_to_end(self)
        self.accepted.silent.pop(self, None)

    def busy(self) -> bool:
        """Whether it is owed an answer."""
        raise NotImplementedError

    def left(self) -> None:
        """It has gone, or is being closed: what it was owed is not any more."""
        raise NotImplementedError


class AcceptedLinks:
    """The connections that a front has taken: bounds on their number, on silence and on half a message.

    Guards against descriptors and memory held by peers that say nothing, ask once and stay, or never finish;
    where connections run short these go first, so that who has something to say is let in. Where all are owed an
    answer a few more are taken beyond the bound, to be told so and closed: `spare` of them.
    """

    def __init__(self, tally: Tally, kind: str, most: int, deadlines: Deadlines, spare: int = 0) -> None:
        self.tally, self.kind, self.most, self.deadlines, self.spare = tally, kind, most, deadlines, spare
        self.held: OrderedDict[AcceptedLink, None] = OrderedDict()  # the least lately heard first
        self.silent: OrderedDict[AcceptedLink, None] = OrderedDict()  # those not heard yet, oldest first
        self.closing: dict[AcceptedLink, float] = {}  # what was written on them is not out yet -> closed when
        self.look()

    def room(self) -> bool:
        """Whether one more is taken; the one that needs its place least may be closed for it."""
        if len(self.held) < self.most:
            return True
        found = self._needs_least()
        self.tally.add(f"{self.kind}.over_limit")
        if found is not None and not found.heard_ms:
            # Its descriptor is free at once. Guards against running out of them where hundreds come in one turn.
            found.transport.connectionLost(Failure(error.ConnectionAborted()))
        elif found is not None:
            self.close(found)
        return len(self.held) + len(self.closing) < self.most + self.spare

    def _needs_least(self) -> AcceptedLink | None:
        """One that has said nothing, else the least lately heard that is owed nothing, else one that is unfinished."""
        unfinished = None
        for links in (self.silent, self.held):
            for link in list(links):
                if link.busy():
                    continue
                if link.partial_ms:
                    unfinished = unfinished or link
                elif self._still(link):
                    return link
        return unfinished

    def _still(self, link: AcceptedLink) -> bool:
        """Whether a connection is still without anything to say, once what has come on it is read.

        Guards against closing one under a message that lies unread: who sent it is owed an answer.
        """
        heard_ms = link.heard_ms
        link.catch_up()
        return link in self.held and not link.busy() and link.heard_ms == heard_ms

    def close(self, link: AcceptedLink) -> None:
        """Close one once what was written on it is out; it counts as gone from now on."""
        link.transport.loseConnection()
        if link in self.held:
            self.closing[link] = self.deadlines.clock.now_ms()
        self.remove(link)

    def remove(self, link: AcceptedLink) -> None:
        """It has gone; told once."""
        self.silent.pop(link, None)
        if link in self.held:
            del self.held[link]
            link.left()

    def ended(self, link: AcceptedLink) -> None:
        """Its socket has closed."""
        self.closing.pop(link, None)
        self.remove(link)

    def look(self, _: object = None) -> None:
        """Close who has been silent or idle for too long, or does not finish a message."""
        now_ms = self.deadlines.clock.now_ms()
        for link, since_ms in list(self.closing.items()):
            if now_ms - since_ms > STALLED_MS:
                link.transport.abortConnection()  # its peer does not read what is due to it
        for link in list(self.held):
            if not link.heard_ms and now_ms - link.opened_ms > (SPARE_MS if link.spare else FIRST_MS):
                self.tally.add(f"{self.kind}.silent")
            elif link.partial_ms and now_ms - link.partial_ms > FIRST_MS:
                self.tally.add(f"{self.kind}.unfinished")
            elif link.heard_ms and now_ms - link.heard_ms > IDLE_MS and not link.busy():
                self.tally.add(f"{self.kind}.idle")
            else:
                continue
            if self._still(link):
                self.close(link)
        self.deadlines.at(now_ms + LOOK_MS, self.look)


class HeadReceiver(Link, LineReceiver):
    """Text messages: a head that ends with an empty line, and a body of the length that the head tells."""

    delimiter = b"\r\n\r\n"
    MAX_LENGTH = MAX_MESSAGE

    def dataReceived(self, data: bytes) -> None:
        if self._buffer:
            data = self._buffer + data
        view, at, size = memoryview(data), 0, len(data)
        try:
            while at < size and not self.transport.disconnecting:
                if data.startswith(b"\r\n", at):
                    at += 2  # an empty line between messages keeps a connection alive
                    continue
                end = data.find(b"\r\n\r\n", at)
                if end < 0:
                    if size - at > MAX_MESSAGE:
                        raise MessageError("too long")
                    break
                body_at = end + 4
                length = self.body_length(view[at : end + 2])
                if body_at + length - at > MAX_MESSAGE:
                    raise MessageError("too long")
                if body_at + length > size:
                    break
                self.messageReceived(view[at : end + 2], view[body_at : body_at + length])
                at = body_at + length
        except MessageError as fault:
            self._buffer = b""
            self.malformed(fault)
            return
        self._buffer = self.left_over(data[at:], begun=at > 0)

    def body_length(self, head: memoryview) -> int:
        raise NotImplementedError

    def messageReceived(self, head: memoryview, body: memoryview) -> None:
        raise NotImplementedError


class SliceReceiver(Link, Int16StringReceiver):
    """Binary messages behind a length of two bytes."""

    MAX_LENGTH = MAX_MESSAGE
    _unprocessed = b""

    def dataReceived(self, data: bytes) -> None:
        if self._unprocessed:
            data = self._unprocessed + data
        view, at, size = memoryview(data), 0, len(data)
        try:
            while size - at >= 2 and not self.transport.disconnecting:
                (length,) = struct.unpack_from("!H", data, at)
                if length + 2 > MAX_MESSAGE:
                    raise MessageError("too long")
                if size - at - 2 < length:
                    break
                self.stringReceived(view[at + 2 : at + 2 + length])
                at += 2 + length
        except MessageError as fault:
            self._unprocessed = b""
            self.malformed(fault)
            return
        self._unprocessed = self.left_over(data[at:], begun=at > 0)
