"""Ordered chain of request filters ahead of the Controller; each admits, modifies or refuses a request.

A filter decides and does no I/O. It may set a request's destination, bring its deadline forward or limit the
duration of its attempts (`destination`, `valid_until_ms`, `max_attempt_ms`); it can neither extend the caller's
deadline nor override the proxy's rules. A filter is notified when the call of a request that it admitted is
established and when the request ends, even if the chain has been replaced meanwhile.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from leadslip.logs import Log
from leadslip.metrics import Metrics
from leadslip.request import Request


class Refusal:
    """A filter's refusal; the caller is asked to retry after `pause_ms` milliseconds (0: no time is given)."""

    __slots__ = ("pause_ms",)

    def __init__(self, pause_ms: float = 0.0) -> None:
        self.pause_ms = pause_ms


class Filter(Protocol):
    """Admits, modifies or refuses requests before the Controller gets them. Times are Unix ms of the engine's clock."""

    name: str  # part of the names of its counters; unique within a chain

    def admit(self, request: Request, now_ms: float) -> Refusal | None:
        """Admits a request (None), possibly after modifying it, or refuses it."""

    def established(self, request: Request, now_ms: float) -> None:
        """Called when the call of an admitted request is established."""

    def ended(self, request: Request, now_ms: float) -> None:
        """Called when an admitted request ends: refused, failed, abandoned by its caller, or its call ended."""


class Chain:
    """Filters in order, with counters for each; they can be replaced while requests are open.

    Each request keeps the filters that admitted it (`Request.admitted_by`), so that every `admit` that returns None
    is followed by exactly one `ended`, even if the filters have been replaced meanwhile.
    """

    def __init__(self, metrics: Metrics, log: Log, filters: Sequence[Filter] = ()) -> None:
        self.metrics, self.log = metrics, log
        self.filters: tuple[Filter, ...] = ()
        self.logged_names: set[str] = set()  # filters of which an exception has been logged
        self.replace(filters)

    def replace(self, filters: Sequence[Filter]) -> None:
        """Uses these filters for new requests; open requests end at the filters that admitted them."""
        names = [filter_.name for filter_ in filters]
        if len(set(names)) < len(names):
            raise ValueError(f"filter names must be unique within a chain: {names}")
        self.filters = tuple(filters)

    def admit(self, request: Request, now_ms: float) -> Refusal | None:
        """Asks the filters in order. At the first refusal, returns it and notifies those that had admitted the request.

        A filter that raises is skipped, and counts as having admitted the request.
        """
        filters = self.filters
        caller_deadline_ms = request.valid_until_ms
        for index, filter_ in enumerate(filters):
            try:
                refusal = filter_.admit(request, now_ms)
            except Exception as error:  # otherwise the request would get no answer
                self._log_failure(filter_, error)
                refusal = None
            # A filter may not move the deadline beyond the time that the caller waits.
            request.valid_until_ms = min(request.valid_until_ms, caller_deadline_ms)
            if refusal is not None:
                self.metrics.add(f"filters.{filter_.name}.refused")
                request.admitted_by = filters[:index]
                self.ended(request, now_ms)
                return refusal
        request.admitted_by = filters
        return None

    def established(self, request: Request, now_ms: float) -> None:
        """Notifies the filters that admitted a request that its call is established."""
        for filter_ in request.admitted_by:
            try:
                filter_.established(request, now_ms)
            except Exception as error:
                self._log_failure(filter_, error)

    def ended(self, request: Request, now_ms: float) -> None:
        """Notifies the filters that admitted a request that it has ended, in reverse order and only once."""
        admitting_filters, request.admitted_by = request.admitted_by, ()
        for filter_ in reversed(admitting_filters):
            try:
                filter_.ended(request, now_ms)
            except Exception as error:
                self._log_failure(filter_, error)

    def _log_failure(self, filter_: Filter, error: Exception) -> None:
        """Counts an exception of a filter, and logs the first one of each filter name."""
        self.metrics.add(f"filters.{filter_.name}.raised")
        if filter_.name not in self.logged_names:  # a failure at each request would fill the log
            self.logged_names.add(filter_.name)
            text = f"{type(error).__name__}: {error}"
            self.log("filter.raised", level="error", filter=filter_.name, fault=text)
