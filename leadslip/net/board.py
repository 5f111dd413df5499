"""The notice board: server-sent events over HTTP, polled again whenever they end or fall silent."""

from __future__ import annotations

import json
from collections.abc import Callable

from twisted.internet import defer
from twisted.protocols.basic import LineReceiver
from twisted.web.client import Agent
from twisted.web.http_headers import Headers

from leadslip.checks import Tally
from leadslip.config import Address, MalformedError, Notice, notice_of
from leadslip.deadlines import Deadline, Deadlines

SILENT_MS = 2500.0  # a comment comes every second: after two have failed the connection is dead
AGAIN_MS = 200.0  # before the next poll, so that a board that answers and ends at once is not hammered
MAX_LINE = 256 * 1024  # a whole list in one line


def url_of(address: Address) -> bytes:
    """Where to poll."""
    host, port = address
    return f"http://{f'[{host}]' if ':' in host else host}:{port}/board/poll".encode()


class Events(LineReceiver):
    """The body of one poll, line by line."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE

    def __init__(self, board: Board, poll: int) -> None:
        self.board, self.poll = board, poll
        self.id, self.data = "", b""

    def lineReceived(self, line: bytes) -> None:
        if not self.board.alive(self.poll):
            return
        field, _, value = line.rstrip(b"\r").partition(b":")
        value = value.removeprefix(b" ")
        if field == b"id":
            self.id = value.decode("ascii", "replace")
        elif field == b"data":
            self.data += b"\n" + value if self.data else value
        elif not line.rstrip(b"\r") and self.data:
            data, self.data = self.data, b""
            if not self.board.take(self.id, data):
                self.transport.loseConnection()

    def connectionLost(self, reason: object = None) -> None:
        self.board.ended(self.poll)


class Board:
    """Keeps one poll open and hands on what it tells, in order and once."""

    def __init__(
        self,
        reactor: object,
        deadlines: Deadlines,
        tally: Tally,
        address: Address,
        last: int,
        told: Callable[[Notice], None],
        connect_timeout_s: float,
    ) -> None:
        self.url = url_of(address)
        self.agent = Agent(reactor, connectTimeout=connect_timeout_s)
        self.deadlines, self.tally, self.last, self.told = deadlines, tally, last, told
        self.asking: defer.Deferred | None = None
        self.events: Events | None = None
        self.heard_ms = 0.0
        self.polls = 0  # the number of the present poll; what an earlier one still brings is not heard
        self.due: Deadline | None = None  # the look whether this poll is silent, or the next poll

    def poll(self, _: object = None) -> None:
        """Ask for all events after the last one known; a poll still under way is dropped."""
        self.stop()
        poll = self.polls
        headers = Headers({"Last-Event-ID": [str(self.last)], "Accept": ["text/event-stream"]})
        self.alive(poll)
        self.due = self.deadlines.at(self.heard_ms + SILENT_MS, self._watch, poll)
        self.asking = self.agent.request(b"GET", self.url, headers)
        self.asking.addCallbacks(self._begun, self._failed, callbackArgs=(poll,), errbackArgs=(poll,))

    def move(self, address: Address) -> None:
        """Poll at another address from now on; the numbering goes on."""
        # Guards against hearing nothing between the old board's last word and the end of its connection.
        self.url = url_of(address)
        self.poll()

    def alive(self, poll: int) -> bool:
        """A line has come; whether it is the present poll's."""
        if poll == self.polls:
            self.heard_ms = self.deadlines.clock.now_ms()
        return poll == self.polls

    def stop(self) -> None:
        """Drop what is under way; nothing more is heard until the next poll."""
        self.polls += 1
        self.deadlines.cancel(self.due)
        events, asking, self.due, self.events, self.asking = self.events, self.asking, None, None, None
        if events is not None:
            # The body's transport is a proxy that knows no abortConnection.
            events.transport.loseConnection()
        elif asking is not None:
            asking.cancel()

    def take(self, id_: str, data: bytes) -> bool:
        """One event; told once, and one that can't be read ends the poll."""
        try:
            notice = notice_of(json.loads(data), "notice")
        except (ValueError, MalformedError):
            self.tally.add("board.malformed")
            return False
        number = int(id_) if id_.isascii() and id_.isdigit() else notice.rev
        if number > self.last:
            self.last = number
            self.tally.add("board.notices")
            self.told(notice)
        return True

    def ended(self, poll: int) -> None:
        if poll == self.polls:
            self._again()

    def _begun(self, response: object, poll: int) -> None:
        if response.code != 200:
            self.tally.add("board.errors")
        if poll == self.polls:
            self.events = Events(self, poll)
            response.deliverBody(self.events)

    def _failed(self, reason: object, poll: int) -> None:
        if poll == self.polls:
            self.tally.add("board.unreachable")
            self._again()

    def _again(self) -> None:
        self.stop()
        self.due = self.deadlines.at(self.deadlines.clock.now_ms() + AGAIN_MS, self.poll)

    def _watch(self, poll: int) -> None:
        """A board that vanished says nothing: after the silence the poll is dropped and begun anew."""
        due_ms = self.heard_ms + SILENT_MS
        if self.deadlines.clock.now_ms() < due_ms:
            self.due = self.deadlines.at(due_ms, self._watch, poll)
            return
        self.tally.add("board.silent")
        self.poll()
