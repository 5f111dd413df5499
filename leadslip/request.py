"""A request of a front and its attempts, as the engine holds them and filters see them. No I/O."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from leadslip.deadlines import Deadline


class State(Enum):
    """How far a request has come."""

    OPEN = "open"  # owed a final answer
    STANDING = "standing"  # answered; the call goes on
    OVER = "over"


class Request:
    """One request of a front: owed one final answer until it is over."""

    __slots__ = (
        "id",
        "call_class",
        "number",
        "valid_until_ms",
        "destination",
        "lines",
        "redialled",
        "cut_before",
        "front",
        "payload",
        "context",
        "state",
        "attempt",
        "tries",
        "away_until_ms",
        "guard",
        "taken_ms",
        "attempt_ms",
        "passed",
        "most_tries",
    )

    def __init__(
        self, id_: str, call_class: str, valid_until_ms: float, front: Front, payload: bytes = b""
    ) -> None:
        self.id, self.call_class, self.valid_until_ms = id_, call_class, valid_until_ms
        self.number, self.destination, self.lines = "", -1, 1.0
        self.redialled = self.cut_before = False
        self.front, self.payload = front, payload
        self.context: object = None  # what the front keeps with it
        self.state = State.OPEN
        self.attempt: Attempt | None = None  # out, or carrying the standing call
        self.tries = 0
        self.away_until_ms = 0.0  # nothing may be sent before: what the last attempt held may stay taken
        self.guard: Deadline | None = None
        self.taken_ms = 0.0
        self.attempt_ms = float("inf")  # the longest that one attempt of it may be out
        self.passed: tuple = ()  # the filters that are told what becomes of it
        self.most_tries = 0  # attempts allowed by the settings when it came; they stay its own


class Attempt:
    """One set-up of a request at one server."""

    __slots__ = ("request", "server", "index", "sent_ms", "cut_at_ms", "deadline", "out", "stands")

    def __init__(self, request: Request, server: str, index: int, sent_ms: float, cut_at_ms: float) -> None:
        self.request, self.server, self.index = request, server, index
        self.sent_ms, self.cut_at_ms = sent_ms, cut_at_ms
        self.deadline: Deadline | None = None
        self.out, self.stands = True, False


class Front(Protocol):
    """Where a request came from: it passes the one final answer on, and the end of what stands."""

    def stands(self, request: Request, payload: object) -> None: ...

    def refused(self, request: Request, pause_ms: float) -> None: ...

    def failed(self, request: Request) -> None: ...

    def over(self, request: Request, cut: bool) -> None: ...

    def catch_up(self, request: Request) -> None:
        """Take what its asker has sent and is not read yet: it may have withdrawn the request, or gone."""
