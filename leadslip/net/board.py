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
from leadslip.core import Deadlines

SILENT_MS = 3000.0  # a comment comes every second: after three without a line the connection is dead
AGAIN_MS = 200.0  # before the next poll, so that a board that answers and ends at once is not hammered
MAX_LINE = 256 * 1024  # a whole list in one line


class Events(LineReceiver):
    """The body of one poll, line by line."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE

    def __init__(self, board: Board) -> None:
        self.board = board
        self.id, self.data = "", b""

    def lineReceived(self, line: bytes) -> None:
        self.board.alive()
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
        self.board.ended(self)


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
        host, port = address
        self.url = f"http://{f'[{host}]' if ':' in host else host}:{port}/board/poll".encode()
        self.agent = Agent(reactor, connectTimeout=connect_timeout_s)
        self.deadlines, self.tally, self.last, self.told = deadlines, tally, last, told
        self.asking: defer.Deferred | None = None
        self.events: Events | None = None
        self.heard_ms = 0.0
        self.stopped = False

    def poll(self, _: object = None) -> None:
        """Ask for all events after the last one known."""
        if self.stopped:
            return
        headers = Headers({"Last-Event-ID": [str(self.last)], "Accept": ["text/event-stream"]})
        self.alive()
        self.asking = self.agent.request(b"GET", self.url, headers)
        self.asking.addCallbacks(self._begun, self._failed)
        self.deadlines.at(self.heard_ms + SILENT_MS, self._watch, self.asking)

    def alive(self) -> None:
        self.heard_ms = self.deadlines.clock.now_ms()

    def stop(self) -> None:
        """Poll no more."""
        self.stopped = True
        self._drop()

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

    def ended(self, events: Events) -> None:
        if self.events is events:
            self.events = None
            self._again()

    def _begun(self, response: object) -> None:
        if response.code != 200:
            self.tally.add("board.errors")
        self.events = Events(self)
        response.deliverBody(self.events)

    def _failed(self, reason: object) -> None:
        self.tally.add("board.unreachable")
        self._again()

    def _again(self) -> None:
        self.asking = None
        if not self.stopped:
            self.deadlines.at(self.deadlines.clock.now_ms() + AGAIN_MS, self.poll)

    def _watch(self, asking: defer.Deferred) -> None:
        """A board that vanished says nothing: after the silence the poll is dropped and begun anew."""
        if self.asking is not asking or self.stopped:
            return
        due_ms = self.heard_ms + SILENT_MS
        if self.deadlines.clock.now_ms() < due_ms:
            self.deadlines.at(due_ms, self._watch, asking)
            return
        self.tally.add("board.silent")
        self._drop()

    def _drop(self) -> None:
        if self.events is not None:
            # The body's transport is a proxy that knows no abortConnection.
            self.events.transport.loseConnection()
        elif self.asking is not None:
            self.asking.cancel()
