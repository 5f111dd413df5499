"""How long a suspected member has to refute, and how slow this process judges itself to be (Lifeguard, 2018).

A suspicion has the longest time-out at first and the shortest once several other members, each by a probe of its own,
have confirmed it: one slow member can't have another declared dead quickly. Local health is a small score: each sign
that this process itself is slow (its probes fail and their relays do not report either, others suspect it, its clock
shows that it was paused) makes it wait longer before it suspects a member.
"""

from __future__ import annotations

import math

from leadslip.fleet.view.members import Member, State

MIN_TIMEOUT_MS = 1800.0  # shortest time-out in a small fleet: longer than a process pause of one second
TIMEOUT_MS_PER_DECADE = 700.0  # lower limit per power of ten of members: updates take longer to disseminate
MAX_TIMEOUT_FACTOR = 2.0  # longest time-out as a multiple of the shortest
MAX_CONFIRMATIONS = 3  # confirmations, besides the first suspicion, that reduce the time-out to the shortest
DEFERRAL_MS = 1000.0  # a member whose own probe has not failed lets the others declare the death first
MAX_HEALTH_SCORE = 8


def min_timeout_ms(members: int) -> float:
    """Returns the shortest suspicion time-out for a fleet of this size."""
    return max(MIN_TIMEOUT_MS, TIMEOUT_MS_PER_DECADE * math.log10(max(members, 1)))


class Suspicion:
    """A member under suspicion: since when (monotonic ms), and the runs that suspect it."""

    __slots__ = (
        "run",
        "incarnation",
        "since_ms",
        "suspected_by",
        "max_confirmations",
        "least_ms",
        "late_ms",
        "final_probes",
        "pinged_ms",
    )

    def __init__(self, run: int, incarnation: int, now_ms: float, members: int, suspected_by: int) -> None:
        self.run, self.incarnation, self.since_ms = run, incarnation, now_ms
        self.suspected_by = {suspected_by}
        # The suspected member and the first one to suspect it can't confirm.
        self.max_confirmations = max(0, min(MAX_CONFIRMATIONS, members - 2))
        self.least_ms = min_timeout_ms(members)
        self.late_ms = 0.0  # time not counted, as this process was paused
        self.final_probes = 0  # sent so far
        self.pinged_ms = now_ms

    def is_about(self, member: Member | None) -> bool:
        """Whether this is the suspicion that a member is currently under."""
        return (
            member is not None
            and member.state is State.SUSPECT
            and (member.run, member.incarnation) == (self.run, self.incarnation)
        )

    def confirm(self, suspected_by: int) -> bool:
        """Adds a member that suspects it too; returns whether to disseminate this confirmation."""
        if suspected_by in self.suspected_by or len(self.suspected_by) > self.max_confirmations:
            return False
        self.suspected_by.add(suspected_by)
        return True

    def expires_ms(self) -> float:
        """Returns when the time-out expires."""
        confirmations = len(self.suspected_by) - 1
        fraction = (
            math.log(confirmations + 1) / math.log(self.max_confirmations + 1)
            if self.max_confirmations
            else 1.0
        )
        longest_ms = self.least_ms * MAX_TIMEOUT_FACTOR
        return self.since_ms + self.late_ms + longest_ms - (longest_ms - self.least_ms) * min(fraction, 1.0)


class Health:
    """Local health score (Lifeguard): the number of signs that this process is slow; 0 is healthy."""

    def __init__(self) -> None:
        self.score = 0

    def better(self) -> None:
        self.score = max(0, self.score - 1)

    def worse(self, amount: int = 1) -> None:
        self.score = min(MAX_HEALTH_SCORE, self.score + amount)

    def scaled(self, span_ms: float) -> float:
        """Returns a time-out scaled up by the health score."""
        return span_ms * (1 + self.score)
