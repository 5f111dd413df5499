"""Consensus on one log among a few voters: Raft (Ongaro, 2014) with pre-vote, check-quorum, transfer and snapshots.

One object for each voter, driven by `received`, `due`, `saved` and the operators' acts; it gives messages in `out`,
what is to be made durable in `saves`, and tells committed entries to `commit`. Times are milliseconds of the voter's
monotonic clock. No I/O, no clock of its own; randomness is handed in.

Nothing counts before it is durable: a message that rests on a save is held back until `saved` tells that this save is
on disk, and so is this voter's own part of a majority. What is in memory may be ahead of the disk; nobody else sees
it.

Voters are told by an id that their disk bears. One that lost its disk draws another id: it is in no list of voters
until operators put it there, so it can't vote as the one it was.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from random import Random

import msgspec

from leadslip.checks import Tally
from leadslip.errors import OperatorError

MOST_BATCH = 64  # entries in one message
MOST_BATCH_BYTES = 256 * 1024  # of their data; a single entry goes whatever its size


class Kind(IntEnum):
    """What an entry is for."""

    NOTHING = 0  # a leader's first, as it may commit what it found only behind one of its own term
    CHANGE = 1  # to the documents
    VOTERS = 2  # the voters from here on, as a list of ids
    SNAPSHOT = 3  # never in a log: told to `commit` where a snapshot takes the place of entries


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log; `data` is its kind's own."""

    index: int
    term: int
    kind: int
    data: bytes


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """All that entries up to an index amount to, and who votes after them."""

    index: int
    term: int
    voters: list[str]
    data: bytes


class RaftMessage(msgspec.Struct, array_like=True, frozen=True):
    """What every message of voters begins with."""

    source: str
    target: str
    term: int


class AskVote(RaftMessage, tag=20, frozen=True):
    """Would you vote for me (`pre`), or do? `forced`: the leader itself has handed over to me."""

    last_index: int
    last_term: int
    pre: bool
    forced: bool = False


class Vote(RaftMessage, tag=21, frozen=True):
    """The answer."""

    granted: bool
    pre: bool


class Append(RaftMessage, tag=22, frozen=True):
    """A leader's entries after one that the follower should hold; `round` comes back in the answer."""

    before_index: int
    before_term: int
    entries: list[Entry]
    committed: int
    round: int


class Appended(RaftMessage, tag=23, frozen=True):
    """Held up to `index`; or, where not `held`, look for what we share from `index` on down."""

    held: bool
    index: int
    round: int


class Install(RaftMessage, tag=24, frozen=True):
    """A snapshot in place of entries that the leader holds no more."""

    snapshot: Snapshot
    round: int


class Succeed(RaftMessage, tag=25, frozen=True):
    """The leader hands over: stand for election now."""


Any = AskVote | Vote | Append | Appended | Install | Succeed


class Role(IntEnum):
    """What a voter is at the moment."""

    FOLLOWER = 0
    WOULD_BE = 1  # asks whether it would be elected
    CANDIDATE = 2
    LEADER = 3


class RaftError(OperatorError):
    """A voter can't do what is asked of it now; the text says why."""

    code, status = "agreement.not-now", 503
    action = "Ask again in a moment; if it lasts, see that a majority of the voters runs and is reached."


@dataclass(frozen=True, slots=True)
class Pace:
    """Milliseconds. An election takes about two of the longest waits where no two stand at once."""

    beat_ms: float = 100.0  # between a leader's messages to each follower
    patience_ms: float = 500.0  # a follower waits so long for a leader, and up to as long again
    transfer_ms: float = 1000.0  # a handing over that has not come about by then is given up


@dataclass(slots=True)
class Save:
    """To be made durable, in the order given: who was voted for, and a piece of the log or a snapshot in its place."""

    number: int
    term: int
    vote: str
    after: int = 0  # entries behind this index are replaced by:
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    whole: bool = False  # nothing of the log before stays, as it does not fit the snapshot


@dataclass(slots=True)
class Kept:
    """What a voter finds on its disk when it starts."""

    term: int
    vote: str
    snapshot: Snapshot
    entries: list[Entry]


class Follower:
    """What a leader knows of another voter."""

    __slots__ = ("match", "next", "heard_ms", "round", "sent_ms")

    def __init__(self, next_: int, now_ms: float) -> None:
        self.match, self.next = 0, next_
        self.heard_ms = now_ms
        self.round = 0  # the latest that it has answered
        self.sent_ms = -float("inf")


class Raft:
    """One voter."""

    def __init__(
        self, id_: str, kept: Kept, draw: Random, tally: Tally, commit: Callable[[Entry], None], pace: Pace
    ) -> None:
        self.id, self.draw, self.tally, self.commit, self.pace = id_, draw, tally, commit, pace
        self.term, self.vote = kept.term, kept.vote
        self.snapshot, self.entries = kept.snapshot, list(kept.entries)
        self.role, self.leader = Role.FOLLOWER, ""
        self.committed = self.applied = kept.snapshot.index
        self.out: list[Any] = []
        self.saves: list[Save] = []
        self.numbered = self.durable = 0  # saves given, and those known to be on disk
        self.durable_index = self.last_index
        self.held: list[tuple[int, Any]] = []  # messages that wait for a save
        self.ballots: set[str] = set()
        self.followers: dict[str, Follower] = {}
        self.round = 0
        self.rounds: dict[int, tuple[float, int]] = {}  # a leader's rounds -> when begun, committed then
        self.confirmed_ms, self.confirmed_index = -float("inf"), 0
        self.own_index = 0  # of our first entry as a leader
        self.heir, self.heir_ms = "", 0.0
        self.heard_ms = -float("inf")  # from a leader of our term
        self.wake_ms = float("inf")
        self.election_ms = float("inf")
        self.beat_due_ms = float("inf")

    # The log.

    @property
    def last_index(self) -> int:
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int:
        """The term of an entry that is held; -1 where it is not."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self.entries[at].term if 0 <= at < len(self.entries) else -1

    def after(self, index: int) -> list[Entry]:
        """The entries behind an index, as many as one message takes."""
        told, size = [], 0
        for entry in self.entries[index - self.snapshot.index :][:MOST_BATCH]:
            size += len(entry.data)
            if told and size > MOST_BATCH_BYTES:
                break
            told.append(entry)
        return told

    @property
    def voters(self) -> list[str]:
        """Who votes: by the latest list in the log, committed or not."""
        for entry in reversed(self.entries):
            if entry.kind == Kind.VOTERS:
                return msgspec.msgpack.decode(entry.data, type=list[str])
        return self.snapshot.voters

    def _majority(self, of: Sequence[str]) -> bool:
        voters = self.voters
        return 2 * sum(one in voters for one in of) > len(voters)

    # The life of a voter.

    def start(self, now_ms: float) -> None:
        self._wait(now_ms)

    def due(self, now_ms: float) -> None:
        """Do what is due; to be called at wake_ms, and no harm if sooner or later."""
        if self.role is Role.LEADER:
            if now_ms >= self.beat_due_ms:
                self._lead_on(now_ms)
        elif now_ms >= self.election_ms:
            self._stand(now_ms, pre=True)
        self._wake()

    def _wake(self) -> None:
        self.wake_ms = self.beat_due_ms if self.role is Role.LEADER else self.election_ms

    def _wait(self, now_ms: float) -> None:
        """Wait for a leader, for a time of our own."""
        self.election_ms = now_ms + self.pace.patience_ms * (1.0 + self.draw.random())
        self._wake()

    def _save(self, **what: object) -> None:
        self.numbered += 1
        self.saves.append(Save(self.numbered, self.term, self.vote, **what))

    def saved(self, now_ms: float, number: int) -> None:
        """All saves up to this one are on disk."""
        self.durable = max(self.durable, number)
        if self.durable == self.numbered:
            self.durable_index = self.last_index
        ready = [message for needs, message in self.held if needs <= self.durable]
        self.held = [(needs, message) for needs, message in self.held if needs > self.durable]
        for message in ready:
            if message.target == self.id:
                self.received(now_ms, message)
            elif message.term == self.term:
                self.out.append(message)
        if self.role is Role.LEADER:
            self._advance(now_ms)

    def _say(self, message: Any, durable: bool = False) -> None:
        """Send, `durable`: once all that was given to be saved is on disk."""
        if durable and self.durable < self.numbered:
            self.held.append((self.numbered, message))
        else:
            self.out.append(message)

    def _follow(self, now_ms: float, term: int, leader: str = "") -> None:
        """Be a follower, in a term that may be a later one."""
        if term > self.term:
            self.term, self.vote = term, ""
            self._save(after=self.last_index)
        if self.role is Role.LEADER:
            self.tally.add("agreement.stood_down")
        if self.role is not Role.FOLLOWER or leader != self.leader:
            self._wait(now_ms)
        self.role, self.leader = Role.FOLLOWER, leader
        self.heir = ""
        self.followers.clear()
        self.rounds.clear()

    # Elections.

    def _stand(self, now_ms: float, pre: bool, forced: bool = False) -> None:
        """Ask to be elected; before that (`pre`) whether we would be, so that terms are not used up in vain.

        Guards against one that was cut off: on its return it does not push a leader out that all others hear.
        """
        self._wait(now_ms)
        self.leader = ""
        if self.id not in self.voters:
            return
        self.ballots = set()
        if pre:
            self.role = Role.WOULD_BE
        else:
            self.role = Role.CANDIDATE
            self.term, self.vote = self.term + 1, self.id
            self._save(after=self.last_index)
            self.tally.add("agreement.elections")
        asked = self.term + 1 if pre else self.term
        for voter in self.voters:
            if voter != self.id:
                ask = AskVote(self.id, voter, asked, self.last_index, self.last_term, pre, forced)
                self._say(ask, durable=not pre)
        own = Vote(self.id, self.id, asked, True, pre)
        if pre or self.durable == self.numbered:
            self._counted(now_ms, own)
        else:
            self.held.append((self.numbered, own))  # our own vote counts once it is on disk, too

    def _asked(self, now_ms: float, ask: AskVote) -> None:
        hears = self.role is Role.LEADER or (self.leader and now_ms - self.heard_ms < self.pace.patience_ms)
        if hears and not ask.forced:
            # Check-quorum's other half: who hears a leader lets nobody take its place.
            self._say(Vote(self.id, ask.source, ask.term if ask.pre else self.term, False, ask.pre))
            return
        if ask.term > self.term and not ask.pre:
            self._follow(now_ms, ask.term)
        known = (ask.last_term, ask.last_index) >= (self.last_term, self.last_index)
        if ask.pre:
            self._say(Vote(self.id, ask.source, ask.term, known and ask.term > self.term, True))
            return
        granted = ask.term == self.term and known and self.vote in ("", ask.source)
        if granted and not self.vote:
            self.vote = ask.source
            self._save(after=self.last_index)
        if granted:
            self._wait(now_ms)
        self._say(Vote(self.id, ask.source, self.term, granted, False), durable=True)

    def _counted(self, now_ms: float, vote: Vote) -> None:
        if vote.pre != (self.role is Role.WOULD_BE) or self.role not in (Role.WOULD_BE, Role.CANDIDATE):
            return
        if vote.term != (self.term + 1 if vote.pre else self.term) or not vote.granted:
            return
        self.ballots.add(vote.source)
        if not self._majority(self.ballots):
            return
        if vote.pre:
            self._stand(now_ms, pre=False)
        else:
            self._lead(now_ms)

    def _lead(self, now_ms: float) -> None:
        self.role, self.leader = Role.LEADER, self.id
        self.tally.add("agreement.leads")
        self.followers = {
            voter: Follower(self.last_index + 1, now_ms) for voter in self.voters if voter != self.id
        }
        self.rounds.clear()
        self.confirmed_ms = -float("inf")
        self.heir = ""
        # The very first leader writes the list of voters into the log: who comes blank later finds it there.
        first = not self.snapshot.index and all(entry.kind != Kind.VOTERS for entry in self.entries)
        self._put(*((Kind.VOTERS, msgspec.msgpack.encode(self.voters)) if first else (Kind.NOTHING, b"")))
        self.own_index = self.last_index
        self._lead_on(now_ms)
        self._advance(now_ms)

    # Replication.

    def propose(self, now_ms: float, data: bytes) -> int:
        """A change for the log; its index. Raises RaftError where we don't lead, or hand over just now."""
        self._must_lead()
        index = self._put(Kind.CHANGE, data)
        self._lead_on(now_ms)
        self._advance(now_ms)
        return index

    def _must_lead(self) -> None:
        if self.role is not Role.LEADER:
            raise RaftError("another voter leads" if self.leader else "no voter leads")
        if self.heir:
            raise RaftError("the lead is being handed over")

    def _put(self, kind: Kind, data: bytes) -> int:
        entry = Entry(self.last_index + 1, self.term, int(kind), data)
        self.entries.append(entry)
        self._save(after=entry.index - 1, entries=(entry,))
        return entry.index

    def _lead_on(self, now_ms: float) -> None:
        """A round of messages to all followers; who hears no majority for long leads no more."""
        self.beat_due_ms = now_ms + self.pace.beat_ms
        heard = [self.id] + [
            voter
            for voter, held in self.followers.items()
            if now_ms - held.heard_ms < 2 * self.pace.patience_ms
        ]
        if not self._majority(heard):
            self.tally.add("agreement.no_majority")
            self._follow(now_ms, self.term)
            return
        if self.heir and now_ms - self.heir_ms > self.pace.transfer_ms:
            self.heir = ""
        self.round += 1
        self.rounds[self.round] = now_ms, self.committed
        for old in [number for number in self.rounds if number < self.round - 50]:
            del self.rounds[old]
        for voter in self.followers:
            self._feed(now_ms, voter)
        self._confirm(now_ms)
        self._wake()

    def _feed(self, now_ms: float, voter: str) -> None:
        held = self.followers[voter]
        held.sent_ms = now_ms
        before = held.next - 1
        term = self.term_at(before)
        if term < 0:
            self._say(Install(self.id, voter, self.term, self.snapshot, self.round))
            return
        entries = self.after(before)
        self._say(Append(self.id, voter, self.term, before, term, entries, self.committed, self.round))
        held.next = before + len(entries) + 1  # taken for sent; an answer that says otherwise sets it back

    def _appends(self, now_ms: float, told: Append) -> None:
        self.heard_ms = now_ms
        self._wait(now_ms)
        if told.before_index < self.snapshot.index:
            # Covered by what is committed here: what is behind it fits.
            entries = [entry for entry in told.entries if entry.index > self.snapshot.index]
            before = self.snapshot.index
            if told.before_index + len(told.entries) < before:
                self._say(Appended(self.id, told.source, self.term, True, before, told.round), durable=True)
                return
        else:
            entries, before = list(told.entries), told.before_index
            if self.term_at(before) != told.before_term:
                hint = min(before, self.last_index + 1) - 1
                while hint > self.committed and self.term_at(hint) > told.before_term:
                    hint -= 1
                self._say(Appended(self.id, told.source, self.term, False, hint, told.round))
                return
        fresh = [entry for entry in entries if self.term_at(entry.index) != entry.term]
        if fresh:
            keep = fresh[0].index - 1
            self.tally.must(keep >= self.committed, "what is committed is not replaced")
            del self.entries[keep - self.snapshot.index :]
            self.entries += entries[entries.index(fresh[0]) :]
            self._save(after=keep, entries=tuple(self.entries[keep - self.snapshot.index :]))
        last = before + len(entries)
        self._commit(min(told.committed, last))
        self._say(Appended(self.id, told.source, self.term, True, last, told.round), durable=True)

    def _appended(self, now_ms: float, told: Appended) -> None:
        held = self.followers.get(told.source)
        if held is None or self.role is not Role.LEADER:
            return
        held.heard_ms = now_ms
        held.round = max(held.round, told.round)
        if told.held:
            held.match = max(held.match, told.index)
            held.next = max(held.next, held.match + 1)
            self._advance(now_ms)
            if held.next <= self.last_index and held.match == held.next - 1:
                self._feed(now_ms, told.source)
            if self.heir == told.source and held.match == self.last_index:
                self._say(Succeed(self.id, self.heir, self.term))
        else:
            held.next = max(held.match, min(told.index, held.next - 1)) + 1
            self._feed(now_ms, told.source)
        self._confirm(now_ms)

    def _installs(self, now_ms: float, told: Install) -> None:
        self.heard_ms = now_ms
        self._wait(now_ms)
        new = told.snapshot
        if new.index > self.committed:
            fits = self.term_at(new.index) == new.term
            self.entries = self.entries[new.index - self.snapshot.index :] if fits else []
            self.snapshot = new
            self.committed = self.applied = new.index
            self._save(after=self.last_index, snapshot=new, whole=not fits)
            self.commit(Entry(new.index, new.term, int(Kind.SNAPSHOT), new.data))
            self.tally.add("agreement.installed")
        index = max(new.index, self.committed)
        self._say(Appended(self.id, told.source, self.term, True, index, told.round), durable=True)

    def _advance(self, now_ms: float) -> None:
        """Commit what a majority holds on disk, if it is of our own term: older entries count only behind such."""
        voters = self.voters
        own = [self.durable_index] if self.id in voters else []
        marks = sorted(own + [held.match for voter, held in self.followers.items() if voter in voters])
        if not marks:
            return
        reached = marks[(len(voters) - 1) // 2] if len(marks) == len(voters) else 0
        if reached > self.committed and self.term_at(reached) == self.term:
            self._commit(reached)
            self.beat_due_ms = min(self.beat_due_ms, now_ms)  # followers learn of it at once
            self._wake()
            if self.id not in voters:
                self._follow(now_ms, self.term)  # we took ourselves out

    def _commit(self, index: int) -> None:
        self.committed = max(self.committed, index)
        while self.applied < self.committed:
            self.applied += 1
            self.commit(self.entries[self.applied - self.snapshot.index - 1])

    def compact(self, data: bytes) -> None:
        """All that is committed so far amounts to `data`: a snapshot takes the place of those entries."""
        index = self.applied
        if index == self.snapshot.index:
            return
        voters = self.snapshot.voters
        for entry in self.entries[: index - self.snapshot.index]:
            if entry.kind == Kind.VOTERS:
                voters = msgspec.msgpack.decode(entry.data, type=list[str])
        snapshot = Snapshot(index, self.term_at(index), voters, data)
        self.entries = self.entries[index - self.snapshot.index :]
        self.snapshot = snapshot
        self._save(after=self.last_index, snapshot=snapshot)

    # What operators ask.

    def confirmed(self, now_ms: float) -> tuple[int, float] | None:
        """(index, age): so long ago nothing behind this index was committed anywhere; None where we can't tell.

        A leader's answer: a majority has answered a round begun then, so no other could have been elected before.
        It holds of rounds begun when an entry of its own term was committed: before that, it may not know what is.
        """
        if self.role is not Role.LEADER or self.confirmed_index < self.own_index:
            return None
        return self.confirmed_index, now_ms - self.confirmed_ms

    def _confirm(self, now_ms: float) -> None:
        """The latest round that a majority has answered: what was committed when it began is the newest as of then."""
        voters = self.voters
        answered = sorted(
            ([self.round] if self.id in voters else [])
            + [held.round for voter, held in self.followers.items() if voter in voters]
        )
        if len(answered) < len(voters):
            return
        number = answered[(len(voters) - 1) // 2]
        if number in self.rounds:
            self.confirmed_ms, self.confirmed_index = self.rounds[number]

    def change_voters(self, now_ms: float, voters: list[str]) -> int:
        """Put one voter more, or one less, in the log; its index. Raises RaftError: one at a time, each committed."""
        self._must_lead()
        if len(set(voters) ^ set(self.voters)) != 1 or len(set(voters)) != len(voters):
            raise RaftError("voters change one at a time")
        pending = any(entry.kind == Kind.VOTERS and entry.index > self.committed for entry in self.entries)
        if pending or self.committed < self.own_index:
            # Guards against two changes that overlap: their majorities might not (Ongaro's correction of 2015).
            raise RaftError("a change of voters, or the first entry of this term, is not committed yet")
        index = self._put(Kind.VOTERS, msgspec.msgpack.encode(voters))
        for voter in voters:
            if voter != self.id and voter not in self.followers:
                self.followers[voter] = Follower(self.last_index + 1, now_ms)
        for voter in set(self.followers) - set(voters):
            del self.followers[voter]
        self._lead_on(now_ms)
        self._advance(now_ms)
        return index

    def settled(self) -> bool:
        """Whether no change of the voters is on its way."""
        return all(entry.kind != Kind.VOTERS or entry.index <= self.committed for entry in self.entries)

    def transfer(self, now_ms: float, to: str) -> None:
        """Hand the lead over, once `to` holds all we do. Raises RaftError."""
        self._must_lead()
        if to not in self.followers:
            raise RaftError("only another voter can lead")
        self.heir, self.heir_ms = to, now_ms
        if self.followers[to].match == self.last_index:
            self._say(Succeed(self.id, to, self.term))
        else:
            self._feed(now_ms, to)

    # What arrives.

    def received(self, now_ms: float, message: Any) -> None:
        """Take a message of another voter, or of this one to itself."""
        if message.target != self.id:
            return
        match message:
            case AskVote():
                self._asked(now_ms, message)
            case Vote():
                if message.term > self.term and not message.pre:
                    self._follow(now_ms, message.term)
                self._counted(now_ms, message)
            case _:
                if message.term > self.term or (
                    message.term == self.term and isinstance(message, Append | Install)
                ):
                    leader = message.source if isinstance(message, Append | Install) else ""
                    self._follow(now_ms, message.term, leader)
                if message.term < self.term:
                    if isinstance(message, Append | Install):
                        # It leads no more, and has to hear of it.
                        self._say(Appended(self.id, message.source, self.term, False, 0, 0))
                elif isinstance(message, Append):
                    self._appends(now_ms, message)
                elif isinstance(message, Install):
                    self._installs(now_ms, message)
                elif isinstance(message, Appended):
                    self._appended(now_ms, message)
                elif message.term == self.term:
                    self._stand(now_ms, pre=False, forced=True)
        self._wake()
