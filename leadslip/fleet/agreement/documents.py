"""The agreed documents (settings and lists), changed together in revisions: the state machine of the Raft log.

Performs no I/O. Applying the same log gives the same state at every proxy. A change names the revision that its author
had read and is applied only if none of its documents has changed since (compare and set); it may change several
documents in one revision. It has an id, so that a change sent again is applied once.

Each document is validated against its schema before it is proposed. Applying a committed change never fails on a
schema, as proxies of other versions might judge otherwise: a proxy that can't read the agreed documents applies the
fallback rules.

The fallback rules apply where the agreed documents are no longer known to be fresh (freshness.py). They are a document
themselves, `isolated`, and at least as strict as any revision: a call that they admit is refused by no revision. A
change that is stricter than they are is refused when proposed, and the refusal names the rule.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b

import msgspec

from leadslip.errors import OperatorError

MAX_DOCUMENT_BYTES = 256 * 1024
MAX_HISTORY = 200  # revisions that are retained, each with the documents then in effect
MAX_RESULTS = 1000  # changes whose ids and results are retained
MAX_TEXT_LENGTH = 200  # characters of an author, a reason or an id


class RefusedError(OperatorError):
    """A change to the agreed settings breaks a rule and can't be proposed; the error message names the rule."""

    code, status = "agreement.refused", 422
    action = "Change the document to comply with the rule named, and propose it again."


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all documents: unknown keys are refused."""


class Bars(Strict):
    """Barred calls: called numbers with one of these prefixes, and these destinations."""

    prefixes: list[str] = []
    destinations: list[int] = []


class Held(Strict):
    """Setup servers that operators have taken out of rotation; they get no new set-up."""

    servers: list[str] = []


class Reserve(Strict):
    """Number of lines reserved for the first class, by trunk group."""

    lines: dict[str, int] = {}


class CallClass(Strict):
    """Parameters of one class of calls; times in ms, worth as in the proxy's own file."""

    name: str
    worth: float
    late_worth: float
    aim_ms: float
    deadline_ms: float


class Classes(Strict):
    """Classes of calls and attempts per call: the settings that can change while the proxy runs."""

    classes: list[CallClass]
    most_tries: int


class Isolated(Strict):
    """The fallback rules of a proxy whose revision is no longer fresh; at least as strict as any revision."""

    bars: Bars = Bars()
    held: Held = Held()
    reserve: Reserve = Reserve()
    most_tries: int = 1


SCHEMAS: dict[str, type[Strict]] = {
    "bars": Bars,
    "held": Held,
    "reserve": Reserve,
    "classes": Classes,
    "isolated": Isolated,
}


class Proposal(msgspec.Struct, array_like=True, frozen=True):
    """A change as it is written to the log: JSON bodies by document name (an empty body deletes the document), and
    the revision that its author had read."""

    id: str
    expect: int
    bodies: dict[str, bytes]
    author: str = ""
    reason: str = ""
    unix_ms: float = 0.0


class Revision(msgspec.Struct, array_like=True, frozen=True):
    """One revision in the history: what changed, by whom and why, and the hash of each document then in effect."""

    number: int
    id: str
    changed: list[str]
    hashes: dict[str, str]
    author: str
    reason: str
    unix_ms: float


class ChangeResult(msgspec.Struct, array_like=True, frozen=True):
    """Result of a change: applied as this revision, or in conflict with a document that has changed since."""

    revision: int
    conflict: str = ""


def hash_of(body: bytes) -> str:
    """Returns the hash that identifies a body, in hex."""
    return blake2b(body, digest_size=16, person=b"leadslip-doc").hexdigest()


def read(name: str, body: bytes) -> Strict:
    """Parses and validates a document. Raises RefusedError: unknown name, too long, or against its schema."""
    schema = SCHEMAS.get(name)
    if schema is None:
        raise RefusedError(f"{name}: no such document; there are {', '.join(SCHEMAS)}")
    if len(body) > MAX_DOCUMENT_BYTES:
        raise RefusedError(
            f"{name}: document has {len(body)} bytes, at most {MAX_DOCUMENT_BYTES} are allowed"
        )
    try:
        document = msgspec.json.decode(body, type=schema)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RefusedError(f"{name}: {error}") from error
    _validate(name, document)
    return document


def _validate(name: str, document: Strict) -> None:
    """Checks the rules that the schema can't express. Raises RefusedError."""
    match document:
        case Bars():
            invalid = next((prefix for prefix in document.prefixes if not prefix.isdigit()), None)
            if invalid is not None:
                raise RefusedError(f"{name}.prefixes: {invalid!r} is not digits only")
        case Reserve():
            invalid = next((group for group, lines in document.lines.items() if lines < 0), None)
            if invalid is not None:
                raise RefusedError(f"{name}.lines.{invalid}: {document.lines[invalid]} is below 0")
        case Classes():
            names = [call_class.name for call_class in document.classes]
            if not names or len(set(names)) < len(names):
                raise RefusedError(f"{name}.classes: empty, or a class is listed twice: {names}")
            for call_class in document.classes:
                if (
                    not 0 < call_class.aim_ms <= call_class.deadline_ms
                    or min(call_class.worth, call_class.late_worth) < 0
                ):
                    raise RefusedError(
                        f"{name}.classes.{call_class.name}: required are 0 < aim_ms <= deadline_ms, worth >= 0 "
                        "and late_worth >= 0"
                    )
            if document.most_tries < 1:
                raise RefusedError(f"{name}.most_tries is below 1: {document.most_tries}")
        case Isolated():
            _validate(f"{name}.bars", document.bars)
            _validate(f"{name}.reserve", document.reserve)
            if document.most_tries < 1:
                raise RefusedError(f"{name}.most_tries is below 1: {document.most_tries}")


def contradiction(isolated: Isolated, documents: Mapping[str, Strict]) -> str:
    """Returns the first rule of the documents that is stricter than the fallback rules; empty if there is none."""
    bars, held = documents.get("bars", Bars()), documents.get("held", Held())
    for prefix in bars.prefixes:
        if not any(prefix.startswith(isolated_prefix) for isolated_prefix in isolated.bars.prefixes):
            return f"bars.prefixes {prefix} is not covered by isolated.bars"
    for destination in bars.destinations:
        if destination not in isolated.bars.destinations:
            return f"bars.destinations {destination} is not in isolated.bars"
    for server in held.servers:
        if server not in isolated.held.servers:
            return f"held.servers {server} is not in isolated.held"
    for group, lines in documents.get("reserve", Reserve()).lines.items():
        if lines > isolated.reserve.lines.get(group, 0):
            return f"reserve.lines.{group} is more than isolated.reserve has"
    classes = documents.get("classes")
    if classes is not None and classes.most_tries < isolated.most_tries:
        return "classes.most_tries is less than isolated.most_tries"
    return ""


class Documents:
    """The current documents and their history; updated only by committed changes of the log."""

    def __init__(self) -> None:
        self.revision = 0
        self.bodies: dict[str, bytes] = {}  # the current documents
        self.changed_in: dict[str, int] = {}  # name -> the revision that changed it last
        self.history: list[Revision] = []  # the oldest first
        self.bodies_by_hash: dict[str, bytes] = {}  # of all revisions in the history
        self.ids: dict[str, ChangeResult] = {}  # change id -> result, the oldest first

    def check(self, proposal: Proposal) -> None:
        """Checks whether a change may be proposed now. Raises RefusedError with the rule it breaks."""
        if not proposal.id or not proposal.bodies:
            raise RefusedError("a change needs an id and at least one document")
        if max(len(proposal.id), len(proposal.author), len(proposal.reason)) > MAX_TEXT_LENGTH:
            raise RefusedError(f"id, author and reason may have at most {MAX_TEXT_LENGTH} characters each")
        documents = {name: read(name, body) for name, body in (self.bodies | proposal.bodies).items() if body}
        isolated = documents.pop("isolated", Isolated())
        problem = contradiction(isolated, documents)
        if not problem and "isolated" in self.bodies:
            # Proxies may still apply the previous fallback rules: those must hold for this change as well.
            problem = contradiction(read("isolated", self.bodies["isolated"]), documents)
            problem = problem and f"{problem} as currently in effect: change isolated first, by itself"
        if problem:
            raise RefusedError(problem)

    def conflict(self, proposal: Proposal) -> str:
        """Returns which document has changed since the revision that the author had read; empty if none has.

        The text is part of the replicated state, so its wording must be the same in all versions.
        """
        if proposal.expect > self.revision:
            return f"revision {proposal.expect} is yet to come"
        for name in sorted(proposal.bodies):
            if self.changed_in.get(name, 0) > proposal.expect:
                return f"{name} changed in revision {self.changed_in[name]}"
        return ""

    def apply(self, proposal: Proposal) -> ChangeResult:
        """Applies a committed change; the result is the same at every proxy, whatever its version."""
        earlier_result = self.ids.get(proposal.id)
        if earlier_result is not None:
            return earlier_result
        conflict = self.conflict(proposal)
        if conflict:
            return self._record_result(proposal.id, ChangeResult(self.revision, conflict))
        self.revision += 1
        self.bodies = {name: body for name, body in (self.bodies | proposal.bodies).items() if body}
        for name in proposal.bodies:
            self.changed_in[name] = self.revision
        hashes = {name: hash_of(body) for name, body in self.bodies.items()}
        self.bodies_by_hash |= {hashes[name]: body for name, body in proposal.bodies.items() if body}
        changed = sorted(proposal.bodies)
        self.history.append(
            Revision(
                self.revision,
                proposal.id,
                changed,
                hashes,
                proposal.author,
                proposal.reason,
                proposal.unix_ms,
            )
        )
        if len(self.history) > MAX_HISTORY:
            self.history = self.history[-MAX_HISTORY:]
            used = {body_hash for revision in self.history for body_hash in revision.hashes.values()}
            self.bodies_by_hash = {key: body for key, body in self.bodies_by_hash.items() if key in used}
        return self._record_result(proposal.id, ChangeResult(self.revision))

    def _record_result(self, id_: str, result: ChangeResult) -> ChangeResult:
        self.ids[id_] = result
        while len(self.ids) > MAX_RESULTS:
            del self.ids[next(iter(self.ids))]
        return result

    def bodies_at(self, number: int) -> dict[str, bytes] | None:
        """Returns the documents of a revision; None if the history no longer has it."""
        revision = next((revision for revision in self.history if revision.number == number), None)
        if revision is None:
            return None
        return {name: self.bodies_by_hash[key] for name, key in revision.hashes.items()}

    def rollback(self, number: int, id_: str, author: str, reason: str, unix_ms: float) -> Proposal:
        """Returns the change that restores all documents of a revision. Raises RefusedError: not in the history."""
        restored = self.bodies_at(number)
        if restored is None:
            raise RefusedError(f"revision {number} is not in the history of the last {MAX_HISTORY}")
        targets = dict.fromkeys(self.bodies, b"") | restored
        bodies = {name: body for name, body in targets.items() if self.bodies.get(name) != body}
        return Proposal(id_, self.revision, bodies, author, reason, unix_ms)

    def dump(self) -> bytes:
        """Serializes the complete state for a snapshot."""
        state = (self.revision, self.bodies, self.changed_in, self.history, self.bodies_by_hash, self.ids)
        return msgspec.msgpack.encode(state)

    @classmethod
    def load(cls, data: bytes) -> Documents:
        """Restores what `dump` returned; empty data gives the initial state."""
        documents = cls()
        if data:
            shape = tuple[
                int,
                dict[str, bytes],
                dict[str, int],
                list[Revision],
                dict[str, bytes],
                dict[str, ChangeResult],
            ]
            state = msgspec.msgpack.decode(data, type=shape)
            (
                documents.revision,
                documents.bodies,
                documents.changed_in,
                documents.history,
                documents.bodies_by_hash,
                documents.ids,
            ) = state
        return documents
