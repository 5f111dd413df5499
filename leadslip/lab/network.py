"""A virtual clock, and a virtual network of datagrams and connections with faults for each direction of a path.

Hosts are identified by address. The faults in effect when a datagram is sent decide whether it is blocked, lost,
delayed or duplicated. `connect` stands for a whole exchange over a TCP connection: a callback after two round trips,
or never if either direction is blocked. The order of events depends on the seed alone.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from leadslip.drill.link_faults import LinkFaults


class Clock:
    """A virtual clock in milliseconds, with a queue of timed callbacks."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.heap: list[tuple[float, int, Callable, tuple]] = []
        self.sequence = 0

    def call_at(self, due_ms: float, callback: Callable, *args: object) -> None:
        """Schedule a callback; one for a time in the past runs at the current time."""
        self.sequence += 1
        heapq.heappush(self.heap, (max(due_ms, self.now_ms), self.sequence, callback, args))

    def run(self, until_ms: float) -> None:
        """Advance the clock to `until_ms`, running the callbacks due by then in order of time."""
        heap = self.heap
        while heap and heap[0][0] <= until_ms:
            self.now_ms, _, callback, args = heapq.heappop(heap)
            callback(*args)
        self.now_ms = until_ms


@dataclass
class NetworkConditions:
    """Delays, losses and blocked paths of the network; tests and benchmarks set them directly."""

    delay_range_ms: tuple[float, float] = (0.3, 3.0)  # range of the one-way delay
    loss_rate: float = 0.0  # share of datagrams lost
    duplicate_rate: float = 0.0  # share of datagrams duplicated
    blocked: Callable[[str, str], bool] | None = None  # (source, target) -> whether the path is blocked
    # (source, target) -> extra one-way delay in ms
    extra_delay_ms: dict[tuple[str, str], float] = field(default_factory=dict)


class Network:
    """Carries datagrams and exchanges between hosts, and counts the traffic by sender."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        self.clock, self.rng, self.conditions = clock, rng, NetworkConditions()
        self.link_faults = LinkFaults(rng.getrandbits(32))  # the path faults of a scenario
        self.hosts: dict[str, Callable[[bytes], None]] = {}  # address -> function that receives a datagram
        self.datagrams: dict[str, int] = {}  # sender -> datagrams sent
        self.bytes: dict[str, int] = {}  # sender -> bytes sent in datagrams
        self.streamed: dict[str, int] = {}  # host -> half of the bytes exchanged over its connections

    def passes(self, source: str, target: str) -> bool:
        """Whether a connection can carry data from source to target at the moment."""
        blocked, muted, _ = (
            self.link_faults.connection_faults((source, target))
            if self.link_faults.faults_by_path
            else (False, False, 0.0)
        )
        return not (
            blocked
            or muted
            or (self.conditions.blocked is not None and self.conditions.blocked(source, target))
        )

    def delay(self, source: str, target: str) -> float:
        """Draw the one-way delay of a path in ms."""
        return self.rng.uniform(*self.conditions.delay_range_ms) + self.conditions.extra_delay_ms.get(
            (source, target), 0.0
        )

    def send(self, source: str, target: str, data: bytes) -> None:
        """Send one datagram, subject to the conditions and the path faults in effect."""
        self.datagrams[source] = self.datagrams.get(source, 0) + 1
        self.bytes[source] = self.bytes.get(source, 0) + len(data)
        conditions, rng = self.conditions, self.rng
        if (
            conditions.blocked is not None and conditions.blocked(source, target)
        ) or rng.random() < conditions.loss_rate:
            return
        if self.link_faults.faults_by_path:
            for delay_s, copy in self.link_faults.copies_to_deliver((source, target), data):
                due_ms = self.clock.now_ms + self.delay(source, target) + delay_s * 1000.0
                self.clock.call_at(due_ms, self._deliver, target, copy)
            return
        self.clock.call_at(self.clock.now_ms + self.delay(source, target), self._deliver, target, data)
        if conditions.duplicate_rate and rng.random() < conditions.duplicate_rate:
            self.clock.call_at(
                self.clock.now_ms + 3 * self.delay(source, target), self._deliver, target, data
            )

    def _deliver(self, target: str, data: bytes) -> None:
        receive = self.hosts.get(target)
        if receive is not None:
            receive(data)

    def connect(self, source: str, target: str, exchange: Callable[[], int]) -> None:
        """Run `exchange`, which returns the bytes exchanged, after two round trips if neither direction is blocked."""
        if not (self.passes(source, target) and self.passes(target, source)):
            return
        duration_ms = 2 * (self.delay(source, target) + self.delay(target, source))
        self.clock.call_at(self.clock.now_ms + duration_ms, self._exchange, source, target, exchange)

    def _exchange(self, source: str, target: str, exchange: Callable[[], int]) -> None:
        if self.passes(source, target) and self.passes(target, source):
            size = exchange()
            for host in (source, target):
                self.streamed[host] = self.streamed.get(host, 0) + size // 2
