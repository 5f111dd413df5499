"""Back-off of the connects to a server that has no connection. Does no I/O."""

from __future__ import annotations

import random

FIRST_INTERVAL_MS = 500.0
# The end of a call must reach its caller within 8 s, also if it can be told only on the next connection.
MAX_INTERVAL_MS = 4000.0
JITTER = (
    0.25  # largest part by which an interval is shortened at random, so that proxies do not connect in step
)


class ReconnectBackoff:
    """Says when to connect again: the interval doubles with each failure in a row, up to a maximum."""

    def __init__(self) -> None:
        self.next_interval_ms = FIRST_INTERVAL_MS
        self.due_ms = float(
            "inf"
        )  # when to connect again; infinite: no connect has failed since the last success

    def failed(self, now_ms: float) -> None:
        """Records that a connection was lost or did not come up, and plans the next connect."""
        self.due_ms = now_ms + self.next_interval_ms * (1.0 - JITTER * random.random())
        self.next_interval_ms = min(2.0 * self.next_interval_ms, MAX_INTERVAL_MS)

    def succeeded(self) -> None:
        """Records that a connection is in use; the next failure starts with the shortest interval again."""
        self.next_interval_ms = FIRST_INTERVAL_MS
        self.due_ms = float("inf")

    def is_due(self, now_ms: float) -> bool:
        """Returns whether to connect again now."""
        return now_ms >= self.due_ms
