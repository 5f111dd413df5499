"""What the decision module is told and what it may ask for: settings, events, actions.

All times are milliseconds on the gateway's clock. A server is a core switch (or a pool of agents), a call
is one request, an attempt is one set-up of a call at one server, numbered from 0.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from leadslip.errors import OperatorError


class SettingsError(OperatorError, ValueError):
    """Settings that the decisions can't take; the text names the field."""

    code, status = "decisions.settings", 400
    action = "Correct the figure named in the proxy's settings; a proxy that runs keeps those it has."


class Repeat(Enum):
    """How freely a class's set-ups may be sent again."""

    FREE = "free"  # any number of times
    DEDUPED = "deduped"  # the servers of one group discard repeats
    ONCE = "once"  # only when no earlier attempt can have run


class NewsKind(Enum):
    """How a piece of list news relates to the list held."""

    CHANGES = "changes"
    WHOLE = "whole"
    CACHED = "cached"
    FAILED = "failed"


class ServerState(Enum):
    """What the list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed_out"
    NO_CONNECTION = "no_connection"
    CUT = "cut"
    WITHDRAWN = "withdrawn"
    NOT_SENT = "not_sent"


class Cause(Enum):
    """Why an attempt was turned away."""

    NONE = "none"
    NO_LINE = "no_line"
    BOUNCED = "bounced"
    PROCESSOR_FULL = "processor_full"
    NUMBER_BUSY = "number_busy"


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of calls."""

    name: str
    worth: float
    late_worth: float
    aim_ms: float
    deadline_ms: float
    repeat: Repeat = Repeat.FREE
    allowed_pools: tuple[int, ...] | None = None  # None: every server


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and the calls a second that lie within its share, over all gateways."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a controller is told once, at its start."""

    gateways: int
    index: int
    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    max_attempts: int = 1
    may_withdraw: bool = False
    may_probe: bool = False
    may_tell_peers: bool = False
    callers_obey_pause: bool = False
    max_pause_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_fraction: float = 1.0
    warm_after_ms: float = 0.0
    push_multiple: float = 1.0
    push_window_ms: float = 0.0
    release_wait_ms: float = 0.0
    resend_ms: float = 0.0
    tick_ms: float = 1.0
    list_on_request: bool = False
    own_number: int = -1


@dataclass(frozen=True, slots=True)
class Load:
    """A load report; None where the server does not tell."""

    free_lines: float | None = None
    lines: float | None = None
    active: float | None = None
    queue: float | None = None
    utilisation: float | None = None
    wait_ms: float | None = None
    set_ups_per_s: float | None = None
    hold_back: float | None = None


@dataclass(frozen=True, slots=True)
class ListEntry:
    """One server as the list has it; online_since_ms is 0 for 'long past'."""

    server: str
    number: int
    state: ServerState
    online_since_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ListNews:
    """News of the server list."""

    kind: NewsKind
    entries: tuple[ListEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A call was handed to this gateway, which now owes it one final answer."""

    call: str
    call_class: str
    valid_until_ms: float
    destination: int = -1
    lines: float = 1.0
    number_called: str = ""
    tenant: str = ""
    in_transit: bool = False
    cut_before: bool = False
    redialled: bool = False


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller is gone; nothing is owed for the call any more."""

    call: str


@dataclass(frozen=True, slots=True)
class CallStands:
    """The set-up holds; the outcome comes when the call ends."""

    call: str
    server: str
    attempt: int
    taken_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of one attempt; call_over says that nothing more is owed."""

    call: str
    server: str
    attempt: int
    outcome: Outcome
    taken_ms: float
    call_over: bool = False
    cause: Cause = Cause.NONE
    wait_ms: float = 0.0
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class ServerLooked:
    """The answer to a probe, or unasked news of free lines."""

    server: str
    outcome: Outcome
    taken_ms: float
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by this controller is due."""

    token: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another gateway."""

    sender: int
    content: bytes


Event = (
    ListNews | CallOffered | CallerLeft | CallStands | AttemptEnded | ServerLooked | TimerDue | PeerMessage
)


@dataclass(frozen=True, slots=True)
class SetUp:
    """Send a set-up; the attempt is abandoned at cut_at_ms."""

    call: str
    server: str
    cut_at_ms: float


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Stop waiting for an attempt."""

    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away, with advice on how long to hold off (0: none)."""

    call: str
    pause_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up."""

    call: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerDue after this long."""

    after_ms: float
    token: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Look at a server, at a cost in its work."""

    server: str


@dataclass(frozen=True, slots=True)
class TellPeers:
    """Send a short message to one peer, or to all (None)."""

    content: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class FollowList:
    """Ask to be told of list changes."""

    wanted: bool = field(default=True)


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask once for the whole list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = SetUp | Withdraw | Refuse | Fail | SetTimer | Probe | TellPeers | FollowList | FetchList | Log
