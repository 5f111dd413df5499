"""The ordered chain ahead of the Controller: each filter passes a request, changes it, or refuses it.

A filter decides and does no I/O. It may set a request's destination, bring its end nearer or bound its attempts
(`destination`, `valid_until_ms`, `attempt_ms`); it can't lengthen what the caller waits for, nor undo what the
rules ask. What a filter has passed it is told the fate of, also after the chain has been replaced.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from leadslip.checks import Tally
from leadslip.logs import Log
from leadslip.request import Request


class Refused:
    """A filter's refusal: the caller is told to stay away for so many milliseconds (nought: no time is told)."""

    __slots__ = ("pause_ms",)

    def __init__(self, pause_ms: float = 0.0) -> None:
        self.pause_ms = pause_ms


class Filter(Protocol):
    """One decision ahead of the Controller. Times are Unix milliseconds of the engine's clock."""

    name: str  # of its counters; no two in a chain share one

    def admit(self, request: Request, now_ms: float) -> Refused | None:
        """Pass (None), perhaps with changes to the request, or refuse it."""

    def stood(self, request: Request, now_ms: float) -> None:
        """A request that it passed is answered: the call stands."""

    def ended(self, request: Request, now_ms: float) -> None:
        """A request that it passed is over: refused, failed, left by its caller, or its call has ended."""


class Chain:
    """Filters in order, with counters for each; replaced whole while requests are open.

    Each request keeps the filters that passed it (`Request.passed`), so that every `admit` that passed is followed
    by exactly one `ended`, whatever became of the chain meanwhile.
    """

    def __init__(self, tally: Tally, log: Log, filters: Sequence[Filter] = ()) -> None:
        self.tally, self.log = tally, log
        self.filters: tuple[Filter, ...] = ()
        self.raised: set[str] = set()
        self.replace(filters)

    def replace(self, filters: Sequence[Filter]) -> None:
        """Take these filters for what comes from now on; what is open ends at those that passed it."""
        names = [held.name for held in filters]
        if len(set(names)) < len(names):
            raise ValueError(f"two filters share a name: {names}")
        self.filters = tuple(filters)

    def admit(self, request: Request, now_ms: float) -> Refused | None:
        """Ask the filters in order; the first refusal ends it, and those that had passed it are told."""
        filters = self.filters
        latest_ms = request.valid_until_ms
        for at, held in enumerate(filters):
            try:
                refused = held.admit(request, now_ms)
            except Exception as fault:  # guards against one filter's fault costing calls their answers
                self._raised(held, fault)
                refused = None
            # Guards against a filter that makes a caller's patience longer than it is.
            request.valid_until_ms = min(request.valid_until_ms, latest_ms)
            if refused is not None:
                self.tally.add(f"filters.{held.name}.refused")
                request.passed = filters[:at]
                self.ended(request, now_ms)
                return refused
        request.passed = filters
        return None

    def stood(self, request: Request, now_ms: float) -> None:
        """Tell those that passed a request that its call stands."""
        for held in request.passed:
            try:
                held.stood(request, now_ms)
            except Exception as fault:
                self._raised(held, fault)

    def ended(self, request: Request, now_ms: float) -> None:
        """Tell those that passed a request that it is over, the last to pass it first; once only."""
        passed, request.passed = request.passed, ()
        for held in reversed(passed):
            try:
                held.ended(request, now_ms)
            except Exception as fault:
                self._raised(held, fault)

    def _raised(self, held: Filter, fault: Exception) -> None:
        self.tally.add(f"filters.{held.name}.raised")
        if held.name not in self.raised:  # once: a fault in each call must not fill the log
            self.raised.add(held.name)
            told = f"{type(fault).__name__}: {fault}"
            self.log("filter.raised", level="error", filter=held.name, fault=told)
