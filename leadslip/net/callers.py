"""Which inbound connections lead to callers, by what their peers have done."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container
from enum import IntEnum

from leadslip.net.inbound import InboundConnection


class CallerEvidence(IntEnum):
    """What suggests that the peer of a connection is a caller, which handles releases; in rising order."""

    NONE = 0  # it may only poll for readiness, for example
    SET_UP = 1  # it has sent a set-up; these may all have been refused
    ESTABLISHED = 2  # a call was established on the connection
    ACKNOWLEDGED = 3  # it has acknowledged a release


class CallerConnections:
    """The open connections whose peers have done what callers do, ordered by the strongest evidence of each.

    Finding the best one takes time for those excluded alone, however many there are.
    """

    def __init__(self) -> None:
        self._evidence: dict[InboundConnection, CallerEvidence] = {}
        # By evidence, the strongest first; the connection that last gave any is at the end of its group.
        self._groups: dict[CallerEvidence, OrderedDict[InboundConnection, None]] = {
            evidence: OrderedDict() for evidence in sorted(CallerEvidence, reverse=True)
        }

    def evidence(self, connection: InboundConnection) -> CallerEvidence:
        """Returns the strongest evidence that a connection has given."""
        return self._evidence.get(connection, CallerEvidence.NONE)

    def is_proven(self, connection: InboundConnection) -> bool:
        """Returns whether the peer of a connection has shown to be a caller by more than a set-up."""
        return self.evidence(connection) >= CallerEvidence.ESTABLISHED

    def add(self, connection: InboundConnection, evidence: CallerEvidence) -> None:
        """Records evidence given by an open connection."""
        strongest = max(evidence, self.evidence(connection))
        self.remove(connection)
        self._evidence[connection] = strongest
        self._groups[strongest][connection] = None

    def remove(self, connection: InboundConnection) -> None:
        """Forgets a connection."""
        evidence = self._evidence.pop(connection, None)
        if evidence is not None:
            del self._groups[evidence][connection]

    def best(self, exclude: Container[InboundConnection]) -> InboundConnection | None:
        """Returns the connection with the strongest evidence, the latest first; None if there is no other."""
        for group in self._groups.values():
            for connection in reversed(group):
                if connection not in exclude:
                    return connection
        return None
