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


class Host(Protocol):
    """The proxy as its parts see it."""

    reactor: object
    conf: Config
    clock: Clock
    deadlines: Deadlines
    metrics: Metrics
    log: Log
    readiness: Readiness
    counters: Counters
    engine: Engine  # of calls; created after the parts
    engines: list[Engine]
    observers: Mapping[str, Observer | None]
    clients: Clients  # created after the parts, as the servers are
    servers: Servers
    parts: Mapping[str, Part]  # the parts that are on, by name

    def rebuild_filters(self) -> None:
        """Rebuilds the filter chain from the filters of all parts."""


class Part:
    """One part of a running proxy; created only where its settings enable it."""

    def __init__(self, node: Host, conf: object) -> None:
        self.node, self.conf = node, conf

    def add_observers(self, observers: dict[str, list[Observer]]) -> None:
        """Adds observers of the engines, before these are created: `sip` for calls, `dns` for look-ups."""

    def member_metadata(self) -> dict[str, str | int]:
        """The part's contribution to this member's metadata in the fleet."""
        return {}

    def filters(self) -> list[Filter]:
        """Filters that run before the decisions; created again at each reload."""
        return []

    def gauges(self) -> dict[str, Callable[[], int]]:
        """Gauges that are reported to operators beside the proxy's own, by name."""
        return {}

    def endpoints(self) -> Endpoints:
        """Endpoints at the operators' address, by name."""
        return {}

    def start(self) -> None:
        """Called when the proxy starts to accept clients."""

    def service_state_changed(self, state: str) -> None:
        """Called when the service state changes: `in` service, `out` of service for operators, or `ending`."""

    def settings_reloaded(self, conf: object) -> None:
        """Called with the new settings after a reload."""
        self.conf = conf

    def ended_elsewhere(self, call: str) -> None:
        """Called when a server has ended a call that this engine does not have."""

    def close(self) -> None:
        """Called when the proxy shuts down."""
