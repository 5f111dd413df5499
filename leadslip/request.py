"""Requests and their attempts, as tracked by the engine and passed to filters. Does no I/O."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from leadslip.deadlines import Deadline


class State(Enum):
    """Lifecycle state of a request."""

    OPEN = "open"  # no final answer sent yet
    ESTABLISHED = "standing"  # answered; the call is established
    ENDED = "over"  # refused, failed, cancelled, or the call has ended


class AnswerReason(Enum):
    """Why a request was refused or failed without a decision of the Controller or a result of a server."""

    NONE = "none"  # the Controller or a server decided, or there is no answer yet
    SHUTTING_DOWN = "shutting_down"  # the process exits before the request could be answered
    OUT_OF_SERVICE = "out_of_service"  # operators took the proxy out of service too long before
    OVER_CONNECTIONS = "over_connections"  # it came on a connection over the limit of connections
    OVER_REQUESTS = "over_requests"  # as many requests as allowed are open
    FILTERED = "filtered"  # a filter refused it
    OVERDUE = "overdue"  # its time ran out
    ALREADY_SENT = "already_sent"  # a request with the same id was sent to a server before
    ANSWER_LOST = "answer_lost"  # its call ended at the server before the answer arrived


class Request:
    """One request from the downstream side, which gets exactly one final answer unless its caller cancels it.

    `destination` is the number of the server that is its first choice (-1: none), `lines`
    how many lines the call takes. Times are Unix milliseconds.
    """

    __slots__ = (
        "id",
        "call_class",
        "number_called",
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
        "answer_reason",
        "claimed",
    )

    def __init__(
        self, id_: str, call_class: str, valid_until_ms: float, downstream: Downstream, payload: bytes = b""
    ) -> None:
        self.id, self.call_class, self.valid_until_ms = id_, call_class, valid_until_ms
        self.number_called, self.destination, self.lines = "", -1, 1.0
        # The caller repeats a call that was not established; the call replaces one that was cut.
        self.redialled = self.cut_before = False
        self.downstream, self.payload = (
            downstream,
            payload,
        )  # sent to servers; empty once the call is established
        self.context: object = None  # private data of the downstream side
        self.state = State.OPEN
        self.attempt: Attempt | None = None  # in progress, or carrying the established call
        self.attempt_count = 0
        self.not_before_ms = 0.0  # no attempt before: the last one's server may still release its resources
        self.overall_deadline: Deadline | None = None
        self.received_at_ms = 0.0
        self.max_attempt_ms = float("inf")  # upper limit for the duration of one attempt, set by filters
        self.admitted_by: tuple = ()  # filters to notify when it is established and ends
        # As in the settings when it was received; later changes do not apply.
        self.max_attempts = 0
        self.answer_reason = AnswerReason.NONE
        self.claimed = False  # its id is recorded as sent


class Attempt:
    """One set-up of a request at one server; `index` counts the request's attempts from 0."""

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
        self.deadline: Deadline | None = None  # scheduled for timeout_at_ms, until it is answered or ends
        self.active, self.established = True, False  # not ended yet; answered


class Downstream(Protocol):
    """The side a request came from: receives its one final answer, and the end of an established call."""

    def on_established(self, request: Request, payload: object) -> None:
        """Final answer: the call is established; `payload` is the server's answer."""

    def on_refused(self, request: Request, pause_ms: float) -> None:
        """Final answer: refused; the caller is asked to retry after `pause_ms` (0: no time is given)."""

    def on_failed(self, request: Request) -> None:
        """Final answer: failed."""

    def call_ended(self, request: Request, cut: bool) -> None:
        """The established call has ended other than by its caller; `cut` unless it ended normally."""

    def read_pending(self, request: Request) -> None:
        """Process what the caller has sent and is still unread: it may have cancelled the request or disconnected."""
