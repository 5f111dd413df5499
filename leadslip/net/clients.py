"""Downstream side of the proxy, towards the callers: turns SIP messages over TCP into requests, answers into SIP."""

from __future__ import annotations

import re
from collections.abc import Callable

from twisted.internet import protocol

from leadslip.core import Engine, Request, State
from leadslip.metrics import Metrics
from leadslip.net.callers import CallerEvidence
from leadslip.net.connections import READ_BYTES, MessageError, TextMessageReceiver
from leadslip.net.drain import ConnectionDrain
from leadslip.net.inbound import SLICE_BYTES, InboundConnection, InboundConnections
from leadslip.net.releases import Releases
from leadslip.readiness import Readiness
from leadslip.request import AnswerReason

HEADER = re.compile(rb"([!-9;-~]+)[ \t]*:[ \t]*([^\r\n]*)\r\n")
# The number called is passed on as text, so only visible ASCII is accepted in it; `@` and `>` end it.
START_LINE = re.compile(
    rb"(?:([A-Z]+) sip:([!-=?A-~]*)(?:@[^\s]*)? SIP/2\.0|SIP/2\.0 ([1-6][0-9][0-9])(?: [^\r\n]*)?)\r\n"
)
CALL_ID = re.compile(rb"[0-9a-fA-F]{16}")
CONTENT_LENGTH = re.compile(rb"\r\n(?:Content-Length|l)[ \t]*:[ \t]*([^\r\n]*)", re.IGNORECASE)
DIGITS = re.compile(rb"[0-9]{1,9}[ \t]*")
ECHOED_HEADERS = (b"via", b"from", b"to", b"call-id", b"cseq")

# A connection on which a set-up arrives this long after SIGTERM is closed despite established calls: if clients still
# use this address, it is assumed that a new process listens there too, which can accept their next connection.
CLOSE_DESPITE_CALLS_AFTER_MS = 900.0
MAX_EXPIRES_DEADLINES = 10.0  # Expires-Ms may be at most this many times the longest deadline of a class
FINAL_STATUS, FIRST_FAILURE_STATUS = (
    200,
    300,
)  # of SIP: lower ones are provisional; from the second on, refusals
MAX_LINES_PER_CALL = 1000.0  # upper limit for `width`, the number of lines that a call occupies


class CallerConnection(InboundConnection, TextMessageReceiver):
    """One connection from callers; it owns the set-ups that arrived on it, but no established call."""

    peer_kind = "clients"

    def __init__(self, downstream: Clients) -> None:
        self.downstream, self.metrics, self.now_ms = (
            downstream,
            downstream.metrics,
            downstream.engine.clock.now_ms,
        )
        self.inbound = downstream.inbound
        self.set_ups: dict[str, Request] = {}  # awaiting an answer on this connection
        self.calls: set[str] = set()  # ids of the calls that were established on this connection and go on
        self.new_requests: dict[str, Request] = {}  # of the current read, not offered yet

    def connectionMade(self) -> None:
        super().connectionMade()
        self.downstream.releases.connection_opened(self)

    def awaits_answer(self) -> bool:
        return bool(self.set_ups)

    def established_calls(self) -> int:
        return len(self.calls)

    def on_closed(self) -> None:
        self.downstream.connection_closed(self)

    def malformed(self, failure: MessageError) -> None:
        super().malformed(failure)
        if self in self.inbound.open:
            self.inbound.log_closed(self, f"malformed: {failure}")
        self.inbound.remove(self)

    def body_length(self, head: memoryview) -> int:
        """Returns the Content-Length, which must occur once: a guess could take a body for the next message."""
        lengths = CONTENT_LENGTH.findall(head)
        if len(lengths) != 1 or not DIGITS.fullmatch(lengths[0]):
            raise MessageError("Content-Length must occur once, with 1 to 9 digits")
        return int(lengths[0])

    def has_new_requests(self) -> bool:
        return bool(self.new_requests)

    def read_finished(self) -> None:
        # Requests are offered only after all available data. Prevents servers from working on set-ups that are
        # cancelled in the same read, or followed by a malformed message. `overflow`: the connection was accepted over
        # the limit, so that its requests are refused; it is closed after its first message.
        new_requests, self.new_requests = self.new_requests, {}
        refusal = AnswerReason.NONE
        if self.overflow:
            refusal = AnswerReason.OVER_CONNECTIONS
        elif new_requests:
            refusal = self.downstream.refusal_of_new_requests()
        for request in new_requests.values():
            self.downstream.engine.offer(request, refusal)
        if self.overflow and self.last_received_ms:
            self.inbound.close(self, "over_limit")

    def read_pending_about(self, request_id: bytes) -> None:
        """Notices whether the peer has left, or has sent a message that may concern one request.

        What is unread is processed at once only if it is short or has the id in it, as each set-up that is about to be
        sent asks for this: otherwise a flood on one connection would delay all others.
        """
        if self.can_not_read():
            return
        room = READ_BYTES - len(self.read_ahead)
        data = self.read_available(room) if room > 0 else None
        if data == b"" or self.peer_has_closed():
            self.inbound.close(self, "ended")
            return
        self.read_ahead += data or b""
        if len(self.read_ahead) >= SLICE_BYTES and request_id not in (self._buffer + self.read_ahead).lower():
            self.process_rest_in_next_turn()
        elif self.read_ahead:
            data, self.read_ahead = self.read_ahead, b""
            self.process(data, may_wait=False)

    def messageReceived(self, head: memoryview, body: memoryview) -> None:
        self.message_received()
        start = START_LINE.match(head)
        if start is None:
            raise MessageError("start line is neither a SIP request with a sip: URI nor a SIP response")
        headers: dict[bytes, bytes] = {}
        offset, size = start.end(), len(head)
        while offset < size:
            match = HEADER.match(head, offset)
            if match is None:
                raise MessageError(f"header at byte {offset} is not of the form 'name: value'")
            headers.setdefault(match.group(1).lower(), match.group(2).strip())
            offset = match.end()
        method, number, status = start.groups()
        if status is not None:
            self.response_received(int(status), headers)
            return
        handler = METHOD_HANDLERS.get(method)
        if handler is not None:
            handler(self, number, headers, body)
        else:
            self.reply(b"501 Not Implemented", headers)

    def response_received(self, status: int, headers: dict[bytes, bytes]) -> None:
        """Handles a response to a release sent by this proxy: its peer has the call, or it does not (as with 481)."""
        if status < FINAL_STATUS or not headers.get(b"cseq", b"").endswith(b"BYE"):
            return
        id_ = parse_call_id(headers)
        if status < FIRST_FAILURE_STATUS:
            self.downstream.releases.acknowledged(id_, self)
        else:
            self.downstream.releases.rejected(id_, self)
        self.downstream.drain.connection_settled(self)

    def invite(self, number: bytes, headers: dict[bytes, bytes], body: memoryview) -> None:
        """Handles a set-up: parses it into a new request, which is offered to the engine at the end of the read."""
        downstream, now_ms = self.downstream, self.now_ms()
        expires_ms = parse_unsigned(
            headers.get(b"expires-ms"), "Expires-Ms must be an integer of 1 to 12 digits"
        )
        if expires_ms > MAX_EXPIRES_DEADLINES * downstream.engine.settings.longest_deadline_ms():
            raise MessageError(
                f"Expires-Ms {expires_ms:.0f} exceeds {MAX_EXPIRES_DEADLINES:.0f} times the longest deadline"
            )
        # Expires-Ms is a duration, while the engine uses Unix time: it is counted from now, when the set-up is parsed.
        request = Request(
            parse_call_id(headers),
            parse_class(headers.get(b"priority-class", b"")),
            now_ms + expires_ms,
            downstream,
            bytes(body),  # a copy, as a view would keep the whole read in memory until the last retry
        )
        request.number_called = number.decode("ascii")
        for field in headers.get(b"p-trunk-info", b"").split(b";"):
            name, _, value = field.partition(b":")
            if name == b"dest":
                request.destination = int(
                    parse_decimal(value, "dest must be a decimal number, such as 1 or -1.5")
                )
            elif name == b"width":
                request.lines = parse_decimal(value, "width must be a decimal number, such as 1 or 1.5")
                if not 0 < request.lines <= MAX_LINES_PER_CALL:
                    raise MessageError(
                        f"width {request.lines} is not above 0 and at most {MAX_LINES_PER_CALL:.0f}"
                    )
            elif name == b"again":
                request.cut_before = value == b"1"
        request.redialled = headers.get(b"p-repeat") == b"1"
        request.context = (self, echo_headers(headers))
        if request.id in self.set_ups:
            # Only one request is tracked per id, and the caller could not tell which of the two an answer is for.
            raise MessageError(f"Call-ID {request.id} is already in use on this connection")
        self.set_ups[request.id] = self.new_requests[request.id] = request
        downstream.releases.add_evidence(self, CallerEvidence.SET_UP)
        shutdown_since_ms = downstream.readiness.shutdown_since_ms
        if shutdown_since_ms and now_ms > shutdown_since_ms + CLOSE_DESPITE_CALLS_AFTER_MS:
            self.close_despite_calls = True

    def cancel(self, number: bytes, headers: dict[bytes, bytes], body: memoryview) -> None:
        """Handles the cancellation of a set-up: answers 200, or 481 if it is not open on this connection."""
        # Only set-ups of this connection may be cancelled, so that no caller cancels those of another.
        request = self.set_ups.get(parse_call_id(headers))
        self.reply(b"200 OK" if request else UNKNOWN_CALL, headers)
        if request is not None and self.new_requests.pop(request.id, None) is not None:
            del self.set_ups[request.id]
        elif request is not None:
            self.downstream.withdraw(request)

    def bye(self, number: bytes, headers: dict[bytes, bytes], body: memoryview) -> None:
        """Handles the release of a call by its caller: answers 200, or 481 if no proxy knows the call."""
        request = self.downstream.engine.established_requests.get(parse_call_id(headers))
        # The caller's release may cross the proxy's own, which then need not be acknowledged any more.
        known = request is not None or self.downstream.releases.released_by_caller(parse_call_id(headers))
        if not known and self.downstream.release_replicated_call is not None:
            # Encoded now, so that the parsed headers need not be kept until the result arrives.
            echoed = echo_headers(headers)

            def on_result(found: bool) -> None:
                if self in self.downstream.connections:
                    status = b"200 OK" if found else UNKNOWN_CALL
                    self.send(b"SIP/2.0 ", status, b"\r\n", echoed, b"Content-Length: 0\r\n\r\n")

            self.downstream.release_replicated_call(parse_call_id(headers), on_result)
            return
        self.reply(b"200 OK" if known else UNKNOWN_CALL, headers)
        if request is not None:
            request.context[0].calls.discard(request.id)
            self.downstream.engine.hang_up(request)
            self.downstream.drain.connection_settled(request.context[0])

    def options(self, number: bytes, headers: dict[bytes, bytes], body: memoryview) -> None:
        """Answers a readiness check: 200 while the proxy is ready, else 503."""
        self.reply(b"200 OK" if self.downstream.readiness.ready() else b"503 Service Unavailable", headers)

    def ack(self, number: bytes, headers: dict[bytes, bytes], body: memoryview) -> None:
        """Ignored: over TCP an answer arrives complete, or the connection ends; answers are never resent."""

    def reply(self, status: bytes, headers: dict[bytes, bytes]) -> None:
        self.send(b"SIP/2.0 ", status, b"\r\n", echo_headers(headers), b"Content-Length: 0\r\n\r\n")


UNKNOWN_CALL = b"481 Call/Transaction Does Not Exist"
METHOD_HANDLERS = {
    b"INVITE": CallerConnection.invite,
    b"ACK": CallerConnection.ack,
    b"CANCEL": CallerConnection.cancel,
    b"BYE": CallerConnection.bye,
    b"OPTIONS": CallerConnection.options,
}


def parse_call_id(headers: dict[bytes, bytes]) -> str:
    """Returns the call's id: 16 hex digits, in lower case."""
    value = headers.get(b"call-id", b"")
    if not CALL_ID.fullmatch(value):
        raise MessageError("Call-ID must be 16 hex digits")
    return value.decode("ascii").lower()


def parse_class(value: bytes) -> str:
    """Returns the name of a class, which need not exist."""
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError as decode_error:
        raise MessageError("Priority-Class must be UTF-8") from decode_error


def parse_unsigned(value: bytes | None, error_text: str) -> float:
    """Parses a non-negative integer of at most 12 digits."""
    if value is None or not value.isdigit() or len(value) > 12:
        raise MessageError(error_text)
    return float(value)


def parse_decimal(value: bytes, error_text: str) -> float:
    """Parses a decimal number of at most 9 digits before and after the point."""
    if not re.fullmatch(rb"-?[0-9]{1,9}(\.[0-9]{1,9})?", value):
        raise MessageError(error_text)
    return float(value)


def echo_headers(headers: dict[bytes, bytes]) -> bytes:
    """Returns the headers that a response repeats from the request."""
    return b"".join(
        b"%s: %s\r\n" % (HEADER_NAMES[name], headers[name]) for name in ECHOED_HEADERS if name in headers
    )


HEADER_NAMES = {b"via": b"Via", b"from": b"From", b"to": b"To", b"call-id": b"Call-ID", b"cseq": b"CSeq"}


class Clients(protocol.Factory):
    """The callers' side of the proxy: all their connections, and the releases of their calls."""

    noisy = False

    def __init__(
        self, engine: Engine, metrics: Metrics, max_connections: int, readiness: Readiness, overflow: int = 0
    ) -> None:
        self.engine, self.metrics, self.readiness = engine, metrics, readiness
        self.inbound = InboundConnections(
            metrics, "clients", max_connections, engine.deadlines, overflow, engine.log
        )
        self.connections = self.inbound.open
        self.drain = ConnectionDrain(self.inbound, readiness)
        self.releases = Releases(engine, self.inbound)
        # Releases a call that this engine does not have, and calls back with whether its server was found.
        # None: calls are not replicated to other proxies.
        self.release_replicated_call: Callable[[str, Callable[[bool], None]], None] | None = None

    def buildProtocol(self, addr: object) -> CallerConnection | None:
        return CallerConnection(self) if self.inbound.has_capacity() else None

    def connection_closed(self, connection: CallerConnection) -> None:
        """Sends the unacknowledged releases of a closed connection elsewhere, and cancels its set-ups."""
        self.releases.connection_closed(connection)
        for id_ in connection.new_requests:
            del connection.set_ups[id_]  # never offered
        connection.new_requests = {}
        for request in list(connection.set_ups.values()):
            self.withdraw(request)

    def refusal_of_new_requests(self) -> AnswerReason:
        """Returns why a request that has arrived just now is refused, or NONE if it is not."""
        now_ms = self.engine.clock.now_ms()
        if self.readiness.exit_is_near(now_ms, self.engine.settings.longest_deadline_ms()):
            return AnswerReason.SHUTTING_DOWN
        if self.readiness.refuses_while_out_of_service(now_ms):
            return AnswerReason.OUT_OF_SERVICE
        return AnswerReason.NONE

    def close_connections(self) -> bool:
        """Closes every connection once its write buffer is sent; returns whether all have closed.

        Called when all requests are answered and the engine has shut down: set-ups in data that is still unread are
        refused. A set-up that crosses the close of a connection is sent again by its caller.
        """
        for connection in list(self.connections):
            connection.read_pending()
            if connection in self.connections:
                self.inbound.close(connection, "shutdown")
        return not self.inbound.closing

    def read_pending(self, request: Request) -> None:
        """Called by the engine before it sends the request to a server: processes a cancellation that has arrived."""
        request.context[0].read_pending_about(request.id.encode("ascii"))

    def withdraw(self, request: Request) -> None:
        """Cancels a set-up whose caller has left or cancelled it; it gets no answer."""
        request.context[0].set_ups.pop(request.id, None)
        self.engine.cancel(request)
        self.drain.connection_settled(request.context[0])

    # Called by the engine.

    def on_established(self, request: Request, payload: object) -> None:
        connection = request.context[0]
        connection.calls.add(request.id)
        length_header = b"Content-Length: %d\r\n\r\n" % len(payload)
        self._answer(request, b"SIP/2.0 200 OK\r\n", length_header, payload)
        request.context = (connection, b"")  # the echoed headers are not needed for the call's end
        self.releases.add_evidence(connection, CallerEvidence.ESTABLISHED)

    def on_refused(self, request: Request, retry_after_ms: float) -> None:
        back_off = b"P-Back-Off: %d\r\n" % int(retry_after_ms) if retry_after_ms >= 1 else b""
        self._answer(request, b"SIP/2.0 503 Service Unavailable\r\n", back_off, b"Content-Length: 0\r\n\r\n")

    def on_failed(self, request: Request) -> None:
        self._answer(request, b"SIP/2.0 500 Server Internal Error\r\n", b"Content-Length: 0\r\n\r\n")

    def call_ended(self, request: Request, cut: bool) -> None:
        """Releases an ended call on its own connection, or on any other that is open."""
        connection = request.context[0]
        connection.calls.discard(request.id)
        self.releases.release(request.id, cut, connection if connection in self.connections else None)

    def _answer(self, request: Request, status_line: bytes, *rest: bytes | memoryview) -> None:
        """Sends a final answer if the connection of the set-up is open; `rest` follows the echoed headers."""
        connection, echoed = request.context
        if connection.set_ups.get(request.id) is request:
            del connection.set_ups[request.id]
        if connection in self.connections:
            connection.send(status_line, echoed, *rest)
        elif request.state is State.ESTABLISHED:
            self.metrics.add("clients.answer_lost")
        if request.state is not State.ESTABLISHED:
            self.drain.connection_settled(connection)
