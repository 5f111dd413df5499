"""Call admission and server selection; settings, events and actions are defined in leadslip/interface.py.

Each gateway runs one Controller, a percentage throttle after R-SOCA: once per interval it smooths the load
value of each server, maps it linearly to a refusal probability, smooths that as well, and refuses new set-ups
with this probability before sending. Limits that R-SOCA doesn't define (on the rate of set-ups, on unanswered
set-ups, on lines, at a cold start) complement it; docs/design.md gives the reasons.
"""

from __future__ import annotations

import random

from leadslip import interface

READY = interface.ServerState.READY

INTERVAL_MS = 500.0  # between two updates of the refusal probabilities
SMOOTHING_FACTOR = 0.6  # weight of the newest load value and of the newest refusal probability
CALM_PROBABILITY = 0.05  # refusal probability up to which a server counts as calm
MINOR_MS = 200.0  # delay above the baseline at which refusal begins
MAJOR_MS = 800.0  # delay above the baseline at which every set-up is refused
STALE_INTERVALS = 2  # intervals after which a load value that was not renewed counts as 0
BASELINE_SLOT_MS = 10_000.0  # the least delay of each slot is kept; long, so that a minute needs few slots
BASELINE_SLOTS = 6  # slots kept: one minute in all
BURST_FACTOR = 1.7  # rate limit of a warm server, as a multiple of its calm rate; see _exempt
BURST_DEPTH_MS = 1000.0  # token bucket depth, as time at the rate limit; random arrivals come in bursts
CALM_RATE_WINDOW_MS = 10_000.0  # averaging window of the calm rate: some tens of calls at small sites
OVERLOADED_WEIGHT = 0.2  # of overloaded intervals in the calm rate: bursts count little, lasting changes do
BUSY_RETRY_MS = 2000.0  # between trial calls to a number whose lines are all busy; less than a usual call
COLD_MARGIN = 0.5  # part of push_multiple that a cold server gets; the rest is margin for random bursts
MIX_WINDOW_CALLS = 200.0  # averaging window of worths and tenants' fractions: some tens of seconds
MIN_RATE_FRACTION = 0.33  # least calm rate assumed for a server, as a fraction of the mean of all servers
RATE_KNOWN_MS = 2000.0  # learning time after which the calm rate counts as known: a few intervals
RATE_KNOWN_CALLS = 10  # calls after which the calm rate limits set-ups; fewer give no useful estimate
UTILISATION_THRESHOLDS = (0.85, 1.0)  # minor and major of reported utilisation: queues begin, and saturation
QUEUE_THRESHOLDS = (8.0, 32.0)  # minor and major of reported queues, in set-ups; same ratio as the delays
RESERVATION_MS = 20.0  # lines reserved for calls worth more, as time at all gateways' rate: a report's age
UNANSWERED_WINDOW_MS = 400.0  # unanswered set-ups allowed, as time at the calm rate; between minor and major
URGENT_WORTH_RATIO = 3.0  # a class worth this many times the least is urgent; lower ratios are preferences
BUSY_TRIAL_FRACTION = 0.2  # probability that a call to a busy number is sent as a trial when one is due
SAMPLE_LIFETIME_GAPS = 3.0  # lifetime of a load value, in mean gaps between set-ups: outlasts an overload
MAX_SAMPLE_LIFETIME_MS = 30_000.0  # upper bound of that time; half of what the baseline delay is kept for
LOSS_THRESHOLD = 0.7  # recent_losses from which more are expected: reached by one in the last few seconds
MAX_LOG_LINES = 60  # written by one Controller; the log is read by few people


class _Server:
    """State of one setup server as this gateway sees it."""

    def __init__(self, entry: interface.ListEntry, started_ms: float, now_ms: float) -> None:
        self.entry = entry
        self.started_ms = started_ms  # when it started cold; 0: long ago
        self.established_count = 0  # calls established in this interval
        self.tokens, self.refilled_ms = 0.0, now_ms  # set-ups it may get while limited; time of last refill
        self.sample, self.sampled_ms = 0.0, 0.0  # newest load value, as delay above the baseline; its time
        self.answer_sample, self.timed_out = 0.0, False  # newest load value of an answer; time-out since
        self.peak = 0.0  # largest load value in this interval
        self.load, self.refusal_probability = 0.0, 0.0  # both smoothed
        self.baselines: dict[float, float] = {}  # time slot -> least delay in it
        self.unanswered: dict[str, float] = {}  # call -> send time of its set-up, oldest first
        self.answered_sent_ms = 0.0  # newest send time of an established set-up; refused ones may overtake
        self.overloaded = False  # state last logged
        self.free_lines: float | None = None  # as last reported, less those taken by set-ups since


class _Call:
    """One call that is open or established."""

    def __init__(
        self, offered: interface.CallOffered, call_class: interface.CallClass, max_attempts: int
    ) -> None:
        self.offered, self.call_class = offered, call_class
        self.attempts, self.max_attempts = 0, max_attempts  # the bound stays when settings change
        self.server: _Server | None = None  # where an attempt is in progress
        self.established = self.may_have_run = False  # the latter: an attempt may have been processed
        self.failed_servers: list[str] = []
        self.retry_at_ms = 0.0  # not to be sent before
        self.uniform = 1.0  # random in [0, 1), drawn at each decision: whether a part of a set-up suffices


class Controller:
    """Decides on the calls of one gateway; gateways share no state."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.quotas: dict[str, float] = {}  # tenant -> fraction of all quotas
        self.worths: dict[str, float] = {}  # class -> worth
        self.apply_settings(settings)
        self.rng = random.Random(seed)
        self.servers: dict[str, _Server] = {}  # by id
        self.calls: dict[str, _Call] = {}  # by id; open or established
        self.gone_servers: dict[str, float] = {}  # server -> time at which it was reported gone
        self.list_received = False
        self.timer_started = False
        self.busy_numbers: dict[str, float] = {}  # number called -> time of its next trial call
        self.calm_rates: dict[int, float] = {}  # server number -> calls per millisecond
        self.offered_counts: dict[int, int] = {}  # server number -> calls naming it in this interval
        self.learned_ms, self.learned_calls = 0.0, 0  # time and calls over which rates have been learned
        self.logged_lines = 0
        self.recent_losses = 0.0  # number of set-ups found lost, decaying over time
        self.actions: list[interface.Action] = []

    def apply_settings(self, settings: interface.Settings) -> None:
        """Applies settings, initially and when they change; learned server states and rates are kept."""
        _validate(settings)
        self.settings = settings
        self.classes = {call_class.name: call_class for call_class in settings.classes}
        self.min_worth = min((item.worth for item in settings.classes if item.worth > 0), default=1.0)
        self.max_worth = max((item.worth for item in settings.classes), default=1.0)
        worths = {call_class.name: call_class.worth for call_class in settings.classes}
        if worths != self.worths:  # otherwise the mean would still contain removed classes
            self.worths, self.mean_worth = worths, self.min_worth  # the latter: of the calls offered here
        total = sum(tenant.quota_per_s for tenant in settings.tenants) or 1.0
        quotas = {tenant.name: tenant.quota_per_s / total for tenant in settings.tenants}
        if quotas != self.quotas or not quotas:
            # tenant_mix: tenant -> fraction of the calls offered at this gateway.
            self.quotas, self.tenant_mix = quotas, dict(quotas)

    def learned_rates(self) -> tuple[float, int, dict[int, float]]:
        """Returns the time and calls over which rates were learned, and the calm rates by server number."""
        return self.learned_ms, self.learned_calls, dict(self.calm_rates)

    def restore_rates(self, learned_ms: float, learned_calls: int, calm_rates: dict[int, float]) -> None:
        """Restores what a predecessor process learned, unless this one has learned for longer."""
        if learned_ms > self.learned_ms:
            self.learned_ms, self.learned_calls, self.calm_rates = learned_ms, learned_calls, dict(calm_rates)

    def handle(self, now_ms: float, event: interface.Event) -> list[interface.Action]:
        """Processes one event and returns the actions to take, in order."""
        self.actions = []
        if not self.timer_started:
            self.timer_started = True
            # Gateways that were started together must not end their intervals together.
            self.actions.append(interface.SetTimer(INTERVAL_MS * self.rng.random(), "interval"))
            self.actions += [interface.SubscribeList()] if self.settings.list_on_request else []
        match event:
            case interface.ServerListUpdate():
                self._update_servers(now_ms, event)
            case interface.CallOffered():
                self._on_offered(now_ms, event)
            case interface.CallEstablished():
                self._on_established(now_ms, event)
            case interface.AttemptEnded():
                self._on_attempt_ended(now_ms, event)
            case interface.CallerLeft(call):
                self.calls.pop(call, None)
            case interface.TimerDue("interval"):
                self.actions.append(interface.SetTimer(INTERVAL_MS, "interval"))
                self._end_interval(now_ms)
            case interface.TimerDue("list"):
                self.actions.append(interface.SubscribeList())
            case interface.TimerDue(token) if token in self.calls:
                self._decide(now_ms, self.calls[token])
            case interface.LoadReported(server, _, _, load) if server in self.servers and load:
                self.servers[server].free_lines = load.free_lines
        return self.actions

    # Server list.

    def _update_servers(self, now_ms: float, update: interface.ServerListUpdate) -> None:
        if update.kind is interface.UpdateKind.FAILED:
            self.actions.append(interface.SetTimer(INTERVAL_MS, "list"))
            return
        if update.kind is not interface.UpdateKind.CHANGES:
            names = [entry.server for entry in update.entries]
            self.servers = {name: server for name, server in self.servers.items() if name in names}
        for entry in update.entries:
            old = self.servers.get(entry.server)
            if entry.state is interface.ServerState.GONE and (
                old is None or old.entry.state is not entry.state
            ):
                self.gone_servers[entry.server] = now_ms
            if old is not None and entry.online_since_ms <= old.entry.online_since_ms:
                old.entry = entry
                continue
            # A newer start time or a new id means a new processor, to which no learned state applies. A
            # server without a start time that appears after the first list counts as started now.
            started_ms = entry.online_since_ms or (now_ms if self.list_received else 0.0)
            self.servers[entry.server] = _Server(entry, started_ms, now_ms)
        self.list_received = True

    # Load values and refusal probabilities.

    def _on_answer(
        self, now_ms: float, server: _Server, delay_ms: float, load: interface.Load | None
    ) -> None:
        """Records the load value of an answer: that of its load report if there is one, else its delay."""
        slot = now_ms // BASELINE_SLOT_MS
        server.baselines[slot] = min(server.baselines.get(slot, delay_ms), delay_ms)
        sample = self._above_baseline(now_ms, server, delay_ms)
        if load is not None:
            server.free_lines = load.free_lines
            if load.wait_ms is not None:
                sample = load.wait_ms
            elif load.utilisation is not None:
                sample = _to_delay(load.utilisation, UTILISATION_THRESHOLDS)
            elif load.queue is not None:
                sample = _to_delay(load.queue, QUEUE_THRESHOLDS)
        self._record_sample(now_ms, server, sample)
        # A quick answer after a time-out: the set-up that timed out was lost, not delayed by load.
        self.recent_losses += server.timed_out and sample <= MINOR_MS
        server.timed_out = False

    def _pending_send_times(self, server: _Server, now_ms: float) -> list[float]:
        """Returns the send times of unanswered set-ups, oldest first, less one that may be lost."""
        # Quick answers after set-ups that were never answered show that answers get lost. Then one overdue
        # answer among quick ones is no sign of load, two are; otherwise all servers would look overloaded.
        # Drawback: a server that fails meanwhile is noticed later.
        pending = [sent_ms for sent_ms in server.unanswered.values() if sent_ms > server.answered_sent_ms]
        lossy = self.recent_losses >= LOSS_THRESHOLD and server.answer_sample <= MINOR_MS
        return pending[1:] if pending and lossy and now_ms - pending[0] > MINOR_MS else pending

    def _above_baseline(self, now_ms: float, server: _Server, delay_ms: float) -> float:
        """Returns the excess of a delay over the least delay of the last BASELINE_SLOTS slots."""
        expired = now_ms // BASELINE_SLOT_MS - BASELINE_SLOTS
        server.baselines = {slot: least for slot, least in server.baselines.items() if slot > expired}
        return delay_ms - min(server.baselines.values(), default=0.0)

    def _record_sample(self, now_ms: float, server: _Server, sample: float) -> None:
        server.sample, server.answer_sample, server.sampled_ms = sample, sample, now_ms
        server.peak = max(server.peak, sample)

    def _end_interval(self, now_ms: float) -> None:
        """Updates the smoothed loads, the refusal probabilities and the calm rates."""
        self.busy_numbers = {
            number: retry_ms
            for number, retry_ms in self.busy_numbers.items()
            if retry_ms + BUSY_RETRY_MS > now_ms
        }
        self.learned_ms += INTERVAL_MS
        # Servers may be replaced under new ids. Deleting those that are gone bounds the table, and keeps
        # them from lowering the mean calm rate, which is taken over all servers in it.
        for name in [
            name for name, gone_ms in self.gone_servers.items() if gone_ms + MAX_SAMPLE_LIFETIME_MS < now_ms
        ]:
            del self.gone_servers[name]
            if name in self.servers and self.servers[name].entry.state is interface.ServerState.GONE:
                del self.servers[name]
        self.recent_losses *= 1.0 - INTERVAL_MS / CALM_RATE_WINDOW_MS
        for server in self.servers.values():
            # A silent server yields no sample. The age of its oldest unanswered set-up is a lower bound of
            # its delay, whether it has crashed, hangs or is slow. A set-up sent before one that is already
            # established counts as lost.
            oldest = min(self._pending_send_times(server, now_ms), default=now_ms)
            age = self._above_baseline(now_ms, server, now_ms - oldest)
            if age > MINOR_MS and age > server.sample:
                server.sample, server.sampled_ms, server.peak = age, now_ms, max(server.peak, age)
            # Among hundreds of gateways, each gets an answer from a given server only every few seconds.
            # Therefore a sample counts until the next one is due.
            gap_ms = min(SAMPLE_LIFETIME_GAPS / max(self._calm_rate(server), 1e-9), MAX_SAMPLE_LIFETIME_MS)
            fresh = now_ms - server.sampled_ms < max(STALE_INTERVALS * INTERVAL_MS, gap_ms)
            server.load += SMOOTHING_FACTOR * ((server.sample if fresh else 0.0) - server.load)
            probability = min(1.0, max(0.0, (server.load - MINOR_MS) / (MAJOR_MS - MINOR_MS)))
            server.refusal_probability += SMOOTHING_FACTOR * (probability - server.refusal_probability)
            if server.peak >= MAJOR_MS:
                server.refusal_probability = 1.0
            server.peak = 0.0
            self._log_overload(server)
            self._update_calm_rate(now_ms, server)
        self.offered_counts = {}

    def _update_calm_rate(self, now_ms: float, server: _Server) -> None:
        """Updates the calm rate of a server's number.

        While the server is calm, the offered calls that name it are counted, else those it established: calls
        offered under overload include redials, but with no update a gateway whose traffic has grown for good
        would stay limited. A server that drains, is gone or cold keeps its rate, except at a gateway that has
        just started.
        """
        established, server.established_count = server.established_count, 0
        stable = server.entry.state is READY and self._warm_fraction(now_ms, server) >= 1.0
        if not stable and self.learned_ms > RATE_KNOWN_MS:
            return
        calm = server.refusal_probability <= CALM_PROBABILITY
        count = self.offered_counts.get(server.entry.number, 0) if calm else established
        weight = INTERVAL_MS / min(CALM_RATE_WINDOW_MS, max(RATE_KNOWN_MS, self.learned_ms))
        rate = self.calm_rates.get(server.entry.number, 0.0)
        weight *= 1.0 if calm else OVERLOADED_WEIGHT
        self.calm_rates[server.entry.number] = rate + weight * (count / INTERVAL_MS - rate)

    def _log_overload(self, server: _Server) -> None:
        overloaded = server.refusal_probability == 1.0 or (
            server.overloaded and server.refusal_probability > CALM_PROBABILITY
        )
        if server.overloaded is not overloaded and self.logged_lines < MAX_LOG_LINES:
            self.logged_lines += 1
            self.actions.append(
                interface.Log(f"{server.entry.server} is {'jammed' if overloaded else 'calm again'}")
            )
        server.overloaded = overloaded

    def _calm_rate(self, server: _Server) -> float:
        """Returns the calm rate of a server, in calls per millisecond; too low until the rate is known.

        Rates are kept by server number, so that a new processor inherits the rate of its number.
        """
        mean = sum(self.calm_rates.values()) / max(1, len(self.servers))
        return max(self.calm_rates.get(server.entry.number, 0.0), MIN_RATE_FRACTION * mean)

    # Calls.

    def _on_offered(self, now_ms: float, offered: interface.CallOffered) -> None:
        call_class = self.classes.get(offered.call_class)
        if call_class is None:
            self.actions.append(interface.Refuse(offered.call))
            return
        self.learned_calls += 1
        self.mean_worth += (call_class.worth - self.mean_worth) / MIX_WINDOW_CALLS
        for tenant, fraction in self.tenant_mix.items():
            self.tenant_mix[tenant] = fraction + ((tenant == offered.tenant) - fraction) / MIX_WINDOW_CALLS
        self.offered_counts[offered.destination] = self.offered_counts.get(offered.destination, 0) + 1
        call = self.calls[offered.call] = _Call(offered, call_class, self.settings.max_attempts)
        self._decide(now_ms, call)

    def _decide(self, now_ms: float, call: _Call) -> None:
        """Sends a call to a server or answers its caller; all set-ups are decided here."""
        if call.server is not None or call.established or now_ms < call.retry_at_ms:
            return
        timeout_at_ms = call.offered.valid_until_ms - 2 * self.settings.tick_ms
        repeat_unsafe = call.may_have_run and call.call_class.repeat is not interface.Repeat.FREE
        # While all lines of a number are busy, calls to it only cost work. Refusing them prevents one number
        # from taking the servers' capacity. Drawback: a number that becomes free quickly loses calls.
        if now_ms < self.busy_numbers.get(call.offered.number_called, 0.0):
            self._answer_caller(call, failed=repeat_unsafe, busy=True)
            return
        call.uniform = self.rng.random()
        if call.offered.number_called in self.busy_numbers:
            if call.uniform >= BUSY_TRIAL_FRACTION:
                self._answer_caller(call, failed=repeat_unsafe, busy=True)
                return
            self.busy_numbers[call.offered.number_called] = now_ms + BUSY_RETRY_MS
        server = None
        if call.attempts < call.max_attempts and now_ms < timeout_at_ms:
            server = self._choose_server(now_ms, call)
        if server is None or repeat_unsafe or self._refuses(now_ms, call, server):
            self._answer_caller(call, failed=repeat_unsafe)
            return
        call.server = server
        call.attempts += 1
        server.unanswered[call.offered.call] = now_ms
        server.tokens, server.refilled_ms = self._tokens(now_ms, server) - 1.0, now_ms
        if server.free_lines is not None:
            server.free_lines -= call.offered.lines
        self.actions.append(interface.SetUp(call.offered.call, server.entry.server, timeout_at_ms))

    def _eligible(self, now_ms: float, call: _Call, server: _Server) -> bool:
        """Whether a call may be sent to a server: by its state, class, free lines, rate limit and window."""
        pools, offered, number = call.call_class.allowed_pools, call.offered, server.entry.number
        if server.entry.state is not READY or server.entry.server in call.failed_servers:
            return False
        if number == self.settings.own_number or (pools is not None and number not in pools):
            return False
        if offered.in_transit and number != offered.destination:
            return False
        if server.free_lines is not None and server.free_lines < offered.lines + self._reserved(call, server):
            return False
        within_rate = self._exempt(now_ms, call, server) or self._tokens(now_ms, server) > call.uniform
        return within_rate and self._within_window(now_ms, call, server)

    def _reserved(self, call: _Call, server: _Server) -> float:
        """Returns the lines reserved for calls worth more than this one (trunk reservation).

        Where lines run short before the processor does, they would otherwise go to the calls that come first.
        The free lines are as old as their report, so the reservation covers what all gateways send meanwhile.
        A redialled call counts with its late worth.
        """
        worth = call.call_class.worth * (call.call_class.late_worth if call.offered.redialled else 1.0)
        if server.refusal_probability > CALM_PROBABILITY:
            return 0.0  # under overload of the processor the window already favours those calls
        lines = self._calm_rate(server) * self.settings.gateways * RESERVATION_MS
        return lines * (1.0 - worth / max(self.max_worth, 1e-9))

    def _urgent(self, call: _Call) -> bool:
        return call.call_class.worth >= URGENT_WORTH_RATIO * self.min_worth

    def _window_scale(self, call: _Call) -> float:
        """Returns the worth of a call relative to the mean, from 0.5 to 2.0, by which its window is scaled.

        Calls of a tenant beyond its quota are worth less, so they are refused first under overload. Tenants'
        fractions are those at this gateway; where the fleet's differ, a tenant may lose half its window.
        """
        tenant, worth = call.offered.tenant, call.call_class.worth / self.mean_worth
        if tenant in self.quotas:
            within = min(1.0, self.quotas[tenant] / max(self.tenant_mix[tenant], 1e-9))
            worth *= within + (1.0 - within) * self.settings.over_share_worth
        return min(2.0, max(0.5, worth))

    def _within_window(self, now_ms: float, call: _Call, server: _Server) -> bool:
        """Whether fewer set-ups are unanswered than the calm rate yields in UNANSWERED_WINDOW_MS."""
        # Unanswered set-ups divided by the rate estimate the coming wait at once; delays show it late. The
        # window damps oscillation between sending nothing and everything, and bounds what a silent server
        # can absorb. It applies to urgent calls too, which would otherwise overload the last small servers.
        # Calls come in bursts, so a calm server may have one more (at less than one a second, by chance).
        rate = self._calm_rate(server)
        if (
            self.learned_ms < RATE_KNOWN_MS
            and server.refusal_probability <= CALM_PROBABILITY
            and self._warm_fraction(now_ms, server) >= 1.0
        ):
            # No rate is known yet: a window would refuse all but one of the calls that wait at a start.
            # Drawback: a fleet that starts while its servers are overloaded adds to their load.
            return True
        window = max(1.0, rate * UNANSWERED_WINDOW_MS * self._window_scale(call))
        if server.refusal_probability <= CALM_PROBABILITY:
            window = max(window, 1.0 + min(1.0, rate * BURST_DEPTH_MS))
        return len(self._pending_send_times(server, now_ms)) + call.uniform < window

    def _rate_limit(self, now_ms: float, server: _Server) -> float:
        """Returns the rate limit in set-ups per millisecond: a multiple of the calm rate, or for a cold
        server a part of what would overload it, with no lower bound: those of many gateways would add up.
        """
        warm_fraction = self._warm_fraction(now_ms, server)
        if warm_fraction < 1.0:
            return (
                self.calm_rates.get(server.entry.number, 0.0)
                * warm_fraction
                * COLD_MARGIN
                * self.settings.push_multiple
            )
        return BURST_FACTOR * self._calm_rate(server)

    def _tokens(self, now_ms: float, server: _Server) -> float:
        """Returns the set-ups that a server may get now; a value below 1 is the probability of one.

        If one were always allowed, hundreds of gateways would send their first set-ups at the same time.
        """
        limit = self._rate_limit(now_ms, server)
        return min(limit * BURST_DEPTH_MS, server.tokens + limit * (now_ms - server.refilled_ms))

    def _exempt(self, now_ms: float, call: _Call, server: _Server) -> bool:
        """Whether a call is exempt from the rate limit: urgent, or naming this server while it is calm.

        All calls are exempt until RATE_KNOWN_CALLS have been offered. At a cold server none is.
        """
        # Calls that name another server are limited: when a large server drains or falls silent, they would
        # overload the small ones before their delays show it. Drawback: the limit also holds where a server
        # could take more than this for long.
        if self._warm_fraction(now_ms, server) < 1.0:
            return False
        named = (
            server.entry.number == call.offered.destination and server.refusal_probability <= CALM_PROBABILITY
        )
        return named or self._urgent(call) or self.learned_calls < RATE_KNOWN_CALLS

    def _warm_fraction(self, now_ms: float, server: _Server) -> float:
        """Returns the least fraction of its full load that a server of this age can take."""
        if not server.started_ms or now_ms >= server.started_ms + self.settings.warm_after_ms:
            return 1.0
        progress = max(0.0, now_ms - server.started_ms) / self.settings.warm_after_ms
        return self.settings.cold_fraction + (1.0 - self.settings.cold_fraction) * progress

    def _choose_server(self, now_ms: float, call: _Call) -> _Server | None:
        """Returns the server that the call names if calm, else the less loaded of two drawn at random."""
        eligible = [server for server in self.servers.values() if self._eligible(now_ms, call, server)]
        for server in eligible:
            if (
                server.entry.number == call.offered.destination
                and server.refusal_probability <= CALM_PROBABILITY
            ):
                return server
        if not eligible:
            return None
        candidates = self.rng.sample(eligible, 2) if len(eligible) > 2 else eligible
        return min(candidates, key=lambda server: (server.refusal_probability, len(server.unanswered)))

    def _refuses(self, now_ms: float, call: _Call, server: _Server) -> bool:
        """Whether chance refuses a set-up; never if the server is calm or the call urgent."""
        if server.refusal_probability <= CALM_PROBABILITY or self._urgent(call):
            return False
        return self.rng.random() < server.refusal_probability

    def _on_established(self, now_ms: float, event: interface.CallEstablished) -> None:
        call = self.calls.get(event.call)
        if call is None or call.server is None or call.server.entry.server != event.server:
            return
        call.established = True
        call.server.established_count += 1
        self.busy_numbers.pop(call.offered.number_called, None)
        call.server.unanswered.pop(event.call, None)
        call.server.answered_sent_ms = max(call.server.answered_sent_ms, now_ms - event.elapsed_ms)
        self._on_answer(now_ms, call.server, event.elapsed_ms, None)

    def _on_attempt_ended(self, now_ms: float, event: interface.AttemptEnded) -> None:
        call, server = self.calls.get(event.call), self.servers.get(event.server)
        if server is not None:
            self._record_end(now_ms, server, event)
        if call is None or event.attempt != call.attempts - 1:
            return
        call.server = None
        if event.call_over or call.established:
            self.calls.pop(event.call, None)
            return
        outcome = event.outcome
        call.failed_servers.append(event.server)
        never_ran = (interface.Outcome.FULL, interface.Outcome.NO_CONNECTION, interface.Outcome.NOT_SENT)
        call.may_have_run = call.may_have_run or outcome not in never_ran
        if event.cause is interface.Cause.NO_LINE and server is not None:
            # A server that reports free lines and refuses for lack of one gets no set-ups until its next
            # report: it is full or its trunk group is broken, and each set-up would cost work and a detour.
            # Drawback: lines that become free quickly stay unused where reports are rare.
            server.free_lines = 0.0 if server.free_lines is not None else None
        if event.cause is interface.Cause.NUMBER_BUSY:
            self.busy_numbers[call.offered.number_called] = now_ms + BUSY_RETRY_MS
            self._answer_caller(call, failed=call.call_class.repeat is not interface.Repeat.FREE, busy=True)
            return
        if outcome in (interface.Outcome.TIMED_OUT, interface.Outcome.CUT, interface.Outcome.WITHDRAWN):
            call.retry_at_ms = now_ms + self.settings.release_wait_ms + self.settings.tick_ms
            if call.retry_at_ms >= call.offered.valid_until_ms - 2 * self.settings.tick_ms:
                self._answer_caller(call, failed=True)
            else:
                self.actions.append(interface.SetTimer(call.retry_at_ms - now_ms, event.call))
            return
        self._decide(now_ms, call)

    def _record_end(self, now_ms: float, server: _Server, event: interface.AttemptEnded) -> None:
        """Updates the load and the free lines of a server from the end of an attempt."""
        server.unanswered.pop(event.call, None)
        outcome, load = event.outcome, event.load
        if load is not None and load.free_lines is not None:
            # Reports at the end of an attempt count too. Otherwise a full server would count as full until
            # its next unsolicited report, although lines become free there all the time.
            server.free_lines = load.free_lines
        server.timed_out = server.timed_out or outcome is interface.Outcome.TIMED_OUT
        if outcome in (interface.Outcome.ERROR, interface.Outcome.FULL):
            self._on_answer(now_ms, server, event.elapsed_ms, load)
        elif outcome is interface.Outcome.SERVED and load is not None and load.wait_ms is not None:
            self._record_sample(now_ms, server, load.wait_ms)
        if outcome is interface.Outcome.NO_CONNECTION or event.cause is interface.Cause.PROCESSOR_FULL:
            self._record_sample(now_ms, server, MAJOR_MS)
            server.refusal_probability = 1.0

    def _answer_caller(self, call: _Call, failed: bool, busy: bool = False) -> None:
        """Fails or refuses a call; if the number called is busy, the caller is asked to pause."""
        name, settings = call.offered.call, self.settings
        pause_ms = settings.max_pause_ms if busy and settings.callers_obey_pause else 0.0
        self.actions.append(interface.Fail(name) if failed else interface.Refuse(name, pause_ms))
        self.calls.pop(name, None)


def _to_delay(value: float, thresholds: tuple[float, float]) -> float:
    """Converts a reported load value to a delay, linearly: its thresholds become MINOR_MS and MAJOR_MS."""
    minor, major = thresholds
    return max(0.0, MINOR_MS + (value - minor) / (major - minor) * (MAJOR_MS - MINOR_MS))


def _validate(settings: interface.Settings) -> None:
    """Raises SettingsError, which names the field, for the first value that is out of range."""
    positive = ("gateways", "max_attempts", "cold_fraction", "push_multiple", "tick_ms")
    wrong = [field for field in positive if not getattr(settings, field) > 0]
    wrong += [field for field in ("warm_after_ms", "release_wait_ms") if not getattr(settings, field) >= 0]
    wrong += ["cold_fraction"] if settings.cold_fraction > 1 else []
    wrong += ["classes"] if not settings.classes or min(item.worth for item in settings.classes) < 0 else []
    if wrong:
        raise interface.SettingsError(
            f"{wrong[0]} is out of range: {getattr(settings, wrong[0])!r} (must be above 0; warm_after_ms, "
            "release_wait_ms and worths may be 0; cold_fraction is at most 1; at least one class is needed)"
        )
