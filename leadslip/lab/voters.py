"""Simulates Raft voters: the production Raft on a virtual clock, with an unreliable network and delayed disks.

`SimulatedVoters` starts, crashes, pauses and restarts voters, and records what each commits and which proposals were
acknowledged. `violations` lists the entries that contradict one committed before, `lost_changes` the acknowledged
changes that a running voter lacks.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from leadslip.fleet.agreement.raft import (
    Entry,
    EntryKind,
    PersistentState,
    Raft,
    RaftError,
    Role,
    Save,
    Snapshot,
    Timing,
)
from leadslip.metrics import Metrics

DISK_DELAY_RANGE_MS = (0.5, 8.0)  # range of the time that a save takes
MESSAGE_DELAY_RANGE_MS = (0.3, 4.0)  # range of the one-way delay of a message


class Disk:
    """The persistent state of a voter; each save is written in order and as a whole, or is lost."""

    def __init__(self, voters: list[str]) -> None:
        self.stored = PersistentState(0, "", Snapshot(0, 0, voters, b""), [])

    def write(self, save: Save) -> None:
        """Apply a save to the stored state."""
        previous = self.stored
        snapshot, entries = previous.snapshot, previous.entries
        if save.snapshot is not None:
            entries = (
                [] if save.replaces_log else [entry for entry in entries if entry.index > save.snapshot.index]
            )
            snapshot = save.snapshot
        if save.entries:
            entries = [entry for entry in entries if entry.index <= save.after] + list(save.entries)
        self.stored = PersistentState(save.term, save.vote, snapshot, entries)


class Voter:
    """One process of a voter, from its start to its crash; `state` is the list of the changes committed."""

    def __init__(self, simulation: SimulatedVoters, id_: str, disk: Disk) -> None:
        self.simulation, self.id, self.disk = simulation, id_, disk
        self.up, self.paused = True, False
        self.queued: list = []  # callbacks queued while it is paused
        stored = disk.stored
        loaded = PersistentState(stored.term, stored.vote, stored.snapshot, list(stored.entries))
        self.state = self.decode_state(stored.snapshot.data)
        self.raft = simulation.raft_class(
            id_,
            loaded,
            Random(simulation.rng.getrandbits(64)),
            simulation.metrics,
            self.commit,
            simulation.timing,
        )
        self.raft.start(simulation.now_ms)

    @staticmethod
    def decode_state(data: bytes) -> list[bytes]:
        """The committed state that a snapshot contains."""
        return msgspec.msgpack.decode(data, type=list[bytes]) if data else []

    def commit(self, entry: Entry) -> None:
        """Apply a committed entry, and report it unless it is a snapshot."""
        if entry.kind == EntryKind.SNAPSHOT:
            self.state = self.decode_state(entry.data)
        elif entry.kind == EntryKind.CHANGE:
            self.state.append(entry.data)
        if entry.kind != EntryKind.SNAPSHOT:
            self.simulation.record_commit(self.id, entry)

    def compact(self) -> None:
        """Replace the committed part of the log by a snapshot of the state."""
        self.raft.compact(msgspec.msgpack.encode(self.state))

    def run_callback(self, callback: Callable[[], object]) -> None:
        """Run a callback, then carry out the saves, messages and timer that Raft requests; queued while paused."""
        if not self.up:
            return
        if self.paused:
            self.queued.append(callback)
            return
        callback()
        simulation = self.simulation
        saves, self.raft.saves = self.raft.saves, []
        for save in saves:
            simulation.disk_busy_until_ms[self.id] = max(
                simulation.disk_busy_until_ms.get(self.id, 0.0), simulation.now_ms
            ) + simulation.rng.uniform(*DISK_DELAY_RANGE_MS)
            simulation.call_at(simulation.disk_busy_until_ms[self.id], self.complete_save, save)
        messages, self.raft.outbox = self.raft.outbox, []
        for message in messages:
            simulation.send(message)
        simulation.call_at(self.raft.wake_ms, self.on_timer)

    def complete_save(self, save: Save) -> None:
        """Write a save to the disk and confirm it to Raft, unless the process has crashed."""
        if self.up:
            self.disk.write(save)
            self.run_callback(lambda: self.raft.saved(self.simulation.now_ms, save.number))

    def on_timer(self) -> None:
        """Run Raft's expired timers, unless the timer was rescheduled to a later time."""
        if self.up and not self.paused and self.simulation.now_ms >= self.raft.wake_ms:
            self.run_callback(lambda: self.raft.on_timer(self.simulation.now_ms))


class SimulatedVoters:
    """A simulated group of Raft voters that run class `raft_class`; what happens depends on the seed alone."""

    def __init__(
        self,
        seed: int,
        count: int = 3,
        timing: Timing = Timing(),  # noqa: B008
        raft_class: type[Raft] = Raft,
    ) -> None:
        self.rng, self.metrics, self.timing, self.raft_class = Random(seed), Metrics(), timing, raft_class
        self.now_ms, self.sequence = 0.0, 0
        self.heap: list[tuple[float, int, Callable, tuple]] = []
        self.loss_rate, self.blocked = 0.0, set()  # share of messages lost; blocked paths (source, target)
        self.disk_busy_until_ms: dict[str, float] = {}
        self.ids = [f"v{i}" for i in range(count)]
        self.disks = {id_: Disk(self.ids) for id_ in self.ids}
        self.voters: dict[str, Voter] = {}
        self.first_committed: dict[int, Entry] = {}  # index -> the entry that was committed first there
        self.violations: list[str] = []
        self.acknowledged: dict[bytes, int] = {}  # change -> index at which it was committed
        # Index -> the changes proposed for it: id of the leader, term, change.
        self.proposed: dict[int, list[tuple[str, int, bytes]]] = {}
        for id_ in self.ids:
            self.start(id_)

    def call_at(self, due_ms: float, callback: Callable, *args: object) -> None:
        """Schedule a callback; an infinite time means never."""
        if due_ms < float("inf"):
            self.sequence += 1
            heapq.heappush(self.heap, (due_ms, self.sequence, callback, args))

    def run(self, for_ms: float) -> None:
        """Advance the clock by `for_ms`, running the callbacks due by then in order of time."""
        until_ms = self.now_ms + for_ms
        while self.heap and self.heap[0][0] <= until_ms:
            self.now_ms, _, callback, args = heapq.heappop(self.heap)
            callback(*args)
        self.now_ms = until_ms

    def start(self, id_: str) -> None:
        """Start a voter, or restart it with what its disk holds."""
        voter = self.voters[id_] = Voter(self, id_, self.disks[id_])
        voter.run_callback(lambda: None)

    def crash(self, id_: str) -> None:
        """Kill a voter's process; saves that have not reached its disk are lost."""
        self.voters[id_].up = False
        self.disk_busy_until_ms.pop(id_, None)

    def pause(self, id_: str) -> None:
        """Pause a voter."""
        self.voters[id_].paused = True

    def resume(self, id_: str) -> None:
        """Resume a paused voter: expired timers run first, then the queued callbacks."""
        voter = self.voters[id_]
        voter.paused = False
        queued, voter.queued = voter.queued, []
        voter.run_callback(lambda: voter.raft.on_timer(self.now_ms))
        for callback in queued:
            voter.run_callback(callback)

    def partition(self, *parts: Iterable[str]) -> None:
        """Block all paths between these groups of voters."""
        group_by_id = {id_: i for i, part in enumerate(parts) for id_ in part}
        self.blocked = {(a, b) for a in group_by_id for b in group_by_id if group_by_id[a] != group_by_id[b]}

    def send(self, message: object) -> None:
        """Send a message: it may be lost, delayed by up to 400 ms more (2% of all) or duplicated (1%)."""
        if (message.source, message.target) in self.blocked or self.rng.random() < self.loss_rate:
            return
        due_ms = self.now_ms + self.rng.uniform(*MESSAGE_DELAY_RANGE_MS)
        if self.rng.random() < 0.02:
            due_ms += self.rng.uniform(0.0, 400.0)
        if self.rng.random() < 0.01:
            self.call_at(due_ms + self.rng.uniform(0.0, 200.0), self.deliver, message)
        self.call_at(due_ms, self.deliver, message)

    def deliver(self, message: object) -> None:
        """Hand a message to its target, if it runs."""
        voter = self.voters.get(message.target)
        if voter is not None:
            voter.run_callback(lambda: voter.raft.received(self.now_ms, message))

    def leader(self) -> Voter | None:
        """The running leader of the latest term, if any."""
        leaders = [
            voter
            for voter in self.voters.values()
            if voter.up and not voter.paused and voter.raft.role is Role.LEADER
        ]
        return max(leaders, key=lambda voter: voter.raft.term, default=None)

    def propose(self, data: bytes) -> bool:
        """Propose a change at the leader; returns whether there is one.

        The change counts as acknowledged once that leader commits it at the proposed index and term.
        """
        voter = self.leader()
        if voter is None:
            return False

        def propose() -> None:
            try:
                index = voter.raft.propose(self.now_ms, data)
            except RaftError:
                return
            self.proposed.setdefault(index, []).append((voter.id, voter.raft.term, data))

        voter.run_callback(propose)
        return True

    def record_commit(self, id_: str, entry: Entry) -> None:
        """Record an entry that a voter committed; all voters must commit the same entry at an index."""
        first = self.first_committed.setdefault(entry.index, entry)
        if first != entry:
            self.violations.append(f"{id_} commits {entry} at an index where {first} was committed")
        for leader_id, term, data in self.proposed.get(entry.index, ()):
            if (leader_id, term, data) == (id_, entry.term, entry.data):
                self.acknowledged[data] = entry.index

    def lost_changes(self) -> list[bytes]:
        """Acknowledged changes that are missing from the committed state of a running voter."""
        running = [voter for voter in self.voters.values() if voter.up and not voter.paused]
        return [data for data in self.acknowledged if any(data not in voter.state for voter in running)]

    def converged(self) -> bool:
        """Whether there is a leader and all running voters have the same committed state."""
        running = [voter for voter in self.voters.values() if voter.up and not voter.paused]
        return self.leader() is not None and len({tuple(voter.state) for voter in running}) == 1

    def run_until(self, condition: Callable[[], bool], timeout_ms: float) -> float:
        """Run until `condition` is true; returns the time it took in ms, or inf after `timeout_ms`."""
        began_ms = self.now_ms
        while not condition():
            if self.now_ms - began_ms >= timeout_ms:
                return float("inf")
            self.run(10.0)
        return self.now_ms - began_ms
