"""Many members of a fleet in the lab: the very View that serves, each on a host of the virtual network.

`Fleet` starts, stops, kills, stalls and restarts members, and records what each one's view does; `known` and `agreed`
judge from that record.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from leadslip.checks import Tally
from leadslip.fleet import wire
from leadslip.fleet.view.members import Change, State, process_of
from leadslip.fleet.view.view import Compare, Me, Pace, View
from leadslip.lab.network import Clock, Network

STEP_MS = 20.0  # between two looks for a condition
EARLY_MS = 1e-6  # rounding between a host's clock and the lab's
KEY = b"the key of the lab"


class Party(Protocol):
    """A further part of the fleet on a host, as net/peers.py carries it."""

    out: list[tuple[int, bytes]]
    wake_ms: float

    def received(self, now_ms: float, run: int, body: bytes) -> None: ...

    def due(self, now_ms: float) -> None: ...


class Host:
    """One member: its view, whether it runs, and what waited while it was stopped."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        address: str,
        seeds: tuple[str, ...],
        kind: type[View],
        drift_ppm: float,
    ) -> None:
        self.fleet, self.name, self.address = fleet, name, address
        self.rate = 1.0 + drift_ppm / 1e6  # of its monotonic clock
        self.seal = wire.Seal([KEY], kind.speaks)
        self.view = kind(
            Me(name, address, f"zone{fleet.zone_of(name)}"),
            seeds,
            Random(fleet.draw.getrandbits(64)),
            fleet.tally,
            fleet.pace,
            fleet.most_members,
        )
        self.up, self.stalled = True, False
        self.busy_ms = 0.0  # of each hop in which it gets no work done
        self.full = False  # it can open nothing more
        self.inbox: list[bytes] = []
        self.wakes_ms = float("inf")
        self.view.listeners.append(self.changed)
        self.parties: dict[str, Party] = {}  # further parts of the fleet on this host

    @property
    def now_ms(self) -> float:
        return self.fleet.clock.now_ms * self.rate

    def changed(self, change: Change) -> None:
        self.fleet.recorded(self, change)

    def arrive(self, data: bytes) -> None:
        if not self.up:
            return
        if self.stalled:
            self.inbox.append(data)
            return
        try:
            message = wire.decode(self.seal.open(data))
        except wire.WireError as fault:
            self.fleet.tally.add(f"fleet.refused.{fault}")
            return
        if isinstance(message, wire.Carried):
            self.carried(message)
        else:
            self.view.received(self.now_ms, message)
        self.flush()

    def carried(self, message: wire.Carried) -> None:
        """As net/peers.py does: for the life that is lived, of a member that lives."""
        held = self.view.table.get(message.run)
        if message.to != self.view.run or held is None or not held.live or held.run != message.run:
            return
        if message.part in self.parties and self.view.heard.fresh(message.run, message.count):
            self.parties[message.part].received(self.now_ms, message.run, message.body)

    def carry(self, part: str, run: int, body: bytes) -> None:
        """A datagram where it fits; else over a connection, in one piece."""
        held = self.view.table.get(run)
        if held is None or not held.live or self.view.version_for(run) < 3:
            return
        message = wire.Carried(next(self.view.counts), self.view.run, run, 0, part, body)
        data = self.seal.close(wire.encode(message), 3)
        network = self.fleet.network
        if len(data) <= wire.MOST_DATAGRAM:
            network.send(self.address, held.address, data)
            return

        def brought() -> int:
            taker = network.hosts.get(held.address)
            if taker is not None:
                taker(data)
            return len(data)

        network.connect(self.address, held.address, brought)

    def wake(self) -> None:
        if not self.up or self.stalled or self.now_ms < self.wakes_ms - EARLY_MS:
            return
        self.wakes_ms = float("inf")
        now_ms = self.now_ms
        if now_ms >= self.view.wake_ms - EARLY_MS:
            self.view.due(max(now_ms, self.view.wake_ms))
        for party in self.parties.values():
            if now_ms >= party.wake_ms - EARLY_MS:
                party.due(max(now_ms, party.wake_ms))
        self.flush()

    def flush(self) -> None:
        """Send what the view gives, and be woken when it asks."""
        out, self.view.out = self.view.out, []
        for one in out:
            if isinstance(one, Compare):
                self.fleet.compare(self, one.address)
            else:
                data = self.seal.close(wire.encode(one.message), self.view.version_for(one.message.to))
                self.fleet.network.send(self.address, one.address, data)
        for name, party in self.parties.items():
            told, party.out = party.out, []
            for run, body in told:
                self.carry(name, run, body)
            self.after(name)
        wake_ms = min([self.view.wake_ms, *(party.wake_ms for party in self.parties.values())])
        if wake_ms < self.wakes_ms:
            self.wakes_ms = wake_ms
            self.fleet.clock.at(self.wakes_ms / self.rate, self.wake)

    def after(self, name: str) -> None:
        """A part has had something to do."""
        work = self.fleet.afters.get(name)
        if work is not None:
            work(self)

    def stall(self, for_ms: float) -> None:
        if self.up and not self.stalled:
            self.stalled = True
            if for_ms < float("inf"):
                self.fleet.clock.at(self.fleet.clock.now_ms + for_ms, self.resume)

    def hop(self) -> None:
        """Be busy: no work gets done for so long, then some, until `busy_ms` is nought."""
        if self.up and self.busy_ms:
            self.stall(self.busy_ms)
            self.fleet.clock.at(self.fleet.clock.now_ms + 2 * self.busy_ms, self.hop)

    def resume(self) -> None:
        """As a process does: its timers first, then what waits in its sockets."""
        if not self.up or not self.stalled:
            return
        self.stalled = False
        self.wakes_ms = float("inf")  # what was due meanwhile has passed unseen
        self.view.due(self.now_ms)
        for party in self.parties.values():
            party.due(self.now_ms)
        self.flush()
        waited, self.inbox = self.inbox, []
        for data in waited[-500:]:
            self.arrive(data)


class Fleet:
    """A seeded fleet of so many members."""

    def __init__(self, seed: int, pace: Pace = Pace(), zones: int = 4, most_members: int = 4096) -> None:  # noqa: B008
        self.draw, self.tally, self.pace, self.zones = Random(seed), Tally(), pace, zones
        self.most_members = most_members
        self.clock = Clock()
        self.network = Network(self.clock, Random(self.draw.getrandbits(64)))
        self.hosts: dict[str, Host] = {}
        self.afters: dict[
            str, Callable[[Host], None]
        ] = {}  # a part -> what is done after it has done something
        self.ends: list[tuple[float, str, int, State]] = []  # when, at whom, which run, how it ended there

    def zone_of(self, name: str) -> int:
        return sum(name.encode()) % self.zones

    def add(
        self,
        name: str,
        seeds: tuple[str, ...] | None = None,
        address: str = "",
        follow: Callable[[View], None] | None = None,
        kind: type[View] = View,
        drift_ppm: float = 0.0,
    ) -> Host:
        """Start a member, also one that was there before and remembers nothing; `follow` is told of its view first."""
        address = address or f"{name}:7946"
        if seeds is None:
            seeds = tuple(f"{one}:7946" for one in list(self.hosts)[:3])
        host = self.hosts[name] = Host(self, name, address, seeds, kind, drift_ppm)
        self.network.hosts[address] = host.arrive
        if follow is not None:
            follow(host.view)
        host.view.start(host.now_ms)
        host.flush()
        return host

    def grow(self, members: int) -> None:
        for i in range(members):
            self.add(f"p{i:04d}")
            self.run(10.0)
        self.until(self.agreed, 60_000.0)

    def kill(self, name: str) -> Host:
        host = self.hosts.pop(name)
        host.up = False
        if self.network.hosts.get(host.address) == host.arrive:
            del self.network.hosts[host.address]
        return host

    def leave(self, name: str) -> Host:
        """A member leaves in good order and is gone a moment later."""
        host = self.hosts[name]
        host.view.leave(host.now_ms)
        host.flush()
        self.run(300.0)
        return self.kill(name)

    def compare(self, host: Host, address: str) -> None:
        """A comparison of tables, as over TCP."""

        def work() -> int:
            other = next((one for one in self.hosts.values() if one.address == address), None)
            if other is None or any(not one.up or one.stalled or one.full for one in (host, other)):
                return 0
            ask = host.view.ask(host.now_ms, other.view.hello(1), 2)
            told = other.view.answer(other.now_ms, ask)
            better = host.view.compared(host.now_ms, told, 1)
            other.view.given(other.now_ms, better)
            version = host.view.version_for(other.view.run)
            size = sum(len(wire.frame(one, version)) + wire.SEAL_SIZE + 4 for one in (ask, told, better))
            host.view.spent(size)
            host.flush()
            other.flush()
            return size

        self.network.connect(host.address, address, work)

    def partition(self, *parts: Iterable[str]) -> None:
        """Let nothing pass between these parts."""
        part_of = {f"{name}:7946": i for i, part in enumerate(parts) for name in part}
        self.network.links.cut = lambda source, target: part_of.get(source, -1) != part_of.get(target, -1)

    def heal(self) -> None:
        self.network.links.cut = None

    def run(self, for_ms: float) -> None:
        self.clock.run(self.clock.now_ms + for_ms)

    def until(self, holds: Callable[[], bool], most_ms: float) -> float:
        """Let time pass until a condition holds; how long it took, or inf."""
        began_ms = self.clock.now_ms
        while not holds():
            if self.clock.now_ms - began_ms >= most_ms:
                return float("inf")
            self.run(STEP_MS)
        return self.clock.now_ms - began_ms

    def recorded(self, host: Host, change: Change) -> None:
        """What a view has taken up; ends of lives are kept."""
        was, now = change.was, change.now
        if was is not None and was.live and (now is None or not now.live or now.run != was.run):
            state = State.DEAD if now is None or now.live else now.state
            self.ends.append((self.clock.now_ms, host.name, was.run, state))

    def agreed(self) -> bool:
        """Whether all members hold one view, and it is the truth."""
        running = {process_of(host.view.run) for host in self.hosts.values()}
        digests = {host.view.digest() for host in self.hosts.values()}
        if len(digests) != 1:
            return False
        held = {process_of(one.run) for one in next(iter(self.hosts.values())).view.members()}
        return held == running

    def known_gone(self, run: int) -> bool:
        """Whether nobody who runs holds this run live."""
        return all(host.view.table.standing(run) >= State.DEAD for host in self.hosts.values())

    def known(self, run: int) -> bool:
        """Whether all who run hold this run live."""
        return all(host.view.table.standing(run) < State.DEAD for host in self.hosts.values())

    def wrongly(self) -> list[tuple[float, str, int, State]]:
        """Ends recorded of lives whose process runs still."""
        running = {process_of(host.view.run) for host in self.hosts.values()}
        return [one for one in self.ends if process_of(one[2]) in running]

    def traffic(self) -> tuple[float, float, float]:
        """Datagrams, bytes in datagrams, and bytes in connections, sent so far by the mean member."""
        count = max(1, len(self.hosts))
        network = self.network
        return (
            sum(network.datagrams.values()) / count,
            sum(network.bytes.values()) / count,
            sum(network.streamed.values()) / count,
        )
