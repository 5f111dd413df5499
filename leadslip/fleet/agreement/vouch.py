"""Which revision may be acted on: how long ago it was certainly the newest. No I/O, no clock of its own.

A voter that leads knows of each of its rounds that a majority has answered: nothing newer was committed anywhere when
the round began (raft.py, `confirmed`). That goes on from one member to the next in answers: who asked at its time t and
is told "revision r, as of an age a" knows that r was the newest at t - a, whatever the way took, as the answerer
reckoned the age after it was asked. So ages grow by round trips, and no two clocks are compared.

The bound (A2). A proxy acts on r at its time t only if r was the newest at some time s of its clock with
t - s <= in_force_ms * (1 - DRIFT). A newer revision is committed after s, and no proxy acts on it before it is
committed. So from when the first proxy acts on it, none acts on r for longer than in_force_ms. What it assumes:
monotonic clocks that go on while a process is stopped and run within 500 ppm of true time (DRIFT is twice that, as an
age is measured by one clock and added to by another), and that the bound is looked at when a decision is made.
"""

from __future__ import annotations

DRIFT = 0.001


class Vouched:
    """What one process knows of how new its revision is. Times are ms of its monotonic clock."""

    __slots__ = ("most_ms", "revision", "as_of_ms", "newest", "newest_ms")

    def __init__(self, in_force_ms: float) -> None:
        self.most_ms = in_force_ms * (1.0 - DRIFT)
        self.revision = 0  # that is acted on here
        self.as_of_ms = -float("inf")  # the latest time at which it was certainly the newest
        self.newest, self.newest_ms = 0, -float("inf")  # the newest revision heard of, and as of when

    def heard(self, asked_ms: float, revision: int, age_ms: float) -> None:
        """A member that we asked then answers that this revision is the newest, as of that age."""
        as_of_ms = asked_ms - max(age_ms, 0.0)
        if revision == self.revision:
            self.as_of_ms = max(self.as_of_ms, as_of_ms)
        if revision > self.newest or (revision == self.newest and as_of_ms > self.newest_ms):
            self.newest, self.newest_ms = revision, as_of_ms

    def hold(self, revision: int) -> None:
        """A revision that is committed is acted on here from now on; only a newer one than before."""
        if revision <= self.revision:
            return
        self.revision = revision
        self.as_of_ms = self.newest_ms if revision == self.newest else -float("inf")

    def told(self, now_ms: float) -> tuple[int, float] | None:
        """What we can vouch for to another: the newest revision heard of, and its age; None where there is none."""
        if self.newest_ms == -float("inf"):
            return None
        return self.newest, now_ms - self.newest_ms

    def good(self, now_ms: float) -> bool:
        """Whether the revision held here may be acted on at this moment; else the isolated rules count."""
        return now_ms - self.as_of_ms <= self.most_ms
