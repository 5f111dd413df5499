"""The table of members: what is held of each, which news counts over what is held, and the digest of it all.

A process draws its `run` at random when it starts: 47 bits of its own and 16 that count its lives. Who learns that its
run was declared dead goes on as the next life, which nobody has declared dead; a run that was declared dead is never
alive again (V3). News of one process are ordered by life, then whether it is the end of that life, then incarnation,
then suspicion; a merge takes the greater. Facts have an edition of their own, as news of a life may overtake them,
and a merge takes the later. It is commutative, associative and idempotent, so members that have heard
the same news hold the same table, in whatever order and however often it came. No clock takes part in the order.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import IntEnum
from hashlib import blake2b
from random import Random

import msgspec

from leadslip.checks import Tally
from leadslip.fleet.wire import LEAST, VERSION, Full, Short

LIFE_BITS = 16
LIVES = (1 << LIFE_BITS) - 1
BUCKETS = 32  # the table is compared in so many parts
MOST_FACTS, MOST_TEXT, MOST_NAME = (
    8,
    64,
    64,
)  # facts of a member; characters of a text; of a name, zone or address
STAY_MS = 24 * 3_600_000.0  # a member that is dead or has left is remembered and tried for so long


class State(IntEnum):
    """How a member stands with who holds it; the last two end a life."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


UNKNOWN = 4  # the standing of one that is not held


def draw_run(draw: Random) -> int:
    """A run of a process that starts: never 0."""
    return (draw.getrandbits(47) | 1 << 46) << LIFE_BITS


def process_of(run: int) -> int:
    """What all lives of one process share."""
    return run >> LIFE_BITS


@dataclass(frozen=True, slots=True)
class Member:
    """One member as held. `since_ms` is in the holder's monotonic time: when it came into this state."""

    run: int
    name: str
    address: str
    zone: str = ""
    state: State = State.ALIVE
    incarnation: int = 0
    since_ms: float = 0.0
    least: int = LEAST  # versions of the wire that it speaks
    most: int = VERSION
    facts: dict[str, str | int] = field(default_factory=dict)
    edition: int = 0  # how often the facts have been changed

    @property
    def live(self) -> bool:
        return self.state < State.DEAD

    def rank(self) -> tuple[int, int, int, int]:
        return rank(self.run, self.state, self.incarnation)

    def knows(self, told: Full | None) -> bool:
        """Whether this tells something that another's word of the same process lacks."""
        if told is None:
            return True
        return self.rank() > rank(told.run, told.state, told.incarnation) or self.edition > told.edition

    def full(self, now_ms: float) -> Full:
        """As it goes on the wire."""
        age_ms = 0 if self.live else max(0, int(now_ms - self.since_ms))
        return Full(
            self.run,
            int(self.state),
            self.incarnation,
            age_ms,
            self.name,
            self.address,
            self.zone,
            self.least,
            self.most,
            self.facts,
            self.edition,
        )

    def short(self, by: int = 0) -> Short:
        return Short(self.run, int(self.state), self.incarnation, by)

    def print(self) -> int:
        """64 bits of what tables are compared by: the run, whether it lives, where, and what it tells of itself."""
        told = f"{self.run}.{0 if self.live else int(self.state)}.{self.address}.{sorted(self.facts.items())}"
        return int.from_bytes(blake2b(told.encode(), digest_size=8).digest())


def rank(run: int, state: int, incarnation: int) -> tuple[int, int, int, int]:
    """The order of news about one process: the greater counts."""
    ended = state >= State.DEAD
    return run & LIVES, state if ended else 0, 0 if ended else incarnation, state


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the table, told once: what was held before (None: nothing) and what is held now (None: no more)."""

    number: int
    was: Member | None
    now: Member | None


def sound(told: Full) -> bool:
    """Whether a member as told keeps the bounds; what does not is passed over."""
    return (
        told.run >> (LIFE_BITS + 46) == 1
        and 0 <= told.state <= State.LEFT
        and 0 <= told.incarnation < 1 << 32
        and 0 <= told.age_ms < 1 << 48
        and 0 < len(told.name) <= MOST_NAME
        and 0 < len(told.address) <= MOST_NAME
        and len(told.zone) <= MOST_NAME
        and 0 <= told.least <= told.most < 256
        and 0 <= told.edition < 1 << 32
        and len(told.facts) <= MOST_FACTS
        and all(
            len(key) <= MOST_TEXT and (not isinstance(value, str) or len(value) <= MOST_TEXT)
            for key, value in told.facts.items()
        )
    )


class Table:
    """All members held, by process; at most `most` that live, and as many that are over."""

    def __init__(self, most: int, tally: Tally) -> None:
        self.most, self.tally = most, tally
        self.held: dict[int, Member] = {}  # process -> its latest life
        self.over: dict[
            int, None
        ] = {}  # processes whose latest life has ended, in the order they were heard of
        self.live_digest = 0  # of those that live, whether suspected or not
        self.suspect_digest = 0  # of those that are suspected
        self.buckets = [0] * BUCKETS  # of all that is held
        self.count = 0
        self.tell: Callable[[Change], None] = lambda change: None

    def __len__(self) -> int:
        """How many live."""
        return len(self.held) - len(self.over)

    def __iter__(self) -> Iterator[Member]:
        return iter(self.held.values())

    def get(self, run: int) -> Member | None:
        """What is held of the process of a run, whichever its life."""
        return self.held.get(process_of(run))

    def live(self) -> list[Member]:
        """Those that live, in one stable order: by name, then run."""
        return sorted((held for held in self.held.values() if held.live), key=lambda one: (one.name, one.run))

    def standing(self, run: int) -> int:
        """The state of a run: a life that another has followed is dead."""
        held = self.get(run)
        if held is None:
            return UNKNOWN
        if held.run == run:
            return held.state
        return State.DEAD if held.run > run else UNKNOWN

    def take(self, told: Full, now_ms: float) -> Member | None:
        """Merge a member as told; what is held of it now if that changed, else None."""
        if not sound(told):
            self.tally.add("fleet.unsound")
            return None
        if told.state == State.SUSPECT:  # suspicion is each holder's own
            told = msgspec.structs.replace(told, state=int(State.ALIVE))
        held = self.get(told.run)
        newer = held is not None and told.edition > held.edition
        if held is not None and rank(told.run, told.state, told.incarnation) <= held.rank():
            if newer:
                member = replace(held, facts=dict(told.facts), edition=told.edition)
                self._put(held, member)
                return member
            if held.run == told.run and not held.live and held.state == told.state:
                # Two that heard of one end at different times agree on the earlier.
                since_ms = min(held.since_ms, now_ms - told.age_ms)
                self.held[process_of(told.run)] = replace(held, since_ms=since_ms)
            return None
        ended = told.state >= State.DEAD
        if held is None and ended and told.age_ms >= STAY_MS:
            return None
        if (held is None or not held.live) and not ended and len(self) >= self.most:
            self.tally.add("fleet.over_most_members")
            return None
        state = State(told.state)
        same = held is not None and held.run == told.run and held.state is state
        since_ms = held.since_ms if same else now_ms - told.age_ms
        known = held is None or told.edition >= held.edition  # else facts that it has changed since
        member = Member(
            told.run,
            told.name,
            told.address,
            told.zone,
            state,
            told.incarnation,
            since_ms,
            told.least,
            told.most,
            dict(told.facts) if known else held.facts,
            told.edition if known else held.edition,
        )
        self._put(held, member)
        return member

    def hear(self, told: Short, now_ms: float) -> Member | None:
        """Merge news about a process that is held already; of others nothing is known but a number."""
        held = self.get(told.run)
        if held is None or not 0 <= told.state <= State.LEFT or not 0 <= told.incarnation < 1 << 32:
            return None
        if rank(told.run, told.state, told.incarnation) <= held.rank():
            return None
        if not held.live and told.state < State.DEAD and len(self) >= self.most:
            self.tally.add("fleet.over_most_members")
            return None
        state = State(told.state)
        since_ms = held.since_ms if held.state is state and held.run == told.run else now_ms
        member = replace(held, run=told.run, state=state, incarnation=told.incarnation, since_ms=since_ms)
        self._put(held, member)
        return member

    def absolve(self, run: int, now_ms: float) -> None:
        """Suspect no more one that has been heard: suspicion is each holder's own, and no news of the member."""
        held = self.get(run)
        if held is not None and held.run == run and held.state is State.SUSPECT:
            self._put(held, replace(held, state=State.ALIVE, since_ms=now_ms))

    def forget(self, now_ms: float) -> None:
        """Forget who has been over for long, and the longest over where they are too many."""
        late = [key for key in self.over if now_ms - self.held[key].since_ms > STAY_MS]
        if len(self.over) - len(late) > self.most:
            rest = sorted(self.over.keys() - set(late), key=lambda key: (self.held[key].since_ms, key))
            late += rest[: len(rest) - self.most]
        for key in late:
            held = self.held.pop(key)
            del self.over[key]
            self._digest(held)
            self._tell(held, None)

    def bucket(self, numbers: Iterable[int]) -> list[Member]:
        """The members of some parts of the table."""
        wanted = set(numbers)
        return [held for key, held in self.held.items() if key % BUCKETS in wanted]

    def _put(self, held: Member | None, member: Member) -> None:
        key = process_of(member.run)
        if held is not None:
            self._digest(held)
        self.held[key] = member
        self._digest(member)
        if member.live:
            self.over.pop(key, None)
        else:
            self.over[key] = None
        self._tell(held, member)

    def _digest(self, member: Member) -> None:
        """Put a member into the digests, or take it out: the same act."""
        mark = member.print()
        self.buckets[process_of(member.run) % BUCKETS] ^= mark
        if member.live:
            self.live_digest ^= mark
        if member.state is State.SUSPECT:
            self.suspect_digest ^= mark

    def _tell(self, was: Member | None, now: Member | None) -> None:
        self.count += 1
        self.tell(Change(self.count, was, now))


def ranked(key: bytes, members: Iterable[Member]) -> list[Member]:
    """Members by rendezvous rank for a key: the first stays first as long as it lives, whoever joins or goes."""

    def weight(member: Member) -> tuple[bytes, int]:
        told = key + member.name.encode()
        return blake2b(told, digest_size=8, person=b"leadslip-rank").digest(), member.run

    return sorted(members, key=weight, reverse=True)
