"""Requests and their attempts, as tracked by the engine and passed to filters. No I/O."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from leadslip.deadlines import Deadline


class State(Enum):
    """Lifecycle state of a request."""

    OPEN = "open"  # no final answer sent yet
    ESTABLISHED = "standing"  # answered; the call is established
    ENDED = "over"


class Request:
    """One request from the downstream side, which receives exactly one final answer."""

    __slots__ = (
        "id",
        "call_class",
        "number",
        "valid_until_ms",
        "destination",
        "lines",
        "redialled",
        "cut_before",
        "downstream",
        "payload",
        "context",
        "state",
        "attempt",
        "attempt_count",
        "not_before_ms",
        "overall_deadline",
        "received_at_ms",
        "max_attempt_ms",
        "admitted_by",
        "max_attempts",
    )

    def __init__(
        self, id_: str, call_class: str, valid_until_ms: float, downstream: Downstream, payload: bytes = b""
    ) -> None:
        self.id, self.call_class, self.valid_until_ms = id_, call_class, valid_until_ms
        self.number, self.destination, self.lines = "", -1, 1.0
        self.redialled = self.cut_before = False
        self.downstream, self.payload = downstream, payload
        self.context: object = None  # private data of the downstream side
        self.state = State.OPEN
        self.attempt: Attempt | None = None  # in progress, or carrying the established call
        self.attempt_count = 0
        self.not_before_ms = 0.0  # no attempt before: resources of the last one may still be in use
        self.overall_deadline: Deadline | None = None
        self.received_at_ms = 0.0
        self.max_attempt_ms = float("inf")  # upper limit for the duration of one attempt
        self.admitted_by: tuple = ()  # the filters to notify of its progress
        self.max_attempts = (
            0  # attempts allowed by the settings when it was received; later changes do not apply
        )


class Attempt:
    """One set-up of a request at one server."""

    __slots__ = (
        "request",
        "server",
        "index",
        "sent_ms",
        "timeout_at_ms",
        "deadline",
        "active",
        "established",
    )

    def __init__(
        self, request: Request, server: str, index: int, sent_ms: float, timeout_at_ms: float
    ) -> None:
        self.request, self.server, self.index = request, server, index
        self.sent_ms, self.timeout_at_ms = sent_ms, timeout_at_ms
        self.deadline: Deadline | None = None
        self.active, self.established = True, False


class Downstream(Protocol):
    """The side a request came from: receives its one final answer, and the end of an established call."""

    def established(self, request: Request, payload: object) -> None: ...

    def refused(self, request: Request, pause_ms: float) -> None: ...

    def failed(self, request: Request) -> None: ...

    def call_ended(self, request: Request, cut: bool) -> None: ...

    def read_pending(self, request: Request) -> None:
        """Read what its sender has already sent: it may have cancelled the request or disconnected."""
