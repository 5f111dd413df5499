"""A virtual clock, and a network of datagrams and connections whose every direction can be broken. Seeded.

Hosts are named by address. What one sends to another passes the links' state of that moment: cut, lost by chance,
late, twice. A connection (`connect`) is told to the caller's host as a callback after a round trip, or never, if
either direction is cut. The order of events depends on the seed alone.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from leadslip.drill.ways import Ways


class Clock:
    """Virtual milliseconds and what is to happen at them."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.heap: list[tuple[float, int, Callable, tuple]] = []
        self.order = 0

    def at(self, due_ms: float, work: Callable, *what: object) -> None:
        self.order += 1
        heapq.heappush(self.heap, (max(due_ms, self.now_ms), self.order, work, what))

    def run(self, until_ms: float) -> None:
        """Let time pass; what is due happens in order."""
        heap = self.heap
        while heap and heap[0][0] <= until_ms:
            self.now_ms, _, work, what = heapq.heappop(heap)
            work(*what)
        self.now_ms = until_ms


@dataclass
class Links:
    """The state of all ways between hosts."""

    late_ms: tuple[float, float] = (0.3, 3.0)  # least and most of one way
    lost: float = 0.0  # share of datagrams lost
    twice: float = 0.0  # share that come twice
    cut: Callable[[str, str], bool] | None = None  # whether nothing passes from one to another now
    slow: dict[tuple[str, str], float] = field(default_factory=dict)  # ways that take so much longer


class Network:
    """Carries datagrams between hosts, and counts them by sender."""

    def __init__(self, clock: Clock, draw: Random) -> None:
        self.clock, self.draw, self.links = clock, draw, Links()
        self.ways = Ways(draw.getrandbits(32))  # what a scenario breaks, as in the drill
        self.hosts: dict[str, Callable[[bytes], None]] = {}
        self.datagrams: dict[str, int] = {}
        self.bytes: dict[str, int] = {}
        self.streamed: dict[str, int] = {}

    def passes(self, source: str, target: str) -> bool:
        """Whether a connection's way is open."""
        cut, mute, _ = self.ways.stream((source, target)) if self.ways.held else (False, False, 0.0)
        return not (cut or mute or (self.links.cut is not None and self.links.cut(source, target)))

    def delay(self, source: str, target: str) -> float:
        return self.draw.uniform(*self.links.late_ms) + self.links.slow.get((source, target), 0.0)

    def send(self, source: str, target: str, data: bytes) -> None:
        """One datagram."""
        self.datagrams[source] = self.datagrams.get(source, 0) + 1
        self.bytes[source] = self.bytes.get(source, 0) + len(data)
        links, draw = self.links, self.draw
        if (links.cut is not None and links.cut(source, target)) or draw.random() < links.lost:
            return
        if self.ways.held:
            for late_s, copy in self.ways.datagram((source, target), data):
                due_ms = self.clock.now_ms + self.delay(source, target) + late_s * 1000.0
                self.clock.at(due_ms, self._arrive, target, copy)
            return
        self.clock.at(self.clock.now_ms + self.delay(source, target), self._arrive, target, data)
        if links.twice and draw.random() < links.twice:
            self.clock.at(self.clock.now_ms + 3 * self.delay(source, target), self._arrive, target, data)

    def _arrive(self, target: str, data: bytes) -> None:
        taker = self.hosts.get(target)
        if taker is not None:
            taker(data)

    def connect(self, source: str, target: str, work: Callable[[], int]) -> None:
        """An exchange over TCP, done in one piece after two round trips; `work` gives the bytes it took."""
        if not (self.passes(source, target) and self.passes(target, source)):
            return
        spent_ms = 2 * (self.delay(source, target) + self.delay(target, source))
        self.clock.at(self.clock.now_ms + spent_ms, self._exchange, source, target, work)

    def _exchange(self, source: str, target: str, work: Callable[[], int]) -> None:
        if self.passes(source, target) and self.passes(target, source):
            size = work()
            for host in (source, target):
                self.streamed[host] = self.streamed.get(host, 0) + size // 2
