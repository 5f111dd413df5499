"""Simulates replication: a virtual fleet whose calls begin and end, with members killed and restarted without state.

Each member's calls are drawn from a seed. The simulation keeps its own record of the established calls, and of those
that a restarted member must recover: the calls that a holder of a complete replica knew when the member was killed, if
that holder still runs. The invariants R1 to R4 are defined in leadslip/drill/check.py.
"""

from __future__ import annotations

from random import Random

from leadslip.fleet.replicas.member import ESTABLISHED, Replicas
from leadslip.fleet.view.members import process_of
from leadslip.lab.fleet import Fleet, Host

CALL_STEP_MS = 100.0  # between two steps of the call generator


class SimulatedReplication:
    """A simulated fleet in which each member owns a table of calls with `copies` replicas by class `replicas_class`."""

    def __init__(
        self, seed: int, members: int, copies: int = 2, replicas_class: type[Replicas] = Replicas
    ) -> None:
        self.fleet, self.copies, self.replicas_class = Fleet(seed, zones=3), copies, replicas_class
        self.rng = Random(seed + 7)
        self.names = [f"p{i:02d}" for i in range(members)]
        # Member -> call -> server: the established calls.
        self.established: dict[str, dict[str, str]] = {name: {} for name in self.names}
        # Call -> the process that recorded its start (or its end) and the sequence number there.
        self.call_starts: dict[str, tuple[int, int]] = {}
        self.call_ends: dict[str, tuple[int, int]] = {}
        self.killed_process_numbers: dict[str, int] = {}  # killed member -> its process number
        # Killed member -> process that held its replica -> last change applied there.
        self.applied_by_holder: dict[str, dict[int, int]] = {}
        self.logged: list[tuple[str, dict]] = []  # log events of the members: event, fields
        self.calls, self.call_probability = (
            0,
            0.3,
        )  # calls begun so far; probability of a new call per member and step
        for name in self.names:
            self.start(name)
            self.fleet.run(15.0)
        self.fleet.clock.call_at(self.fleet.clock.now_ms + CALL_STEP_MS, self.step_calls)

    def kill(self, name: str) -> None:
        """Kill a process, and record which members held a complete replica of its table, and up to which change."""
        run = self.fleet.hosts[name].view.run
        self.killed_process_numbers[name] = process_of(run)
        self.applied_by_holder[name] = {
            process_of(host.view.run): host.replicas.held_replicas[run].table.applied
            for host in self.fleet.hosts.values()
            if run in host.replicas.held_replicas and host.replicas.held_replicas[run].table.is_complete()
        }
        self.fleet.kill(name)

    def start(self, name: str, address: str = "") -> Host:
        """Start a member without state; after a kill, drop the calls that no surviving holder knew."""
        if name in self.applied_by_holder:
            live = {process_of(host.view.run) for host in self.fleet.hosts.values()}
            last_known_change = max(
                (number for run, number in self.applied_by_holder.pop(name).items() if run in live),
                default=-1,
            )
            process, calls = self.killed_process_numbers[name], self.established[name]
            lost = {
                call
                for call in calls
                if self.call_starts[call][0] == process and self.call_starts[call][1] > last_known_change
            }
            self.established[name] = {
                call: server for call, server in calls.items() if call not in lost and last_known_change >= 0
            }
            # The end of a call is lost if no surviving holder knew it: the call may be established again.
            self.call_ends = {
                call: entry
                for call, entry in self.call_ends.items()
                if entry[0] != process or entry[1] <= last_known_change
            }
        host = self.fleet.add(name, address=address)
        host.recovered = {}
        host.replicas = host.parts_by_name["replicas"] = self.replicas_class(
            host.view,
            self.copies,
            self.fleet.metrics,
            lambda event, **fields: self.logged.append((event, fields)),
            lambda kind, result: host.recovered.update({kind: result}),
        )
        host.flush()
        return host

    def step_calls(self) -> None:
        """Begin and end calls at random on members that are not stalled."""
        for name, host in self.fleet.hosts.items():
            if host.stalled:
                continue
            calls = self.established[name]
            if self.rng.random() < self.call_probability:
                self.begin_call(name)
            if calls and self.rng.random() < self.call_probability / 2:
                self.end_call(name, self.rng.choice(list(calls)))
        self.fleet.clock.call_at(self.fleet.clock.now_ms + CALL_STEP_MS, self.step_calls)

    def begin_call(self, name: str) -> str:
        """Begin a call at a member; returns its id."""
        self.calls += 1
        call, server = f"{self.calls:016x}", f"s{self.rng.randrange(4)}"
        self.established[name][call] = server
        self.call_starts[call] = self.put(name, call, server.encode())
        return call

    def put(self, name: str, call: str, state: bytes | None) -> tuple[int, int]:
        """Record a call's state, or its end, at a member; returns the process and the sequence number of the change."""
        host = self.fleet.hosts[name]
        host.replicas.put(ESTABLISHED, call, state)
        return process_of(host.view.run), host.replicas.own_table.applied

    def end_call(self, name: str, call: str) -> None:
        """End a call at a member."""
        del self.established[name][call]
        self.call_ends[call] = self.put(name, call, None)

    def has_all_calls(self, name: str) -> bool:
        """R2, R4: whether a member's table has all calls that it is expected to have."""
        return (
            self.established[name].keys()
            <= self.fleet.hosts[name].replicas.own_table.states_of(ESTABLISHED).keys()
        )

    def replicas_of(self, name: str) -> list[tuple[str, int, int]]:
        """The holders of replicas of a running member's table: name, number of the last change applied, digest."""
        run = self.fleet.hosts[name].view.run
        return [
            (
                other,
                host.replicas.held_replicas[run].table.applied,
                host.replicas.held_replicas[run].table.digest(),
            )
            for other, host in self.fleet.hosts.items()
            if run in host.replicas.held_replicas
        ]

    def replicas_equal(self) -> bool:
        """R3: whether `copies` members (or all others, if fewer) hold an equal replica of each table.

        One of them must be in another zone than the owner, if any member is.
        """
        for name, host in self.fleet.hosts.items():
            own = host.replicas.own_table
            own_state = own.applied, own.digest()
            equal_holders = [
                holder for holder, number, digest in self.replicas_of(name) if (number, digest) == own_state
            ]
            zones = {self.fleet.zone_of(holder) for holder in equal_holders}
            other_zones = {self.fleet.zone_of(other) for other in self.fleet.hosts if other != name}
            if len(equal_holders) < min(self.copies, len(self.fleet.hosts) - 1):
                return False
            if other_zones - {self.fleet.zone_of(name)} and not zones - {self.fleet.zone_of(name)}:
                return False
        return True

    def settle_replicas(self, timeout_ms: float = 10_000.0) -> float:
        """Pause the start and end of calls, and run until all replicas are equal; returns the time in ms, or inf."""
        call_probability, self.call_probability = self.call_probability, 0.0
        took_ms = self.fleet.run_until(self.replicas_equal, timeout_ms)
        self.call_probability = call_probability
        return took_ms

    def resurrected_calls(self) -> list[str]:
        """R1: ended calls that a complete replica of a running owner still has; meaningful once replicas are equal."""
        return [
            f"{name} holds {call}"
            for name, host in self.fleet.hosts.items()
            for replica in host.replicas.held_replicas.values()
            if replica.owner_gone_ms == float("inf") and replica.table.is_complete()
            for call in replica.table.states_of(ESTABLISHED)
            if call in self.call_ends
        ]
