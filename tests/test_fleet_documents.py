"""Agreed documents: validation, atomic changes, idempotence, and the bound set by the fallback rules."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadslip.fleet.agreement import documents as documents_module
from leadslip.fleet.agreement.documents import Documents, Proposal, RefusedError

ISOLATED = {
    "bars": {"prefixes": ["0900"], "destinations": [3]},
    "held": {"servers": ["s1"]},
    "reserve": {"lines": {"g": 4}},
    "most_tries": 2,
}


def change(id_, expected_revision, **documents):
    bodies = {name: json.dumps(document).encode() for name, document in documents.items()}
    return Proposal(id_, expected_revision, bodies, "ops", "a test", 1.0)


def with_isolated():
    """Returns documents whose revision 1 has the fallback rules ISOLATED."""
    state = Documents()
    state.apply(change("first", 0, isolated=ISOLATED))
    return state


@pytest.mark.parametrize(
    ("documents", "rule"),
    [
        ({"bars": {"prefixes": ["09001"]}}, ""),
        ({"bars": {"prefixes": ["0800"]}}, "bars.prefixes 0800"),
        ({"bars": {"destinations": [3, 4]}}, "bars.destinations 4"),
        ({"held": {"servers": ["s2"]}}, "held.servers s2"),
        ({"reserve": {"lines": {"g": 5}}}, "reserve.lines.g"),
        ({"reserve": {"lines": {"g": -1}}}, "below 0"),
        ({"classes": {"classes": [], "most_tries": 2}}, "empty, or a class is listed twice"),
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
def test_an_invalid_change_is_refused_with_the_rule_that_it_breaks(documents, rule):
    state, proposal = with_isolated(), change("x", 1, **documents)
    if rule:
        with pytest.raises(RefusedError, match=rule):
            state.check(proposal)
    else:
        state.check(proposal)


def test_documents_change_atomically_once_and_only_from_the_revision_their_author_read():
    state = with_isolated()
    both = change("a", 1, bars={"prefixes": ["0900"]}, held={"servers": ["s1"]})
    assert state.apply(both).revision == 2 and state.apply(both).revision == 2, (
        "a change that is sent again is applied once"
    )
    late = state.apply(change("b", 1, held={"servers": []}))
    assert late.conflict == "held changed in revision 2" and state.revision == 2
    assert state.apply(change("c", 1, reserve={"lines": {"g": 1}})).revision == 3, (
        "a change of another document does not conflict"
    )
    assert state.apply(change("d", 9, held={})).conflict, "a revision that does not exist yet conflicts"
    assert [revision.changed for revision in state.history] == [["isolated"], ["bars", "held"], ["reserve"]]
    assert state.apply(state.rollback(1, "e", "ops", "back", 2.0)).revision == 4
    assert list(state.bodies) == ["isolated"], (
        "a rollback deletes documents that did not exist in that revision"
    )
    assert state.apply(state.rollback(2, "g", "ops", "back", 3.0)).revision == 5
    assert state.bodies == state.bodies_at(2) and state.bodies["bars"] == both.bodies["bars"]
    with pytest.raises(RefusedError, match="not in the history"):
        state.rollback(99, "h", "ops", "", 0.0)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.integers(0, 6),
            st.sampled_from(["bars", "held"]),
            st.integers(0, 3),
        ),
        max_size=12,
    )
)
def test_the_same_changes_give_the_same_state_also_through_a_snapshot(changes):
    """Guards against state that a snapshot loses: one copy is serialized and restored after each change."""
    direct, restored = Documents(), Documents()
    for id_, expected_revision, name, value in changes:
        proposal = change(str(id_), expected_revision, **{name: {"odd": value}})
        result = direct.apply(proposal)
        assert restored.apply(proposal) == result
        restored = Documents.load(restored.dump())
        assert direct.revision == len(direct.history)
    assert direct.dump() == restored.dump()
    assert all(direct.bodies_at(revision.number) is not None for revision in direct.history)


def test_history_and_results_are_bounded(monkeypatch):
    """Guards against memory and snapshots that grow with the number of changes ever made."""
    monkeypatch.setattr(documents_module, "MAX_HISTORY", 5)
    monkeypatch.setattr(documents_module, "MAX_RESULTS", 7)
    state = Documents()
    for i in range(50):
        state.apply(change(str(i), i, held={"servers": [f"s{i}"]}))
    assert (
        state.revision == 50
        and len(state.history) == 5
        and len(state.bodies_by_hash) == 5
        and len(state.results) == 7
    )
