"""Every decision of leadslip; its types, events and actions are in leadslip/interface.py.

Each gateway runs one Controller as a percent throttle after R-SOCA: every interval it smooths each server's
load figure, maps it by a straight line to a chance of refusal, smooths that too, and refuses new set-ups by
that chance before sending. What the design leaves open is kept around it; docs/design.md gives the reasons.
"""

from __future__ import annotations

import random

from leadslip import interface as face

READY = face.ServerState.READY

# Constants. 'Design' marks figures of the design page, 'ours' what we chose.
INTERVAL_MS = 500.0  # ms between two reckonings; design (its own choice)
SIGMA = 0.6  # weight of the newest figure and chance; design
FLOOR = 0.05  # chance up to which a server counts as calm; design
MINOR_MS = 200.0  # delay above the least at which refusal begins; design (its own choice)
MAJOR_MS = 800.0  # delay above the least at which all is refused; design (its own choice)
STALE_INTERVALS = 2  # intervals after which an unrenewed figure counts as nought; design
LEAST_SPAN_MS = 10_000.0  # ms of one slot of the least delay ...; ours, keeps the minute in few numbers
LEAST_SLOTS = 6  # ... and slots kept: a minute in all; design
BURST = 1.7  # multiple of the calm rate that is sent while pressed; design
BURST_DEPTH_MS = 1000.0  # ms of that rate that may come at once; ours, chance alone bunches few calls so
CALM_MEMORY_MS = 10_000.0  # ms over which the calm rate is learned; ours, some tens of calls at small sites
PRESSED_WEIGHT = 0.2  # part by which pressed intervals count for it; ours, outlasts bursts, follows change
BUSY_MS = 2000.0  # ms between trial calls to a number whose lines are all taken; ours, part of a usual call
COLD_SHARE = 0.5  # part of the multiple that would push a cold server over; ours, leaves room for chance
WORTH_CALLS = 200.0  # calls over which worths and tenants' parts are learned; ours, some tens of seconds
UNNAMED = 0.33  # part of the fair rate that a server has though few calls name it; ours, a third
RATE_KNOWN_MS = 2000.0  # ms after which the rate counts as known; ours, a few intervals
RATE_KNOWN_CALLS = 10  # calls after which it limits what is sent; ours, few calls tell no rate
UTILISED = (0.85, 1.0)  # minor and major for reported utilisation; ours, where queues begin and end
QUEUED = (8.0, 32.0)  # minor and major for reported queues, in set-ups; ours, same ratio as the delays
KEPT_MS = (
    20.0  # ms of all gateways' calm rate, in lines, kept for the calls worth most; ours, age of a report
)
WINDOW_MS = 400.0  # ms of the calm rate that may be unanswered; ours, midway on the curve
URGENT = 3.0  # a class worth this many times the least is urgent; ours, well above mere preference
TRIAL_PART = 0.2  # part of the calls that may be a trial at a busy number; ours, few
MEMORY_GAPS = 3.0  # mean gaps between set-ups for which a figure counts at the least; ours, to outlast a jam
MEMORY_MS = 30_000.0  # ms for which it counts at the most; ours, half of what the least delay is kept for
LOST = 0.7  # set-ups lately lost from which on more are expected; ours, one within a few seconds
LOG_LINES = 60  # lines logged at most; ours, the log's readers are few


class _Server:
    """What this gateway knows of one server."""

    def __init__(self, entry: face.ListEntry, born_ms: float, now_ms: float) -> None:
        self.entry = entry
        self.born_ms = born_ms  # when it started cold; 0: long past
        self.stood = 0  # set-ups that stood in this interval
        self.credit, self.credit_at_ms = 0.0, now_ms  # set-ups it may get while limited, and when reckoned
        self.figure, self.figure_at_ms = 0.0, 0.0  # newest load figure, ms above the least or its like
        self.answered, self.missed = 0.0, False  # newest figure of an answer; whether one never came since
        self.worst = 0.0  # largest figure since the last reckoning
        self.load, self.chance = 0.0, 0.0  # smoothed figure, C, and smoothed chance of refusal
        self.least: dict[float, float] = {}  # slot of time -> least delay in it
        self.unanswered: dict[str, float] = {}  # call -> when sent, oldest first
        self.overtaken_ms = 0.0  # when the latest set-up that stood was sent; refusals may jump the line
        self.jammed = False  # as last logged
        self.free_lines: float | None = None  # as last told, less what was sent since


class _Call:
    """One call that this gateway owes an answer."""

    def __init__(self, offered: face.CallOffered, kind: face.CallClass, most: int) -> None:
        self.offered, self.kind = offered, kind
        self.attempts, self.most = 0, most  # its bound of attempts stays when settings change
        self.at: _Server | None = None  # where its attempt is out
        self.stands = self.may_have_run = False
        self.been: list[str] = []  # servers that failed it
        self.wake_ms = 0.0  # not to be sent before
        self.luck = 1.0  # drawn at each look: parts of a set-up below one are given by chance


class Controller:
    """The call control of one gateway; gateways share nothing."""

    def __init__(self, settings: face.Settings, seed: int) -> None:
        self.quotas: dict[str, float] = {}
        self.worths: dict[str, float] = {}  # of each class
        self.adopt(settings)
        self.random = random.Random(seed)
        self.servers: dict[str, _Server] = {}
        self.calls: dict[str, _Call] = {}
        self.gone: dict[str, float] = {}  # server -> when it was told to be gone, oldest first
        self.listed = False  # a list has been seen
        self.ticking = False
        self.busy: dict[str, float] = {}  # number called -> not to be tried before
        self.rates: dict[int, float] = {}  # server number -> calm set-ups a millisecond
        self.offered: dict[int, int] = {}  # first-choice number -> calls offered in this interval
        self.known_ms, self.known_calls = 0.0, 0  # how long, and by how many calls rates have been learned
        self.logged = 0
        self.lost = 0.0  # set-ups lately shown to be lost
        self.actions: list[face.Action] = []

    def adopt(self, settings: face.Settings) -> None:
        """Take settings, at the start and when they change; what was learned of servers and rates stays."""
        _check(settings)
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        self.least_worth = min((kind.worth for kind in settings.classes if kind.worth > 0), default=1.0)
        self.most_worth = max((kind.worth for kind in settings.classes), default=1.0)
        worths = {kind.name: kind.worth for kind in settings.classes}
        if worths != self.worths:  # else worths that are no more would go on weighing those that are
            self.worths, self.mean_worth = worths, self.least_worth
        total = sum(tenant.quota_per_s for tenant in settings.tenants) or 1.0
        quotas = {tenant.name: tenant.quota_per_s / total for tenant in settings.tenants}
        if quotas != self.quotas or not quotas:
            self.quotas, self.asked = quotas, dict(quotas)  # asked: each tenant's part of the calls here

    def learned(self) -> tuple[float, int, dict[int, float]]:
        """How long and by how many calls rates have been learned, and the rates by a server's number."""
        return self.known_ms, self.known_calls, dict(self.rates)

    def recall(self, known_ms: float, known_calls: int, rates: dict[int, float]) -> None:
        """Take what a former process here had learned; nothing where this one knows more."""
        if known_ms > self.known_ms:
            self.known_ms, self.known_calls, self.rates = known_ms, known_calls, dict(rates)

    def handle(self, now_ms: float, event: face.Event) -> list[face.Action]:
        """Take one event; the actions hold from now on."""
        self.actions = []
        if not self.ticking:
            self.ticking = True
            # Gateways started together must not reckon in step.
            self.actions.append(face.SetTimer(INTERVAL_MS * self.random.random(), "interval"))
            self.actions += [face.FollowList()] if self.settings.list_on_request else []
        match event:
            case face.ListNews():
                self._news(now_ms, event)
            case face.CallOffered():
                self._offered(now_ms, event)
            case face.CallStands():
                self._stands(now_ms, event)
            case face.AttemptEnded():
                self._ended(now_ms, event)
            case face.CallerLeft(call):
                self.calls.pop(call, None)
            case face.TimerDue("interval"):
                self.actions.append(face.SetTimer(INTERVAL_MS, "interval"))
                self._reckon(now_ms)
            case face.TimerDue("list"):
                self.actions.append(face.FollowList())
            case face.TimerDue(token) if token in self.calls:
                self._decide(now_ms, self.calls[token])
            case face.ServerLooked(server, _, _, load) if server in self.servers and load:
                self.servers[server].free_lines = load.free_lines
        return self.actions

    # The list of servers.

    def _news(self, now_ms: float, news: face.ListNews) -> None:
        if news.kind is face.NewsKind.FAILED:
            self.actions.append(face.SetTimer(INTERVAL_MS, "list"))
            return
        if news.kind is not face.NewsKind.CHANGES:
            names = [entry.server for entry in news.entries]
            self.servers = {name: server for name, server in self.servers.items() if name in names}
        for entry in news.entries:
            held = self.servers.get(entry.server)
            if entry.state is face.ServerState.GONE and (held is None or held.entry.state is not entry.state):
                self.gone[entry.server] = now_ms
            if held is not None and entry.online_since_ms <= held.entry.online_since_ms:
                held.entry = entry
                continue
            # A fresh start time or a new id is a new processor: nothing learned of the old one holds. One
            # without a start time that joins a list already seen counts as started now.
            born = entry.online_since_ms or (now_ms if self.listed else 0.0)
            self.servers[entry.server] = _Server(entry, born, now_ms)
        self.listed = True

    # Load figures and chances.

    def _hear(self, now_ms: float, server: _Server, taken_ms: float, load: face.Load | None) -> None:
        """An answer came: take its figure, by the report if it tells load, else by its own delay."""
        slot = now_ms // LEAST_SPAN_MS
        server.least[slot] = min(server.least.get(slot, taken_ms), taken_ms)
        figure = self._above_least(now_ms, server, taken_ms)
        if load is not None:
            server.free_lines = load.free_lines
            if load.wait_ms is not None:
                figure = load.wait_ms
            elif load.utilisation is not None:
                figure = _like_delay(load.utilisation, UTILISED)
            elif load.queue is not None:
                figure = _like_delay(load.queue, QUEUED)
        self._sample(now_ms, server, figure)
        self.lost += server.missed and figure <= MINOR_MS
        server.missed = False

    def _waiting(self, server: _Server, now_ms: float) -> list[float]:
        """When the set-ups that wait there were sent, oldest first; the first of them may be lost."""
        # Where quick answers follow on set-ups never answered, answers get lost: one late among quick ones is
        # no sign then, it takes two. Else all servers look jammed. Could harm where one dies meanwhile.
        waiting = [sent_ms for sent_ms in server.unanswered.values() if sent_ms > server.overtaken_ms]
        quick = self.lost >= LOST and server.answered <= MINOR_MS
        return waiting[1:] if waiting and quick and now_ms - waiting[0] > MINOR_MS else waiting

    def _above_least(self, now_ms: float, server: _Server, delay_ms: float) -> float:
        oldest = now_ms // LEAST_SPAN_MS - LEAST_SLOTS
        server.least = {slot: least for slot, least in server.least.items() if slot > oldest}
        return delay_ms - min(server.least.values(), default=0.0)

    def _sample(self, now_ms: float, server: _Server, figure: float) -> None:
        server.figure, server.answered, server.figure_at_ms = figure, figure, now_ms
        server.worst = max(server.worst, figure)

    def _reckon(self, now_ms: float) -> None:
        """The interval's end: smooth figures and chances, learn the calm rate."""
        self.busy = {number: due for number, due in self.busy.items() if due + BUSY_MS > now_ms}
        self.known_ms += INTERVAL_MS
        # Guards against keeping every server for good, and against a fair rate that sinks with their number,
        # where they are replaced under new ids.
        for name in [name for name, gone_ms in self.gone.items() if gone_ms + MEMORY_MS < now_ms]:
            del self.gone[name]
            if name in self.servers and self.servers[name].entry.state is face.ServerState.GONE:
                del self.servers[name]
        self.lost *= 1.0 - INTERVAL_MS / CALM_MEMORY_MS
        for server in self.servers.values():
            # A silent server yields no figure: the age of its oldest unanswered set-up is the least delay
            # that can be, for crash, hang and slowness alike. One that a later set-up has overtaken is lost.
            oldest = min(self._waiting(server, now_ms), default=now_ms)
            age = self._above_least(now_ms, server, now_ms - oldest)
            if age > MINOR_MS and age > server.figure:
                server.figure, server.figure_at_ms, server.worst = age, now_ms, max(server.worst, age)
            # A gateway among hundreds hears a server each few seconds: a figure counts until the next is due.
            gap_ms = min(MEMORY_GAPS / max(self._calm_rate(server), 1e-9), MEMORY_MS)
            fresh = now_ms - server.figure_at_ms < max(STALE_INTERVALS * INTERVAL_MS, gap_ms)
            server.load += SIGMA * ((server.figure if fresh else 0.0) - server.load)
            chance = min(1.0, max(0.0, (server.load - MINOR_MS) / (MAJOR_MS - MINOR_MS)))
            server.chance += SIGMA * (chance - server.chance)
            if server.worst >= MAJOR_MS:
                server.chance = 1.0
            server.worst = 0.0
            self._log(server)
            self._learn_rate(now_ms, server)
        self.offered = {}

    def _learn_rate(self, now_ms: float, server: _Server) -> None:
        """The calm rate of a number: what is offered in the calm, a part of what stands while pressed."""
        # Else a sender whose traffic has grown for good stays capped. What is offered while pressed counts
        # redials; one that drains, is silent or cold keeps its rate, but for a gateway just reborn.
        stood, server.stood = server.stood, 0
        settled = server.entry.state is READY and self._cold_part(now_ms, server) >= 1.0
        if not settled and self.known_ms > RATE_KNOWN_MS:
            return
        calm = server.chance <= FLOOR
        seen = self.offered.get(server.entry.number, 0) if calm else stood
        weight = INTERVAL_MS / min(CALM_MEMORY_MS, max(RATE_KNOWN_MS, self.known_ms))
        rate = self.rates.get(server.entry.number, 0.0)
        weight *= 1.0 if calm else PRESSED_WEIGHT
        self.rates[server.entry.number] = rate + weight * (seen / INTERVAL_MS - rate)

    def _log(self, server: _Server) -> None:
        jammed = server.chance == 1.0 or (server.jammed and server.chance > FLOOR)
        if server.jammed is not jammed and self.logged < LOG_LINES:
            self.logged += 1
            self.actions.append(face.Log(f"{server.entry.server} is {'jammed' if jammed else 'calm again'}"))
        server.jammed = jammed

    def _calm_rate(self, server: _Server) -> float:
        """Set-ups a millisecond that this gateway sends there in the calm; too low while hardly known.

        It goes by the first choice that calls name, so a processor that takes another's number inherits it.
        """
        fair = sum(self.rates.values()) / max(1, len(self.servers))
        return max(self.rates.get(server.entry.number, 0.0), UNNAMED * fair)

    # Calls.

    def _offered(self, now_ms: float, offered: face.CallOffered) -> None:
        kind = self.classes.get(offered.call_class)
        if kind is None:
            self.actions.append(face.Refuse(offered.call))
            return
        self.known_calls += 1
        self.mean_worth += (kind.worth - self.mean_worth) / WORTH_CALLS
        for tenant, asked in self.asked.items():
            self.asked[tenant] = asked + ((tenant == offered.tenant) - asked) / WORTH_CALLS
        self.offered[offered.destination] = self.offered.get(offered.destination, 0) + 1
        call = self.calls[offered.call] = _Call(offered, kind, self.settings.max_attempts)
        self._decide(now_ms, call)

    def _decide(self, now_ms: float, call: _Call) -> None:
        """The one place where a call is sent, held or ended: tries, waits and the caller's time together."""
        if call.at is not None or call.stands or now_ms < call.wake_ms:
            return
        cut_ms = call.offered.valid_until_ms - 2 * self.settings.tick_ms
        unsafe = call.may_have_run and call.kind.repeat is not face.Repeat.FREE
        # All lines of a number taken: calls to it only cost work until one ends. Guards against one number
        # crowding the servers out; it could harm a number that frees quickly.
        if now_ms < self.busy.get(call.offered.number_called, 0.0):
            self._finish(call, failed=unsafe, busy=True)
            return
        call.luck = self.random.random()
        if call.offered.number_called in self.busy:
            if call.luck >= TRIAL_PART:
                self._finish(call, failed=unsafe, busy=True)
                return
            self.busy[call.offered.number_called] = now_ms + BUSY_MS
        server = None
        if call.attempts < call.most and now_ms < cut_ms:
            server = self._route(now_ms, call)
        if server is None or unsafe or self._refused(now_ms, call, server):
            self._finish(call, failed=unsafe)
            return
        call.at = server
        call.attempts += 1
        server.unanswered[call.offered.call] = now_ms
        server.credit, server.credit_at_ms = self._credit(now_ms, server) - 1.0, now_ms
        if server.free_lines is not None:
            server.free_lines -= call.offered.lines
        self.actions.append(face.SetUp(call.offered.call, server.entry.server, cut_ms))

    def _usable(self, now_ms: float, call: _Call, server: _Server) -> bool:
        pools, offered, number = call.kind.allowed_pools, call.offered, server.entry.number
        if server.entry.state is not READY or server.entry.server in call.been:
            return False
        if number == self.settings.own_number or (pools is not None and number not in pools):
            return False
        if offered.in_transit and number != offered.destination:
            return False
        if server.free_lines is not None and server.free_lines < offered.lines + self._kept(call, server):
            return False
        spared = self._spared(now_ms, call, server) or self._credit(now_ms, server) > call.luck
        return spared and self._within_window(now_ms, call, server)

    def _kept(self, call: _Call, server: _Server) -> float:
        """Lines kept free for calls worth more than this one: trunk reservation.

        Guards against lines going to whoever asks first where lines, not the processor, run short. They are
        told as late as a report, so what all gateways send meanwhile is kept. A redial counts as late.
        """
        worth = call.kind.worth * (call.kind.late_worth if call.offered.redialled else 1.0)
        if server.chance > FLOOR:
            return 0.0  # its processor is pressed, and the window spares those calls already
        lines = self._calm_rate(server) * self.settings.gateways * KEPT_MS
        return lines * (1.0 - worth / max(self.most_worth, 1e-9))

    def _urgent(self, call: _Call) -> bool:
        return call.kind.worth >= URGENT * self.least_worth

    def _precedence(self, call: _Call) -> float:
        """A call's worth beside the mean, between a half and two: it scales the window.

        What a tenant asks beyond its share is worth less, so its calls are shed first when pressed. A gateway
        can only take its own mix for the fleet's; where that is wrong it harms a tenant by half a window.
        """
        tenant, worth = call.offered.tenant, call.kind.worth / self.mean_worth
        if tenant in self.quotas:
            within = min(1.0, self.quotas[tenant] / max(self.asked[tenant], 1e-9))
            worth *= within + (1.0 - within) * self.settings.over_share_worth
        return min(2.0, max(0.5, worth))

    def _within_window(self, now_ms: float, call: _Call, server: _Server) -> bool:
        """Whether fewer set-ups are unanswered than a part of a second's calm rate."""
        # What is unanswered over the rate is the wait to come, known at once where delays tell it too late:
        # it damps the swing between nothing and all and bounds what a silent server can swallow. Urgent calls
        # have a window too: spared wholly, they would jam the last small servers. Calls bunch, so in the
        # calm one more may be out, by chance where less than one a second is sent.
        rate = self._calm_rate(server)
        if (
            self.known_ms < RATE_KNOWN_MS
            and server.chance <= FLOOR
            and self._cold_part(now_ms, server) >= 1.0
        ):
            # No rate is known yet. Guards against refusing all but one of the calls that wait at a start; it
            # could harm where a fleet starts into a jam.
            return True
        room = max(1.0, rate * WINDOW_MS * self._precedence(call))
        if server.chance <= FLOOR:
            room = max(room, 1.0 + min(1.0, rate * BURST_DEPTH_MS))
        return len(self._waiting(server, now_ms)) + call.luck < room

    def _limit(self, now_ms: float, server: _Server) -> float:
        """Set-ups a millisecond beside the window: the burst over the calm rate, or a part of what would push
        a cold one over, with no floor of the rate, as hundreds of floors add up.
        """
        part = self._cold_part(now_ms, server)
        if part < 1.0:
            return self.rates.get(server.entry.number, 0.0) * part * COLD_SHARE * self.settings.push_multiple
        return BURST * self._calm_rate(server)

    def _credit(self, now_ms: float, server: _Server) -> float:
        """Set-ups that a server may get now; below one it is the chance of one, as hundreds add up."""
        limit = self._limit(now_ms, server)
        return min(limit * BURST_DEPTH_MS, server.credit + limit * (now_ms - server.credit_at_ms))

    def _spared(self, now_ms: float, call: _Call, server: _Server) -> bool:
        """A warm calm server is spared the limit for calls that name it, and a warm one for urgent calls."""
        # Calls of another first choice are not: when a large server drains or falls silent, the small ones
        # would jam before their delays tell. It could harm where one could take more than this for long.
        if self._cold_part(now_ms, server) < 1.0:
            return False
        named = server.entry.number == call.offered.destination and server.chance <= FLOOR
        return named or self._urgent(call) or self.known_calls < RATE_KNOWN_CALLS

    def _cold_part(self, now_ms: float, server: _Server) -> float:
        """The part of its work that a server can do at least, by its age."""
        if not server.born_ms or now_ms >= server.born_ms + self.settings.warm_after_ms:
            return 1.0
        warm = max(0.0, now_ms - server.born_ms) / self.settings.warm_after_ms
        return self.settings.cold_fraction + (1.0 - self.settings.cold_fraction) * warm

    def _route(self, now_ms: float, call: _Call) -> _Server | None:
        usable = [server for server in self.servers.values() if self._usable(now_ms, call, server)]
        for server in usable:
            if server.entry.number == call.offered.destination and server.chance <= FLOOR:
                return server
        if not usable:
            return None
        two = self.random.sample(usable, 2) if len(usable) > 2 else usable
        return min(two, key=lambda server: (server.chance, len(server.unanswered)))

    def _refused(self, now_ms: float, call: _Call, server: _Server) -> bool:
        """Refusal of a new set-up by chance, before it is sent."""
        if server.chance <= FLOOR or self._urgent(call):
            return False
        return self.random.random() < server.chance

    def _stands(self, now_ms: float, event: face.CallStands) -> None:
        call = self.calls.get(event.call)
        if call is None or call.at is None or call.at.entry.server != event.server:
            return
        call.stands = True
        call.at.stood += 1
        self.busy.pop(call.offered.number_called, None)
        call.at.unanswered.pop(event.call, None)
        call.at.overtaken_ms = max(call.at.overtaken_ms, now_ms - event.taken_ms)
        self._hear(now_ms, call.at, event.taken_ms, None)

    def _ended(self, now_ms: float, event: face.AttemptEnded) -> None:
        call, server = self.calls.get(event.call), self.servers.get(event.server)
        if server is not None:
            self._learn(now_ms, server, event)
        if call is None or event.attempt != call.attempts - 1:
            return
        call.at = None
        if event.call_over or call.stands:
            self.calls.pop(event.call, None)
            return
        outcome = event.outcome
        call.been.append(event.server)
        proven = (face.Outcome.FULL, face.Outcome.NO_CONNECTION, face.Outcome.NOT_SENT)
        call.may_have_run = call.may_have_run or outcome not in proven
        if event.cause is face.Cause.NO_LINE and server is not None:
            # Free lines are told late; each asking in vain is work there and a detour. Guards against full
            # servers and broken groups alike; it could harm where they are told seldom and free quickly.
            server.free_lines = 0.0 if server.free_lines is not None else None
        if event.cause is face.Cause.NUMBER_BUSY:
            self.busy[call.offered.number_called] = now_ms + BUSY_MS
            self._finish(call, failed=call.kind.repeat is not face.Repeat.FREE, busy=True)
            return
        if outcome in (face.Outcome.TIMED_OUT, face.Outcome.CUT, face.Outcome.WITHDRAWN):
            call.wake_ms = now_ms + self.settings.release_wait_ms + self.settings.tick_ms
            if call.wake_ms >= call.offered.valid_until_ms - 2 * self.settings.tick_ms:
                self._finish(call, failed=True)
            else:
                self.actions.append(face.SetTimer(call.wake_ms - now_ms, event.call))
            return
        self._decide(now_ms, call)

    def _learn(self, now_ms: float, server: _Server, event: face.AttemptEnded) -> None:
        """What the end of an attempt tells of its server."""
        server.unanswered.pop(event.call, None)
        outcome, load = event.outcome, event.load
        if load is not None and load.free_lines is not None:
            # Every report tells the lines as they were when it left. Guards against taking a server for full
            # until the next unasked news, while lines come free there all the time.
            server.free_lines = load.free_lines
        server.missed = server.missed or outcome is face.Outcome.TIMED_OUT
        if outcome in (face.Outcome.ERROR, face.Outcome.FULL):
            self._hear(now_ms, server, event.taken_ms, load)
        elif outcome is face.Outcome.SERVED and load is not None and load.wait_ms is not None:
            self._sample(now_ms, server, load.wait_ms)
        if outcome is face.Outcome.NO_CONNECTION or event.cause is face.Cause.PROCESSOR_FULL:
            self._sample(now_ms, server, MAJOR_MS)
            server.chance = 1.0

    def _finish(self, call: _Call, failed: bool, busy: bool = False) -> None:
        name, settings = call.offered.call, self.settings
        pause_ms = settings.max_pause_ms if busy and settings.callers_obey_pause else 0.0
        self.actions.append(face.Fail(name) if failed else face.Refuse(name, pause_ms))
        self.calls.pop(name, None)


def _like_delay(figure: float, thresholds: tuple[float, float]) -> float:
    """A figure of another unit, as the delay that lies at the same place between minor and major."""
    minor, major = thresholds
    return max(0.0, MINOR_MS + (figure - minor) / (major - minor) * (MAJOR_MS - MINOR_MS))


def _check(settings: face.Settings) -> None:
    """Settings that make no sense are told by the field's name."""
    above_0 = ("gateways", "max_attempts", "cold_fraction", "push_multiple", "tick_ms")
    wrong = [field for field in above_0 if not getattr(settings, field) > 0]
    wrong += [field for field in ("warm_after_ms", "release_wait_ms") if not getattr(settings, field) >= 0]
    wrong += ["cold_fraction"] if settings.cold_fraction > 1 else []
    wrong += ["classes"] if not settings.classes or min(kind.worth for kind in settings.classes) < 0 else []
    if wrong:
        raise face.SettingsError(f"{wrong[0]} makes no sense: {getattr(settings, wrong[0])!r}")
