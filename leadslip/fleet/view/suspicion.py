"""How long a suspected member has to refute, and how far this process trusts its own eyes (Lifeguard, 2018).

A suspicion runs for the longest time at first and for the shortest once several others, each by a probe of its own,
have come to the same: one slow accuser can't end anybody's life quickly. The observer's health is a small count: each
sign that this process is slow itself (its probes fail and their relays say nothing either, others suspect it, its
clock shows that it was stopped) makes it wait longer before it suspects anybody.
"""

from __future__ import annotations

import math

from leadslip.fleet.view.members import Member, State

LEAST_MS = 1800.0  # shortest time to refute, however small the fleet: longer than stalls of a second
DECADE_MS = 700.0  # and so much for each power of ten of members, as news take longer to go round
LONGEST = 2.0  # the longest time, in shortest ones
WITNESSES = 3  # accusers besides the first that bring it down to the shortest
OTHERS_MS = 1000.0  # who has not accused by itself leaves the verdict to those who have for so long
MOST_HEALTH = 8


def least_ms(members: int) -> float:
    """The shortest time to refute in a fleet of so many."""
    return max(LEAST_MS, DECADE_MS * math.log10(max(members, 1)))


class Suspicion:
    """One member under suspicion: since when (monotonic ms), and by whom."""

    __slots__ = (
        "run",
        "incarnation",
        "since_ms",
        "accusers",
        "wanted",
        "least_ms",
        "late_ms",
        "asked",
        "pinged_ms",
    )

    def __init__(self, run: int, incarnation: int, now_ms: float, members: int, by: int) -> None:
        self.run, self.incarnation, self.since_ms = run, incarnation, now_ms
        self.accusers = {by}
        # The accused and the first accuser are none of the further ones.
        self.wanted = max(0, min(WITNESSES, members - 2))
        self.least_ms = least_ms(members)
        self.late_ms = 0.0  # time that does not count, as this process was stopped
        self.asked = 0  # last probes sent
        self.pinged_ms = now_ms

    def about(self, member: Member | None) -> bool:
        """Whether it is this that a member is suspected of."""
        return (
            member is not None
            and member.state is State.SUSPECT
            and (member.run, member.incarnation) == (self.run, self.incarnation)
        )

    def confirm(self, by: int) -> bool:
        """Another accuses it too; tells whether that is worth passing on."""
        if by in self.accusers or len(self.accusers) > self.wanted:
            return False
        self.accusers.add(by)
        return True

    def due_ms(self) -> float:
        """When its time is up."""
        further = len(self.accusers) - 1
        part = math.log(further + 1) / math.log(self.wanted + 1) if self.wanted else 1.0
        longest_ms = self.least_ms * LONGEST
        return self.since_ms + self.late_ms + longest_ms - (longest_ms - self.least_ms) * min(part, 1.0)


class Health:
    """The count of signs that this process is slow: 0 is well."""

    def __init__(self) -> None:
        self.score = 0

    def better(self) -> None:
        self.score = max(0, self.score - 1)

    def worse(self, by: int = 1) -> None:
        self.score = min(MOST_HEALTH, self.score + by)

    def scaled(self, span_ms: float) -> float:
        """A time to wait for others, as long as this process's health asks for."""
        return span_ms * (1 + self.score)
