"""Whether the proxy takes clients: in or out of service, ending or not, and since when. No I/O.

The front asks whether the proxy is ready (on the operators' address, and by the SIP test); operators send it out of
service and take it back; SIGTERM ends it. All times are Unix milliseconds of the proxy's one clock.
"""

from __future__ import annotations

from dataclasses import dataclass

LONGEST_COUNTED_MS = 3000.0  # SIGKILL may follow after the longest deadline, counted as this at the most ...
KILLED_AFTER_MS = 700.0  # ... and so much more
MARGIN_MS = 200.0  # to be out before it


@dataclass(slots=True)
class Readiness:
    """The answer to 'are you ready?', and the drain's timeline.

    `listening`: the clients' address is bound and taken from. `out_ms`: when operators sent it out of service; 0
    while in service. `ending_ms`: when it was told to end (SIGTERM); 0 while it is not. `longest_ms`: the longest
    deadline of a class at that time.
    """

    listening: bool = False
    out_ms: float = 0.0
    ending_ms: float = 0.0
    longest_ms: float = 0.0

    def ready(self) -> bool:
        """Yes as soon as it takes clients, and while it is in service and not ending."""
        return self.listening and not self.out_ms and not self.ending_ms

    def service(self) -> str:
        """`in` service, `out` of it as operators want, or `ending`."""
        return "ending" if self.ending_ms else "out" if self.out_ms else "in"

    def draining(self) -> bool:
        """Whether clients are to be sent away: connections are closed once they owe nothing."""
        return bool(self.out_ms or self.ending_ms)

    def out_of_service(self, now_ms: float) -> bool:
        """Operators send clients away; tells whether this changed anything (a second call keeps the first time)."""
        if self.out_ms:
            return False
        self.out_ms = max(now_ms, 1.0)
        return True

    def in_service(self) -> bool:
        """Operators take clients again; tells whether this changed anything."""
        if not self.out_ms:
            return False
        self.out_ms = 0.0
        return True

    def end(self, now_ms: float, longest_ms: float = LONGEST_COUNTED_MS) -> bool:
        """SIGTERM: not ready ever again; tells whether this is the first time."""
        if self.ending_ms:
            return False
        self.ending_ms, self.longest_ms = max(now_ms, 1.0), longest_ms
        return True

    def last_ms(self, longest_ms: float) -> float:
        """When all must be answered, shortly before the kill; by the longest deadline as the settings are now.

        The kill goes by the settings at SIGTERM or by those of a reload since: the earlier one counts.
        """
        longest_ms = min(self.longest_ms, longest_ms, LONGEST_COUNTED_MS)
        return self.ending_ms + longest_ms + KILLED_AFTER_MS - MARGIN_MS
