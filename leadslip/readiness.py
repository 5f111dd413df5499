"""Readiness state of the proxy: whether it accepts clients, is out of service or is shutting down. No I/O.

The load balancer checks readiness (at the operators' address, and with SIP OPTIONS requests); operators take the
proxy out of service and put it back; SIGTERM shuts it down. All times are Unix milliseconds of the proxy's one clock.
"""

from __future__ import annotations

from dataclasses import dataclass

# After SIGTERM, SIGKILL may follow after the longest deadline, counted up to MAX_DEADLINE_MS, plus KILL_DELAY_MS.
MAX_DEADLINE_MS = 3000.0
KILL_DELAY_MS = 700.0
EXIT_MARGIN_MS = 200.0  # the process exits this long before the earliest SIGKILL


@dataclass(slots=True)
class Readiness:
    """The readiness of the proxy and the times of its drain.

    `listening`: the clients' address is bound and accepts connections. `out_of_service_since_ms`: when operators
    took the proxy out of service; 0 while in service. `shutdown_since_ms`: when SIGTERM was received; 0 before.
    `longest_deadline_ms`: the longest deadline of a class at that time.
    """

    listening: bool = False
    out_of_service_since_ms: float = 0.0
    shutdown_since_ms: float = 0.0
    longest_deadline_ms: float = 0.0

    def ready(self) -> bool:
        """Whether the proxy is listening, in service and not shutting down."""
        return self.listening and not self.out_of_service_since_ms and not self.shutdown_since_ms

    def service_state(self) -> str:
        """Return the service state: `in`, `out` (taken out of service by operators) or `ending`."""
        return "ending" if self.shutdown_since_ms else "out" if self.out_of_service_since_ms else "in"

    def draining(self) -> bool:
        """Whether client connections are to be closed once no answer is pending on them."""
        return bool(self.out_of_service_since_ms or self.shutdown_since_ms)

    def out_of_service(self, now_ms: float) -> bool:
        """Take the proxy out of service; returns whether this changed anything (a second call keeps the first time)."""
        if self.out_of_service_since_ms:
            return False
        self.out_of_service_since_ms = max(now_ms, 1.0)
        return True

    def in_service(self) -> bool:
        """Put the proxy back into service; returns whether this changed anything."""
        if not self.out_of_service_since_ms:
            return False
        self.out_of_service_since_ms = 0.0
        return True

    def begin_shutdown(self, now_ms: float, longest_deadline_ms: float = MAX_DEADLINE_MS) -> bool:
        """Begin the shutdown after SIGTERM, which is final; returns whether this is the first call."""
        if self.shutdown_since_ms:
            return False
        self.shutdown_since_ms, self.longest_deadline_ms = max(now_ms, 1.0), longest_deadline_ms
        return True

    def answer_by_ms(self, longest_deadline_ms: float) -> float:
        """Return when all requests must be answered, shortly before SIGKILL.

        `longest_deadline_ms` is the longest deadline in the current settings. SIGKILL may follow by the settings at
        SIGTERM or by those of a later reload: the earlier time counts.
        """
        longest_deadline_ms = min(self.longest_deadline_ms, longest_deadline_ms, MAX_DEADLINE_MS)
        return self.shutdown_since_ms + longest_deadline_ms + KILL_DELAY_MS - EXIT_MARGIN_MS
