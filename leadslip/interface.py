"""Settings, events and actions of the Controller in leadslip/controller.py.

All times are in milliseconds on the gateway's clock. A gateway is one proxy. A server is a setup server: a core
switch or a pool of agents; it has an id, and a number by which calls name their first choice. A call is one request
of a caller, and an attempt is one set-up of a call at one server; attempts of a call are numbered from 0.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from leadslip.errors import OperatorError


class SettingsError(OperatorError, ValueError):
    """A value of the Controller's settings is out of range; the error message names the field."""

    code, status = "decisions.settings", 400
    action = (
        "Correct the value of the named field in the proxy's settings; "
        "a running proxy keeps its current settings."
    )


class Repeat(Enum):
    """Whether set-ups of a class may be sent again."""

    FREE = "free"  # may be sent again even if an earlier attempt may have been processed
    DEDUPED = "deduped"  # the servers of one group discard duplicates; the Controller treats it like ONCE
    ONCE = "once"  # may be sent again only if no earlier attempt can have been processed


class UpdateKind(Enum):
    """How a server list update relates to the current list."""

    CHANGES = "changes"  # entries that were added or have changed; all others stay
    SNAPSHOT = "whole"  # the complete list; servers that it lacks are removed
    CACHED = "cached"  # a complete list that may be out of date
    FAILED = "failed"  # the list could not be obtained; the current one stays


class ServerState(Enum):
    """State of a server in the server list."""

    READY = "ready"
    DRAINING = "draining"  # gets no new set-ups; its calls go on
    GONE = "gone"  # removed from service


class Outcome(Enum):
    """How an attempt, or the call established by it, ended."""

    SERVED = "served"  # the call was established and has ended normally
    ERROR = "error"  # the server failed the set-up
    FULL = "full"  # the server refused the set-up before it processed it
    TIMED_OUT = "timed_out"  # no answer by the time-out
    NO_CONNECTION = "no_connection"  # no connection to the server could be opened
    CUT = "cut"  # the connection or the call was lost
    WITHDRAWN = "withdrawn"  # cancelled by the gateway or its caller
    NOT_SENT = "not_sent"  # the set-up was not sent, or its server discarded it unprocessed


class Cause(Enum):
    """Why a server refused an attempt."""

    NONE = "none"  # no cause given, or not refused
    NO_LINE = "no_line"  # too few free lines
    BOUNCED = "bounced"  # turned back, for example because of overload beyond the server
    PROCESSOR_FULL = "processor_full"  # the server's processor is overloaded
    NUMBER_BUSY = "number_busy"  # all lines of the number called are busy


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of calls and its worth, deadlines and repetition rule."""

    name: str
    worth: float  # of a call established within aim_ms; relative to the other classes
    late_worth: float  # factor on the worth of a call that is established later, or redialled
    aim_ms: float  # target for the time until a call is established
    deadline_ms: float  # time after which callers no longer wait for an answer
    repeat: Repeat = Repeat.FREE
    allowed_pools: tuple[int, ...] | None = None  # server numbers; None: every server


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its quota, in calls per second over all gateways."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a Controller, applied at its start and whenever they change.

    `index`, `may_withdraw`, `may_probe`, `may_tell_peers`, `push_window_ms` and `resend_ms` are read from the
    configuration but used by neither the Controller nor the engine.
    """

    gateways: int  # number of gateways that share the servers
    index: int  # of this gateway among them, from 0
    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # factor on the worth of a tenant's calls beyond its quota
    max_attempts: int = 1  # per call
    may_withdraw: bool = False  # whether attempts may be cancelled
    may_probe: bool = False  # whether servers may be probed
    may_tell_peers: bool = False  # whether messages to other gateways are permitted
    callers_obey_pause: bool = False  # whether callers wait for the time given in a refusal
    max_pause_ms: float = 0.0  # the longest time given
    drain_grace_ms: float = 0.0  # time for which set-ups to a draining server are still permitted
    cold_fraction: float = 1.0  # fraction of its full load that a server can take right after its start
    warm_after_ms: float = 0.0  # time after its start at which a server can take its full load
    push_multiple: float = 1.0  # multiple of a cold server's capacity that overloads it within the window
    push_window_ms: float = 0.0  # length of the window over which set-ups are counted for this
    release_wait_ms: float = 0.0  # wait for the next attempt after one that was cut, timed out or withdrawn
    resend_ms: float = 0.0
    tick_ms: float = 1.0  # resolution of timers; attempts time out two ticks before the caller's deadline
    list_on_request: bool = False  # whether the server list must be subscribed to
    own_number: int = -1  # a server number that gets no set-ups from this gateway; -1: none

    def longest_deadline_ms(self) -> float:
        """The longest deadline of all classes."""
        return max(call_class.deadline_ms for call_class in self.classes)


@dataclass(frozen=True, slots=True)
class Load:
    """A load report; None for each value that the server does not report.

    The Controller uses `free_lines` and one of `wait_ms`, `utilisation` and `queue`.
    """

    free_lines: float | None = None
    lines: float | None = None  # in all
    active: float | None = None  # calls or set-ups in progress
    queue: float | None = None  # set-ups waiting
    utilisation: float | None = None  # of the processor; 1.0: saturated
    wait_ms: float | None = None  # mean waiting time of set-ups
    set_ups_per_s: float | None = None  # `max_rate` of a report
    hold_back: float | None = None  # `reduce` of a report


@dataclass(frozen=True, slots=True)
class ListEntry:
    """One server in the server list; `online_since_ms` is its start time, 0 if that is long ago or unknown."""

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
    valid_until_ms: float  # the caller's deadline
    destination: int = -1  # number of the server that is the call's first choice; -1: none
    lines: float = 1.0  # that the call takes
    number_called: str = ""
    tenant: str = ""
    in_transit: bool = False  # only its destination may set it up
    cut_before: bool = False  # it replaces an established call that was cut
    redialled: bool = False  # the caller repeats a call that was not established


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
    elapsed_ms: float  # since the set-up was sent


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """One attempt, or the call established by it, has ended."""

    call: str
    server: str
    attempt: int
    outcome: Outcome
    elapsed_ms: float  # since the set-up was sent
    call_over: bool = False  # the call has ended as well and needs no answer
    cause: Cause = Cause.NONE
    wait_ms: float = 0.0  # reported by a server whose processor is full; not used by the Controller
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
    """A message from another gateway; the Controller ignores it."""

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
