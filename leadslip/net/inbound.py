"""Inbound connections of one listener, from callers or DNS clients: when they are read and when they are closed."""

from __future__ import annotations

from collections import OrderedDict

from twisted.internet import error
from twisted.python.failure import Failure

from leadslip.core import Deadlines
from leadslip.logs import Log, discard
from leadslip.metrics import Metrics
from leadslip.net.connections import READ_BYTES, WRITE_STALL_TIMEOUT_MS, Connection

FIRST_MESSAGE_TIMEOUT_MS = 2000.0  # for a peer to send its first message, and to finish any message
IDLE_TIMEOUT_MS = 15_000.0  # for a connection without a pending answer and without calls
CHECK_INTERVAL_MS = 200.0
OVERFLOW_TIMEOUT_MS = 500.0  # for a connection over the limit to send the request that is then refused
SLICE_BYTES = 4 * 1024  # that are read from one connection and processed in one turn of the reactor


class InboundConnection(Connection):
    """An inbound connection from a caller or DNS client; InboundConnections manages its lifetime."""

    inbound: InboundConnections
    opened_ms = 0.0
    last_received_ms = 0.0  # when the last complete message arrived; 0: none yet
    processing_read = False  # what was read is being processed
    read_ahead = b""  # read from the socket, but not processed yet
    slice_scheduled = False  # a slice of it is processed in the next turn
    unoffered_bytes = 0  # processed since requests were last offered to the engine
    overflow = False  # accepted over the limit: its requests are refused, and it is closed
    close_despite_calls = False  # a drain closes it even if calls established on it go on
    unacknowledged_releases = 0  # number of releases of ended calls that were last sent on this connection
    peer_name = ""  # the peer's address and port, for the log

    def connectionMade(self) -> None:
        self.opened_ms = self.now_ms()
        peer = self.transport.getPeer()
        self.peer_name = f"{peer.host}:{peer.port}"
        self.transport.bufferSize = SLICE_BYTES  # of each read
        self.overflow = len(self.inbound.open) >= self.inbound.max_connections
        self.inbound.open[self] = self.inbound.no_message_yet[self] = None
        super().connectionMade()

    def connectionLost(self, reason: object = None) -> None:
        self.inbound.connection_closed(self)

    def pauseProducing(self) -> None:
        """Reads no more from a peer while what was written to it waits, so that its answers can't fill the memory."""
        super().pauseProducing()
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        super().resumeProducing()
        self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:
        """Processes a read: at most SLICE_BYTES in one turn of the reactor, so that a flood does not delay others."""
        if self.read_ahead:
            self.read_ahead += data
            self._process_read_ahead()
        else:
            self.process(data)

    def _process_read_ahead(self) -> None:
        """Processes the next slice of what has been read ahead."""
        if self.processing_read or self not in self.inbound.open or not self.read_ahead:
            return
        data, self.read_ahead = self.read_ahead[:SLICE_BYTES], self.read_ahead[SLICE_BYTES:]
        self.process(data)
        if self.read_ahead and self in self.inbound.open:
            self.process_rest_in_next_turn()

    def process_rest_in_next_turn(self) -> None:
        """Processes one slice of what has been read ahead in the reactor's next turn."""
        if not self.slice_scheduled:
            self.slice_scheduled = True
            self.inbound.deadlines.call_next_turn(self._process_scheduled_slice)

    def _process_scheduled_slice(self) -> None:
        self.slice_scheduled = False
        self._process_read_ahead()

    def process(self, data: bytes, may_wait: bool = True) -> None:
        """Processes data, and offers the requests in it once what has arrived behind them is known.

        Prevents servers from working on requests that are already cancelled or whose caller has disconnected: the
        cancellation or the end of the connection may directly follow the request. With `may_wait`, requests wait for
        further turns while up to READ_BYTES lie behind them.
        """
        self.processing_read = True
        try:
            super().dataReceived(data)
            self.unoffered_bytes += len(data)
            if self.has_new_requests():
                if may_wait and self._more_has_arrived():
                    return
                if self.peer_has_closed():
                    self.inbound.close(self, "ended")
            self.unoffered_bytes = 0
            if self in self.inbound.open:
                self.read_finished()
        finally:
            self.processing_read = False

    def _more_has_arrived(self) -> bool:
        """Returns whether the requests wait for more that has arrived; processes it at once if it is short."""
        if self.unoffered_bytes >= READ_BYTES or self not in self.inbound.open:
            return False
        if not self.read_ahead:
            more = self.read_available(SLICE_BYTES)
            if more and len(more) < SLICE_BYTES:
                super().dataReceived(more)
            elif more:
                self.read_ahead = more
                self.process_rest_in_next_turn()
            elif more is not None:
                self.inbound.close(self, "ended")
        return bool(self.read_ahead)

    def has_new_requests(self) -> bool:
        """Returns whether requests have been read that are not yet offered to the engine."""
        return False

    def read_finished(self) -> None:
        """Called when all available data has been processed."""

    def read_pending(self) -> None:
        """Processes data that has arrived in the socket; closes the connection if its peer has closed it."""
        if self.can_not_read():
            return
        data = self.read_available()
        if data or (data is None and self.read_ahead):
            data, self.read_ahead = self.read_ahead + (data or b""), b""
            self.process(data, may_wait=False)
        elif data is not None:
            self.inbound.close(self, "ended")

    def close_if_peer_has_left(self) -> None:
        """Closes the connection if its peer has closed it, without processing what is unread."""
        if self in self.inbound.open and self.peer_has_closed():
            self.inbound.close(self, "ended")

    def can_not_read(self) -> bool:
        """Returns whether nothing may be read from the connection now."""
        return self.processing_read or self not in self.inbound.open or self.transport.disconnecting

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
        """Closes connections that are silent or idle for too long, or never finish a message or read their answers."""
        now_ms = self.deadlines.clock.now_ms()
        self.abort_closing(WRITE_STALL_TIMEOUT_MS)
        for connection in list(self.open):
            if connection.stalled_since_ms and now_ms - connection.stalled_since_ms > WRITE_STALL_TIMEOUT_MS:
                self._abort_stalled(connection)
                continue
            reason = self._timed_out(connection, now_ms)
            if reason is None:
                continue
            self.metrics.add(f"{self.peer_kind}.{reason}")
            if self._is_still_idle(connection):
                self.close(connection, reason)
        self.deadlines.call_at(now_ms + CHECK_INTERVAL_MS, self.check_connections)

    def _abort_stalled(self, connection: InboundConnection) -> None:
        """Aborts a connection whose peer does not read what was written to it."""
        self.metrics.add(f"{self.peer_kind}.stalled")
        self.log_closed(connection, "stalled")
        self.remove(connection)
        connection.transport.abortConnection()

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
