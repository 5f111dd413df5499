"""Client side of the setup servers' binary protocol; each connection carries many calls."""

from __future__ import annotations

import math
from collections.abc import Callable

from twisted.internet import error, protocol

from leadslip import interface
from leadslip.config import Address, MalformedError, parse_load_report
from leadslip.core import Attempt, Deadlines, Engine
from leadslip.metrics import Metrics
from leadslip.net.connections import LengthPrefixedReceiver, MessageError
from leadslip.net.reconnect import ReconnectBackoff
from leadslip.net.server_messages import (
    ANSWER,
    CAUSE,
    CAUSE_NORMAL,
    CAUSE_OF_NOTE,
    CAUSE_TEMPORARY_FAILURE,
    CLASS,
    DESCRIPTION,
    IGNORED_TYPES,
    NO_CALL,
    NOTE,
    NUMBER,
    OUTCOME_OF_CAUSE,
    RELEASE,
    REPORT,
    SET_UP,
    STATE,
    TEST,
    TEST_RESULT,
    WAIT,
    encode_message,
    parse_parameters,
)

RECENTLY_ENDED_MS = 30_000.0  # a server may repeat the release of an ended call for this long
PARTIAL_MESSAGE_TIMEOUT_MS = 300.0  # a complete message takes a few ms to arrive
MAX_CONNECTIONS = 4  # per server, as a server sends its state reports on at most this many connections
OVERTAKEN_MARGIN_MS = 50.0  # a set-up is overtaken once one sent this much later has been answered
MISSED_STATE_MS = 300.0  # a connection that missed a state report for this long may be dead
UNANSWERED_SET_UP_MS = 400.0  # a server silent for this long with a set-up this old may have failed
SILENCE_TIMEOUT_MS = 1500.0  # a server with calls that sends nothing for this long may have failed
UNREACHABLE_AFTER_MS = 2000.0  # a server silent for this long that accepts no connection is unreachable
# The calls of a server that is silent and unreachable for this long count as lost: callers must learn of the end of a
# call within 8 s.
CALLS_LOST_AFTER_MS = 6500.0
FIRST_MESSAGE_WAIT_MS = 200.0  # a new connection is used after this time even without a first message
TEST_AFTER_SILENCE_MS = 550.0  # a connection silent for this long is tested while its server has calls
TEST_TIMEOUT_MS = 90.0  # a test is answered at once; without an answer in this time the connection has failed
IN_FLIGHT_MS = 100.0  # a server may write on a connection for this long after the proxy has lost it
CLOSE_TIMEOUT_MS = 300.0  # time for a server to close its side of a half-closed connection
MAX_CONSECUTIVE_RESETS = 3  # new connections reset in a row before queued set-ups go elsewhere
CHECK_INTERVAL_MS = 100.0


class ServerConnection(LengthPrefixedReceiver):
    """One connection to a setup server."""

    peer_kind = "servers"

    def __init__(self, server: Server) -> None:
        self.server, self.metrics, self.now_ms = server, server.upstream.metrics, server.upstream.now_ms
        self.opened_ms = self.last_received_ms = self.now_ms()
        self.set_ups: dict[bytes, Attempt] = {}  # in progress on this connection, oldest first
        # When a release due on this connection arrived on another, while this one stayed silent; 0: never.
        self.missed_end_ms = 0.0
        self.test_sent_ms = 0.0  # when a test was sent that is not answered yet; 0: none
        self.closing_since_ms = 0.0  # since when it is half-closed, that is, only read; 0: it is not

    def connectionMade(self) -> None:
        super().connectionMade()
        self.server.connected(self)

    def connectionLost(self, reason: object = None) -> None:
        done = reason is not None and reason.check(error.ConnectionDone) is not None
        self.server.lost(self, all_read=bool(self.closing_since_ms) and done)

    def close_write(self) -> None:
        """Half-closes the connection, which is still read, so that messages in flight are not lost."""
        self.closing_since_ms = self.now_ms()
        self.transport.loseWriteConnection()

    def malformed(self, failure: MessageError) -> None:
        super().malformed(failure)
        self.server.lost(self)

    def send_test(self) -> None:
        """Sends a test message; any complete message that follows counts as the answer."""
        if not self.test_sent_ms:
            self.test_sent_ms = self.now_ms()
            self.metrics.add("servers.tests")
            self.send(encode_message(TEST, NO_CALL, (CAUSE, b"\x00")))

    def test_failed(self, now_ms: float) -> bool:
        """Returns whether a test has timed out."""
        return bool(self.test_sent_ms) and now_ms - self.test_sent_ms > TEST_TIMEOUT_MS

    def is_dead(self, now_ms: float) -> bool:
        """Returns whether a test has timed out while the server has sent messages on another connection.

        Prevents closing all connections of a server that hangs: when it resumes, it writes the releases that have
        built up, and would write them on connections of which it has not yet read that they are closed.
        """
        return self.test_failed(now_ms) and self.server.last_received_ms > self.test_sent_ms

    def abort(self) -> None:
        """Closes the connection and reports its loss without waiting for the reactor, so that nothing more is sent."""
        self.transport.abortConnection()
        self.server.lost(self)

    def stringReceived(self, view: memoryview) -> None:
        if len(view) < 9:
            raise MessageError(f"message too short: got {len(view)} of at least 9 bytes")
        message_type, call = view[0], bytes(view[1:9])
        fields = parse_parameters(view, 9)
        load = self.server.upstream.parse_load(fields.get(REPORT))
        # Only a complete, readable message counts as received: garbage must not look like a live connection.
        self.last_received_ms = self.now_ms()
        if self.test_sent_ms:
            self.test_sent_ms = 0.0
            self.server.test_passed(self)
        self.server.message_received(self)
        if message_type == ANSWER:
            if DESCRIPTION not in fields:
                raise MessageError(f"answer has no parameter {DESCRIPTION} (description)")
            self.server.answered(call, fields[DESCRIPTION])
        elif message_type == RELEASE:
            cause = fields.get(CAUSE)
            if cause is None or len(cause) != 1 or cause[0] not in (CAUSE_NORMAL, *OUTCOME_OF_CAUSE):
                raise MessageError(f"release has no parameter {CAUSE} (cause), or an unknown cause")
            note = CAUSE_OF_NOTE.get(bytes(fields.get(NOTE, b"")), interface.Cause.NONE)
            self.server.released(self, call, cause[0], note, load)
        elif message_type == STATE and load is not None:
            self.server.state_received(self)
            self.server.upstream.engine.on_load_report(self.server.uid, load)
        elif message_type == TEST:
            self.send(encode_message(TEST_RESULT, call, (CAUSE, b"\x01")))
        elif message_type not in IGNORED_TYPES:
            # Taken for a corrupt message, so that message boundaries on this connection are no longer certain.
            raise MessageError(f"unknown message type {message_type}")


class ServerConnectionFactory(protocol.ClientFactory):
    """Builds the connections to one server."""

    noisy = False

    def __init__(self, server: Server) -> None:
        self.server = server

    def buildProtocol(self, addr: object) -> ServerConnection:
        return ServerConnection(self.server)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        if reason.check(error.ConnectBindError):
            self.server.no_local_socket()
        else:
            self.server.connect_failed(reason.check(error.ConnectionRefusedError) is not None)


class Server:
    """One setup server process, identified by its uid: successive processes at one address are distinct."""

    def __init__(
        self,
        upstream: Servers,
        uid: str,
        address: Address,
        state: interface.ServerState,
        online_since_ms: float,
    ) -> None:
        self.upstream, self.uid, self.address, self.state, self.online_since_ms = (
            upstream,
            uid,
            address,
            state,
            online_since_ms,
        )
        self.active: list[ServerConnection] = []  # used for set-ups, oldest first
        self.pending: ServerConnection | None = None  # open, but no message received yet
        self.connecting = False
        self.connect_started_ms = 0.0
        self.reconnect = ReconnectBackoff()
        self.latest_answered_sent_ms = 0.0  # when the latest of the answered set-ups was sent
        self.last_state_report_ms = 0.0  # when the last report came that every connection should receive
        self.consecutive_resets = 0  # successive new connections lost before their first message
        self.last_received_ms = upstream.now_ms()
        self.queued: dict[bytes, Attempt] = {}  # set-ups waiting for a connection
        self.calls: dict[bytes, Attempt] = {}  # set-ups in progress and established calls
        self.connection_of: dict[bytes, ServerConnection] = {}  # call -> its set-up's connection, open or not
        self.half_closed: list[ServerConnection] = []
        # The server repeats releases that were lost with a connection on the next one opened, if that is opened at
        # this time or later; 0: none were lost.
        self.replacement_due_ms = 0.0
        self.unsent_releases: list[bytes] = []  # encoded releases that wait for a connection
        self.unreachable = False  # the last connect failed, and no connection has come up since
        self.connection_factory = ServerConnectionFactory(self)

    # Called for the engine.

    def send(self, attempt: Attempt) -> interface.Outcome | None:
        """Sends a set-up, or queues it until a connection is active; returns the outcome if it can't be sent."""
        call = bytes.fromhex(attempt.request.id)
        connection = self._least_used()
        if connection is None:
            self.queued[call] = attempt
            self.connect()
            return None
        if (
            connection.set_ups
            and len(self.active) < MAX_CONNECTIONS
            and self.state is interface.ServerState.READY
            and not self.is_connecting()
            and self.upstream.has_capacity()
        ):
            # A corrupt message ends all set-ups in progress on its connection, so they are spread over several.
            self.connect()
        return self._set_up(connection, call, attempt)

    def _least_used(self) -> ServerConnection | None:
        """Returns the active connection with the fewest set-ups in progress, preferably without unsent data."""
        return min(
            self.active, key=lambda connection: (connection.blocked(), len(connection.set_ups)), default=None
        )

    def _set_up(
        self, connection: ServerConnection, call: bytes, attempt: Attempt
    ) -> interface.Outcome | None:
        """Writes a set-up on a connection; returns the outcome if it must not be written."""
        request, upstream = attempt.request, self.upstream
        if connection.blocked():
            # Prevents set-ups to an unreachable machine, which reads nothing, from piling up in the write buffer.
            return interface.Outcome.NO_CONNECTION
        if not upstream.engine.may_send(attempt):
            return interface.Outcome.NOT_SENT if attempt.active else None
        left_ms = max(1, int(attempt.timeout_at_ms - upstream.now_ms()))
        self.calls[call] = connection.set_ups[call] = attempt
        self.connection_of[call] = connection
        written = connection.send(
            encode_message(
                SET_UP,
                call,
                (CLASS, request.call_class.encode()),
                (WAIT, b"%d" % left_ms),
                (NUMBER, request.number_called.encode()),
                (DESCRIPTION, request.payload),
            )
        )
        if written:
            connection.flush()
            upstream.engine.on_set_up_written(attempt)
        return None

    def cancel_or_release(self, attempt: Attempt) -> None:
        """Cancels a set-up or releases an established call: sends a release with cause 16 (normal) in both cases."""
        call = bytes.fromhex(attempt.request.id)
        if self.queued.pop(call, None) is None:
            connection = self.connection_of.get(call)
            in_progress = connection is not None and call in connection.set_ups
            if self._remove(call) is not None:
                if in_progress and connection.blocked():
                    # Prevents a cancelled set-up that is still in the write buffer from being sent.
                    connection.abort()
                else:
                    self.send_release(call, connection if in_progress else self._least_used())
        self.upstream.remove_if_unused(self)

    def send_release(self, call: bytes, connection: ServerConnection | None) -> None:
        """Releases a call at the server, with cause 16 (normal)."""
        release = encode_message(RELEASE, call, (CAUSE, bytes((CAUSE_NORMAL,))))
        if connection is None or not connection.send(release):
            self.unsent_releases.append(release)  # otherwise the server would keep the call
            self.connect()

    def release_unknown_call(self, call: bytes) -> None:
        """Releases a call that is not known here, such as one set up by another process."""
        self.upstream.remember_ended(call)
        self.send_release(call, self._least_used())

    def _remove(self, call: bytes) -> Attempt | None:
        """Removes a call; its id is remembered for a while, as the server may repeat its end."""
        attempt = self.calls.pop(call, None)
        if attempt is not None:
            self.upstream.remember_ended(call)
            connection = self.connection_of.pop(call)
            connection.set_ups.pop(call, None)
        return attempt

    # Connections.

    def connect(self) -> None:
        """Opens a connection, unless one is being opened or the server is gone."""
        if self.is_connecting() or self.state is interface.ServerState.GONE:
            return
        self.connecting, self.connect_started_ms = True, self.upstream.now_ms()
        host, port = self.address
        self.upstream.reactor.connectTCP(
            host, port, self.connection_factory, timeout=self.upstream.connect_timeout_s
        )

    def connected(self, connection: ServerConnection) -> None:
        """Keeps a connection that has opened as pending until its first message, which servers send at once.

        Prevents set-ups from being lost or delayed on a connection that is reset right after it opened.
        """
        self.connecting = False
        if self.state is interface.ServerState.GONE:
            # Another server, without the calls of this one, may listen at the address by now.
            connection.transport.abortConnection()
            self.drop_calls()
        else:
            self.pending = connection

    def message_received(self, connection: ServerConnection) -> None:
        """Records that a valid message has arrived; the first one makes a pending connection active."""
        self.last_received_ms = connection.last_received_ms
        if connection is self.pending:
            self.consecutive_resets = 0
            self._activate(connection)

    def state_received(self, connection: ServerConnection) -> None:
        """Records when a state report arrived, so that connections that have missed it can be detected."""
        # The first report on a new connection is sent on that connection alone: no other can have missed it.
        if connection.last_received_ms > connection.opened_ms + MISSED_STATE_MS:
            self.last_state_report_ms = connection.last_received_ms

    def _activate(self, connection: ServerConnection) -> None:
        """Makes a pending connection active; older ones still deliver the results of their set-ups."""
        self.pending, self.unreachable = None, False
        self.reconnect.succeeded()
        now_ms = self.upstream.now_ms()
        for surplus in self._surplus(now_ms):
            self.active.remove(surplus)
            self.half_closed.append(surplus)
            surplus.close_write()
        if connection.opened_ms >= self.replacement_due_ms:
            self.replacement_due_ms = 0.0
        self.active.append(connection)
        releases, self.unsent_releases = self.unsent_releases, []
        for release in releases:
            connection.send(release)
        # Taken from the queue one at a time: sending one set-up may end others in the queue, which must not be sent.
        while self.queued and connection in self.active:
            call, attempt = next(iter(self.queued.items()))
            del self.queued[call]
            if not self.upstream.engine.accepts_set_ups(self.uid):
                # The server began to drain while the connection was being opened.
                outcome = interface.Outcome.NO_CONNECTION
            else:
                outcome = self._set_up(connection, call, attempt)
            if outcome is not None:
                self.upstream.engine.on_attempt_ended(attempt, outcome)
        self.upstream.remove_if_unused(self)

    def _surplus(self, now_ms: float) -> list[ServerConnection]:
        """Returns the connections to close when another has opened: dead ones, and those over the maximum.

        Prevents the loss of a call's release: a server writes it only on the connection of the set-up, so a working
        connection is closed only once it carries no established call. The releases of calls whose connection was
        lost may arrive on any connection: while there are such calls, twice the maximum may stay open.
        """
        dead = [
            connection for connection in self.active if not connection.set_ups and connection.is_dead(now_ms)
        ]
        in_use = set(self.connection_of.values())
        limit = 2 * MAX_CONNECTIONS if in_use - set(self.active) else MAX_CONNECTIONS
        idle = [
            connection for connection in self.active if connection not in in_use and connection not in dead
        ]
        excess = max(0, len(self.active) - len(dead) + 1 - limit)
        return dead + sorted(idle, key=lambda connection: connection.last_received_ms)[:excess]

    def connect_failed(self, refused: bool) -> None:
        """Handles a failed connect: queued set-ups go to other servers, and calls of a lost server end."""
        self.connecting = False
        self.unreachable = True
        self.reconnect.failed(self.upstream.now_ms())
        self.upstream.metrics.add("servers.refused" if refused else "servers.unreachable")
        self._fail_queued()
        silent_ms = self.upstream.now_ms() - self.last_received_ms
        if silent_ms > CALLS_LOST_AFTER_MS or (
            refused and (silent_ms > UNREACHABLE_AFTER_MS or not self.active)
        ):
            # The process has exited and lost its calls, or its machine has failed: it will not report their ends.
            self.drop_calls()
        elif silent_ms > UNREACHABLE_AFTER_MS:
            # Closes only the connections: established calls survive some seconds without a network path.
            for connection in list(self.active):
                connection.abort()
        self.upstream.remove_if_unused(self)

    def no_local_socket(self) -> None:
        """Handles a connect that failed for lack of a local socket: queued set-ups go to other servers.

        The server is not marked as unreachable, as the failure says nothing about it.
        """
        self.connecting = False
        self.reconnect.failed(self.upstream.now_ms())
        self.upstream.metrics.add("servers.no_socket")
        self._fail_queued()
        self.upstream.remove_if_unused(self)

    def _fail_queued(self) -> None:
        """Ends the queued set-ups with NO_CONNECTION, so that they may be sent to other servers."""
        queued, self.queued = self.queued, {}
        for attempt in queued.values():
            self.upstream.engine.on_attempt_ended(attempt, interface.Outcome.NO_CONNECTION)

    def lost(self, connection: ServerConnection, all_read: bool = False) -> None:
        """Handles the loss of a connection: set-ups in progress, which may have been processed, end; calls go on.

        `all_read`: the server closed a half-closed connection in order, so that no message on it was lost.
        """
        still_open = [other for other in self.open_connections() if other is not connection]
        orphaned = any(
            set_up_connection not in still_open
            for call, set_up_connection in self.connection_of.items()
            if call not in connection.set_ups
        )
        if orphaned and (connection in self.active or (connection in self.half_closed and not all_read)):
            # The server repeats releases lost with the connection on the next one opened. One that is being opened
            # already is not enough: the server may have accepted it before it wrote a release on the lost one.
            self.replacement_due_ms = self.upstream.now_ms() + IN_FLIGHT_MS
        if connection in self.half_closed:
            self.half_closed.remove(connection)
        if connection is self.pending:
            self.pending = None
            self.consecutive_resets += 1
            if self.consecutive_resets >= MAX_CONSECUTIVE_RESETS:
                self.consecutive_resets = 0
                self.reconnect.failed(self.upstream.now_ms())
                self._fail_queued()
            else:
                self.connect()
        if connection in self.active:
            self.active.remove(connection)
            self.connect()
        for call, attempt in list(connection.set_ups.items()):
            self._remove(call)
            self.upstream.engine.on_attempt_ended(attempt, interface.Outcome.CUT)
        if self.state is interface.ServerState.GONE and not self.active:
            self.drop_calls()
        self.upstream.remove_if_unused(self)

    def drop_calls(self) -> None:
        """Closes all connections, and ends all set-ups and calls as CUT."""
        connections, self.active, self.pending, self.half_closed = (
            self.open_connections() + self.half_closed,
            [],
            None,
            [],
        )
        self.unsent_releases.clear()
        self.replacement_due_ms = 0.0
        for connection in connections:
            connection.abort()
        for call, attempt in list(self.calls.items()):
            if self._remove(call) is not None:
                self.upstream.engine.on_attempt_ended(attempt, interface.Outcome.CUT)

    def _drop_orphaned_calls(self) -> None:
        """Ends as CUT the calls whose connection is lost: no replacement could be opened to receive their releases."""
        self.replacement_due_ms = 0.0
        still_open = self.open_connections()
        for call, connection in list(self.connection_of.items()):
            if connection not in still_open:
                self.upstream.engine.on_attempt_ended(self._remove(call), interface.Outcome.CUT)

    def open_connections(self) -> list[ServerConnection]:
        """Returns the connections that are open in both directions: active ones, and the pending one."""
        return self.active + ([self.pending] if self.pending is not None else [])

    def is_connecting(self) -> bool:
        """Returns whether a connection is being opened, or has not received its first message."""
        return self.connecting or self.pending is not None

    def _overtaken(self, attempt: Attempt) -> bool:
        """Returns whether another set-up, sent later, has already been answered."""
        return attempt.sent_ms + OVERTAKEN_MARGIN_MS < self.latest_answered_sent_ms

    def test_passed(self, connection: ServerConnection) -> None:
        """Cancels the overtaken set-ups of a connection that passed its test, so that they may be retried.

        Their answers are late for a reason other than the connection, which stays open.
        """
        for attempt in list(connection.set_ups.values()):
            if self._overtaken(attempt):
                self.upstream.metrics.add("servers.late_set_ups")
                self.cancel_or_release(attempt)
                self.upstream.engine.on_attempt_ended(attempt, interface.Outcome.CUT)

    def _is_suspect(self, connection: ServerConnection, now_ms: float) -> bool:
        """Returns whether a connection has received nothing while others to the same server have received messages."""
        oldest = next(iter(connection.set_ups.values()), None)
        overtaken = (
            oldest is not None
            and self._overtaken(oldest)
            and connection.last_received_ms + OVERTAKEN_MARGIN_MS < self.latest_answered_sent_ms
        )
        missed_state = (
            connection.last_received_ms + MISSED_STATE_MS
            < self.last_state_report_ms
            < now_ms - MISSED_STATE_MS
        )
        missed_end = connection.last_received_ms < connection.missed_end_ms < now_ms - IN_FLIGHT_MS
        return (
            overtaken
            or missed_end
            or (missed_state and now_ms - connection.last_received_ms > SILENCE_TIMEOUT_MS)
        )

    def check_connections(self, now_ms: float) -> None:
        """Closes dead connections, and opens a new one where the existing ones are suspect.

        Prevents a connection that is open but dead (silent, or stuck in a partial message) from letting its
        set-ups time out and losing the releases of its calls. A late answer and an idle connection look the same,
        and closing a working connection loses the releases in flight, so a suspect one is tested first. A server
        that hangs looks the same too: then a new connection stays silent as well, and no call is dropped.
        """
        for connection in self.open_connections():
            if (
                connection.partial_since_ms
                and now_ms - connection.partial_since_ms > PARTIAL_MESSAGE_TIMEOUT_MS
            ):
                connection.malformed(
                    MessageError(f"message unfinished after {PARTIAL_MESSAGE_TIMEOUT_MS:.0f} ms")
                )
            elif self._is_suspect(connection, now_ms):
                if connection.is_dead(now_ms):
                    self.upstream.metrics.add("servers.dead_links")
                    connection.abort()
                else:
                    connection.send_test()
        for connection in list(self.half_closed):
            if now_ms - connection.closing_since_ms > CLOSE_TIMEOUT_MS:
                connection.abort()
        if self.state is interface.ServerState.GONE:
            if now_ms - self.last_received_ms > UNREACHABLE_AFTER_MS:
                self.drop_calls()
            elif self.replacement_due_ms and now_ms - self.replacement_due_ms > UNREACHABLE_AFTER_MS:
                self._drop_orphaned_calls()  # no replacement is opened to a server that has left the list
            self.upstream.remove_if_unused(self)
            return
        if self.replacement_due_ms and now_ms - self.replacement_due_ms > CALLS_LOST_AFTER_MS:
            self._drop_orphaned_calls()
        if self.pending is not None and now_ms - self.pending.opened_ms > FIRST_MESSAGE_WAIT_MS:
            self._activate(self.pending)
        if self.is_connecting():
            return
        if (
            self.replacement_due_ms
            and now_ms >= self.replacement_due_ms
            and self.connect_started_ms < self.replacement_due_ms
        ):
            self.connect()
            return
        if now_ms - self.connect_started_ms < SILENCE_TIMEOUT_MS / 3:
            return
        if not self.active:
            # Without calls as well: a server sends the ends of calls that an earlier process of this proxy set up on
            # any open connection.
            if self.calls or self.unsent_releases or self.reconnect.is_due(now_ms):
                self.connect()
            return
        silent_ms = now_ms - self.last_received_ms
        oldest_sent_ms = [
            next(iter(connection.set_ups.values())).sent_ms
            for connection in self.active
            if connection.set_ups
        ]
        # A recently opened connection already receives whatever a further one would.
        recently_opened = len(self.active) > 1 and now_ms - self.active[-1].opened_ms < SILENCE_TIMEOUT_MS
        unanswered = (
            bool(oldest_sent_ms)
            and not recently_opened
            and min(silent_ms, now_ms - min(oldest_sent_ms)) > UNANSWERED_SET_UP_MS
        )
        # Prevents the loss of releases on a dead connection while others to the server work: when a test fails, a new
        # connection is opened, on which the server repeats them.
        newest_ms = self.active[-1].opened_ms
        silent = [
            connection
            for connection in self.active
            if self.calls and now_ms - max(connection.last_received_ms, newest_ms) > TEST_AFTER_SILENCE_MS
        ]
        for connection in silent:
            connection.send_test()
        failed = sum(connection.test_failed(now_ms) for connection in silent)
        replace = failed and len(self.active) - failed < 2 * MAX_CONNECTIONS
        if unanswered or (self.calls and silent_ms > SILENCE_TIMEOUT_MS):
            self.upstream.metrics.add("servers.silent")
            self.connect()
        elif replace or self.replacement_due_ms:
            self.upstream.metrics.add("servers.renewed")
            self.connect()

    # Messages from the server.

    def answered(self, call: bytes, description: memoryview) -> None:
        """Handles the answer to a set-up: the call is established. An answer for an unknown call is ignored."""
        attempt = self.calls.get(call)
        if attempt is not None:
            if self.connection_of[call].set_ups.pop(call, None) is not None:
                self.latest_answered_sent_ms = max(self.latest_answered_sent_ms, attempt.sent_ms)
            self.upstream.engine.on_established(attempt, description)

    def released(
        self,
        connection: ServerConnection,
        call: bytes,
        cause: int,
        note: interface.Cause,
        load: interface.Load | None,
    ) -> None:
        """Handles a release: the end of an established call, or the failure of a set-up in progress."""
        expected = self.connection_of.get(call)
        if (
            expected is not None
            and expected is not connection
            and expected.missed_end_ms <= expected.last_received_ms
        ):
            # A server sends a release on the connection of the set-up, unless that connection is lost.
            expected.missed_end_ms = connection.last_received_ms
        attempt = self._remove(call)
        if attempt is None:
            self._unknown_call_ended(call, cause)
        elif attempt.established:
            outcome = interface.Outcome.SERVED if cause == CAUSE_NORMAL else interface.Outcome.CUT
            self.upstream.engine.on_attempt_ended(attempt, outcome, load=load)
        elif cause == CAUSE_NORMAL:
            # Servers send this cause only for an established call, so the answer is late or lost.
            self.upstream.engine.on_ended_unanswered(attempt)
        else:
            self.upstream.engine.on_attempt_ended(attempt, OUTCOME_OF_CAUSE[cause], note, load)

    def _unknown_call_ended(self, call: bytes, cause: int) -> None:
        """Handles the end of a call that this process does not have at this server."""
        if cause not in (CAUSE_NORMAL, CAUSE_TEMPORARY_FAILURE):
            return
        if self.upstream.engine.knows_call(call.hex()):
            # Of an earlier attempt, whose answer was lost: the call that its caller has stands at another server.
            self.upstream.metrics.add("servers.ends_of_lost_attempts")
        elif call not in self.upstream.recently_ended:
            self.upstream.on_unknown_end(call, cause != CAUSE_NORMAL)


class Servers:
    """The upstream side of the engine: all setup servers of the server list, and those that left it with calls."""

    engine: Engine  # assigned after construction, as the engine needs this object first

    def __init__(
        self,
        reactor: object,
        metrics: Metrics,
        now_ms: Callable[[], float],
        connect_timeout_ms: float,
        on_unknown_end: Callable[[bytes, bool], None],
        deadlines: Deadlines,
        max_connections: float = math.inf,
    ) -> None:
        self.reactor, self.metrics, self.now_ms = reactor, metrics, now_ms
        self.max_connections = max_connections  # to all servers together, as file descriptors are limited
        self.connect_timeout_s = connect_timeout_ms / 1000.0
        self.on_unknown_end, self.deadlines = on_unknown_end, deadlines
        self.servers: dict[str, Server] = {}
        self.recently_ended: dict[bytes, float] = {}  # call id -> time of its end, oldest first

    def apply_list_update(self, update: interface.ServerListUpdate, addresses: dict[str, Address]) -> None:
        """Applies a server list update; called before that of the engine, which may then send to new servers."""
        if update.kind is not interface.UpdateKind.CHANGES:
            for uid in self.servers.keys() - addresses.keys():
                self._mark_gone(self.servers[uid])
        for entry in update.entries:
            server = self.servers.get(entry.server)
            if server is not None and (
                entry.online_since_ms > server.online_since_ms or server.address != addresses[entry.server]
            ):
                self._mark_gone(server)
                server.drop_calls()  # the uid now names another process: the calls of the old one are lost
                server = None
            if entry.state is interface.ServerState.GONE:
                if server is not None:
                    self._mark_gone(server)
                continue
            if server is None:
                # Prevents keeping the calls of a process that has exited once another has taken its address: open
                # connections may lead to the new process, which never ends calls that it does not have.
                for previous_server in [
                    other for other in self.servers.values() if other.address == addresses[entry.server]
                ]:
                    self._mark_gone(previous_server)
                    previous_server.drop_calls()
                    self.remove_if_unused(previous_server)
                server = self.servers[entry.server] = Server(
                    self, entry.server, addresses[entry.server], entry.state, entry.online_since_ms
                )
                server.connect()
            server.state = entry.state

    def _mark_gone(self, server: Server) -> None:
        """Marks a server as gone: its queued set-ups end, and without a connection its calls end as well."""
        server.state = interface.ServerState.GONE
        queued, server.queued = server.queued, {}
        for attempt in queued.values():
            self.engine.on_attempt_ended(attempt, interface.Outcome.NO_CONNECTION)
        if not server.active:
            server.drop_calls()
        self.remove_if_unused(server)

    def check_connections(self, _: object = None) -> None:
        """Checks all connections, and schedules the next check."""
        now_ms = self.now_ms()
        for server in list(self.servers.values()):
            server.check_connections(now_ms)
        self.deadlines.call_at(now_ms + CHECK_INTERVAL_MS, self.check_connections)

    def has_capacity(self) -> bool:
        """Returns whether an additional connection, beyond the one that each server needs, may be opened.

        Prevents running out of file descriptors: one is reserved for each server without a connection.
        """
        used = sum(
            max(1, len(server.active) + len(server.half_closed)) + server.is_connecting()
            for server in self.servers.values()
        )
        return used < self.max_connections

    def listed_count(self) -> int:
        """Returns the number of servers on the server list."""
        return sum(server.state is not interface.ServerState.GONE for server in self.servers.values())

    def unreachable_count(self) -> int:
        """Returns the number of listed servers whose last connect failed and that have no connection."""
        return sum(
            server.unreachable and not server.active and server.state is not interface.ServerState.GONE
            for server in self.servers.values()
        )

    def remove_if_unused(self, server: Server) -> None:
        """Removes a server that has left the list once it has no calls."""
        if server.state is interface.ServerState.GONE and not server.calls:
            for connection in server.open_connections() + server.half_closed:
                connection.transport.loseConnection()
            if self.servers.get(server.uid) is server:
                del self.servers[server.uid]

    def remember_ended(self, call: bytes) -> None:
        """Records the id of an ended call, and deletes expired records."""
        now_ms = self.now_ms()
        self.recently_ended[call] = now_ms
        while now_ms - next(iter(self.recently_ended.values())) > RECENTLY_ENDED_MS:
            del self.recently_ended[next(iter(self.recently_ended))]

    def parse_load(self, report: memoryview | None) -> interface.Load | None:
        """Parses a load report such as x0:12;x1:40; unknown fields are skipped, and None is returned for None."""
        if report is None:
            return None
        try:
            return parse_load_report(str(report, "ascii"))
        except (UnicodeDecodeError, MalformedError) as exc:
            raise MessageError(f"malformed load report: {exc}") from exc

    # The methods of core.Upstream.

    def send(self, attempt: Attempt) -> interface.Outcome | None:
        server = self.servers.get(attempt.server)
        return interface.Outcome.NO_CONNECTION if server is None else server.send(attempt)

    def cancel(self, attempt: Attempt) -> None:
        server = self.servers.get(attempt.server)
        if server is not None:
            server.cancel_or_release(attempt)

    release = cancel
