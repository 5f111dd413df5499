"""Client of the notice board: server-sent events over HTTP, polled again when a stream ends or falls silent.

A poll that is not answered in time is not cancelled at once when the next one starts: a board that is slower than the
time-out would otherwise never be heard. Whichever poll is answered first becomes the current one.
"""

from __future__ import annotations

import json
from collections.abc import Callable

from twisted.internet import defer, protocol
from twisted.protocols.basic import LineReceiver
from twisted.web.client import Agent
from twisted.web.http_headers import Headers

from leadslip.config import Address, MalformedError, Notice, parse_notice
from leadslip.deadlines import Deadline, Deadlines
from leadslip.metrics import Metrics

SILENCE_TIMEOUT_MS = 2500.0  # the board sends a comment every second; without two, the connection is dead
POLL_DELAY_MS = 200.0  # limits the rate of polls of a board that ends each poll at once
MAX_UNANSWERED_POLLS = 3  # the oldest is cancelled when another one starts
MAX_LINE_BYTES = 256 * 1024  # a complete server list is one line


def poll_url(address: Address) -> bytes:
    """Returns the URL to poll at the board's address."""
    host, port = address
    return f"http://{f'[{host}]' if ':' in host else host}:{port}/board/poll".encode()


class EventStream(LineReceiver):
    """Parses the response body of one poll, line by line."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, board: BoardClient, poll: int) -> None:
        self.board, self.poll = board, poll
        self.id, self.data = "", b""  # of the event that is being received

    def lineReceived(self, line: bytes) -> None:
        if not self.board.line_received(self.poll):
            return
        field, _, value = line.rstrip(b"\r").partition(b":")
        value = value.removeprefix(b" ")
        if field == b"id":
            self.id = value.decode("ascii", "replace")
        elif field == b"data":
            self.data += b"\n" + value if self.data else value
        elif not line.rstrip(b"\r") and self.data:
            data, self.data = self.data, b""
            if not self.board.event_received(self.id, data):
                self.transport.loseConnection()

    def connectionLost(self, reason: object = None) -> None:
        self.board.stream_ended(self.poll)


class DiscardedBody(protocol.Protocol):
    """Closes the connection of a response whose body is not wanted."""

    def connectionMade(self) -> None:
        self.transport.loseConnection()


class BoardClient:
    """Keeps one poll open, and passes on each notice once and in order; further polls only wait for an answer."""

    def __init__(
        self,
        reactor: object,
        deadlines: Deadlines,
        metrics: Metrics,
        address: Address,
        last_event_id: int,
        on_notice: Callable[[Notice], None],
        connect_timeout_s: float,
    ) -> None:
        self.url = poll_url(address)
        self.agent = Agent(reactor, connectTimeout=connect_timeout_s)
        self.deadlines, self.metrics, self.last_event_id, self.on_notice = (
            deadlines,
            metrics,
            last_event_id,
            on_notice,
        )
        self.unanswered: dict[int, defer.Deferred] = {}  # polls without a response, by number, oldest first
        self.stream: EventStream | None = None
        self.last_received_ms = 0.0
        self.last_poll = 0  # number of the poll started last
        self.current_poll = 0  # number of the poll whose data counts; that of all others is ignored
        self.timer: Deadline | None = None  # the next silence check of the current poll, or the next poll

    def poll(self, _: object = None) -> None:
        """Requests all events after the last one received; ends the current stream."""
        self._end_stream()
        self.last_poll += 1
        poll = self.current_poll = self.last_poll
        while len(self.unanswered) >= MAX_UNANSWERED_POLLS:
            self.unanswered.pop(next(iter(self.unanswered))).cancel()
        headers = Headers({"Last-Event-ID": [str(self.last_event_id)], "Accept": ["text/event-stream"]})
        self.line_received(poll)
        self.timer = self.deadlines.call_at(
            self.last_received_ms + SILENCE_TIMEOUT_MS, self._check_silence, poll
        )
        response = self.unanswered[poll] = self.agent.request(b"GET", self.url, headers)
        response.addCallbacks(
            self._response_received, self._request_failed, callbackArgs=(poll,), errbackArgs=(poll,)
        )

    def change_address(self, address: Address) -> None:
        """Polls at another address from now on; event numbers continue."""
        # Polls at once: waiting for the old board's stream to end would leave a gap without events between the last one
        # of that stream and its end.
        self.stop()
        self.url = poll_url(address)
        self.poll()

    def line_received(self, poll: int) -> bool:
        """Resets the silence time-out if a line belongs to the current poll; returns whether it does."""
        if poll == self.current_poll:
            self.last_received_ms = self.deadlines.clock.now_ms()
        return poll == self.current_poll

    def stop(self) -> None:
        """Cancels all polls; nothing is received until the next poll."""
        self._end_stream()
        self._cancel_unanswered()

    def _end_stream(self) -> None:
        """Ends the current stream and its timer; its number counts for no poll until the next one starts."""
        self.last_poll += 1
        self.current_poll = self.last_poll
        self.deadlines.cancel(self.timer)
        stream, self.timer, self.stream = self.stream, None, None
        if stream is not None:
            # Twisted's wrapper of the transport, which a response body gets, has no abortConnection.
            stream.transport.loseConnection()

    def _cancel_unanswered(self) -> None:
        unanswered, self.unanswered = self.unanswered, {}
        for response in unanswered.values():
            response.cancel()

    def event_received(self, id_: str, data: bytes) -> bool:
        """Passes on a new event once; returns False, which ends the poll, if it is malformed."""
        try:
            notice = parse_notice(json.loads(data), "notice")
        except (ValueError, MalformedError):
            self.metrics.add("board.malformed")
            return False
        number = int(id_) if id_.isascii() and id_.isdigit() else notice.rev
        if number > self.last_event_id:
            self.last_event_id = number
            self.metrics.add("board.notices")
            self.on_notice(notice)
        return True

    def stream_ended(self, poll: int) -> None:
        """Schedules the next poll if the stream was that of the current one."""
        if poll == self.current_poll:
            self._schedule_poll()

    def _response_received(self, response: object, poll: int) -> None:
        """Makes the poll that was answered first the current one, and cancels all others."""
        if self.unanswered.pop(poll, None) is None:
            return
        if response.code != 200:
            self.metrics.add("board.errors")
            if poll != self.current_poll:
                response.deliverBody(DiscardedBody())
                return
        self._cancel_unanswered()
        if poll != self.current_poll:
            self._end_stream()
            self.current_poll = poll
            self.timer = self.deadlines.call_at(
                self.deadlines.clock.now_ms() + SILENCE_TIMEOUT_MS, self._check_silence, poll
            )
        self.line_received(poll)
        self.stream = EventStream(self, poll)
        response.deliverBody(self.stream)

    def _request_failed(self, reason: object, poll: int) -> None:
        if self.unanswered.pop(poll, None) is not None and poll == self.current_poll:
            self.metrics.add("board.unreachable")
            self._schedule_poll()

    def _schedule_poll(self) -> None:
        self._end_stream()
        self.timer = self.deadlines.call_at(self.deadlines.clock.now_ms() + POLL_DELAY_MS, self.poll)

    def _check_silence(self, poll: int) -> None:
        """Polls again if nothing was received for the silence time-out: a crashed machine ends no connection."""
        due_ms = self.last_received_ms + SILENCE_TIMEOUT_MS
        if self.deadlines.clock.now_ms() < due_ms:
            self.timer = self.deadlines.call_at(due_ms, self._check_silence, poll)
            return
        self.metrics.add("board.silent")
        self.poll()
