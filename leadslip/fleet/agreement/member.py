"""One proxy's member of the agreement, a Raft voter or a learner: receives revisions and selects the rules to apply.

Performs no I/O. Driven by `on_message`, `on_freshness_report`, `on_view_change`, `saved`, `on_timer` and operators'
requests; it leaves messages in `outbox`, saves in `saves` and the time of the next call of `on_timer` in `wake_ms`.
Voters replicate the log (raft.py) and apply it to the documents (documents.py). All other members are learners: they
get revisions from other members. Members report the newest revision that they know of in their answers to pings
(freshness.py). A learner that receives a report of a newer revision than its own asks the reporting member for the
hashes of its documents, and then for the bodies that it lacks, one chunk at a time, from any member that has them.
Chunks already received are retained if that member leaves or dies. A body is accepted if its hash matches, whichever
member sent it.

A report also contains a checksum of the revision's contents, by which replicas that diverge are detected. A learner
whose own checksum differs asks a voter for its hashes. If its replica differs from the voter's too, the replica is
quarantined (dropped, counted and logged) and fetched anew; otherwise the reporting member has the wrong one. A voter
that diverges from its leader stops with an error.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

import msgspec

from leadslip.errors import OperatorError
from leadslip.fleet.agreement import raft as raft_messages
from leadslip.fleet.agreement.documents import (
    ChangeResult,
    Classes,
    Document,
    Documents,
    FallbackRules,
    Proposal,
    RefusedError,
    hash_of,
    parse_document,
)
from leadslip.fleet.agreement.freshness import Freshness
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
from leadslip.fleet.view.members import Change, Member, process_of
from leadslip.fleet.view.view import View
from leadslip.metrics import Metrics

CHUNK_BYTES = 32 * 1024  # maximum part of a body in one message
RETRY_MS = 400.0  # between two sends of an unanswered request
COMPACT_AFTER_ENTRIES = 200  # the log is compacted when it has more applied entries than this
MAX_UNCOMMITTED_PROPOSALS = 256  # changes that a leader has accepted and that are not committed yet
BOOTSTRAP_INTERVAL_MS = 100.0  # between two bootstrap attempts, and two sends of the first list of voters


class StoppedError(OperatorError):
    """This voter has stopped because its disk or its log can't be trusted."""

    code, status = "agreement.voter-stopped", 503
    action = (
        "Remove the voter from the list of voters, delete its file, restart the proxy, "
        "and add its new id to the list."
    )


class NoAgreementError(OperatorError):
    """A change was not resolved before the time-out; it may still be committed."""

    code, status = "agreement.no-answer", 503
    action = (
        "Send the same change again with the same id; "
        "check that a majority of the voters is running and reachable."
    )


class ConflictError(OperatorError):
    """A document has changed since the revision that the change is based on."""

    code, status = "agreement.conflict", 409
    action = (
        "Read the settings again, reapply the change to them, and send it with their revision and a new id."
    )


class Bootstrap(msgspec.Struct, array_like=True, frozen=True, tag=30):
    """The first list of voters, sent to those of them whose disks are still empty."""

    voters: list[str]  # ids


class Propose(msgspec.Struct, array_like=True, frozen=True, tag=31):
    """A change of documents, or a new list of voters, for the leader to commit.

    It is sent again under the same id until it is answered.
    """

    id: str
    change: Proposal | None  # None: a list of voters is proposed
    voters: list[str] = []  # ids


class ProposeReply(msgspec.Struct, array_like=True, frozen=True, tag=32):
    """Reply to Propose: its result, why it is refused, or which voter is the leader."""

    id: str
    revision: int = -1  # as in ChangeResult; -1: the proposal has no result yet
    conflict: str = ""  # as in ChangeResult
    refused: str = ""  # the error, if the proposal breaks a rule
    leader: str = ""  # id of the leader, if it is known and should be asked instead


class HashesRequest(msgspec.Struct, array_like=True, frozen=True, tag=33):
    """Asks for the document hashes of the newest revision; answered only by a member with this revision or a newer."""

    revision: int


class RevisionHashes(msgspec.Struct, array_like=True, frozen=True, tag=34):
    """Reply to HashesRequest: the newest complete revision and the hashes of its documents by name."""

    revision: int
    hashes: dict[str, str]


class ChunkRequest(msgspec.Struct, array_like=True, frozen=True, tag=35):
    """Asks for the chunk of the body with this hash that begins at this byte."""

    hash: str
    offset: int


class Chunk(msgspec.Struct, array_like=True, frozen=True, tag=36):
    """Reply to ChunkRequest; `size` is the length of the complete body (0: the sender does not have it)."""

    hash: str
    offset: int
    size: int
    data: bytes


Message = (
    raft_messages.AnyMessage
    | Bootstrap
    | Propose
    | ProposeReply
    | HashesRequest
    | RevisionHashes
    | ChunkRequest
    | Chunk
)
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)
RAFT_MESSAGES = (
    raft_messages.VoteRequest,
    raft_messages.VoteReply,
    raft_messages.AppendEntries,
    raft_messages.AppendReply,
    raft_messages.InstallSnapshot,
    raft_messages.TimeoutNow,
)


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules that a proxy applies: the parsed documents of a revision, or the fallback rules."""

    revision: int
    agreed: bool  # False: the fallback rules
    checksum: int  # of the revision's contents
    documents: Mapping[str, Document]

    @classmethod
    def parse(cls, contents: RevisionContents) -> Rules | None:
        """Returns the rules of a revision; None if this version of the program can't parse one of its documents."""
        try:
            return cls(
                contents.revision,
                True,
                contents.checksum,
                {name: parse_document(name, body) for name, body in contents.bodies.items()},
            )
        except RefusedError:
            return None

    @classmethod
    def fallback(cls, isolated: FallbackRules, revision: int = 0, checksum: int = 0) -> Rules:
        """Returns the fallback rules that a revision's document `isolated` defines."""
        documents = {"bars": isolated.bars, "held": isolated.held, "reserve": isolated.reserve}
        return cls(revision, False, checksum, documents | {"isolated": isolated})

    @property
    def max_attempts(self) -> int | None:
        """Maximum number of attempts per call; None: as in the proxy's own settings file."""
        if not self.agreed:
            return self.documents["isolated"].most_tries
        classes = self.documents.get("classes")
        return classes.most_tries if isinstance(classes, Classes) else None


@dataclass(frozen=True, slots=True)
class RevisionContents:
    """The complete documents of a revision, and their checksum."""

    revision: int
    bodies: Mapping[str, bytes]
    checksum: int

    @classmethod
    def from_bodies(cls, revision: int, bodies: Mapping[str, bytes]) -> RevisionContents:
        """Copies the bodies and computes their checksum."""
        return cls(
            revision,
            dict(bodies),
            contents_checksum(revision, {name: hash_of(body) for name, body in bodies.items()}),
        )


def contents_checksum(revision: int, hashes: Mapping[str, str]) -> int:
    """Returns a 32-bit checksum of a revision's number and the hashes of its documents."""
    text = f"{revision} {sorted(hashes.items())}"
    return int.from_bytes(blake2b(text.encode(), digest_size=4, person=b"leadslip-mark").digest())


@dataclass(slots=True)
class Fetch:
    """A revision being fetched: its document hashes, and the received parts of the missing bodies."""

    run: int  # of the member that is asked; 0: another one is to be chosen
    asked_ms: float  # when the unanswered request was sent; -inf: none is unanswered
    min_revision: int
    revision_hashes: RevisionHashes | None = None  # None: not received yet
    received: dict[str, bytearray] = field(default_factory=dict)  # hash -> bytes received so far


@dataclass(slots=True)
class PendingProposal:
    """A change that an operator has proposed at this member and that has no result yet."""

    request: Propose
    deadline_ms: float
    done: Callable[[ChangeResult | OperatorError], None]  # called with the result or an error
    asked_ms: float = -float("inf")  # when it was last sent to a voter; -inf: send it at once
    leader: str = ""  # id of the leader, as named by the voter that replied last
    leader_asked_ms: float = -float("inf")  # when it was last sent to the presumed leader


NO_REVISION = RevisionContents(0, {}, contents_checksum(0, {}))


class Agreement:
    """The agreement member of one proxy."""

    def __init__(
        self,
        view: View,
        voters: tuple[str, ...],
        in_force_ms: float,
        isolated: FallbackRules,
        rng: Random,
        metrics: Metrics,
        log_event: Callable[..., None],
        timing: Timing = Timing(),  # noqa: B008
    ) -> None:
        self.view, self.voter_names, self.isolated, self.rng, self.metrics, self.log_event = (
            view,
            voters,
            isolated,
            rng,
            metrics,
            log_event,
        )
        self.timing = timing
        self.outbox: list[tuple[int, bytes]] = []
        self.saves: list[Save] = []
        self.wake_ms = float("inf")
        self.freshness = Freshness(in_force_ms)
        # The revision that is applied here, and the newest that has been received completely:
        self.current, self.newest = NO_REVISION, NO_REVISION
        # The rules of `current`; None: it can't be parsed, or it was quarantined.
        self.rules: Rules | None = Rules.parse(NO_REVISION)
        self.fallback_rules = Rules.fallback(isolated)
        self.fetch: Fetch | None = None
        self.pending: dict[str, PendingProposal] = {}  # by change id
        # Used by voters only. Voter id, start counter, whether its disk is new, why it stopped:
        self.id, self.starts, self.blank, self.stop_reason = "", 0, True, ""
        self.persistent_state: PersistentState | None = None  # None: this member is no voter
        self.raft: Raft | None = None  # None: not voting (yet, or because it has stopped)
        self.documents = Documents()  # the state machine of the log; empty at learners
        # (index of an entry, revision after that entry), ascending:
        self.revisions_by_index: list[tuple[int, int]] = [(0, 0)]
        # When the first list of voters was last sent to the other voters:
        self.bootstrap_sent_ms = -float("inf")
        self.proposers: dict[str, int] = {}  # as leader: id of an uncommitted change -> run of its proposer
        view.freshness_report, view.on_freshness_report = self.freshness_report, self.on_freshness_report
        view.listeners.append(self.on_view_change)

    # Start, bootstrap and stop.

    def make_voter(self, id_: str, starts: int, persistent_state: PersistentState) -> None:
        """Makes this member a voter, with the id, start counter and state loaded from its disk."""
        self.id, self.starts, self.persistent_state = id_, starts, persistent_state
        self.blank = persistent_state.is_blank()

    def metadata(self) -> dict[str, str | int]:
        """Returns the metadata by which other members recognize this voter; empty at a learner."""
        if not self.id:
            return {}
        return {"voter": self.id, "starts": self.starts, "blank": int(self.blank)}

    def on_timer(self, now_ms: float) -> None:
        """Runs the expired timers; to be called at wake_ms, but calls at other times are harmless."""
        self._start_voting(now_ms)
        if self.raft is not None:
            self.raft.on_timer(now_ms)
            self._after_raft_step(now_ms)
        self._step(now_ms)

    def _start_voting(self, now_ms: float) -> None:
        """Starts Raft at a voter that has not stopped, once the first list of voters is known.

        Before that, the view must have been synced with another member: it shows whether another process has used this
        disk later, in which case the voter stops. A single voter has no other member to ask.
        """
        if (
            self.raft is not None
            or self.persistent_state is None
            or self.stop_reason
            or not (self.view.joined or len(self.voter_names) == 1)
        ):
            return
        if self._is_disk_outdated():
            self._stop("its disk is an older copy of the disk that it last voted with")
            return
        if self.blank:
            self._bootstrap()
        if not self.blank:
            self._start_raft(now_ms)

    def _start_raft(self, now_ms: float) -> None:
        """Starts Raft with the persistent state, and restores the documents from its snapshot."""
        persistent_state = self.persistent_state
        self.documents = Documents.load(persistent_state.snapshot.data)
        self.revisions_by_index = [(persistent_state.snapshot.index, self.documents.revision)]
        self.raft = Raft(self.id, persistent_state, self.rng, self.metrics, self._on_committed, self.timing)
        self.raft.start(now_ms)
        if self.documents.revision > self.newest.revision:
            self.newest = RevisionContents.from_bodies(self.documents.revision, self.documents.bodies)

    def _live_voters(self) -> dict[str, Member]:
        """Returns the live members that announce a voter id in their metadata, by that id."""
        return {
            str(member.metadata["voter"]): member
            for member in self.view.members()
            if "voter" in member.metadata
        }

    def _is_disk_outdated(self) -> bool:
        """Whether another process has announced this voter's id with a start counter that is not lower than ours.

        Then our disk is an older copy of that process's disk, or both use the same one and it started later.
        """
        own_process = process_of(self.view.run)
        return any(
            member.metadata.get("voter") == self.id
            and process_of(member.run) != own_process
            and int(member.metadata.get("starts", 0)) >= self.starts
            for member in self.view.table
        )

    def _bootstrap(self) -> None:
        """Creates the first list of voters once all voters named in the settings are live with empty disks.

        Two different first lists are prevented: only the voter that the settings name first creates one, and only while
        no named voter has a list yet.
        """
        if self.view.me.name != self.voter_names[0]:
            return
        blank_voters = {
            member.name: member for member in self._live_voters().values() if member.metadata.get("blank")
        }
        if not all(name in blank_voters for name in self.voter_names):
            return
        self._accept_voters(sorted(str(blank_voters[name].metadata["voter"]) for name in self.voter_names))

    def _accept_voters(self, voters: list[str]) -> None:
        """Initializes the persistent state of an empty disk with the first list of voters, and saves it.

        The list is empty if a leader has already sent part of the log, which then contains the voters.
        """
        snapshot = Snapshot(0, 0, voters, b"")
        self.persistent_state = PersistentState(0, "", snapshot, [])
        self.blank = False
        self.saves.append(Save(0, 0, "", snapshot=snapshot))
        self.metrics.add("agreement.founded")

    def _bootstrap_others(self, now_ms: float) -> None:
        """Sends the first list of voters to those of them whose disks are still empty."""
        raft = self.raft
        if raft is None or raft.snapshot.index or self.view.me.name != self.voter_names[0]:
            return
        live_voters = self._live_voters()
        blank = [
            id_
            for id_ in raft.snapshot.voters
            if id_ in live_voters and live_voters[id_].metadata.get("blank")
        ]
        if blank and now_ms - self.bootstrap_sent_ms > BOOTSTRAP_INTERVAL_MS:
            self.bootstrap_sent_ms = now_ms
            for id_ in blank:
                if id_ != self.id:
                    self._send(live_voters[id_].run, Bootstrap(raft.snapshot.voters))

    def _stop(self, reason: str) -> None:
        """Stops this voter for good; as a member it continues to apply the rules."""
        self.stop_reason, self.raft = reason, None
        self.metrics.add("agreement.stopped")
        error = StoppedError(f"voter {self.id} has stopped: {reason}")
        self.log_event("agreement.stopped", level="error", **error.fields())

    def on_save_failed(self, reason: str) -> None:
        """Stops the voter because a save could not be written."""
        if not self.stop_reason:
            self._stop(reason)

    def saved(self, now_ms: float, number: int) -> None:
        """Handles the report that all saves up to this number are on disk; number 0 saves the first list of voters."""
        if self.raft is not None and number:
            self.raft.saved(now_ms, number)
            self._after_raft_step(now_ms)
        self._step(now_ms)

    def on_view_change(self, change: Change) -> None:
        """Handles a change of the view: voters may have appeared, or another process that uses this voter's disk."""
        may_be_our_disk = (
            self.raft is not None
            and change.after is not None
            and change.after.metadata.get("voter") == self.id
        )
        if may_be_our_disk and self._is_disk_outdated():
            self._stop("another process that started later uses the same disk, or a copy of it")
        self.wake_ms = min(self.wake_ms, 0.0)

    # Messages.

    def on_message(self, now_ms: float, run: int, body: bytes) -> None:
        """Handles a message of another member; `run` identifies the sender."""
        try:
            message = _decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            self.metrics.add("agreement.unknown")
            return
        match message:
            case Bootstrap():
                if self.blank and self.id in message.voters and self.raft is None and not self.stop_reason:
                    self._accept_voters(message.voters)
                    self._start_voting(now_ms)
            case Propose():
                self._on_propose(now_ms, run, message)
            case ProposeReply():
                self._on_propose_reply(now_ms, message)
            case HashesRequest():
                if self.newest.revision >= message.revision:
                    hashes = {name: hash_of(document) for name, document in self.newest.bodies.items()}
                    self._send(run, RevisionHashes(self.newest.revision, hashes))
            case RevisionHashes():
                self._on_hashes(now_ms, run, message)
            case ChunkRequest():
                document_body = next(
                    (
                        document
                        for document in self.newest.bodies.values()
                        if hash_of(document) == message.hash
                    ),
                    b"",
                )
                self._send(
                    run,
                    Chunk(
                        message.hash,
                        message.offset,
                        len(document_body),
                        document_body[message.offset : message.offset + CHUNK_BYTES],
                    ),
                )
            case Chunk():
                self._on_chunk(now_ms, run, message)
            case _:
                is_from_voter = self._is_voter(run, message.source) and not self.stop_reason
                is_from_leader = (
                    isinstance(message, raft_messages.AppendEntries | raft_messages.InstallSnapshot)
                    and message.target == self.id
                )
                if is_from_voter and is_from_leader and self.raft is None and self.blank:
                    # The leader's list of voters contains this voter; the log that it sends has that list.
                    self._accept_voters([])
                    self._start_raft(now_ms)
                if is_from_voter and self.raft is not None:
                    self.raft.received(now_ms, message)
                    self._after_raft_step(now_ms)
        self._step(now_ms)

    def _is_voter(self, run: int, id_: str) -> bool:
        """Whether the metadata of the member with this run announces this voter id."""
        member = self.view.table.get(run)
        return member is not None and member.metadata.get("voter") == id_

    def _send(self, run: int, message: object) -> None:
        self.outbox.append((run, _encoder.encode(message)))

    # Log of a voter.

    def _on_committed(self, entry: Entry) -> None:
        """Applies a committed entry, or a received snapshot, to the documents."""
        if entry.kind == EntryKind.SNAPSHOT:
            self.documents = Documents.load(entry.data)
        elif entry.kind == EntryKind.CHANGE:
            proposal = msgspec.msgpack.decode(entry.data, type=Proposal)
            self._on_result(proposal.id, self.documents.apply(proposal))
        self.revisions_by_index.append((entry.index, self.documents.revision))
        # Bounds the memory; a confirmed index that is older than these gives no freshness.
        del self.revisions_by_index[:-64]
        if self.documents.revision > self.newest.revision:
            self.newest = RevisionContents.from_bodies(self.documents.revision, self.documents.bodies)

    def _on_result(self, id_: str, result: ChangeResult) -> None:
        """Sends the result of a committed change to the member that proposed it."""
        run = self.proposers.pop(id_, 0)
        reply = ProposeReply(id_, result.revision, result.conflict)
        if run == self.view.run or (not run and id_ in self.pending):
            self._on_propose_reply(-float("inf"), reply)
        elif run:
            self._send(run, reply)

    def _after_raft_step(self, now_ms: float) -> None:
        """Runs after each Raft step: records freshness if leader, collects messages and saves, compacts the log."""
        raft = self.raft
        if raft is None:
            return
        if raft.role is not Role.LEADER:
            self.proposers.clear()  # their proposers send the changes again, to the new leader
        confirmed = raft.confirmed(now_ms)
        if confirmed is not None:
            index, age_ms = confirmed
            revision = next(
                (
                    revision
                    for entry_index, revision in reversed(self.revisions_by_index)
                    if entry_index <= index
                ),
                None,
            )
            if revision is not None and age_ms < self.freshness.max_age_ms:
                self.freshness.record_report(now_ms, revision, age_ms)
        live_voters = self._live_voters()
        out, raft.outbox = raft.outbox, []
        for message in out:
            target = live_voters.get(message.target)
            if target is not None:
                self._send(target.run, message)
        self.saves += raft.saves
        raft.saves = []
        if raft.applied - raft.snapshot.index > COMPACT_AFTER_ENTRIES:
            raft.compact(self.documents.dump())
            self.saves += raft.saves
            raft.saves = []

    # Freshness reports.

    def freshness_report(self, now_ms: float) -> list[int]:
        """Returns the report that an answer to a ping carries: [newest revision known, its age in ms, checksum].

        The age is rounded up. The checksum is 0 if this member does not have that revision. The report is empty if no
        revision is known, or if it is so old that no receiver may apply it.
        """
        if self.raft is not None and self.raft.role is Role.LEADER:
            self._after_raft_step(now_ms)
        report = self.freshness.report(now_ms)
        if report is None or report[1] > self.freshness.max_age_ms:
            return []
        revision, age_ms = report
        return [revision, int(age_ms) + 1, self.newest.checksum if self.newest.revision == revision else 0]

    def on_freshness_report(self, run: int, sent_ms: float, report: list[int]) -> None:
        """Handles the report in a member's answer to our ping, which was sent at `sent_ms`."""
        if len(report) < 3:
            return
        revision, age_ms, checksum = report[:3]
        self.freshness.record_report(sent_ms, revision, float(age_ms))
        if revision == self.newest.revision and checksum and checksum != self.newest.checksum:
            self._on_divergence(run, revision)
        elif revision > self.newest.revision and self.raft is None and self.fetch is None and checksum:
            self.fetch = Fetch(run, -float("inf"), revision)
        self.wake_ms = min(self.wake_ms, sent_ms)

    def _on_divergence(self, run: int, revision: int) -> None:
        """Handles a report of our revision with other contents: a learner asks a voter which of the two is wrong."""
        self.metrics.add("agreement.differs")
        reporter = self.view.table.get(run)
        if self.raft is not None:
            if reporter is not None and reporter.metadata.get("voter") == self.raft.leader:
                self._stop(f"its revision {revision} differs from the leader's")
            return
        if self.fetch is None:
            voters = [member.run for member in self._live_voters().values()]
            self.fetch = Fetch(
                run if run in voters else self.rng.choice(voters or [run]), -float("inf"), revision
            )

    # Fetching a revision.

    def _on_hashes(self, now_ms: float, run: int, reply: RevisionHashes) -> None:
        """Continues a fetch with the document hashes; after a divergence, compares them with our own first."""
        fetch = self.fetch
        if fetch is None or fetch.run != run or reply.revision < self.newest.revision:
            return
        if reply.revision == self.newest.revision:
            self.fetch = None
            if contents_checksum(reply.revision, reply.hashes) == self.newest.checksum:
                return  # our replica matches, so that of the member that reported the divergence is wrong
            self._quarantine(reply)
        fetch.revision_hashes = reply
        self.fetch = fetch
        fetch.asked_ms = -float("inf")

    def _quarantine(self, voter_hashes: RevisionHashes) -> None:
        """Drops our replica and logs which of its documents differ from the voter's; the caller fetches it anew."""
        own_hashes = {name: hash_of(body) for name, body in self.newest.bodies.items()}
        differing = sorted(
            name
            for name in own_hashes.keys() | voter_hashes.hashes.keys()
            if own_hashes.get(name) != voter_hashes.hashes.get(name)
        )
        self.metrics.add("agreement.quarantined")
        self.log_event(
            "agreement.quarantined",
            level="error",
            revision=self.newest.revision,
            documents=",".join(differing),
        )
        self.current = self.newest = NO_REVISION
        self.rules = None
        self.freshness.revision, self.freshness.as_of_ms = 0, -float("inf")

    def _on_chunk(self, now_ms: float, run: int, chunk: Chunk) -> None:
        """Appends the next chunk to a body; a complete body whose hash is wrong is dropped and fetched elsewhere."""
        fetch = self.fetch
        if (
            fetch is None
            or fetch.revision_hashes is None
            or chunk.hash not in fetch.revision_hashes.hashes.values()
        ):
            return
        received = fetch.received.setdefault(chunk.hash, bytearray())
        if not chunk.size:
            # The member does not have the body, for example because it has a newer revision by now. Another member is
            # asked for its hashes; the chunks already received are retained.
            fetch.asked_ms, fetch.run, fetch.revision_hashes = -float("inf"), 0, None
        elif chunk.offset == len(received):
            received += chunk.data
            fetch.asked_ms = -float("inf")
            if len(received) >= chunk.size and hash_of(bytes(received)) != chunk.hash:
                self.metrics.add("agreement.spoilt")
                del fetch.received[chunk.hash]
                fetch.run = 0

    def _continue_fetch(self, now_ms: float) -> float:
        """Requests what is missing of the revision being fetched; returns when to call again."""
        fetch = self.fetch
        if fetch is None:
            return float("inf")
        if fetch.revision_hashes is not None:
            own_bodies = {hash_of(body): body for body in self.newest.bodies.values()}
            available = own_bodies | {
                body_hash: bytes(received)
                for body_hash, received in fetch.received.items()
                if hash_of(bytes(received)) == body_hash
            }
            missing = [
                body_hash for body_hash in fetch.revision_hashes.hashes.values() if body_hash not in available
            ]
            if not missing:
                bodies = {
                    name: available[body_hash] for name, body_hash in fetch.revision_hashes.hashes.items()
                }
                self.fetch = None
                self.newest = RevisionContents.from_bodies(fetch.revision_hashes.revision, bodies)
                return float("inf")
        if now_ms < fetch.asked_ms + RETRY_MS:
            return fetch.asked_ms + RETRY_MS
        member = self.view.table.get(fetch.run) if fetch.run else None
        unanswered = fetch.asked_ms > -float("inf")
        if member is None or not member.live or unanswered:
            # Ask another member; the chunks already received are retained.
            others = [
                candidate.run
                for candidate in self.view.members()
                if process_of(candidate.run) != process_of(self.view.run)
            ]
            if not others:
                return now_ms + RETRY_MS
            fetch.run = self.rng.choice(others)
        fetch.asked_ms = now_ms
        if fetch.revision_hashes is None:
            self._send(fetch.run, HashesRequest(fetch.min_revision))
        else:
            self._send(fetch.run, ChunkRequest(missing[0], len(fetch.received.get(missing[0], b""))))
        return now_ms + RETRY_MS

    # Rules in effect.

    def _apply_newest(self, now_ms: float) -> None:
        """Applies the newest revision received, if it was reported as the newest or the current one is not fresh."""
        if self.newest is self.current:
            return
        if self.freshness.newest == self.newest.revision or not self.freshness.is_fresh(now_ms):
            self.current = self.newest
            self.freshness.apply_revision(self.current.revision)
            self.rules = Rules.parse(self.current)
            isolated = self.rules.documents.get("isolated") if self.rules is not None else None
            fallback = isolated if isinstance(isolated, FallbackRules) else self.isolated
            self.fallback_rules = Rules.fallback(fallback, self.current.revision, self.current.checksum)
            if self.rules is None:
                self.metrics.add("agreement.unread")

    def rules_in_effect(self, now_ms: float) -> Rules:
        """Returns the rules to apply now: those of the current revision while it is fresh, else the fallback rules."""
        if self.rules is not None and self.freshness.is_fresh(now_ms):
            return self.rules
        return self.fallback_rules

    # Operators' changes.

    def propose(
        self,
        now_ms: float,
        propose: Propose,
        wait_ms: float,
        done: Callable[[ChangeResult | OperatorError], None],
    ) -> None:
        """Proposes a change to the leader; `done` is called once with its result, or with an error within `wait_ms`.

        A pending change with the same id is replaced, and its own `done` is then never called.
        """
        self.pending[propose.id] = PendingProposal(propose, now_ms + wait_ms, done)
        self._step(now_ms)

    def _on_propose(self, now_ms: float, run: int, request: Propose) -> None:
        """Handles a change that a member, possibly this one, proposes; replies with the leader if that is another."""
        raft = self.raft
        if request.change is not None and request.id in self.documents.results and raft is not None:
            result = self.documents.results[request.id]
            self._reply(run, ProposeReply(request.id, result.revision, result.conflict))
            return
        if raft is None or raft.role is not Role.LEADER or len(self.proposers) >= MAX_UNCOMMITTED_PROPOSALS:
            self._reply(run, ProposeReply(request.id, leader=raft.leader if raft is not None else ""))
            return
        if request.id in self.proposers:
            return  # the change was sent again; it is answered once it is committed
        try:
            if request.change is None:
                if raft.voters != request.voters:
                    raft.change_voters(now_ms, request.voters)
                elif raft.voters_settled():
                    self._reply(run, ProposeReply(request.id, self.documents.revision))
            else:
                self.documents.check(request.change)
                raft.propose(now_ms, msgspec.msgpack.encode(request.change))
                self.proposers[request.id] = run
        except OperatorError as error:
            leader = raft.leader if isinstance(error, RaftError) else ""
            refused = "" if isinstance(error, RaftError) and request.change is not None else str(error)
            self._reply(run, ProposeReply(request.id, refused=refused, leader=leader))
        self._after_raft_step(now_ms)

    def _reply(self, run: int, reply: ProposeReply) -> None:
        """Sends a reply to the proposing member, which may be this one."""
        if run == self.view.run:
            self._on_propose_reply(-float("inf"), reply)
        else:
            self._send(run, reply)

    def _on_propose_reply(self, now_ms: float, reply: ProposeReply) -> None:
        """Ends the pending change if the reply has its result; otherwise notes the leader and lets it be sent there."""
        pending = self.pending.get(reply.id)
        if pending is None:
            return
        if reply.refused:
            self._finish(reply.id, RefusedError(reply.refused))
        elif reply.revision >= 0:
            conflict = reply.conflict
            self._finish(
                reply.id,
                ConflictError(conflict) if conflict else ChangeResult(reply.revision, reply.conflict),
            )
        elif reply.leader:
            pending.leader = reply.leader
            if now_ms >= pending.leader_asked_ms + RETRY_MS:
                pending.asked_ms = -float("inf")

    def _finish(self, id_: str, result: ChangeResult | OperatorError) -> None:
        self.pending.pop(id_).done(result)

    def _send_pending(self, now_ms: float) -> float:
        """Sends pending changes that are due to the leader, or to a random voter if it is unknown or does not answer.

        Ends those whose time-out has expired. Returns when to call again.
        """
        next_ms = float("inf")
        for id_, pending in list(self.pending.items()):
            if now_ms >= pending.deadline_ms:
                self._finish(
                    id_,
                    NoAgreementError(
                        "the change was not reported as committed within the time-out; it may still be committed"
                    ),
                )
                continue
            if now_ms >= pending.asked_ms + RETRY_MS:
                # Whether the last send went to the presumed leader, which has not replied since:
                unanswered = pending.asked_ms == pending.leader_asked_ms > -float("inf")
                pending.asked_ms = now_ms
                live_voters = self._live_voters()
                raft = self.raft
                leader = self.id if raft is not None and raft.role is Role.LEADER else ""
                leader = leader or (raft.leader if raft is not None else "") or pending.leader
                if leader not in live_voters or unanswered:
                    leader = self.rng.choice(sorted(live_voters)) if live_voters else ""
                else:
                    pending.leader_asked_ms = now_ms
                if leader == self.id and leader:
                    self._on_propose(now_ms, self.view.run, pending.request)
                elif leader:
                    self._send(live_voters[leader].run, pending.request)
                if id_ not in self.pending:
                    continue
            next_ms = min(next_ms, pending.asked_ms + RETRY_MS, pending.deadline_ms)
        return next_ms

    def _step(self, now_ms: float) -> None:
        """Performs all pending work after any event and sets the next wake-up."""
        self._start_voting(now_ms)
        next_ms = min(self._continue_fetch(now_ms), self._send_pending(now_ms))
        self._apply_newest(now_ms)
        if self.raft is not None:
            self._after_raft_step(now_ms)
            self._bootstrap_others(now_ms)
            next_ms = min(next_ms, self.raft.wake_ms)
        elif self.persistent_state is not None and not self.stop_reason:
            next_ms = min(next_ms, now_ms + BOOTSTRAP_INTERVAL_MS)
        self.wake_ms = next_ms

    def status(self, now_ms: float) -> dict:
        """Returns the status shown to operators; `newest` is null while no revision has been reported."""
        rules = self.rules_in_effect(now_ms)
        newest = self.freshness.report(now_ms)
        raft = self.raft
        return {
            "revision": self.current.revision,
            "in_force": "agreed" if rules.agreed else "isolated",
            "mark": f"{self.current.checksum:08x}",
            "newest": None if newest is None else {"revision": newest[0], "age_ms": round(newest[1])},
            "fetching": self.fetch is not None,
            "voter": None
            if not self.id
            else {
                "id": self.id,
                "starts": self.starts,
                "stopped": self.stop_reason,
                "founded": not self.blank,
                "role": raft.role.name.lower() if raft is not None else "",
                "term": raft.term if raft is not None else 0,
                "leader": raft.leader if raft is not None else "",
                "voters": raft.voters if raft is not None else [],
                "committed": raft.committed if raft is not None else 0,
            },
        }
