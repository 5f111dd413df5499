"""The base of the optional parts of a running proxy: what a part may add, and its life-cycle callbacks."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from leadslip.config import Config
from leadslip.core import Engine, Observer
from leadslip.counters import Counters
from leadslip.deadlines import Clock, Deadlines
from leadslip.filters import Filter
from leadslip.logs import Log
from leadslip.metrics import Metrics
from leadslip.net.clients import Clients
from leadslip.net.servers import Servers
from leadslip.operators import Endpoints
from leadslip.readiness import Readiness


class Proxy(Protocol):
    """The proxy as its parts see it."""

    reactor: object
    conf: Config
    clock: Clock
    deadlines: Deadlines
    metrics: Metrics
    log: Log
    readiness: Readiness

    # Created after the parts, so not available in their constructors.
    counters: Counters
    engine: Engine  # the engine of calls
    engines: list[Engine]  # the engine of calls, and those that parts have started
    observers: Mapping[str, Observer | None]  # of the engines of calls (`sip`) and of ENUM look-ups (`dns`)
    clients: Clients
    servers: Servers

    parts: Mapping[str, Part]  # the parts that are on, by name

    def rebuild_filters(self) -> None:
        """Rebuilds the filter chain from the filters of all parts."""


class Part:
    """Base of the parts; a part is created only if its settings enable it, and overrides what it needs."""

    def __init__(self, node: Proxy, conf: object) -> None:
        self.node, self.conf = node, conf

    def add_observers(self, observers: dict[str, list[Observer]]) -> None:
        """Adds observers of the engines that are created later: `sip` for calls, `dns` for ENUM look-ups."""

    def member_metadata(self) -> dict[str, str | int]:
        """The part's contribution to this member's metadata in the fleet."""
        return {}

    def filters(self) -> list[Filter]:
        """Filters of requests, applied before the Controller decides; created again at each reload."""
        return []

    def gauges(self) -> dict[str, Callable[[], int]]:
        """Functions that read the part's gauges, by the name under which operators see them."""
        return {}

    def endpoints(self) -> Endpoints:
        """Endpoints at the operators' address, by name."""
        return {}

    def start(self) -> None:
        """Called when the proxy starts to accept clients."""

    def service_state_changed(self, state: str) -> None:
        """Called when the service state changes: `in`, `out` (taken out of service by operators) or `ending`."""

    def settings_reloaded(self, conf: object) -> None:
        """Called after a reload with the part's new settings."""
        self.conf = conf

    def on_unknown_call_ended(self, call: str) -> None:
        """Called with the id of a call that a server has ended and that this proxy's engine does not have."""

    def close(self) -> None:
        """Called when the proxy shuts down."""
