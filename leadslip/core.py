"""Call engine: tracks requests and attempts and carries out the Controller's decisions, without network I/O.

The downstream side offers requests and receives exactly one final answer for each, unless the caller cancels; the
upstream side sends the attempts to setup servers and reports their outcomes. Whatever the Controller or a peer does,
the engine enforces one final answer, one attempt in progress per request, deadlines, the release wait before another
attempt, and drains. All times are Unix milliseconds of one clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import Protocol

from leadslip import interface
from leadslip.controller import Controller
from leadslip.counters import Counters
from leadslip.deadlines import Clock, Deadlines
from leadslip.filters import Chain
from leadslip.logs import Log
from leadslip.metrics import Metrics
from leadslip.request import AnswerReason, Attempt, Request, State
from leadslip.sent_ids import SentIds

# After these outcomes the server may still be releasing the attempt's resources; the next attempt waits.
RELEASE_WAIT_OUTCOMES = (interface.Outcome.TIMED_OUT, interface.Outcome.CUT, interface.Outcome.WITHDRAWN)


class Upstream(Protocol):
    """Sends attempts to setup servers; reports results to Engine.on_established and Engine.on_attempt_ended."""

    def send(self, attempt: Attempt) -> interface.Outcome | None:
        """Send or queue a set-up; returns an outcome if neither is possible, else None."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel a set-up that has not been answered, at its server if it has been sent."""

    def release(self, attempt: Attempt) -> None:
        """Release the established call of an attempt."""


class Observer(Protocol):
    """Notified of ended attempts and answered requests, for traces and metrics.

    `answer` is `stands` (established), `refused`, `failed`, or `cancelled` if the caller left before an answer.
    """

    def attempt_ended(self, attempt: Attempt, outcome: interface.Outcome, now_ms: float) -> None: ...

    def request_answered(self, request: Request, answer: str, now_ms: float) -> None: ...


class Observers:
    """Notifies several observers in order."""

    def __init__(self, *observers: Observer) -> None:
        self.observers = observers

    def attempt_ended(self, attempt: Attempt, outcome: interface.Outcome, now_ms: float) -> None:
        for observer in self.observers:
            observer.attempt_ended(attempt, outcome, now_ms)

    def request_answered(self, request: Request, answer: str, now_ms: float) -> None:
        for observer in self.observers:
            observer.request_answered(request, answer, now_ms)


class Engine:
    """Holds the requests of one proxy and enforces the protocol's rules on each."""

    def __init__(
        self,
        settings: interface.Settings,
        seed: int,
        clock: Clock,
        deadlines: Deadlines,
        upstream: Upstream,
        metrics: Metrics,
        log: Log,
        max_open_requests: int = 20_000,
        observer: Observer | None = None,
        max_attempt_ms: float = float("inf"),
        counters: Counters | None = None,
        sent_ids: SentIds | None = None,
    ) -> None:
        self.settings, self.clock, self.deadlines = settings, clock, deadlines
        self.controller = Controller(settings, seed)
        self.upstream, self.metrics, self.log, self.max_open_requests = (
            upstream,
            metrics,
            log,
            max_open_requests,
        )
        self.observer = observer
        self.sent_ids = sent_ids  # None: the ids are given by this process, and none comes again
        self.counters = counters or Counters()
        self.counters.add_classes(call_class.name for call_class in settings.classes)
        self.counters.add_gauge("active", self.active_count)
        # Upper limit for the duration of each attempt, so that after a silent peer time is left for another.
        self.max_attempt_ms = max_attempt_ms
        self.chain = Chain(metrics, log)
        self.open_requests: dict[str, Request] = {}  # by id; no final answer given yet
        self.established_requests: dict[str, Request] = {}  # by id; answered, and the call goes on
        self.states: dict[str, interface.ServerState] = {}  # by server, with local drains applied
        self.entries: dict[str, interface.ListEntry] = {}  # by server, as listed, without local drains
        self.out_of_rotation: frozenset[str] = frozenset()  # servers drained by operators, not by the list
        self.unavailable_since_ms: dict[str, float] = {}  # by server: since when it drains or is gone
        self.events: deque[interface.Event] = deque()  # not yet passed to the Controller
        self.dispatching = False  # while `_dispatch` runs, so that nested calls only queue their events
        self.stopped = False  # the process is shutting down: nothing more is sent

    def apply_settings(self, settings: interface.Settings, max_open_requests: int) -> None:
        """Apply changed settings while running; open requests keep their deadlines and attempt limits.

        Raises SettingsError, before anything changes, for settings that the Controller rejects.
        """
        # The Controller goes first: it raises for invalid settings, and then nothing may have changed here.
        self.controller.apply_settings(settings)
        self.settings, self.max_open_requests = settings, max_open_requests
        self.counters.add_classes(call_class.name for call_class in settings.classes)

    def shut_down(self) -> None:
        """Fail all open requests now and refuse new ones, since nothing can be answered after the exit."""
        self.stopped = True
        for request in list(self.open_requests.values()):
            self._on_overall_deadline(request)

    # Server list updates.

    def update_servers(self, update: interface.ServerListUpdate) -> None:
        """Apply a server list update, and record since when servers drain or are gone, for the drain grace."""
        update = self._mask_drained(update)
        if update.kind is not interface.UpdateKind.CHANGES:
            listed = {entry.server for entry in update.entries}
            for server in self.states.keys() - listed:
                self._set_state(server, interface.ServerState.GONE)
        for entry in update.entries:
            self._set_state(entry.server, entry.state)
        # Servers gone for longer than the drain grace are deleted: where servers are repeatedly replaced under new
        # ids, the tables would otherwise grow without bound.
        drained_before_ms = self.clock.now_ms() - self.settings.drain_grace_ms
        for server, since_ms in list(self.unavailable_since_ms.items()):
            if self.states[server] is interface.ServerState.GONE and since_ms <= drained_before_ms:
                del self.unavailable_since_ms[server], self.states[server]
        self._dispatch(update)

    def _mask_drained(self, update: interface.ServerListUpdate) -> interface.ServerListUpdate:
        """Return the update with locally drained servers marked as draining if the list reports them as ready."""
        if update.kind is not interface.UpdateKind.CHANGES:
            self.entries.clear()
        for entry in update.entries:
            if entry.state is interface.ServerState.GONE:
                self.entries.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
        if not self.out_of_rotation:
            return update
        masked_entries = (
            replace(entry, state=interface.ServerState.DRAINING)
            if entry.server in self.out_of_rotation and entry.state is interface.ServerState.READY
            else entry
            for entry in update.entries
        )
        return replace(update, entries=tuple(masked_entries))

    def drain_servers(self, servers: frozenset[str]) -> None:
        """Drain exactly these servers locally; servers drained by an earlier call return to their listed state."""
        changed, self.out_of_rotation = servers ^ self.out_of_rotation, servers
        entries = tuple(self.entries[name] for name in sorted(changed) if name in self.entries)
        if entries:
            self.update_servers(interface.ServerListUpdate(interface.UpdateKind.CHANGES, entries))

    def _set_state(self, server: str, state: interface.ServerState) -> None:
        if state is interface.ServerState.READY:
            self.unavailable_since_ms.pop(server, None)
        elif self.states.get(server) in (interface.ServerState.READY, None):
            self.unavailable_since_ms[server] = self.clock.now_ms()
        self.states[server] = state

    # Called by the downstream side.

    def offer(self, request: Request, refusal: AnswerReason = AnswerReason.NONE) -> None:
        """Take over a request; its `downstream` gets one final answer. With a `refusal` it is refused at once."""
        now_ms = request.received_at_ms = self.clock.now_ms()
        request.max_attempts = self.settings.max_attempts
        self.metrics.add("requests")
        if request.id in self.open_requests or request.id in self.established_requests:
            # The id is in use: this request fails, and the first one with the id goes on.
            self.metrics.add("requests.doubled")
            request.state = State.ENDED
            self.counters.count_answer(request.call_class, "errors")
            request.downstream.on_failed(request)
            return
        self.open_requests[request.id] = request
        if self.stopped:
            refusal = AnswerReason.SHUTTING_DOWN
        elif refusal is AnswerReason.NONE and len(self.open_requests) > self.max_open_requests:
            refusal = AnswerReason.OVER_REQUESTS
        if refusal is not AnswerReason.NONE:
            self._refuse(request, 0.0, refusal)
            return
        if self.chain.filters:
            refusal_by_filter = self.chain.admit(request, now_ms)
            if refusal_by_filter is not None:
                self._refuse(request, refusal_by_filter.pause_ms, AnswerReason.FILTERED)
                return
        # Prevents a request from staying unanswered if the Controller never decides about it.
        request.overall_deadline = self.deadlines.call_at(
            max(now_ms, request.valid_until_ms - self.settings.tick_ms), self._on_overall_deadline, request
        )
        self._dispatch(
            interface.CallOffered(
                request.id,
                request.call_class,
                request.valid_until_ms,
                request.destination,
                request.lines,
                request.number_called,
                cut_before=request.cut_before,
                redialled=request.redialled,
            )
        )

    def cancel(self, request: Request) -> None:
        """The caller has left: the request gets no answer, and an attempt in progress is cancelled at its server."""
        if request.state is not State.OPEN:
            return  # the request was answered before its cancellation arrived
        self._mark_closed(request)
        self.metrics.add("requests.cancelled")
        self._notify_filters_ended(request)
        self._notify_observer(request, "cancelled")
        self._dispatch(interface.CallerLeft(request.id))
        if request.attempt is not None:
            self.on_attempt_ended(request.attempt, interface.Outcome.WITHDRAWN)

    def hang_up(self, request: Request) -> None:
        """The caller ends an established call."""
        if request.state is not State.ESTABLISHED:
            return
        attempt = request.attempt
        if attempt is not None and attempt.active:
            self.upstream.release(attempt)
            self._finish(attempt, interface.Outcome.SERVED, notify=False)

    # Called by the upstream side.

    def on_established(self, attempt: Attempt, payload: object) -> None:
        """An attempt was answered: pass the answer on, unless the request has already ended."""
        request = attempt.request
        if not attempt.active or attempt.established or request.state is not State.OPEN:
            return
        self.deadlines.cancel(attempt.deadline)
        attempt.established = True
        self._mark_closed(request)
        request.state = State.ESTABLISHED
        self.established_requests[request.id] = request
        self.metrics.add("answers.stands")
        self.counters.count_answer(request.call_class, "ok")
        now_ms = self.clock.now_ms()
        if request.admitted_by:
            self.chain.established(request, now_ms)
        self._notify_observer(request, "stands")
        request.downstream.on_established(request, payload)
        request.payload = b""  # the call may go on for long, and is not set up again
        self._dispatch(
            interface.CallEstablished(request.id, attempt.server, attempt.index, now_ms - attempt.sent_ms)
        )

    def on_attempt_ended(
        self,
        attempt: Attempt,
        outcome: interface.Outcome,
        cause: interface.Cause = interface.Cause.NONE,
        load: interface.Load | None = None,
    ) -> None:
        """An attempt, or the call established by it, has ended."""
        if not attempt.active:
            return  # the attempt was ended on this side before the report arrived
        if outcome is interface.Outcome.WITHDRAWN or outcome is interface.Outcome.TIMED_OUT:
            # The server may still be working on it: cancel it there, so that its resources are released.
            self.upstream.cancel(attempt)
        self._finish(attempt, outcome, cause, load)

    def on_ended_unanswered(self, attempt: Attempt) -> None:
        """The server reports the end of an established call whose answer never arrived.

        The request fails. Another attempt would be wrong: the call has already taken place, and its end would be
        attributed to the new attempt.
        """
        request = attempt.request
        if not attempt.active:
            return
        if request.state is State.OPEN:
            self.metrics.add("requests.spent")
            self._fail(request, AnswerReason.ANSWER_LOST)
            self._dispatch(interface.CallerLeft(request.id))
        self.on_attempt_ended(attempt, interface.Outcome.CUT)

    def knows_call(self, id_: str) -> bool:
        """Whether a request with this id is open, or its call is established."""
        return id_ in self.open_requests or id_ in self.established_requests

    def active_count(self) -> int:
        """Number of requests that are open, or whose call is still established."""
        return len(self.open_requests) + len(self.established_requests)

    def may_send(self, attempt: Attempt) -> bool:
        """Whether a set-up may still be sent; the upstream side checks this just before it writes one.

        The caller may have left with its cancellation still unread: behind other data of the same read, or because
        the process got no CPU time. A set-up that waited for a connection may have passed its attempt time-out.
        """
        request = attempt.request
        request.downstream.read_pending(request)
        in_time = attempt.active and self.clock.now_ms() < attempt.timeout_at_ms
        return in_time and request.state is State.OPEN and self._claim_id(request)

    def _claim_id(self, request: Request) -> bool:
        """Whether a request may be sent as far as its id goes; fails it if one with the same id may have been sent.

        The caller of the first one may have left, or it may have come to the other process of an upgrade. The first one
        may run all the same, even if it has been given up.
        """
        if self.sent_ids is None or request.claimed:
            return True
        request.claimed = self.sent_ids.claim(request.id, self.clock.now_ms())
        if not request.claimed:
            self._fail(request, AnswerReason.ALREADY_SENT)
            self._dispatch(interface.CallerLeft(request.id))
        return request.claimed

    def on_set_up_written(self, attempt: Attempt) -> None:
        """The upstream side has fully written an attempt's set-up; counted as `tries`."""
        self.counters.count_attempt(attempt.request.call_class)

    def on_load_report(self, server: str, load: interface.Load) -> None:
        """A server has sent an unsolicited load report."""
        self._dispatch(interface.LoadReported(server, interface.Outcome.SERVED, 0.0, load))

    def accepts_set_ups(self, server: str) -> bool:
        """Whether new set-ups may be sent to a server: it is known, and ready or within the drain grace.

        The upstream side checks this again for set-ups that waited for a connection.
        """
        since_ms = self.unavailable_since_ms.get(server)
        if server not in self.states:
            return False
        return since_ms is None or self.clock.now_ms() < since_ms + self.settings.drain_grace_ms

    # Internal.

    def _finish(
        self,
        attempt: Attempt,
        outcome: interface.Outcome,
        cause: interface.Cause = interface.Cause.NONE,
        load: interface.Load | None = None,
        notify: bool = True,
    ) -> None:
        """End an attempt: start the release wait, end an established call, and report to the Controller.

        `notify` is False if the downstream side ended the call itself.
        """
        request, now_ms = attempt.request, self.clock.now_ms()
        attempt.active = False
        self.deadlines.cancel(attempt.deadline)
        request.attempt = None
        if outcome in RELEASE_WAIT_OUTCOMES:
            request.not_before_ms = now_ms + self.settings.release_wait_ms
        self.metrics.add("attempts." + outcome.value)
        if self.observer is not None:
            self.observer.attempt_ended(attempt, outcome, now_ms)
        if request.state is State.ESTABLISHED:
            request.state = State.ENDED
            self.established_requests.pop(request.id, None)
            if request.admitted_by:
                self.chain.ended(request, now_ms)
            if notify:
                request.downstream.call_ended(request, outcome is not interface.Outcome.SERVED)
        self._dispatch(
            interface.AttemptEnded(
                request.id,
                attempt.server,
                attempt.index,
                outcome,
                now_ms - attempt.sent_ms,
                request.state is State.ENDED,
                cause,
                0.0,
                load,
            )
        )

    def _dispatch(self, event: interface.Event) -> None:
        """Pass events to the Controller in order; events caused by its actions wait until all actions are done."""
        self.events.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.events:
                for action in self.controller.handle(self.clock.now_ms(), self.events.popleft()):
                    self._execute(action)
        finally:
            self.dispatching = False

    def _execute(self, action: interface.Action) -> None:
        match action:
            case interface.SetUp(call, server, timeout_at_ms):
                self._send_attempt(call, server, timeout_at_ms)
            case interface.Refuse(call, pause_ms):
                request = self.open_requests.get(call)
                if self.metrics.check_invariant(request is not None, "one final answer"):
                    self._refuse(request, pause_ms)
            case interface.Fail(call):
                request = self.open_requests.get(call)
                if self.metrics.check_invariant(request is not None, "one final answer"):
                    self._fail(request)
            case interface.Withdraw(call, attempt):
                request = self.open_requests.get(call)
                if request is not None and request.attempt and request.attempt.index == attempt:
                    self.on_attempt_ended(request.attempt, interface.Outcome.WITHDRAWN)
            case interface.SetTimer(after_ms, token):
                self.deadlines.call_at(self.clock.now_ms() + after_ms, self._on_timer, token)
            case interface.Log(text):
                self.log("decision", text=text)
            case _:
                # The server list is pushed to this engine: it supports neither polling the list nor subscribing to it,
                # and neither probes nor messages to peers.
                self.metrics.add("actions.unsupported")

    def _on_timer(self, token: str) -> None:
        self._dispatch(interface.TimerDue(token))

    def _send_attempt(self, call: str, server: str, timeout_at_ms: float) -> None:
        request, now_ms, check = (
            self.open_requests.get(call),
            self.clock.now_ms(),
            self.metrics.check_invariant,
        )
        if not check(request is not None, "a set-up is for an open request"):
            return
        if not check(request.attempt is None, "one attempt out"):
            return
        max_attempt_ms = min(self.max_attempt_ms, request.max_attempt_ms)
        timeout_at_ms = min(
            timeout_at_ms or request.valid_until_ms, request.valid_until_ms, now_ms + max_attempt_ms
        )
        attempt = Attempt(request, server, request.attempt_count, now_ms, timeout_at_ms)
        request.attempt = attempt
        request.attempt_count += 1
        allowed = check(request.attempt_count <= request.max_attempts, "most attempts")
        allowed = check(now_ms >= request.not_before_ms, "release wait") and allowed
        allowed = check(self.accepts_set_ups(server), "nothing new after a drain") and allowed
        outcome = (
            self.upstream.send(attempt) if allowed and now_ms < timeout_at_ms else interface.Outcome.NOT_SENT
        )
        if outcome is not None:
            self._finish(attempt, outcome)
        elif attempt.active:
            attempt.deadline = self.deadlines.call_at(timeout_at_ms, self._on_attempt_timeout, attempt)

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        self.on_attempt_ended(attempt, interface.Outcome.TIMED_OUT)

    def _on_overall_deadline(self, request: Request) -> None:
        """Fail a request that is still open and cancel its attempt."""
        if request.state is not State.OPEN:
            return
        self.metrics.add("requests.overdue")
        self._fail(request, AnswerReason.SHUTTING_DOWN if self.stopped else AnswerReason.OVERDUE)
        self._dispatch(interface.CallerLeft(request.id))
        if request.attempt is not None:
            self.on_attempt_ended(request.attempt, interface.Outcome.TIMED_OUT)

    def _mark_closed(self, request: Request) -> None:
        """Mark an open request as ended, just before its final answer is given or because its caller has left."""
        self.metrics.check_invariant(request.state is State.OPEN, "one final answer")
        request.state = State.ENDED
        self.deadlines.cancel(request.overall_deadline)
        self.open_requests.pop(request.id, None)

    def _notify_filters_ended(self, request: Request) -> None:
        """Notify the filters that admitted a request that it ended without an established call."""
        if request.admitted_by:
            self.chain.ended(request, self.clock.now_ms())

    def _refuse(self, request: Request, pause_ms: float, reason: AnswerReason = AnswerReason.NONE) -> None:
        self._mark_closed(request)
        self._record_reason(request, reason)
        self._notify_filters_ended(request)
        self.metrics.add("answers.refused")
        self.counters.count_answer(request.call_class, "shed")
        self._notify_observer(request, "refused")
        request.downstream.on_refused(request, min(max(pause_ms, 0.0), self.settings.max_pause_ms))

    def _fail(self, request: Request, reason: AnswerReason = AnswerReason.NONE) -> None:
        self._mark_closed(request)
        self._record_reason(request, reason)
        self._notify_filters_ended(request)
        self.metrics.add("answers.failed")
        self.counters.count_answer(request.call_class, "errors")
        self._notify_observer(request, "failed")
        request.downstream.on_failed(request)

    def _record_reason(self, request: Request, reason: AnswerReason) -> None:
        """Record why a request gets no result of a server; each reason has a count of its own in the log."""
        request.answer_reason = reason
        if reason is not AnswerReason.NONE:
            self.metrics.add(f"answers.{reason.value}")

    def _notify_observer(self, request: Request, answer: str) -> None:
        if self.observer is not None:
            self.observer.request_answered(request, answer, self.clock.now_ms())
