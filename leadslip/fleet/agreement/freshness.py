"""Freshness of a revision: for how long it may still be applied since it was last known to be the newest.

Pure: no I/O, the time is passed in.

A leader knows this for each of its heartbeat rounds that a majority has answered: nothing newer was committed anywhere
when the round began (raft.py, `confirmed`). Members pass it on in their answers: a member that asked at its own time t
and receives "revision r, age a" knows that r was the newest at t - a, however long the messages took, as the answering
member computed the age after it was asked. Ages therefore grow by round trips, and no two clocks are compared.

The bound (A2): a proxy applies r at its time t only if r was the newest at some time s of its clock with
t - s <= in_force_ms * (1 - CLOCK_DRIFT). A newer revision is committed after s, and no proxy applies it before it is
committed. So once the first proxy applies it, no proxy applies r for longer than in_force_ms. This assumes monotonic
clocks that keep running while a process is stopped and are within 500 ppm of true time (CLOCK_DRIFT is twice that, as
an age is measured by one clock and added to by another), and that freshness is checked at each decision.
"""

from __future__ import annotations

CLOCK_DRIFT = 0.001


class Freshness:
    """What one process knows about the age of its revision. Times are ms of its monotonic clock."""

    __slots__ = ("max_age_ms", "revision", "as_of_ms", "newest", "newest_as_of_ms")

    def __init__(self, in_force_ms: float) -> None:
        self.max_age_ms = in_force_ms * (1.0 - CLOCK_DRIFT)
        self.revision = 0  # the revision applied here
        self.as_of_ms = -float("inf")  # the latest time at which `revision` was known to be the newest
        # The newest revision known of, and the latest time at which it was known to be the newest:
        self.newest, self.newest_as_of_ms = 0, -float("inf")

    def record_report(self, asked_ms: float, revision: int, age_ms: float) -> None:
        """Records a member's answer to a question sent at `asked_ms`: `revision` was the newest `age_ms` ago."""
        as_of_ms = asked_ms - max(age_ms, 0.0)
        if revision == self.revision:
            self.as_of_ms = max(self.as_of_ms, as_of_ms)
        if revision > self.newest or (revision == self.newest and as_of_ms > self.newest_as_of_ms):
            self.newest, self.newest_as_of_ms = revision, as_of_ms

    def apply_revision(self, revision: int) -> None:
        """Records that a committed revision is applied from now on; an older one than before is ignored."""
        if revision <= self.revision:
            return
        self.revision = revision
        self.as_of_ms = self.newest_as_of_ms if revision == self.newest else -float("inf")

    def report(self, now_ms: float) -> tuple[int, float] | None:
        """Returns (newest revision known of, its age) for another member; None if nothing is known."""
        if self.newest_as_of_ms == -float("inf"):
            return None
        return self.newest, now_ms - self.newest_as_of_ms

    def is_fresh(self, now_ms: float) -> bool:
        """Whether the current revision may be applied now; otherwise the fallback rules apply."""
        return now_ms - self.as_of_ms <= self.max_age_ms
