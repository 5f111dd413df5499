"""Replication at one proxy: owner of its table, holder of others' replicas, recovery after a restart. Pure, no I/O.

**Owner.** `put` changes the owner's table and gives the change a sequence number. Every `FLUSH_INTERVAL_MS` each holder
is sent the changes that it lacks, in batches and under a rate limit that does not grow when there are faults; changes
that are not acknowledged are sent again from the last acknowledged one on. A holder that needs changes which the
owner's log no longer has, or that has nothing, is sent full buckets, each with a digest, as many as the rate limit
allows; after an interruption only the buckets still missing follow. The owner sends its digests at intervals; a holder
that has the same sequence number but a diverging bucket requests that bucket again.

**Recovery.** When the owner of a replica is gone and another process of its name appears, the holders of the replica
offer it to that process. The new process fetches each bucket from the member that offers the latest version, serves
calls meanwhile, and adopts the calls that are still established; until then it reports that it is behind. The old
replicas are released only when the holders of the new process have acknowledged everything adopted.

**Generations.** The transport delivers messages from live runs only (net/peers.py). A later generation of a process
continues with the same table; changes from an earlier generation are rejected (fenced).
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from leadslip.fleet.replicas.placement import holders_of
from leadslip.fleet.replicas.table import BUCKETS, Record, Table, bucket_of
from leadslip.fleet.view.members import Change, State, process_of
from leadslip.fleet.view.token_bucket import TokenBucket
from leadslip.fleet.view.view import View
from leadslip.metrics import Metrics

FLUSH_INTERVAL_MS = 50.0
RETRANSMIT_MS = 500.0  # without an acknowledgement, or an answer to a request for buckets
DIGEST_INTERVAL_MS = 2000.0  # between two messages with digests to one holder
BATCH_BYTES = 16 * 1024  # of changes in one message; the last change may exceed it
MAX_LOG_RECORDS = 20_000  # changes that an owner retains for holders that are behind
SEND_BYTES_PER_MS, SEND_BURST_BYTES = 40.0, 60_000.0  # to all holders together
OFFER_INTERVAL_MS = 1000.0
OFFER_WAIT_MS = 1500.0  # how long a new process waits for offers of its former table once it knows the fleet
OWNER_SILENT_MS = 2.5 * DIGEST_INTERVAL_MS  # the replica of a live owner silent for longer is not relied on
STALE_MS = 10_000.0  # the replica of a live owner silent for longer is dropped
ORPHAN_RETENTION_MS = 900_000.0  # how long the replica of an owner that is gone is retained
LOCATE_TIMEOUT_MS = 300.0  # for members to answer at which server a call is established
LOCATES_PER_MS, LOCATE_BURST = 0.02, 20.0  # token bucket of calls that other members are asked about
MAX_LOCATE_MEMBERS = 64  # members asked for one call
MAX_RECENT_CHANGES = 50_000  # changed keys remembered, so that recovery does not overwrite them
MAX_REPLICAS = 512  # of other owners, held by one member

# The kinds of records.
ESTABLISHED = "call"  # established calls: call id -> uid of the server
PREDECESSOR = "former"  # processes whose table the owner has adopted: process number in hex -> empty
# Calls released here that this process does not know, while a table that has them may be recovered: call id -> empty.
ENDED = "ended"
LEARNED = "learned"  # values that the owner has learned, such as rates: name -> encoded value


class ChangeBatch(msgspec.Struct, array_like=True, frozen=True, tag=50):
    """Consecutive changes of the sender's own table."""

    records: list[Record]


class Acknowledgement(msgspec.Struct, array_like=True, frozen=True, tag=51):
    """Reports the sequence number up to which the sender's replica of the receiver's table is current.

    It is negative until every bucket has been received; `missing` lists the buckets to be sent in full.
    """

    sequence: int
    missing: list[int] = []


class FullBucket(msgspec.Struct, array_like=True, frozen=True, tag=52):
    """The complete content of a bucket of `owner`'s table as of a sequence number."""

    owner: int
    index: int
    sequence: int
    records: list[tuple[str, str, bytes]]
    digest: int


class Digests(msgspec.Struct, array_like=True, frozen=True, tag=53):
    """The digest of each bucket of the sender's own table as of a sequence number."""

    sequence: int
    digests: list[int]


class Offer(msgspec.Struct, array_like=True, frozen=True, tag=54):
    """Offers the replica of `owner`, a process of the receiver's name, with the sequence number of each bucket."""

    owner: int
    sequences: list[int]


class BucketRequest(msgspec.Struct, array_like=True, frozen=True, tag=55):
    """Requests buckets, by index, of a replica that was offered."""

    owner: int
    indices: list[int]


class ReleaseReplica(msgspec.Struct, array_like=True, frozen=True, tag=56):
    """Asks the receiver to drop its replica of `owner`, whose table has been recovered or has other holders."""

    owner: int


class LocateCall(msgspec.Struct, array_like=True, frozen=True, tag=57):
    """Asks at which server a call is established."""

    call: str


class CallLocated(msgspec.Struct, array_like=True, frozen=True, tag=58):
    """The server at which a call is established, as far as the sender knows."""

    call: str
    server: str


class CallReleased(msgspec.Struct, array_like=True, frozen=True, tag=59):
    """Reports that a located call has been released, so that no member finds it in a replica any more."""

    call: str


Message = (
    ChangeBatch
    | Acknowledgement
    | FullBucket
    | Digests
    | Offer
    | BucketRequest
    | ReleaseReplica
    | LocateCall
    | CallLocated
    | CallReleased
)
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


def predecessor_key(process: int) -> str:
    """The key of a process whose table another process has adopted."""
    return f"{process:012x}"


@dataclass(slots=True)
class Holder:
    """The progress of replication to one holder, as the owner knows it."""

    acknowledged: int = -1  # last sequence number acknowledged; negative: what the holder has is unknown
    sent: int = -1  # last sequence number sent
    sent_ms: float = -float("inf")  # when it was last sent a message
    digests_ms: float = 0.0  # when it was last sent the digests
    missing: list[int] = field(default_factory=list)  # indices of the buckets to be sent in full


@dataclass(slots=True)
class Replica:
    """A replica of another member's table, held here."""

    owner: int  # run
    owner_name: str
    table: Table = field(default_factory=Table)
    owner_gone_ms: float = float("inf")  # when its owner was found to be gone; inf while it is live
    received_ms: float = 0.0  # when the owner last sent a message
    offered_ms: float = -float("inf")  # when it was last offered to a new process of the owner's name


@dataclass(slots=True)
class Recovery:
    """Recovery of the table of an earlier process of this name from the members that hold it."""

    owner: int  # run of the earlier process
    table: Table = field(default_factory=Table)
    # Run of the offering member -> the owner's run as held there, and the sequence number of each bucket.
    offers: dict[int, tuple[int, list[int]]] = field(default_factory=dict)
    requested_ms: float = -float("inf")  # when buckets were last requested
    adopted_sequence: int = -1  # of the own table after the adoption; negative until then
    adopted: dict[str, set[str]] = field(default_factory=dict)  # kind -> the adopted keys

    def is_incomplete(self) -> bool:
        """Whether a member offers a later version of some bucket than has been received."""
        received_sequences = [bucket.sequence for bucket in self.table.buckets]
        return any(
            offered > received
            for _, sequences in self.offers.values()
            for offered, received in zip(sequences, received_sequences, strict=True)
        )


class Replicas:
    """Replication at one proxy, as owner and as holder.

    `on_recovered` is called with each kind of records that has been recovered, and with the state of each key.
    """

    def __init__(
        self,
        view: View,
        copies: int,
        metrics: Metrics,
        log_event: Callable[..., None],
        on_recovered: Callable[[str, dict[str, bytes]], None],
    ) -> None:
        self.view, self.copies, self.metrics, self.log_event, self.on_recovered = (
            view,
            copies,
            metrics,
            log_event,
            on_recovered,
        )
        self.outbox: list[tuple[int, bytes]] = []  # (run of the receiver, encoded message)
        self.own_table = Table(fresh=True)  # this proxy's own table
        self.log: deque[Record] = deque(maxlen=MAX_LOG_RECORDS)  # the latest changes of the own table
        self.holders: dict[int, Holder] = {}  # by the holder's run
        self.held_replicas: dict[int, Replica] = {}  # run of the owner -> its replica
        self.recoveries: dict[int, Recovery] = {}  # earlier process of this name -> recovery of its table
        # Keys changed by this process, the oldest first.
        self.recent_changes: OrderedDict[tuple[str, str], None] = OrderedDict()
        self.locating: dict[str, tuple[float, Callable[[str], None]]] = {}  # call id -> (time-out, callback)
        self.send_tokens, self.locate_tokens = (
            TokenBucket(SEND_BYTES_PER_MS, SEND_BURST_BYTES),
            TokenBucket(LOCATES_PER_MS, LOCATE_BURST),
        )
        self.sent_bytes = 0  # to holders, since the start
        # When this process joined and knew other members; None until then, -inf after the orphan retention has passed.
        self.fleet_known_ms: float | None = None
        self.placement_current = False  # whether the holders are chosen from the current view
        self.wake_ms = 0.0  # when `on_timer` is to be called next
        view.listeners.append(self.on_member_change)
        view.generation_listeners.append(self.on_new_generation)

    # Owner

    def put(self, kind: str, key: str, state: bytes | None) -> None:
        """Set the state of a key of the own table, or delete it (None). Holders get the change at the next flush."""
        self.recent_changes[kind, key] = None
        if len(self.recent_changes) > MAX_RECENT_CHANGES:
            self.recent_changes.popitem(last=False)
        may_recover = self.fleet_known_ms is None or self.fleet_known_ms > -float("inf")
        if kind == ESTABLISHED and state is None and may_recover and self.own_table.get(kind, key) is None:
            # The call may be in a table that this process or a successor has still to recover: records that it ended.
            self._put(ENDED, key, b"")
        self._put(kind, key, state)

    def _put(self, kind: str, key: str, state: bytes | None) -> None:
        """Change the own table and log the change, if it is one."""
        table = self.own_table
        if state == table.get(kind, key):
            return
        sequence = table.applied + 1
        bucket = table.buckets[bucket_of(kind, key)]
        bucket.put(kind, key, state)
        bucket.sequence = table.applied = sequence
        self.log.append(Record(sequence, kind, key, state))

    def on_new_generation(self, run: int) -> None:
        """Called after this process was declared dead: the new generation owns the same table.

        What the holders have is unknown again, as they still hold it under the old run.
        """
        self.holders = {holder_run: Holder() for holder_run in self.holders}
        self.placement_current = False
        self.wake_ms = 0.0

    def on_member_change(self, change: Change) -> None:
        """Called on each change of the view; the holders are chosen again at the next timer."""
        self.placement_current = False
        self.wake_ms = 0.0

    def _place(self, now_ms: float) -> None:
        """Choose the holders of the own table, and note which owners of replicas are gone, from the current view."""
        self.placement_current = True
        me, members = self.view.me, self.view.members()
        chosen = {member.run for member in holders_of(me.name, me.zone, members, self.copies)}
        for run in [run for run in self.holders if run not in chosen]:
            del self.holders[run]
            if self.view.table.status(run) < State.DEAD:
                self._post(run, ReleaseReplica(self.view.run))
        for run in chosen:
            self.holders.setdefault(run, Holder())
        live = {process_of(member.run): member.run for member in members}
        for replica in self.held_replicas.values():
            run = live.get(process_of(replica.owner))
            replica.owner_gone_ms = float("inf") if run is not None else min(replica.owner_gone_ms, now_ms)
            if run is not None and run != replica.owner:
                # The owner has become a later generation, possibly with other holders: not relied on until it is heard.
                replica.received_ms = min(replica.received_ms, now_ms - OWNER_SILENT_MS)
        if len(live) > 1 and self.view.joined and self.fleet_known_ms is None:
            self.fleet_known_ms = now_ms

    def _offer(self, now_ms: float, replica: Replica) -> None:
        """Offer the replica of an owner that is gone to other processes of its name, until one of them releases it."""
        if now_ms < replica.offered_ms + OFFER_INTERVAL_MS:
            return
        replica.offered_ms = now_ms
        for member in self.view.members():
            if (
                member.name == replica.owner_name
                and member.run != replica.owner
                and process_of(member.run) != process_of(self.view.run)
            ):
                self._post(
                    member.run,
                    Offer(replica.owner, [replica.table.sequence_of(index) for index in range(BUCKETS)]),
                )

    def _flush(self, now_ms: float) -> None:
        """Send holders the changes and buckets that they lack, as far as the rate limit allows."""
        table = self.own_table
        first_logged = self.log[0].sequence if self.log else table.applied + 1
        for run, holder in self.holders.items():
            retransmit = now_ms >= holder.sent_ms + RETRANSMIT_MS
            if holder.sent > holder.acknowledged and retransmit:
                holder.sent = holder.acknowledged
            if holder.acknowledged < 0:
                if retransmit and not holder.missing:
                    self._send(now_ms, run, holder, Digests(table.applied, []))
            elif holder.sent + 1 < first_logged and table.applied > holder.sent and not holder.missing:
                holder.missing = list(range(BUCKETS))  # the log no longer has the changes
                holder.acknowledged = holder.sent = -1  # until it acknowledges the buckets
            while holder.missing and self.send_tokens.available(now_ms) > 0.0:
                index = holder.missing.pop(0)
                self._send(now_ms, run, holder, self._full_bucket(self.view.run, table, index))
            if holder.acknowledged >= 0 and not holder.missing:
                while holder.sent < table.applied and self.send_tokens.available(now_ms) > 0.0:
                    batch = self._batch(holder.sent + 1 - first_logged)
                    if not batch:
                        break
                    self._send(now_ms, run, holder, ChangeBatch(batch))
                    holder.sent = batch[-1].sequence
                if holder.sent == table.applied and now_ms >= holder.digests_ms + DIGEST_INTERVAL_MS:
                    holder.digests_ms = now_ms
                    self._send(now_ms, run, holder, Digests(table.applied, table.digests()))

    def _batch(self, start: int) -> list[Record]:
        """The changes for one message: those from index `start` of the log on, up to `BATCH_BYTES`."""
        batch: list[Record] = []
        size = 0
        while start + len(batch) < len(self.log) and size < BATCH_BYTES:
            record = self.log[start + len(batch)]
            batch.append(record)
            size += 24 + len(record.key) + len(record.state or b"")
        return batch

    def _send(self, now_ms: float, run: int, holder: Holder, message: object) -> None:
        """Send a holder a message and charge it to the rate limit."""
        holder.sent_ms = now_ms
        size = self._post(run, message)
        self.send_tokens.spend(size)
        self.sent_bytes += size

    @staticmethod
    def _full_bucket(owner: int, table: Table, index: int) -> FullBucket:
        bucket = table.buckets[index]
        records = [(kind, key, state) for (kind, key), state in bucket.records.items()]
        return FullBucket(owner, index, table.sequence_of(index), records, bucket.digest)

    def _on_acknowledgement(self, run: int, message: Acknowledgement) -> None:
        holder = self.holders.get(run)
        if holder is None:
            return
        holder.acknowledged = max(holder.acknowledged, message.sequence) if message.sequence >= 0 else -1
        holder.sent = max(holder.sent, holder.acknowledged)
        if message.missing:
            holder.missing = [index for index in message.missing if 0 <= index < BUCKETS]
        self._release_recovered()

    def _release_recovered(self) -> None:
        """Ask members to drop the old replicas of an adopted table once the own holders have acknowledged all of it."""
        for recovery in self.recoveries.values():
            if recovery.adopted_sequence >= 0 and all(
                holder.acknowledged >= recovery.adopted_sequence for holder in self.holders.values()
            ):
                for run, (owner, _) in recovery.offers.items():
                    self._post(run, ReleaseReplica(owner))
                recovery.offers.clear()

    # Holder

    def _replica_of(self, now_ms: float, run: int) -> Replica | None:
        """The replica of an owner that sent a message, created if there is none yet.

        None if a replica of a later generation is held, if the owner is unknown, or if `MAX_REPLICAS` are held.
        """
        replica = self.held_replicas.get(run)
        if replica is None:
            held_run = next(
                (owner for owner in self.held_replicas if process_of(owner) == process_of(run)), 0
            )
            if held_run > run:
                self.metrics.add("replicas.fenced")
                return None
            if held_run:  # a later generation of the process continues its table and its sequence numbers
                replica = self.held_replicas[run] = self.held_replicas.pop(held_run)
                replica.owner = run
        if replica is None:
            member = self.view.table.get(run)
            if member is None or len(self.held_replicas) >= MAX_REPLICAS:
                self.metrics.add("replicas.refused")
                return None
            replica = self.held_replicas[run] = Replica(run, member.name)
        replica.received_ms = now_ms
        return replica

    def _apply_changes(self, now_ms: float, run: int, message: ChangeBatch) -> None:
        replica = self._replica_of(now_ms, run)
        if replica is None:
            return
        if replica.table.is_complete() and not replica.table.apply(message.records):
            self.metrics.add("replicas.gaps")
        self._acknowledge(run, replica)

    def _acknowledge(self, run: int, replica: Replica) -> None:
        self._post(run, Acknowledgement(replica.table.applied, replica.table.missing_buckets()))

    def _merge_bucket(self, now_ms: float, run: int, message: FullBucket) -> None:
        """Merge a full bucket into the replica held for its owner, or into a table under recovery."""
        recovery = self.recoveries.get(process_of(message.owner))
        table = recovery.table if recovery is not None else None
        replica = None
        if table is None:
            if message.owner != run:
                return
            replica = self._replica_of(now_ms, run)
            if replica is None:
                return
            table = replica.table
        if not 0 <= message.index < BUCKETS:
            return
        received = Table()
        received.merge(message.index, message.sequence, message.records)
        if received.buckets[message.index].digest != message.digest:
            self.metrics.add("replicas.spoilt")
            return
        table.merge(message.index, message.sequence, message.records)
        if not table.missing_buckets():
            table.start_applying()
        if replica is not None and (table.is_complete() or message.index == BUCKETS - 1):
            self._acknowledge(run, replica)
        if recovery is not None:
            self._adopt(recovery)

    def _compare_digests(self, now_ms: float, run: int, message: Digests) -> None:
        """Compare digests with the owner's if both have the same sequence number; request the diverging buckets."""
        replica = self._replica_of(now_ms, run)
        if replica is None:
            return
        table = replica.table
        if table.is_complete() and table.applied == message.sequence and len(message.digests) == BUCKETS:
            diverging = [
                index for index, digest in enumerate(table.digests()) if digest != message.digests[index]
            ]
            if diverging:
                self.metrics.add("replicas.differs")
                self.log_event(
                    "replicas.differs", level="error", owner=replica.owner_name, buckets=len(diverging)
                )
                for index in diverging:
                    table.buckets[index].sequence = -1
                self._post(run, Acknowledgement(table.applied, diverging))
                return
        self._acknowledge(run, replica)

    # Recovery

    def _accept_offer(self, now_ms: float, run: int, message: Offer) -> None:
        """Start or continue the recovery of an earlier process's table that another member offers."""
        process = process_of(message.owner)
        if len(message.sequences) != BUCKETS or process == process_of(self.view.run):
            return
        if self.view.table.status(message.owner) < State.DEAD:
            return  # the owner is alive, as during an upgrade, and keeps its table
        if (
            self.own_table.get(PREDECESSOR, predecessor_key(process)) is not None
            and process not in self.recoveries
        ):
            # The own table was recovered from a process that had adopted the offered one, so the offered one is older.
            self._post(run, ReleaseReplica(message.owner))
            return
        recovery = self.recoveries.setdefault(process, Recovery(message.owner))
        recovery.offers[run] = message.owner, message.sequences
        if recovery.is_incomplete():
            recovery.adopted_sequence = -1  # adopt again if this late offer has a later version
            self._fetch(now_ms, recovery)
        else:
            self._adopt(recovery)
            self._release_recovered()

    def _fetch(self, now_ms: float, recovery: Recovery) -> None:
        """Request each bucket from the member that offers its latest version, unless that has been received."""
        if recovery.adopted_sequence >= 0 or now_ms < recovery.requested_ms + RETRANSMIT_MS:
            return
        requests: dict[int, list[int]] = {}
        for index in range(BUCKETS):
            source = max(recovery.offers, key=lambda run: (recovery.offers[run][1][index], run), default=0)
            if source and recovery.offers[source][1][index] > recovery.table.buckets[index].sequence:
                requests.setdefault(source, []).append(index)
        for run, indices in requests.items():
            self._post(run, BucketRequest(recovery.offers[run][0], indices))
        if requests:
            recovery.requested_ms = now_ms

    def _adopt(self, recovery: Recovery) -> None:
        """Adopt the recovered table once it is complete.

        Keys that this process has changed itself are not overwritten, as its changes are newer: a call that ended here
        stays ended. Recovering a later version, or the table of a process that had itself adopted an earlier one,
        deletes the keys adopted before that the later table no longer has.
        """
        if recovery.is_incomplete() or recovery.adopted_sequence >= 0:
            return
        changed_here = set(self.recent_changes)
        for key in recovery.table.states_of(ENDED):
            if (ESTABLISHED, key) not in changed_here:
                # The call may have been adopted from the table of an earlier process.
                self._put(ESTABLISHED, key, None)
            self.recent_changes[ESTABLISHED, key] = None
        for kind in (PREDECESSOR, ENDED, LEARNED, ESTABLISHED):
            recovered = {
                key: state
                for key, state in recovery.table.states_of(kind).items()
                if (kind, key) not in self.recent_changes
            }
            deleted_keys = recovery.adopted.get(kind, set()) - recovered.keys()
            if kind == ESTABLISHED:
                for key in recovery.table.states_of(PREDECESSOR):
                    earlier = self.recoveries.pop(int(key, 16), None)
                    deleted_keys |= (
                        earlier.adopted.get(ESTABLISHED, set()) - recovered.keys()
                        if earlier is not None
                        else set()
                    )
            for key in deleted_keys:
                if (kind, key) not in changed_here:
                    self._put(kind, key, None)
            for key, state in recovered.items():
                self._put(kind, key, state)
            recovery.adopted[kind] = set(recovered)
            self.on_recovered(kind, recovered)
        self._put(PREDECESSOR, predecessor_key(process_of(recovery.owner)), b"")
        recovery.adopted_sequence = self.own_table.applied
        self.metrics.add("replicas.returned")
        self.log_event("replicas.returned", calls=len(recovery.adopted[ESTABLISHED]))

    def recovery_pending(self, now_ms: float) -> bool:
        """Whether the table of an earlier process may still have to be recovered."""
        awaiting_offers = self.fleet_known_ms is None or now_ms < self.fleet_known_ms + OFFER_WAIT_MS
        return awaiting_offers or any(recovery.adopted_sequence < 0 for recovery in self.recoveries.values())

    # Location of calls whose release reaches a proxy that does not know them

    def server_of(self, now_ms: float, call: str) -> str:
        """The server at which a call is established, according to the own table or a replica; empty if unknown."""
        state = self.own_table.get(ESTABLISHED, call)
        if state is None and (ESTABLISHED, call) not in self.recent_changes:  # else it ended here
            # A replica is used if its owner is gone or has sent a message recently: a live owner that has been silent
            # for longer may have chosen other holders.
            states = (
                replica.table.get(ESTABLISHED, call)
                for replica in self.held_replicas.values()
                if replica.owner_gone_ms < float("inf") or now_ms < replica.received_ms + OWNER_SILENT_MS
            )
            state = next((found for found in states if found is not None), None)
        return "" if state is None else state.decode("utf-8", "replace")

    def call_released(self, call: str) -> None:
        """Record that this proxy has released a located call, and notify the members that may hold a replica of it."""
        self.put(ESTABLISHED, call, None)
        for member in self.view.members()[:MAX_LOCATE_MEMBERS]:
            if process_of(member.run) != process_of(self.view.run):
                self._post(member.run, CallReleased(call))

    def locate(self, now_ms: float, call: str, done: Callable[[str], None]) -> None:
        """Find the server of a call, here or by asking up to `MAX_LOCATE_MEMBERS` members once.

        `done` is called once: with the server, or with an empty string after `LOCATE_TIMEOUT_MS`. The empty string is
        passed at once if the call is being located already, the rate limit is exceeded, or no other member is live.
        """
        server = self.server_of(now_ms, call)
        if server or self.locate_tokens.available(now_ms) <= 0.0 or call in self.locating:
            done(server)
            return
        self.locate_tokens.spend(1)
        others = [
            member for member in self.view.members() if process_of(member.run) != process_of(self.view.run)
        ]
        for member in others[:MAX_LOCATE_MEMBERS]:
            self._post(member.run, LocateCall(call))
        if not others:
            done("")
            return
        self.locating[call] = now_ms + LOCATE_TIMEOUT_MS, done
        self.wake_ms = min(self.wake_ms, now_ms + LOCATE_TIMEOUT_MS)

    def _finish_locating(self, call: str, server: str) -> None:
        pending = self.locating.pop(call, None)
        if pending is not None:
            pending[1](server)

    # Timer and messages

    def on_timer(self, now_ms: float) -> None:
        """Do the periodic work: flush, fetch, offer, and expire replicas; to be called at `wake_ms`."""
        if not self.placement_current:
            self._place(now_ms)
        if (
            self.fleet_known_ms is not None
            and -float("inf") < self.fleet_known_ms < now_ms - ORPHAN_RETENTION_MS
        ):
            for key in self.own_table.states_of(ENDED):
                self._put(ENDED, key, None)  # no member retains a replica that contains those calls any more
            self.fleet_known_ms = -float("inf")
        self._flush(now_ms)
        for recovery in self.recoveries.values():
            self._fetch(now_ms, recovery)
        for call, (until_ms, _) in list(self.locating.items()):
            if now_ms >= until_ms:
                self._finish_locating(call, "")
        for run, replica in list(self.held_replicas.items()):
            if replica.owner_gone_ms < float("inf"):
                self._offer(now_ms, replica)
            elif now_ms > replica.received_ms + STALE_MS:
                del self.held_replicas[run]  # its owner is alive and replicates to other holders
            if now_ms > replica.owner_gone_ms + ORPHAN_RETENTION_MS:
                del self.held_replicas[run]
        self.wake_ms = now_ms + FLUSH_INTERVAL_MS

    def on_message(self, now_ms: float, run: int, body: bytes) -> None:
        """Handle an encoded message from the run of a live member."""
        try:
            message = _decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            self.metrics.add("replicas.unknown")
            return
        match message:
            case ChangeBatch():
                self._apply_changes(now_ms, run, message)
            case Acknowledgement():
                self._on_acknowledgement(run, message)
            case FullBucket():
                self._merge_bucket(now_ms, run, message)
            case Digests():
                self._compare_digests(now_ms, run, message)
            case Offer():
                self._accept_offer(now_ms, run, message)
            case BucketRequest():
                replica = self.held_replicas.get(message.owner)
                if replica is not None:
                    for index in message.indices:
                        if 0 <= index < BUCKETS and self.send_tokens.available(now_ms) > 0.0:
                            self.send_tokens.spend(
                                self._post(run, self._full_bucket(message.owner, replica.table, index))
                            )
            case ReleaseReplica():
                member, process = self.view.table.get(run), process_of(message.owner)
                for owner in [
                    held_run
                    for held_run, held_replica in self.held_replicas.items()
                    if process_of(held_run) == process
                ]:
                    if member is not None and member.name == self.held_replicas[owner].owner_name:
                        del self.held_replicas[owner]
            case LocateCall():
                server = self.server_of(now_ms, message.call)
                if server:
                    self._post(run, CallLocated(message.call, server))
            case CallReleased():
                self.put(ESTABLISHED, message.call, None)
            case CallLocated():
                self._finish_locating(message.call, message.server)

    def _post(self, run: int, message: object) -> int:
        """Queue a message for a member; returns its size in bytes."""
        body = _encoder.encode(message)
        self.outbox.append((run, body))
        return len(body)

    def status(self, now_ms: float) -> dict:
        """The state of replication, as `GET /control/replicas` reports it; runs and digests in hex."""
        names = {member.run: member.name for member in self.view.members()}
        return {
            "own": {
                "number": self.own_table.applied,
                "records": len(self.own_table),
                "digest": f"{self.own_table.digest():016x}",
            },
            "run": f"{self.view.run:016x}",
            "behind": self.recovery_pending(now_ms),
            "holders": {
                names.get(run, f"{run:016x}"): {
                    "number": holder.acknowledged,
                    "lag": self.own_table.applied - holder.acknowledged,
                }
                for run, holder in self.holders.items()
            },
            "held": [
                {
                    "owner": replica.owner_name,
                    "run": f"{replica.owner:016x}",
                    "number": replica.table.applied,
                }
                | {"records": len(replica.table), "digest": f"{replica.table.digest():016x}"}
                | {"gone": replica.owner_gone_ms < float("inf")}
                for replica in self.held_replicas.values()
            ],
            "bytes": self.sent_bytes,
        }
