"""Replicas wired into a proxy: calls that stand and learned rates go to holders, and come back after a restart."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from leadslip import interface as face
from leadslip.core import Watcher
from leadslip.errors import OperatorError
from leadslip.fleet.replicas.member import LEARNED, STANDS, Replicas
from leadslip.operators import Answer, Asked, Calls, Verbs, as_json
from leadslip.parts.part import Part
from leadslip.request import Attempt, Request

LEARNED_MS = 2000.0  # between two looks at what has been learned
RATES = "rates"  # the key of learned rates
Learned = tuple[
    float, int, dict[int, float]
]  # ms and calls by which rates are known; set-ups a ms by server's number


class NotReplicatedError(OperatorError):
    """This proxy is no member of the fleet yet, so that nothing of it is held elsewhere."""

    code, status = "replicas.not-begun", 503
    action = (
        "Wait until the proxy serves; if it lasts, see /control/fleet and the seeds in deploy/fleet.toml."
    )


class ReplicasPart(Part):
    """This proxy as an owner and as a holder."""

    replicas: Replicas | None = None

    def watch(self, watches: dict[str, list[Watcher]]) -> None:
        watches["sip"].append(self)

    def start(self) -> None:
        node = self.node
        self.peers = node.parts["fleet"].peers
        self.replicas = Replicas(self.peers.view, self.conf.copies, node.tally, node.log, self.restored)
        self.carrier = self.peers.join("replicas", self.replicas, lambda: None)
        node.clients.seek = self.seek
        self.learn()

    # The owner: what the engine tells.

    def request_answered(self, request: Request, answer: str, now_ms: float) -> None:
        if answer == "stands" and self.replicas is not None and request.attempt is not None:
            self.replicas.put(STANDS, request.id, request.attempt.server.encode())

    def attempt_ended(self, attempt: Attempt, outcome: face.Outcome, now_ms: float) -> None:
        if attempt.stands and self.replicas is not None:
            self.replicas.put(STANDS, attempt.request.id, None)

    def ended_elsewhere(self, call: str) -> None:
        """A server ends a call that is not held by the engine: it may be one of those from before a restart."""
        if self.replicas is not None:
            self.replicas.put(STANDS, call, None)

    def learn(self, _: object = None) -> None:
        """What has been learned goes to the holders now and then, if it has changed."""
        if self.peers.stopped:
            return
        known_ms, calls, rates = self.node.engine.controller.learned()
        if calls:
            told = known_ms, calls, {number: float(f"{rate:.3g}") for number, rate in rates.items()}
            self.replicas.put(LEARNED, RATES, msgspec.msgpack.encode(told))
        clock = self.peers.clock
        self.peers.deadlines.at(clock.now_ms() + LEARNED_MS, self.learn)

    def restored(self, kind: str, told: dict[str, bytes]) -> None:
        """What this proxy knew before a restart has come back."""
        if kind == LEARNED and RATES in told:
            try:
                learned = msgspec.msgpack.decode(told[RATES], type=Learned)
            except msgspec.DecodeError:
                self.node.tally.add("replicas.unread")
                return
            self.node.engine.controller.recall(*learned)

    # Releases of calls that are not held here.

    def seek(self, call: str, done: Callable[[bool], None]) -> None:
        """Release a call wherever it stands, if anybody knows; `done` is told within a bound whether."""

        def found(uid: str) -> None:
            server = self.node.servers.servers.get(uid) if uid else None
            if server is not None:
                server.release_unheld(bytes.fromhex(call))
                self.replicas.over(call)
                self.node.tally.add("replicas.released")
            done(server is not None)

        self.replicas.seek(self.peers.clock.now_ms(), call, found)
        self.carrier.flush()

    # What operators ask.

    def figures(self) -> dict[str, Callable[[], int]]:
        return {"replicas_behind": lambda: int(self.replicas is None or self.replicas.behind(self.now_ms()))}

    def now_ms(self) -> float:
        return self.peers.clock.now_ms()

    def calls(self) -> Calls:
        return {b"replicas": Verbs({b"GET": self.told})}

    def told(self, asked: Asked) -> Answer:
        if self.replicas is None:
            raise NotReplicatedError("this proxy has not begun yet")
        return as_json(self.replicas.told(self.now_ms()))


PART = ReplicasPart
