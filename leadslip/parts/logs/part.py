"""The part of logging: at level `debug` it logs the end of each attempt and the answer to each request."""

from __future__ import annotations

from leadslip import interface
from leadslip.core import Observer
from leadslip.logs import Log
from leadslip.parts.part import Part
from leadslip.request import Attempt, Request


class RequestLog:
    """Logs attempts and answers of one engine, with the request's id, the outcome and the reason."""

    def __init__(self, log: Log) -> None:
        self.log = log

    def attempt_ended(self, attempt: Attempt, outcome: interface.Outcome, now_ms: float) -> None:
        self.log(
            "attempt.ended",
            level="debug",
            id=attempt.request.id,
            server=attempt.server,
            attempt=attempt.index,
            outcome=outcome.value,
            established=attempt.established,
            after_ms=round(now_ms - attempt.sent_ms),
        )

    def request_answered(self, request: Request, answer: str, now_ms: float) -> None:
        self.log(
            "request.answered",
            level="debug",
            id=request.id,
            request_class=request.call_class,
            answer=answer,
            reason=request.answer_reason.value,
            attempts=request.attempt_count,
            after_ms=round(now_ms - request.received_at_ms),
            left_ms=round(request.valid_until_ms - now_ms),
        )


class Logs(Part):
    """Observes both engines at level `debug`; `__main__` opens the log before it creates the proxy and its parts."""

    def add_observers(self, observers: dict[str, list[Observer]]) -> None:
        if self.conf.level == "debug":
            for engine_observers in observers.values():
                engine_observers.append(RequestLog(self.node.log))


PART = Logs
