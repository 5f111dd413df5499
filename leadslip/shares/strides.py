"""Choosing a server by shares, call by call, without chance: stride scheduling.

Each server has a pass that grows by 1 / share whenever it is chosen; the least pass is next. After any number of
calls each server has had its part of them to within one call where two share, and to within a few where many do:
100 calls at 0.62 and 0.38 give 62 and 38. The choice costs O(log n), by a heap; a plain scan for the largest deficit
costs O(n) and chooses alike (C. A. Waldspurger and W. E. Weihl, "Stride scheduling", MIT 1995).
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping


class Strides:
    """The servers of one district, with the shares that they are to have."""

    __slots__ = ("shares", "heap", "at", "order")

    def __init__(self, shares: Mapping[str, float]) -> None:
        self.shares: dict[str, float] = {}
        self.heap: list[tuple[float, int, str]] = []  # pass, order of entry, server
        self.at = 0.0  # the pass of the latest choice: newcomers start there, and owe or are owed nothing
        self.order = 0
        self.change(shares)

    def change(self, shares: Mapping[str, float]) -> None:
        """Take new shares, above nought and in any unit; what a server is ahead or behind scales with its stride.

        Guards against a change that starts all anew: shares corrected twice a second would then always begin with the
        same server.
        """
        before, self.shares = self.shares, {name: share for name, share in shares.items() if share > 0.0}
        held = {name: mark for mark, _, name in self.heap}
        self.heap = []
        for name, share in sorted(self.shares.items()):
            # A newcomer begins half a stride on: the first calls then go by share as well.
            ahead = (held[name] - self.at) * before[name] if name in held else 0.5
            self._push(self.at + ahead / share, name)

    def _push(self, mark: float, name: str) -> None:
        self.order += 1
        heapq.heappush(self.heap, (mark, self.order, name))

    def choose(self, usable: Callable[[str], bool]) -> str | None:
        """The server whose turn it is among those usable; None where there is none.

        One that is passed over keeps its place for the next call, but is owed no more than one stride later on: a
        server that was away for a minute must not get all calls of the next.
        """
        passed: list[str] = []
        found = None
        while self.heap:
            mark, _, name = heapq.heappop(self.heap)
            if usable(name):
                found = name
                self.at = max(self.at, mark)
                self._push(mark + 1.0 / self.shares[name], name)
                break
            passed.append(name)
        for name in passed:
            self._push(self.at, name)
        return found
