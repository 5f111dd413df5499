"""One part of a running proxy: what it may add, and what it is told."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from leadslip.checks import Tally
from leadslip.config import Config
from leadslip.core import Engine, Watcher
from leadslip.counters import Counters
from leadslip.deadlines import Clock, Deadlines
from leadslip.filters import Filter
from leadslip.logs import Log
from leadslip.net.clients import Clients
from leadslip.net.servers import Servers
from leadslip.operators import Calls
from leadslip.readiness import Readiness


class Host(Protocol):
    """What a part may use of the proxy that it belongs to."""

    reactor: object
    conf: Config
    clock: Clock
    deadlines: Deadlines
    tally: Tally
    log: Log
    readiness: Readiness
    figures: Counters
    engine: Engine  # of calls; made after the parts
    engines: list[Engine]
    watches: Mapping[str, Watcher | None]
    clients: Clients  # made after the parts, as the servers are
    servers: Servers
    parts: Mapping[str, Part]  # those that are on, by name

    def filter(self) -> None:
        """Ask all parts for their filters anew."""


class Part:
    """One part of a running proxy; made only where its settings turn it on."""

    def __init__(self, node: Host, conf: object) -> None:
        self.node, self.conf = node, conf

    def watch(self, watches: dict[str, list[Watcher]]) -> None:
        """Add watchers of the engines, before these are made: `sip` for calls, `dns` for look-ups."""

    def facts(self) -> dict[str, str | int]:
        """What other members of the fleet are told of this one."""
        return {}

    def filters(self) -> list[Filter]:
        """Filters ahead of the decisions, made anew at each reload."""
        return []

    def figures(self) -> dict[str, Callable[[], int]]:
        """Figures that operators read besides the proxy's own."""
        return {}

    def calls(self) -> Calls:
        """Calls at the operators' address."""
        return {}

    def start(self) -> None:
        """The proxy takes clients from here on."""

    def service(self, told: str) -> None:
        """The proxy is `in` service from here on, or `out` of it as operators want, or `ending`."""

    def retuned(self, conf: object) -> None:
        """A reload has been taken."""
        self.conf = conf

    def ended_elsewhere(self, call: str) -> None:
        """A server has ended a call that the engine does not hold."""

    def close(self) -> None:
        """The proxy ends."""
