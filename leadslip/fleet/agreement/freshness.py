"""Freshness of a revision: for how long it may still be applied since it was last known to be the newest.

Pure: no I/O, the time is passed in.

The source of this knowledge is the leader: when a majority has answered one of its heartbeat rounds, nothing newer was
committed anywhere when the round began (raft.py, `confirmed`). Members report it to each other in their answers to
pings. A member that sends a ping at time t of its clock and receives "revision r, age a" knows that r was the newest
at t - a, however long the messages took, as the answering member computed the age after the ping was sent. An age
passed on thus grows by the round trip, and times of different clocks are never compared.

Invariant A2 (drill/check.py): a proxy applies r at its time t only if r was the newest at some time s of its clock with
t - s <= in_force_ms * (1 - CLOCK_DRIFT). A newer revision is committed after s, and no proxy applies it before it is
committed. So once the first proxy applies it, no proxy applies r for longer than in_force_ms. This assumes monotonic
clocks that keep running while a process is stopped and are within 500 ppm of true time (CLOCK_DRIFT is twice that, as
one clock measures the reported age and another the time since the report), and that freshness is checked at each
decision.
"""

from __future__ import annotations

CLOCK_DRIFT = 0.001  # assumed maximum of the relative difference in rate between two clocks; see above


class Freshness:
    """What one process knows about the age of its revision. Times are ms of its monotonic clock."""

    __slots__ = ("max_age_ms", "revision", "as_of_ms", "newest", "newest_as_of_ms")

    def __init__(self, in_force_ms: float) -> None:
        self.max_age_ms = in_force_ms * (1.0 - CLOCK_DRIFT)
        self.revision = 0  # the revision that this process applies
        self.as_of_ms = -float("inf")  # the latest time at which `revision` was known to be the newest
        # The newest revision that any report named, and the latest time at which it was known to be the newest:
        self.newest, self.newest_as_of_ms = 0, -float("inf")

    def record_report(self, asked_ms: float, revision: int, age_ms: float) -> None:
        """Records the answer to a ping sent at `asked_ms`: `revision` was the newest at `asked_ms` - `age_ms`.

        The leader records what it knows itself in the same way, with the current time as `asked_ms`.
        """
        as_of_ms = asked_ms - max(age_ms, 0.0)
        if revision == self.revision:
            self.as_of_ms = max(self.as_of_ms, as_of_ms)
        if revision > self.newest or (revision == self.newest and as_of_ms > self.newest_as_of_ms):
            self.newest, self.newest_as_of_ms = revision, as_of_ms

    def apply_revision(self, revision: int) -> None:
        """Records that this process applies a revision from now on; has no effect unless it is newer than before."""
        if revision <= self.revision:
            return
        self.revision = revision
        self.as_of_ms = self.newest_as_of_ms if revision == self.newest else -float("inf")

    def report(self, now_ms: float) -> tuple[int, float] | None:
        """Returns (newest revision reported, how many ms ago it was known to be the newest); None before any report."""
        if self.newest_as_of_ms == -float("inf"):
            return None
        return self.newest, now_ms - self.newest_as_of_ms

    def is_fresh(self, now_ms: float) -> bool:
        """Whether the applied revision may still be applied now; otherwise the fallback rules are."""
        return now_ms - self.as_of_ms <= self.max_age_ms
