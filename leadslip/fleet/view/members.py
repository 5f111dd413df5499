"""Member table: one entry per known process, the order in which updates are merged, and digests of the table.

A process is identified by its `run`, which it draws when it starts: a random 47-bit process number, followed by 16 bits
that count its generations. A process that learns that its run was declared dead continues as the next generation, which
nobody has declared dead; a run that was declared dead is never alive again (invariant V3, drill/check.py). Updates
about one process are ordered by generation, then by whether they end that generation, then by incarnation, then by
state; a merge keeps the greatest. Metadata has an edition of its own, as a later update without metadata may arrive
before the metadata does; a merge keeps the latest edition. The merge is commutative, associative and idempotent, so
members that have received the same updates hold the same table, in whatever order and however often the updates
arrived. No clock takes part in the order.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import IntEnum
from hashlib import blake2b
from random import Random

import msgspec

from leadslip.fleet.wire import MIN_VERSION, VERSION, MemberRecord, MemberUpdate
from leadslip.metrics import Metrics

GENERATION_BITS = 16
GENERATION_MASK = (1 << GENERATION_BITS) - 1
BUCKETS = 32  # hash buckets by which two tables are compared
# Metadata entries of a member; characters of a metadata key or text; characters of a name, zone or address.
MAX_FACTS, MAX_FACT_CHARS, MAX_NAME_CHARS = 8, 64, 64
RETENTION_MS = 24 * 3_600_000.0  # how long a dead member is kept and contacted, and one that left is kept


class State(IntEnum):
    """State of a member as another member holds it; DEAD and LEFT end a generation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


UNKNOWN = 4  # status of a run that the table has no knowledge of


def draw_run(rng: Random) -> int:
    """Draws the run of a process that starts; the top bit is always set, so a run is never 0."""
    return (rng.getrandbits(47) | 1 << 46) << GENERATION_BITS


def process_of(run: int) -> int:
    """Returns the process number, which all generations of one process share."""
    return run >> GENERATION_BITS


@dataclass(frozen=True, slots=True)
class Member:
    """One entry of a table. `since_ms` is when the member entered this state, in the table owner's monotonic time."""

    run: int
    name: str
    address: str
    zone: str = ""
    state: State = State.ALIVE
    incarnation: int = 0
    since_ms: float = 0.0
    min_version: int = MIN_VERSION  # range of wire versions that it supports
    max_version: int = VERSION
    metadata: dict[str, str | int] = field(default_factory=dict)  # what it publishes about itself
    edition: int = 0  # number of changes of the metadata

    @property
    def live(self) -> bool:
        """Whether it is alive or suspected."""
        return self.state < State.DEAD

    def precedence(self) -> tuple[int, int, int, int]:
        """Sort key of its state among the updates about its process."""
        return precedence(self.run, self.state, self.incarnation)

    def is_newer_than(self, record: MemberRecord | None) -> bool:
        """Whether this has a later state or later metadata than another member's record of the same process."""
        if record is None:
            return True
        return (
            self.precedence() > precedence(record.run, record.state, record.incarnation)
            or self.edition > record.edition
        )

    def record(self, now_ms: float) -> MemberRecord:
        """Returns the complete record for the wire."""
        age_ms = 0 if self.live else max(0, int(now_ms - self.since_ms))
        return MemberRecord(
            self.run,
            int(self.state),
            self.incarnation,
            age_ms,
            self.name,
            self.address,
            self.zone,
            self.min_version,
            self.max_version,
            self.metadata,
            self.edition,
        )

    def update(self, suspected_by: int = 0) -> MemberUpdate:
        """Returns the update for the wire: run, state and incarnation."""
        return MemberUpdate(self.run, int(self.state), self.incarnation, suspected_by)

    def fingerprint(self) -> int:
        """64-bit hash by which tables are compared: run, address, metadata, and whether it is live, dead or left."""
        text = (
            f"{self.run}.{0 if self.live else int(self.state)}.{self.address}.{sorted(self.metadata.items())}"
        )
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


def precedence(run: int, state: int, incarnation: int) -> tuple[int, int, int, int]:
    """Sort key of updates about one process: the greater one is kept."""
    ended = state >= State.DEAD
    return run & GENERATION_MASK, state if ended else 0, 0 if ended else incarnation, state


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the table, reported once: the entry before (None: added) and after it (None: removed)."""

    number: int  # 1 for the first change of the table
    before: Member | None
    after: Member | None


def is_valid(record: MemberRecord) -> bool:
    """Whether a received record is within the limits; others are ignored."""
    return (
        record.run >> (GENERATION_BITS + 46) == 1
        and 0 <= record.state <= State.LEFT
        and 0 <= record.incarnation < 1 << 32
        and 0 <= record.age_ms < 1 << 48
        and 0 < len(record.name) <= MAX_NAME_CHARS
        and 0 < len(record.address) <= MAX_NAME_CHARS
        and len(record.zone) <= MAX_NAME_CHARS
        and 0 <= record.min_version <= record.max_version < 256
        and 0 <= record.edition < 1 << 32
        and len(record.metadata) <= MAX_FACTS
        and all(
            len(key) <= MAX_FACT_CHARS and (not isinstance(value, str) or len(value) <= MAX_FACT_CHARS)
            for key, value in record.metadata.items()
        )
    )


class Table:
    """All known members, by process; at most `max_members` that live, and as many that are dead or have left."""

    def __init__(self, max_members: int, metrics: Metrics) -> None:
        self.max_members, self.metrics = max_members, metrics
        self.by_process: dict[int, Member] = {}  # process -> its latest generation
        # Processes whose latest generation is dead or has left, in the order in which this became known.
        self.ended: dict[int, None] = {}
        self.live_digest = 0  # XOR of the fingerprints of live members, suspected or not
        self.suspect_digest = 0  # XOR of the fingerprints of suspected members
        self.buckets = [0] * BUCKETS  # digests of all members, by bucket
        self.change_count = 0
        self.on_change: Callable[[Change], None] = lambda change: None

    def __len__(self) -> int:
        """Number of live members."""
        return len(self.by_process) - len(self.ended)

    def __iter__(self) -> Iterator[Member]:
        return iter(self.by_process.values())

    def get(self, run: int) -> Member | None:
        """Returns the entry of the process that a run belongs to, which may be of another generation."""
        return self.by_process.get(process_of(run))

    def live_members(self) -> list[Member]:
        """Returns the live members in a stable order: by name, then run."""
        return sorted(
            (member for member in self.by_process.values() if member.live),
            key=lambda member: (member.name, member.run),
        )

    def status(self, run: int) -> int:
        """Returns the state of a run, or UNKNOWN; a run that a later generation has replaced is dead."""
        member = self.get(run)
        if member is None:
            return UNKNOWN
        if member.run == run:
            return member.state
        return State.DEAD if member.run > run else UNKNOWN

    def merge(self, record: MemberRecord, now_ms: float) -> Member | None:
        """Merges a received record; returns the new entry if its state or metadata changed, else None."""
        if not is_valid(record):
            self.metrics.add("fleet.unsound")
            return None
        if record.state == State.SUSPECT:  # each member keeps its own suspicions
            record = msgspec.structs.replace(record, state=int(State.ALIVE))
        current = self.get(record.run)
        newer_edition = current is not None and record.edition > current.edition
        if (
            current is not None
            and precedence(record.run, record.state, record.incarnation) <= current.precedence()
        ):
            if newer_edition:
                member = replace(current, metadata=dict(record.metadata), edition=record.edition)
                self._put(current, member)
                return member
            if current.run == record.run and not current.live and current.state == record.state:
                # Members that learned of the same end at different times agree on the earliest time.
                since_ms = min(current.since_ms, now_ms - record.age_ms)
                self.by_process[process_of(record.run)] = replace(current, since_ms=since_ms)
            return None
        ended = record.state >= State.DEAD
        if current is None and ended and record.age_ms >= RETENTION_MS:
            return None
        if (current is None or not current.live) and not ended and len(self) >= self.max_members:
            self.metrics.add("fleet.over_most_members")
            return None
        state = State(record.state)
        same_state = current is not None and current.run == record.run and current.state is state
        since_ms = current.since_ms if same_state else now_ms - record.age_ms
        # Else a later edition of the metadata has been received already, and is kept.
        metadata_current = current is None or record.edition >= current.edition
        member = Member(
            record.run,
            record.name,
            record.address,
            record.zone,
            state,
            record.incarnation,
            since_ms,
            record.min_version,
            record.max_version,
            dict(record.metadata) if metadata_current else current.metadata,
            record.edition if metadata_current else current.edition,
        )
        self._put(current, member)
        return member

    def apply_update(self, update: MemberUpdate, now_ms: float) -> Member | None:
        """Merges an update about a known process; returns the new entry if it changed, else None.

        An update about an unknown process is ignored, as it has no address.
        """
        current = self.get(update.run)
        if current is None or not 0 <= update.state <= State.LEFT or not 0 <= update.incarnation < 1 << 32:
            return None
        if precedence(update.run, update.state, update.incarnation) <= current.precedence():
            return None
        if not current.live and update.state < State.DEAD and len(self) >= self.max_members:
            self.metrics.add("fleet.over_most_members")
            return None
        state = State(update.state)
        since_ms = current.since_ms if current.state is state and current.run == update.run else now_ms
        member = replace(
            current, run=update.run, state=state, incarnation=update.incarnation, since_ms=since_ms
        )
        self._put(current, member)
        return member

    def clear_suspicion(self, run: int, now_ms: float) -> None:
        """Marks a suspected member alive after a message from it has arrived; other members are not notified."""
        member = self.get(run)
        if member is not None and member.run == run and member.state is State.SUSPECT:
            self._put(member, replace(member, state=State.ALIVE, since_ms=now_ms))

    def evict_ended(self, now_ms: float) -> None:
        """Evicts members that ended longer ago than the retention period, and the oldest ones above `max_members`."""
        evicted = [
            process for process in self.ended if now_ms - self.by_process[process].since_ms > RETENTION_MS
        ]
        if len(self.ended) - len(evicted) > self.max_members:
            oldest_first = sorted(
                self.ended.keys() - set(evicted),
                key=lambda process: (self.by_process[process].since_ms, process),
            )
            evicted += oldest_first[: len(oldest_first) - self.max_members]
        for process in evicted:
            member = self.by_process.pop(process)
            del self.ended[process]
            self._toggle_in_digests(member)
            self._notify(member, None)

    def in_buckets(self, numbers: Iterable[int]) -> list[Member]:
        """Returns the members in the buckets with these numbers."""
        selected = set(numbers)
        return [member for process, member in self.by_process.items() if process % BUCKETS in selected]

    def _put(self, before: Member | None, member: Member) -> None:
        process = process_of(member.run)
        if before is not None:
            self._toggle_in_digests(before)
        self.by_process[process] = member
        self._toggle_in_digests(member)
        if member.live:
            self.ended.pop(process, None)
        else:
            self.ended[process] = None
        self._notify(before, member)

    def _toggle_in_digests(self, member: Member) -> None:
        """Adds a member to the digests or removes it: XOR does both."""
        fingerprint = member.fingerprint()
        self.buckets[process_of(member.run) % BUCKETS] ^= fingerprint
        if member.live:
            self.live_digest ^= fingerprint
        if member.state is State.SUSPECT:
            self.suspect_digest ^= fingerprint

    def _notify(self, old_entry: Member | None, new_entry: Member | None) -> None:
        self.change_count += 1
        self.on_change(Change(self.change_count, old_entry, new_entry))


def rendezvous_order(key: bytes, members: Iterable[Member]) -> list[Member]:
    """Sorts members by rendezvous hash of a key; members that join or leave do not reorder the others."""

    def weight(member: Member) -> tuple[bytes, int]:
        hashed = key + member.name.encode()
        return blake2b(hashed, digest_size=8, person=b"leadslip-rank").digest(), member.run

    return sorted(members, key=weight, reverse=True)
