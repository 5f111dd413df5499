"""Voters of the agreement in the lab: the very Raft that serves, on a virtual clock, network and disks that fail.

`Voters` starts, crashes, stops and restarts them and records what each commits and what was acknowledged; `wrong` and
`missing` judge from that record alone.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from leadslip.checks import Tally
from leadslip.fleet.agreement.raft import Entry, Kept, Kind, Pace, Raft, RaftError, Role, Save, Snapshot

DISK_MS = (0.5, 8.0)  # least and most that a save takes
LATE_MS = (0.3, 4.0)  # one way of a message


class Disk:
    """What a voter has on disk; saves reach it whole and in order, or not at all."""

    def __init__(self, voters: list[str]) -> None:
        self.kept = Kept(0, "", Snapshot(0, 0, voters, b""), [])

    def write(self, save: Save) -> None:
        kept = self.kept
        snapshot, entries = kept.snapshot, kept.entries
        if save.snapshot is not None:
            entries = [] if save.whole else [one for one in entries if one.index > save.snapshot.index]
            snapshot = save.snapshot
        if save.entries:
            entries = [one for one in entries if one.index <= save.after] + list(save.entries)
        self.kept = Kept(save.term, save.vote, snapshot, entries)


class Voter:
    """One voter, as long as its process lives."""

    def __init__(self, lab: Voters, id_: str, disk: Disk) -> None:
        self.lab, self.id, self.disk = lab, id_, disk
        self.up, self.stopped = True, False
        self.waiting: list = []  # what came while it was stopped
        kept = disk.kept
        seen = Kept(kept.term, kept.vote, kept.snapshot, list(kept.entries))
        self.state = self.restored(kept.snapshot.data)
        self.raft = lab.kind(id_, seen, Random(lab.draw.getrandbits(64)), lab.tally, self.commit, lab.pace)
        self.raft.start(lab.now_ms)

    @staticmethod
    def restored(data: bytes) -> list[bytes]:
        return msgspec.msgpack.decode(data, type=list[bytes]) if data else []

    def commit(self, entry: Entry) -> None:
        if entry.kind == Kind.SNAPSHOT:
            self.state = self.restored(entry.data)
        elif entry.kind == Kind.CHANGE:
            self.state.append(entry.data)
        if entry.kind != Kind.SNAPSHOT:
            self.lab.committed(self.id, entry)

    def compact(self) -> None:
        self.raft.compact(msgspec.msgpack.encode(self.state))

    def act(self, work: Callable[[], object]) -> None:
        """Do something, and then what it asks for."""
        if not self.up:
            return
        if self.stopped:
            self.waiting.append(work)
            return
        work()
        lab = self.lab
        saves, self.raft.saves = self.raft.saves, []
        for save in saves:
            lab.disk_ms[self.id] = max(lab.disk_ms.get(self.id, 0.0), lab.now_ms) + lab.draw.uniform(*DISK_MS)
            lab.at(lab.disk_ms[self.id], self.written, save)
        out, self.raft.out = self.raft.out, []
        for message in out:
            lab.send(message)
        lab.at(self.raft.wake_ms, self.wake)

    def written(self, save: Save) -> None:
        if self.up:
            self.disk.write(save)
            self.act(lambda: self.raft.saved(self.lab.now_ms, save.number))

    def wake(self) -> None:
        if self.up and not self.stopped and self.lab.now_ms >= self.raft.wake_ms:
            self.act(lambda: self.raft.due(self.lab.now_ms))


class Voters:
    """Some voters, seeded."""

    def __init__(self, seed: int, count: int = 3, pace: Pace = Pace(), kind: type[Raft] = Raft) -> None:  # noqa: B008
        self.draw, self.tally, self.pace, self.kind = Random(seed), Tally(), pace, kind
        self.now_ms, self.order = 0.0, 0
        self.heap: list[tuple[float, int, Callable, tuple]] = []
        self.lost, self.cut = 0.0, set()  # share of messages lost; ways (source, target) that are cut
        self.disk_ms: dict[str, float] = {}
        self.ids = [f"v{i}" for i in range(count)]
        self.disks = {id_: Disk(self.ids) for id_ in self.ids}
        self.voters: dict[str, Voter] = {}
        self.log: dict[int, Entry] = {}  # index -> what the first to commit it held
        self.wrong: list[str] = []
        self.acknowledged: dict[bytes, int] = {}
        self.proposed: dict[int, list[tuple[str, int, bytes]]] = {}
        for id_ in self.ids:
            self.start(id_)

    def at(self, due_ms: float, work: Callable, *what: object) -> None:
        if due_ms < float("inf"):
            self.order += 1
            heapq.heappush(self.heap, (due_ms, self.order, work, what))

    def run(self, for_ms: float) -> None:
        until_ms = self.now_ms + for_ms
        while self.heap and self.heap[0][0] <= until_ms:
            self.now_ms, _, work, what = heapq.heappop(self.heap)
            work(*what)
        self.now_ms = until_ms

    def start(self, id_: str) -> None:
        voter = self.voters[id_] = Voter(self, id_, self.disks[id_])
        voter.act(lambda: None)

    def crash(self, id_: str) -> None:
        """The process is gone, with what had not reached its disk."""
        self.voters[id_].up = False
        self.disk_ms.pop(id_, None)

    def stop(self, id_: str) -> None:
        self.voters[id_].stopped = True

    def go_on(self, id_: str) -> None:
        voter = self.voters[id_]
        voter.stopped = False
        waited, voter.waiting = voter.waiting, []
        voter.act(lambda: voter.raft.due(self.now_ms))
        for work in waited:
            voter.act(work)

    def part(self, *parts: Iterable[str]) -> None:
        of = {id_: i for i, part in enumerate(parts) for id_ in part}
        self.cut = {(a, b) for a in of for b in of if of[a] != of[b]}

    def send(self, message: object) -> None:
        if (message.source, message.target) in self.cut or self.draw.random() < self.lost:
            return
        due_ms = self.now_ms + self.draw.uniform(*LATE_MS)
        if self.draw.random() < 0.02:
            due_ms += self.draw.uniform(0.0, 400.0)
        if self.draw.random() < 0.01:
            self.at(due_ms + self.draw.uniform(0.0, 200.0), self.arrive, message)
        self.at(due_ms, self.arrive, message)

    def arrive(self, message: object) -> None:
        voter = self.voters.get(message.target)
        if voter is not None:
            voter.act(lambda: voter.raft.received(self.now_ms, message))

    def leader(self) -> Voter | None:
        """Who leads in the latest term, of those that run."""
        leading = [
            one for one in self.voters.values() if one.up and not one.stopped and one.raft.role is Role.LEADER
        ]
        return max(leading, key=lambda one: one.raft.term, default=None)

    def put(self, data: bytes) -> bool:
        """Propose a change at whoever leads; acknowledged once that one commits it in its own place and term."""
        voter = self.leader()
        if voter is None:
            return False

        def work() -> None:
            try:
                index = voter.raft.propose(self.now_ms, data)
            except RaftError:
                return
            self.proposed.setdefault(index, []).append((voter.id, voter.raft.term, data))

        voter.act(work)
        return True

    def committed(self, id_: str, entry: Entry) -> None:
        """One voter has committed an entry: all must commit the same in that place."""
        first = self.log.setdefault(entry.index, entry)
        if first != entry:
            self.wrong.append(f"{id_} commits {entry} where {first} was committed")
        for by, term, data in self.proposed.get(entry.index, ()):
            if (by, term, data) == (id_, entry.term, entry.data):
                self.acknowledged[data] = entry.index

    def missing(self) -> list[bytes]:
        """What was acknowledged and is not in what some voter that runs holds committed."""
        running = [one for one in self.voters.values() if one.up and not one.stopped]
        return [data for data in self.acknowledged if any(data not in one.state for one in running)]

    def agreed(self) -> bool:
        """Whether one leads, and all that run hold the same committed state."""
        running = [one for one in self.voters.values() if one.up and not one.stopped]
        return self.leader() is not None and len({tuple(one.state) for one in running}) == 1

    def until(self, holds: Callable[[], bool], most_ms: float) -> float:
        """Let time pass until a condition holds; how long it took, or inf."""
        began_ms = self.now_ms
        while not holds():
            if self.now_ms - began_ms >= most_ms:
                return float("inf")
            self.run(10.0)
        return self.now_ms - began_ms
