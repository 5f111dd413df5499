"""The agreed documents (settings and lists), changed together in revisions: the state machine of the Raft log.

Performs no I/O. Applying the same log gives the same state at every proxy. A change may replace or delete several
documents in one revision. It names the revision that its author had read, and is applied only if none of its documents
has changed since (compare and set). It has an id, so that a change that is sent again is applied only once.

A change is validated before it is proposed. A committed change is applied without validation, as proxies of different
versions could disagree on its result and their states would diverge. A proxy that can't parse a document of the
current revision applies the fallback rules.

The fallback rules are also applied by a proxy whose revision is no longer known to be fresh (freshness.py). They are a
document themselves, `isolated`, and at least as strict as every revision: no revision refuses a call that they admit.
A proposed change that is stricter than they are is refused with an error that names the rule.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b

import msgspec

from leadslip.errors import OperatorError

MAX_DOCUMENT_BYTES = 256 * 1024
MAX_HISTORY = 200  # revisions that are retained, each with its documents, so that it can be restored
MAX_RESULTS = 1000  # changes whose ids and results are retained to recognize a change that is sent again
MAX_TEXT_LENGTH = 200  # characters of an author, a reason or an id


class RefusedError(OperatorError):
    """A change to the agreed settings breaks a rule and can't be proposed; the error message names the rule."""

    code, status = "agreement.refused", 422
    action = "Change the document to comply with the rule named, and propose it again."


class Document(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of the documents' schemas; JSON keys that a schema does not have are refused."""


class BarredCalls(Document):
    """Document `bars`: calls to numbers with one of these prefixes and to these destinations are refused."""

    prefixes: list[str] = []
    destinations: list[int] = []


class DrainedServers(Document):
    """Document `held`: setup servers that operators have taken out of rotation; they get no new set-ups."""

    servers: list[str] = []


class ReservedLines(Document):
    """Document `reserve`: by trunk group, the number of lines reserved for the first class of calls."""

    lines: dict[str, int] = {}


class CallClass(Document):
    """Parameters of one class of calls; they replace those of the same class in a proxy's own settings file."""

    name: str
    worth: float
    late_worth: float
    aim_ms: float
    deadline_ms: float


class Classes(Document):
    """Document `classes`: classes of calls, and the maximum number of attempts per call."""

    classes: list[CallClass]
    most_tries: int


class FallbackRules(Document):
    """Document `isolated`: the fallback rules, at least as strict as every revision."""

    bars: BarredCalls = BarredCalls()
    held: DrainedServers = DrainedServers()
    reserve: ReservedLines = ReservedLines()
    most_tries: int = 1


SCHEMAS: dict[str, type[Document]] = {
    "bars": BarredCalls,
    "held": DrainedServers,
    "reserve": ReservedLines,
    "classes": Classes,
    "isolated": FallbackRules,
}


class Proposal(msgspec.Struct, array_like=True, frozen=True):
    """A change as it is written to the log."""

    id: str
    expected_revision: int  # the revision that the author had read
    bodies: dict[str, bytes]  # document name -> new JSON body; an empty body deletes the document
    author: str = ""
    reason: str = ""
    unix_ms: float = 0.0


class Revision(msgspec.Struct, array_like=True, frozen=True):
    """One revision in the history: what changed, by whom and why, and the resulting documents by their hashes."""

    number: int
    id: str  # of the change
    changed: list[str]  # names of the documents that it replaced or deleted
    hashes: dict[str, str]  # name -> hash of the body, for every document of the revision
    author: str
    reason: str
    unix_ms: float


class ChangeResult(msgspec.Struct, array_like=True, frozen=True):
    """Result of a committed change: applied, or not applied because of a conflict."""

    revision: int  # the revision that the change created; after a conflict the current one
    conflict: str = ""  # why the change was not applied; empty if it was


def hash_of(body: bytes) -> str:
    """Returns the hash that identifies a body, in hex."""
    return blake2b(body, digest_size=16, person=b"leadslip-doc").hexdigest()


def parse_document(name: str, body: bytes) -> Document:
    """Parses and validates a document. Raises RefusedError if its name is unknown, or it is too long or invalid."""
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


def _validate(name: str, document: Document) -> None:
    """Checks the rules that the schema can't express. Raises RefusedError."""
    match document:
        case BarredCalls():
            invalid = next((prefix for prefix in document.prefixes if not prefix.isdigit()), None)
            if invalid is not None:
                raise RefusedError(
                    f"{name}.prefixes: {invalid!r} is empty or has characters that are not digits"
                )
        case ReservedLines():
            invalid = next((group for group, lines in document.lines.items() if lines < 0), None)
            if invalid is not None:
                raise RefusedError(
                    f"{name}.lines.{invalid}: {document.lines[invalid]} is below 0, the minimum number of lines"
                )
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
                        f"{name}.classes.{call_class.name}: required are 0 < aim_ms <= deadline_ms, worth >= 0 and "
                        f"late_worth >= 0, but aim_ms is {call_class.aim_ms:g}, deadline_ms is "
                        f"{call_class.deadline_ms:g}, worth is {call_class.worth:g} and late_worth is "
                        f"{call_class.late_worth:g}"
                    )
            if document.most_tries < 1:
                raise RefusedError(f"{name}.most_tries is below 1: {document.most_tries}")
        case FallbackRules():
            _validate(f"{name}.bars", document.bars)
            _validate(f"{name}.reserve", document.reserve)
            if document.most_tries < 1:
                raise RefusedError(f"{name}.most_tries is below 1: {document.most_tries}")


def stricter_rule(isolated: FallbackRules, documents: Mapping[str, Document]) -> str:
    """Describes the first rule of the documents that is stricter than the fallback rules; empty if there is none."""
    bars, held = documents.get("bars", BarredCalls()), documents.get("held", DrainedServers())
    for prefix in bars.prefixes:
        if not any(prefix.startswith(isolated_prefix) for isolated_prefix in isolated.bars.prefixes):
            return f"bars.prefixes {prefix} is not covered by isolated.bars"
    for destination in bars.destinations:
        if destination not in isolated.bars.destinations:
            return f"bars.destinations {destination} is not in isolated.bars"
    for server in held.servers:
        if server not in isolated.held.servers:
            return f"held.servers {server} is not in isolated.held"
    for group, lines in documents.get("reserve", ReservedLines()).lines.items():
        if lines > isolated.reserve.lines.get(group, 0):
            return (
                f"reserve.lines.{group} is {lines}, more than the {isolated.reserve.lines.get(group, 0)} "
                "in isolated.reserve"
            )
    classes = documents.get("classes")
    if classes is not None and classes.most_tries < isolated.most_tries:
        return f"classes.most_tries is less than isolated.most_tries, which is {isolated.most_tries}"
    return ""


class Documents:
    """The current documents and their history; only changes committed in the log update them."""

    def __init__(self) -> None:
        self.revision = 0
        self.bodies: dict[str, bytes] = {}  # the current documents
        self.changed_in: dict[str, int] = {}  # name -> the revision that changed it last
        self.history: list[Revision] = []  # the oldest first
        self.bodies_by_hash: dict[str, bytes] = {}  # of all revisions in the history
        self.results: dict[str, ChangeResult] = {}  # change id -> result, the oldest first

    def check(self, proposal: Proposal) -> None:
        """Checks that a change may be proposed. Raises RefusedError that names the rule which the change breaks."""
        if not proposal.id or not proposal.bodies:
            raise RefusedError("a change needs an id and at least one document")
        if max(len(proposal.id), len(proposal.author), len(proposal.reason)) > MAX_TEXT_LENGTH:
            raise RefusedError(f"id, author and reason may have at most {MAX_TEXT_LENGTH} characters each")
        documents = {
            name: parse_document(name, body) for name, body in (self.bodies | proposal.bodies).items() if body
        }
        isolated = documents.pop("isolated", FallbackRules())
        problem = stricter_rule(isolated, documents)
        if not problem and "isolated" in self.bodies:
            # Some proxies may still apply the current fallback rules, so the change must not be stricter than those
            # either.
            problem = stricter_rule(parse_document("isolated", self.bodies["isolated"]), documents)
            problem = (
                problem and f"{problem} as currently agreed; change isolated first, in a separate change"
            )
        if problem:
            raise RefusedError(problem)

    def conflict(self, proposal: Proposal) -> str:
        """Returns why a change conflicts with the current revision; empty if it does not.

        It conflicts if one of its documents has changed since the revision that its author had read, or if there is no
        such revision yet. The text is part of the replicated state, so its wording must be the same in all versions.
        """
        if proposal.expected_revision > self.revision:
            return f"revision {proposal.expected_revision} is yet to come"
        for name in sorted(proposal.bodies):
            if self.changed_in.get(name, 0) > proposal.expected_revision:
                return f"{name} changed in revision {self.changed_in[name]}"
        return ""

    def apply(self, proposal: Proposal) -> ChangeResult:
        """Applies a committed change, or returns the earlier result if a change with this id was applied before.

        The result is the same at every proxy, whatever its version.
        """
        earlier_result = self.results.get(proposal.id)
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
            self.bodies_by_hash = {
                body_hash: body for body_hash, body in self.bodies_by_hash.items() if body_hash in used
            }
        return self._record_result(proposal.id, ChangeResult(self.revision))

    def _record_result(self, id_: str, result: ChangeResult) -> ChangeResult:
        self.results[id_] = result
        while len(self.results) > MAX_RESULTS:
            del self.results[next(iter(self.results))]
        return result

    def bodies_at(self, number: int) -> dict[str, bytes] | None:
        """Returns the bodies of a revision's documents by name; None if it is not in the history."""
        revision = next((revision for revision in self.history if revision.number == number), None)
        if revision is None:
            return None
        return {name: self.bodies_by_hash[body_hash] for name, body_hash in revision.hashes.items()}

    def rollback(self, number: int, id_: str, author: str, reason: str, unix_ms: float) -> Proposal:
        """Returns a change that restores all documents of a revision. Raises RefusedError if it is not retained."""
        restored = self.bodies_at(number)
        if restored is None:
            raise RefusedError(
                f"revision {number} is not in the history, which has the last {MAX_HISTORY} revisions"
            )
        target_bodies = dict.fromkeys(self.bodies, b"") | restored
        bodies = {name: body for name, body in target_bodies.items() if self.bodies.get(name) != body}
        return Proposal(id_, self.revision, bodies, author, reason, unix_ms)

    def dump(self) -> bytes:
        """Serializes the complete state for a snapshot."""
        state = (self.revision, self.bodies, self.changed_in, self.history, self.bodies_by_hash, self.results)
        return msgspec.msgpack.encode(state)

    @classmethod
    def load(cls, data: bytes) -> Documents:
        """Restores the state that `dump` has serialized; empty data gives the initial state."""
        documents = cls()
        if data:
            state_type = tuple[
                int,
                dict[str, bytes],
                dict[str, int],
                list[Revision],
                dict[str, bytes],
                dict[str, ChangeResult],
            ]
            state = msgspec.msgpack.decode(data, type=state_type)
            (
                documents.revision,
                documents.bodies,
                documents.changed_in,
                documents.history,
                documents.bodies_by_hash,
                documents.results,
            ) = state
        return documents
