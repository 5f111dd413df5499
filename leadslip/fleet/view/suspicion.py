"""Suspicion time-outs and the local health score, after Lifeguard (2018).

A suspected member is declared dead unless it refutes the suspicion before the time-out. The time-out is longest at
first and shortest once several other members, each by a probe of its own, have confirmed the suspicion: one slow member
can't have another declared dead quickly. Each sign that this process itself is slow raises its local health score (its
probes fail and their relays do not report either, others suspect it, a late timer shows that it was paused); the higher
the score, the longer it waits for an answer before it suspects a member.
"""

from __future__ import annotations

import math

from leadslip.fleet.view.members import Member, State

MIN_TIMEOUT_MS = 1800.0  # shortest time-out in a small fleet: longer than a process pause of one second
TIMEOUT_MS_PER_DECADE = 700.0  # large fleets: log10(members) times this, as updates take longer to spread
MAX_TIMEOUT_FACTOR = 2.0  # longest time-out as a multiple of the shortest
MAX_CONFIRMATIONS = 3  # confirmations, besides the first suspicion, that reduce the time-out to the shortest
DEFERRAL_MS = 1000.0  # a member whose own probe has not failed waits longer, for others to declare it
MAX_HEALTH_SCORE = 8  # time-outs grow at most ninefold


def min_timeout_ms(members: int) -> float:
    """Returns the shortest suspicion time-out for a fleet of this size."""
    return max(MIN_TIMEOUT_MS, TIMEOUT_MS_PER_DECADE * math.log10(max(members, 1)))


class Suspicion:
    """A member under suspicion: its run and incarnation, since when (monotonic ms), and the runs that suspect it."""

    __slots__ = (
        "run",
        "incarnation",
        "since_ms",
        "suspected_by",
        "max_confirmations",
        "min_timeout_ms",
        "paused_ms",
        "final_probes_sent",
        "pinged_ms",
    )

    def __init__(self, run: int, incarnation: int, now_ms: float, members: int, suspected_by: int) -> None:
        self.run, self.incarnation, self.since_ms = run, incarnation, now_ms
        self.suspected_by = {suspected_by}
        # The suspected member and the one that suspected it first can't confirm.
        self.max_confirmations = max(0, min(MAX_CONFIRMATIONS, members - 2))
        self.min_timeout_ms = min_timeout_ms(members)  # the shortest time-out
        self.paused_ms = 0.0  # how long this process was paused meanwhile; extends the time-out
        self.final_probes_sent = 0
        self.pinged_ms = now_ms  # when this process last pinged the member to let it refute

    def is_about(self, member: Member | None) -> bool:
        """Whether this is the suspicion that a member is currently under."""
        return (
            member is not None
            and member.state is State.SUSPECT
            and (member.run, member.incarnation) == (self.run, self.incarnation)
        )

    def confirm(self, suspected_by: int) -> bool:
        """Adds a run that suspects the member too; returns whether that shortens the time-out.

        A repeated confirmation and one above `max_confirmations` do not.
        """
        if suspected_by in self.suspected_by or len(self.suspected_by) > self.max_confirmations:
            return False
        self.suspected_by.add(suspected_by)
        return True

    def expires_ms(self) -> float:
        """Returns when the time-out expires (monotonic ms), given the confirmations so far."""
        confirmations = len(self.suspected_by) - 1
        fraction = (
            math.log(confirmations + 1) / math.log(self.max_confirmations + 1)
            if self.max_confirmations
            else 1.0
        )
        longest_ms = self.min_timeout_ms * MAX_TIMEOUT_FACTOR
        return (
            self.since_ms
            + self.paused_ms
            + longest_ms
            - (longest_ms - self.min_timeout_ms) * min(fraction, 1.0)
        )


class Health:
    """Local health score (Lifeguard): 0 is healthy, higher if there are signs that this process is slow."""

    def __init__(self) -> None:
        self.score = 0

    def better(self) -> None:
        """Lowers the score: a probe was answered."""
        self.score = max(0, self.score - 1)

    def worse(self, amount: int = 1) -> None:
        """Raises the score: there are signs that this process is slow."""
        self.score = min(MAX_HEALTH_SCORE, self.score + amount)

    def scaled(self, timeout_ms: float) -> float:
        """Returns a time-out multiplied by the health score plus one."""
        return timeout_ms * (1 + self.score)
