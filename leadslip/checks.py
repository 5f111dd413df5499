"""What must hold: asserted in debug builds, counted in release builds (python -O)."""

from __future__ import annotations

from collections import Counter


class Tally:
    """Named counters of one process, read by the log and by the OTLP export."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Count something that may happen in service."""
        self.counts[name] += by

    def must(self, holds: bool, name: str) -> bool:
        """Assert what must hold, or count its breach; tells whether it holds, so that callers can recover."""
        if __debug__:
            assert holds, name
        elif not holds:
            self.counts["broken." + name] += 1
        return holds
