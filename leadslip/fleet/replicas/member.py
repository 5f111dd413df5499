"""One proxy's part in replication: owner of its own table, holder of others', and a return from nothing. No I/O.

**Owner.** `put` numbers a change. What holders lack goes out in stretches every `FLUSH_MS`, under a rate that does not
grow with trouble, and again from the last number acknowledged where no acknowledgement comes. Who lacks what the log
of the owner no longer has, or has nothing, is given buckets whole, each with a digest, as many as the rate allows; who
breaks off goes on with those still lacking. An owner tells digests now and then; a holder of the same number that
differs in a bucket tells so by name and asks for that bucket anew.

**Return.** Holders that see a name come back in another process, while the one whose table they hold is gone, offer it.
The newcomer takes each bucket from whoever offers the latest of it, serves meanwhile, and makes what stands its own; it
is behind until then. Only when its own holders have acknowledged all of it are the old copies let go. What a stalled
process was is fenced: messages count from runs that live, and a later life of a process goes on with its own table.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from leadslip.checks import Tally
from leadslip.fleet.replicas.copy import BUCKETS, Record, Table, bucket_of
from leadslip.fleet.replicas.place import holders_of
from leadslip.fleet.view.allowance import Allowance
from leadslip.fleet.view.members import Change, State, process_of
from leadslip.fleet.view.view import View

FLUSH_MS = 50.0
AGAIN_MS = 500.0  # what is not acknowledged goes again after so long
DIGESTS_MS = 2000.0  # between two tellings of digests to a holder
STRETCH_BYTES = 16 * 1024  # of changes in one message
LOG_MOST = 20_000  # changes that an owner keeps for holders that are behind
RATE, DEPTH = 40.0, 60_000.0  # bytes a millisecond to all holders together, and at once
OFFER_AGAIN_MS = 1000.0
OFFERS_MS = 1500.0  # for so long a newcomer waits for offers of what it was, once it knows the fleet
LATE_MS = 2.5 * DIGESTS_MS  # an owner that lives and has not written for so long is not believed by its copy
STALE_MS = 10_000.0  # a table whose owner lives and has not written for so long is no copy of it any more
ORPHAN_MS = 900_000.0  # the table of one that is gone is kept for so long
SOUGHT_MS = 300.0  # whoever is asked for a call has so long to answer
SOUGHT_RATE, SOUGHT = 0.02, 20.0  # calls sought a millisecond, and at once
MOST_SOUGHT_AT = 64  # members asked for one call
MOST_SINCE = 50_000  # changes here that are remembered against what comes back later
MOST_COPIES = 512  # tables held of others
STANDS = "call"  # the kind of calls that stand: call id -> server
FORMER = "former"  # the kind of processes whose table the owner has made its own: process, in hex -> nothing
ENDED = "ended"  # the kind of calls that ended at an owner that did not know them (yet), while it was young
LEARNED = "learned"  # the kind of what the owner has learned: name -> its own


class Stretch(msgspec.Struct, array_like=True, frozen=True, tag=50):
    """Changes of the sender's own table, one after another."""

    records: list[Record]


class Acked(msgspec.Struct, array_like=True, frozen=True, tag=51):
    """Held up to this number; below nought: buckets are lacking. `lacking` names those to be told whole."""

    number: int
    lacking: list[int] = []


class Whole(msgspec.Struct, array_like=True, frozen=True, tag=52):
    """A bucket of `owner`'s table, whole, as of a number."""

    owner: int
    at: int
    number: int
    records: list[tuple[str, str, bytes]]
    digest: int


class Digests(msgspec.Struct, array_like=True, frozen=True, tag=53):
    """Of the sender's own table, as of a number."""

    number: int
    digests: list[int]


class Offer(msgspec.Struct, array_like=True, frozen=True, tag=54):
    """I hold the table that a process of your name had, each bucket as of its number."""

    owner: int
    numbers: list[int]


class AskWhole(msgspec.Struct, array_like=True, frozen=True, tag=55):
    """Tell me these buckets of that table."""

    owner: int
    at: list[int]


class LetGo(msgspec.Struct, array_like=True, frozen=True, tag=56):
    """That table is needed no more: its owner has come back, or has other holders."""

    owner: int


class Seek(msgspec.Struct, array_like=True, frozen=True, tag=57):
    """Do you know of a call that stands?"""

    call: str


class Sought(msgspec.Struct, array_like=True, frozen=True, tag=58):
    """It stands at this server, as far as I know."""

    call: str
    server: str


class Over(msgspec.Struct, array_like=True, frozen=True, tag=59):
    """A call that was sought has been released: no copy of it counts any more."""

    call: str


Said = Stretch | Acked | Whole | Digests | Offer | AskWhole | LetGo | Seek | Sought | Over
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Said)


def former(process: int) -> str:
    """The key of a process whose table another has made its own."""
    return f"{process:012x}"


@dataclass(slots=True)
class Holder:
    """What an owner knows of one of its holders."""

    number: int = -1  # acknowledged; below nought: nothing is known of what it has
    sent: int = -1  # sent so far
    sent_ms: float = -float("inf")
    digests_ms: float = 0.0
    lacking: list[int] = field(default_factory=list)  # buckets that it wants whole


@dataclass(slots=True)
class Copy:
    """A table held for another."""

    owner: int
    name: str
    table: Table = field(default_factory=Table)
    gone_ms: float = float("inf")  # since when its owner is gone
    heard_ms: float = 0.0
    offered_ms: float = -float("inf")


@dataclass(slots=True)
class Return:
    """What this process was before, on its way here from those who hold it."""

    owner: int
    table: Table = field(default_factory=Table)
    # Who offers it -> the owner's life that is held there, and the number of each bucket.
    offers: dict[int, tuple[int, list[int]]] = field(default_factory=dict)
    asked_ms: float = -float("inf")
    taken_at: int = -1  # our own number once all of it was ours
    taken: dict[str, set[str]] = field(default_factory=dict)  # by kind, the keys of it that became ours

    def lacks(self) -> bool:
        """Whether somebody offers a later part of it than has come."""
        own = [bucket.number for bucket in self.table.buckets]
        return any(
            there > here for _, told in self.offers.values() for there, here in zip(told, own, strict=True)
        )


class Replicas:
    """One proxy's part."""

    def __init__(
        self,
        view: View,
        copies: int,
        tally: Tally,
        tell: Callable[..., None],
        restored: Callable[[str, dict[str, bytes]], None],
    ) -> None:
        self.view, self.copies, self.tally, self.tell, self.restored = view, copies, tally, tell, restored
        self.out: list[tuple[int, bytes]] = []
        self.own = Table(fresh=True)
        self.log: deque[Record] = deque(maxlen=LOG_MOST)
        self.holders: dict[int, Holder] = {}
        self.held: dict[int, Copy] = {}  # run of the owner -> its table here
        self.returns: dict[int, Return] = {}  # process that we were -> what comes of it
        self.since: OrderedDict[tuple[str, str], None] = (
            OrderedDict()
        )  # what has changed here, the oldest first
        self.seeking: dict[str, tuple[float, Callable[[str], None]]] = {}
        self.rate, self.seeks = Allowance(RATE, DEPTH), Allowance(SOUGHT_RATE, SOUGHT)
        self.sent_bytes = 0
        self.began_ms: float | None = None  # when we knew the fleet
        self.placed = False
        self.wake_ms = 0.0
        view.listeners.append(self.seen)
        view.reborn.append(self.reborn)

    # The owner.

    def put(self, kind: str, key: str, state: bytes | None) -> None:
        """Our own table changes; holders are told with the next flush."""
        self.since[kind, key] = None
        if len(self.since) > MOST_SINCE:
            self.since.popitem(last=False)
        young = self.began_ms is None or self.began_ms > -float("inf")
        if kind == STANDS and state is None and young and self.own.get(kind, key) is None:
            # The end of a call that we may still learn to have had: whoever comes after us has to know of it, too.
            self._put(ENDED, key, b"")
        self._put(kind, key, state)

    def _put(self, kind: str, key: str, state: bytes | None) -> None:
        table = self.own
        if state == table.get(kind, key):
            return
        number = table.applied + 1
        bucket = table.buckets[bucket_of(kind, key)]
        bucket.put(kind, key, state)
        bucket.number = table.applied = number
        self.log.append(Record(number, kind, key, state))

    def reborn(self, run: int) -> None:
        """We were held dead: as the next life we own the same table, and our holders hold it for a run that is over."""
        self.holders = {held: Holder() for held in self.holders}
        self.placed = False
        self.wake_ms = 0.0

    def seen(self, change: Change) -> None:
        self.placed = False
        self.wake_ms = 0.0

    def _place(self, now_ms: float) -> None:
        """Who holds our table, and whose we hold, as the view stands."""
        self.placed = True
        me, members = self.view.me, self.view.members()
        chosen = {one.run for one in holders_of(me.name, me.zone, members, self.copies)}
        for run in [run for run in self.holders if run not in chosen]:
            del self.holders[run]
            if self.view.table.standing(run) < State.DEAD:
                self._say(run, LetGo(self.view.run))
        for run in chosen:
            self.holders.setdefault(run, Holder())
        live = {process_of(one.run): one.run for one in members}
        for copy in self.held.values():
            run = live.get(process_of(copy.owner))
            copy.gone_ms = float("inf") if run is not None else min(copy.gone_ms, now_ms)
            if run is not None and run != copy.owner:
                copy.heard_ms = min(
                    copy.heard_ms, now_ms - LATE_MS
                )  # it goes on in a later life, perhaps elsewhere
        if len(live) > 1 and self.view.joined and self.began_ms is None:
            self.began_ms = now_ms

    def _offer(self, now_ms: float, copy: Copy) -> None:
        """Its owner is gone: a process of its name is offered what we hold of it, until that lets it go."""
        if now_ms < copy.offered_ms + OFFER_AGAIN_MS:
            return
        copy.offered_ms = now_ms
        for one in self.view.members():
            if (
                one.name == copy.name
                and one.run != copy.owner
                and process_of(one.run) != process_of(self.view.run)
            ):
                self._say(one.run, Offer(copy.owner, [copy.table.as_of(at) for at in range(BUCKETS)]))

    def _flush(self, now_ms: float) -> None:
        """Send holders what they lack, as far as the rate allows."""
        table = self.own
        first = self.log[0].number if self.log else table.applied + 1
        for run, holder in self.holders.items():
            again = now_ms >= holder.sent_ms + AGAIN_MS
            if holder.sent > holder.number and again:
                holder.sent = holder.number  # not acknowledged: from there on anew
            if holder.number < 0:
                if again and not holder.lacking:
                    self._send(now_ms, run, holder, Digests(table.applied, []))
            elif holder.sent + 1 < first and table.applied > holder.sent and not holder.lacking:
                holder.lacking = list(range(BUCKETS))  # the log has it no more
                holder.number = holder.sent = -1  # until it says what it has of them
            while holder.lacking and self.rate.now(now_ms) > 0.0:
                at = holder.lacking.pop(0)
                self._send(now_ms, run, holder, self._whole(self.view.run, table, at))
            if holder.number >= 0 and not holder.lacking:
                while holder.sent < table.applied and self.rate.now(now_ms) > 0.0:
                    stretch = self._stretch(holder.sent + 1 - first)
                    if not stretch:
                        break
                    self._send(now_ms, run, holder, Stretch(stretch))
                    holder.sent = stretch[-1].number
                if holder.sent == table.applied and now_ms >= holder.digests_ms + DIGESTS_MS:
                    holder.digests_ms = now_ms
                    self._send(now_ms, run, holder, Digests(table.applied, table.digests()))

    def _stretch(self, at: int) -> list[Record]:
        told: list[Record] = []
        size = 0
        while at + len(told) < len(self.log) and size < STRETCH_BYTES:
            one = self.log[at + len(told)]
            told.append(one)
            size += 24 + len(one.key) + len(one.state or b"")
        return told

    def _send(self, now_ms: float, run: int, holder: Holder, message: object) -> None:
        holder.sent_ms = now_ms
        size = self._say(run, message)
        self.rate.spend(size)
        self.sent_bytes += size

    @staticmethod
    def _whole(owner: int, table: Table, at: int) -> Whole:
        bucket = table.buckets[at]
        records = [(kind, key, state) for (kind, key), state in bucket.records.items()]
        return Whole(owner, at, table.as_of(at), records, bucket.digest)

    def _acked(self, run: int, told: Acked) -> None:
        holder = self.holders.get(run)
        if holder is None:
            return
        holder.number = max(holder.number, told.number) if told.number >= 0 else -1
        holder.sent = max(holder.sent, holder.number)
        if told.lacking:
            holder.lacking = [at for at in told.lacking if 0 <= at < BUCKETS]
        self._let_go()

    def _let_go(self) -> None:
        """What we were is ours, and our own holders have all of it: those who offered it need keep it no longer."""
        for back in self.returns.values():
            if back.taken_at >= 0 and all(one.number >= back.taken_at for one in self.holders.values()):
                for offerer, (owner, _) in back.offers.items():
                    self._say(offerer, LetGo(owner))
                back.offers.clear()

    # The holder.

    def _copy(self, now_ms: float, run: int) -> Copy | None:
        copy = self.held.get(run)
        if copy is None:
            before = next((one for one in self.held if process_of(one) == process_of(run)), 0)
            if before > run:
                self.tally.add("replicas.fenced")
                return None
            if before:  # the same process in a later life: its table and its numbers go on
                copy = self.held[run] = self.held.pop(before)
                copy.owner = run
        if copy is None:
            member = self.view.table.get(run)
            if member is None or len(self.held) >= MOST_COPIES:
                self.tally.add("replicas.refused")
                return None
            copy = self.held[run] = Copy(run, member.name)
        copy.heard_ms = now_ms
        return copy

    def _changes(self, now_ms: float, run: int, told: Stretch) -> None:
        copy = self._copy(now_ms, run)
        if copy is None:
            return
        if copy.table.whole() and not copy.table.take(told.records):
            self.tally.add("replicas.gaps")
        self._ack(run, copy)

    def _ack(self, run: int, copy: Copy) -> None:
        self._say(run, Acked(copy.table.applied, copy.table.lacking()))

    def _bucket(self, now_ms: float, run: int, told: Whole) -> None:
        """A bucket whole: of what we hold for its owner, or of what we were."""
        back = self.returns.get(process_of(told.owner))
        table = back.table if back is not None else None
        copy = None
        if table is None:
            if told.owner != run:
                return
            copy = self._copy(now_ms, run)
            if copy is None:
                return
            table = copy.table
        if not 0 <= told.at < BUCKETS:
            return
        check = Table()
        check.merge(told.at, told.number, told.records)
        if check.buckets[told.at].digest != told.digest:
            self.tally.add("replicas.spoilt")
            return
        table.merge(told.at, told.number, told.records)
        if not table.lacking():
            table.begin()
        if copy is not None and (table.whole() or told.at == BUCKETS - 1):
            self._ack(run, copy)
        if back is not None:
            self._returned(back)

    def _compare(self, now_ms: float, run: int, told: Digests) -> None:
        """The owner's digests against ours, where both are as of one number."""
        copy = self._copy(now_ms, run)
        if copy is None:
            return
        table = copy.table
        if table.whole() and table.applied == told.number and len(told.digests) == BUCKETS:
            differ = [at for at, own in enumerate(table.digests()) if own != told.digests[at]]
            if differ:
                self.tally.add("replicas.differs")
                self.tell("replicas.differs", level="error", owner=copy.name, buckets=len(differ))
                for at in differ:
                    table.buckets[at].number = -1
                self._say(run, Acked(table.applied, differ))
                return
        self._ack(run, copy)

    # The return.

    def _offered(self, now_ms: float, run: int, told: Offer) -> None:
        process = process_of(told.owner)
        if len(told.numbers) != BUCKETS or process == process_of(self.view.run):
            return
        if self.view.table.standing(told.owner) < State.DEAD:
            return  # it lives, as during an upgrade: what it knows is its own
        if self.own.get(FORMER, former(process)) is not None and process not in self.returns:
            self._say(
                run, LetGo(told.owner)
            )  # one that we come after had become it: that one's table is the later
            return
        back = self.returns.setdefault(process, Return(told.owner))
        back.offers[run] = told.owner, told.numbers
        if back.lacks():
            back.taken_at = -1  # one that comes late holds a later part of it
            self._fetch(now_ms, back)
        else:
            self._returned(back)
            self._let_go()

    def _fetch(self, now_ms: float, back: Return) -> None:
        """Ask for each bucket where it is latest; those that have come are not asked for again."""
        if back.taken_at >= 0 or now_ms < back.asked_ms + AGAIN_MS:
            return
        wanted: dict[int, list[int]] = {}
        for at in range(BUCKETS):
            best = max(back.offers, key=lambda run: (back.offers[run][1][at], run), default=0)
            if best and back.offers[best][1][at] > back.table.buckets[at].number:
                wanted.setdefault(best, []).append(at)
        for run, buckets in wanted.items():
            self._say(run, AskWhole(back.offers[run][0], buckets))
        if wanted:
            back.asked_ms = now_ms

    def _returned(self, back: Return) -> None:
        """All of what we were is here: what stands is ours from now on.

        What has changed here meanwhile is newer than any of it, so an end stays an end. What an earlier process had is
        older than what one knew that came after it: of that, only what the later one still knew counts.
        """
        if back.lacks() or back.taken_at >= 0:
            return
        here = set(self.since)
        for key in back.table.all(ENDED):
            if (STANDS, key) not in here:
                self._put(STANDS, key, None)  # an earlier process's table may have brought it
            self.since[STANDS, key] = None
        for kind in (FORMER, ENDED, LEARNED, STANDS):
            told = {
                key: state for key, state in back.table.all(kind).items() if (kind, key) not in self.since
            }
            gone = back.taken.get(kind, set()) - told.keys()
            if kind == STANDS:
                for key in back.table.all(FORMER):
                    earlier = self.returns.pop(int(key, 16), None)
                    gone |= earlier.taken.get(STANDS, set()) - told.keys() if earlier is not None else set()
            for key in gone:
                if (kind, key) not in here:
                    self._put(kind, key, None)
            for key, state in told.items():
                self._put(kind, key, state)
            back.taken[kind] = set(told)
            self.restored(kind, told)
        self._put(FORMER, former(process_of(back.owner)), b"")
        back.taken_at = self.own.applied
        self.tally.add("replicas.returned")
        self.tell("replicas.returned", calls=len(back.taken[STANDS]))

    def behind(self, now_ms: float) -> bool:
        """Whether this process may still learn what it was: it says so until it can't."""
        waits = self.began_ms is None or now_ms < self.began_ms + OFFERS_MS
        return waits or any(back.taken_at < 0 for back in self.returns.values())

    # Calls that reach a proxy that does not know them.

    def known(self, now_ms: float, call: str) -> str:
        """The server at which a call stands, by what is ours or held here; nothing where none is known."""
        state = self.own.get(STANDS, call)
        if state is None and (STANDS, call) not in self.since:  # else it ended here, whatever a copy says
            # A copy counts of one that is gone, and of one that has written of late: an owner that lives and is
            # heard no more may have others that hold its table by now.
            count = (
                copy.table.get(STANDS, call)
                for copy in self.held.values()
                if copy.gone_ms < float("inf") or now_ms < copy.heard_ms + LATE_MS
            )
            state = next((one for one in count if one is not None), None)
        return "" if state is None else state.decode("utf-8", "replace")

    def over(self, call: str) -> None:
        """A call that was sought is released from here: whoever holds a copy of it is told that it has ended."""
        self.put(STANDS, call, None)
        for one in self.view.members()[:MOST_SOUGHT_AT]:
            if process_of(one.run) != process_of(self.view.run):
                self._say(one.run, Over(call))

    def seek(self, now_ms: float, call: str, done: Callable[[str], None]) -> None:
        """Find where a call stands: here, or at a member asked once; `done` is told once, within a bound."""
        server = self.known(now_ms, call)
        if server or self.seeks.now(now_ms) <= 0.0 or call in self.seeking:
            done(server)
            return
        self.seeks.spend(1)
        others = [one for one in self.view.members() if process_of(one.run) != process_of(self.view.run)]
        for one in others[:MOST_SOUGHT_AT]:
            self._say(one.run, Seek(call))
        if not others:
            done("")
            return
        self.seeking[call] = now_ms + SOUGHT_MS, done
        self.wake_ms = min(self.wake_ms, now_ms + SOUGHT_MS)

    def _found(self, call: str, server: str) -> None:
        held = self.seeking.pop(call, None)
        if held is not None:
            held[1](server)

    # What is due, and what arrives.

    def due(self, now_ms: float) -> None:
        if not self.placed:
            self._place(now_ms)
        if self.began_ms is not None and -float("inf") < self.began_ms < now_ms - ORPHAN_MS:
            for key in self.own.all(ENDED):
                self._put(ENDED, key, None)  # nobody holds those calls any more
            self.began_ms = -float("inf")
        self._flush(now_ms)
        for back in self.returns.values():
            self._fetch(now_ms, back)
        for call, (until_ms, _) in list(self.seeking.items()):
            if now_ms >= until_ms:
                self._found(call, "")
        for run, copy in list(self.held.items()):
            if copy.gone_ms < float("inf"):
                self._offer(now_ms, copy)
            elif now_ms > copy.heard_ms + STALE_MS:
                del self.held[run]  # its owner lives and writes to others
            if now_ms > copy.gone_ms + ORPHAN_MS:
                del self.held[run]
        self.wake_ms = now_ms + FLUSH_MS

    def received(self, now_ms: float, run: int, body: bytes) -> None:
        try:
            told = _decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            self.tally.add("replicas.unknown")
            return
        match told:
            case Stretch():
                self._changes(now_ms, run, told)
            case Acked():
                self._acked(run, told)
            case Whole():
                self._bucket(now_ms, run, told)
            case Digests():
                self._compare(now_ms, run, told)
            case Offer():
                self._offered(now_ms, run, told)
            case AskWhole():
                copy = self.held.get(told.owner)
                if copy is not None:
                    for at in told.at:
                        if 0 <= at < BUCKETS and self.rate.now(now_ms) > 0.0:
                            self.rate.spend(self._say(run, self._whole(told.owner, copy.table, at)))
            case LetGo():
                member, process = self.view.table.get(run), process_of(told.owner)
                for owner in [one for one, copy in self.held.items() if process_of(one) == process]:
                    if member is not None and member.name == self.held[owner].name:
                        del self.held[owner]
            case Seek():
                server = self.known(now_ms, told.call)
                if server:
                    self._say(run, Sought(told.call, server))
            case Over():
                self.put(STANDS, told.call, None)
            case Sought():
                self._found(told.call, told.server)

    def _say(self, run: int, message: object) -> int:
        body = _encoder.encode(message)
        self.out.append((run, body))
        return len(body)

    def told(self, now_ms: float) -> dict:
        """How things stand, for operators."""
        names = {one.run: one.name for one in self.view.members()}
        return {
            "own": {
                "number": self.own.applied,
                "records": len(self.own),
                "digest": f"{self.own.digest():016x}",
            },
            "run": f"{self.view.run:016x}",
            "behind": self.behind(now_ms),
            "holders": {
                names.get(run, f"{run:016x}"): {"number": one.number, "lag": self.own.applied - one.number}
                for run, one in self.holders.items()
            },
            "held": [
                {"owner": copy.name, "run": f"{copy.owner:016x}", "number": copy.table.applied}
                | {"records": len(copy.table), "digest": f"{copy.table.digest():016x}"}
                | {"gone": copy.gone_ms < float("inf")}
                for copy in self.held.values()
            ],
            "bytes": self.sent_bytes,
        }
