"""Settings and lists that the proxies agree on: documents by name, changed together in revisions. No I/O.

What the log's changes amount to, the same at every proxy: a change names the revision that its author had seen and is
taken only if none of its documents has changed since (compare and set); several documents change in one revision. It
bears an id, so that one sent again takes effect once.

Each document is checked whole by its schema before it is proposed. Taking in a change that is committed never fails by
a schema, as proxies of other versions might judge otherwise: who can't read what is agreed acts on the isolated rules.

The isolated rules count where the agreed ones can't be vouched for (vouch.py). They are a document themselves,
`isolated`, and at least as strict as any revision: what they let pass no revision refuses. A change that is stricter
than they are is refused when proposed, with the rule that says so.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b

import msgspec

from leadslip.errors import OperatorError

MOST_BYTES = 256 * 1024  # of one document
MOST_HISTORY = 200  # revisions that are remembered with what was in force then
MOST_IDS = 1000  # changes whose ids are remembered
MOST_TEXT = 200  # characters of an author, a reason or an id


class RefusedError(OperatorError):
    """A change of the agreed settings may not be proposed; the text names the rule."""

    code, status = "agreement.refused", 422
    action = "Change the document as the rule named asks, and propose it again."


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What all documents share: a key that is not known is refused."""


class Bars(Strict):
    """Calls refused: numbers that begin so, and destinations."""

    prefixes: list[str] = []
    destinations: list[int] = []


class Held(Strict):
    """Setup servers that operators hold off: no new set-up goes there."""

    servers: list[str] = []


class Reserve(Strict):
    """Lines of trunk groups kept free for the first class, by group."""

    lines: dict[str, int] = {}


class CallClass(Strict):
    """One class of calls; spans in ms, worth as in the proxy's own file."""

    name: str
    worth: float
    late_worth: float
    aim_ms: float
    deadline_ms: float


class Classes(Strict):
    """What a reload retunes."""

    classes: list[CallClass]
    most_tries: int


class Isolated(Strict):
    """The rules of a proxy that can't be vouched for; stricter than, or as strict as, any revision."""

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
    """A change as it goes into the log: bodies (JSON; empty: no such document any more) by name, and the revision
    that its author had seen."""

    id: str
    expect: int
    bodies: dict[str, bytes]
    author: str = ""
    why: str = ""
    unix_ms: float = 0.0


class Revision(msgspec.Struct, array_like=True, frozen=True):
    """One revision in the history: what changed, who did it and why, and the hash of each body in force then."""

    number: int
    id: str
    changed: list[str]
    hashes: dict[str, str]
    author: str
    why: str
    unix_ms: float


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """What became of a change: in force as this revision, or in conflict with a document changed since."""

    revision: int
    conflict: str = ""


def hash_of(body: bytes) -> str:
    """What a body is known by, in hex."""
    return blake2b(body, digest_size=16, person=b"leadslip-doc").hexdigest()


def read(name: str, body: bytes) -> Strict:
    """A document, checked whole. Raises RefusedError: no such document, too long, or what its schema says."""
    schema = SCHEMAS.get(name)
    if schema is None:
        raise RefusedError(f"{name}: no such document; there are {', '.join(SCHEMAS)}")
    if len(body) > MOST_BYTES:
        raise RefusedError(f"{name}: {len(body)} bytes are more than {MOST_BYTES}")
    try:
        told = msgspec.json.decode(body, type=schema)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise RefusedError(f"{name}: {fault}") from fault
    _sound(name, told)
    return told


def _sound(name: str, told: Strict) -> None:
    """What a schema can't say."""
    match told:
        case Bars():
            wrong = next((one for one in told.prefixes if not one.isdigit()), None)
            if wrong is not None:
                raise RefusedError(f"{name}.prefixes: {wrong!r} are not digits")
        case Reserve():
            wrong = next((group for group, lines in told.lines.items() if lines < 0), None)
            if wrong is not None:
                raise RefusedError(f"{name}.lines.{wrong} is below 0")
        case Classes():
            names = [one.name for one in told.classes]
            if not names or len(set(names)) < len(names):
                raise RefusedError(f"{name}.classes: none, or one told twice")
            for one in told.classes:
                if not 0 < one.aim_ms <= one.deadline_ms or min(one.worth, one.late_worth) < 0:
                    raise RefusedError(
                        f"{name}.classes.{one.name}: 0 < aim_ms <= deadline_ms, no worth below 0"
                    )
            if told.most_tries < 1:
                raise RefusedError(f"{name}.most_tries is below 1")
        case Isolated():
            _sound(f"{name}.bars", told.bars)
            _sound(f"{name}.reserve", told.reserve)
            if told.most_tries < 1:
                raise RefusedError(f"{name}.most_tries is below 1")


def contradiction(isolated: Isolated, documents: Mapping[str, Strict]) -> str:
    """The rule of a document that is stricter than the isolated rules; nothing where there is none."""
    bars, held = documents.get("bars", Bars()), documents.get("held", Held())
    for prefix in bars.prefixes:
        if not any(prefix.startswith(one) for one in isolated.bars.prefixes):
            return f"bars.prefixes {prefix} is let pass by isolated.bars"
    for destination in bars.destinations:
        if destination not in isolated.bars.destinations:
            return f"bars.destinations {destination} is let pass by isolated.bars"
    for server in held.servers:
        if server not in isolated.held.servers:
            return f"held.servers {server} is let pass by isolated.held"
    for group, lines in documents.get("reserve", Reserve()).lines.items():
        if lines > isolated.reserve.lines.get(group, 0):
            return f"reserve.lines.{group} is more than isolated.reserve keeps"
    classes = documents.get("classes")
    if classes is not None and classes.most_tries < isolated.most_tries:
        return "classes.most_tries is less than isolated.most_tries"
    return ""


class Documents:
    """The documents in force, and how they came to be. Driven by the log's committed changes."""

    def __init__(self) -> None:
        self.revision = 0
        self.bodies: dict[str, bytes] = {}  # in force
        self.changed: dict[str, int] = {}  # name -> the revision that changed it last
        self.history: list[Revision] = []  # the oldest first
        self.past: dict[str, bytes] = {}  # hash -> body, of all in the history
        self.ids: dict[str, Outcome] = {}  # of changes, the oldest first

    def check(self, proposal: Proposal) -> None:
        """Whether a change may be proposed as things stand. Raises RefusedError with the rule."""
        if not proposal.id or not proposal.bodies:
            raise RefusedError("a change has an id and at least one document")
        if max(len(proposal.id), len(proposal.author), len(proposal.why)) > MOST_TEXT:
            raise RefusedError(f"id, author and reason have at most {MOST_TEXT} characters")
        documents = {name: read(name, body) for name, body in (self.bodies | proposal.bodies).items() if body}
        isolated = documents.pop("isolated", Isolated())
        told = contradiction(isolated, documents)
        if not told and "isolated" in self.bodies:
            # Guards against proxies that still act on the isolated rules of before: those count for this change, too.
            told = contradiction(read("isolated", self.bodies["isolated"]), documents)
            told = told and f"{told} as it is now: change isolated first, by itself"
        if told:
            raise RefusedError(told)

    def conflict(self, proposal: Proposal) -> str:
        """The document that has changed since the revision that a change's author had seen; nothing: none has."""
        if proposal.expect > self.revision:
            return f"revision {proposal.expect} is yet to come"
        for name in sorted(proposal.bodies):
            if self.changed.get(name, 0) > proposal.expect:
                return f"{name} changed in revision {self.changed[name]}"
        return ""

    def apply(self, proposal: Proposal) -> Outcome:
        """Take in a committed change; the same at every proxy, whatever its version."""
        known = self.ids.get(proposal.id)
        if known is not None:
            return known
        told = self.conflict(proposal)
        if told:
            return self._remember(proposal.id, Outcome(self.revision, told))
        self.revision += 1
        self.bodies = {name: body for name, body in (self.bodies | proposal.bodies).items() if body}
        for name in proposal.bodies:
            self.changed[name] = self.revision
        hashes = {name: hash_of(body) for name, body in self.bodies.items()}
        self.past |= {hashes[name]: body for name, body in proposal.bodies.items() if body}
        changed = sorted(proposal.bodies)
        self.history.append(
            Revision(
                self.revision, proposal.id, changed, hashes, proposal.author, proposal.why, proposal.unix_ms
            )
        )
        if len(self.history) > MOST_HISTORY:
            self.history = self.history[-MOST_HISTORY:]
            held = {one for revision in self.history for one in revision.hashes.values()}
            self.past = {key: body for key, body in self.past.items() if key in held}
        return self._remember(proposal.id, Outcome(self.revision))

    def _remember(self, id_: str, outcome: Outcome) -> Outcome:
        self.ids[id_] = outcome
        while len(self.ids) > MOST_IDS:
            del self.ids[next(iter(self.ids))]
        return outcome

    def at(self, number: int) -> dict[str, bytes] | None:
        """The bodies that were in force as of a revision; None where it is not remembered."""
        revision = next((one for one in self.history if one.number == number), None)
        if revision is None:
            return None
        return {name: self.past[key] for name, key in revision.hashes.items()}

    def rollback(self, number: int, id_: str, author: str, why: str, unix_ms: float) -> Proposal:
        """The change that brings a revision's documents back, all together. Raises RefusedError: not remembered."""
        then = self.at(number)
        if then is None:
            raise RefusedError(f"revision {number} is not remembered")
        whole = dict.fromkeys(self.bodies, b"") | then
        bodies = {name: body for name, body in whole.items() if self.bodies.get(name) != body}
        return Proposal(id_, self.revision, bodies, author, why, unix_ms)

    def dump(self) -> bytes:
        """All of it, for a snapshot."""
        told = (self.revision, self.bodies, self.changed, self.history, self.past, self.ids)
        return msgspec.msgpack.encode(told)

    @classmethod
    def load(cls, data: bytes) -> Documents:
        """What `dump` gave; nothing at all where there is none yet."""
        held = cls()
        if data:
            shape = tuple[
                int,
                dict[str, bytes],
                dict[str, int],
                list[Revision],
                dict[str, bytes],
                dict[str, Outcome],
            ]
            told = msgspec.msgpack.decode(data, type=shape)
            held.revision, held.bodies, held.changed, held.history, held.past, held.ids = told
        return held
