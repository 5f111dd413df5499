"""The wire-free engine: requests, attempts, outcomes and timers, driven by the Controller's decisions.

A front offers requests and gets exactly one final answer for each; the far side carries attempts out and
tells their outcomes. The engine keeps the rules whatever the Controller or a peer does: one final answer, one
attempt out, deadlines, the wait after a release, drains. All times are Unix milliseconds of one clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import Protocol

from leadslip import interface as face
from leadslip.checks import Tally
from leadslip.choice import Controller
from leadslip.counters import Counters
from leadslip.deadlines import Clock, Deadlines
from leadslip.filters import Chain
from leadslip.logs import Log
from leadslip.request import Attempt, Request, State

AWAY = (face.Outcome.TIMED_OUT, face.Outcome.CUT, face.Outcome.WITHDRAWN)


class FarSide(Protocol):
    """Carries attempts to servers; tells what became of them by Engine.stood and Engine.ended."""

    def send(self, attempt: Attempt) -> face.Outcome | None:
        """Send a set-up; an outcome tells at once that it never left."""

    def give_up(self, attempt: Attempt) -> None: ...

    def release(self, attempt: Attempt) -> None: ...


class Watcher(Protocol):
    """Told of what has ended, for traces and metrics."""

    def attempt_ended(self, attempt: Attempt, outcome: face.Outcome, now_ms: float) -> None: ...

    def request_answered(self, request: Request, answer: str, now_ms: float) -> None: ...


class Watchers:
    """Several watchers as one, in order."""

    def __init__(self, *watchers: Watcher) -> None:
        self.watchers = watchers

    def attempt_ended(self, attempt: Attempt, outcome: face.Outcome, now_ms: float) -> None:
        for watcher in self.watchers:
            watcher.attempt_ended(attempt, outcome, now_ms)

    def request_answered(self, request: Request, answer: str, now_ms: float) -> None:
        for watcher in self.watchers:
            watcher.request_answered(request, answer, now_ms)


class Engine:
    """Holds the requests of one proxy and keeps the rules for each."""

    def __init__(
        self,
        settings: face.Settings,
        seed: int,
        clock: Clock,
        deadlines: Deadlines,
        far_side: FarSide,
        tally: Tally,
        log: Log,
        most_held: int = 20_000,
        watcher: Watcher | None = None,
        attempt_ms: float = float("inf"),
        counters: Counters | None = None,
    ) -> None:
        self.settings, self.clock, self.deadlines = settings, clock, deadlines
        self.controller = Controller(settings, seed)
        self.far_side, self.tally, self.log, self.most_held = far_side, tally, log, most_held
        self.watcher = watcher
        self.counters = counters or Counters()
        self.counters.count_classes(kind.name for kind in settings.classes)
        self.counters.watch("active", self.active)
        self.attempt_ms = attempt_ms  # the longest, where a peer's silence must leave time for another
        self.chain = Chain(tally, log)
        self.open: dict[str, Request] = {}
        self.standing: dict[str, Request] = {}
        self.states: dict[str, face.ServerState] = {}
        self.entries: dict[str, face.ListEntry] = {}  # as the list tells them
        self.off: frozenset[str] = frozenset()  # servers that operators hold off
        self.told_ms: dict[str, float] = {}  # when a server was told to drain or be gone
        self.events: deque[face.Event] = deque()
        self.feeding = False
        self.settled = False  # the process ends: nothing more is sent

    def adopt(self, settings: face.Settings, most_held: int) -> None:
        """Take settings that have changed while running; requests already held keep their deadlines and attempts.

        Raises SettingsError, before anything changes, for settings that the Controller can't take.
        """
        self.controller.adopt(
            settings
        )  # first: it refuses settings that make no sense, and nothing has changed
        self.settings, self.most_held = settings, most_held
        self.counters.count_classes(kind.name for kind in settings.classes)

    def settle(self) -> None:
        """Answer all that is open now, and refuse whatever still comes, since nothing can be answered later."""
        self.settled = True
        for request in list(self.open.values()):
            self._overdue(request)

    # What the list says.

    def news(self, news: face.ListNews) -> None:
        """Take news of the server list; what drains is remembered for the drain rule."""
        news = self._masked(news)
        if news.kind is not face.NewsKind.CHANGES:
            listed = {entry.server for entry in news.entries}
            for server in self.states.keys() - listed:
                self._state(server, face.ServerState.GONE)
        for entry in news.entries:
            self._state(entry.server, entry.state)
        # Guards against growth without end where servers are replaced by new ones under new ids.
        grace_ms = self.clock.now_ms() - self.settings.drain_grace_ms
        for server, told_ms in list(self.told_ms.items()):
            if self.states[server] is face.ServerState.GONE and told_ms <= grace_ms:
                del self.told_ms[server], self.states[server]
        self._feed(news)

    def _masked(self, news: face.ListNews) -> face.ListNews:
        """The news as they count here: a server that is held off drains, whatever the list tells."""
        if news.kind is not face.NewsKind.CHANGES:
            self.entries.clear()
        for entry in news.entries:
            if entry.state is face.ServerState.GONE:
                self.entries.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
        if not self.off:
            return news
        told = (
            replace(entry, state=face.ServerState.DRAINING)
            if entry.server in self.off and entry.state is face.ServerState.READY
            else entry
            for entry in news.entries
        )
        return replace(news, entries=tuple(told))

    def hold(self, servers: frozenset[str]) -> None:
        """Send nothing new to these servers, and to those held off before again."""
        changed, self.off = servers ^ self.off, servers
        entries = tuple(self.entries[name] for name in sorted(changed) if name in self.entries)
        if entries:
            self.news(face.ListNews(face.NewsKind.CHANGES, entries))

    def _state(self, server: str, state: face.ServerState) -> None:
        if state is face.ServerState.READY:
            self.told_ms.pop(server, None)
        elif self.states.get(server) in (face.ServerState.READY, None):
            self.told_ms[server] = self.clock.now_ms()
        self.states[server] = state

    # What fronts say.

    def offer(self, request: Request, room: bool = True) -> None:
        """Take a request; it gets its one final answer through its front, at once where that has no room for it."""
        now_ms = request.taken_ms = self.clock.now_ms()
        request.most_tries = self.settings.max_attempts
        self.tally.add("requests")
        if request.id in self.open or request.id in self.standing:
            # An id must not come twice; the second asker still gets an answer, the first keeps its call.
            self.tally.add("requests.doubled")
            request.state = State.OVER
            self.counters.answered(request.call_class, "errors")
            request.front.failed(request)
            return
        self.open[request.id] = request
        if self.settled or not room or len(self.open) > self.most_held:
            self.tally.add("requests.after_the_end" if self.settled else "requests.over_most_held")
            self._refuse(request, 0.0)
            return
        if self.chain.filters:
            refused = self.chain.admit(request, now_ms)
            if refused is not None:
                self._refuse(request, refused.pause_ms)
                return
        # Guards against a Controller that holds a call for ever: rule 1 does not hang on any decision.
        request.guard = self.deadlines.at(
            max(now_ms, request.valid_until_ms - self.settings.tick_ms), self._overdue, request
        )
        self._feed(
            face.CallOffered(
                request.id,
                request.call_class,
                request.valid_until_ms,
                request.destination,
                request.lines,
                request.number,
                cut_before=request.cut_before,
                redialled=request.redialled,
            )
        )

    def cancel(self, request: Request) -> None:
        """The caller has left; nothing is owed any more, and what is out is given up at its server."""
        if request.state is not State.OPEN:
            return  # the answer and the caller's leaving have crossed
        self._close(request)
        self.tally.add("requests.cancelled")
        self._over(request)
        self._watch(request, "cancelled")
        self._feed(face.CallerLeft(request.id))
        if request.attempt is not None:
            self.ended(request.attempt, face.Outcome.WITHDRAWN)

    def hang_up(self, request: Request) -> None:
        """The caller ends a standing call."""
        if request.state is not State.STANDING:
            return
        attempt = request.attempt
        if attempt is not None and attempt.out:
            self.far_side.release(attempt)
            self._finish(attempt, face.Outcome.SERVED, tell=False)

    # What the far side says.

    def stood(self, attempt: Attempt, payload: object) -> None:
        """An attempt's answer came: it reaches the asker on its own, unless the request is over."""
        request = attempt.request
        if not attempt.out or attempt.stands or request.state is not State.OPEN:
            return
        self.deadlines.cancel(attempt.deadline)
        attempt.stands = True
        self._close(request)
        request.state = State.STANDING
        self.standing[request.id] = request
        self.tally.add("answers.stands")
        self.counters.answered(request.call_class, "ok")
        now_ms = self.clock.now_ms()
        if request.passed:
            self.chain.stood(request, now_ms)
        self._watch(request, "stands")
        request.front.stands(request, payload)
        self._feed(face.CallStands(request.id, attempt.server, attempt.index, now_ms - attempt.sent_ms))

    def ended(
        self,
        attempt: Attempt,
        outcome: face.Outcome,
        cause: face.Cause = face.Cause.NONE,
        load: face.Load | None = None,
    ) -> None:
        """An attempt, or the standing call that came of it, has ended."""
        if not attempt.out:
            return  # a report that crossed our own end of it
        if outcome is face.Outcome.WITHDRAWN or outcome is face.Outcome.TIMED_OUT:
            # The server may still work on it: it is told, so that what the call holds comes free.
            self.far_side.give_up(attempt)
        self._finish(attempt, outcome, cause, load)

    def spent(self, attempt: Attempt) -> None:
        """A call has stood and come to its end while its answer never came.

        Guards against setting it up again: it has run, and its end would be taken for the other attempt's.
        """
        request = attempt.request
        if not attempt.out:
            return
        if request.state is State.OPEN:
            self.tally.add("requests.spent")
            self._fail(request)
            self._feed(face.CallerLeft(request.id))
        self.ended(attempt, face.Outcome.CUT)

    def active(self) -> int:
        """Requests taken and not yet ended: open, or answered with a call that stands."""
        return len(self.open) + len(self.standing)

    def wanted(self, attempt: Attempt) -> bool:
        """Whether a set-up may leave now; the far side asks just before it writes one.

        Guards against set-ups for a caller that has gone: its leaving may lie unread, behind what else came in the
        same turn or while the process had no processor, and what waited for a connection may be out of time.
        """
        request = attempt.request
        request.front.catch_up(request)
        return attempt.out and request.state is State.OPEN and self.clock.now_ms() < attempt.cut_at_ms

    def written(self, attempt: Attempt) -> None:
        """The far side has written an attempt's set-up whole to its server: a try."""
        self.counters.tried(attempt.request.call_class)

    def looked(self, server: str, load: face.Load) -> None:
        """Unasked news of a server's lines."""
        self._feed(face.ServerLooked(server, face.Outcome.SERVED, 0.0, load))

    def sent_to(self, server: str) -> bool:
        """Whether set-ups may still leave for a server; asked again by what had to wait for a connection."""
        told_ms = self.told_ms.get(server)
        if server not in self.states:
            return False
        return told_ms is None or self.clock.now_ms() < told_ms + self.settings.drain_grace_ms

    # Within.

    def _finish(
        self,
        attempt: Attempt,
        outcome: face.Outcome,
        cause: face.Cause = face.Cause.NONE,
        load: face.Load | None = None,
        tell: bool = True,
    ) -> None:
        request, now_ms = attempt.request, self.clock.now_ms()
        attempt.out = False
        self.deadlines.cancel(attempt.deadline)
        request.attempt = None
        if outcome in AWAY:
            request.away_until_ms = now_ms + self.settings.release_wait_ms
        self.tally.add("attempts." + outcome.value)
        if self.watcher is not None:
            self.watcher.attempt_ended(attempt, outcome, now_ms)
        if request.state is State.STANDING:
            request.state = State.OVER
            self.standing.pop(request.id, None)
            if request.passed:
                self.chain.ended(request, now_ms)
            if tell:
                request.front.over(request, outcome is not face.Outcome.SERVED)
        self._feed(
            face.AttemptEnded(
                request.id,
                attempt.server,
                attempt.index,
                outcome,
                now_ms - attempt.sent_ms,
                request.state is State.OVER,
                cause,
                0.0,
                load,
            )
        )

    def _feed(self, event: face.Event) -> None:
        """Hand events to the Controller in order; what its actions cause waits until they are done."""
        self.events.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.events:
                for action in self.controller.handle(self.clock.now_ms(), self.events.popleft()):
                    self._act(action)
        finally:
            self.feeding = False

    def _act(self, action: face.Action) -> None:
        match action:
            case face.SetUp(call, server, cut_at_ms):
                self._send(call, server, cut_at_ms)
            case face.Refuse(call, pause_ms):
                request = self.open.get(call)
                if self.tally.must(request is not None, "one final answer"):
                    self._refuse(request, pause_ms)
            case face.Fail(call):
                request = self.open.get(call)
                if self.tally.must(request is not None, "one final answer"):
                    self._fail(request)
            case face.Withdraw(call, attempt):
                request = self.open.get(call)
                if request is not None and request.attempt and request.attempt.index == attempt:
                    self.ended(request.attempt, face.Outcome.WITHDRAWN)
            case face.SetTimer(after_ms, token):
                self.deadlines.at(self.clock.now_ms() + after_ms, self._timer, token)
            case face.Log(text):
                self.log("decision", text=text)
            case _:
                # The list is pushed here; probes and peers are not to be had.
                self.tally.add("actions.unsupported")

    def _timer(self, token: str) -> None:
        self._feed(face.TimerDue(token))

    def _send(self, call: str, server: str, cut_at_ms: float) -> None:
        request, now_ms, must = self.open.get(call), self.clock.now_ms(), self.tally.must
        if not must(request is not None, "a set-up is for an open request"):
            return
        if not must(request.attempt is None, "one attempt out"):
            return
        longest_ms = min(self.attempt_ms, request.attempt_ms)
        cut_at_ms = min(cut_at_ms or request.valid_until_ms, request.valid_until_ms, now_ms + longest_ms)
        attempt = Attempt(request, server, request.tries, now_ms, cut_at_ms)
        request.attempt = attempt
        request.tries += 1
        legal = must(request.tries <= request.most_tries, "most attempts")
        legal = must(now_ms >= request.away_until_ms, "release wait") and legal
        legal = must(self.sent_to(server), "nothing new after a drain") and legal
        outcome = self.far_side.send(attempt) if legal and now_ms < cut_at_ms else face.Outcome.NOT_SENT
        if outcome is not None:
            self._finish(attempt, outcome)
        elif attempt.out:
            attempt.deadline = self.deadlines.at(cut_at_ms, self._timed_out, attempt)

    def _timed_out(self, attempt: Attempt) -> None:
        self.ended(attempt, face.Outcome.TIMED_OUT)

    def _overdue(self, request: Request) -> None:
        if request.state is not State.OPEN:
            return
        self.tally.add("requests.overdue")
        self._fail(request)
        self._feed(face.CallerLeft(request.id))
        if request.attempt is not None:
            self.ended(request.attempt, face.Outcome.TIMED_OUT)

    def _close(self, request: Request) -> None:
        """Nothing more is owed."""
        self.tally.must(request.state is State.OPEN, "one final answer")
        request.state = State.OVER
        self.deadlines.cancel(request.guard)
        self.open.pop(request.id, None)

    def _over(self, request: Request) -> None:
        """It ends without standing: the filters that passed it are told."""
        if request.passed:
            self.chain.ended(request, self.clock.now_ms())

    def _refuse(self, request: Request, pause_ms: float) -> None:
        self._close(request)
        self._over(request)
        self.tally.add("answers.refused")
        self.counters.answered(request.call_class, "shed")
        self._watch(request, "refused")
        request.front.refused(request, min(max(pause_ms, 0.0), self.settings.max_pause_ms))

    def _fail(self, request: Request) -> None:
        self._close(request)
        self._over(request)
        self.tally.add("answers.failed")
        self.counters.answered(request.call_class, "errors")
        self._watch(request, "failed")
        request.front.failed(request)

    def _watch(self, request: Request, answer: str) -> None:
        if self.watcher is not None:
            self.watcher.request_answered(request, answer, self.clock.now_ms())
