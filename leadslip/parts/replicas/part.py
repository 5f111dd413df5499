"""Replication wired into a proxy: its established calls and learned rates are replicated, and recovered on restart."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from leadslip import interface
from leadslip.core import Observer
from leadslip.errors import OperatorError
from leadslip.fleet.replicas.member import ESTABLISHED, LEARNED, Replicas
from leadslip.operators import Answer, Endpoint, Endpoints, OperatorRequest, as_json
from leadslip.parts.part import Part
from leadslip.request import Attempt, Request

LEARNED_INTERVAL_MS = 2000.0  # between two checks of the learned rates
RATES = "rates"  # the key of the learned rates
# The time in ms and the number of calls over which the rates were learned; server number -> rate in set-ups per ms.
LearnedRates = tuple[float, int, dict[int, float]]


class NotReplicatedError(OperatorError):
    """Replication has not started, so none of this proxy's state is replicated to other members."""

    code, status = "replicas.not-begun", 503
    action = (
        "Wait until the proxy is ready; "
        "if the error persists, check /control/fleet and the seeds in deploy/fleet.toml."
    )


class ReplicasPart(Part):
    """Replication of this proxy, as owner and as holder."""

    replicas: Replicas | None = None  # until `start`

    def add_observers(self, observers: dict[str, list[Observer]]) -> None:
        observers["sip"].append(self)

    def start(self) -> None:
        node = self.node
        self.peers = node.parts["fleet"].peers
        self.replicas = Replicas(self.peers.view, self.conf.copies, node.metrics, node.log, self.recovered)
        self.transport = self.peers.add_part("replicas", self.replicas, lambda: None)
        node.clients.release_replicated_call = self.release_call
        self.replicate_rates()

    # Owner: events of the engine

    def request_answered(self, request: Request, answer: str, now_ms: float) -> None:
        """Replicates a call that has been established; other answers are ignored."""
        if answer == "stands" and self.replicas is not None and request.attempt is not None:
            self.replicas.put(ESTABLISHED, request.id, request.attempt.server.encode())

    def attempt_ended(self, attempt: Attempt, outcome: interface.Outcome, now_ms: float) -> None:
        """Replicates the end of an established call."""
        if attempt.established and self.replicas is not None:
            self.replicas.put(ESTABLISHED, attempt.request.id, None)

    def on_unknown_call_ended(self, call: str) -> None:
        """Replicates the end of a call that the engine does not know, such as one from before a restart."""
        if self.replicas is not None:
            self.replicas.put(ESTABLISHED, call, None)

    def replicate_rates(self, _: object = None) -> None:
        """Replicates the learned rates if they have changed; called every `LEARNED_INTERVAL_MS`."""
        if self.peers.stopped:
            return
        learned_ms, calls, rates = self.node.engine.controller.learned_rates()
        if calls:
            learned = learned_ms, calls, {number: float(f"{rate:.3g}") for number, rate in rates.items()}
            self.replicas.put(LEARNED, RATES, msgspec.msgpack.encode(learned))
        clock = self.peers.clock
        self.peers.deadlines.call_at(clock.now_ms() + LEARNED_INTERVAL_MS, self.replicate_rates)

    def recovered(self, kind: str, states: dict[str, bytes]) -> None:
        """Called with each kind of recovered records: passes learned rates from before a restart to the controller."""
        if kind == LEARNED and RATES in states:
            try:
                learned = msgspec.msgpack.decode(states[RATES], type=LearnedRates)
            except msgspec.DecodeError:
                self.node.metrics.add("replicas.unread")
                return
            self.node.engine.controller.restore_rates(*learned)

    # Releases of calls that the engine does not know

    def release_call(self, call: str, done: Callable[[bool], None]) -> None:
        """Releases a call at the server where it is established, if a member knows that server.

        `done` is called with whether a release was sent, after `LOCATE_TIMEOUT_MS` (fleet/replicas) at the latest.
        """

        def on_located(uid: str) -> None:
            server = self.node.servers.servers.get(uid) if uid else None
            if server is not None:
                server.release_unknown_call(bytes.fromhex(call))
                self.replicas.call_released(call)
                self.node.metrics.add("replicas.released")
            done(server is not None)

        self.replicas.locate(self.peers.clock.now_ms(), call, on_located)
        self.transport.flush()

    # Operators' requests

    def gauges(self) -> dict[str, Callable[[], int]]:
        return {
            "replicas_behind": lambda: int(
                self.replicas is None or self.replicas.recovery_pending(self.now_ms())
            )
        }

    def now_ms(self) -> float:
        """The time of the fleet's clock."""
        return self.peers.clock.now_ms()

    def endpoints(self) -> Endpoints:
        return {b"replicas": Endpoint({b"GET": self.status})}

    def status(self, request: OperatorRequest) -> Answer:
        """Answers `GET /control/replicas`; raises NotReplicatedError until replication has started."""
        if self.replicas is None:
            raise NotReplicatedError("replication has not started yet: this proxy is still starting")
        return as_json(self.replicas.status(self.now_ms()))


PART = ReplicasPart
