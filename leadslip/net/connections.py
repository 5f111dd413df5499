"""TCP connections: zero-copy message framing, limits on inbound connections, and detection of stalled peers.

Twisted's own receivers copy the rest of the buffer for every message. The receivers here derive from them and keep
their callbacks, but pass on memoryview slices and copy only the unfinished tail of a read.
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

from leadslip.core import Deadlines
from leadslip.logs import Log, discard
from leadslip.metrics import Metrics

MAX_MESSAGE_BYTES = 16 * 1024  # the protocol's limit
FIRST_MESSAGE_TIMEOUT_MS = 2000.0  # for a peer to send its first message, and to finish any message
IDLE_TIMEOUT_MS = 15_000.0  # for a connection without a pending answer and without calls
CHECK_INTERVAL_MS = 200.0
WRITE_STALL_TIMEOUT_MS = 2000.0  # for a peer to resume reading what was written to it
OVERFLOW_TIMEOUT_MS = 500.0  # for a connection over the limit to send the request that is then refused
READ_BYTES = 64 * 1024  # of one read, as in Twisted; also the limit for one connection in one reactor turn
MAX_EXTRA_READS = 4  # further reads of a connection before the requests of its first read are offered


def listen_shared(
    reactor: object, address: tuple[str, int], factory: protocol.Factory, backlog: int
) -> tcp.Port:
    """Listens at an address that another process may bind as well (SO_REUSEPORT), as during an upgrade.

    The kernel then distributes new connections over all listening processes. Raises CannotListenError.
    """
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listening.bind((host, port))
        listening.listen(backlog)
        listening.setblocking(False)
        return reactor.adoptStreamPort(listening.fileno(), family, factory)  # duplicates the descriptor
    except OSError as exc:
        raise error.CannotListenError(host, port, exc) from exc
    finally:
        listening.close()


def stop_shared(port: tcp.Port) -> None:
    """Stops listening without losing queued connections: accepts all of them, then shuts the socket down.

    The kernel resets the connections that are queued at a socket when it is closed, even if another process
    listens at the address. The shutdown directly follows the last accept, so that hardly any can arrive in between.
    """
    port.stopReading()
    port.numberAccepts = 1 << 16
    port.doRead()
    with contextlib.suppress(OSError):  # the socket has stopped listening already
        port.socket.shutdown(socket.SHUT_RDWR)
    port.stopListening()


class MessageError(Exception):
    """A message that violates the protocol."""


@implementer(interfaces.IPushProducer)
class Connection:
    """Base class of all connections: is closed on a malformed message, and detects a peer that stops reading."""

    metrics: Metrics
    peer_kind = "peer"
    now_ms: Callable[[], float]
    stalled_since_ms = 0.0  # since when the peer has not read the data in the write buffer; 0: not stalled
    partial_since_ms = 0.0  # when the current incomplete message began to arrive; 0: none

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.metrics.add(f"{self.peer_kind}.connections")

    def pauseProducing(self) -> None:
        self.stalled_since_ms = self.now_ms()

    def resumeProducing(self) -> None:
        self.stalled_since_ms = 0.0

    def stopProducing(self) -> None:
        """The transport is closing; connectionLost follows."""

    def retain_tail(self, tail: bytes, starts_message: bool) -> bytes:
        """Returns the incomplete message at the end of a read, and records since when it has been incomplete.

        `starts_message`: its first bytes arrived in this read, after a complete message.
        """
        if not tail:
            self.partial_since_ms = 0.0
        elif starts_message or not self.partial_since_ms:
            self.partial_since_ms = self.now_ms()
        return tail

    def send(self, *parts: bytes | memoryview) -> bool:
        """Writes one message; drops a peer that has stopped reading, so that write buffers stay bounded."""
        if self.stalled_since_ms and self.now_ms() - self.stalled_since_ms > WRITE_STALL_TIMEOUT_MS:
            self.metrics.add(f"{self.peer_kind}.stalled")
            self.transport.abortConnection()
            return False
        self.transport.write(b"".join(parts))
        return True

    def flush(self) -> None:
        """Passes the write buffer to the kernel now, not only in the reactor's next turn."""
        if not self.transport.disconnecting:
            self.transport.doWrite()  # an error is ignored here: it recurs in the reactor's next turn, which handles it

    def blocked(self) -> bool:
        """Returns whether the kernel has not accepted all data written, so that more would wait behind the rest."""
        return bool(self.stalled_since_ms or self.transport.dataBuffer)

    def malformed(self, failure: MessageError) -> None:
        """Counts a malformed message, and closes the connection."""
        self.metrics.add(f"{self.peer_kind}.malformed")
        self.transport.abortConnection()

    def read_available(self, max_bytes: int = READ_BYTES) -> bytes | None:
        """Reads data that has arrived in the socket; returns b"" at the end of the connection, None without data."""
        try:
            return self.transport.getHandle().recv(max_bytes)
        except BlockingIOError:
            return None
        except OSError:  # reset
            return b""


class InboundConnection(Connection):
    """An inbound connection from a caller or DNS client; InboundConnections manages its lifetime."""

    inbound: InboundConnections
    opened_ms = 0.0
    last_received_ms = 0.0  # when the last complete message arrived; 0: none yet
    processing_read = False  # dataReceived is running
    overflow = False  # accepted over the limit: its requests are refused, and it is closed
    close_despite_calls = False  # a drain closes it even if calls established on it go on
    unacknowledged_releases = 0  # number of releases of ended calls that were last sent on this connection
    peer_name = ""  # the peer's address and port, for the log

    def connectionMade(self) -> None:
        self.opened_ms = self.now_ms()
        peer = self.transport.getPeer()
        self.peer_name = f"{peer.host}:{peer.port}"
        self.overflow = len(self.inbound.open) >= self.inbound.max_connections
        self.inbound.open[self] = self.inbound.no_message_yet[self] = None
        super().connectionMade()

    def connectionLost(self, reason: object = None) -> None:
        self.inbound.connection_closed(self)

    def dataReceived(self, data: bytes) -> None:
        """Processes a read and, if it contained requests, also data that has arrived since; then offers the requests.

        Prevents servers from working on requests that are already cancelled or whose caller has disconnected: the
        cancellation or the end of the connection may directly follow the request. The total is limited to the size
        of one read, so that a flood does not delay all other connections.
        """
        self.processing_read = True
        left = READ_BYTES - len(data)
        try:
            super().dataReceived(data)
            for _ in range(MAX_EXTRA_READS):
                if left <= 0 or not self.has_new_requests() or self not in self.inbound.open:
                    break
                more = self.read_available(left)
                if more is None:
                    break
                if not more:
                    self.inbound.close(self, "ended")
                    return
                left -= len(more)
                super().dataReceived(more)
            self.read_finished()
        finally:
            self.processing_read = False

    def has_new_requests(self) -> bool:
        """Returns whether requests have been read that are not yet offered to the engine."""
        return False

    def read_finished(self) -> None:
        """Called when all available data has been processed."""

    def read_pending(self) -> None:
        """Processes data that has arrived in the socket; closes the connection if its peer has closed it."""
        if self.processing_read or self not in self.inbound.open or self.transport.disconnecting:
            return
        data = self.read_available()
        if data:
            self.dataReceived(data)
        elif data is not None:
            self.inbound.close(self, "ended")

    def message_received(self) -> None:
        """Records that a complete message has arrived."""
        self.last_received_ms = self.now_ms()
        if self in self.inbound.open:
            self.inbound.open.move_to_end(self)
        self.inbound.no_message_yet.pop(self, None)

    def awaits_answer(self) -> bool:
        """Returns whether an answer is pending on this connection."""
        raise NotImplementedError

    def established_calls(self) -> int:
        """Returns the number of calls that were established on this connection and go on."""
        return 0

    def serves_calls(self) -> bool:
        """Returns whether a call established on this connection goes on, or a release on it is unacknowledged."""
        return bool(self.established_calls() or self.unacknowledged_releases)

    def on_closed(self) -> None:
        """Called once when the connection has closed or starts to close, to drop its pending answers."""
        raise NotImplementedError


class InboundConnections:
    """The inbound connections of one listener: limits their number, and the time without a complete message.

    Prevents peers that send nothing, stay connected after one request or never finish a message from using up
    descriptors and memory; at the limit these are closed first, so that active peers can connect. When an answer is
    pending on every connection, up to `overflow` more are accepted: their requests are refused, and they are closed.
    """

    def __init__(
        self,
        metrics: Metrics,
        peer_kind: str,
        max_connections: int,
        deadlines: Deadlines,
        overflow: int = 0,
        log: Log = discard,
    ) -> None:
        self.log = log
        self.metrics, self.peer_kind, self.max_connections, self.deadlines, self.overflow = (
            metrics,
            peer_kind,
            max_connections,
            deadlines,
            overflow,
        )
        self.open: OrderedDict[InboundConnection, None] = OrderedDict()  # least recently active first
        self.no_message_yet: OrderedDict[InboundConnection, None] = OrderedDict()  # oldest first
        self.closing: dict[InboundConnection, float] = {}  # with data left to send -> when closing began
        self.check_connections()

    def has_capacity(self) -> bool:
        """Returns whether one more connection may be accepted; at the limit, first closes the least useful one."""
        if len(self.open) < self.max_connections:
            return True
        candidate = self._eviction_candidate()
        self.metrics.add(f"{self.peer_kind}.over_limit")
        if candidate is not None and not candidate.last_received_ms:
            # Frees the descriptor now rather than in the reactor's next turn. Prevents running out of descriptors
            # when hundreds of clients connect in one turn.
            self.log_closed(candidate, "over_limit")
            self.remove(candidate)
            candidate.transport.connectionLost(Failure(error.ConnectionAborted()))
        elif candidate is not None:
            self.close(candidate, "over_limit")
        return len(self.open) + len(self.closing) < self.max_connections + self.overflow

    def _eviction_candidate(self) -> InboundConnection | None:
        """Returns the connection to close at the limit, or None if an answer is pending on each.

        Prefers one that has sent no message, then the one idle for longest, then one with a partial message. Only if
        each serves calls, it is the one of these idle for longest: the ends of its calls must then be told on other
        connections.
        """
        unfinished, serving = None, []
        for connections in (self.no_message_yet, self.open):
            for connection in list(connections):
                if connection.awaits_answer():
                    continue
                if connection.serves_calls():
                    serving.append(connection)
                elif connection.partial_since_ms:
                    unfinished = unfinished or connection
                elif self._is_still_idle(connection):
                    return connection
        return unfinished or next(filter(self._is_still_idle, serving), None)

    def _is_still_idle(self, connection: InboundConnection) -> bool:
        """Processes data in the socket of an idle connection; returns whether it is open and idle even then.

        Prevents closing a connection with an unread message in its socket, whose sender awaits an answer.
        """
        last_received_ms = connection.last_received_ms
        connection.read_pending()
        return (
            connection in self.open
            and not connection.awaits_answer()
            and connection.last_received_ms == last_received_ms
        )

    def close(self, connection: InboundConnection, reason: str) -> None:
        """Closes a connection once its write buffer is sent; from now on it does not count as open."""
        if connection in self.open:
            self.log_closed(connection, reason)
            # With a paused producer Twisted would not close the connection once the buffer is sent.
            connection.transport.unregisterProducer()
        connection.transport.loseConnection()
        if connection in self.open:
            self.closing[connection] = self.deadlines.clock.now_ms()
        self.remove(connection)

    def log_closed(self, connection: InboundConnection, reason: str) -> None:
        """Logs at level `debug` why an open connection is closed."""
        now_ms = self.deadlines.clock.now_ms()
        self.log(
            f"{self.peer_kind}.closed",
            level="debug",
            reason=reason,
            peer=connection.peer_name,
            open_ms=round(now_ms - connection.opened_ms),
            awaits_answer=connection.awaits_answer(),
            calls=connection.established_calls(),
        )

    def remove(self, connection: InboundConnection) -> None:
        """Removes a connection from the open ones; calls its `on_closed` once."""
        self.no_message_yet.pop(connection, None)
        if connection in self.open:
            del self.open[connection]
            connection.on_closed()

    def connection_closed(self, connection: InboundConnection) -> None:
        """Called when the socket has closed."""
        if connection in self.open:
            self.log_closed(connection, "ended")
        self.closing.pop(connection, None)
        self.remove(connection)

    def abort_closing(self, older_than_ms: float) -> None:
        """Aborts connections that have been closing for longer: their peers do not read what was sent to them."""
        now_ms = self.deadlines.clock.now_ms()
        for connection, since_ms in list(self.closing.items()):
            if now_ms - since_ms > older_than_ms:
                connection.transport.abortConnection()

    def check_connections(self, _: object = None) -> None:
        """Closes connections that are silent or idle for too long, or that never finish a message."""
        now_ms = self.deadlines.clock.now_ms()
        self.abort_closing(WRITE_STALL_TIMEOUT_MS)
        for connection in list(self.open):
            reason = self._timed_out(connection, now_ms)
            if reason is None:
                continue
            self.metrics.add(f"{self.peer_kind}.{reason}")
            if self._is_still_idle(connection):
                self.close(connection, reason)
        self.deadlines.call_at(now_ms + CHECK_INTERVAL_MS, self.check_connections)

    @staticmethod
    def _timed_out(connection: InboundConnection, now_ms: float) -> str | None:
        """Returns which time-out of a connection has passed, or None."""
        if not connection.last_received_ms:
            limit_ms = OVERFLOW_TIMEOUT_MS if connection.overflow else FIRST_MESSAGE_TIMEOUT_MS
            return "silent" if now_ms - connection.opened_ms > limit_ms else None
        if connection.serves_calls():
            return None
        partial_since_ms = connection.partial_since_ms
        if partial_since_ms and now_ms - partial_since_ms > FIRST_MESSAGE_TIMEOUT_MS:
            return "unfinished"
        idle = now_ms - connection.last_received_ms > IDLE_TIMEOUT_MS and not connection.awaits_answer()
        return "idle" if idle else None


class TextMessageReceiver(Connection, LineReceiver):
    """Receives text messages: a header block that ends with an empty line, and a body of the length it declares."""

    delimiter = b"\r\n\r\n"
    MAX_LENGTH = MAX_MESSAGE_BYTES

    def dataReceived(self, data: bytes) -> None:
        if self._buffer:
            data = self._buffer + data
        view, offset, size = memoryview(data), 0, len(data)
        try:
            while offset < size and not self.transport.disconnecting:
                if data.startswith(b"\r\n", offset):
                    offset += 2  # an empty line between messages is a keep-alive
                    continue
                header_end = data.find(b"\r\n\r\n", offset)
                if header_end < 0:
                    if size - offset > MAX_MESSAGE_BYTES:
                        raise MessageError(f"message header too long: over {MAX_MESSAGE_BYTES} bytes")
                    break
                body_offset = header_end + 4
                length = self.body_length(view[offset : header_end + 2])
                if body_offset + length - offset > MAX_MESSAGE_BYTES:
                    raise MessageError(f"message too long: over {MAX_MESSAGE_BYTES} bytes")
                if body_offset + length > size:
                    break
                self.messageReceived(view[offset : header_end + 2], view[body_offset : body_offset + length])
                offset = body_offset + length
        except MessageError as failure:
            self._buffer = b""
            self.malformed(failure)
            return
        self._buffer = self.retain_tail(data[offset:], starts_message=offset > 0)

    def body_length(self, head: memoryview) -> int:
        """Returns the length of the body that follows a header block; raises MessageError if it can't be known."""
        raise NotImplementedError

    def messageReceived(self, head: memoryview, body: memoryview) -> None:
        """Handles one complete message; raises MessageError if it is malformed."""
        raise NotImplementedError


class LengthPrefixedReceiver(Connection, Int16StringReceiver):
    """Receives binary messages with a length prefix of two bytes, which doesn't count itself."""

    MAX_LENGTH = MAX_MESSAGE_BYTES
    _unprocessed = b""  # the start of an incomplete message

    def dataReceived(self, data: bytes) -> None:
        if self._unprocessed:
            data = self._unprocessed + data
        view, offset, size = memoryview(data), 0, len(data)
        try:
            while size - offset >= 2 and not self.transport.disconnecting:
                (length,) = struct.unpack_from("!H", data, offset)
                if length + 2 > MAX_MESSAGE_BYTES:
                    raise MessageError(f"message too long: {length + 2} of at most {MAX_MESSAGE_BYTES} bytes")
                if size - offset - 2 < length:
                    break
                self.stringReceived(view[offset + 2 : offset + 2 + length])
                offset += 2 + length
        except MessageError as failure:
            self._unprocessed = b""
            self.malformed(failure)
            return
        self._unprocessed = self.retain_tail(data[offset:], starts_message=offset > 0)
