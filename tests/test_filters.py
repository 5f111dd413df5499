"""The chain of filters: order, changes, refusals, faults, and replacement while calls are open."""

import pytest

from leadslip import core
from leadslip import interface as face
from leadslip.filters import Refused
from tests.test_core import World


class Noted:
    """A filter that writes down what it is told, and does as it is asked."""

    def __init__(self, name, told, refuses=None, change=None, raises=False):
        self.name, self.told, self.refuses, self.change, self.raises = name, told, refuses, change, raises

    def _note(self, what, request):
        self.told.append((self.name, what, request.id))
        if self.raises:
            raise RuntimeError("a fault of its own")

    def admit(self, request, now_ms):
        self._note("admit", request)
        if self.change is not None:
            self.change(request)
        return self.refuses

    def stood(self, request, now_ms):
        self._note("stood", request)

    def ended(self, request, now_ms):
        self._note("ended", request)


def world_of(*filters):
    world = World(max_pause_ms=2000.0)
    world.engine.chain.replace(filters)
    return world


def test_filters_are_asked_in_order_and_told_each_fate_once():
    told = []
    world = world_of(Noted("a", told), Noted("b", told))
    world.offer("stands")
    world.engine.stood(world.sent[-1], b"sdp")
    world.engine.ended(world.sent[-1], face.Outcome.SERVED)
    world.engine.cancel(world.offer("left"))
    world.offer("late", left_ms=50.0)
    world.wait(60)
    names = {"stands": ["admit", "stood", "ended"], "left": ["admit", "ended"], "late": ["admit", "ended"]}
    for id_, steps in names.items():
        for name in ("a", "b"):
            assert [what for who, what, of in told if who == name and of == id_] == steps
    assert told[:2] == [("a", "admit", "stands"), ("b", "admit", "stands")]
    assert told[4:6] == [("b", "ended", "stands"), ("a", "ended", "stands")], "the last to pass it first"


def test_a_refusal_is_answered_at_once_and_those_before_it_are_told():
    told = []
    world = world_of(Noted("a", told), Noted("b", told, refuses=Refused(9e9)), Noted("c", told))
    heard = []
    world.refused = lambda request, pause_ms: heard.append((request.id, pause_ms))
    world.offer("x")
    assert heard == [("x", 2000.0)] and not world.sent, "with a pause no longer than callers obey"
    assert told == [("a", "admit", "x"), ("b", "admit", "x"), ("a", "ended", "x")]
    assert world.tally.counts["filters.b.refused"] == 1 and not world.engine.open


def test_a_filter_may_change_where_a_call_goes_and_shorten_its_times_but_lengthen_none():
    def change(request):
        request.destination, request.attempt_ms = 1, 100.0
        request.valid_until_ms += 60_000.0

    world = world_of(Noted("a", [], change=change))
    request = world.offer("x", left_ms=800.0)
    assert world.sent[0].server == "s1" and request.valid_until_ms == world.now_ms() + 800.0
    world.wait(110)
    assert world.told[0] == ("give up", "x"), "its attempt was out for 100 ms"
    world.wait(700)
    finals = [what for what, *_ in world.told if what in ("failed", "refused")]
    assert len(finals) == 1, "and answered once, before its caller quits"


def test_a_filter_that_raises_is_counted_and_passes():
    said = []
    world = world_of(Noted("bad", [], raises=True))
    world.engine.chain.log = lambda event, **fields: said.append((event, fields["filter"]))
    for id_ in ("x", "y"):
        world.offer(id_)
        world.engine.stood(world.sent[-1], b"sdp")
        world.engine.ended(world.sent[-1], face.Outcome.SERVED)
    assert [what for what, *_ in world.told] == ["stands", "over"] * 2
    assert world.tally.counts["filters.bad.raised"] == 6 and said == [("filter.raised", "bad")]


def test_calls_end_at_the_filters_that_passed_them_after_the_chain_was_replaced():
    told = []
    world = world_of(Noted("old", told))
    world.offer("x")
    world.engine.chain.replace([Noted("new", told)])
    world.offer("y")
    for attempt in world.sent:
        world.engine.stood(attempt, b"sdp")
        world.engine.ended(attempt, face.Outcome.SERVED)
    assert [entry for entry in told if entry[2] == "x"] == [
        ("old", s, "x") for s in ("admit", "stood", "ended")
    ]
    assert [entry for entry in told if entry[2] == "y"] == [
        ("new", s, "y") for s in ("admit", "stood", "ended")
    ]
    with pytest.raises(ValueError, match="share a name"):
        world.engine.chain.replace([Noted("n", []), Noted("n", [])])


def test_watchers_are_told_in_order():
    told = []

    class Watch:
        def __init__(self, name):
            self.name = name

        def attempt_ended(self, attempt, outcome, now_ms):
            told.append((self.name, outcome))

        def request_answered(self, request, answer, now_ms):
            told.append((self.name, answer))

    world = World()
    world.engine.watcher = core.Observers(Watch("a"), Watch("b"))
    world.offer("x")
    world.engine.stood(world.sent[0], b"sdp")
    world.engine.ended(world.sent[0], face.Outcome.SERVED)
    served = face.Outcome.SERVED
    assert told == [("a", "stands"), ("b", "stands"), ("a", served), ("b", served)]
