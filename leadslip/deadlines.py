"""Deadline scheduler: a heap of callbacks behind a single timer. Clock and timers are passed in; it does no I/O."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Protocol

MIN_CANCELLED_TO_COMPACT = 1024  # fewer cancelled deadlines than this stay in the heap


class Clock(Protocol):
    """A source of the current time."""

    def now_ms(self) -> float:
        """Returns the time in Unix milliseconds."""


class Timer(Protocol):
    """A timer that can be rescheduled until it fires (Twisted's IDelayedCall)."""

    def active(self) -> bool:
        """Whether it has neither fired nor been cancelled."""

    def reset(self, seconds: float) -> None:
        """Makes it fire this long from now."""


class Scheduler(Protocol):
    """Calls a function once after a delay in seconds (Twisted's IReactorTime)."""

    def callLater(self, seconds: float, callback: Callable[[], None]) -> Timer: ...  # noqa: N802


class Deadline:
    """One entry of the heap; `callback` is None once it has been cancelled or run.

    `sequence` is the order of scheduling, in which deadlines of the same time run.
    """

    __slots__ = ("due_ms", "sequence", "callback", "argument")

    def __init__(self, due_ms: float, sequence: int, callback: Callable | None, argument: object) -> None:
        self.due_ms, self.sequence, self.callback, self.argument = due_ms, sequence, callback, argument

    def __lt__(self, other: Deadline) -> bool:
        return (self.due_ms, self.sequence) < (other.due_ms, other.sequence)


class Deadlines:
    """Runs callbacks at their due times from a single timer, so that requests need no timers of their own."""

    def __init__(self, clock: Clock, scheduler: Scheduler) -> None:
        self.clock, self.scheduler = clock, scheduler
        self.heap: list[Deadline] = []
        self.last_sequence = self.cancelled_count = 0  # the latter: cancelled deadlines still in the heap
        self.timer: Timer | None = None
        self.timer_due_ms = 0.0

    def call_at(self, due_ms: float, callback: Callable, argument: object = None) -> Deadline:
        """Schedule `callback(argument)` at a time in Unix milliseconds."""
        self.last_sequence += 1
        entry = Deadline(due_ms, self.last_sequence, callback, argument)
        heapq.heappush(self.heap, entry)
        if self.heap[0] is entry:
            self._arm()
        return entry

    def call_next_turn(self, callback: Callable[[], None]) -> None:
        """Call a function in the reactor's next turn, after other sockets have been read."""
        self.scheduler.callLater(0.0, callback)

    def cancel(self, entry: Deadline | None) -> None:
        """Cancel a deadline, if it is pending; the heap is compacted when most of its entries are cancelled."""
        if entry is None or entry.callback is None:
            return
        entry.callback = entry.argument = None
        self.cancelled_count += 1
        if self.cancelled_count > MIN_CANCELLED_TO_COMPACT and self.cancelled_count * 2 > len(self.heap):
            self.heap = [pending for pending in self.heap if pending.callback is not None]
            heapq.heapify(self.heap)
            self.cancelled_count = 0

    def _arm(self) -> None:
        """Set the timer for the earliest deadline, unless it fires by then anyway."""
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
        """The timer has fired: run due callbacks one reactor turn later, after pending socket data has been read.

        In each turn the reactor runs timers before it reads sockets. After a period without CPU time, the process would
        otherwise cancel attempts that have been answered, test connections on which data waits to be read, and send
        set-ups for callers that have left.
        """
        self.timer = self.scheduler.callLater(0.0, self._run)

    def _run(self) -> None:
        """Run all due callbacks, and set the timer for the next deadline even if one of them raises."""
        self.timer = None
        now_ms = self.clock.now_ms()
        try:
            while self.heap and self.heap[0].due_ms <= now_ms:
                entry = heapq.heappop(self.heap)
                callback, argument = entry.callback, entry.argument
                if callback is None:
                    self.cancelled_count -= 1
                    continue
                entry.callback = entry.argument = None
                callback(argument)
        finally:
            self._arm()
