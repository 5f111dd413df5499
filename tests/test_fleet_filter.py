"""The agreed rules in the path of calls: bars, servers held off, classes and attempts, at the moment of each call."""

import json

from leadslip import core
from leadslip import interface as face
from leadslip.fleet.agreement.documents import Isolated
from leadslip.fleet.agreement.filter import AgreedRules
from leadslip.fleet.agreement.member import Held, Rules
from tests.helpers import PLAIN
from tests.test_core import World

BASE = Rules.of(Held.of(1, {}))


def rules(revision, **documents):
    return Rules.of(Held.of(revision, {name: json.dumps(told).encode() for name, told in documents.items()}))


class Agreed(World):
    """An engine whose calls are under agreed rules; the test says what is in force."""

    def __init__(self, **more):
        super().__init__(**more)
        self.own, self.force, self.kept, self.acts = self.engine.settings, BASE, [], []
        filter_ = AgreedRules(self, self, self, lambda **told: self.acts.append(told))
        self.engine.chain.replace([filter_])

    def in_force(self, now_ms):
        return self.force

    def settings(self):
        return self.own

    def adopt(self, settings):
        self.engine.adopt(settings, self.engine.most_held)

    def hold(self, servers):
        self.engine.hold(servers)

    def keep(self, lines):
        self.kept.append(lines)

    def called(self, id_, to=0, number=""):
        request = core.Request(id_, PLAIN, self.now_ms() + 2000.0, self, b"c=offer")
        request.destination, request.number = to, number
        self.engine.offer(request)
        return request


def test_bars_refuse_by_number_and_destination_from_the_next_call_on():
    world = Agreed()
    world.called("a", number="9001")
    assert len(world.sent) == 1
    world.force = rules(2, bars={"prefixes": ["900"], "destinations": [7]})
    world.called("b", number="9001")
    world.called("c", to=7)
    world.called("d", number="8")
    assert world.told == [("refused", "b"), ("refused", "c")] and len(world.sent) == 2


def test_a_server_held_off_gets_nothing_until_it_is_let_go():
    world = Agreed(drain_grace_ms=0.0)
    world.force = rules(2, held={"servers": ["s0"]})
    for i in range(5):
        world.called(f"a{i}")
    assert {attempt.server for attempt in world.sent} == {"s1"}
    listed = face.ListEntry("s0", 0, face.ServerState.READY)
    world.engine.news(face.ListNews(face.NewsKind.CHANGES, (listed,)))
    world.called("told anew")
    assert {attempt.server for attempt in world.sent} == {"s1"}, "the list's word does not undo it"
    world.force = BASE
    for i in range(5):
        world.called(f"b{i}")
    assert {attempt.server for attempt in world.sent} == {"s0", "s1"}


def test_classes_and_attempts_are_those_in_force_and_come_back():
    world = Agreed()
    one = {"name": PLAIN, "worth": 9.0, "late_worth": 1.0, "aim_ms": 500.0, "deadline_ms": 900.0}
    world.force = rules(2, classes={"classes": [one], "most_tries": 1}, reserve={"lines": {"g": 4}})
    request = world.called("a")
    kind = next(kind for kind in world.engine.settings.classes if kind.name == PLAIN)
    assert (kind.worth, kind.deadline_ms, request.most_tries) == (9.0, 900.0, 1)
    assert world.engine.settings.max_attempts == 1 and world.kept[-1] == {"g": 4}
    world.force = Rules.alone(Isolated(most_tries=2), 2)
    assert world.called("b").most_tries == min(2, world.own.max_attempts)
    world.force = BASE
    world.called("c")
    assert world.engine.settings == world.own and world.kept[-1] == {}


def test_a_history_tells_what_was_acted_on_and_until_when():
    world = Agreed()
    world.called("a")
    world.wait(100)
    world.called("b")
    at_ms = world.now_ms()
    world.wait(100)
    world.force = rules(2, bars={"prefixes": ["1"]})
    world.called("c")
    assert [one["revision"] for one in world.acts] == [1, 2] and world.acts[1]["until_ms"] == at_ms
