"""Membership protocol of the fleet: SWIM failure detection with Lifeguard's local health, and anti-entropy syncs.

Each process has one `View`, driven by `on_message`, `on_timer` and the methods of a sync; it leaves messages in
`outbox` and the time of its next timer in `wake_ms`. Times are milliseconds of the process's monotonic clock. Pure:
time and randomness are passed in; net/peers.py, the fault-injection runs and the simulation all run this code.

Each `probe_interval_ms` the next member of a shuffled list is pinged. A member that does not answer in
`ack_timeout_ms` is pinged through up to three relays; if no answer arrives in twice that time more, it is suspected,
and declared dead unless it refutes the suspicion in time (suspicion.py). Updates are piggybacked on pings and answers,
and sent in messages of their own while they are fresh. Members that missed updates detect that by the digest in every
ping and answer, and sync their tables over TCP. Once a second a ping is sent to the address of a dead member or of a
seed, to be answered by whichever process is there, so that a partition heals.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import ClassVar

from leadslip.fleet import wire
from leadslip.fleet.view.gossip_queue import UPDATE_BYTES, GossipQueue
from leadslip.fleet.view.members import (
    BUCKETS,
    GENERATION_MASK,
    UNKNOWN,
    Change,
    Member,
    State,
    Table,
    draw_run,
    process_of,
)
from leadslip.fleet.view.suspicion import DEFERRAL_MS, Health, Suspicion
from leadslip.fleet.view.token_bucket import TokenBucket
from leadslip.metrics import Metrics

# Bytes of a ping or answer that are left for updates.
GOSSIP_ROOM_BYTES = wire.MAX_DATAGRAM_BYTES - wire.AUTH_HEADER_BYTES - 155
SUSPECT_PING_INTERVAL_MS = 250.0  # between two pings of a suspected member
# Pings to all suspected members together; the lower rate applies while a partition is assumed.
SUSPECT_PINGS_PER_MS, SUSPECT_PINGS_PER_MS_PARTITIONED = 0.012, 0.002
SUSPECTS_PINGED_ON_RECOVERY = 3  # suspects pinged at once when one of them is heard from again
FINAL_PROBES = 2  # sent before a member is declared dead
FINAL_PROBE_FACTOR = 3.2  # time for a final probe and its relays, as a multiple of the answer time-out
CONFIRMERS = 3  # members that are asked to probe a newly suspected member themselves
# With more suspicions than this a partition is assumed; with more queued updates, gossip is sent less frequently.
PARTITION_SUSPICIONS = 8
RELAYS = 3  # members asked to ping one that does not answer
GOSSIP_FANOUT = 3  # members that fresh updates are sent to at once
MAX_SYNC_UPDATES = 8  # if a sync changes more members, the changes are spread by further syncs, not by gossip
DIVERGED_MEMBERS = 4  # views whose live counts differ by this much are synced without a grace period
CONFIRMED_ALIVE_MS = 1500.0  # a process not confirmed alive by any member for longer declares none dead ...
UNCONFIRMED_LIMIT_MS = 10_000.0  # ... until this long after the time-out, as nobody may be left to confirm it
REFUTATION_REPEAT_MS = 2000.0  # how long after a refutation every ping and answer carries it
PAUSE_THRESHOLD_MS = 400.0  # a timer later than this shows that the process was paused
RELAY_REQUESTS_PER_MS, RELAY_REQUEST_BURST = 0.003, 18.0  # token bucket of requests to relays ...
FINAL_PROBE_RESERVE = 6.0  # ... of which this many are reserved for final probes
FINAL_PROBE_MAX_DELAY_MS = 2000.0  # longest wait of a final probe for relay tokens
SYNC_BYTES_PER_MS, SYNC_BURST_BYTES = 0.3, 14_000.0  # token bucket of syncs initiated here
RELAYED_PROBES = 3  # after this many probes in a row answered through relays only, a path counts as blocked


@dataclass(frozen=True, slots=True)
class ProtocolTiming:
    """Intervals and time-outs of the protocol, in milliseconds."""

    probe_interval_ms: float = 90.0
    ack_timeout_ms: float = 120.0  # after which relays are asked to ping
    gossip_interval_ms: float = 150.0  # between two rounds in which fresh updates are sent
    reconnect_interval_ms: float = 1000.0  # between two pings to dead members or seeds
    sync_interval_ms: float = 20_000.0  # between two syncs with a random member
    min_sync_gap_ms: float = 600.0  # between any two syncs initiated here
    divergence_grace_ms: float = 1500.0  # how long digests may differ while updates are being disseminated
    eviction_interval_ms: float = 60_000.0  # between two evictions of ended members


@dataclass(frozen=True, slots=True)
class OwnMember:
    """What a process publishes about itself."""

    name: str
    address: str  # "host:port" at which other members reach it
    zone: str = ""
    metadata: dict[str, str | int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Datagram:
    """Instruction to the transport: send a message to an address in a datagram."""

    address: str
    message: wire.AnyMessage


@dataclass(frozen=True, slots=True)
class StartSync:
    """Instruction to the transport: connect to an address and sync tables with the member there."""

    address: str


class Probe:
    """A ping that has not been answered yet, and the relays asked to ping the same member."""

    __slots__ = ("run", "address", "sent_ms", "max_relays", "final", "asked", "nacks")

    def __init__(
        self, run: int, address: str, sent_ms: float, max_relays: int = 0, final: bool = False
    ) -> None:
        self.run, self.address, self.sent_ms = run, address, sent_ms  # run 0: whichever process answers
        self.final = final  # sent to a suspected member after the time-out, before it is declared dead
        self.max_relays = max_relays  # how many relays may be asked at first; a Nack may name a further one
        self.asked: list[int] = []  # process numbers of the relays asked
        self.nacks = 0  # relays that reported that the target has not answered them


@dataclass(slots=True)
class RelayedPing:
    """A ping sent on behalf of another member."""

    requester: int  # run of the member that asked for it
    address: str  # the requester's
    seq: int  # of the requester's ping
    target: int  # run of the member to ping


class View:
    """One process's view of the fleet: its member table and the protocol that keeps it up to date."""

    max_version: ClassVar[int] = wire.VERSION  # newest wire version that this process supports

    def __init__(
        self,
        me: OwnMember,
        seeds: tuple[str, ...],
        rng: Random,
        metrics: Metrics,
        timing: ProtocolTiming,
        max_members: int,
    ) -> None:
        self.seeds = tuple(seed for seed in seeds if seed != me.address)
        self.rng, self.metrics, self.timing = rng, metrics, timing
        self.outbox: list[Datagram | StartSync] = []  # to be carried out by the transport
        self.listeners: list[Callable[[Change], None]] = []  # called after each change of the table
        # Called with our new run after the previous one was declared dead.
        self.generation_listeners: list[Callable[[int], None]] = []
        # Reports of the agreed settings' freshness (fleet/agreement), piggybacked on answers. The first callback
        # returns ours; the second gets another member's run, when we sent the ping that it answers, and its report.
        self.freshness_report: Callable[[float], list[int]] = lambda now_ms: []
        self.on_freshness_report: Callable[[int, float, list[int]], None] = lambda run, sent_ms, report: None
        self.table = Table(max_members, metrics)
        self.table.on_change = self._on_table_change
        self.gossip_queue, self.health, self.replay_filter = GossipQueue(), Health(), wire.ReplayFilter()
        self.message_counter = wire.message_counter()
        self.run = draw_run(rng)
        self.me = me
        self.incarnation = 0
        self.edition = 0  # of our metadata
        self.leaving = False  # whether `leave` has been called
        self.joined = False  # whether a sync with another member has completed
        self.refuted_ms = -float("inf")  # when we last refuted a suspicion of us
        # When we sent the latest ping whose answer shows us as live in a member's table.
        self.confirmed_alive_ms = -float("inf")
        self.probes: dict[int, Probe] = {}  # by the ping's seq
        self.relayed_pings: dict[int, RelayedPing] = {}  # by the seq of the ping sent for another member
        self.suspicions: dict[int, Suspicion] = {}  # by process
        self.last_relays: dict[int, int] = {}  # process -> process that last relayed its answer
        self.relayed_counts: dict[int, int] = {}  # process -> probes in a row answered through relays only
        self.probe_order: list[int] = []  # processes still to be probed in this round; the last one is next
        self.live_others: list[Member] | None = None  # cached live members but ourselves; None: invalidated
        self.seq = rng.getrandbits(24)  # number of the last ping
        # Heap of (due time, number, callback, argument); the number orders timers that are due at the same time.
        self.timers: list[tuple[float, int, Callable, int]] = []
        self.timer_number = 0
        self.wake_ms = float("inf")  # when `on_timer` is to be called next
        self.diverged_since_ms = 0.0  # since when digests received from other members have differed from ours
        self.last_diverged_ms = -float("inf")  # when a digest last differed
        self.last_sync_ms = -float("inf")  # when we last initiated a sync
        self.relay_tokens, self.sync_tokens = (
            TokenBucket(RELAY_REQUESTS_PER_MS, RELAY_REQUEST_BURST),
            TokenBucket(SYNC_BYTES_PER_MS, SYNC_BURST_BYTES),
        )
        self.pending_changes: list[Change] = []  # not yet reported to the listeners
        self.notifying = False  # whether listeners are being called

    # Queries by other parts of this process.

    def members(self) -> list[Member]:
        """Returns all live members in a stable order, ourselves included."""
        return self.table.live_members()

    def digest(self) -> int:
        """Returns a digest, equal at two processes if they hold the same live members in the same states."""
        return self.table.live_digest ^ self.table.suspect_digest

    def confirmed_age_ms(self, now_ms: float) -> float:
        """Returns the age of the latest ping that a member answered with us as live in its table; inf if none."""
        return now_ms - self.confirmed_alive_ms

    def version_for(self, run: int) -> int:
        """Returns the newest wire version that a member and we both support; the oldest if it is unknown."""
        member = self.table.get(run) if run else None
        return (
            wire.MIN_VERSION
            if member is None
            else max(wire.MIN_VERSION, min(member.max_version, self.max_version))
        )

    def is_relayed_only(self, run: int) -> bool:
        """Whether a member answers through relays only: the direct path to it, or back, is blocked."""
        return self.relayed_counts.get(process_of(run), 0) >= RELAYED_PROBES

    # Start, timers and leaving.

    def start(self, now_ms: float) -> None:
        """Enters this process into its table and starts the timers; joining begins with pings to the seeds."""
        self._publish_self(now_ms)
        timing = self.timing
        self._schedule(now_ms + self.rng.random() * timing.probe_interval_ms, self._probe_next)
        self._schedule(now_ms + self.rng.random() * timing.gossip_interval_ms, self._gossip_round)
        self._schedule(now_ms, self._contact_absent)
        self._schedule(now_ms + (0.5 + self.rng.random()) * timing.sync_interval_ms, self._sync_with_random)
        self._schedule(now_ms + timing.eviction_interval_ms, self._evict_ended)
        self._update_wake_ms()

    def set_metadata(self, now_ms: float, metadata: dict[str, str | int]) -> None:
        """Replaces our metadata and disseminates it; does nothing if it is unchanged or we are leaving."""
        if metadata == self.me.metadata or self.leaving:
            return
        self.me = OwnMember(self.me.name, self.me.address, self.me.zone, metadata)
        self.edition += 1
        self.incarnation += 1  # wire version 1 has no edition; its members compare incarnations
        self._publish_self(now_ms)
        self._update_wake_ms()

    def leave(self, now_ms: float) -> None:
        """Leaves the fleet: notifies other members, so that none suspects us."""
        if self.leaving:
            return
        self.leaving = True
        member = self.table.apply_update(wire.MemberUpdate(self.run, State.LEFT, self.incarnation), now_ms)
        self.gossip_queue.add(member, complete=False)
        for _ in range(3):
            self._send_gossip(now_ms)
        self._update_wake_ms()

    def on_timer(self, now_ms: float) -> None:
        """Runs the timers that are due; to be called at `wake_ms`. A call long after that counts as a pause."""
        late_ms = now_ms - self.wake_ms
        if late_ms > PAUSE_THRESHOLD_MS:
            self._on_pause(late_ms)
        while self.timers and self.timers[0][0] <= now_ms:
            _, _, callback, argument = heapq.heappop(self.timers)
            callback(now_ms, argument)
        self._update_wake_ms()

    def _on_pause(self, late_ms: float) -> None:
        """Handles a pause of this process: answers missed meanwhile are no evidence against other members."""
        self.metrics.add("fleet.stalls")
        self.health.worse(2)
        self.probes.clear()
        self.relayed_pings.clear()
        for suspicion in self.suspicions.values():
            suspicion.paused_ms += late_ms

    def _schedule(self, due_ms: float, callback: Callable[[float, int], None], argument: int = 0) -> None:
        self.timer_number += 1
        heapq.heappush(self.timers, (due_ms, self.timer_number, callback, argument))

    def _update_wake_ms(self) -> None:
        self.wake_ms = self.timers[0][0] if self.timers else float("inf")

    # Received messages.

    def on_message(self, now_ms: float, message: wire.AnyMessage) -> None:
        """Handles a message that arrived as a datagram, after it was verified and decoded."""
        if process_of(message.sender_run) == process_of(self.run):
            return  # our own message, returned to us
        if not self.replay_filter.accept(message.sender_run, message.sequence_number):
            self.metrics.add("fleet.replayed")
            return
        if process_of(message.sender_run) in self.suspicions:
            self._clear_suspicion(now_ms, message.sender_run)
        if message.receiver_run and process_of(message.receiver_run) != process_of(self.run):
            if isinstance(message, wire.Ping):
                # For an earlier process at our address: our answer shows the sender that it has ended.
                self._send(
                    message.address, self._ack(now_ms, message.sender_run, message.seq, same_view=True)
                )
            else:
                self.metrics.add("fleet.for_another")
            return
        match message:
            case wire.Ping():
                self._on_ping(now_ms, message)
            case wire.Ack():
                self._on_ack(now_ms, message)
            case wire.PingRequest():
                self._on_ping_request(now_ms, message)
            case wire.Nack():
                self._on_nack(message)
            case wire.Gossip():
                self._apply_gossip(now_ms, message)
            case _:
                self.metrics.add("fleet.misplaced")
        self._update_wake_ms()

    def _on_ping(self, now_ms: float, ping: wire.Ping) -> None:
        # A ping addressed to no run may have been recorded before our start: it is answered, but not merged.
        if ping.receiver_run:
            self._apply_gossip(now_ms, ping)
            self._check_divergence(now_ms, ping)
        same_view = ping.digest == self.table.live_digest
        if same_view and ping.receiver_run:
            self.gossip_queue.count_as_sent(len(self.table))
        self._send(ping.address, self._ack(now_ms, ping.sender_run, ping.seq, same_view))

    def _ack(self, now_ms: float, to: int, seq: int, same_view: bool) -> wire.Ack:
        """Builds an answer; with `same_view`, the receiver needs no queued updates, and gets none."""
        updates, records = self._priority_updates(now_ms, to), []
        if not same_view:
            updates, records = self._select_updates(now_ms, to, updates)
        return wire.Ack(
            next(self.message_counter),
            self.run,
            to,
            seq,
            self.table.status(to),
            len(self.table),
            self.table.live_digest,
            updates,
            records,
            freshness=self.freshness_report(now_ms),
        )

    def _on_ack(self, now_ms: float, ack: wire.Ack) -> None:
        self._apply_gossip(now_ms, ack)  # even if the answer is late: it may refute our suspicion
        relayed_ping = self.relayed_pings.pop(ack.seq, None)
        if relayed_ping is not None:
            if not ack.relayed_from and process_of(ack.sender_run) == process_of(relayed_ping.target):
                # The status in the answer is about us, not about the requester.
                relayed_ack = wire.Ack(
                    next(self.message_counter),
                    self.run,
                    relayed_ping.requester,
                    relayed_ping.seq,
                    UNKNOWN,
                    0,
                    0,
                    [],
                    [],
                    ack.sender_run,
                )
                self._send(relayed_ping.address, relayed_ack)
            return
        probe = self.probes.pop(ack.seq, None)
        if probe is None:
            return  # the answer is late, or another one came first
        answering_run = ack.relayed_from or ack.sender_run
        if not probe.run:
            self._on_contact(now_ms, ack, probe.address)
            return
        if process_of(answering_run) != process_of(probe.run):
            self._declare_replaced(now_ms, probe.run)
            return
        self.health.better()
        process = process_of(probe.run)
        if ack.relayed_from:
            self.last_relays[process] = process_of(ack.sender_run)
            self.relayed_counts[process] = self.relayed_counts.get(process, 0) + 1
            if self.relayed_counts[process] == RELAYED_PROBES:
                self.metrics.add("fleet.ways_cut")
        else:
            self.relayed_counts.pop(process, None)
            self.last_relays.pop(process, None)
        if ack.relayed_from:
            self._clear_suspicion(now_ms, ack.relayed_from)
            return
        self._on_own_status(now_ms, ack, probe.sent_ms)
        self._check_divergence(now_ms, ack)
        if ack.freshness:
            self.on_freshness_report(ack.sender_run, probe.sent_ms, ack.freshness)

    def _on_own_status(self, now_ms: float, ack: wire.Ack, sent_ms: float) -> None:
        """Handles our state in the table of a member that answers our ping of `sent_ms`; ignored for an earlier run."""
        if ack.receiver_run != self.run:
            return
        if ack.status in (State.ALIVE, State.SUSPECT):
            self.confirmed_alive_ms = max(self.confirmed_alive_ms, sent_ms)
        elif ack.status in (State.DEAD, State.LEFT):
            self._start_generation(now_ms, self.run)

    def _on_contact(self, now_ms: float, ack: wire.Ack, address: str) -> None:
        """Handles an answer from a dead member's or a seed's address: syncs unless each has the other as alive."""
        self._on_own_status(now_ms, ack, -float("inf"))
        if ack.status != State.ALIVE or self.table.status(ack.sender_run) != State.ALIVE or not self.joined:
            self._start_sync(now_ms, address)

    def _check_divergence(self, now_ms: float, message: wire.Ping | wire.Ack) -> None:
        """Compares a member's digest with ours; starts a sync if digests have differed for longer than a grace period.

        Updates still being disseminated make digests differ for a short time. An equal digest from another member does
        not reset the period, as half of the fleet may have a different view.
        """
        if message.digest == self.table.live_digest:
            return
        if now_ms - self.last_diverged_ms > 3 * self.timing.divergence_grace_ms:
            self.diverged_since_ms = now_ms
        self.last_diverged_ms = now_ms
        large_difference = abs(message.live_count - len(self.table)) >= DIVERGED_MEMBERS
        if large_difference or now_ms - self.diverged_since_ms > self.timing.divergence_grace_ms:
            member = self.table.get(message.sender_run)
            if member is not None and member.live:
                self._start_sync(now_ms, member.address)

    def _on_ping_request(self, now_ms: float, request: wire.PingRequest) -> None:
        """Pings the target on the requester's behalf, unless too many such pings are open."""
        if len(self.relayed_pings) >= 256:
            self.metrics.add("fleet.errands_refused")
            return
        seq = self._next_seq()
        self.relayed_pings[seq] = RelayedPing(
            request.sender_run, request.address, request.seq, request.target
        )
        self._send_ping(now_ms, seq, request.target, request.target_address)
        self._schedule(now_ms + self.timing.ack_timeout_ms, self._send_nack, seq)
        self._schedule(now_ms + 4 * self.timing.ack_timeout_ms, self._expire_relayed_ping, seq)

    def _send_nack(self, now_ms: float, seq: int) -> None:
        """Tells the requester of a relayed ping that the target has not answered yet."""
        relayed_ping = self.relayed_pings.get(seq)
        if relayed_ping is not None:
            last_relay = self.table.by_process.get(self.last_relays.get(process_of(relayed_ping.target), 0))
            relay = last_relay.run if last_relay is not None and last_relay.live else 0
            self._send(
                relayed_ping.address,
                wire.Nack(
                    next(self.message_counter), self.run, relayed_ping.requester, relayed_ping.seq, relay
                ),
            )

    def _on_nack(self, nack: wire.Nack) -> None:
        """Handles a Nack: if it names another relay that has reached the target, that relay is asked too."""
        probe = self.probes.get(nack.seq)
        if probe is None:
            return
        probe.nacks += 1
        relay = self.table.get(nack.relay) if nack.relay else None
        if (
            relay is not None
            and relay.live
            and process_of(relay.run) not in (process_of(self.run), process_of(probe.run))
        ):
            self._send_ping_request(relay, nack.seq, probe)

    def _send_ping_request(self, relay: Member, seq: int, probe: Probe) -> None:
        process = process_of(relay.run)
        if process not in probe.asked:
            probe.asked.append(process)
            if process != self.last_relays.get(process_of(probe.run)):
                # The relay known to work is not charged: asking it costs no more than a probe, also under faults.
                self.relay_tokens.spend(1)
            request = wire.PingRequest(
                next(self.message_counter),
                self.run,
                relay.run,
                seq,
                self.me.address,
                probe.run,
                probe.address,
            )
            self._send(relay.address, request)

    def _expire_relayed_ping(self, now_ms: float, seq: int) -> None:
        self.relayed_pings.pop(seq, None)

    # Received updates.

    def _apply_gossip(self, now_ms: float, message: wire.Ping | wire.Ack | wire.Gossip) -> None:
        # Prevents a member that receives nothing, and therefore declares all others dead, from having them declared
        # dead here: suspicions and deaths are merged only from a sender that is alive in our table.
        trusted = self.table.status(message.sender_run) == State.ALIVE
        for record in message.records:
            if not self._handle_own_update(now_ms, record.run, record.state, record.incarnation):
                member = self.table.merge(record, now_ms)
                if member is not None:
                    self.gossip_queue.add(member, complete=member.live)
        for update in message.updates:
            if self._handle_own_update(
                now_ms, update.run, update.state, update.incarnation, update.suspected_by
            ):
                continue
            if not trusted and update.state in (State.SUSPECT, State.DEAD):
                continue
            suspecting, before = self._suspecting_runs(update.run), self.table.get(update.run)
            member = self.table.apply_update(update, now_ms)
            if member is None:
                if update.state == State.SUSPECT:
                    self._confirm_suspicion(now_ms, update)
            elif member.state is State.SUSPECT:
                self._verify_suspicion(now_ms, member, update.suspected_by)
            elif suspecting and member.live:
                self._send_update(member, suspecting)  # a refutation, for the members that suspect it
            elif not (member.live and before.live and member.run == before.run):
                self.gossip_queue.add(member, complete=False)

    def _handle_own_update(
        self, now_ms: float, run: int, state: int, incarnation: int, suspected_by: int = 0
    ) -> bool:
        """Returns whether an update is about this process; refutes a suspicion in it.

        If it declares this run dead, or is about a later generation, this process continues as a new generation.
        """
        if process_of(run) != process_of(self.run):
            return False
        if self.leaving:
            return True
        if run > self.run or (run == self.run and state >= State.DEAD):
            self._start_generation(now_ms, run)
        elif run == self.run and state == State.SUSPECT and incarnation >= self.incarnation:
            self.incarnation = incarnation + 1
            self.health.worse()
            self.refuted_ms = now_ms
            self.metrics.add("fleet.refuted")
            self._publish_self(now_ms)
            self.gossip_queue.drop(self.run)  # only the members that suspect us need the refutation
            self._send_update(self.table.get(self.run), {suspected_by})
        return True

    def _handle_own_metadata(self, now_ms: float, record: wire.MemberRecord) -> None:
        """Corrects our metadata at a member of wire version 1, which compares incarnations only."""
        if (
            not record.edition
            and not self.leaving
            and (record.run, record.incarnation) == (self.run, self.incarnation)
            and record.metadata != self.me.metadata
        ):
            self.incarnation += 1
            self._publish_self(now_ms)
            self.gossip_queue.add(self.table.get(self.run), complete=True)

    def _publish_self(self, now_ms: float) -> None:
        me = self.me
        record = wire.MemberRecord(
            self.run,
            int(State.ALIVE),
            self.incarnation,
            0,
            me.name,
            me.address,
            me.zone,
            wire.MIN_VERSION,
            self.max_version,
            me.metadata,
            self.edition,
        )
        before = self.table.get(self.run)
        member = self.table.merge(record, now_ms)
        if member is not None:
            same_metadata = before is not None and before.metadata == member.metadata
            self.gossip_queue.add(member, complete=not same_metadata)

    def _start_generation(self, now_ms: float, run: int) -> None:
        """Continues as the next generation after our run was declared dead: a dead run never lives again (V3).

        The new generation owns nothing that was granted to the previous one.
        """
        if self.leaving:
            return
        self.metrics.add("fleet.reborn")
        run = max(run, self.run)
        if run & GENERATION_MASK == GENERATION_MASK:
            # No generation is left: continues under another process number.
            self.table.apply_update(wire.MemberUpdate(run, State.DEAD, 0), now_ms)
            self.run = draw_run(self.rng)
        else:
            self.run = run + 1
        self.incarnation = 0
        self.confirmed_alive_ms = -float("inf")
        self._publish_self(now_ms)
        for listener in self.generation_listeners:
            listener(self.run)

    def _on_table_change(self, change: Change) -> None:
        """Updates derived state after a change of the table and notifies the listeners, all in the same order."""
        old_entry, new_entry = change.before, change.after
        process = process_of((new_entry or old_entry).run)
        if new_entry is None:
            self.last_relays.pop(process, None)
        if new_entry is None or not new_entry.live:
            self.relayed_counts.pop(process, None)
        self.live_others = None
        if (
            new_entry is not None
            and new_entry.live
            and (old_entry is None or not old_entry.live)
            and process != process_of(self.run)
        ):
            self.probe_order.insert(self.rng.randrange(len(self.probe_order) + 1), process)
        suspicion = self.suspicions.get(process)
        if suspicion is not None and not suspicion.is_about(new_entry):
            del self.suspicions[process]
        self.pending_changes.append(change)
        if self.notifying:  # a listener caused this change; the outer call reports it
            return
        self.notifying = True
        try:
            while self.pending_changes:
                change = self.pending_changes.pop(0)
                for listener in self.listeners:
                    listener(change)
        finally:
            self.notifying = False

    # Suspicion.

    def _suspect(self, now_ms: float, run: int) -> None:
        """Suspects a member, or confirms a suspicion of it, after our own probe of it has failed."""
        current = self.table.get(run)
        if current is None or current.run != run or not current.live:
            return
        suspected_by = self.run
        if current.state is State.SUSPECT:
            self._confirm_suspicion(now_ms, current.update(suspected_by))
            return
        member = self.table.apply_update(wire.MemberUpdate(run, State.SUSPECT, current.incarnation), now_ms)
        if member is not None:
            self.metrics.add("fleet.suspected")
            self._start_suspicion(now_ms, member, suspected_by)
            # A few members are asked to probe it themselves; the suspicion is not disseminated to the whole fleet.
            # While a partition is assumed nobody is asked: the probes would add nothing and be requested repeatedly.
            if len(self.suspicions) <= PARTITION_SUSPICIONS:
                candidates = [other for other in self._live_others() if other.state is State.ALIVE]
                self._send_update(
                    member,
                    {other.run for other in self.rng.sample(candidates, min(CONFIRMERS, len(candidates)))},
                    suspected_by,
                )

    def _start_suspicion(self, now_ms: float, member: Member, suspected_by: int) -> None:
        process = process_of(member.run)
        suspicion = Suspicion(member.run, member.incarnation, now_ms, len(self.table), suspected_by)
        self.suspicions[process] = suspicion
        self._schedule(suspicion.expires_ms(), self._on_suspicion_timeout, process)
        self._schedule(now_ms + SUSPECT_PING_INTERVAL_MS, self._reping_suspect, process)

    def _reping_suspect(self, now_ms: float, process: int) -> None:
        """Pings a suspected member and schedules the next ping, so that it can refute as soon as it is reachable."""
        suspicion = self.suspicions.get(process)
        if suspicion is not None:
            self._ping_suspect(now_ms, process, suspicion)
            # The rate limits the pings to all suspected members together, as a partition may cut off half of the fleet.
            rate = (
                SUSPECT_PINGS_PER_MS
                if len(self.suspicions) <= PARTITION_SUSPICIONS
                else SUSPECT_PINGS_PER_MS_PARTITIONED
            )
            self._schedule(
                now_ms + max(SUSPECT_PING_INTERVAL_MS, len(self.suspicions) / rate),
                self._reping_suspect,
                process,
            )

    def _ping_suspect(self, now_ms: float, process: int, suspicion: Suspicion) -> None:
        suspicion.pinged_ms = now_ms
        address = self.table.by_process[process].address
        seq = self._next_seq()
        self.probes[seq] = Probe(suspicion.run, address, now_ms)
        self._send_ping(now_ms, seq, suspicion.run, address)
        self._schedule(now_ms + 4 * self.timing.ack_timeout_ms, self._expire_probe, seq)

    def _clear_suspicion(self, now_ms: float, run: int) -> None:
        """Ends the suspicion of a member that was heard from, and pings others that may be reachable again too.

        Prevents suspicions raised in one outage of an unstable network from expiring during the next outage.
        """
        self.table.clear_suspicion(run, now_ms)
        if self.suspicions:
            not_pinged_lately = [
                (process, suspicion)
                for process, suspicion in self.suspicions.items()
                if now_ms - suspicion.pinged_ms >= SUSPECT_PING_INTERVAL_MS
            ]
            for process, suspicion in not_pinged_lately[:SUSPECTS_PINGED_ON_RECOVERY]:
                self._ping_suspect(now_ms, process, suspicion)

    def _confirm_suspicion(self, now_ms: float, update: wire.MemberUpdate) -> None:
        """Adds a confirmation to an existing suspicion."""
        process = process_of(update.run)
        suspicion = self.suspicions.get(process)
        if suspicion is None or (suspicion.run, suspicion.incarnation) != (update.run, update.incarnation):
            return
        suspecting = set(suspicion.suspected_by)
        if suspicion.confirm(update.suspected_by):
            self._schedule(suspicion.expires_ms(), self._on_suspicion_timeout, process)
            if update.suspected_by == self.run:
                self._send_update(self.table.get(update.run), suspecting, self.run)

    def _suspecting_runs(self, run: int) -> set[int]:
        """Returns the runs known to suspect a member, our own included."""
        suspicion = self.suspicions.get(process_of(run))
        return set(suspicion.suspected_by) if suspicion is not None else set()

    def _verify_suspicion(self, now_ms: float, member: Member, suspected_by: int) -> None:
        """Probes a member at once that another member suspects, to confirm or clear the suspicion."""
        self._start_suspicion(now_ms, member, suspected_by)
        # A single relay: the suspecting member asked for the result of this process itself.
        self._start_probe(now_ms, member, max_relays=1)

    def _send_update(self, member: Member, to: set[int], suspected_by: int = 0) -> None:
        """Sends our state of a member to some other members at once."""
        for run in sorted(to):
            receiver = self.table.get(run) if run else None
            if receiver is not None and receiver.live and process_of(run) != process_of(self.run):
                updates = [member.update(suspected_by)]
                self._send(
                    receiver.address, wire.Gossip(next(self.message_counter), self.run, receiver.run, updates)
                )

    def _on_suspicion_timeout(self, now_ms: float, process: int) -> None:
        """Timer: after the time-out, sends the final probes of a suspected member, then declares it dead.

        This is put off while relay tokens are short, while other members may declare the death first, and while no
        member confirms that this process itself is alive; each delay is limited.
        """
        suspicion = self.suspicions.get(process)
        if suspicion is None:
            return
        if now_ms < suspicion.expires_ms():
            self._schedule(suspicion.expires_ms(), self._on_suspicion_timeout, process)
            return
        late_ms = now_ms - suspicion.expires_ms()
        if suspicion.final_probes_sent < FINAL_PROBES:
            if self.relay_tokens.available(now_ms) < RELAYS and late_ms < FINAL_PROBE_MAX_DELAY_MS:
                self._schedule(now_ms + 2 * self.timing.ack_timeout_ms, self._on_suspicion_timeout, process)
                return
            if self.run not in suspicion.suspected_by and late_ms < DEFERRAL_MS:
                self._schedule(
                    now_ms + DEFERRAL_MS * (1.0 + self.rng.random()), self._on_suspicion_timeout, process
                )
                return
            # The ping of a final probe contains the suspicion, so a live member that it reaches refutes it now.
            suspicion.final_probes_sent += 1
            max_relays = RELAYS if len(self.suspicions) <= PARTITION_SUSPICIONS else 1
            self._start_probe(now_ms, self.table.by_process[process], max_relays, final=True)
            self._schedule(
                now_ms + self.health.scaled(FINAL_PROBE_FACTOR * self.timing.ack_timeout_ms),
                self._on_suspicion_timeout,
                process,
            )
            return
        if self.confirmed_age_ms(now_ms) > CONFIRMED_ALIVE_MS and late_ms < UNCONFIRMED_LIMIT_MS:
            self.metrics.add("fleet.unsure")
            self._schedule(now_ms + 2 * self.timing.ack_timeout_ms, self._on_suspicion_timeout, process)
            return
        del self.suspicions[process]
        self._declare_dead(now_ms, suspicion.run, "fleet.declared_dead")

    def _declare_replaced(self, now_ms: float, run: int) -> None:
        """Declares a member dead because another process answers at its address."""
        self._declare_dead(now_ms, run, "fleet.found_gone")

    def _declare_dead(self, now_ms: float, run: int, counter: str) -> None:
        current = self.table.get(run)
        if current is None or current.run != run or not current.live:
            return
        member = self.table.apply_update(wire.MemberUpdate(run, State.DEAD, current.incarnation), now_ms)
        self.metrics.add(counter)
        self.gossip_queue.add(member, complete=False)
        # The member is notified as well: if it lives, it continues as a new generation at once.
        self._send(member.address, wire.Gossip(next(self.message_counter), self.run, run, [member.update()]))

    # Timers.

    def _live_others(self) -> list[Member]:
        """Returns the live members but ourselves, in the order in which they became known."""
        if self.live_others is None:
            own_process = process_of(self.run)
            self.live_others = [
                member for member in self.table if member.live and process_of(member.run) != own_process
            ]
        return self.live_others

    def _probe_next(self, now_ms: float, _: int) -> None:
        """Timer: probes the next member of the round."""
        # Time-outs grow with the health score, but the interval between probes at most threefold: a process that a
        # partition has cut off from most relays judges itself slow, but still has to detect who is unreachable.
        self._schedule(
            now_ms
            + min(self.health.scaled(self.timing.probe_interval_ms), 3 * self.timing.probe_interval_ms),
            self._probe_next,
        )
        target = self._next_target()
        if target is not None and not self.leaving:
            self._start_probe(now_ms, target)

    def _start_probe(
        self, now_ms: float, target: Member, max_relays: int = RELAYS, final: bool = False
    ) -> None:
        seq = self._next_seq()
        self.probes[seq] = Probe(target.run, target.address, now_ms, max_relays, final)
        self._send_ping(now_ms, seq, target.run, target.address)
        self._schedule(now_ms + self.health.scaled(self.timing.ack_timeout_ms), self._request_relays, seq)

    def _next_target(self) -> Member | None:
        """Returns the next live member to probe: each once in a round, in an order shuffled anew for each round."""
        for _ in range(2):
            while self.probe_order:
                member = self.table.by_process.get(self.probe_order.pop())
                if member is not None and member.live:
                    return member
            self.probe_order = [process_of(member.run) for member in self._live_others()]
            self.rng.shuffle(self.probe_order)
        return None

    def _send_ping(self, now_ms: float, seq: int, run: int, address: str) -> None:
        updates, records = (
            self._select_updates(now_ms, run, self._priority_updates(now_ms, run)) if run else ([], [])
        )
        ping = wire.Ping(
            next(self.message_counter),
            self.run,
            run,
            seq,
            self.me.address,
            len(self.table),
            self.table.live_digest,
            updates,
            records,
        )
        self._send(address, ping)

    def _request_relays(self, now_ms: float, seq: int) -> None:
        """Timer: if a direct ping has not been answered, asks relays to ping the target.

        If a relay was needed to reach the target last time, only that one is asked first.
        """
        probe = self.probes.get(seq)
        if probe is None:
            return
        process = process_of(probe.run)
        candidates = [
            member
            for member in self._live_others()
            if process_of(member.run) != process and member.state is State.ALIVE
        ]
        tokens = self.relay_tokens.available(now_ms)
        max_relays = probe.max_relays
        if not probe.final and (
            tokens < RELAY_REQUEST_BURST / 2 or len(self.suspicions) > PARTITION_SUSPICIONS
        ):
            max_relays = min(1, max_relays) if tokens > FINAL_PROBE_RESERVE else 0
        last_relay = self.table.by_process.get(self.last_relays.get(process, 0))
        # If that relay fails too, `_on_probe_failed` forgets it, and the next probe asks others.
        use_last_relay = last_relay is not None and last_relay.live
        relays = (
            [last_relay] if use_last_relay else self.rng.sample(candidates, min(max_relays, len(candidates)))
        )
        for relay in relays:
            self._send_ping_request(relay, seq, probe)
        self._schedule(
            now_ms + self.health.scaled(2 * self.timing.ack_timeout_ms), self._on_probe_failed, seq
        )

    def _on_probe_failed(self, now_ms: float, seq: int) -> None:
        """Timer: suspects the target if no answer to the ping has arrived, directly or through a relay."""
        probe = self.probes.pop(seq, None)
        if probe is None:
            return
        if self.last_relays.get(process_of(probe.run)) in probe.asked:
            del self.last_relays[process_of(probe.run)]
        # A working relay sends a Nack if the target does not answer it; missing Nacks, or no relay to ask, are signs
        # that this process itself is slow or cut off.
        if probe.max_relays:
            self.health.worse(max(0, len(probe.asked) - probe.nacks) if probe.asked else 1)
        self._suspect(now_ms, probe.run)

    def _gossip_round(self, now_ms: float, _: int) -> None:
        many_updates = len(self.gossip_queue) > PARTITION_SUSPICIONS  # then collected into fewer datagrams
        self._schedule(
            now_ms + self.timing.gossip_interval_ms * (3 if many_updates else 1), self._gossip_round
        )
        if self.gossip_queue.has_fresh():
            self._send_gossip(now_ms)

    def _send_gossip(self, now_ms: float) -> None:
        others = self._live_others()
        for member in self.rng.sample(others, min(GOSSIP_FANOUT, len(others))):
            updates, records = self.gossip_queue.select(
                now_ms, len(self.table), GOSSIP_ROOM_BYTES + 60, self.table.get
            )
            if updates or records:
                self._send(
                    member.address,
                    wire.Gossip(next(self.message_counter), self.run, member.run, updates, records),
                )

    def _contact_absent(self, now_ms: float, _: int) -> None:
        """Timer: pings a dead member, or a seed at whose address no live member is; until joined, all such seeds."""
        self._schedule(
            now_ms + self.timing.reconnect_interval_ms * (1.0 if self.joined else 0.3), self._contact_absent
        )
        if self.leaving:
            return
        live_addresses = {member.address for member in self._live_others()}
        dead = [
            member.address
            for member in map(self.table.by_process.get, self.table.ended)
            if member.state is State.DEAD
        ]
        seeds = [seed for seed in self.seeds if seed not in live_addresses]
        choices = [addresses for addresses in (dead, seeds) if addresses]
        if not choices:
            return
        targets = [self.rng.choice(self.rng.choice(choices))] if self.joined else seeds
        for address in targets:
            if address != self.me.address and address not in live_addresses:
                seq = self._next_seq()
                self.probes[seq] = Probe(0, address, now_ms)
                self._send_ping(now_ms, seq, 0, address)
                self._schedule(now_ms + 4 * self.timing.reconnect_interval_ms, self._expire_probe, seq)

    def _priority_updates(self, now_ms: float, to: int) -> list[wire.MemberUpdate]:
        """Returns the updates that every ping or answer to a member carries first.

        These are the member's own state in our table unless it is alive, so that it can refute, and our own latest
        refutation for a while.
        """
        updates = []
        receiver = self.table.get(to)
        if receiver is not None and receiver.state is not State.ALIVE:
            updates.append(receiver.update())
        if now_ms - self.refuted_ms < REFUTATION_REPEAT_MS:
            updates.append(wire.MemberUpdate(self.run, int(State.ALIVE), self.incarnation))
        return updates

    def _select_updates(
        self, now_ms: float, to: int, priority: list[wire.MemberUpdate]
    ) -> tuple[list[wire.MemberUpdate], list[wire.MemberRecord]]:
        """Returns the updates and records for a message: the priority updates, then queued ones in the bytes left."""
        room = GOSSIP_ROOM_BYTES - UPDATE_BYTES * len(priority)
        updates, records = self.gossip_queue.select(now_ms, len(self.table), room, self.table.get)
        return priority + updates, records

    def _expire_probe(self, now_ms: float, seq: int) -> None:
        self.probes.pop(seq, None)

    def _evict_ended(self, now_ms: float, _: int) -> None:
        self._schedule(now_ms + self.timing.eviction_interval_ms, self._evict_ended)
        self.table.evict_ended(now_ms)

    # Syncs of tables; net/peers.py carries the messages over TCP.

    def _sync_with_random(self, now_ms: float, _: int) -> None:
        self._schedule(
            now_ms + (0.5 + self.rng.random()) * self.timing.sync_interval_ms, self._sync_with_random
        )
        others = self._live_others()
        if others:
            self._start_sync(now_ms, self.rng.choice(others).address)

    def _start_sync(self, now_ms: float, address: str) -> None:
        if now_ms - self.last_sync_ms < self.timing.min_sync_gap_ms or self.leaving:
            return
        if self.sync_tokens.available(now_ms) > 0.0 or not self.joined:
            self.last_sync_ms = now_ms
            self.metrics.add("fleet.comparisons")
            self.outbox.append(StartSync(address))

    def charge_sync(self, size: int) -> None:
        """Charges the bytes that a sync initiated here has transferred to the token bucket of syncs."""
        self.sync_tokens.spend(size)

    def hello(self, token: int) -> wire.Hello:
        """Returns the first message of a connection, sent by the accepting side."""
        return wire.Hello(next(self.message_counter), self.run, 0, token)

    def begin_sync(self, now_ms: float, hello: wire.Hello, token: int) -> wire.SyncRequest:
        """Initiator: returns the request, with our bucket digests and our own record; `token` must be in the answer."""
        record = self.table.get(self.run).record(now_ms)
        buckets = self.table.buckets
        if self.version_for(hello.sender_run) >= 2:
            buckets = [digest & wire.DIGEST_MASK for digest in buckets]
        return wire.SyncRequest(
            next(self.message_counter), self.run, hello.sender_run, hello.token, token, list(buckets), record
        )

    def answer_sync(self, now_ms: float, request: wire.SyncRequest) -> wire.SyncTable:
        """Accepting side: merges the initiator's own record; returns our members of the buckets that differ."""
        if len(request.buckets) != BUCKETS:
            raise wire.WireError("buckets")
        self._merge(now_ms, [request.sender])
        differing_buckets = [
            i
            for i, digest in enumerate(request.buckets)
            if (digest ^ self.table.buckets[i]) & wire.DIGEST_MASK
        ]
        members = [member.record(now_ms) for member in self.table.in_buckets(differing_buckets)]
        return wire.SyncTable(
            next(self.message_counter),
            self.run,
            request.sender_run,
            request.reply_token,
            0,
            members,
            differing_buckets,
        )

    def complete_sync(self, now_ms: float, answer: wire.SyncTable, token: int) -> wire.SyncTable:
        """Initiator: merges the answer; returns the records that are newer than the accepting side's, or new to it."""
        theirs = {process_of(record.run): record for record in answer.members}
        self._merge(now_ms, answer.members)
        self.joined = True
        self.diverged_since_ms = now_ms
        newer = [
            member.record(now_ms)
            for member in self.table.in_buckets(answer.differing_buckets)
            if member.is_newer_than(theirs.get(process_of(member.run)))
        ]
        self._update_wake_ms()
        return wire.SyncTable(next(self.message_counter), self.run, answer.sender_run, token, 0, newer)

    def accept_sync(self, now_ms: float, message: wire.SyncTable) -> None:
        """Accepting side: merges the newer records of the initiator."""
        self._merge(now_ms, message.members)
        self.joined = True
        self._update_wake_ms()

    def _merge(self, now_ms: float, records: list[wire.MemberRecord]) -> None:
        """Merges the records of a sync and queues the changes for gossip, unless there are too many of them."""
        changed = []
        for record in records:
            if self._handle_own_update(now_ms, record.run, record.state, record.incarnation):
                self._handle_own_metadata(now_ms, record)
                continue
            before = self.table.get(record.run)
            member = self.table.merge(record, now_ms)
            if member is None:
                continue
            changed.append((member, before is None or before.edition != member.edition))
            if member.live and member.address == self.me.address:
                self._declare_replaced(now_ms, member.run)  # an earlier process at our address
        if self.joined and len(changed) <= MAX_SYNC_UPDATES:
            for member, new_metadata in changed:
                self.gossip_queue.add(member, complete=new_metadata and member.live)

    # Helpers.

    def _next_seq(self) -> int:
        self.seq = (self.seq + 1) & 0xFFFFFFFF
        return self.seq

    def _send(self, address: str, message: wire.AnyMessage) -> None:
        self.outbox.append(Datagram(address, message))
