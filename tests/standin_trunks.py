"""A stand-in trunk server in virtual time, and callers who redial: offered to the real engine, far from any wire.

The server has N circuits, holds each call for an exponential time, refuses what finds none free, and reports its
circuits in every answer, as the protocol has it. Callers come as a Poisson stream; one whose call is refused
dials again with a set chance, up to a set number of times, after an exponential wait. They are of the class worth
most: for lesser ones the Controller keeps lines free and bounds what goes to a second choice, as is its office.
"""

from __future__ import annotations

import heapq
import socket
from collections.abc import Callable
from random import Random

from leadslip import core, logs
from leadslip import interface as face
from leadslip.checks import Tally
from tests.helpers import URGENT, entry, settings
from tests.standins import SetupServer, binary

START_S = 1_000_000.0


class Wake:
    """A call to come, as a reactor gives it."""

    def __init__(self, world: VirtualTime, due_s: float, work: Callable) -> None:
        self.world, self.due_s, self.work = world, due_s, work

    def active(self) -> bool:
        return self.work is not None

    def reset(self, seconds: float) -> None:
        self.due_s = self.world.now_s + seconds
        self.world.push(self)

    def cancel(self) -> None:
        self.work = None


class VirtualTime:
    """A clock and a scheduler that run through events as fast as they can."""

    def __init__(self) -> None:
        self.now_s, self.heap, self.count = START_S, [], 0

    def now_ms(self) -> float:
        return self.now_s * 1000.0

    def push(self, wake: Wake) -> None:
        self.count += 1
        heapq.heappush(self.heap, (wake.due_s, self.count, wake))

    def callLater(self, seconds: float, work: Callable) -> Wake:  # noqa: N802
        wake = Wake(self, self.now_s + seconds, work)
        self.push(wake)
        return wake

    def run(self, until_s: float) -> None:
        while self.heap and self.heap[0][0] <= until_s:
            due_s, _, wake = heapq.heappop(self.heap)
            if wake.work is not None and wake.due_s == due_s:
                self.now_s, work, wake.work = due_s, wake.work, None
                work()
        self.now_s = until_s


class Trunks:
    """The far side: groups of circuits, tried as the engine sends."""

    def __init__(self, world: VirtualTime, sizes: dict[str, int], hold_s: float, seed: int) -> None:
        self.world, self.sizes, self.hold_s, self.draw = world, sizes, hold_s, Random(seed)
        self.busy = dict.fromkeys(sizes, 0)
        self.offered = dict.fromkeys(sizes, 0)
        self.lost = dict.fromkeys(sizes, 0)
        self.engine: core.Engine = None  # type: ignore[assignment]

    def load(self, server: str) -> face.Load:
        return face.Load(
            free_lines=float(self.sizes[server] - self.busy[server]), lines=float(self.sizes[server])
        )

    def send(self, attempt: core.Attempt) -> None:
        self.world.callLater(0.001, lambda: self._arrive(attempt))

    def _arrive(self, attempt: core.Attempt) -> None:
        server = attempt.server
        self.offered[server] += 1
        if self.busy[server] >= self.sizes[server]:
            self.lost[server] += 1
            load = self.load(server)
            self.engine.ended(attempt, face.Outcome.FULL, face.Cause.NO_LINE, load)
            return
        self.busy[server] += 1
        self.engine.stood(attempt, b"")
        self.world.callLater(self.draw.expovariate(1.0 / self.hold_s), lambda: self._end(attempt))

    def _end(self, attempt: core.Attempt) -> None:
        self.busy[attempt.server] -= 1
        self.engine.ended(attempt, face.Outcome.SERVED, load=self.load(attempt.server))

    def give_up(self, attempt: core.Attempt) -> None:
        """Nobody gives up here: answers come at once."""

    release = give_up


class Callers:
    """The front: a Poisson stream of first tries, and redials of what was refused."""

    def __init__(
        self, world: VirtualTime, engine: core.Engine, rate: float, seed: int, kind: str = URGENT
    ) -> None:
        self.world, self.engine, self.rate, self.draw, self.kind = world, engine, rate, Random(seed), kind
        self.persistence, self.most_redials, self.redial_s, self.marks = 0.0, 0, 5.0, False
        self.patience_ms = 3000.0
        self.first = self.redials = self.placed = 0
        self.log: list[bool] = []  # of each attempt, whether it was lost
        self.numbers = 10_000_000

    def start(self) -> None:
        self.world.callLater(self.draw.expovariate(self.rate), self._come)

    def _come(self) -> None:
        self.first += 1
        self._dial(str(self.draw.randrange(self.numbers)), 0)
        self.start()

    def _dial(self, number: str, tries: int) -> None:
        self.placed += 1
        request = core.Request(f"{self.placed:016x}", self.kind, self.world.now_ms() + self.patience_ms, self)
        request.destination, request.number = 0, number
        request.redialled = self.marks and tries > 0
        request.context = tries
        self.engine.offer(request)

    def stands(self, request: core.Request, payload: object) -> None:
        self.log.append(False)

    def lost(self, request: core.Request) -> None:
        self.log.append(True)
        if request.context < self.most_redials and self.draw.random() < self.persistence:
            self.redials += 1
            wait_s = self.draw.expovariate(1.0 / self.redial_s)
            self.world.callLater(wait_s, lambda: self._dial(request.number, request.context + 1))

    def refused(self, request: core.Request, pause_ms: float) -> None:
        self.lost(request)

    def failed(self, request: core.Request) -> None:
        self.lost(request)

    def over(self, request: core.Request, cut: bool) -> None:
        """Its caller has spoken."""

    def catch_up(self, request: core.Request) -> None:
        """It says nothing more."""


def site(
    sizes: list[int], hold_s: float, seed: int, watcher: core.Watcher | None = None
) -> tuple[VirtualTime, core.Engine, Trunks]:
    """An engine before groups of circuits, of which the first is every call's first choice."""
    world = VirtualTime()
    trunks = Trunks(world, {f"s{i}": size for i, size in enumerate(sizes)}, hold_s, seed)
    deadlines = core.Deadlines(world, world)
    conf = settings(gateways=1, warm_after_ms=0.0)
    engine = core.Engine(conf, seed, world, deadlines, trunks, Tally(), logs.silent, watcher=watcher)
    trunks.engine = engine
    listed = tuple(entry(name, i) for i, name in enumerate(trunks.sizes))
    engine.news(face.ListNews(face.NewsKind.WHOLE, listed))
    for name in trunks.sizes:
        engine.looked(name, trunks.load(name))
    return world, engine, trunks


class TrunkServer(SetupServer):
    """The same over sockets: N circuits, each call standing until it is told to end."""

    def __init__(self, circuits: int) -> None:
        self.circuits, self.standing = circuits, set()
        super().__init__()

    def report(self) -> bytes:
        return b"x0:%d;x1:%d" % (self.circuits - len(self.standing), self.circuits)

    def answer(self, link: socket.socket, call: bytes, told: dict[int, bytes]) -> None:
        if len(self.standing) >= self.circuits:
            link.sendall(binary(12, call, (61, b"\x22"), (47, b"no_circuit"), (51, self.report())))
            return
        self.standing.add(call)
        link.sendall(binary(9, call, (63, b"sdp"), (51, self.report())))

    def release(self, id_: str) -> None:
        call = bytes.fromhex(id_)
        self.standing.remove(call)
        self.links[-1].sendall(binary(12, call, (61, b"\x10"), (51, self.report())))
