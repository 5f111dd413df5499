"""The engine without network I/O: it enforces the rules whatever the Controller and the peers do."""

import subprocess
import sys

import pytest
from twisted.internet.task import Clock

from leadslip import controller, core, deadlines, interface, logs
from leadslip.metrics import Metrics
from tests.helpers import PLAIN, entry, settings
from tests.standins import ROOT


class EngineFixture:
    """An engine with its clock; also its downstream and upstream sides, which record what the engine calls.

    `sent` has the attempts passed to `send`, `recorded` all other calls; `outcome` is what `send` returns.
    """

    def __init__(self, servers=2, **changes):
        self.time, self.metrics, self.recorded, self.sent = Clock(), Metrics(), [], []
        self.outcome = None
        self.deadlines = core.Deadlines(self, self.time)
        self.engine = core.Engine(
            settings(**changes), 1, self, self.deadlines, self, self.metrics, logs.discard
        )
        listed = tuple(entry(f"s{i}", i) for i in range(servers))
        self.engine.update_servers(interface.ServerListUpdate(interface.UpdateKind.SNAPSHOT, listed))

    def now_ms(self):
        return 1e12 + self.time.seconds() * 1000.0

    def send(self, attempt):
        self.sent.append(attempt)
        return self.outcome

    def cancel(self, attempt):
        self.recorded.append(("cancel", attempt.request.id))

    def release(self, attempt):
        self.recorded.append(("release", attempt.request.id))

    def on_established(self, request, payload):
        self.recorded.append(("established", request.id, payload))

    def on_refused(self, request, pause_ms):
        self.recorded.append(("refused", request.id))

    def on_failed(self, request):
        self.recorded.append(("failed", request.id))

    def call_ended(self, request, cut):
        self.recorded.append(("call_ended", request.id, cut))

    def read_pending(self, request):
        """Does nothing: the callers of this fixture never have unread data."""

    def offer(self, id_="a", valid_for_ms=2000.0, destination=0):
        request = core.Request(id_, PLAIN, self.now_ms() + valid_for_ms, self, b"c=offer")
        request.destination = destination
        self.engine.offer(request)
        return request

    def wait(self, ms):
        """Advances the clock in steps of 1 ms, so that timers set meanwhile fire in time."""
        for _ in range(int(ms)):
            self.time.advance(0.001)


def test_repeated_answers_and_ends_of_an_attempt_are_passed_to_the_caller_once():
    world = EngineFixture()
    world.offer()
    (attempt,) = world.sent
    world.engine.on_established(attempt, b"sdp")
    world.engine.on_established(attempt, b"again")
    world.engine.on_attempt_ended(attempt, interface.Outcome.SERVED)
    world.engine.on_attempt_ended(attempt, interface.Outcome.CUT)
    world.wait(3000)
    assert world.recorded == [("established", "a", b"sdp"), ("call_ended", "a", False)]


def test_with_a_silent_server_the_request_fails_before_its_deadline_and_the_attempt_is_cancelled():
    world = EngineFixture()
    world.offer(valid_for_ms=800.0)
    world.wait(795)
    assert world.recorded == [("cancel", "a"), ("failed", "a")]
    world.engine.on_established(world.sent[0], b"late")
    assert len(world.recorded) == 2


def test_a_request_is_answered_even_if_the_controller_never_decides_about_it():
    world = EngineFixture()
    world.engine.controller.handle = lambda now_ms, event: []
    world.offer(valid_for_ms=500.0)
    world.wait(500)
    assert world.recorded == [("failed", "a")]


def test_a_cancellation_that_crosses_the_answer_changes_nothing():
    world = EngineFixture()
    request = world.offer()
    world.engine.on_established(world.sent[0], b"sdp")
    world.engine.cancel(request)
    assert world.recorded == [("established", "a", b"sdp")]
    world.engine.hang_up(request)
    world.engine.hang_up(request)
    assert world.recorded[1:] == [("release", "a")]


def test_a_cancelled_request_gets_no_answer_and_its_attempt_is_cancelled_at_the_server():
    world = EngineFixture()
    request = world.offer()
    world.engine.cancel(request)
    world.engine.on_established(world.sent[0], b"late")
    world.wait(3000)
    assert world.recorded == [("cancel", "a")]


def test_after_a_lost_connection_nothing_is_sent_for_the_release_wait():
    world = EngineFixture(release_wait_ms=250.0)
    world.offer()
    world.engine.on_attempt_ended(world.sent[0], interface.Outcome.CUT)
    world.wait(249)
    assert len(world.sent) == 1
    world.wait(20)
    assert [attempt.server for attempt in world.sent] == ["s0", "s1"]


def test_an_unsent_attempt_is_retried_elsewhere_at_once_with_one_attempt_in_progress():
    world = EngineFixture()
    world.outcome = interface.Outcome.NO_CONNECTION
    world.offer()
    assert [attempt.server for attempt in world.sent] == ["s0", "s1"]
    assert world.recorded == [("refused", "a")]
    assert world.metrics.counts["attempts.no_connection"] == 2


@pytest.mark.parametrize("state", [interface.ServerState.DRAINING, interface.ServerState.GONE])
def test_a_draining_server_accepts_set_ups_only_during_the_drain_grace(state):
    world = EngineFixture(drain_grace_ms=300.0)
    world.engine.update_servers(
        interface.ServerListUpdate(interface.UpdateKind.CHANGES, (interface.ListEntry("s0", 0, state),))
    )
    world.wait(299)
    assert world.engine.accepts_set_ups("s0")
    world.wait(2)
    assert (
        not world.engine.accepts_set_ups("s0")
        and world.engine.accepts_set_ups("s1")
        and not world.engine.accepts_set_ups("s9")
    )


def test_a_duplicate_id_fails_and_the_first_call_is_kept():
    world = EngineFixture()
    world.offer()
    world.offer()
    world.engine.on_established(world.sent[0], b"sdp")
    assert world.recorded == [("failed", "a"), ("established", "a", b"sdp")]
    assert len(world.sent) == 1


def test_many_deadlines_share_one_timer_and_cancelled_ones_are_compacted():
    world = EngineFixture()
    before = len(world.time.getDelayedCalls())
    scheduled = [
        world.deadlines.call_at(world.now_ms() + 5000 + i, lambda argument: None) for i in range(5000)
    ]
    assert len(world.time.getDelayedCalls()) == before == 1
    for deadline in scheduled:
        world.deadlines.cancel(deadline)
    assert len(world.deadlines.heap) < 2 * deadlines.MIN_CANCELLED_TO_COMPACT + 10


BROKEN_INVARIANT = """
from leadslip.metrics import Metrics
metrics = Metrics()
print(metrics.check_invariant(True, "fine"), metrics.check_invariant(False, "one attempt out"), dict(metrics.counts))
"""


@pytest.mark.parametrize(
    ("flags", "code", "text"), [([], 1, "AssertionError: one attempt out"), (["-O"], 0, "")]
)
def test_a_broken_invariant_is_asserted_in_debug_and_counted_in_release_builds(flags, code, text):
    completed = subprocess.run(
        [sys.executable, *flags, "-c", BROKEN_INVARIANT], cwd=ROOT, capture_output=True, text=True
    )
    assert completed.returncode == code and text in completed.stderr
    if not code:
        assert completed.stdout.strip() == "True False {'broken.one attempt out': 1}"


def test_servers_replaced_under_new_ids_leave_no_state_behind():
    world = EngineFixture(drain_grace_ms=300.0)
    for i in range(50):
        world.engine.update_servers(
            interface.ServerListUpdate(interface.UpdateKind.CHANGES, (entry(f"n{i}", 0),))
        )
        world.offer(str(i), destination=0)
        for attempt in world.sent:
            world.engine.on_attempt_ended(attempt, interface.Outcome.ERROR)
        gone_entry = entry(f"n{i}", 0, "gone")
        world.engine.update_servers(interface.ServerListUpdate(interface.UpdateKind.CHANGES, (gone_entry,)))
        world.wait(301)
    world.engine.update_servers(interface.ServerListUpdate(interface.UpdateKind.CHANGES, ()))
    world.wait(controller.MAX_SAMPLE_LIFETIME_MS + controller.INTERVAL_MS)
    assert set(world.engine.states) == {"s0", "s1"} == set(world.engine.controller.servers)
    assert (
        not world.engine.unavailable_since_ms
        and not world.engine.open_requests
        and not world.engine.controller.gone_servers
    )
