"""News on their way round: each is passed on a bounded number of times, the most urgent first, in bounded bytes.

An allowance bounds the bytes that news may take, so that trouble makes news wait and not traffic grow; what waits too
long is brought by the comparing of tables all the same.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from leadslip.fleet.view.allowance import Allowance
from leadslip.fleet.view.members import Member, State, process_of
from leadslip.fleet.wire import Full, Short

TIMES = 3  # how often a piece of news is passed on, for each power of ten of members and one more
WHOLE_BEHIND = 5  # a member whole is passed on less often: who misses it finds out by the digest
SHORT_SIZE, FULL_SIZE = 26, 64  # bytes at most that one takes on the wire, texts not counted
RATE = 0.35  # bytes a millisecond that news may take ...
BURST = 2000.0  # ... after a calm, at once
BEHIND = {State.ALIVE: 0, State.SUSPECT: 0, State.DEAD: 1, State.LEFT: 0}  # as if passed on so often before


class Rumour:
    """One piece of news: about which run, how often passed on so far."""

    __slots__ = ("run", "whole", "size", "sent", "behind")

    def __init__(self, member: Member, whole: bool) -> None:
        self.run, self.whole = member.run, whole
        self.behind = WHOLE_BEHIND if whole else BEHIND[member.state]
        self.size = FULL_SIZE + _texts(member) if whole else SHORT_SIZE  # bytes
        self.sent = 0

    def urgency(self) -> int:
        """The less, the sooner it goes."""
        return self.sent + self.behind


class Rumours:
    """The news that this process passes on: at most one for each other process."""

    def __init__(self) -> None:
        self.held: dict[int, Rumour] = {}
        self.bytes = Allowance(RATE, BURST)

    def __len__(self) -> int:
        return len(self.held)

    def add(self, member: Member, whole: bool) -> None:
        """Pass on what is held of a member; it takes the place of what was to be said of it."""
        key = process_of(member.run)
        before = self.held.get(key)
        if before is not None and before.whole and not before.sent and member.live:
            whole = True  # who has not heard of it at all can't use less
        self.held[key] = Rumour(member, whole)

    def drop(self, run: int) -> None:
        self.held.pop(process_of(run), None)

    def known(self, members: int) -> None:
        """One was met who holds all that we do: each piece has been passed on once more, at no cost."""
        times = self._times(members)
        for key, rumour in list(self.held.items()):
            rumour.sent += 1
            if rumour.urgency() >= times:
                del self.held[key]

    @staticmethod
    def _times(members: int) -> int:
        return TIMES * math.ceil(math.log10(members + 1) + 1)

    def pick(
        self,
        now_ms: float,
        members: int,
        room: int,
        get: Callable[[int], Member | None],
        most: int = 24,
    ) -> tuple[list[Short], list[Full]]:
        """News to go with a message, in so many bytes."""
        news: list[Short] = []
        full: list[Full] = []
        if not self.held:
            return news, full
        times = self._times(members)
        room = min(room, int(self.bytes.now(now_ms)))
        if room < SHORT_SIZE:
            return news, full
        for rumour in heapq.nsmallest(2 * most, self.held.values(), key=Rumour.urgency):
            if len(news) + len(full) >= most or room < SHORT_SIZE:
                break
            member = get(rumour.run)
            if member is None or member.run != rumour.run:
                self.drop(rumour.run)
                continue
            if rumour.size > room:
                continue
            room -= rumour.size
            self.bytes.spend(rumour.size)
            if rumour.whole:
                full.append(member.full(now_ms))
            else:
                state = State.ALIVE if member.live else member.state  # suspicion does not go round
                news.append(Short(member.run, int(state), member.incarnation))
            rumour.sent += 1
            if rumour.urgency() >= times:
                self.drop(rumour.run)
        return news, full

    def fresh(self) -> bool:
        """Whether there is news that has hardly been passed on."""
        return any(rumour.sent < 3 for rumour in self.held.values())


def _texts(member: Member) -> int:
    facts = sum(
        2 + len(key) + (len(value) if isinstance(value, str) else 9) for key, value in member.facts.items()
    )
    return len(member.name) + len(member.address) + len(member.zone) + facts
