"""Deterministic choice of a server in proportion to shares, call by call: stride scheduling.

Each server has a pass value that grows by 1 / share whenever it is chosen; the smallest pass is next. After any number
of calls each server has received its share to within one call for two servers, and to within a few for many: 100 calls
at 0.62 and 0.38 give 62 and 38. A choice costs O(log n) with a heap; a scan for the largest deficit costs O(n) and
makes the same choices (C. A. Waldspurger and W. E. Weihl, "Stride scheduling", MIT 1995).
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
        # The pass of the latest choice: a new server starts here, with neither credit nor debt.
        self.current_pass = 0.0
        self.insertions = 0
        self.update(shares)

    def update(self, shares: Mapping[str, float]) -> None:
        """Applies new shares, in any unit; 0 or less removes a server. A server's lead or lag scales with its stride.

        Keeps the passes across updates: shares corrected twice a second would otherwise restart the sequence each
        time and always begin with the same server.
        """
        previous_shares, self.shares = (
            self.shares,
            {name: share for name, share in shares.items() if share > 0.0},
        )
        passes = {name: pass_value for pass_value, _, name in self.heap}
        self.heap = []
        for name, share in sorted(self.shares.items()):
            # A new server starts half a stride ahead, so that the first calls follow the shares as well.
            lead = (passes[name] - self.current_pass) * previous_shares[name] if name in passes else 0.5
            self._push(self.current_pass + lead / share, name)

    def _push(self, pass_value: float, name: str) -> None:
        self.insertions += 1
        heapq.heappush(self.heap, (pass_value, self.insertions, name))

    def choose(self, usable: Callable[[str], bool]) -> str | None:
        """Returns the next server among those usable; None if there is none.

        A server that is skipped stays next in line, but its pass advances to the current one: a server that was
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
