"""Documents that proxies agree on: checked whole, changed together, once each, never stricter than when isolated."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from leadslip.fleet.agreement import documents as rules
from leadslip.fleet.agreement.documents import Documents, Proposal, RefusedError

ISOLATED = {
    "bars": {"prefixes": ["0900"], "destinations": [3]},
    "held": {"servers": ["s1"]},
    "reserve": {"lines": {"g": 4}},
    "most_tries": 2,
}


def change(id_, expect, **documents):
    bodies = {name: json.dumps(told).encode() for name, told in documents.items()}
    return Proposal(id_, expect, bodies, "ops", "a test", 1.0)


def with_isolated():
    held = Documents()
    held.apply(change("first", 0, isolated=ISOLATED))
    return held


@pytest.mark.parametrize(
    ("told", "rule"),
    [
        ({"bars": {"prefixes": ["09001"]}}, ""),
        ({"bars": {"prefixes": ["0800"]}}, "bars.prefixes 0800"),
        ({"bars": {"destinations": [3, 4]}}, "bars.destinations 4"),
        ({"held": {"servers": ["s2"]}}, "held.servers s2"),
        ({"reserve": {"lines": {"g": 5}}}, "reserve.lines.g"),
        ({"reserve": {"lines": {"g": -1}}}, "below 0"),
        ({"classes": {"classes": [], "most_tries": 2}}, "none, or one told twice"),
        ({"bars": {"prefixes": ["x"]}}, "not digits"),
        ({"bars": {"prefix": ["1"]}}, "unknown field"),
        ({"odd": {}}, "no such document"),
        ({"isolated": {"most_tries": 0}}, "most_tries is below 1"),
        (
            {"held": {"servers": ["s2"]}, "isolated": ISOLATED | {"held": {"servers": ["s2"]}}},
            "isolated first",
        ),
    ],
)
def test_a_change_is_refused_by_the_rule_that_says_so(told, rule):
    held, proposal = with_isolated(), change("x", 1, **told)
    if rule:
        with pytest.raises(RefusedError, match=rule):
            held.check(proposal)
    else:
        held.check(proposal)


def test_documents_change_together_once_and_only_as_their_author_saw_them():
    held = with_isolated()
    both = change("a", 1, bars={"prefixes": ["0900"]}, held={"servers": ["s1"]})
    assert held.apply(both).revision == 2 and held.apply(both).revision == 2, (
        "sent again it takes effect once"
    )
    late = held.apply(change("b", 1, held={"servers": []}))
    assert late.conflict == "held changed in revision 2" and held.revision == 2
    assert held.apply(change("c", 1, reserve={"lines": {"g": 1}})).revision == 3, (
        "of another document it is none"
    )
    assert held.apply(change("d", 9, held={})).conflict, "nobody has seen what is yet to come"
    assert [one.changed for one in held.history] == [["isolated"], ["bars", "held"], ["reserve"]]
    assert held.apply(held.rollback(1, "e", "ops", "back", 2.0)).revision == 4
    assert list(held.bodies) == ["isolated"], "what was not there then is not there any more"
    assert held.apply(held.rollback(2, "g", "ops", "back", 3.0)).revision == 5
    assert held.bodies == held.at(2) and held.bodies["bars"] == both.bodies["bars"]
    with pytest.raises(RefusedError, match="not remembered"):
        held.rollback(99, "h", "ops", "", 0.0)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    some.lists(
        some.tuples(
            some.integers(0, 5), some.integers(0, 6), some.sampled_from(["bars", "held"]), some.integers(0, 3)
        ),
        max_size=12,
    )
)
def test_who_takes_in_the_same_changes_holds_the_same_also_by_way_of_a_snapshot(told):
    one, other = Documents(), Documents()
    for id_, expect, name, value in told:
        proposal = change(str(id_), expect, **{name: {"odd": value}})
        outcome = one.apply(proposal)
        assert other.apply(proposal) == outcome
        other = Documents.load(other.dump())
        assert one.revision == len(one.history)
    assert one.dump() == other.dump()
    assert all(one.at(revision.number) is not None for revision in one.history)


def test_memory_is_bounded(monkeypatch):
    monkeypatch.setattr(rules, "MOST_HISTORY", 5)
    monkeypatch.setattr(rules, "MOST_IDS", 7)
    held = Documents()
    for i in range(50):
        held.apply(change(str(i), i, held={"servers": [f"s{i}"]}))
    assert held.revision == 50 and len(held.history) == 5 and len(held.past) == 5 and len(held.ids) == 7
