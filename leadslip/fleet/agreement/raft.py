"""Raft consensus on one log (Ongaro, 2014) with pre-vote, check-quorum, leadership transfer and snapshots.

One `Raft` object per voter, driven by `received`, `on_timer`, `saved` and the calls of operators. It leaves messages in
`outbox` and data to be made durable in `saves`, and passes committed entries to `on_committed`. Times are milliseconds
of the voter's monotonic clock. Pure: no I/O, time and randomness are passed in.

A message that depends on a save is deferred until `saved` reports that the save is on disk. Likewise, this voter counts
itself towards a majority only once its own vote or entry is on disk. The state in memory may be ahead of the disk, but
other voters learn only of what is durable.

A voter is identified by an id stored on its disk. A voter that lost its disk draws a new id, which is in no list of
voters until operators add it. So it can't vote a second time under its old id, whose votes it no longer knows.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from random import Random

import msgspec

from leadslip.errors import OperatorError
from leadslip.metrics import Metrics

MAX_BATCH_ENTRIES = 64  # in one message
MAX_BATCH_BYTES = 256 * 1024  # of their data; a single entry is sent whatever its size


class EntryKind(IntEnum):
    """Kind of a log entry."""

    NO_OP = 0  # each new leader appends one: entries of earlier terms are committed only along with one of its own term
    CHANGE = 1  # a change of the documents
    VOTERS = 2  # the list of voter ids, in use from this entry on
    SNAPSHOT = 3  # never in the log; passed to `on_committed` when a received snapshot replaces the state


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log; the format of `data` depends on `kind` (an EntryKind)."""

    index: int
    term: int
    kind: int
    data: bytes


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state after all entries up to an index, and the voters as of that index."""

    index: int
    term: int
    voters: list[str]
    data: bytes


class RaftMessage(msgspec.Struct, array_like=True, frozen=True):
    """Fields common to all messages between voters: ids of the sender and the receiver, and the sender's term.

    A pre-vote and its reply contain the term that the sender of the request would raise its own to.
    """

    source: str
    target: str
    term: int


class VoteRequest(RaftMessage, tag=20, frozen=True):
    """Asks for a vote, or in a pre-vote whether it would be granted."""

    last_index: int
    last_term: int
    pre: bool  # whether this is a pre-vote
    forced: bool = False  # after a leadership transfer: a voter in contact with a leader may grant it, too


class VoteReply(RaftMessage, tag=21, frozen=True):
    """Reply to VoteRequest."""

    granted: bool
    pre: bool


class AppendEntries(RaftMessage, tag=22, frozen=True):
    """Entries that follow the entry (`prev_index`, `prev_term`), or none as a heartbeat; the reply repeats `round`."""

    prev_index: int
    prev_term: int
    entries: list[Entry]
    committed: int
    round: int


class AppendReply(RaftMessage, tag=23, frozen=True):
    """Reply to AppendEntries and InstallSnapshot: the log matches the leader's up to `index`.

    If not `success`, the logs differ before the entries that were sent; the leader retries with those after `index`.
    """

    success: bool
    index: int
    round: int


class InstallSnapshot(RaftMessage, tag=24, frozen=True):
    """The leader's snapshot, sent in place of entries that it has already compacted."""

    snapshot: Snapshot
    round: int


class TimeoutNow(RaftMessage, tag=25, frozen=True):
    """Sent to the target of a leadership transfer, which starts an election at once."""


AnyMessage = VoteRequest | VoteReply | AppendEntries | AppendReply | InstallSnapshot | TimeoutNow


class Role(IntEnum):
    """Role of a voter."""

    FOLLOWER = 0
    WOULD_BE = 1  # pre-candidate: asks whether it would be elected (operators see the name in the status)
    CANDIDATE = 2
    LEADER = 3


class RaftError(OperatorError):
    """A voter can't perform the operation now; the error message says why."""

    code, status = "agreement.not-now", 503
    action = (
        "Retry shortly; if the error persists, check that a majority of the voters is running and reachable."
    )


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and time-outs of the protocol.

    After a leader fails, a new one is elected within about two of the longest election time-outs, unless two voters
    start an election at the same time.
    """

    heartbeat_ms: float = 100.0  # between two messages of a leader to each follower
    election_timeout_ms: float = 500.0  # minimum; each time-out is random between this and twice this
    transfer_timeout_ms: float = 1000.0  # a leadership transfer that takes longer is abandoned


@dataclass(slots=True)
class Save:
    """One write to the disk: term and vote, and possibly new log entries or a snapshot. Saves are written in order."""

    number: int  # counts the saves since the start of the process
    term: int
    vote: str
    after: int = 0  # entries after this index are replaced by `entries`, unless that is empty
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None  # replaces the previous snapshot and the entries up to its index
    replaces_log: bool = False  # the snapshot replaces the entire log, as the log does not match it


@dataclass(slots=True)
class PersistentState:
    """The persistent state that a voter starts with."""

    term: int
    vote: str
    snapshot: Snapshot
    entries: list[Entry]

    def is_blank(self) -> bool:
        """Returns whether it is that of a new disk: without a list of voters, a term, a vote or an entry."""
        return not (self.snapshot.voters or self.snapshot.index or self.term or self.vote or self.entries)


class Follower:
    """A leader's record of another voter."""

    __slots__ = ("match_index", "next_index", "last_received_ms", "round", "last_sent_ms")

    def __init__(self, next_index: int, now_ms: float) -> None:
        # Up to which index its log is known to match ours, and the index of the next entry to send:
        self.match_index, self.next_index = 0, next_index
        self.last_received_ms = now_ms  # when it last replied
        self.round = 0  # the latest heartbeat round that it has answered
        self.last_sent_ms = -float("inf")


class Raft:
    """The consensus state machine of one voter."""

    def __init__(
        self,
        id_: str,
        persistent_state: PersistentState,
        rng: Random,
        metrics: Metrics,
        on_committed: Callable[[Entry], None],
        timing: Timing,
    ) -> None:
        self.id, self.rng, self.metrics, self.on_committed, self.timing = (
            id_,
            rng,
            metrics,
            on_committed,
            timing,
        )
        self.term, self.vote = persistent_state.term, persistent_state.vote
        self.snapshot, self.entries = persistent_state.snapshot, list(persistent_state.entries)
        self.role, self.leader = Role.FOLLOWER, ""
        self.committed = self.applied = persistent_state.snapshot.index
        self.outbox: list[AnyMessage] = []
        self.saves: list[Save] = []
        # Number of the last save issued, and of the last known to be on disk:
        self.issued_save = self.durable_save = 0
        self.durable_index = self.last_index  # index of the last entry known to be on disk
        self.deferred: list[tuple[int, AnyMessage]] = []  # messages waiting for a save: (its number, message)
        self.votes_received: set[str] = set()  # voters that granted their vote in the current election
        self.followers: dict[str, Follower] = {}  # as leader: the other voters, by id
        self.round = 0  # as leader: number of the latest heartbeat round
        self.rounds: dict[int, tuple[float, int]] = {}  # round -> (its start, committed index at its start)
        # The latest round that a majority has answered: its start, and the committed index at its start.
        self.confirmed_ms, self.confirmed_index = -float("inf"), 0
        self.term_start_index = 0  # index of our first entry in the term that we lead
        self.transfer_target, self.transfer_started_ms = "", 0.0  # target "": no leadership transfer
        self.last_leader_contact_ms = -float("inf")  # when a leader of our term last sent a message
        self.wake_ms = float("inf")
        self.election_due_ms = float("inf")
        self.heartbeat_due_ms = float("inf")

    # The log.

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none after it."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none after it."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int:
        """Returns the term of the entry at an index; -1 if it was compacted or the log does not reach it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else -1

    def entries_after(self, index: int) -> list[Entry]:
        """Returns the entries after an index, as many as fit into one message."""
        batch, size = [], 0
        for entry in self.entries[index - self.snapshot.index :][:MAX_BATCH_ENTRIES]:
            size += len(entry.data)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(entry)
        return batch

    @property
    def voters(self) -> list[str]:
        """Ids of the current voters: the latest list in the log, committed or not, or that of the snapshot."""
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.VOTERS:
                return msgspec.msgpack.decode(entry.data, type=list[str])
        return self.snapshot.voters

    def _is_majority(self, supporters: Sequence[str]) -> bool:
        """Whether these ids include a majority of the current voters."""
        voters = self.voters
        return 2 * sum(voter in voters for voter in supporters) > len(voters)

    # Timers and saves.

    def start(self, now_ms: float) -> None:
        """Starts as a follower that waits for a leader."""
        self._reset_election_timer(now_ms)

    def on_timer(self, now_ms: float) -> None:
        """Runs the expired timers; to be called at wake_ms, but calls at other times are harmless."""
        if self.role is Role.LEADER:
            if now_ms >= self.heartbeat_due_ms:
                self._send_heartbeats(now_ms)
        elif now_ms >= self.election_due_ms:
            self._start_election(now_ms, pre=True)
        self._update_wake_time()

    def _update_wake_time(self) -> None:
        self.wake_ms = self.heartbeat_due_ms if self.role is Role.LEADER else self.election_due_ms

    def _reset_election_timer(self, now_ms: float) -> None:
        """Restarts the election timer with a random time-out."""
        self.election_due_ms = now_ms + self.timing.election_timeout_ms * (1.0 + self.rng.random())
        self._update_wake_time()

    def _save(self, **fields: object) -> None:
        """Issues a save of the term and the vote, with these further fields of `Save`."""
        self.issued_save += 1
        self.saves.append(Save(self.issued_save, self.term, self.vote, **fields))

    def saved(self, now_ms: float, number: int) -> None:
        """Handles the report that all saves up to this number are on disk."""
        self.durable_save = max(self.durable_save, number)
        if self.durable_save == self.issued_save:
            self.durable_index = self.last_index
        ready = [message for save_number, message in self.deferred if save_number <= self.durable_save]
        self.deferred = [
            (save_number, message)
            for save_number, message in self.deferred
            if save_number > self.durable_save
        ]
        for message in ready:
            if message.target == self.id:
                self.received(now_ms, message)
            elif message.term == self.term:
                self.outbox.append(message)
        if self.role is Role.LEADER:
            self._advance_commit_index(now_ms)

    def _send(self, message: AnyMessage, durable: bool = False) -> None:
        """Queues a message for sending; with `durable` only once all saves issued so far are on disk."""
        if durable and self.durable_save < self.issued_save:
            self.deferred.append((self.issued_save, message))
        else:
            self.outbox.append(message)

    def _become_follower(self, now_ms: float, term: int, leader: str = "") -> None:
        """Becomes a follower in this term, which is the current or a later one; `leader` is empty if unknown."""
        if term > self.term:
            self.term, self.vote = term, ""
            self._save(after=self.last_index)
        if self.role is Role.LEADER:
            self.metrics.add("agreement.stood_down")
        if self.role is not Role.FOLLOWER or leader != self.leader:
            self._reset_election_timer(now_ms)
        self.role, self.leader = Role.FOLLOWER, leader
        self.transfer_target = ""
        self.followers.clear()
        self.rounds.clear()

    # Elections.

    def _start_election(self, now_ms: float, pre: bool, forced: bool = False) -> None:
        """Starts an election; with `pre` a pre-vote, which asks without raising the term whether we would be elected.

        Without a pre-vote, a voter that returns from a partition would depose a leader that all others follow, as it
        has raised its term in the meantime.
        """
        self._reset_election_timer(now_ms)
        self.leader = ""
        if self.id not in self.voters:
            return
        self.votes_received = set()
        if pre:
            self.role = Role.WOULD_BE
        else:
            self.role = Role.CANDIDATE
            self.term, self.vote = self.term + 1, self.id
            self._save(after=self.last_index)
            self.metrics.add("agreement.elections")
        requested_term = self.term + 1 if pre else self.term
        for voter in self.voters:
            if voter != self.id:
                request = VoteRequest(
                    self.id, voter, requested_term, self.last_index, self.last_term, pre, forced
                )
                self._send(request, durable=not pre)
        own_vote = VoteReply(self.id, self.id, requested_term, True, pre)
        if pre or self.durable_save == self.issued_save:
            self._on_vote_reply(now_ms, own_vote)
        else:
            # Our own vote, too, counts only once it is on disk.
            self.deferred.append((self.issued_save, own_vote))

    def _on_vote_request(self, now_ms: float, request: VoteRequest) -> None:
        has_leader = self.role is Role.LEADER or (
            self.leader and now_ms - self.last_leader_contact_ms < self.timing.election_timeout_ms
        )
        if has_leader and not request.forced:
            # A voter in contact with a leader grants no vote, so that one voter that can't reach the leader does not
            # depose it. A leader without a majority steps down by itself (check-quorum, `_send_heartbeats`).
            self._send(
                VoteReply(
                    self.id, request.source, request.term if request.pre else self.term, False, request.pre
                )
            )
            return
        if request.term > self.term and not request.pre:
            self._become_follower(now_ms, request.term)
        up_to_date = (request.last_term, request.last_index) >= (self.last_term, self.last_index)
        if request.pre:
            self._send(
                VoteReply(
                    self.id, request.source, request.term, up_to_date and request.term > self.term, True
                )
            )
            return
        granted = request.term == self.term and up_to_date and self.vote in ("", request.source)
        if granted and not self.vote:
            self.vote = request.source
            self._save(after=self.last_index)
        if granted:
            self._reset_election_timer(now_ms)
        self._send(VoteReply(self.id, request.source, self.term, granted, False), durable=True)

    def _on_vote_reply(self, now_ms: float, reply: VoteReply) -> None:
        if reply.pre != (self.role is Role.WOULD_BE) or self.role not in (Role.WOULD_BE, Role.CANDIDATE):
            return
        if reply.term != (self.term + 1 if reply.pre else self.term) or not reply.granted:
            return
        self.votes_received.add(reply.source)
        if not self._is_majority(self.votes_received):
            return
        if reply.pre:
            self._start_election(now_ms, pre=False)
        else:
            self._become_leader(now_ms)

    def _become_leader(self, now_ms: float) -> None:
        self.role, self.leader = Role.LEADER, self.id
        self.metrics.add("agreement.leads")
        self.followers = {
            voter: Follower(self.last_index + 1, now_ms) for voter in self.voters if voter != self.id
        }
        self.rounds.clear()
        self.confirmed_ms = -float("inf")
        self.transfer_target = ""
        # The first leader of all terms writes the list of voters into the log, from which voters that are added later,
        # with an empty disk, learn it.
        is_first_leader = not self.snapshot.index and all(
            entry.kind != EntryKind.VOTERS for entry in self.entries
        )
        self._append(
            *(
                (EntryKind.VOTERS, msgspec.msgpack.encode(self.voters))
                if is_first_leader
                else (EntryKind.NO_OP, b"")
            )
        )
        self.term_start_index = self.last_index
        self._send_heartbeats(now_ms)
        self._advance_commit_index(now_ms)

    # Replication.

    def propose(self, now_ms: float, data: bytes) -> int:
        """Appends a change to the log and returns its index.

        Raises RaftError if this voter is not the leader, or during a leadership transfer.
        """
        self._require_leader()
        index = self._append(EntryKind.CHANGE, data)
        self._send_heartbeats(now_ms)
        self._advance_commit_index(now_ms)
        return index

    def _require_leader(self) -> None:
        if self.role is not Role.LEADER:
            raise RaftError(
                "this voter is not the leader" if self.leader else "no leader is known to this voter"
            )
        if self.transfer_target:
            raise RaftError(f"a transfer of the leadership to voter {self.transfer_target} is in progress")

    def _append(self, kind: EntryKind, data: bytes) -> int:
        entry = Entry(self.last_index + 1, self.term, int(kind), data)
        self.entries.append(entry)
        self._save(after=entry.index - 1, entries=(entry,))
        return entry.index

    def _send_heartbeats(self, now_ms: float) -> None:
        """Starts a heartbeat round: sends entries, or none, to all followers.

        Steps down if no majority has replied within twice the minimum election time-out (check-quorum).
        """
        self.heartbeat_due_ms = now_ms + self.timing.heartbeat_ms
        reachable = [self.id] + [
            voter
            for voter, follower in self.followers.items()
            if now_ms - follower.last_received_ms < 2 * self.timing.election_timeout_ms
        ]
        if not self._is_majority(reachable):
            self.metrics.add("agreement.no_majority")
            self._become_follower(now_ms, self.term)
            return
        if self.transfer_target and now_ms - self.transfer_started_ms > self.timing.transfer_timeout_ms:
            self.transfer_target = ""
        self.round += 1
        self.rounds[self.round] = now_ms, self.committed
        # Bounds the memory: a reply to one of the rounds dropped here confirms nothing.
        for old_round in [number for number in self.rounds if number < self.round - 50]:
            del self.rounds[old_round]
        for voter in self.followers:
            self._replicate(now_ms, voter)
        self._update_confirmed_round(now_ms)
        self._update_wake_time()

    def _replicate(self, now_ms: float, voter: str) -> None:
        """Sends a follower the entries that it lacks, or the snapshot if those were compacted."""
        follower = self.followers[voter]
        follower.last_sent_ms = now_ms
        prev_index = follower.next_index - 1
        prev_term = self.term_at(prev_index)
        if prev_term < 0:
            self._send(InstallSnapshot(self.id, voter, self.term, self.snapshot, self.round))
            return
        entries = self.entries_after(prev_index)
        self._send(
            AppendEntries(
                self.id, voter, self.term, prev_index, prev_term, entries, self.committed, self.round
            )
        )
        # Does not wait for the reply; one without `success` sets the index back.
        follower.next_index = prev_index + len(entries) + 1

    def _on_append(self, now_ms: float, message: AppendEntries) -> None:
        self.last_leader_contact_ms = now_ms
        self._reset_election_timer(now_ms)
        if message.prev_index < self.snapshot.index:
            # Our snapshot covers the first of these entries. They are committed, so they match and are skipped.
            entries = [entry for entry in message.entries if entry.index > self.snapshot.index]
            prev_index = self.snapshot.index
            if message.prev_index + len(message.entries) < prev_index:
                self._send(
                    AppendReply(self.id, message.source, self.term, True, prev_index, message.round),
                    durable=True,
                )
                return
        else:
            entries, prev_index = list(message.entries), message.prev_index
            if self.term_at(prev_index) != message.prev_term:
                # The highest index at which the logs may still match: entries of a later term than `prev_term` do not.
                hint = min(prev_index, self.last_index + 1) - 1
                while hint > self.committed and self.term_at(hint) > message.prev_term:
                    hint -= 1
                self._send(AppendReply(self.id, message.source, self.term, False, hint, message.round))
                return
        new_entries = [entry for entry in entries if self.term_at(entry.index) != entry.term]
        if new_entries:
            keep_index = new_entries[0].index - 1
            self.metrics.check_invariant(keep_index >= self.committed, "what is committed is not replaced")
            del self.entries[keep_index - self.snapshot.index :]
            self.entries += entries[entries.index(new_entries[0]) :]
            self._save(after=keep_index, entries=tuple(self.entries[keep_index - self.snapshot.index :]))
        last = prev_index + len(entries)
        self._commit(min(message.committed, last))
        self._send(AppendReply(self.id, message.source, self.term, True, last, message.round), durable=True)

    def _on_append_reply(self, now_ms: float, message: AppendReply) -> None:
        follower = self.followers.get(message.source)
        if follower is None or self.role is not Role.LEADER:
            return
        follower.last_received_ms = now_ms
        follower.round = max(follower.round, message.round)
        if message.success:
            follower.match_index = max(follower.match_index, message.index)
            follower.next_index = max(follower.next_index, follower.match_index + 1)
            self._advance_commit_index(now_ms)
            if follower.next_index <= self.last_index and follower.match_index == follower.next_index - 1:
                self._replicate(now_ms, message.source)
            if self.transfer_target == message.source and follower.match_index == self.last_index:
                self._send(TimeoutNow(self.id, self.transfer_target, self.term))
        else:
            follower.next_index = max(follower.match_index, min(message.index, follower.next_index - 1)) + 1
            self._replicate(now_ms, message.source)
        self._update_confirmed_round(now_ms)

    def _on_install_snapshot(self, now_ms: float, message: InstallSnapshot) -> None:
        self.last_leader_contact_ms = now_ms
        self._reset_election_timer(now_ms)
        snapshot = message.snapshot
        if snapshot.index > self.committed:
            matches = self.term_at(snapshot.index) == snapshot.term
            self.entries = self.entries[snapshot.index - self.snapshot.index :] if matches else []
            self.snapshot = snapshot
            self.committed = self.applied = snapshot.index
            self._save(after=self.last_index, snapshot=snapshot, replaces_log=not matches)
            self.on_committed(Entry(snapshot.index, snapshot.term, int(EntryKind.SNAPSHOT), snapshot.data))
            self.metrics.add("agreement.installed")
        index = max(snapshot.index, self.committed)
        self._send(AppendReply(self.id, message.source, self.term, True, index, message.round), durable=True)

    def _advance_commit_index(self, now_ms: float) -> None:
        """Commits all entries up to the index that a majority has on disk, if the entry there is of the leader's term.

        Entries of earlier terms are committed only along with one of the leader's term (section 5.4.2 of Ongaro and
        Ousterhout, "In Search of an Understandable Consensus Algorithm").
        """
        voters = self.voters
        own_index = [self.durable_index] if self.id in voters else []
        match_indexes = sorted(
            own_index
            + [follower.match_index for voter, follower in self.followers.items() if voter in voters]
        )
        if not match_indexes:
            return
        majority_index = match_indexes[(len(voters) - 1) // 2] if len(match_indexes) == len(voters) else 0
        if majority_index > self.committed and self.term_at(majority_index) == self.term:
            self._commit(majority_index)
            # The followers learn the new index by a heartbeat that is due at once.
            self.heartbeat_due_ms = min(self.heartbeat_due_ms, now_ms)
            self._update_wake_time()
            if self.id not in voters:
                self._become_follower(now_ms, self.term)  # the list of voters without this one is committed

    def _commit(self, index: int) -> None:
        """Raises the committed index and applies the entries up to it."""
        self.committed = max(self.committed, index)
        while self.applied < self.committed:
            self.applied += 1
            self.on_committed(self.entries[self.applied - self.snapshot.index - 1])

    def compact(self, data: bytes) -> None:
        """Replaces all applied entries by a snapshot; `data` is the serialized state after them."""
        index = self.applied
        if index == self.snapshot.index:
            return
        voters = self.snapshot.voters
        for entry in self.entries[: index - self.snapshot.index]:
            if entry.kind == EntryKind.VOTERS:
                voters = msgspec.msgpack.decode(entry.data, type=list[str])
        snapshot = Snapshot(index, self.term_at(index), voters, data)
        self.entries = self.entries[index - self.snapshot.index :]
        self.snapshot = snapshot
        self._save(after=self.last_index, snapshot=snapshot)

    # Freshness and operators' requests.

    def confirmed(self, now_ms: float) -> tuple[int, float] | None:
        """Returns (index, age): `age` ms ago, no entry after this index was committed anywhere; None if not known.

        Only a leader knows this: a majority has answered the heartbeat round that it began at that time, so no other
        leader had been elected by then. It holds only for rounds begun after an entry of the leader's own term was
        committed: before that, the leader may not know which entries are committed.
        """
        if self.role is not Role.LEADER or self.confirmed_index < self.term_start_index:
            return None
        return self.confirmed_index, now_ms - self.confirmed_ms

    def _update_confirmed_round(self, now_ms: float) -> None:
        """Finds the latest round that a majority has answered and records its start and its committed index."""
        voters = self.voters
        answered_rounds = sorted(
            ([self.round] if self.id in voters else [])
            + [follower.round for voter, follower in self.followers.items() if voter in voters]
        )
        if len(answered_rounds) < len(voters):
            return
        round_ = answered_rounds[(len(voters) - 1) // 2]
        if round_ in self.rounds:
            self.confirmed_ms, self.confirmed_index = self.rounds[round_]

    def change_voters(self, now_ms: float, voters: list[str]) -> int:
        """Appends a list of voters with one added or one removed; returns the index of the entry.

        Raises RaftError if this voter is not the leader, the list does not differ by exactly one voter, or an earlier
        change of the voters is not committed yet.
        """
        self._require_leader()
        if len(set(voters) ^ set(self.voters)) != 1 or len(set(voters)) != len(voters):
            raise RaftError(
                "voters must change one at a time: add or remove exactly one; "
                f"the current voters are {self.voters}, requested are {voters}"
            )
        pending = any(
            entry.kind == EntryKind.VOTERS and entry.index > self.committed for entry in self.entries
        )
        if pending or self.committed < self.term_start_index:
            # Otherwise two leaders could commit by majorities of different lists that have no voter in common (Ongaro's
            # correction of 2015 to single-server membership changes).
            raise RaftError(
                "an earlier change of voters, or the first entry of this term, is not committed yet"
            )
        index = self._append(EntryKind.VOTERS, msgspec.msgpack.encode(voters))
        for voter in voters:
            if voter != self.id and voter not in self.followers:
                self.followers[voter] = Follower(self.last_index + 1, now_ms)
        for voter in set(self.followers) - set(voters):
            del self.followers[voter]
        self._send_heartbeats(now_ms)
        self._advance_commit_index(now_ms)
        return index

    def voters_settled(self) -> bool:
        """Whether all changes of the voters in the log are committed."""
        return all(entry.kind != EntryKind.VOTERS or entry.index <= self.committed for entry in self.entries)

    def transfer(self, now_ms: float, target: str) -> None:
        """Transfers leadership to `target` once its log has caught up.

        Raises RaftError if this voter is not the leader, a transfer is in progress, or `target` is not another voter.
        """
        self._require_leader()
        if target not in self.followers:
            raise RaftError(f"leadership can be transferred only to another voter, not to {target!r}")
        self.transfer_target, self.transfer_started_ms = target, now_ms
        if self.followers[target].match_index == self.last_index:
            self._send(TimeoutNow(self.id, target, self.term))
        else:
            self._replicate(now_ms, target)

    # Messages.

    def received(self, now_ms: float, message: AnyMessage) -> None:
        """Handles a message of another voter, or of this voter to itself."""
        if message.target != self.id:
            return
        match message:
            case VoteRequest():
                self._on_vote_request(now_ms, message)
            case VoteReply():
                if message.term > self.term and not message.pre:
                    self._become_follower(now_ms, message.term)
                self._on_vote_reply(now_ms, message)
            case _:
                if message.term > self.term or (
                    message.term == self.term and isinstance(message, AppendEntries | InstallSnapshot)
                ):
                    leader = message.source if isinstance(message, AppendEntries | InstallSnapshot) else ""
                    self._become_follower(now_ms, message.term, leader)
                if message.term < self.term:
                    if isinstance(message, AppendEntries | InstallSnapshot):
                        # From a deposed leader, which steps down when it reads the newer term in the reply.
                        self._send(AppendReply(self.id, message.source, self.term, False, 0, 0))
                elif isinstance(message, AppendEntries):
                    self._on_append(now_ms, message)
                elif isinstance(message, InstallSnapshot):
                    self._on_install_snapshot(now_ms, message)
                elif isinstance(message, AppendReply):
                    self._on_append_reply(now_ms, message)
                elif message.term == self.term:
                    self._start_election(now_ms, pre=False, forced=True)
        self._update_wake_time()
