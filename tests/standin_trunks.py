"""A stand-in trunk server and callers who redial, both in virtual time, which use the real engine without a network.

Each server has N trunks. It ends a call after an exponential holding time, refuses calls that find no trunk free, and
reports its free trunks in every answer, as in the protocol. Callers arrive as a Poisson stream; a refused caller
redials with a given probability, up to a given number of times, after an exponential wait. All calls are of the class
of greatest worth, because the Controller treats others differently: it keeps lines free from them and limits how many
go to a second choice.
"""

from __future__ import annotations

import heapq
import socket
from collections.abc import Callable
from random import Random

from leadslip import core, interface, logs
from leadslip.metrics import Metrics
from tests.helpers import URGENT, entry, settings
from tests.standins import SetupServer, encode_message

START_S = 1_000_000.0  # Unix time at which the simulation begins


class DelayedCall:
    """A scheduled function, as returned by a reactor's callLater."""

    def __init__(self, world: VirtualTime, due_s: float, function: Callable) -> None:
        self.world, self.due_s, self.function = world, due_s, function

    def active(self) -> bool:
        return self.function is not None

    def reset(self, seconds: float) -> None:
        self.due_s = self.world.now_s + seconds
        self.world.push(self)

    def cancel(self) -> None:
        self.function = None


class VirtualTime:
    """A clock and scheduler; `run` sets the clock to the time of each scheduled function and calls it at once."""

    def __init__(self) -> None:
        self.now_s, self.heap, self.count = START_S, [], 0  # count orders functions of equal time

    def now_ms(self) -> float:
        return self.now_s * 1000.0

    def push(self, delayed_call: DelayedCall) -> None:
        self.count += 1
        heapq.heappush(self.heap, (delayed_call.due_s, self.count, delayed_call))

    def callLater(self, seconds: float, function: Callable) -> DelayedCall:  # noqa: N802
        delayed_call = DelayedCall(self, self.now_s + seconds, function)
        self.push(delayed_call)
        return delayed_call

    def run(self, until_s: float) -> None:
        while self.heap and self.heap[0][0] <= until_s:
            due_s, _, delayed_call = heapq.heappop(self.heap)
            if delayed_call.function is not None and delayed_call.due_s == due_s:
                self.now_s, function, delayed_call.function = due_s, delayed_call.function, None
                function()
        self.now_s = until_s


class Trunks:
    """The engine's upstream side: servers, one per trunk group, that answer its set-ups."""

    def __init__(self, world: VirtualTime, sizes: dict[str, int], hold_s: float, seed: int) -> None:
        self.world, self.sizes, self.hold_s, self.rng = world, sizes, hold_s, Random(seed)
        self.busy = dict.fromkeys(sizes, 0)  # server -> trunks in use
        self.offered = dict.fromkeys(sizes, 0)  # server -> set-ups received
        self.lost = dict.fromkeys(sizes, 0)  # server -> set-ups refused for want of a trunk
        self.engine: core.Engine = None  # type: ignore[assignment]

    def load(self, server: str) -> interface.Load:
        return interface.Load(
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
            self.engine.on_attempt_ended(attempt, interface.Outcome.FULL, interface.Cause.NO_LINE, load)
            return
        self.busy[server] += 1
        self.engine.on_established(attempt, b"")
        self.world.callLater(self.rng.expovariate(1.0 / self.hold_s), lambda: self._end(attempt))

    def _end(self, attempt: core.Attempt) -> None:
        self.busy[attempt.server] -= 1
        self.engine.on_attempt_ended(attempt, interface.Outcome.SERVED, load=self.load(attempt.server))

    def cancel(self, attempt: core.Attempt) -> None:
        """Does nothing: each set-up is answered before its time-out, so that none is cancelled or released."""

    release = cancel


class Callers:
    """The engine's downstream side: a Poisson stream of first attempts, and redials of refused calls."""

    def __init__(
        self, world: VirtualTime, engine: core.Engine, rate: float, seed: int, call_class: str = URGENT
    ) -> None:
        self.world, self.engine, self.rate, self.rng, self.call_class = (
            world,
            engine,
            rate,
            Random(seed),
            call_class,
        )
        self.persistence, self.max_redials, self.redial_s, self.marks_redials = 0.0, 0, 5.0, False
        self.timeout_ms = 3000.0  # time that a request stays valid
        self.first = self.redials = self.attempts = 0  # numbers of first attempts, of redials and of both
        self.log: list[bool] = []  # for each attempt, whether it was lost
        self.numbers = 10_000_000  # how many numbers there are to dial

    def start(self) -> None:
        self.world.callLater(self.rng.expovariate(self.rate), self._arrive)

    def _arrive(self) -> None:
        self.first += 1
        self._dial(str(self.rng.randrange(self.numbers)), 0)
        self.start()

    def _dial(self, number: str, earlier_attempts: int) -> None:
        """Offers an attempt to the engine; `earlier_attempts` is the number of earlier attempts of this call."""
        self.attempts += 1
        request = core.Request(
            f"{self.attempts:016x}", self.call_class, self.world.now_ms() + self.timeout_ms, self
        )
        request.destination, request.number_called = 0, number
        request.redialled = self.marks_redials and earlier_attempts > 0
        request.context = earlier_attempts
        self.engine.offer(request)

    def on_established(self, request: core.Request, payload: object) -> None:
        self.log.append(False)

    def lost(self, request: core.Request) -> None:
        self.log.append(True)
        if request.context < self.max_redials and self.rng.random() < self.persistence:
            self.redials += 1
            wait_s = self.rng.expovariate(1.0 / self.redial_s)
            self.world.callLater(wait_s, lambda: self._dial(request.number_called, request.context + 1))

    def on_refused(self, request: core.Request, pause_ms: float) -> None:
        self.lost(request)

    def on_failed(self, request: core.Request) -> None:
        self.lost(request)

    def call_ended(self, request: core.Request, cut: bool) -> None:
        """Does nothing: the server ends the call."""

    def read_pending(self, request: core.Request) -> None:
        """Does nothing: the caller sends no further messages."""


def engine_with_trunks(
    sizes: list[int], hold_s: float, seed: int, observer: core.Observer | None = None
) -> tuple[VirtualTime, core.Engine, Trunks]:
    """Returns an engine with one server per trunk group; the first server is the first choice of each call."""
    world = VirtualTime()
    trunks = Trunks(world, {f"s{i}": size for i, size in enumerate(sizes)}, hold_s, seed)
    deadlines = core.Deadlines(world, world)
    conf = settings(gateways=1, warm_after_ms=0.0)
    engine = core.Engine(conf, seed, world, deadlines, trunks, Metrics(), logs.discard, observer=observer)
    trunks.engine = engine
    entries = tuple(entry(name, i) for i, name in enumerate(trunks.sizes))
    engine.update_servers(interface.ServerListUpdate(interface.UpdateKind.SNAPSHOT, entries))
    for name in trunks.sizes:
        engine.on_load_report(name, trunks.load(name))
    return world, engine, trunks


class TrunkServer(SetupServer):
    """A trunk server over sockets, with N trunks. A call stays established until the test releases it."""

    def __init__(self, trunks: int) -> None:
        self.trunks, self.established = trunks, set()
        super().__init__()

    def report(self) -> bytes:
        """Returns the load report: free trunks (x0) and all trunks (x1)."""
        return b"x0:%d;x1:%d" % (self.trunks - len(self.established), self.trunks)

    def answer(self, link: socket.socket, call: bytes, fields: dict[int, bytes]) -> None:
        if len(self.established) >= self.trunks:
            link.sendall(encode_message(12, call, (61, b"\x22"), (47, b"no_circuit"), (51, self.report())))
            return
        self.established.add(call)
        link.sendall(encode_message(9, call, (63, b"sdp"), (51, self.report())))

    def release(self, call_id: str) -> None:
        call = bytes.fromhex(call_id)
        self.established.remove(call)
        self.connections[-1].sendall(encode_message(12, call, (61, b"\x10"), (51, self.report())))
