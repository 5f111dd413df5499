"""Pool policies: the budgets and claims of a valid one, and the line and column of each error in an invalid one."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadslip.fleet.pools.policy import PolicyError, parse_policy
from leadslip.fleet.pools.split import split

SERVERS, TENANTS = ("core-1", "core-2", "edge-1"), ("city", "river")
VALID_POLICY = """# budgets
budget core-*: 400 connections, keep 5% free
budget *: 100 connections
tenant city: weight 3, floor 20, ceiling 60%
tenant river: weight 5, floor 40
routers: by need, floor 1, ceiling 40
when zone lost: tenant river weight 8
"""


def parsed(text, max_members=20):
    return parse_policy(text, SERVERS, TENANTS, max_members)


def test_a_valid_policy_gives_budgets_and_claims():
    policy = parsed(VALID_POLICY)
    assert [policy.budget(server) for server in (*SERVERS, "far")] == [380, 380, 100, 100]
    city, river = (policy.tenant_shares("core-1")[name] for name in TENANTS)
    assert (city.claim.weight, city.claim.floor, city.claim.ceiling) == (3, 20, 228)
    assert (river.claim.weight, river.claim.floor, river.claim.ceiling) == (5, 40, 380)
    assert (city.router_floor, city.router_ceiling) == (1, 40)
    assert policy.tenant_shares("core-1", frozenset({"zone lost"}))["river"].claim.weight == 8
    needs = {(name, f"p{i}"): 50 for name in TENANTS for i in range(10)}
    connections = split("core-1", policy.budget("core-1"), policy.tenant_shares("core-1"), needs)
    assert sum(connections.values()) == 380 and max(connections.values()) <= 40
    assert sum(count for (name, _), count in connections.items() if name == "river") == pytest.approx(
        380 * 5 / 8, abs=1
    )


@pytest.mark.parametrize(
    ("text", "line", "column", "problem"),
    [
        ("", 1, 1, "no budget"),
        ("tenant city: weight 3", 1, 1, "no budget"),
        ("budget far-*: 10 connections", 1, 8, "no server"),
        ("budget *: 10 connections\nbudget core-*: 5 connections", 2, 8, "never apply"),
        ("budget *: 0 connections", 1, 8, "nothing is left"),
        ("budget *: 10 connections, keep 100% free", 1, 8, "nothing is left"),
        ("budget *: 10 connections\ntenant town: weight 1", 2, 8, "no tenant"),
        ("budget *: 10 connections\ntenant city: weight 1\ntenant city: weight 2", 3, 21, "set twice"),
        ("budget *: 10 connections\ntenant city: weight 0", 2, 21, "gives nothing"),
        ("budget *: 10 connections\ntenant city: ceiling 120%", 2, 22, "more than 100%"),
        ("budget *: 10 connections\ntenant city: floor 20", 2, 20, "more than the 10"),
        ("budget *: 10 connections\ntenant city: floor 6\ntenant river: floor 6", 3, 21, "floors of 12"),
        ("budget *: 10 connections\ntenant city: floor 6, ceiling 5", 2, 20, "above its ceiling"),
        ("budget *: 10 connections\nrouters: by need, floor 4, ceiling 2", 2, 25, "above the ceiling"),
        ("budget *: 10 connections\nrouters: by need, floor 1\nrouters: by need, floor 1", 3, 25, "twice"),
        ("budget *: 10 connections\nrouters: by need, floor 1", 2, 25, "for 20 proxies"),
        (
            "budget *: 10 connections\ntenant city: floor 5\nwhen zone lost: tenant city floor 11",
            3,
            35,
            "floors of 11",
        ),
        ("budget *: ten connections", 1, 11, "'ten' is not expected"),
        ("budget *: 10 connection", 1, 14, "not expected"),
        ("budget *: 10 connections, keep 5 free", 1, 32, "'5' is not expected"),
        ("tenant city weight 3", 1, 13, "'weight' is not expected"),
        ("tenant city: wait 3", 1, 14, "'wait' is not expected"),
        ("routers: by chance", 1, 13, "'chance' is not expected"),
        ("when moon full: tenant city weight 2", 1, 6, "'moon' is not expected"),
        ("budget *:", 1, 10, "ends too early"),
    ],
)
def test_an_invalid_policy_is_refused_with_line_column_and_remedy(text, line, column, problem):
    with pytest.raises(PolicyError, match=problem) as error:
        parsed(text)
    assert (error.value.line, error.value.column) == (line, column)
    assert error.value.remedy and f"line {line}, column {column}: " in str(error.value)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(max_size=60), st.integers(0, len(VALID_POLICY)))
def test_any_text_is_parsed_or_refused_with_a_policy_error(junk, position):
    for text in (
        junk,
        VALID_POLICY[:position] + junk,
        VALID_POLICY[:position] + junk + VALID_POLICY[position:],
    ):
        try:
            parsed(text)
        except PolicyError as error:
            assert error.line >= 1 or error.line == -1
