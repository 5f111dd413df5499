"""Allowances: so much at once after a calm, so much in a time from then on. No I/O, no clock of its own.

What members do because something is wrong (ask relays, pass news, compare tables) is drawn from one, so that trouble
makes such work wait, and traffic does not grow with it.
"""

from __future__ import annotations


class Allowance:
    """`rate` units come back each millisecond, up to `most`."""

    __slots__ = ("rate", "most", "left", "filled_ms")

    def __init__(self, rate: float, most: float) -> None:
        self.rate, self.most = rate, most
        self.left, self.filled_ms = most, 0.0

    def now(self, now_ms: float) -> float:
        """What is left; below nought where more was spent than there was."""
        self.left = min(self.most, self.left + (now_ms - self.filled_ms) * self.rate)
        self.filled_ms = now_ms
        return self.left

    def spend(self, units: float) -> None:
        """Take so much, whether it is there or not."""
        self.left -= units
