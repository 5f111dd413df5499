"""Readiness state of the proxy: whether it accepts clients, is out of service or shuts down. Does no I/O.

The load balancer checks readiness (at the operators' address, and with SIP OPTIONS requests); operators take the
proxy out of service and put it back; SIGTERM shuts it down. All times are Unix milliseconds of the proxy's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

# SIGKILL may follow SIGTERM after the longest deadline of a class, but at most MAX_DEADLINE_MS, plus KILL_DELAY_MS.
MAX_DEADLINE_MS = 3000.0
KILL_DELAY_MS = 700.0
EXIT_MARGIN_MS = 200.0  # the process exits this long before the earliest SIGKILL
# In this time before the exit new requests are refused, so that connections become free and close.
LAST_REQUEST_BEFORE_EXIT_MS = 400.0
# By the protocol, 4 s after a proxy is taken out of service no connection may be idle or have an open request of the
# last 2 s.
REFUSE_AFTER_MS = 1900.0  # out of service for this long, the proxy refuses new requests
OVERDUE_AFTER_MS = (
    3800.0  # out of service for this long, a partial message or unsent data keeps no connection open
)


@dataclass(slots=True)
class Readiness:
    """The readiness of the proxy, and since when it is out of service or shuts down.

    `listening`: the clients' address is bound and accepts connections. `out_of_service_since_ms`: when operators
    took the proxy out of service; 0 while in service. `shutdown_since_ms`: when SIGTERM was received; 0 before.
    `longest_deadline_ms`: the longest deadline of a class when SIGTERM was received.
    """

    listening: bool = False
    out_of_service_since_ms: float = 0.0
    shutdown_since_ms: float = 0.0
    longest_deadline_ms: float = 0.0

    def ready(self) -> bool:
        """Whether the proxy is listening, in service and not shutting down."""
        return self.listening and not self.out_of_service_since_ms and not self.shutdown_since_ms

    def service_state(self) -> str:
        """Return `in` (in service), `out` (taken out of service by operators) or `ending` (shutting down)."""
        return "ending" if self.shutdown_since_ms else "out" if self.out_of_service_since_ms else "in"

    def client_connections_draining(self) -> bool:
        """Whether client connections are to be closed once no answer is pending on them."""
        return bool(self.out_of_service_since_ms or self.shutdown_since_ms)

    def draining_since_ms(self) -> float:
        """When the proxy was taken out of service or, if it is in service, began to shut down."""
        return self.out_of_service_since_ms or self.shutdown_since_ms

    def refuses_while_out_of_service(self, now_ms: float) -> bool:
        """Whether the proxy has been out of service for so long that it refuses new requests."""
        return bool(self.out_of_service_since_ms) and now_ms - self.out_of_service_since_ms >= REFUSE_AFTER_MS

    def drain_overdue(self, now_ms: float) -> bool:
        """Whether the proxy has been out of service for so long that only requests and calls keep connections open."""
        return (
            bool(self.out_of_service_since_ms) and now_ms - self.out_of_service_since_ms >= OVERDUE_AFTER_MS
        )

    def exit_is_near(self, now_ms: float, longest_deadline_ms: float) -> bool:
        """Whether the shutdown is so close to its end that new requests are refused."""
        answer_by_ms = self.answer_by_ms(longest_deadline_ms)
        return bool(self.shutdown_since_ms) and now_ms >= answer_by_ms - LAST_REQUEST_BEFORE_EXIT_MS

    def take_out_of_service(self, now_ms: float) -> bool:
        """Take the proxy out of service, unless it already is; returns whether this changed anything."""
        if self.out_of_service_since_ms:
            return False
        self.out_of_service_since_ms = max(now_ms, 1.0)
        return True

    def return_to_service(self) -> bool:
        """Put the proxy back into service, unless it already is; returns whether this changed anything."""
        if not self.out_of_service_since_ms:
            return False
        self.out_of_service_since_ms = 0.0
        return True

    def begin_shutdown(self, now_ms: float, longest_deadline_ms: float = MAX_DEADLINE_MS) -> bool:
        """Begin the shutdown at SIGTERM, which can't be undone; returns whether this is the first call."""
        if self.shutdown_since_ms:
            return False
        self.shutdown_since_ms, self.longest_deadline_ms = max(now_ms, 1.0), longest_deadline_ms
        return True

    def answer_by_ms(self, longest_deadline_ms: float) -> float:
        """Return the time by which all requests must be answered: EXIT_MARGIN_MS before the earliest SIGKILL.

        `longest_deadline_ms` is the longest deadline in the current settings. A reload may have changed them since
        SIGTERM, and the time of SIGKILL may follow from either version, so the shorter deadline counts.
        """
        longest_deadline_ms = min(self.longest_deadline_ms, longest_deadline_ms, MAX_DEADLINE_MS)
        return self.shutdown_since_ms + longest_deadline_ms + KILL_DELAY_MS - EXIT_MARGIN_MS
