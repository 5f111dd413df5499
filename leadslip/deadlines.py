"""Deadline scheduler: a heap of callbacks behind a single timer. Pure: clock and scheduler are passed in."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Protocol

MIN_CANCELLED_TO_COMPACT = 1024  # fewer cancelled deadlines than this stay in the heap


class Clock(Protocol):
    """Returns the time in Unix milliseconds."""

    def now_ms(self) -> float: ...


class Timer(Protocol):
    """A pending timer that can be rescheduled."""

    def active(self) -> bool: ...

    def reset(self, seconds: float) -> None: ...


class Scheduler(Protocol):
    """Calls a function once after a delay in seconds."""

    def callLater(self, seconds: float, callback: Callable[[], None]) -> Timer: ...  # noqa: N802


class Deadline:
    """One entry of the heap; a cancelled one has no callback (`work` is None)."""

    __slots__ = ("due_ms", "order", "callback", "argument")

    def __init__(self, due_ms: float, order: int, callback: Callable | None, argument: object) -> None:
        self.due_ms, self.order, self.callback, self.argument = due_ms, order, callback, argument

    def __lt__(self, other: Deadline) -> bool:
        return (self.due_ms, self.order) < (other.due_ms, other.order)


class Deadlines:
    """Runs callbacks at their due times from a single timer, so that a request needs none of its own."""

    def __init__(self, clock: Clock, scheduler: Scheduler) -> None:
        self.clock, self.scheduler = clock, scheduler
        self.heap: list[Deadline] = []
        self.last_order = self.cancelled = 0
        self.timer: Timer | None = None
        self.timer_due_ms = 0.0

    def call_at(self, due_ms: float, callback: Callable, argument: object = None) -> Deadline:
        """Schedule `callback(argument)` at a time in Unix milliseconds."""
        self.last_order += 1
        entry = Deadline(due_ms, self.last_order, callback, argument)
        heapq.heappush(self.heap, entry)
        if self.heap[0] is entry:
            self._arm()
        return entry

    def cancel(self, entry: Deadline | None) -> None:
        """Cancel a deadline; the heap is compacted when most of its entries are cancelled."""
        if entry is None or entry.callback is None:
            return
        entry.callback = entry.argument = None
        self.cancelled += 1
        if self.cancelled > MIN_CANCELLED_TO_COMPACT and self.cancelled * 2 > len(self.heap):
            self.heap = [pending for pending in self.heap if pending.callback is not None]
            heapq.heapify(self.heap)
            self.cancelled = 0

    def _arm(self) -> None:
        if not self.heap:
            return
        due_ms = self.heap[0].due_ms
        active = self.timer is not None and self.timer.active()
        if active and self.timer_due_ms <= due_ms:
            return
        self.timer_due_ms = due_ms
        seconds = max(0.0, (due_ms - self.clock.now_ms()) / 1000.0)
        if active:
            self.timer.reset(seconds)
        else:
            self.timer = self.scheduler.callLater(seconds, self._fire)

    def _fire(self) -> None:
        """The timer fired: run due callbacks one reactor turn later, after pending socket data has been read.

        Timers run before sockets. After a period without CPU time, the process would otherwise cancel attempts that
        have been answered, probe peers that have sent data, and send set-ups for callers that have left.
        """
        self.timer = self.scheduler.callLater(0.0, self._run)

    def _run(self) -> None:
        self.timer = None
        now_ms = self.clock.now_ms()
        try:
            while self.heap and self.heap[0].due_ms <= now_ms:
                entry = heapq.heappop(self.heap)
                callback, argument = entry.callback, entry.argument
                if callback is None:
                    self.cancelled -= 1
                    continue
                entry.callback = entry.argument = None
                callback(argument)
        finally:
            self._arm()
