"""The filter of the agreed rules: each call is decided by the bars, drained servers, classes and attempts in effect."""

import json

from leadslip import core, interface
from leadslip.fleet.agreement.documents import FallbackRules
from leadslip.fleet.agreement.filter import AgreedRulesFilter
from leadslip.fleet.agreement.member import RevisionContents, Rules
from tests.helpers import PLAIN
from tests.test_core import EngineFixture

BASE = Rules.parse(RevisionContents.from_bodies(1, {}))


def rules(revision, **documents):
    return Rules.parse(
        RevisionContents.from_bodies(
            revision, {name: json.dumps(document).encode() for name, document in documents.items()}
        )
    )


class WorldWithAgreedRules(EngineFixture):
    """An engine with the filter of the agreed rules; the test sets the rules in effect."""

    def __init__(self, **more):
        super().__init__(**more)
        self.own_settings, self.rules, self.reserved_lines, self.reports = self.engine.settings, BASE, [], []
        filter_ = AgreedRulesFilter(self, self, self, lambda **fields: self.reports.append(fields))
        self.engine.chain.replace([filter_])

    def rules_in_effect(self, now_ms):
        return self.rules

    def settings(self):
        return self.own_settings

    def apply_settings(self, settings):
        self.engine.apply_settings(settings, self.engine.max_open_requests)

    def drain_servers(self, servers):
        self.engine.drain_servers(servers)

    def set_reserved_lines(self, lines):
        self.reserved_lines.append(lines)

    def offer_call(self, id_, destination=0, number=""):
        request = core.Request(id_, PLAIN, self.now_ms() + 2000.0, self, b"c=offer")
        request.destination, request.number_called = destination, number
        self.engine.offer(request)
        return request


def test_bars_refuse_by_number_and_destination_from_the_next_call_on():
    world = WorldWithAgreedRules()
    world.offer_call("a", number="9001")
    assert len(world.sent) == 1
    world.rules = rules(2, bars={"prefixes": ["900"], "destinations": [7]})
    world.offer_call("b", number="9001")
    world.offer_call("c", destination=7)
    world.offer_call("d", number="8")
    assert world.recorded == [("refused", "b"), ("refused", "c")] and len(world.sent) == 2


def test_a_drained_server_gets_no_set_up_until_it_is_back_in_rotation():
    world = WorldWithAgreedRules(drain_grace_ms=0.0)
    world.rules = rules(2, held={"servers": ["s0"]})
    for i in range(5):
        world.offer_call(f"a{i}")
    assert {attempt.server for attempt in world.sent} == {"s1"}
    entry = interface.ListEntry("s0", 0, interface.ServerState.READY)
    world.engine.update_servers(interface.ServerListUpdate(interface.UpdateKind.CHANGES, (entry,)))
    world.offer_call("after the update")
    assert {attempt.server for attempt in world.sent} == {"s1"}, "a server list update does not end the drain"
    world.rules = BASE
    for i in range(5):
        world.offer_call(f"b{i}")
    assert {attempt.server for attempt in world.sent} == {"s0", "s1"}


def test_classes_and_attempts_are_those_in_effect_and_are_restored():
    world = WorldWithAgreedRules()
    agreed_class = {"name": PLAIN, "worth": 9.0, "late_worth": 1.0, "aim_ms": 500.0, "deadline_ms": 900.0}
    world.rules = rules(2, classes={"classes": [agreed_class], "most_tries": 1}, reserve={"lines": {"g": 4}})
    request = world.offer_call("a")
    call_class = next(call_class for call_class in world.engine.settings.classes if call_class.name == PLAIN)
    assert (call_class.worth, call_class.deadline_ms, request.max_attempts) == (9.0, 900.0, 1)
    assert world.engine.settings.max_attempts == 1 and world.reserved_lines[-1] == {"g": 4}
    world.rules = Rules.fallback(FallbackRules(most_tries=2), 2)
    assert world.offer_call("b").max_attempts == min(2, world.own_settings.max_attempts)
    world.rules = BASE
    world.offer_call("c")
    assert world.engine.settings == world.own_settings and world.reserved_lines[-1] == {}


def test_reports_name_the_applied_revision_and_when_the_last_call_before_it_was_decided():
    world = WorldWithAgreedRules()
    world.offer_call("a")
    world.wait(100)
    world.offer_call("b")
    last_decision_ms = world.now_ms()
    world.wait(100)
    world.rules = rules(2, bars={"prefixes": ["1"]})
    world.offer_call("c")
    assert [report["revision"] for report in world.reports] == [1, 2] and world.reports[1][
        "until_ms"
    ] == last_decision_ms
