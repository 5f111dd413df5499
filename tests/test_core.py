"""The engine without any wire: the rules hold whatever the Controller and the peers do."""

import subprocess
import sys

import pytest
from twisted.internet.task import Clock

from leadslip import choice, core, deadlines, logs
from leadslip import interface as face
from leadslip.checks import Tally
from tests.helpers import PLAIN, entry, settings
from tests.standins import ROOT


class World:
    """An engine, its clock, and a front and a far side that write down what they are told."""

    def __init__(self, servers=2, **changes):
        self.time, self.tally, self.told, self.sent = Clock(), Tally(), [], []
        self.outcome = None
        self.deadlines = core.Deadlines(self, self.time)
        self.engine = core.Engine(settings(**changes), 1, self, self.deadlines, self, self.tally, logs.silent)
        listed = tuple(entry(f"s{i}", i) for i in range(servers))
        self.engine.news(face.ListNews(face.NewsKind.WHOLE, listed))

    def now_ms(self):
        return 1e12 + self.time.seconds() * 1000.0

    def send(self, attempt):
        self.sent.append(attempt)
        return self.outcome

    def give_up(self, attempt):
        self.told.append(("give up", attempt.request.id))

    def release(self, attempt):
        self.told.append(("release", attempt.request.id))

    def stands(self, request, payload):
        self.told.append(("stands", request.id, payload))

    def refused(self, request, pause_ms):
        self.told.append(("refused", request.id))

    def failed(self, request):
        self.told.append(("failed", request.id))

    def over(self, request, cut):
        self.told.append(("over", request.id, cut))

    def catch_up(self, request):
        """Its callers say nothing behind its back."""

    def offer(self, id_="a", left_ms=2000.0, to=0):
        request = core.Request(id_, PLAIN, self.now_ms() + left_ms, self, b"c=offer")
        request.destination = to
        self.engine.offer(request)
        return request

    def wait(self, ms):
        for _ in range(int(ms)):
            self.time.advance(0.001)


def test_a_call_that_stands_is_answered_once_and_released_once():
    world = World()
    world.offer()
    (attempt,) = world.sent
    world.engine.stood(attempt, b"sdp")
    world.engine.stood(attempt, b"again")
    world.engine.ended(attempt, face.Outcome.SERVED)
    world.engine.ended(attempt, face.Outcome.CUT)
    world.wait(3000)
    assert world.told == [("stands", "a", b"sdp"), ("over", "a", False)]


def test_a_silent_server_leads_to_one_answer_before_the_caller_quits_and_is_given_up():
    world = World()
    world.offer(left_ms=800.0)
    world.wait(795)
    assert world.told == [("give up", "a"), ("failed", "a")]
    world.engine.stood(world.sent[0], b"late")
    assert len(world.told) == 2


def test_a_controller_that_forgets_a_call_does_not_cost_its_answer():
    world = World()
    world.engine.controller.handle = lambda now_ms, event: []
    world.offer(left_ms=500.0)
    world.wait(500)
    assert world.told == [("failed", "a")]


def test_a_cancel_that_crosses_the_answer_changes_nothing():
    world = World()
    request = world.offer()
    world.engine.stood(world.sent[0], b"sdp")
    world.engine.cancel(request)
    assert world.told == [("stands", "a", b"sdp")]
    world.engine.hang_up(request)
    world.engine.hang_up(request)
    assert world.told[1:] == [("release", "a")]


def test_a_cancelled_call_gets_no_answer_and_is_given_up_at_its_server():
    world = World()
    request = world.offer()
    world.engine.cancel(request)
    world.engine.stood(world.sent[0], b"late")
    world.wait(3000)
    assert world.told == [("give up", "a")]


def test_after_a_cut_nothing_is_sent_for_the_release_wait():
    world = World(release_wait_ms=250.0)
    world.offer()
    world.engine.ended(world.sent[0], face.Outcome.CUT)
    world.wait(249)
    assert len(world.sent) == 1
    world.wait(20)
    assert [attempt.server for attempt in world.sent] == ["s0", "s1"]


def test_what_never_left_goes_elsewhere_at_once_and_one_attempt_is_out():
    world = World()
    world.outcome = face.Outcome.NO_CONNECTION
    world.offer()
    assert [attempt.server for attempt in world.sent] == ["s0", "s1"]
    assert world.told == [("refused", "a")]
    assert world.tally.counts["attempts.no_connection"] == 2


@pytest.mark.parametrize("gone", [face.ServerState.DRAINING, face.ServerState.GONE])
def test_a_server_that_drains_is_sent_to_for_no_longer_than_the_grace(gone):
    world = World(drain_grace_ms=300.0)
    world.engine.news(face.ListNews(face.NewsKind.CHANGES, (face.ListEntry("s0", 0, gone),)))
    world.wait(299)
    assert world.engine.sent_to("s0")
    world.wait(2)
    assert not world.engine.sent_to("s0") and world.engine.sent_to("s1") and not world.engine.sent_to("s9")


def test_an_id_that_comes_twice_keeps_the_first_call():
    world = World()
    world.offer()
    world.offer()
    world.engine.stood(world.sent[0], b"sdp")
    assert world.told == [("failed", "a"), ("stands", "a", b"sdp")]
    assert len(world.sent) == 1


def test_many_deadlines_take_one_timer_and_cancelled_ones_are_swept():
    world = World()
    before = len(world.time.getDelayedCalls())
    held = [world.deadlines.at(world.now_ms() + 5000 + i, lambda of: None) for i in range(5000)]
    assert len(world.time.getDelayedCalls()) == before == 1
    for one in held:
        world.deadlines.cancel(one)
    assert len(world.deadlines.heap) < 2 * deadlines.COMPACT_FROM + 10


BREACH = """
from leadslip.checks import Tally
tally = Tally()
print(tally.must(True, "fine"), tally.must(False, "one attempt out"), dict(tally.counts))
"""


@pytest.mark.parametrize(
    ("flags", "code", "text"), [([], 1, "AssertionError: one attempt out"), (["-O"], 0, "")]
)
def test_what_must_hold_is_asserted_in_debug_and_counted_in_release_builds(flags, code, text):
    done = subprocess.run([sys.executable, *flags, "-c", BREACH], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == code and text in done.stderr
    if not code:
        assert done.stdout.strip() == "True False {'broken.one attempt out': 1}"


def test_servers_that_come_and_go_under_new_ids_leave_nothing_behind():
    world = World(drain_grace_ms=300.0)
    for i in range(50):
        world.engine.news(face.ListNews(face.NewsKind.CHANGES, (entry(f"n{i}", 0),)))
        world.offer(str(i), to=0)
        for attempt in world.sent:
            world.engine.ended(attempt, face.Outcome.ERROR)
        gone = entry(f"n{i}", 0, "gone")
        world.engine.news(face.ListNews(face.NewsKind.CHANGES, (gone,)))
        world.wait(301)
    world.engine.news(face.ListNews(face.NewsKind.CHANGES, ()))
    world.wait(choice.MEMORY_MS + choice.INTERVAL_MS)
    assert set(world.engine.states) == {"s0", "s1"} == set(world.engine.controller.servers)
    assert not world.engine.told_ms and not world.engine.open and not world.engine.controller.gone
