"""Replicas in the lab: members of a virtual fleet whose calls come and go, killed and back with nothing.

Each member's calls are drawn by a seed. The lab alone keeps books of which stand, and of what a returning member has to
know again: what some holder had acknowledged, as long as one of these holders lives.
"""

from __future__ import annotations

from random import Random

from leadslip.fleet.replicas.member import STANDS, Replicas
from leadslip.fleet.view.members import process_of
from leadslip.lab.fleet import Fleet, Host

CALL_MS = 100.0  # between two steps of a member's calls


class Replicated:
    """A fleet of owners."""

    def __init__(self, seed: int, members: int, copies: int = 2, kind: type[Replicas] = Replicas) -> None:
        self.fleet, self.copies, self.kind = Fleet(seed, zones=3), copies, kind
        self.draw = Random(seed + 7)
        self.names = [f"p{i:02d}" for i in range(members)]
        self.standing: dict[str, dict[str, str]] = {name: {} for name in self.names}  # by the lab's own books
        # Call -> the process that numbered its beginning, or its end, and the number there.
        self.begun: dict[str, tuple[int, int]] = {}
        self.ended: dict[str, tuple[int, int]] = {}
        self.last: dict[str, int] = {}  # a killed member -> its process
        self.kept: dict[str, dict[int, int]] = {}  # a killed member -> process that held it -> what that had
        self.told: list[tuple[str, dict]] = []
        self.calls, self.rate = 0, 0.3  # calls begun so far; chance of each step
        for name in self.names:
            self.start(name)
            self.fleet.run(15.0)
        self.fleet.clock.at(self.fleet.clock.now_ms + CALL_MS, self.step)

    def kill(self, name: str) -> None:
        """A process is gone; who held how much of its table is kept in the books."""
        run = self.fleet.hosts[name].view.run
        self.last[name] = process_of(run)
        self.kept[name] = {
            process_of(host.view.run): host.replicas.held[run].table.applied
            for host in self.fleet.hosts.values()
            if run in host.replicas.held and host.replicas.held[run].table.whole()
        }
        self.fleet.kill(name)

    def start(self, name: str, address: str = "") -> Host:
        """Start a member, with nothing."""
        if name in self.kept:
            live = {process_of(host.view.run) for host in self.fleet.hosts.values()}
            most = max((number for run, number in self.kept.pop(name).items() if run in live), default=-1)
            process, calls = self.last[name], self.standing[name]
            lost = {call for call in calls if self.begun[call][0] == process and self.begun[call][1] > most}
            self.standing[name] = {call: at for call, at in calls.items() if call not in lost and most >= 0}
            # An end that no holder had heard of may be told again, and its call stand until then.
            self.ended = {call: at for call, at in self.ended.items() if at[0] != process or at[1] <= most}
        host = self.fleet.add(name, address=address)
        host.back = {}
        host.replicas = host.parties["replicas"] = self.kind(
            host.view,
            self.copies,
            self.fleet.tally,
            lambda event, **fields: self.told.append((event, fields)),
            lambda kind, told: host.back.update({kind: told}),
        )
        host.flush()
        return host

    def step(self) -> None:
        """Calls begin and end where a process runs."""
        for name, host in self.fleet.hosts.items():
            if host.stalled:
                continue
            calls = self.standing[name]
            if self.draw.random() < self.rate:
                self.begin(name)
            if calls and self.draw.random() < self.rate / 2:
                self.end(name, self.draw.choice(list(calls)))
        self.fleet.clock.at(self.fleet.clock.now_ms + CALL_MS, self.step)

    def begin(self, name: str) -> str:
        self.calls += 1
        call, server = f"{self.calls:016x}", f"s{self.draw.randrange(4)}"
        self.standing[name][call] = server
        self.begun[call] = self.put(name, call, server.encode())
        return call

    def put(self, name: str, call: str, state: bytes | None) -> tuple[int, int]:
        host = self.fleet.hosts[name]
        host.replicas.put(STANDS, call, state)
        return process_of(host.view.run), host.replicas.own.applied

    def end(self, name: str, call: str) -> None:
        del self.standing[name][call]
        self.ended[call] = self.put(name, call, None)

    def knows(self, name: str) -> bool:
        """R2, R4: whether a member knows all calls that it has to by the books."""
        return self.standing[name].keys() <= self.fleet.hosts[name].replicas.own.all(STANDS).keys()

    def copies_of(self, name: str) -> list[tuple[str, int, int]]:
        """Who holds a running member's table: name, number, digest."""
        run = self.fleet.hosts[name].view.run
        return [
            (other, host.replicas.held[run].table.applied, host.replicas.held[run].table.digest())
            for other, host in self.fleet.hosts.items()
            if run in host.replicas.held
        ]

    def equal(self) -> bool:
        """R3: every table is held by `copies` others as its owner has it, and in another zone where there is one."""
        for name, host in self.fleet.hosts.items():
            own = host.replicas.own
            now = own.applied, own.digest()
            same = [who for who, number, digest in self.copies_of(name) if (number, digest) == now]
            zones = {self.fleet.zone_of(who) for who in same}
            others = {self.fleet.zone_of(other) for other in self.fleet.hosts if other != name}
            if len(same) < min(self.copies, len(self.fleet.hosts) - 1):
                return False
            if others - {self.fleet.zone_of(name)} and not zones - {self.fleet.zone_of(name)}:
                return False
        return True

    def quiet(self, most_ms: float = 10_000.0) -> float:
        """Let calls rest and wait until all are equal; how long it took, or inf."""
        before, self.rate = self.rate, 0.0
        took_ms = self.fleet.until(self.equal, most_ms)
        self.rate = before
        return took_ms

    def risen(self) -> list[str]:
        """R1: calls that have ended by the books, and stand in some copy of one that lives; to be asked in quiet."""
        return [
            f"{name} holds {call}"
            for name, host in self.fleet.hosts.items()
            for copy in host.replicas.held.values()
            if copy.gone_ms == float("inf") and copy.table.whole()
            for call in copy.table.all(STANDS)
            if call in self.ended
        ]
