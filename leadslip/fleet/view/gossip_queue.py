"""Gossip queue: updates being disseminated, each sent a bounded number of times, most urgent first, in bounded bytes.

A token bucket limits the bytes of updates, so that under faults updates are delayed and traffic does not grow; an
update that is delayed too long is delivered by the syncing of tables.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from leadslip.fleet.view.members import Member, State, process_of
from leadslip.fleet.view.token_bucket import TokenBucket
from leadslip.fleet.wire import MemberRecord, MemberUpdate

RETRANSMIT_FACTOR = 3  # transmissions of an update, for each power of ten of members and one more
RECORD_OFFSET = 5  # a complete record is sent less often: a member that misses it finds out by the digest
UPDATE_BYTES, RECORD_BYTES = 26, 64  # largest encoded size of each, texts not counted
BYTES_PER_MS = 0.35  # long-term rate of updates ...
BURST_BYTES = 2000.0  # ... and how much may be sent at once after an idle time
STATE_OFFSET = {
    State.ALIVE: 0,
    State.SUSPECT: 0,
    State.DEAD: 1,
    State.LEFT: 0,
}  # transmissions that an update counts as having had already


class QueuedUpdate:
    """An update in the queue: the run it is about, and how often it has been sent."""

    __slots__ = ("run", "complete", "size", "sent", "offset")

    def __init__(self, member: Member, complete: bool) -> None:
        self.run, self.complete = member.run, complete
        self.offset = RECORD_OFFSET if complete else STATE_OFFSET[member.state]
        self.size = RECORD_BYTES + _text_bytes(member) if complete else UPDATE_BYTES  # bytes
        self.sent = 0

    def priority(self) -> int:
        """Lower values are sent first."""
        return self.sent + self.offset


class GossipQueue:
    """The updates that this process disseminates: at most one about each process."""

    def __init__(self) -> None:
        self.by_process: dict[int, QueuedUpdate] = {}
        self.bytes = TokenBucket(BYTES_PER_MS, BURST_BYTES)

    def __len__(self) -> int:
        return len(self.by_process)

    def add(self, member: Member, complete: bool) -> None:
        """Queues a member's current state, as an update or a complete record; replaces what was queued about it."""
        process = process_of(member.run)
        before = self.by_process.get(process)
        if before is not None and before.complete and not before.sent and member.live:
            complete = True  # members that do not know it at all need the complete record
        self.by_process[process] = QueuedUpdate(member, complete)

    def drop(self, run: int) -> None:
        self.by_process.pop(process_of(run), None)

    def count_as_sent(self, members: int) -> None:
        """Counts one transmission of each update, at no cost, after contact with a member whose table is equal."""
        limit = self._max_transmissions(members)
        for process, queued in list(self.by_process.items()):
            queued.sent += 1
            if queued.priority() >= limit:
                del self.by_process[process]

    @staticmethod
    def _max_transmissions(members: int) -> int:
        return RETRANSMIT_FACTOR * math.ceil(math.log10(members + 1) + 1)

    def select(
        self,
        now_ms: float,
        members: int,
        room: int,
        get: Callable[[int], Member | None],
        max_items: int = 24,
    ) -> tuple[list[MemberUpdate], list[MemberRecord]]:
        """Selects updates to send with a message, in at most `room` bytes."""
        updates: list[MemberUpdate] = []
        records: list[MemberRecord] = []
        if not self.by_process:
            return updates, records
        limit = self._max_transmissions(members)
        room = min(room, int(self.bytes.available(now_ms)))
        if room < UPDATE_BYTES:
            return updates, records
        for queued in heapq.nsmallest(2 * max_items, self.by_process.values(), key=QueuedUpdate.priority):
            if len(updates) + len(records) >= max_items or room < UPDATE_BYTES:
                break
            member = get(queued.run)
            if member is None or member.run != queued.run:
                self.drop(queued.run)
                continue
            if queued.size > room:
                continue
            room -= queued.size
            self.bytes.spend(queued.size)
            if queued.complete:
                records.append(member.record(now_ms))
            else:
                state = State.ALIVE if member.live else member.state  # suspicions are not disseminated
                updates.append(MemberUpdate(member.run, int(state), member.incarnation))
            queued.sent += 1
            if queued.priority() >= limit:
                self.drop(queued.run)
        return updates, records

    def has_fresh(self) -> bool:
        """Whether an update has been sent fewer than three times."""
        return any(queued.sent < 3 for queued in self.by_process.values())


def _text_bytes(member: Member) -> int:
    facts = sum(
        2 + len(key) + (len(value) if isinstance(value, str) else 9) for key, value in member.facts.items()
    )
    return len(member.name) + len(member.address) + len(member.zone) + facts
