"""Token bucket: limits a rate of work, with a burst. Pure: time is passed in.

The work that members do because of faults (asking relays, disseminating updates, syncing tables) takes its tokens from
one, so that under faults such work is delayed and traffic does not grow.
"""

from __future__ import annotations


class TokenBucket:
    """Token bucket that gains `rate` tokens per millisecond, up to `capacity`."""

    __slots__ = ("rate", "capacity", "tokens", "refilled_ms")

    def __init__(self, rate: float, capacity: float) -> None:
        self.rate, self.capacity = rate, capacity
        self.tokens, self.refilled_ms = capacity, 0.0

    def available(self, now_ms: float) -> float:
        """Refills the bucket and returns the tokens left; negative if more were spent than available."""
        self.tokens = min(self.capacity, self.tokens + (now_ms - self.refilled_ms) * self.rate)
        self.refilled_ms = now_ms
        return self.tokens

    def spend(self, tokens: float) -> None:
        """Takes tokens, even if fewer are available."""
        self.tokens -= tokens
