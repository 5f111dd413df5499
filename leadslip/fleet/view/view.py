"""The protocol by which members know one another: SWIM's probes with Lifeguard's health, and tables compared.

One object for each process, driven by `received`, `due` and the calls of a comparison; it gives what to send in `out`
and when to be woken in `wake_ms`. Times are milliseconds of the process's monotonic clock. It has no I/O, draws from
the randomness handed in and never reads a clock: net/peers.py, the drill and the lab run this very code.

Each `period_ms` the next member of a shuffled ring is pinged. One that does not answer in `ack_ms` is pinged through
three others; if nothing comes of it in twice that time more, it is suspected, and dead unless it refutes in time
(suspicion.py). News go with pings and answers, and by themselves while they are fresh. Those that news have missed
find out by the digest in every ping, and compare tables over TCP. Once a second one that is dead or a seed is pinged,
whoever it is, so that a partition heals.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import ClassVar

from leadslip.checks import Tally
from leadslip.fleet import wire
from leadslip.fleet.view.allowance import Allowance
from leadslip.fleet.view.members import (
    BUCKETS,
    LIVES,
    UNKNOWN,
    Change,
    Member,
    State,
    Table,
    draw_run,
    process_of,
)
from leadslip.fleet.view.rumours import SHORT_SIZE, Rumours
from leadslip.fleet.view.suspicion import OTHERS_MS, Health, Suspicion

ROOM = wire.MOST_DATAGRAM - wire.SEAL_SIZE - 155  # bytes of a datagram left for news
AGAIN_MS = 250.0  # between two pings of one who is suspected
AGAIN_RATE, AGAIN_RATE_MANY = (
    0.012,
    0.002,
)  # pings a millisecond to all who are suspected; where they are many
NEXT = 3  # suspects pinged at once when one was heard
LAST_PROBES = 2  # before a verdict
LAST = 3.2  # times the wait for an answer, for the last probe before a verdict and its relays
JURY = 3  # members that one who suspects another asks to look for themselves
FEW = 8  # members suspected at once, above which the network is held to be parted
RELAYS = 3  # members asked to ping one that does not answer
SPREAD = 3  # members that fresh news are sent to at once
BULK = 8  # so many changes of one comparison are passed on as news; more are left to further comparisons
FAR_OFF = 4  # views whose numbers of members differ by so many are compared at once
VOUCHED_MS = 1500.0  # who has not been held alive by another for so long declares nobody dead ...
ALONE_MS = 10_000.0  # ... unless for so long there is nobody left who could
TELL_MS = 2000.0  # for so long after a refutation every message bears it
STALLED_MS = 400.0  # a wake that comes so much late tells that this process was stopped
ASKS_RATE, ASKS = 0.003, 18.0  # relays asked a millisecond, and at once ...
RESERVE = 6.0  # ... of which so many are kept for last probes
PATIENT_MS = 2000.0  # a last probe waits for its relays so long at the most
COMPARE_RATE, COMPARE = 0.3, 14_000.0  # bytes a millisecond of comparisons begun here, and at once
ROUND_TIMES = 3  # probes in a row answered through others only, until the way there counts as cut


@dataclass(frozen=True, slots=True)
class Pace:
    """How often things are done; milliseconds."""

    period_ms: float = 90.0  # between two probes
    ack_ms: float = 120.0  # for an answer before others are asked to ping
    gossip_ms: float = 150.0  # between two rounds of fresh news
    reach_ms: float = 1000.0  # between two tries at the dead and the seeds
    compare_ms: float = 20_000.0  # between two comparisons with anyone at all
    compare_gap_ms: float = 600.0  # between any two comparisons begun here
    differ_ms: float = 1500.0  # for so long digests may differ while news go round
    forget_ms: float = 60_000.0  # between two rounds of forgetting


@dataclass(frozen=True, slots=True)
class Me:
    """What a process tells of itself."""

    name: str
    address: str
    zone: str = ""
    facts: dict[str, str | int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Datagram:
    """To be sent: a message to an address."""

    address: str
    message: wire.Any


@dataclass(frozen=True, slots=True)
class Compare:
    """To be done: connect to an address and compare tables there."""

    address: str


class Probe:
    """One ping out, and what has come of it."""

    __slots__ = ("run", "address", "sent_ms", "relays", "last", "asked", "nacks")

    def __init__(self, run: int, address: str, sent_ms: float, relays: int = 0, last: bool = False) -> None:
        self.run, self.address, self.sent_ms = run, address, sent_ms  # run 0: whoever is there
        self.last = last  # the one before a verdict
        self.relays = relays  # members that may be asked to ping it for us ...
        self.asked: list[int] = []  # ... and those that were
        self.nacks = 0


@dataclass(slots=True)
class Errand:
    """A ping sent for another."""

    run: int  # of who asked
    address: str
    seq: int  # of its own
    target: int


class View:
    """One process's view of the fleet."""

    speaks: ClassVar[int] = wire.VERSION

    def __init__(
        self, me: Me, seeds: tuple[str, ...], draw: Random, tally: Tally, pace: Pace, most_members: int
    ) -> None:
        self.seeds = tuple(seed for seed in seeds if seed != me.address)
        self.draw, self.tally, self.pace = draw, tally, pace
        self.out: list[Datagram | Compare] = []
        self.listeners: list[Callable[[Change], None]] = []
        self.reborn: list[
            Callable[[int], None]
        ] = []  # told of our new run when the one before was declared dead
        # What is vouched for rides on answers: ours, as of now, and what another told in answer to a ping sent then.
        self.vouch: Callable[[float], list[int]] = lambda now_ms: []
        self.vouched_by: Callable[[int, float, list[int]], None] = lambda run, sent_ms, told: None
        self.table = Table(most_members, tally)
        self.table.tell = self._changed
        self.rumours, self.health, self.heard = Rumours(), Health(), wire.Heard()
        self.counts = wire.counts()
        self.run = draw_run(draw)
        self.me = me
        self.incarnation = 0
        self.edition = 0  # of our facts
        self.leaving = False
        self.joined = False  # a comparison with another has been made
        self.refuted_ms = -float("inf")
        self.vouched_ms = -float(
            "inf"
        )  # when the latest ping left that was answered by one who holds us live
        self.probes: dict[int, Probe] = {}
        self.errands: dict[int, Errand] = {}
        self.suspicions: dict[int, Suspicion] = {}
        self.via: dict[int, int] = {}  # process -> process through which it was reached last
        self.roundabout: dict[
            int, int
        ] = {}  # process -> probes in a row that it answered through others only
        self.ring: list[int] = []
        self.others: list[Member] | None = None  # those that live but for us; None: to be found anew
        self.seq = draw.getrandbits(24)
        self.heap: list[tuple[float, int, Callable, int]] = []
        self.order = 0
        self.wake_ms = float("inf")
        self.differs_ms = 0.0  # since when digests of others have not been ours
        self.differing_ms = -float("inf")  # when the last one was not
        self.compared_ms = -float("inf")
        self.asks, self.comparing = Allowance(ASKS_RATE, ASKS), Allowance(COMPARE_RATE, COMPARE)
        self.told: list[Change] = []
        self.telling = False

    # What others of this process ask.

    def members(self) -> list[Member]:
        """All that live, in one stable order, ourselves among them."""
        return self.table.live()

    def digest(self) -> int:
        """Equal at two processes exactly if they hold the same live members in the same states."""
        return self.table.live_digest ^ self.table.suspect_digest

    def vouched(self, now_ms: float) -> float:
        """How long ago we were certainly held alive by another: the age of the last ping answered so."""
        return now_ms - self.vouched_ms

    def version_for(self, run: int) -> int:
        """The newest version of the wire that a member and we both speak; the oldest where it is not known."""
        held = self.table.get(run) if run else None
        return wire.LEAST if held is None else max(wire.LEAST, min(held.most, self.speaks))

    def cut_off(self, run: int) -> bool:
        """Whether a member answers through others only: the way there, or back, is cut."""
        return self.roundabout.get(process_of(run), 0) >= ROUND_TIMES

    # The life of the view.

    def start(self, now_ms: float) -> None:
        self._tell_self(now_ms)
        pace = self.pace
        self._at(now_ms + self.draw.random() * pace.period_ms, self._probe)
        self._at(now_ms + self.draw.random() * pace.gossip_ms, self._gossip)
        self._at(now_ms, self._reach)
        self._at(now_ms + (0.5 + self.draw.random()) * pace.compare_ms, self._compare_any)
        self._at(now_ms + pace.forget_ms, self._forget)
        self._wake()

    def change_facts(self, now_ms: float, facts: dict[str, str | int]) -> None:
        """Spread other facts of ourselves."""
        if facts == self.me.facts or self.leaving:
            return
        self.me = Me(self.me.name, self.me.address, self.me.zone, facts)
        self.edition += 1
        self.incarnation += 1  # what members of wire version 1 go by
        self._tell_self(now_ms)
        self._wake()

    def leave(self, now_ms: float) -> None:
        """Leave in good order: others are told, and suspect nothing."""
        if self.leaving:
            return
        self.leaving = True
        left = self.table.hear(wire.Short(self.run, State.LEFT, self.incarnation), now_ms)
        self.rumours.add(left, whole=False)
        for _ in range(3):
            self._spread(now_ms)
        self._wake()

    def due(self, now_ms: float) -> None:
        """Do what is due; to be called at wake_ms, and no harm if sooner or later."""
        late_ms = now_ms - self.wake_ms
        if late_ms > STALLED_MS:
            self._stalled(late_ms)
        while self.heap and self.heap[0][0] <= now_ms:
            _, _, work, arg = heapq.heappop(self.heap)
            work(now_ms, arg)
        self._wake()

    def _stalled(self, late_ms: float) -> None:
        """This process was stopped for a while: what it did not hear in that time says nothing of others."""
        self.tally.add("fleet.stalls")
        self.health.worse(2)
        self.probes.clear()
        self.errands.clear()
        for suspicion in self.suspicions.values():
            suspicion.late_ms += late_ms

    def _at(self, due_ms: float, work: Callable[[float, int], None], arg: int = 0) -> None:
        self.order += 1
        heapq.heappush(self.heap, (due_ms, self.order, work, arg))

    def _wake(self) -> None:
        self.wake_ms = self.heap[0][0] if self.heap else float("inf")

    # What arrives.

    def received(self, now_ms: float, message: wire.Any) -> None:
        """Take a message that came as a datagram, was signed, and decoded."""
        if process_of(message.run) == process_of(self.run):
            return  # our own, come back
        if not self.heard.fresh(message.run, message.count):
            self.tally.add("fleet.replayed")
            return
        if process_of(message.run) in self.suspicions:
            self._absolve(now_ms, message.run)
        if message.to and process_of(message.to) != process_of(self.run):
            if isinstance(message, wire.Ping):  # it pings one who was here before us
                self._send(message.address, self._ack(now_ms, message.run, message.seq, same=True))
            else:
                self.tally.add("fleet.for_another")
            return
        match message:
            case wire.Ping():
                self._pinged(now_ms, message)
            case wire.Ack():
                self._acked(now_ms, message)
            case wire.AskPing():
                self._errand(now_ms, message)
            case wire.Nack():
                self._nacked(message)
            case wire.Gossip():
                self._news(now_ms, message)
            case _:
                self.tally.add("fleet.misplaced")
        self._wake()

    def _pinged(self, now_ms: float, ping: wire.Ping) -> None:
        if ping.to:  # else it may have been recorded before we were: it is answered and no more
            self._news(now_ms, ping)
            self._differing(now_ms, ping)
        same = ping.digest == self.table.live_digest
        if same and ping.to:
            self.rumours.known(len(self.table))
        self._send(ping.address, self._ack(now_ms, ping.run, ping.seq, same))

    def _ack(self, now_ms: float, to: int, seq: int, same: bool) -> wire.Ack:
        """An answer; to one who holds the `same` as we do without what goes round."""
        short, full = self._first(now_ms, to), []
        if not same:
            short, full = self._pick(now_ms, to, short)
        return wire.Ack(
            next(self.counts),
            self.run,
            to,
            seq,
            self.table.standing(to),
            len(self.table),
            self.table.live_digest,
            short,
            full,
            vouched=self.vouch(now_ms),
        )

    def _acked(self, now_ms: float, ack: wire.Ack) -> None:
        self._news(now_ms, ack)  # also of an answer that comes late: it may refute our suspicion
        errand = self.errands.pop(ack.seq, None)
        if errand is not None:
            if not ack.of and process_of(ack.run) == process_of(errand.target):
                # What the answerer thinks of us says nothing of who asked.
                passed = wire.Ack(
                    next(self.counts), self.run, errand.run, errand.seq, UNKNOWN, 0, 0, [], [], ack.run
                )
                self._send(errand.address, passed)
            return
        probe = self.probes.pop(ack.seq, None)
        if probe is None:
            return  # late, or asked for twice
        answered = ack.of or ack.run
        if not probe.run:
            self._contact(now_ms, ack, probe.address)
            return
        if process_of(answered) != process_of(probe.run):
            self._gone(now_ms, probe.run)
            return
        self.health.better()
        key = process_of(probe.run)
        if ack.of:
            self.via[key] = process_of(ack.run)
            self.roundabout[key] = self.roundabout.get(key, 0) + 1
            if self.roundabout[key] == ROUND_TIMES:
                self.tally.add("fleet.ways_cut")
        else:
            self.roundabout.pop(key, None)
            self.via.pop(key, None)
        if ack.of:
            self._absolve(now_ms, ack.of)
            return
        self._judged(now_ms, ack, probe.sent_ms)
        self._differing(now_ms, ack)
        if ack.vouched:
            self.vouched_by(ack.run, probe.sent_ms, ack.vouched)

    def _judged(self, now_ms: float, ack: wire.Ack, sent_ms: float) -> None:
        """Another has told how it holds us, in answer to a ping sent then; if it is about the life we live."""
        if ack.to != self.run:
            return
        if ack.standing in (State.ALIVE, State.SUSPECT):
            self.vouched_ms = max(self.vouched_ms, sent_ms)
        elif ack.standing in (State.DEAD, State.LEFT):
            self._reborn(now_ms, self.run)

    def _contact(self, now_ms: float, ack: wire.Ack, address: str) -> None:
        """One answers that was held dead, or a seed: compare, unless both know each other already."""
        self._judged(now_ms, ack, -float("inf"))
        if ack.standing != State.ALIVE or self.table.standing(ack.run) != State.ALIVE or not self.joined:
            self._compare(now_ms, address)

    def _differing(self, now_ms: float, told: wire.Ping | wire.Ack) -> None:
        """Another's digest against ours: news may be on their way, but if it lasts, tables are compared.

        That others agree with us meanwhile says nothing: half of the fleet may hold another view.
        """
        if told.digest == self.table.live_digest:
            return
        if now_ms - self.differing_ms > 3 * self.pace.differ_ms:
            self.differs_ms = now_ms
        self.differing_ms = now_ms
        far_off = abs(told.live - len(self.table)) >= FAR_OFF
        if far_off or now_ms - self.differs_ms > self.pace.differ_ms:
            member = self.table.get(told.run)
            if member is not None and member.live:
                self._compare(now_ms, member.address)

    def _errand(self, now_ms: float, ask: wire.AskPing) -> None:
        if len(self.errands) >= 256:
            self.tally.add("fleet.errands_refused")
            return
        seq = self._next()
        self.errands[seq] = Errand(ask.run, ask.address, ask.seq, ask.target)
        self._ping(now_ms, seq, ask.target, ask.target_address)
        self._at(now_ms + self.pace.ack_ms, self._nack, seq)
        self._at(now_ms + 4 * self.pace.ack_ms, self._forget_errand, seq)

    def _nack(self, now_ms: float, seq: int) -> None:
        errand = self.errands.get(seq)
        if errand is not None:
            last = self.table.held.get(self.via.get(process_of(errand.target), 0))
            via = last.run if last is not None and last.live else 0
            self._send(errand.address, wire.Nack(next(self.counts), self.run, errand.run, errand.seq, via))

    def _nacked(self, nack: wire.Nack) -> None:
        """One asked works but did not reach the target; where it knows another that does, that one is asked too."""
        probe = self.probes.get(nack.seq)
        if probe is None:
            return
        probe.nacks += 1
        held = self.table.get(nack.via) if nack.via else None
        if (
            held is not None
            and held.live
            and process_of(held.run) not in (process_of(self.run), process_of(probe.run))
        ):
            self._ask_one(held, nack.seq, probe)

    def _ask_one(self, held: Member, seq: int, probe: Probe) -> None:
        key = process_of(held.run)
        if key not in probe.asked:
            probe.asked.append(key)
            if key != self.via.get(process_of(probe.run)):
                self.asks.spend(1)  # a way that works costs what a probe does, and no more in trouble
            ask = wire.AskPing(
                next(self.counts), self.run, held.run, seq, self.me.address, probe.run, probe.address
            )
            self._send(held.address, ask)

    def _forget_errand(self, now_ms: float, seq: int) -> None:
        self.errands.pop(seq, None)

    # News.

    def _news(self, now_ms: float, message: wire.Ping | wire.Ack | wire.Gossip) -> None:
        # Guards against one that hears nobody, and so takes all for dead: who is not held alive accuses nobody here.
        believed = self.table.standing(message.run) == State.ALIVE
        for told in message.full:
            if not self._of_self(now_ms, told.run, told.state, told.incarnation):
                member = self.table.take(told, now_ms)
                if member is not None:
                    self.rumours.add(member, whole=member.live)
        for told in message.news:
            if self._of_self(now_ms, told.run, told.state, told.incarnation, told.by):
                continue
            if not believed and told.state in (State.SUSPECT, State.DEAD):
                continue
            accusers, before = self._accusers(told.run), self.table.get(told.run)
            member = self.table.hear(told, now_ms)
            if member is None:
                if told.state == State.SUSPECT:
                    self._confirm(now_ms, told)
            elif member.state is State.SUSPECT:
                self._witness(now_ms, member, told.by)
            elif accusers and member.live:
                self._pass_on(member, accusers)  # a refutation, to those who accuse it
            elif not (member.live and before.live and member.run == before.run):
                self.rumours.add(member, whole=False)

    def _of_self(self, now_ms: float, run: int, state: int, incarnation: int, by: int = 0) -> bool:
        """Whether news is about this process; what is wrong in it is set right."""
        if process_of(run) != process_of(self.run):
            return False
        if self.leaving:
            return True
        if run > self.run or (run == self.run and state >= State.DEAD):
            self._reborn(now_ms, run)
        elif run == self.run and state == State.SUSPECT and incarnation >= self.incarnation:
            self.incarnation = incarnation + 1
            self.health.worse()
            self.refuted_ms = now_ms
            self.tally.add("fleet.refuted")
            self._tell_self(now_ms)
            self.rumours.drop(self.run)  # those who suspect us are told; others need not know
            self._pass_on(self.table.get(self.run), {by})
        return True

    def _facts_of_self(self, now_ms: float, told: wire.Full) -> None:
        """A member of wire version 1 holds us with other facts: it goes by incarnations alone."""
        if (
            not told.edition
            and not self.leaving
            and (told.run, told.incarnation) == (self.run, self.incarnation)
            and told.facts != self.me.facts
        ):
            self.incarnation += 1
            self._tell_self(now_ms)
            self.rumours.add(self.table.get(self.run), whole=True)

    def _tell_self(self, now_ms: float) -> None:
        me = self.me
        full = wire.Full(
            self.run,
            int(State.ALIVE),
            self.incarnation,
            0,
            me.name,
            me.address,
            me.zone,
            wire.LEAST,
            self.speaks,
            me.facts,
            self.edition,
        )
        before = self.table.get(self.run)
        member = self.table.take(full, now_ms)
        if member is not None:
            known = before is not None and before.facts == member.facts
            self.rumours.add(member, whole=not known)

    def _reborn(self, now_ms: float, run: int) -> None:
        """The run was declared dead: from here on we are its next life, and nothing lent to it is ours (V3)."""
        if self.leaving:
            return
        self.tally.add("fleet.reborn")
        run = max(run, self.run)
        if run & LIVES == LIVES:
            self.table.hear(
                wire.Short(run, State.DEAD, 0), now_ms
            )  # out of lives: another process altogether
            self.run = draw_run(self.draw)
        else:
            self.run = run + 1
        self.incarnation = 0
        self.vouched_ms = -float("inf")
        self._tell_self(now_ms)
        for told in self.reborn:
            told(self.run)

    def _changed(self, change: Change) -> None:
        """The table has changed: our own lists follow, and the readers are told in one order that all share."""
        was, now = change.was, change.now
        key = process_of((now or was).run)
        if now is None:
            self.via.pop(key, None)
        if now is None or not now.live:
            self.roundabout.pop(key, None)
        self.others = None
        if now is not None and now.live and (was is None or not was.live) and key != process_of(self.run):
            self.ring.insert(self.draw.randrange(len(self.ring) + 1), key)
        suspicion = self.suspicions.get(key)
        if suspicion is not None and not suspicion.about(now):
            del self.suspicions[key]
        self.told.append(change)
        if self.telling:
            return
        self.telling = True
        try:
            while self.told:
                change = self.told.pop(0)
                for listener in self.listeners:
                    listener(change)
        finally:
            self.telling = False

    # Suspicion.

    def _suspect(self, now_ms: float, run: int) -> None:
        """Our own probe of a member has failed."""
        held = self.table.get(run)
        if held is None or held.run != run or not held.live:
            return
        by = self.run
        if held.state is State.SUSPECT:
            self._confirm(now_ms, held.short(by))
            return
        member = self.table.hear(wire.Short(run, State.SUSPECT, held.incarnation), now_ms)
        if member is not None:
            self.tally.add("fleet.suspected")
            self._suspicion(now_ms, member, by)
            # Some others are asked to look for themselves; the whole fleet need not know before it is sure.
            # Where many are out of reach at once, they have no more to say and would be asked again and again.
            if len(self.suspicions) <= FEW:
                able = [one for one in self._live() if one.state is State.ALIVE]
                self._pass_on(member, {one.run for one in self.draw.sample(able, min(JURY, len(able)))}, by)

    def _suspicion(self, now_ms: float, member: Member, by: int) -> None:
        key = process_of(member.run)
        held = Suspicion(member.run, member.incarnation, now_ms, len(self.table), by)
        self.suspicions[key] = held
        self._at(held.due_ms(), self._verdict, key)
        self._at(now_ms + AGAIN_MS, self._again, key)

    def _again(self, now_ms: float, key: int) -> None:
        """Ping who is suspected again and again, so that it can refute as soon as there is a way."""
        held = self.suspicions.get(key)
        if held is not None:
            self._ping_suspect(now_ms, key, held)
            # Where half of the fleet is out of reach, pings of all who are suspected keep to the one rate.
            rate = AGAIN_RATE if len(self.suspicions) <= FEW else AGAIN_RATE_MANY
            self._at(now_ms + max(AGAIN_MS, len(self.suspicions) / rate), self._again, key)

    def _ping_suspect(self, now_ms: float, key: int, held: Suspicion) -> None:
        held.pinged_ms = now_ms
        address = self.table.held[key].address
        seq = self._next()
        self.probes[seq] = Probe(held.run, address, now_ms)
        self._ping(now_ms, seq, held.run, address)
        self._at(now_ms + 4 * self.pace.ack_ms, self._forget_probe, seq)

    def _absolve(self, now_ms: float, run: int) -> None:
        """One is heard who was suspected: if many are, the network may be whole again, and the next ones are asked.

        Guards against a network that flaps: suspicions of its last break must not run out in its next.
        """
        self.table.absolve(run, now_ms)
        if self.suspicions:
            due = [
                (key, held) for key, held in self.suspicions.items() if now_ms - held.pinged_ms >= AGAIN_MS
            ]
            for key, held in due[:NEXT]:
                self._ping_suspect(now_ms, key, held)

    def _confirm(self, now_ms: float, told: wire.Short) -> None:
        """Another accuses one that is under suspicion already."""
        key = process_of(told.run)
        held = self.suspicions.get(key)
        if held is None or (held.run, held.incarnation) != (told.run, told.incarnation):
            return
        accusers = set(held.accusers)
        if held.confirm(told.by):
            self._at(held.due_ms(), self._verdict, key)
            if told.by == self.run:
                self._pass_on(self.table.get(told.run), accusers, self.run)

    def _accusers(self, run: int) -> set[int]:
        held = self.suspicions.get(process_of(run))
        return set(held.accusers) if held is not None else set()

    def _witness(self, now_ms: float, member: Member, by: int) -> None:
        """Another accuses a member: look for ourselves, at once, and tell it what we find."""
        self._suspicion(now_ms, member, by)
        self._probe_one(now_ms, member, relays=1)  # it is asked for what it sees itself

    def _pass_on(self, member: Member, to: set[int], by: int = 0) -> None:
        """Tell some members, at once, how we hold one."""
        for run in sorted(to):
            held = self.table.get(run) if run else None
            if held is not None and held.live and process_of(run) != process_of(self.run):
                news = [member.short(by)]
                self._send(held.address, wire.Gossip(next(self.counts), self.run, held.run, news))

    def _verdict(self, now_ms: float, key: int) -> None:
        held = self.suspicions.get(key)
        if held is None:
            return
        if now_ms < held.due_ms():
            self._at(held.due_ms(), self._verdict, key)
            return
        late_ms = now_ms - held.due_ms()
        if held.asked < LAST_PROBES:
            if self.asks.now(now_ms) < RELAYS and late_ms < PATIENT_MS:
                self._at(now_ms + 2 * self.pace.ack_ms, self._verdict, key)
                return
            if self.run not in held.accusers and late_ms < OTHERS_MS:
                self._at(now_ms + OTHERS_MS * (1.0 + self.draw.random()), self._verdict, key)
                return
            # Pinged for the last times, with the suspicion: whoever lives and can be reached refutes it now.
            held.asked += 1
            relays = RELAYS if len(self.suspicions) <= FEW else 1
            self._probe_one(now_ms, self.table.held[key], relays, last=True)
            self._at(now_ms + self.health.scaled(LAST * self.pace.ack_ms), self._verdict, key)
            return
        if self.vouched(now_ms) > VOUCHED_MS and late_ms < ALONE_MS:
            self.tally.add("fleet.unsure")
            self._at(now_ms + 2 * self.pace.ack_ms, self._verdict, key)
            return
        del self.suspicions[key]
        self._end(now_ms, held.run, "fleet.declared_dead")

    def _gone(self, now_ms: float, run: int) -> None:
        """Another process answers at a member's address: that member is no more."""
        self._end(now_ms, run, "fleet.found_gone")

    def _end(self, now_ms: float, run: int, why: str) -> None:
        held = self.table.get(run)
        if held is None or held.run != run or not held.live:
            return
        member = self.table.hear(wire.Short(run, State.DEAD, held.incarnation), now_ms)
        self.tally.add(why)
        self.rumours.add(member, whole=False)
        # It is told as well: if it lives it finds out at once.
        self._send(member.address, wire.Gossip(next(self.counts), self.run, run, [member.short()]))

    # What is due.

    def _live(self) -> list[Member]:
        """Those that live but for ourselves, in the order they were heard of."""
        if self.others is None:
            mine = process_of(self.run)
            self.others = [held for held in self.table if held.live and process_of(held.run) != mine]
        return self.others

    def _probe(self, now_ms: float, _: int) -> None:
        # Waits grow with slowness without much bound, probing slows down to a third: a side of a partition, where
        # most relays are gone, looks slow to itself and has still to find who is.
        self._at(now_ms + min(self.health.scaled(self.pace.period_ms), 3 * self.pace.period_ms), self._probe)
        target = self._next_target()
        if target is not None and not self.leaving:
            self._probe_one(now_ms, target)

    def _probe_one(self, now_ms: float, target: Member, relays: int = RELAYS, last: bool = False) -> None:
        seq = self._next()
        self.probes[seq] = Probe(target.run, target.address, now_ms, relays, last)
        self._ping(now_ms, seq, target.run, target.address)
        self._at(now_ms + self.health.scaled(self.pace.ack_ms), self._ask, seq)

    def _next_target(self) -> Member | None:
        """The next of a ring that is shuffled anew when it is through: each is probed once a round."""
        for _ in range(2):
            while self.ring:
                held = self.table.held.get(self.ring.pop())
                if held is not None and held.live:
                    return held
            self.ring = [process_of(held.run) for held in self._live()]
            self.draw.shuffle(self.ring)
        return None

    def _ping(self, now_ms: float, seq: int, run: int, address: str) -> None:
        news, full = self._pick(now_ms, run, self._first(now_ms, run)) if run else ([], [])
        ping = wire.Ping(
            next(self.counts),
            self.run,
            run,
            seq,
            self.me.address,
            len(self.table),
            self.table.live_digest,
            news,
            full,
        )
        self._send(address, ping)

    def _ask(self, now_ms: float, seq: int) -> None:
        """No answer so far: others ping it for us, the one through which it was reached last among them."""
        probe = self.probes.get(seq)
        if probe is None:
            return
        key = process_of(probe.run)
        able = [held for held in self._live() if process_of(held.run) != key and held.state is State.ALIVE]
        left = self.asks.now(now_ms)
        most = probe.relays
        if not probe.last and (left < ASKS / 2 or len(self.suspicions) > FEW):
            most = min(1, most) if left > RESERVE else 0
        last = self.table.held.get(self.via.get(key, 0))
        # Where the way is cut for long, the one that worked: if it does not, others are asked the next time.
        via = last is not None and last.live
        chosen = [last] if via else self.draw.sample(able, min(most, len(able)))
        for held in chosen:
            self._ask_one(held, seq, probe)
        self._at(now_ms + self.health.scaled(2 * self.pace.ack_ms), self._fail, seq)

    def _fail(self, now_ms: float, seq: int) -> None:
        probe = self.probes.pop(seq, None)
        if probe is None:
            return
        if self.via.get(process_of(probe.run)) in probe.asked:
            del self.via[process_of(probe.run)]
        # Relays that work say so; that none does points at ourselves.
        if probe.relays:
            self.health.worse(max(0, len(probe.asked) - probe.nacks) if probe.asked else 1)
        self._suspect(now_ms, probe.run)

    def _gossip(self, now_ms: float, _: int) -> None:
        many = len(self.rumours) > FEW  # they go together then, in fewer datagrams
        self._at(now_ms + self.pace.gossip_ms * (3 if many else 1), self._gossip)
        if self.rumours.fresh():
            self._spread(now_ms)

    def _spread(self, now_ms: float) -> None:
        others = self._live()
        for held in self.draw.sample(others, min(SPREAD, len(others))):
            news, full = self.rumours.pick(now_ms, len(self.table), ROOM + 60, self.table.get)
            if news or full:
                self._send(held.address, wire.Gossip(next(self.counts), self.run, held.run, news, full))

    def _reach(self, now_ms: float, _: int) -> None:
        """Try one who is dead, or a seed that nobody who lives goes by; always at the one pace."""
        self._at(now_ms + self.pace.reach_ms * (1.0 if self.joined else 0.3), self._reach)
        if self.leaving:
            return
        addresses = {held.address for held in self._live()}
        dead = [
            held.address for held in map(self.table.held.get, self.table.over) if held.state is State.DEAD
        ]
        seeds = [seed for seed in self.seeds if seed not in addresses]
        choices = [some for some in (dead, seeds) if some]
        if not choices:
            return
        tried = [self.draw.choice(self.draw.choice(choices))] if self.joined else seeds
        for address in tried:
            if address != self.me.address and address not in addresses:
                seq = self._next()
                self.probes[seq] = Probe(0, address, now_ms)
                self._ping(now_ms, seq, 0, address)
                self._at(now_ms + 4 * self.pace.reach_ms, self._forget_probe, seq)

    def _first(self, now_ms: float, to: int) -> list[wire.Short]:
        """What a member has to know of itself, and our refutation while that is new."""
        first = []
        about = self.table.get(to)
        if about is not None and about.state is not State.ALIVE:
            first.append(about.short())
        if now_ms - self.refuted_ms < TELL_MS:
            first.append(wire.Short(self.run, int(State.ALIVE), self.incarnation))
        return first

    def _pick(
        self, now_ms: float, to: int, first: list[wire.Short]
    ) -> tuple[list[wire.Short], list[wire.Full]]:
        """News for a member: what is first, and what goes round."""
        room = ROOM - SHORT_SIZE * len(first)
        news, full = self.rumours.pick(now_ms, len(self.table), room, self.table.get)
        return first + news, full

    def _forget_probe(self, now_ms: float, seq: int) -> None:
        self.probes.pop(seq, None)

    def _forget(self, now_ms: float, _: int) -> None:
        self._at(now_ms + self.pace.forget_ms, self._forget)
        self.table.forget(now_ms)

    # Comparing tables; net/peers.py brings the messages over TCP.

    def _compare_any(self, now_ms: float, _: int) -> None:
        self._at(now_ms + (0.5 + self.draw.random()) * self.pace.compare_ms, self._compare_any)
        others = self._live()
        if others:
            self._compare(now_ms, self.draw.choice(others).address)

    def _compare(self, now_ms: float, address: str) -> None:
        if now_ms - self.compared_ms < self.pace.compare_gap_ms or self.leaving:
            return
        if self.comparing.now(now_ms) > 0.0 or not self.joined:
            self.compared_ms = now_ms
            self.tally.add("fleet.comparisons")
            self.out.append(Compare(address))

    def spent(self, size: int) -> None:
        """A comparison begun here has moved so many bytes."""
        self.comparing.spend(size)

    def hello(self, token: int) -> wire.Hello:
        """What the taker of a connection says first."""
        return wire.Hello(next(self.counts), self.run, 0, token)

    def ask(self, now_ms: float, hello: wire.Hello, token: int) -> wire.SyncAsk:
        """The caller's part: our digests, and ourselves."""
        me = self.table.get(self.run).full(now_ms)
        buckets = self.table.buckets
        if self.version_for(hello.run) >= 2:
            buckets = [mark & wire.MARK for mark in buckets]
        return wire.SyncAsk(next(self.counts), self.run, hello.run, hello.token, token, list(buckets), me)

    def answer(self, now_ms: float, ask: wire.SyncAsk) -> wire.SyncTable:
        """The taker's part: the members of the parts that differ."""
        if len(ask.buckets) != BUCKETS:
            raise wire.WireError("buckets")
        self._merge(now_ms, [ask.me])
        differ = [i for i, mark in enumerate(ask.buckets) if (mark ^ self.table.buckets[i]) & wire.MARK]
        members = [held.full(now_ms) for held in self.table.bucket(differ)]
        return wire.SyncTable(next(self.counts), self.run, ask.run, ask.mine, 0, members, differ)

    def compared(self, now_ms: float, told: wire.SyncTable, token: int) -> wire.SyncTable:
        """The caller takes the taker's members; given back is what the taker does not know, or not so well."""
        theirs = {process_of(one.run): one for one in told.members}
        self._merge(now_ms, told.members)
        self.joined = True
        self.differs_ms = now_ms
        better = [
            held.full(now_ms)
            for held in self.table.bucket(told.differ)
            if held.knows(theirs.get(process_of(held.run)))
        ]
        self._wake()
        return wire.SyncTable(next(self.counts), self.run, told.run, token, 0, better)

    def given(self, now_ms: float, told: wire.SyncTable) -> None:
        """The taker takes what the caller knew better."""
        self._merge(now_ms, told.members)
        self.joined = True
        self._wake()

    def _merge(self, now_ms: float, members: list[wire.Full]) -> None:
        changed = []
        for told in members:
            if self._of_self(now_ms, told.run, told.state, told.incarnation):
                self._facts_of_self(now_ms, told)
                continue
            before = self.table.get(told.run)
            member = self.table.take(told, now_ms)
            if member is None:
                continue
            changed.append((member, before is None or before.edition != member.edition))
            if member.live and member.address == self.me.address:
                self._gone(now_ms, member.run)  # the address is ours: it was there before us
        if self.joined and len(changed) <= BULK:
            for member, new in changed:
                self.rumours.add(member, whole=new and member.live)

    # Within.

    def _next(self) -> int:
        self.seq = (self.seq + 1) & 0xFFFFFFFF
        return self.seq

    def _send(self, address: str, message: wire.Any) -> None:
        self.out.append(Datagram(address, message))
