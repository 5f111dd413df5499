"""Whether the proxy takes clients: in or out of service, ending or not, and since when. No I/O.

The front asks whether the proxy is ready (on the operators' address, and by the SIP test); operators send it out of
service and take it back; SIGTERM ends it. All times are Unix milliseconds of the proxy's one clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Readiness:
    """The answer to 'are you ready?', and the drain's timeline.

    `listening`: the clients' address is bound and taken from. `out_ms`: when operators sent it out of service; 0
    while in service. `ending_ms`: when it was told to end (SIGTERM); 0 while it is not.
    """

    listening: bool = False
    out_ms: float = 0.0
    ending_ms: float = 0.0

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

    def end(self, now_ms: float) -> bool:
        """SIGTERM: not ready ever again; tells whether this is the first time."""
        if self.ending_ms:
            return False
        self.ending_ms = max(now_ms, 1.0)
        return True
