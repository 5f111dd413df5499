"""TCP connections: zero-copy message framing, shared listeners, and detection of stalled peers.

Twisted's own receivers copy the rest of the buffer for every message. The receivers here derive from them and keep
their callbacks, but pass on memoryview slices and copy only the unfinished tail of a read.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable

from twisted.internet import error, interfaces, protocol, tcp
from twisted.protocols.basic import Int16StringReceiver, LineReceiver
from zope.interface import implementer

from leadslip.metrics import Metrics

MAX_MESSAGE_BYTES = 16 * 1024  # the protocol's limit
WRITE_STALL_TIMEOUT_MS = 2000.0  # for a peer to resume reading what was written to it
READ_BYTES = 64 * 1024  # of one read, as in Twisted
PEER_CLOSED_STATES = (7, 8)  # of Linux's TCP_INFO: TCP_CLOSE, after a reset, and TCP_CLOSE_WAIT


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

    def peer_has_closed(self) -> bool:
        """Returns whether the peer has closed the connection, however much that it has sent before is unread."""
        try:
            state = self.transport.getHandle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return False  # unknown: it is noticed once everything before it is read
        return state[0] in PEER_CLOSED_STATES

    def read_available(self, max_bytes: int = READ_BYTES) -> bytes | None:
        """Reads data that has arrived in the socket; returns b"" at the end of the connection, None without data."""
        try:
            return self.transport.getHandle().recv(max_bytes)
        except BlockingIOError:
            return None
        except OSError:  # reset
            return b""


class TextMessageReceiver(Connection, LineReceiver):
    """Receives text messages: a header block that ends with an empty line, and a body of the length it declares."""

    delimiter = b"\r\n\r\n"
    MAX_LENGTH = MAX_MESSAGE_BYTES
    _expected_bytes = (
        0  # size of the incomplete message in the buffer; 0: not known, as its header is incomplete
    )

    def dataReceived(self, data: bytes) -> None:
        if self._buffer:
            data = self._buffer + data
            if len(data) < self._expected_bytes:
                self._buffer = data  # otherwise a slow writer would have its header parsed at each read
                return
        self._expected_bytes = 0
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
                    self._expected_bytes = body_offset + length - offset
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
