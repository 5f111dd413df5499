"""The filter chain: order, modifications, refusals, filters that raise, and replacement while requests are open."""

import pytest

from leadslip import core, interface
from leadslip.filters import Refusal
from tests.test_core import EngineFixture


class RecordingFilter:
    """A filter that records its calls and refuses, modifies or raises as configured."""

    def __init__(self, name, invocations, refusal=None, change=None, raises=False):
        self.name, self.invocations, self.refusal, self.change, self.raises = (
            name,
            invocations,
            refusal,
            change,
            raises,
        )

    def _record(self, method, request):
        self.invocations.append((self.name, method, request.id))
        if self.raises:
            raise RuntimeError("filter failed")

    def admit(self, request, now_ms):
        self._record("admit", request)
        if self.change is not None:
            self.change(request)
        return self.refusal

    def established(self, request, now_ms):
        self._record("established", request)

    def ended(self, request, now_ms):
        self._record("ended", request)


def world_with(*filters):
    world = EngineFixture(max_pause_ms=2000.0)
    world.engine.chain.replace(filters)
    return world


def test_filters_are_called_in_order_and_notified_of_each_end_once():
    invocations = []
    world = world_with(RecordingFilter("a", invocations), RecordingFilter("b", invocations))
    world.offer("stands")
    world.engine.on_established(world.sent[-1], b"sdp")
    world.engine.on_attempt_ended(world.sent[-1], interface.Outcome.SERVED)
    world.engine.cancel(world.offer("left"))
    world.offer("late", valid_for_ms=50.0)
    world.wait(60)
    expected = {
        "stands": ["admit", "established", "ended"],
        "left": ["admit", "ended"],
        "late": ["admit", "ended"],  # fails at its deadline
    }
    for id_, methods in expected.items():
        for name in ("a", "b"):
            assert [
                method for filter_, method, request_id in invocations if filter_ == name and request_id == id_
            ] == methods
    assert invocations[:2] == [("a", "admit", "stands"), ("b", "admit", "stands")]
    assert invocations[4:6] == [("b", "ended", "stands"), ("a", "ended", "stands")], "in reverse order"


def test_a_refusal_is_answered_at_once_and_earlier_filters_are_notified():
    invocations = []
    world = world_with(
        RecordingFilter("a", invocations),
        RecordingFilter("b", invocations, refusal=Refusal(9e9)),
        RecordingFilter("c", invocations),
    )
    refusals = []
    world.on_refused = lambda request, pause_ms: refusals.append((request.id, pause_ms))
    world.offer("x")
    assert refusals == [("x", 2000.0)] and not world.sent, "the pause is limited to max_pause_ms"
    assert invocations == [("a", "admit", "x"), ("b", "admit", "x"), ("a", "ended", "x")]
    assert world.metrics.counts["filters.b.refused"] == 1 and not world.engine.open_requests


def test_a_filter_may_set_the_destination_and_shorten_times_but_not_extend_them():
    def change(request):
        request.destination, request.max_attempt_ms = 1, 100.0
        request.valid_until_ms += 60_000.0

    world = world_with(RecordingFilter("a", [], change=change))
    request = world.offer("x", valid_for_ms=800.0)
    assert world.sent[0].server == "s1" and request.valid_until_ms == world.now_ms() + 800.0
    world.wait(110)
    assert world.recorded[0] == ("cancel", "x"), "its attempt timed out after 100 ms"
    world.wait(700)
    finals = [answer for answer, *_ in world.recorded if answer in ("failed", "refused")]
    assert len(finals) == 1, "it is answered once, within the caller's deadline"


def test_a_filter_that_raises_is_counted_logged_once_and_skipped():
    logged = []
    world = world_with(RecordingFilter("bad", [], raises=True))
    world.engine.chain.log = lambda event, **fields: logged.append((event, fields["filter"]))
    for id_ in ("x", "y"):
        world.offer(id_)
        world.engine.on_established(world.sent[-1], b"sdp")
        world.engine.on_attempt_ended(world.sent[-1], interface.Outcome.SERVED)
    assert [answer for answer, *_ in world.recorded] == ["established", "call_ended"] * 2
    assert world.metrics.counts["filters.bad.raised"] == 6 and logged == [("filter.raised", "bad")]


def test_calls_end_at_the_filters_that_admitted_them_after_the_chain_was_replaced():
    invocations = []
    world = world_with(RecordingFilter("old", invocations))
    world.offer("x")
    world.engine.chain.replace([RecordingFilter("new", invocations)])
    world.offer("y")
    for attempt in world.sent:
        world.engine.on_established(attempt, b"sdp")
        world.engine.on_attempt_ended(attempt, interface.Outcome.SERVED)
    assert [item for item in invocations if item[2] == "x"] == [
        ("old", method, "x") for method in ("admit", "established", "ended")
    ]
    assert [item for item in invocations if item[2] == "y"] == [
        ("new", method, "y") for method in ("admit", "established", "ended")
    ]
    with pytest.raises(ValueError, match="must be unique"):
        world.engine.chain.replace([RecordingFilter("n", []), RecordingFilter("n", [])])


def test_observers_are_notified_in_order():
    invocations = []

    class RecordingObserver:
        def __init__(self, name):
            self.name = name

        def attempt_ended(self, attempt, outcome, now_ms):
            invocations.append((self.name, outcome))

        def request_answered(self, request, answer, now_ms):
            invocations.append((self.name, answer))

    world = EngineFixture()
    world.engine.observer = core.Observers(RecordingObserver("a"), RecordingObserver("b"))
    world.offer("x")
    world.engine.on_established(world.sent[0], b"sdp")
    world.engine.on_attempt_ended(world.sent[0], interface.Outcome.SERVED)
    served = interface.Outcome.SERVED
    assert invocations == [("a", "stands"), ("b", "stands"), ("a", served), ("b", served)]
