"""One heap of deadlines behind one timer; the clock and the timer are handed in. No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Protocol

COMPACT_FROM = 1024  # dead deadlines from which on the heap is swept


class Clock(Protocol):
    """Tells Unix milliseconds."""

    def now_ms(self) -> float: ...


class Wake(Protocol):
    """A call to come that can be moved."""

    def active(self) -> bool: ...

    def reset(self, seconds: float) -> None: ...


class Scheduler(Protocol):
    """Calls back once after some seconds."""

    def callLater(self, seconds: float, work: Callable[[], None]) -> Wake: ...  # noqa: N802


class Deadline:
    """One entry of the heap; cancelled by forgetting its work."""

    __slots__ = ("due_ms", "order", "work", "of")

    def __init__(self, due_ms: float, order: int, work: Callable | None, of: object) -> None:
        self.due_ms, self.order, self.work, self.of = due_ms, order, work, of

    def __lt__(self, other: Deadline) -> bool:
        return (self.due_ms, self.order) < (other.due_ms, other.order)


class Deadlines:
    """One heap of deadlines behind one timer, so that a request costs no timer of its own."""

    def __init__(self, clock: Clock, scheduler: Scheduler) -> None:
        self.clock, self.scheduler = clock, scheduler
        self.heap: list[Deadline] = []
        self.count = self.dead = 0
        self.wake: Wake | None = None
        self.wake_ms = 0.0

    def at(self, due_ms: float, work: Callable, of: object = None) -> Deadline:
        """Call work(of) at that time."""
        self.count += 1
        entry = Deadline(due_ms, self.count, work, of)
        heapq.heappush(self.heap, entry)
        if self.heap[0] is entry:
            self._arm()
        return entry

    def cancel(self, entry: Deadline | None) -> None:
        """Forget a deadline; the heap is swept when most of it is dead."""
        if entry is None or entry.work is None:
            return
        entry.work = entry.of = None
        self.dead += 1
        if self.dead > COMPACT_FROM and self.dead * 2 > len(self.heap):
            self.heap = [held for held in self.heap if held.work is not None]
            heapq.heapify(self.heap)
            self.dead = 0

    def _arm(self) -> None:
        if not self.heap:
            return
        due_ms = self.heap[0].due_ms
        active = self.wake is not None and self.wake.active()
        if active and self.wake_ms <= due_ms:
            return
        self.wake_ms = due_ms
        seconds = max(0.0, (due_ms - self.clock.now_ms()) / 1000.0)
        if active:
            self.wake.reset(seconds)
        else:
            self.wake = self.scheduler.callLater(seconds, self._ring)

    def _ring(self) -> None:
        """Something is due: what lies in the sockets is read first.

        Guards against a process that had no processor for a while: it would give up what has been answered, ask
        who has spoken and send for who has left, as timers run ahead of the sockets.
        """
        self.wake = self.scheduler.callLater(0.0, self._run)

    def _run(self) -> None:
        self.wake = None
        now_ms = self.clock.now_ms()
        try:
            while self.heap and self.heap[0].due_ms <= now_ms:
                entry = heapq.heappop(self.heap)
                work, of = entry.work, entry.of
                if work is None:
                    self.dead -= 1
                    continue
                entry.work = entry.of = None
                work(of)
        finally:
            self._arm()
