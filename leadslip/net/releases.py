"""Releases of ended calls: each is sent to a caller, and resent until one acknowledges it or it expires.

No connection owns an established call: its release may be sent on any connection from callers.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection

from leadslip.core import Engine
from leadslip.net.callers import CallerConnections, CallerEvidence
from leadslip.net.inbound import InboundConnection, InboundConnections

RELEASE_TTL_MS = 8000.0  # after this time since the call's end, an unacknowledged release is dropped
RESEND_AFTER_MS = 300.0  # until an unacknowledged release is sent on another connection; doubles each time
RESEND_CHECK_INTERVAL_MS = 100.0  # while any release is unacknowledged
# Of resends in one check for calls whose own connection is open. Callers need not acknowledge a release, and those that
# do are told what others leave unacknowledged.
MAX_PRECAUTIONARY_RESENDS = 100
CAUSE_NORMAL, CAUSE_TEMPORARY_FAILURE = 16, 41  # ITU-T Q.850 cause values, in the Reason header of a release


class PendingRelease:
    """The release of an ended call until a caller has acknowledged it."""

    __slots__ = (
        "ended_ms",
        "message",
        "own_connection",
        "connection",
        "tried",
        "rejected",
        "resend_at_ms",
        "resends",
    )

    def __init__(self, ended_ms: float, message: bytes, own_connection: InboundConnection | None) -> None:
        self.ended_ms, self.message = ended_ms, message
        self.own_connection = own_connection  # where the call was set up; None: unknown, or closed
        self.connection: InboundConnection | None = None  # where it was last sent; None: waits for one
        self.tried: set[InboundConnection] = (
            set()
        )  # open connections that it was sent on, or that were not read
        self.rejected: set[InboundConnection] = set()  # those of them whose peers do not have the call
        self.resends = 0  # on other connections, as it was not acknowledged in time
        self.resend_at_ms = ended_ms + RESEND_AFTER_MS


class Releases:
    """The unacknowledged releases of one proxy's calls, and the connections on which callers can be told of them."""

    def __init__(self, engine: Engine, inbound: InboundConnections) -> None:
        self.engine, self.inbound = engine, inbound
        self.pending: OrderedDict[str, PendingRelease] = OrderedDict()  # by call id, oldest first
        self.unsent: dict[str, None] = {}  # ids of calls whose release waits for a connection
        self.unproven: dict[str, None] = {}  # ids of calls whose release was sent to no proven caller yet
        # Connection -> ids of the pending releases that it was tried for.
        self.tried_on: dict[InboundConnection, dict[str, None]] = {}
        self.callers = CallerConnections()
        self.resend_scheduled = False

    def is_pending(self, id_: str) -> bool:
        """Returns whether a call has ended and no caller has acknowledged its release yet."""
        return id_ in self.pending

    def released_by_caller(self, id_: str) -> bool:
        """Drops the release of a call that its caller has released itself; returns whether there was one."""
        return self._forget(id_) is not None

    def connection_opened(self, connection: InboundConnection) -> None:
        """Sends the releases that wait for a connection."""
        self._expire()
        for id_ in list(self.unsent):
            self._send(id_, connection)

    def connection_closed(self, connection: InboundConnection) -> None:
        """Sends the unacknowledged releases of a closed connection elsewhere."""
        self.callers.remove(connection)
        self._expire()
        for id_ in self.tried_on.pop(connection, {}):
            pending = self.pending[id_]
            pending.tried.discard(connection)
            pending.rejected.discard(connection)
            if pending.connection is connection:
                self._send(id_, self._next_connection(pending))
            else:
                self._note_proof(id_, pending)

    def add_evidence(self, connection: InboundConnection, evidence: CallerEvidence) -> None:
        """Records that the peer of a connection has done what callers do.

        Once that proves it a caller, it is told of the ends that no proven caller has been told yet.
        """
        if connection not in self.inbound.open:
            return
        was_proven = self.callers.is_proven(connection)
        self.callers.add(connection, evidence)
        if was_proven or not self.callers.is_proven(connection):
            return
        for id_ in list(self.unproven):
            pending = self.pending[id_]
            if connection in pending.tried:
                self._note_proof(id_, pending)
            else:
                self._send(id_, connection)

    def _note_proof(self, id_: str, pending: PendingRelease) -> None:
        """Records whether a release has been sent to a proven caller that may have the call."""
        if any(map(self.callers.is_proven, pending.tried - pending.rejected)):
            self.unproven.pop(id_, None)
        else:
            self.unproven[id_] = None

    def release(self, id_: str, cut: bool, connection: InboundConnection | None = None) -> None:
        """Sends the release of an ended call to its caller, and resends it until it is acknowledged or expires.

        `cut`: the call did not end normally, as when its server failed. `connection`: where the call was set up, if
        that is known and still open.
        """
        message = (
            b"BYE sip:caller@net SIP/2.0\r\nVia: SIP/2.0/TCP proxy\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\n"
            b"Reason: Q.850;cause=%d\r\nContent-Length: 0\r\n\r\n"
            % (id_.encode("ascii"), CAUSE_TEMPORARY_FAILURE if cut else CAUSE_NORMAL)
        )
        now_ms = self.engine.clock.now_ms()
        self._expire()
        self._forget(id_)  # of an earlier call with this id
        self.pending[id_] = PendingRelease(now_ms, message, connection)
        self._send(id_, connection or self._fallback_connection())
        if not self.resend_scheduled:
            self.resend_scheduled = True
            self.engine.deadlines.call_at(now_ms + RESEND_CHECK_INTERVAL_MS, self._resend)

    def acknowledged(self, id_: str, connection: InboundConnection) -> None:
        """Stops resending the release of a call, if it was sent on the connection on which it is acknowledged."""
        pending = self.pending.get(id_)
        if pending is None or connection not in pending.tried:
            return
        self.add_evidence(connection, CallerEvidence.ACKNOWLEDGED)
        self._log("release.acknowledged", id_, pending, peer=connection.peer_name)
        self._forget(id_)

    def rejected(self, id_: str, connection: InboundConnection) -> None:
        """Sends a release on, as the peer of a connection does not have the call.

        Each connection is asked once; then the release waits for another connection, until it expires. If the call's
        own connection is open and has not rejected it, its caller has most likely read it: the next resend is then due
        no sooner than without an answer.
        """
        pending = self.pending.get(id_)
        if pending is None or connection not in pending.tried:
            return
        pending.rejected.add(connection)
        self._log("release.rejected", id_, pending, peer=connection.peer_name)
        if pending.connection is connection and not self._is_told_on_own_connection(pending):
            self._send(id_, self._fallback_connection(exclude=pending.tried))

    def _fallback_connection(self, exclude: Collection[InboundConnection] = ()) -> InboundConnection | None:
        """Returns a connection for a release that can't be sent, or got no answer, on the call's own connection.

        This is the one with the strongest evidence that its peer is a caller, the latest first; without any evidence,
        the one that last sent any message. Peers that stay connected after a refused set-up, or only poll for
        readiness, do not handle releases, but may have sent the latest message.
        """
        found = self.callers.best(exclude)
        if found is not None:
            return found
        others = (connection for connection in reversed(self.inbound.open) if connection not in exclude)
        return next(others, None)

    def _is_told_on_own_connection(self, pending: PendingRelease) -> bool:
        """Returns whether the call's own connection is open and has not rejected the release that was sent there."""
        own = pending.own_connection
        return own in self.inbound.open and own not in pending.rejected

    def _next_connection(self, pending: PendingRelease) -> InboundConnection | None:
        """Returns the connection to send a release on next: one that it was not sent on yet, if there is any."""
        untried = self._fallback_connection(exclude=pending.tried)
        return untried or self._fallback_connection(exclude={pending.connection} | pending.rejected)

    def _resend(self, _: object = None) -> None:
        """Sends each release that was not acknowledged in time on another connection, and schedules the next check."""
        self._expire()
        if not self.pending:
            self.resend_scheduled = False
            return
        now_ms = self.engine.clock.now_ms()
        precautionary = 0
        for id_, pending in list(self.pending.items()):
            if pending.connection is None or now_ms < pending.resend_at_ms:
                continue
            if self._is_told_on_own_connection(pending):
                precautionary += 1
                if precautionary > MAX_PRECAUTIONARY_RESENDS:
                    continue
            other = self._next_connection(pending)
            if other is not None:
                self.inbound.metrics.add("clients.releases_retold")
                pending.resends += 1
                self._send(id_, other)
        self.engine.deadlines.call_at(now_ms + RESEND_CHECK_INTERVAL_MS, self._resend)

    def _send(self, id_: str, connection: InboundConnection | None) -> None:
        """Sends a pending release, or lets it wait for the next connection opened if none is read by its peer."""
        pending = self.pending[id_]
        while connection is not None:
            pending.tried.add(connection)
            self.tried_on.setdefault(connection, {})[id_] = None
            if connection.send(pending.message):
                break
            connection = self._fallback_connection(exclude=pending.tried)
        self._assign(pending, connection)
        self._note_proof(id_, pending)
        if connection is not None:
            pending.resend_at_ms = self.engine.clock.now_ms() + RESEND_AFTER_MS * (1 << pending.resends)
            self.unsent.pop(id_, None)
            self._log(
                "release.sent",
                id_,
                pending,
                peer=connection.peer_name,
                own=connection is pending.own_connection,
                evidence=self.callers.evidence(connection).name.lower(),
            )
        else:
            self.unsent[id_] = None
            self._log("release.waits", id_, pending)

    @staticmethod
    def _assign(pending: PendingRelease, connection: InboundConnection | None) -> None:
        """Records on which connection a release was last sent, and there that it is unacknowledged."""
        if pending.connection is not None:
            pending.connection.unacknowledged_releases -= 1
        if connection is not None:
            connection.unacknowledged_releases += 1
        pending.connection = connection

    def _forget(self, id_: str) -> PendingRelease | None:
        """Removes and returns the pending release of a call, if there is one."""
        self.unsent.pop(id_, None)
        self.unproven.pop(id_, None)
        pending = self.pending.pop(id_, None)
        if pending is not None:
            self._assign(pending, None)
            for connection in pending.tried:
                self._forget_tried(connection, id_)
        return pending

    def _forget_tried(self, connection: InboundConnection, id_: str) -> None:
        ids = self.tried_on.get(connection, {})
        ids.pop(id_, None)
        if not ids:
            self.tried_on.pop(connection, None)

    def _expire(self) -> None:
        """Removes releases older than RELEASE_TTL_MS, and counts them: nobody has acknowledged them."""
        oldest_ms = self.engine.clock.now_ms() - RELEASE_TTL_MS
        while self.pending and next(iter(self.pending.values())).ended_ms < oldest_ms:
            id_ = next(iter(self.pending))
            self.inbound.metrics.add("clients.releases_expired")
            self._log("release.expired", id_, self._forget(id_))

    def _log(self, event: str, id_: str, pending: PendingRelease, **fields: object) -> None:
        """Logs at level `debug` what becomes of a release."""
        after_ms = round(self.engine.clock.now_ms() - pending.ended_ms)
        self.inbound.log(event, level="debug", id=id_, after_ms=after_ms, resends=pending.resends, **fields)
