"""Gossip queue: the updates being disseminated, each a bounded number of times, those sent least often first.

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

RETRANSMIT_FACTOR = 3  # an update is sent at most this many times ceil(log10(members + 1) + 1)
RECORD_OFFSET = 5  # a complete record is sent this many times less; members that miss it notice by the digest
# Largest encoded size of an update, and of a record without its texts and metadata.
UPDATE_BYTES, RECORD_BYTES = 26, 64
BYTES_PER_MS = 0.35  # long-term rate of updates and records ...
BURST_BYTES = 2000.0  # ... and how much may be sent at once after an idle time
# How many times less an update with this state is sent, and how much lower its priority is.
STATE_OFFSET = {State.ALIVE: 0, State.SUSPECT: 0, State.DEAD: 1, State.LEFT: 0}


class QueuedUpdate:
    """An update in the queue: the run it is about, whether it is a complete record, and how often it has been sent."""

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
        self.byte_tokens = TokenBucket(BYTES_PER_MS, BURST_BYTES)

    def __len__(self) -> int:
        return len(self.by_process)

    def add(self, member: Member, complete: bool) -> None:
        """Queues an update or a complete record about a member; replaces what was queued about its process."""
        process = process_of(member.run)
        before = self.by_process.get(process)
        if before is not None and before.complete and not before.sent and member.live:
            complete = True  # members that do not know the process yet need the complete record, which was never sent
        self.by_process[process] = QueuedUpdate(member, complete)

    def drop(self, run: int) -> None:
        """Removes what is queued about the process of a run."""
        self.by_process.pop(process_of(run), None)

    def count_as_sent(self, members: int) -> None:
        """Counts each update as sent once more: a member has been found to have the same view, so needs none."""
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
        get_member: Callable[[int], Member | None],
        max_items: int = 24,
    ) -> tuple[list[MemberUpdate], list[MemberRecord]]:
        """Selects the updates and records to send with a message, in at most `room` bytes, and counts them as sent."""
        updates: list[MemberUpdate] = []
        records: list[MemberRecord] = []
        if not self.by_process:
            return updates, records
        limit = self._max_transmissions(members)
        room = min(room, int(self.byte_tokens.available(now_ms)))
        if room < UPDATE_BYTES:
            return updates, records
        for queued in heapq.nsmallest(2 * max_items, self.by_process.values(), key=QueuedUpdate.priority):
            if len(updates) + len(records) >= max_items or room < UPDATE_BYTES:
                break
            member = get_member(queued.run)
            if member is None or member.run != queued.run:  # evicted, or replaced by a later generation
                self.drop(queued.run)
                continue
            if queued.size > room:
                continue
            room -= queued.size
            self.byte_tokens.spend(queued.size)
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
        """Whether any queued update has been sent fewer than three times."""
        return any(queued.sent < 3 for queued in self.by_process.values())


def _text_bytes(member: Member) -> int:
    """Encoded size of a member's texts and metadata."""
    metadata_bytes = sum(
        2 + len(key) + (len(value) if isinstance(value, str) else 9) for key, value in member.metadata.items()
    )
    return len(member.name) + len(member.address) + len(member.zone) + metadata_bytes
