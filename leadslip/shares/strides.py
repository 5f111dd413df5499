"""Deterministic choice of a server in proportion to shares, call by call: stride scheduling.

Each server has a pass value, which grows by its stride, 1 / share, whenever the server is chosen. The server of the
smallest pass is next. After any number of calls, the calls of a server differ from its share of them by at most one
with two servers, and by a few with many: 100 calls at 0.62 and 0.38 give 62 and 38. A choice from the heap costs
O(log n); a scan for the server that is furthest behind its share would make the same choices in O(n).

C. A. Waldspurger and W. E. Weihl, "Stride scheduling", MIT 1995.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping


class Strides:
    """Stride scheduler over the servers of one district."""

    __slots__ = ("shares", "heap", "current_pass", "insertions")

    def __init__(self, shares: Mapping[str, float]) -> None:
        self.shares: dict[str, float] = {}
        self.heap: list[tuple[float, int, str]] = []  # pass, insertion order, server
        # Pass of the latest choice. New servers start near it, so that they do not catch up on earlier calls.
        self.current_pass = 0.0
        self.insertions = 0  # orders servers of equal pass
        self.update(shares)

    def update(self, shares: Mapping[str, float]) -> None:
        """Applies new shares, in any unit; a share of 0 or less removes the server.

        Keeps each server's distance from the current pass, scaled to its new stride. If updates restarted the
        sequence, shares that are corrected twice a second would always begin with the same server.
        """
        previous_shares, self.shares = (
            self.shares,
            {name: share for name, share in shares.items() if share > 0.0},
        )
        passes = {name: pass_value for pass_value, _, name in self.heap}
        self.heap = []
        for name, share in sorted(self.shares.items()):
            # A new server is next due after half a stride, so that the first calls follow the shares as well.
            lead = (passes[name] - self.current_pass) * previous_shares[name] if name in passes else 0.5
            self._push(self.current_pass + lead / share, name)

    def _push(self, pass_value: float, name: str) -> None:
        self.insertions += 1
        heapq.heappush(self.heap, (pass_value, self.insertions, name))

    def choose(self, usable: Callable[[str], bool]) -> str | None:
        """Returns the next usable server; None if there is none.

        A skipped server is among the next to be chosen, but its pass is raised to the current one: a server that was
        unusable for a minute must not receive all calls of the next minute.
        """
        skipped: list[str] = []
        chosen = None
        while self.heap:
            pass_value, _, name = heapq.heappop(self.heap)
            if usable(name):
                chosen = name
                self.current_pass = max(self.current_pass, pass_value)
                self._push(pass_value + 1.0 / self.shares[name], name)
                break
            skipped.append(name)
        for name in skipped:
            self._push(self.current_pass, name)
        return chosen
