"""Named counters of the process, and invariant checks: asserted by default, counted under `python -O`."""

from __future__ import annotations

from collections import Counter


class Metrics:
    """Named counters of one process, read by the log and by the OTLP export."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Increments a counter; violated invariants are counted by `check_invariant` instead."""
        self.counts[name] += by

    def check_invariant(self, holds: bool, name: str) -> bool:
        """Asserts an invariant; under `python -O`, counts a violation as `broken.NAME` instead.

        Returns whether it holds, so that callers can recover.
        """
        if __debug__:
            assert holds, name
        elif not holds:
            self.counts["broken." + name] += 1
        return holds
