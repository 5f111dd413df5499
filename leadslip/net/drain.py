"""Closes callers' connections while the proxy is out of service or shuts down, so that callers connect elsewhere.

A connection is closed once it is free: no set-up is open on it, and no established call was set up on it, as the call's
release is to be sent there. A set-up that crosses the close is sent again by its caller.
"""

from __future__ import annotations

from leadslip.net.inbound import InboundConnection, InboundConnections
from leadslip.readiness import Readiness

CHECK_INTERVAL_MS = 100.0
FIRST_PROGRESS_LOG_MS = 1000.0  # after the start of a drain; the time to the next line doubles


class ConnectionDrain:
    """The drain of one proxy's connections from callers; idle unless the proxy is out of service or shuts down.

    Callers that keep using a connection may never pause. `Readiness` therefore says from when on new requests are
    refused, so that no further call is set up and each connection becomes free.
    """

    def __init__(self, inbound: InboundConnections, readiness: Readiness) -> None:
        self.inbound, self.readiness = inbound, readiness
        self.deadlines = inbound.deadlines
        self.active = False  # whether the periodic check is scheduled
        self.settled: set[InboundConnection] = set()  # connections to check in the next turn
        self.next_log_ms = 0.0

    def begin(self) -> None:
        """Starts to close free connections, until the readiness says that the drain is over."""
        if self.active:
            return
        self.active = True
        self.next_log_ms = self.deadlines.clock.now_ms() + FIRST_PROGRESS_LOG_MS
        self._check_all()

    def connection_settled(self, connection: InboundConnection) -> None:
        """Notes that a request or call of a connection has ended, so that it may be free before the next check.

        It is checked only in the reactor's next turn: the current read may contain further messages.
        """
        if not self.active:
            return
        if not self.settled:
            self.deadlines.call_at(self.deadlines.clock.now_ms(), self._check_settled)
        self.settled.add(connection)

    def _check_settled(self, _: object = None) -> None:
        settled, self.settled = self.settled, set()
        if self.readiness.client_connections_draining():
            self._close_free(list(settled))

    def _check_all(self, _: object = None) -> None:
        """Closes the connections that are free now, and schedules the next check until the drain ends."""
        if not self.readiness.client_connections_draining():
            self.active = False
            return
        now_ms = self.deadlines.clock.now_ms()
        self._close_free(list(self.inbound.open))
        if self.readiness.drain_overdue(now_ms):
            self.inbound.abort_closing(older_than_ms=CHECK_INTERVAL_MS)
        if now_ms >= self.next_log_ms and self.inbound.open:
            self._log_progress(now_ms)
        self.deadlines.call_at(now_ms + CHECK_INTERVAL_MS, self._check_all)

    def _close_free(self, candidates: list[InboundConnection]) -> None:
        now_ms = self.deadlines.clock.now_ms()
        for connection in candidates:
            if connection.established_calls() and not connection.close_despite_calls:
                continue
            if connection in self.inbound.open and self._is_free(connection, now_ms):
                self.inbound.metrics.add("clients.sent_away")
                self.inbound.close(connection, "drained")

    def _is_free(self, connection: InboundConnection, now_ms: float) -> bool:
        """Returns whether nothing is pending on a connection, after processing what has arrived on it."""
        connection.read_pending()
        if connection not in self.inbound.open or connection.awaits_answer():
            return False
        if connection.partial_since_ms and not self.readiness.drain_overdue(now_ms):
            return False  # the rest of a message follows, and its answer is awaited first
        first_message_in_flight = now_ms - connection.opened_ms < CHECK_INTERVAL_MS
        return bool(connection.last_received_ms) or not first_message_in_flight

    def _log_progress(self, now_ms: float) -> None:
        """Logs why connections are still open."""
        since_ms = self.readiness.draining_since_ms()
        connections = self.inbound.open
        self.inbound.log(
            "drain.progress",
            after_ms=round(now_ms - since_ms),
            connections=len(connections),
            with_open_set_ups=sum(connection.awaits_answer() for connection in connections),
            with_calls=sum(bool(connection.established_calls()) for connection in connections),
            with_partial_message=sum(bool(connection.partial_since_ms) for connection in connections),
            with_unsent_data=len(self.inbound.closing),
        )
        self.next_log_ms = now_ms + (now_ms - since_ms)
