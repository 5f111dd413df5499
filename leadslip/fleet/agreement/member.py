"""One proxy's part in the agreement: a voter or a learner, and what of the agreed may be acted on now. No I/O.

Driven by `received`, `vouched_by`, `seen` (the view has changed), `saved`, `due` and the operators' acts; it gives
messages in `out`, saves in `saves` and a time to be woken at. Voters hold the log (raft.py) and what it amounts to
(documents.py). All others learn: who hears in an answer that a newer revision is vouched for asks its teller for the
list of hashes, and then for the bodies that it lacks, a piece at a time, from whoever has them; what has come so far is
kept when the teller goes. A body is taken by its hash alone.

Copies that differ: an answer tells a mark of the contents of its revision. A learner whose own copy has another mark
asks a voter; if the voter's differs too, its copy is quarantined (dropped, counted, told by name) and fetched anew, and
else it was the teller's that is wrong. A voter that differs from its leader stops by name.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

import msgspec

from leadslip.checks import Tally
from leadslip.errors import OperatorError
from leadslip.fleet.agreement import raft as log
from leadslip.fleet.agreement.documents import (
    Classes,
    Documents,
    Isolated,
    Outcome,
    Proposal,
    RefusedError,
    Strict,
    hash_of,
    read,
)
from leadslip.fleet.agreement.raft import Entry, Kept, Kind, Pace, Raft, RaftError, Role, Save, Snapshot
from leadslip.fleet.agreement.vouch import Vouched
from leadslip.fleet.view.members import Change, Member, process_of
from leadslip.fleet.view.view import View

PIECE = 32 * 1024  # bytes of a body in one message
ASK_AGAIN_MS = 400.0  # an unanswered question is put again after so long
COMPACT_EVERY = 200  # entries behind the snapshot from which on there is a new one
MOST_ASKED = 256  # changes that others have proposed here and that are not settled yet
CONFIRM_MS = 100.0  # between two looks whether we still lead


class StoppedError(OperatorError):
    """This voter has stopped, as its disk or its log can't be trusted."""

    code, status = "agreement.voter-stopped", 503
    action = (
        "Take the voter out of the list, remove its file, restart the proxy and put its new id in the list."
    )


class NoAgreementError(OperatorError):
    """A change was not settled within the time that was waited for it; it may still be."""

    code, status = "agreement.no-answer", 503
    action = (
        "Send the same change with the same id again; see that a majority of the voters runs and is reached."
    )


class ConflictError(OperatorError):
    """A document has changed since the revision that a change names."""

    code, status = "agreement.conflict", 409
    action = "Read the settings anew, make the change to them, and send it with their revision and a new id."


class Found(msgspec.Struct, array_like=True, frozen=True, tag=30):
    """The first list of voters, by the ids on their blank disks."""

    voters: list[str]


class Propose(msgspec.Struct, array_like=True, frozen=True, tag=31):
    """A change, or a list of voters, to be settled by the leader; it may come again under the same id."""

    id: str
    change: Proposal | None
    voters: list[str] = []


class Proposed(msgspec.Struct, array_like=True, frozen=True, tag=32):
    """What became of it: settled with an outcome, refused by a rule, or `leader` is to be asked."""

    id: str
    revision: int = -1
    conflict: str = ""
    refused: str = ""
    leader: str = ""


class AskList(msgspec.Struct, array_like=True, frozen=True, tag=33):
    """What do you hold, if it is of this revision or newer?"""

    revision: int


class Listed(msgspec.Struct, array_like=True, frozen=True, tag=34):
    """A revision and the hash of each of its documents."""

    revision: int
    hashes: dict[str, str]


class AskPiece(msgspec.Struct, array_like=True, frozen=True, tag=35):
    """Of the body with this hash, from this byte on."""

    hash: str
    at: int


class Piece(msgspec.Struct, array_like=True, frozen=True, tag=36):
    """A piece of a body; `whole` tells how long the body is (0: it is not held here)."""

    hash: str
    at: int
    whole: int
    data: bytes


Said = log.Any | Found | Propose | Proposed | AskList | Listed | AskPiece | Piece
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Said)
RAFT = (log.AskVote, log.Vote, log.Append, log.Appended, log.Install, log.Succeed)


@dataclass(frozen=True, slots=True)
class Rules:
    """What a proxy acts on: agreed documents read, or the isolated rules in their place."""

    revision: int
    agreed: bool
    mark: int
    documents: Mapping[str, Strict]

    @classmethod
    def of(cls, held: Held) -> Rules | None:
        """The rules of a revision; None where this version can't read one of its documents."""
        try:
            return cls(
                held.revision, True, held.mark, {name: read(name, body) for name, body in held.bodies.items()}
            )
        except RefusedError:
            return None

    @classmethod
    def alone(cls, isolated: Isolated, revision: int = 0, mark: int = 0) -> Rules:
        """The isolated rules, as of a revision."""
        documents = {"bars": isolated.bars, "held": isolated.held, "reserve": isolated.reserve}
        return cls(revision, False, mark, documents | {"isolated": isolated})

    @property
    def most_tries(self) -> int | None:
        """Attempts that a call may have; None: as in the proxy's own file."""
        if not self.agreed:
            return self.documents["isolated"].most_tries
        classes = self.documents.get("classes")
        return classes.most_tries if isinstance(classes, Classes) else None


@dataclass(frozen=True, slots=True)
class Held:
    """A revision's documents, whole."""

    revision: int
    bodies: Mapping[str, bytes]
    mark: int

    @classmethod
    def of(cls, revision: int, bodies: Mapping[str, bytes]) -> Held:
        return cls(revision, dict(bodies), mark_of(revision, {n: hash_of(b) for n, b in bodies.items()}))


def mark_of(revision: int, hashes: Mapping[str, str]) -> int:
    """32 bits of a revision's contents."""
    told = f"{revision} {sorted(hashes.items())}"
    return int.from_bytes(blake2b(told.encode(), digest_size=4, person=b"leadslip-mark").digest())


@dataclass(slots=True)
class Fetch:
    """A revision on its way here: its hashes, and what has come of the bodies that we lack."""

    run: int  # of who is asked
    asked_ms: float
    want: int  # the least revision
    listed: Listed | None = None
    parts: dict[str, bytearray] = field(default_factory=dict)  # hash -> what has come


@dataclass(slots=True)
class Act:
    """A change of an operator here, on its way to whoever leads."""

    propose: Propose
    until_ms: float
    done: Callable[[Outcome | OperatorError], None]
    asked_ms: float = -float("inf")
    leader: str = ""  # as the voter that answered last told
    told_ms: float = -float("inf")  # when the leader itself was asked last


NONE = Held(0, {}, mark_of(0, {}))


class Agreement:
    """One proxy's part."""

    def __init__(
        self,
        view: View,
        voters: tuple[str, ...],
        in_force_ms: float,
        isolated: Isolated,
        draw: Random,
        tally: Tally,
        tell: Callable[..., None],
        pace: Pace = Pace(),  # noqa: B008
    ) -> None:
        self.view, self.names, self.isolated, self.draw, self.tally, self.tell = (
            view,
            voters,
            isolated,
            draw,
            tally,
            tell,
        )
        self.pace = pace
        self.out: list[tuple[int, bytes]] = []
        self.saves: list[Save] = []
        self.wake_ms = float("inf")
        self.vouched = Vouched(in_force_ms)
        self.held, self.next = NONE, NONE  # acted on, and the newest that is here whole
        self.rules: Rules | None = Rules.of(NONE)
        self.alone = Rules.alone(isolated)
        self.fetch: Fetch | None = None
        self.acts: dict[str, Act] = {}
        # Of a voter alone:
        self.id, self.starts, self.blank, self.stopped = "", 0, True, ""
        self.kept: Kept | None = None
        self.raft: Raft | None = None
        self.documents = Documents()
        self.revision_at: list[tuple[int, int]] = [(0, 0)]  # an entry's index -> the revision as of it
        self.told_ms = -float("inf")  # when those in the first list were told of it
        self.asked: dict[str, int] = {}  # changes proposed here by others -> their run
        view.vouch, view.vouched_by = self.vouch, self.vouched_by
        view.listeners.append(self.seen)

    # The life of it.

    def votes_with(self, id_: str, starts: int, kept: Kept) -> None:
        """This proxy has a voter's disk."""
        self.id, self.starts, self.kept = id_, starts, kept
        self.blank = not kept.snapshot.voters

    def facts(self) -> dict[str, str | int]:
        """What other members have to know of this voter."""
        if not self.id:
            return {}
        return {"voter": self.id, "starts": self.starts, "blank": int(self.blank)}

    def due(self, now_ms: float) -> None:
        """Do what is due; to be called at wake_ms, and no harm if sooner or later."""
        self._vote(now_ms)
        if self.raft is not None:
            self.raft.due(now_ms)
            self._led(now_ms)
        self._drive(now_ms)

    def _vote(self, now_ms: float) -> None:
        """Begin to vote, once it is known who has been here before and, at the first time, who votes."""
        if (
            self.raft is not None
            or self.kept is None
            or self.stopped
            or not (self.view.joined or len(self.names) == 1)
        ):
            return
        if self._old_copy():
            self._stop("its disk is an older copy of itself")
            return
        if self.blank:
            self._found()
        if not self.blank:
            self._begin(now_ms)

    def _begin(self, now_ms: float) -> None:
        kept = self.kept
        self.documents = Documents.load(kept.snapshot.data)
        self.revision_at = [(kept.snapshot.index, self.documents.revision)]
        self.raft = Raft(self.id, kept, self.draw, self.tally, self._committed, self.pace)
        self.raft.start(now_ms)
        if self.documents.revision > self.next.revision:
            self.next = Held.of(self.documents.revision, self.documents.bodies)

    def _voters_there(self) -> dict[str, Member]:
        """Members that live and tell a voter's id, by it."""
        return {str(one.facts["voter"]): one for one in self.view.members() if "voter" in one.facts}

    def _old_copy(self) -> bool:
        """Whether a process before us had this voter's disk at a later start than ours."""
        mine = process_of(self.view.run)
        return any(
            one.facts.get("voter") == self.id
            and process_of(one.run) != mine
            and int(one.facts.get("starts", 0)) >= self.starts
            for one in self.view.table
        )

    def _found(self) -> None:
        """The first named founds the list, once all named are there and blank; the others take it from it alone.

        Guards against two first lists: only one process may make one, and only for those who hold none.
        """
        if self.view.me.name != self.names[0]:
            return
        there = {one.name: one for one in self._voters_there().values() if one.facts.get("blank")}
        if not all(name in there for name in self.names):
            return
        self._founded(sorted(str(there[name].facts["voter"]) for name in self.names))

    def _founded(self, voters: list[str]) -> None:
        snapshot = Snapshot(0, 0, voters, b"")
        self.kept = Kept(0, "", snapshot, [])
        self.blank = False
        self.saves.append(Save(0, 0, "", snapshot=snapshot))
        self.tally.add("agreement.founded")

    def _found_others(self, now_ms: float) -> None:
        """Tell the first list to those in it who are blank still."""
        raft = self.raft
        if raft is None or raft.snapshot.index or self.view.me.name != self.names[0]:
            return
        there = self._voters_there()
        blank = [id_ for id_ in raft.snapshot.voters if id_ in there and there[id_].facts.get("blank")]
        if blank and now_ms - self.told_ms > CONFIRM_MS:
            self.told_ms = now_ms
            for id_ in blank:
                if id_ != self.id:
                    self._say(there[id_].run, Found(raft.snapshot.voters))

    def _stop(self, why: str) -> None:
        self.stopped, self.raft = why, None
        self.tally.add("agreement.stopped")
        fault = StoppedError(f"voter {self.id} has stopped: {why}")
        self.tell("agreement.stopped", level="error", **fault.fields())

    def failed(self, why: str) -> None:
        """A save did not reach the disk."""
        if not self.stopped:
            self._stop(why)

    def saved(self, now_ms: float, number: int) -> None:
        """All saves up to this one are on disk."""
        if self.raft is not None and number:
            self.raft.saved(now_ms, number)
            self._led(now_ms)
        self._drive(now_ms)

    def seen(self, change: Change) -> None:
        """The view has changed: there may be voters to begin with, or one that was here before us."""
        about = self.raft is not None and change.now is not None and change.now.facts.get("voter") == self.id
        if about and self._old_copy():
            self._stop("another process has its disk, at a later start")
        self.wake_ms = min(self.wake_ms, 0.0)

    # What arrives.

    def received(self, now_ms: float, run: int, body: bytes) -> None:
        """A member's message."""
        try:
            told = _decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            self.tally.add("agreement.unknown")
            return
        match told:
            case Found():
                if self.blank and self.id in told.voters and self.raft is None and not self.stopped:
                    self._founded(told.voters)
                    self._vote(now_ms)
            case Propose():
                self._proposed(now_ms, run, told)
            case Proposed():
                self._answered(now_ms, told)
            case AskList():
                if self.next.revision >= told.revision:
                    hashes = {name: hash_of(one) for name, one in self.next.bodies.items()}
                    self._say(run, Listed(self.next.revision, hashes))
            case Listed():
                self._listed(now_ms, run, told)
            case AskPiece():
                held = next((one for one in self.next.bodies.values() if hash_of(one) == told.hash), b"")
                self._say(run, Piece(told.hash, told.at, len(held), held[told.at : told.at + PIECE]))
            case Piece():
                self._piece(now_ms, run, told)
            case _:
                fits = self._is_voter(run, told.source) and not self.stopped
                leads = isinstance(told, log.Append | log.Install) and told.target == self.id
                if fits and leads and self.raft is None and self.blank:
                    # A leader that has us in its list: who votes stands in the log.
                    self._founded([])
                    self._begin(now_ms)
                if fits and self.raft is not None:
                    self.raft.received(now_ms, told)
                    self._led(now_ms)
        self._drive(now_ms)

    def _is_voter(self, run: int, id_: str) -> bool:
        held = self.view.table.get(run)
        return held is not None and held.facts.get("voter") == id_

    def _say(self, run: int, message: object) -> None:
        self.out.append((run, _encoder.encode(message)))

    # The log of a voter.

    def _committed(self, entry: Entry) -> None:
        if entry.kind == Kind.SNAPSHOT:
            self.documents = Documents.load(entry.data)
        elif entry.kind == Kind.CHANGE:
            proposal = msgspec.msgpack.decode(entry.data, type=Proposal)
            self._settled(proposal.id, self.documents.apply(proposal))
        self.revision_at.append((entry.index, self.documents.revision))
        del self.revision_at[:-64]
        if self.documents.revision > self.next.revision:
            self.next = Held.of(self.documents.revision, self.documents.bodies)

    def _settled(self, id_: str, outcome: Outcome) -> None:
        run = self.asked.pop(id_, 0)
        told = Proposed(id_, outcome.revision, outcome.conflict)
        if run == self.view.run or (not run and id_ in self.acts):
            self._answered(-float("inf"), told)
        elif run:
            self._say(run, told)

    def _led(self, now_ms: float) -> None:
        """After each step of the log: what we lead is confirmed, messages find their voters, the log is kept short."""
        raft = self.raft
        if raft is None:
            return
        if raft.role is not Role.LEADER:
            self.asked.clear()  # their askers ask again
        confirmed = raft.confirmed(now_ms)
        if confirmed is not None:
            index, age_ms = confirmed
            revision = next((held for at, held in reversed(self.revision_at) if at <= index), None)
            if revision is not None and age_ms < self.vouched.most_ms:
                self.vouched.heard(now_ms, revision, age_ms)
        there = self._voters_there()
        out, raft.out = raft.out, []
        for message in out:
            to = there.get(message.target)
            if to is not None:
                self._say(to.run, message)
        self.saves += raft.saves
        raft.saves = []
        if raft.applied - raft.snapshot.index > COMPACT_EVERY:
            raft.compact(self.documents.dump())
            self.saves += raft.saves
            raft.saves = []

    # What is vouched for.

    def vouch(self, now_ms: float) -> list[int]:
        """What an answer of ours vouches for: the newest revision known to us, its age, and a mark if we hold it."""
        if self.raft is not None and self.raft.role is Role.LEADER:
            self._led(now_ms)
        told = self.vouched.told(now_ms)
        if told is None or told[1] > self.vouched.most_ms:
            return []
        revision, age_ms = told
        return [revision, int(age_ms) + 1, self.next.mark if self.next.revision == revision else 0]

    def vouched_by(self, run: int, sent_ms: float, told: list[int]) -> None:
        """A member answers our ping of then with what it vouches for."""
        if len(told) < 3:
            return
        revision, age_ms, mark = told[:3]
        self.vouched.heard(sent_ms, revision, float(age_ms))
        if revision == self.next.revision and mark and mark != self.next.mark:
            self._differs(run, revision)
        elif revision > self.next.revision and self.raft is None and self.fetch is None and mark:
            self.fetch = Fetch(run, -float("inf"), revision)
        self.wake_ms = min(self.wake_ms, sent_ms)

    def _differs(self, run: int, revision: int) -> None:
        """Another copy of one revision has other contents: one of the two is wrong, and a voter tells which."""
        self.tally.add("agreement.differs")
        teller = self.view.table.get(run)
        if self.raft is not None:
            if teller is not None and teller.facts.get("voter") == self.raft.leader:
                self._stop(f"its revision {revision} differs from the leader's")
            return
        if self.fetch is None:
            voters = [one.run for one in self._voters_there().values()]
            self.fetch = Fetch(
                run if run in voters else self.draw.choice(voters or [run]), -float("inf"), revision
            )

    # Learning.

    def _listed(self, now_ms: float, run: int, told: Listed) -> None:
        fetch = self.fetch
        if fetch is None or fetch.run != run or told.revision < self.next.revision:
            return
        if told.revision == self.next.revision:
            self.fetch = None
            if mark_of(told.revision, told.hashes) == self.next.mark:
                return  # ours is the voters'
            self._quarantine(told)
        fetch.listed = told
        self.fetch = fetch
        fetch.asked_ms = -float("inf")

    def _quarantine(self, told: Listed) -> None:
        """Our copy is the wrong one: dropped by name, and fetched anew."""
        own = {name: hash_of(body) for name, body in self.next.bodies.items()}
        wrong = sorted(
            name for name in own.keys() | told.hashes.keys() if own.get(name) != told.hashes.get(name)
        )
        self.tally.add("agreement.quarantined")
        self.tell(
            "agreement.quarantined", level="error", revision=self.next.revision, documents=",".join(wrong)
        )
        self.held = self.next = NONE
        self.rules = None
        self.vouched.revision, self.vouched.as_of_ms = 0, -float("inf")

    def _piece(self, now_ms: float, run: int, told: Piece) -> None:
        fetch = self.fetch
        if fetch is None or fetch.listed is None or told.hash not in fetch.listed.hashes.values():
            return
        part = fetch.parts.setdefault(told.hash, bytearray())
        if not told.whole:
            # Not there: perhaps the revision has been outrun. Another is asked what there is; what has come stays.
            fetch.asked_ms, fetch.run, fetch.listed = -float("inf"), 0, None
        elif told.at == len(part):
            part += told.data
            fetch.asked_ms = -float("inf")
            if len(part) >= told.whole and hash_of(bytes(part)) != told.hash:
                self.tally.add("agreement.spoilt")
                del fetch.parts[told.hash]
                fetch.run = 0

    def _learn(self, now_ms: float) -> float:
        """Ask for what is missing of a revision on its way; when to look again."""
        fetch = self.fetch
        if fetch is None:
            return float("inf")
        if fetch.listed is not None:
            own = {hash_of(body): body for body in self.next.bodies.values()}
            here = own | {
                key: bytes(part) for key, part in fetch.parts.items() if hash_of(bytes(part)) == key
            }
            lacking = [key for key in fetch.listed.hashes.values() if key not in here]
            if not lacking:
                bodies = {name: here[key] for name, key in fetch.listed.hashes.items()}
                self.fetch = None
                self.next = Held.of(fetch.listed.revision, bodies)
                return float("inf")
        if now_ms < fetch.asked_ms + ASK_AGAIN_MS:
            return fetch.asked_ms + ASK_AGAIN_MS
        held = self.view.table.get(fetch.run) if fetch.run else None
        unanswered = fetch.asked_ms > -float("inf")
        if held is None or not held.live or unanswered:  # another may have it; what has come stays
            others = [
                one.run for one in self.view.members() if process_of(one.run) != process_of(self.view.run)
            ]
            if not others:
                return now_ms + ASK_AGAIN_MS
            fetch.run = self.draw.choice(others)
        fetch.asked_ms = now_ms
        if fetch.listed is None:
            self._say(fetch.run, AskList(fetch.want))
        else:
            self._say(fetch.run, AskPiece(lacking[0], len(fetch.parts.get(lacking[0], b""))))
        return now_ms + ASK_AGAIN_MS

    # In force.

    def _adopt(self, now_ms: float) -> None:
        """Act on the newest that is here, once it is vouched for, or once what is acted on no longer is."""
        if self.next is self.held:
            return
        if self.vouched.newest == self.next.revision or not self.vouched.good(now_ms):
            self.held = self.next
            self.vouched.hold(self.held.revision)
            self.rules = Rules.of(self.held)
            isolated = self.rules.documents.get("isolated") if self.rules is not None else None
            kept = isolated if isinstance(isolated, Isolated) else self.isolated
            self.alone = Rules.alone(kept, self.held.revision, self.held.mark)
            if self.rules is None:
                self.tally.add("agreement.unread")

    def in_force(self, now_ms: float) -> Rules:
        """What may be acted on at this moment: the agreed rules, or the isolated ones."""
        if self.rules is not None and self.vouched.good(now_ms):
            return self.rules
        return self.alone

    # Operators' changes.

    def propose(
        self, now_ms: float, propose: Propose, wait_ms: float, done: Callable[[Outcome | OperatorError], None]
    ) -> None:
        """Have a change settled, by whoever leads; `done` is told once. One that comes again joins the first."""
        self.acts[propose.id] = Act(propose, now_ms + wait_ms, done)
        self._drive(now_ms)

    def _proposed(self, now_ms: float, run: int, told: Propose) -> None:
        """A member brings a change."""
        raft = self.raft
        if told.change is not None and told.id in self.documents.ids and raft is not None:
            known = self.documents.ids[told.id]
            self._reply(run, Proposed(told.id, known.revision, known.conflict))
            return
        if raft is None or raft.role is not Role.LEADER or len(self.asked) >= MOST_ASKED:
            self._reply(run, Proposed(told.id, leader=raft.leader if raft is not None else ""))
            return
        if told.id in self.asked:
            return  # on its way
        try:
            if told.change is None:
                if raft.voters != told.voters:
                    raft.change_voters(now_ms, told.voters)
                elif raft.settled():
                    self._reply(run, Proposed(told.id, self.documents.revision))
            else:
                self.documents.check(told.change)
                raft.propose(now_ms, msgspec.msgpack.encode(told.change))
                self.asked[told.id] = run
        except OperatorError as fault:
            leader = raft.leader if isinstance(fault, RaftError) else ""
            refused = "" if isinstance(fault, RaftError) and told.change is not None else str(fault)
            self._reply(run, Proposed(told.id, refused=refused, leader=leader))
        self._led(now_ms)

    def _reply(self, run: int, told: Proposed) -> None:
        if run == self.view.run:
            self._answered(-float("inf"), told)
        else:
            self._say(run, told)

    def _answered(self, now_ms: float, told: Proposed) -> None:
        act = self.acts.get(told.id)
        if act is None:
            return
        if told.refused:
            self._done(told.id, RefusedError(told.refused))
        elif told.revision >= 0:
            conflict = told.conflict
            self._done(
                told.id, ConflictError(conflict) if conflict else Outcome(told.revision, told.conflict)
            )
        elif told.leader:
            act.leader = told.leader
            if now_ms >= act.told_ms + ASK_AGAIN_MS:
                act.asked_ms = -float("inf")

    def _done(self, id_: str, outcome: Outcome | OperatorError) -> None:
        self.acts.pop(id_).done(outcome)

    def _bring(self, now_ms: float) -> float:
        """Bring what operators asked for here to whoever leads; when to look again."""
        again_ms = float("inf")
        for id_, act in list(self.acts.items()):
            if now_ms >= act.until_ms:
                self._done(id_, NoAgreementError("no majority of the voters has settled it in time"))
                continue
            if now_ms >= act.asked_ms + ASK_AGAIN_MS:
                unanswered = act.asked_ms == act.told_ms > -float("inf")
                act.asked_ms = now_ms
                there = self._voters_there()
                raft = self.raft
                leader = self.id if raft is not None and raft.role is Role.LEADER else ""
                leader = leader or (raft.leader if raft is not None else "") or act.leader
                if leader not in there or unanswered:
                    leader = self.draw.choice(sorted(there)) if there else ""
                else:
                    act.told_ms = now_ms
                if leader == self.id and leader:
                    self._proposed(now_ms, self.view.run, act.propose)
                elif leader:
                    self._say(there[leader].run, act.propose)
                if id_ not in self.acts:
                    continue
            again_ms = min(again_ms, act.asked_ms + ASK_AGAIN_MS, act.until_ms)
        return again_ms

    def _drive(self, now_ms: float) -> None:
        """After each step: what follows from it, and when to be woken."""
        self._vote(now_ms)
        again_ms = min(self._learn(now_ms), self._bring(now_ms))
        self._adopt(now_ms)
        if self.raft is not None:
            self._led(now_ms)
            self._found_others(now_ms)
            again_ms = min(again_ms, self.raft.wake_ms)
        elif self.kept is not None and not self.stopped:
            again_ms = min(again_ms, now_ms + CONFIRM_MS)
        self.wake_ms = again_ms

    def told(self, now_ms: float) -> dict:
        """How things stand, for operators."""
        rules = self.in_force(now_ms)
        newest = self.vouched.told(now_ms)
        raft = self.raft
        return {
            "revision": self.held.revision,
            "in_force": "agreed" if rules.agreed else "isolated",
            "mark": f"{self.held.mark:08x}",
            "newest": None if newest is None else {"revision": newest[0], "age_ms": round(newest[1])},
            "fetching": self.fetch is not None,
            "voter": None
            if not self.id
            else {
                "id": self.id,
                "starts": self.starts,
                "stopped": self.stopped,
                "founded": not self.blank,
                "role": raft.role.name.lower() if raft is not None else "",
                "term": raft.term if raft is not None else 0,
                "leader": raft.leader if raft is not None else "",
                "voters": raft.voters if raft is not None else [],
                "committed": raft.committed if raft is not None else 0,
            },
        }
