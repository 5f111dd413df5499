"""Settings, events and actions of the Controller in leadslip/choice.py.

All times are in milliseconds on the gateway's clock. A server is a core switch (or a pool of agents), a call is
one request, and an attempt is one set-up of a call at one server; attempts of a call are numbered from 0.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from leadslip.errors import OperatorError


class SettingsError(OperatorError, ValueError):
    """The Controller can't use the settings; the error message names the field."""

    code, status = "decisions.settings", 400
    action = (
        "Correct the value of the field named in the proxy's settings; "
        "a running proxy keeps its current settings."
    )


class Repeat(Enum):
    """Whether set-ups of a class may be sent again."""

    FREE = "free"  # any number of times
    DEDUPED = "deduped"  # the servers of one group discard duplicates
    ONCE = "once"  # only if no earlier attempt can have been processed


class UpdateKind(Enum):
    """How a server list update relates to the current list."""

    CHANGES = "changes"  # a delta
    SNAPSHOT = "whole"  # a snapshot
    CACHED = "cached"  # a snapshot that may be out of date
    FAILED = "failed"  # the list could not be obtained


class ServerState(Enum):
    """State of a server in the server list."""

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
    """Why a server refused an attempt."""

    NONE = "none"
    NO_LINE = "no_line"
    BOUNCED = "bounced"
    PROCESSOR_FULL = "processor_full"
    NUMBER_BUSY = "number_busy"


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of calls and its worth, deadlines and repetition rule."""

    name: str
    worth: float
    late_worth: float
    aim_ms: float
    deadline_ms: float
    repeat: Repeat = Repeat.FREE
    allowed_pools: tuple[int, ...] | None = None  # server numbers; None: every server


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its quota, in calls per second over all gateways."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a Controller; adopted at its start and whenever they change."""

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
    """A load report; None for each value that the server does not report."""

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
    """One server in the server list; online_since_ms is its start time, 0 for long ago."""

    server: str
    number: int
    state: ServerState
    online_since_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerListUpdate:
    """The server list has changed, or could not be obtained."""

    kind: UpdateKind
    entries: tuple[ListEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A call was offered to this gateway, which must give it exactly one final answer."""

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
    """The caller has abandoned the call, which needs no answer any more."""

    call: str


@dataclass(frozen=True, slots=True)
class CallEstablished:
    """The call is established; AttemptEnded follows when it ends."""

    call: str
    server: str
    attempt: int
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """One attempt has ended; call_over: the call has ended as well and needs no answer."""

    call: str
    server: str
    attempt: int
    outcome: Outcome
    elapsed_ms: float
    call_over: bool = False
    cause: Cause = Cause.NONE
    wait_ms: float = 0.0
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A load report: the answer to a probe, or an unsolicited report of free lines."""

    server: str
    outcome: Outcome
    elapsed_ms: float
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer that this Controller set has expired."""

    token: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    content: bytes


Event = (
    ServerListUpdate
    | CallOffered
    | CallerLeft
    | CallEstablished
    | AttemptEnded
    | LoadReported
    | TimerDue
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class SetUp:
    """Send a set-up; the attempt times out at timeout_at_ms."""

    call: str
    server: str
    timeout_at_ms: float


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Cancel an attempt."""

    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused, with the time after which the caller may retry (0: none given)."""

    call: str
    pause_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed."""

    call: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerDue with this token after the given time."""

    after_ms: float
    token: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a server for a load report; this costs the server some work."""

    server: str


@dataclass(frozen=True, slots=True)
class SendToPeers:
    """Send a short message to one peer, or to all peers (None)."""

    content: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class SubscribeList:
    """Subscribe to updates of the server list, or cancel the subscription."""

    enabled: bool = field(default=True)


@dataclass(frozen=True, slots=True)
class FetchList:
    """Request one snapshot of the server list."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the operators' log."""

    text: str


Action = SetUp | Withdraw | Refuse | Fail | SetTimer | Probe | SendToPeers | SubscribeList | FetchList | Log
