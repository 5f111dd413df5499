"""Simulates a fleet: each member runs the production View on a host of the virtual network.

`Fleet` starts, kills, stalls and restarts members and records the removals that each view reports. `alive_everywhere`,
`gone_everywhere` and `converged` compare the members' tables.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from leadslip.fleet import wire
from leadslip.fleet.view.members import Change, State, process_of
from leadslip.fleet.view.view import OwnMember, ProtocolTiming, StartSync, View
from leadslip.lab.network import Clock, Network
from leadslip.metrics import Metrics

CONDITION_STEP_MS = 20.0  # between two evaluations of a condition in `run_until`
TIMER_TOLERANCE_MS = 1e-6  # rounding error between a host's clock and the simulation's
KEY = b"the key of the lab"  # with which all hosts authenticate their messages


class MessagingPart(Protocol):
    """A part that exchanges messages over the fleet; the host transports them as net/peers.py does in production."""

    outbox: list[tuple[int, bytes]]  # messages to send: run of the receiver, body
    wake_ms: float  # when to call `on_timer` next, by the host's monotonic clock

    def on_message(self, now_ms: float, run: int, body: bytes) -> None:
        """Handle a message that the member with this run sent."""

    def on_timer(self, now_ms: float) -> None:
        """Run the timers that have expired."""


class Host:
    """One process of a member: its view, its parts, its state, and the datagrams queued while it is stalled."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        address: str,
        seeds: tuple[str, ...],
        view_class: type[View],
        drift_ppm: float,
    ) -> None:
        self.fleet, self.name, self.address = fleet, name, address
        self.clock_rate = 1.0 + drift_ppm / 1e6  # speed of its monotonic clock
        self.authenticator = wire.Authenticator([KEY], view_class.max_version)
        self.view = view_class(
            OwnMember(name, address, f"zone{fleet.zone_of(name)}"),
            seeds,
            Random(fleet.rng.getrandbits(64)),
            fleet.metrics,
            fleet.timing,
            fleet.max_members,
        )
        self.up, self.stalled = True, False
        self.busy_ms = 0.0  # length of each stall of a busy process; 0: not busy
        self.out_of_descriptors = False  # out of file descriptors: opens no connection
        self.inbox: list[bytes] = []
        self.next_wake_ms = float("inf")
        self.view.listeners.append(self.on_change)
        self.parts_by_name: dict[str, MessagingPart] = {}

    @property
    def now_ms(self) -> float:
        """The host's monotonic clock, with its drift."""
        return self.fleet.clock.now_ms * self.clock_rate

    def on_change(self, change: Change) -> None:
        """Report a change of the view to the fleet's record."""
        self.fleet.record_change(self, change)

    def deliver(self, data: bytes) -> None:
        """Handle a datagram or part message; queued while the process is stalled."""
        if not self.up:
            return
        if self.stalled:
            self.inbox.append(data)
            return
        try:
            message = wire.decode(self.authenticator.verify(data))
        except wire.WireError as error:
            self.fleet.metrics.add(f"fleet.refused.{error}")
            return
        if isinstance(message, wire.PartMessage):
            self.receive_part_message(message)
        else:
            self.view.on_message(self.now_ms, message)
        self.flush()

    def receive_part_message(self, message: wire.PartMessage) -> None:
        """Hand a message to its part if both runs are current, the sender is live and the message is no replay."""
        member = self.view.table.get(message.sender_run)
        if (
            message.receiver_run != self.view.run
            or member is None
            or not member.live
            or member.run != message.sender_run
        ):
            return
        if message.part in self.parts_by_name and self.view.replay_filter.accept(
            message.sender_run, message.sequence_number
        ):
            self.parts_by_name[message.part].on_message(self.now_ms, message.sender_run, message.body)

    def send_part_message(self, part: str, run: int, body: bytes) -> None:
        """Send a message of a part in a datagram if it fits, otherwise over a connection in one exchange."""
        member = self.view.table.get(run)
        if member is None or not member.live or self.view.version_for(run) < 3:
            return
        message = wire.PartMessage(next(self.view.message_counter), self.view.run, run, 0, part, body)
        data = self.authenticator.sign(wire.encode(message), 3)
        network = self.fleet.network
        if len(data) <= wire.MAX_DATAGRAM_BYTES:
            network.send(self.address, member.address, data)
            return

        def deliver_stream() -> int:
            receive = network.hosts.get(member.address)
            if receive is not None:
                receive(data)
            return len(data)

        network.connect(self.address, member.address, deliver_stream)

    def on_timer(self) -> None:
        """Run the timers that are due; does nothing if the wake-up was rescheduled to a later time."""
        if not self.up or self.stalled or self.now_ms < self.next_wake_ms - TIMER_TOLERANCE_MS:
            return
        self.next_wake_ms = float("inf")
        now_ms = self.now_ms
        if now_ms >= self.view.wake_ms - TIMER_TOLERANCE_MS:
            self.view.on_timer(max(now_ms, self.view.wake_ms))
        for part in self.parts_by_name.values():
            if now_ms >= part.wake_ms - TIMER_TOLERANCE_MS:
                part.on_timer(max(now_ms, part.wake_ms))
        self.flush()

    def flush(self) -> None:
        """Send the outgoing messages of the view and the parts, and schedule the next timer."""
        outgoing, self.view.outbox = self.view.outbox, []
        for item in outgoing:
            if isinstance(item, StartSync):
                self.fleet.sync_tables(self, item.address)
            else:
                data = self.authenticator.sign(
                    wire.encode(item.message), self.view.version_for(item.message.receiver_run)
                )
                self.fleet.network.send(self.address, item.address, data)
        for name, part in self.parts_by_name.items():
            messages, part.outbox = part.outbox, []
            for run, body in messages:
                self.send_part_message(name, run, body)
            self.run_part_hook(name)
        wake_ms = min([self.view.wake_ms, *(part.wake_ms for part in self.parts_by_name.values())])
        if wake_ms < self.next_wake_ms:
            self.next_wake_ms = wake_ms
            self.fleet.clock.call_at(self.next_wake_ms / self.clock_rate, self.on_timer)

    def run_part_hook(self, name: str) -> None:
        """Run the hook in `Fleet.part_hooks` for a part, after the part may have done work."""
        hook = self.fleet.part_hooks.get(name)
        if hook is not None:
            hook(self)

    def stall(self, for_ms: float) -> None:
        """Stall the process for a time, or until `resume` if it is infinite."""
        if self.up and not self.stalled:
            self.stalled = True
            if for_ms < float("inf"):
                self.fleet.clock.call_at(self.fleet.clock.now_ms + for_ms, self.resume)

    def cycle_stalls(self) -> None:
        """Simulate a busy process: alternate stalls of `busy_ms` with running for as long, until `busy_ms` is 0."""
        if self.up and self.busy_ms:
            self.stall(self.busy_ms)
            self.fleet.clock.call_at(self.fleet.clock.now_ms + 2 * self.busy_ms, self.cycle_stalls)

    def resume(self) -> None:
        """End a stall as a process does: overdue timers run first, then the latest 500 of the queued datagrams."""
        if not self.up or not self.stalled:
            return
        self.stalled = False
        self.next_wake_ms = float("inf")  # timers that fired during the stall were skipped
        self.view.on_timer(self.now_ms)
        for part in self.parts_by_name.values():
            part.on_timer(self.now_ms)
        self.flush()
        queued, self.inbox = self.inbox, []
        for data in queued[-500:]:
            self.deliver(data)


class Fleet:
    """A simulated fleet on a virtual clock and network; what happens depends on the seed alone."""

    def __init__(
        self,
        seed: int,
        timing: ProtocolTiming = ProtocolTiming(),  # noqa: B008
        zones: int = 4,
        max_members: int = 4096,
    ) -> None:
        self.rng, self.metrics, self.timing, self.zones = Random(seed), Metrics(), timing, zones
        self.max_members = max_members
        self.clock = Clock()
        self.network = Network(self.clock, Random(self.rng.getrandbits(64)))
        self.hosts: dict[str, Host] = {}
        # Part name -> hook run after the part may have done work.
        self.part_hooks: dict[str, Callable[[Host], None]] = {}
        # Time, name of the member that removed the run from its view, the run, the state that it got.
        self.removals: list[tuple[float, str, int, State]] = []

    def zone_of(self, name: str) -> int:
        """The index of a member's zone, derived from its name."""
        return sum(name.encode()) % self.zones

    def add(
        self,
        name: str,
        seeds: tuple[str, ...] | None = None,
        address: str = "",
        prepare_view: Callable[[View], None] | None = None,
        view_class: type[View] = View,
        drift_ppm: float = 0.0,
    ) -> Host:
        """Start a member, or restart one without its state; `prepare_view` is called with its view before that starts.

        `view_class` is the View class that it runs. By default, its seeds are the first three hosts.
        """
        address = address or f"{name}:7946"
        if seeds is None:
            seeds = tuple(f"{seed_name}:7946" for seed_name in list(self.hosts)[:3])
        host = self.hosts[name] = Host(self, name, address, seeds, view_class, drift_ppm)
        self.network.hosts[address] = host.deliver
        if prepare_view is not None:
            prepare_view(host.view)
        host.view.start(host.now_ms)
        host.flush()
        return host

    def grow(self, members: int) -> None:
        """Start `members` members and run until the views converge."""
        for i in range(members):
            self.add(f"p{i:04d}")
            self.run(10.0)
        self.run_until(self.converged, 60_000.0)

    def kill(self, name: str) -> Host:
        """Kill a process, without notice to the others."""
        host = self.hosts.pop(name)
        host.up = False
        if self.network.hosts.get(host.address) == host.deliver:
            del self.network.hosts[host.address]
        return host

    def leave(self, name: str) -> Host:
        """Let a member leave the fleet gracefully, and end its process 300 ms later."""
        host = self.hosts[name]
        host.view.leave(host.now_ms)
        host.flush()
        self.run(300.0)
        return self.kill(name)

    def sync_tables(self, host: Host, address: str) -> None:
        """Run an anti-entropy session between a host and the one at an address, over a simulated connection."""

        def exchange() -> int:
            other = next(
                (candidate for candidate in self.hosts.values() if candidate.address == address), None
            )
            if other is None or any(
                not member.up or member.stalled or member.out_of_descriptors for member in (host, other)
            ):
                return 0
            request = host.view.begin_sync(host.now_ms, other.view.hello(1), 2)
            answer = other.view.answer_sync(other.now_ms, request)
            newer_records = host.view.complete_sync(host.now_ms, answer, 1)
            other.view.accept_sync(other.now_ms, newer_records)
            version = host.view.version_for(other.view.run)
            size = sum(
                len(wire.encode_frame(message, version)) + wire.AUTH_HEADER_BYTES + 4
                for message in (request, answer, newer_records)
            )
            host.view.charge_sync(size)
            host.flush()
            other.flush()
            return size

        self.network.connect(host.address, address, exchange)

    def partition(self, *parts: Iterable[str]) -> None:
        """Block all paths between these groups of members; those in none form a group of their own."""
        group_by_address = {f"{name}:7946": i for i, part in enumerate(parts) for name in part}
        self.network.conditions.blocked = lambda source, target: (
            group_by_address.get(source, -1) != group_by_address.get(target, -1)
        )

    def heal(self) -> None:
        """End a partition."""
        self.network.conditions.blocked = None

    def run(self, for_ms: float) -> None:
        """Advance the simulation by `for_ms`."""
        self.clock.run(self.clock.now_ms + for_ms)

    def run_until(self, condition: Callable[[], bool], timeout_ms: float) -> float:
        """Run until `condition` is true; returns the time it took in ms, or inf after `timeout_ms`."""
        began_ms = self.clock.now_ms
        while not condition():
            if self.clock.now_ms - began_ms >= timeout_ms:
                return float("inf")
            self.run(CONDITION_STEP_MS)
        return self.clock.now_ms - began_ms

    def record_change(self, host: Host, change: Change) -> None:
        """Record the run that a change removes from a member's view, if it removes one."""
        previous, current = change.before, change.after
        if (
            previous is not None
            and previous.live
            and (current is None or not current.live or current.run != previous.run)
        ):
            state = State.DEAD if current is None or current.live else current.state
            self.removals.append((self.clock.now_ms, host.name, previous.run, state))

    def converged(self) -> bool:
        """Whether all members hold the same view, which lists exactly the running processes."""
        running = {process_of(host.view.run) for host in self.hosts.values()}
        digests = {host.view.digest() for host in self.hosts.values()}
        if len(digests) != 1:
            return False
        members = {process_of(member.run) for member in next(iter(self.hosts.values())).view.members()}
        return members == running

    def gone_everywhere(self, run: int) -> bool:
        """Whether every running member holds this run as dead or left."""
        return all(host.view.table.status(run) >= State.DEAD for host in self.hosts.values())

    def alive_everywhere(self, run: int) -> bool:
        """Whether every running member holds this run as alive or suspect."""
        return all(host.view.table.status(run) < State.DEAD for host in self.hosts.values())

    def false_removals(self) -> list[tuple[float, str, int, State]]:
        """The entries of `removals` for runs whose process is still running."""
        running = {process_of(host.view.run) for host in self.hosts.values()}
        return [removal for removal in self.removals if process_of(removal[2]) in running]

    def traffic(self) -> tuple[float, float, float]:
        """Datagrams, bytes in datagrams, and bytes over connections sent so far, as the mean per member."""
        count = max(1, len(self.hosts))
        network = self.network
        return (
            sum(network.datagrams.values()) / count,
            sum(network.bytes.values()) / count,
            sum(network.streamed.values()) / count,
        )
