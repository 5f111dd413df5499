"""Division of a budget, compared with an exact solution by the HiGHS solver, and its stability under small changes."""

import math
import random

import highspy
import pytest

from leadslip.fleet.pools.split import Claim, Tenant, split, weighted_max_min


def exact_max_min(total, claims):
    """Weighted max-min shares by repeated linear programs; None if the floors alone use up the total.

    Each program maximizes the smallest share relative to weight; then the claims that can't get more are fixed.
    """
    floors = [min(claim.floor, claim.ceiling) for claim in claims]
    if sum(floors) >= total:
        return None  # then floors are reduced in proportion, which another test checks
    fixed = {}
    while len(fixed) < len(claims):
        solver = highspy.Highs()
        # As in shares/solve.py: HiGHS has one scheduler per process, and solvers with another number of threads fail.
        solver.setOptionValue("threads", 1)
        solver.setOptionValue("output_flag", False)
        level = solver.addVariable(lb=0.0, ub=1e9)
        shares = [
            solver.addVariable(lb=floor, ub=claim.ceiling)
            for claim, floor in zip(claims, floors, strict=True)
        ]
        for i, claim in enumerate(claims):
            if i in fixed:
                solver.addConstr(shares[i] == fixed[i])
            else:
                # The share is at least level * weight (`slack` is fixed to 0). A floor above that still holds, and a
                # ceiling below it limits the level.
                slack = solver.addVariable(lb=0.0, ub=1e9)
                solver.addConstr(shares[i] + slack >= level * claim.weight)
                solver.addConstr(slack <= 0.0)
        solver.addConstr(sum(shares[1:], shares[0] + 0.0) <= total)
        solver.maximize(level)
        best_level = solver.val(level)
        if best_level >= 1e9 - 1:
            break
        at_ceiling = [
            i
            for i, claim in enumerate(claims)
            if i not in fixed and claim.ceiling <= best_level * claim.weight + 1e-6
        ]
        for i in at_ceiling:
            fixed[i] = claims[i].ceiling
        if not at_ceiling:
            at_floor = [
                i
                for i, claim in enumerate(claims)
                if i not in fixed and floors[i] > best_level * claim.weight + 1e-6
            ]
            if at_floor:
                for i in at_floor:
                    fixed[i] = floors[i]
                continue
            for i, claim in enumerate(claims):
                fixed.setdefault(i, best_level * claim.weight)
    return [fixed[i] for i in range(len(claims))]


def random_claims(rng):
    claims = []
    for _ in range(rng.randrange(1, 7)):
        floor = rng.choice((0, 0, rng.randrange(0, 20)))
        ceiling = max(floor, rng.choice((rng.randrange(0, 60), rng.randrange(20, 200))))
        claims.append(Claim(rng.choice((1, 1, 2, 3, 5)), floor, ceiling))
    return rng.randrange(0, 150), claims


@pytest.mark.parametrize("block", range(4))
def test_fill_gives_the_exact_weighted_max_min(block):
    compared = 0
    for seed in range(block * 50, block * 50 + 50):
        total, claims = random_claims(random.Random(seed))
        actual = weighted_max_min(total, claims)
        assert sum(actual) <= total + 1e-6
        assert all(
            -1e-9 <= share <= claim.ceiling + 1e-9 for share, claim in zip(actual, claims, strict=True)
        )
        expected = exact_max_min(total, claims)
        if expected is not None and sum(claim.ceiling for claim in claims) > total:
            compared += 1
            assert actual == pytest.approx(expected, abs=1e-5), (seed, total, claims)
    assert compared > 15


def random_case(seed):
    rng = random.Random(seed)
    tenants = {
        f"t{i}": Tenant(
            Claim(rng.choice((1, 2, 3, 5)), rng.choice((0, 5, 20)), rng.choice((math.inf, 60, 120))),
            rng.choice((0, 0, 1)),
            rng.choice((math.inf, 12, 40)),
        )
        for i in range(rng.randrange(1, 5))
    }
    needs = {
        (name, f"p{j:02d}"): rng.choice((0, 1, 3, 10, 40))
        for name in tenants
        for j in range(rng.randrange(1, 12))
    }
    return rng.randrange(20, 400), tenants, needs


@pytest.mark.parametrize("seed", range(60))
def test_connections_keep_the_budget_and_are_within_one_of_the_exact_shares(seed):
    budget, tenants, needs = random_case(seed)
    connections = split("s0", budget, tenants, needs)
    assert sum(connections.values()) <= budget and min(connections.values()) >= 0
    names = sorted(tenants)
    usable = {
        name: {
            proxy: min(max(need, tenants[name].router_floor), tenants[name].router_ceiling)
            for (tenant, proxy), need in sorted(needs.items())
            if tenant == name
        }
        for name in names
    }
    claims = []
    for name in names:
        usable_total, claim = sum(usable[name].values()), tenants[name].claim
        claims.append(Claim(claim.weight, min(claim.floor, usable_total), min(claim.ceiling, usable_total)))
    for name, share in zip(names, weighted_max_min(budget, claims), strict=True):
        total = sum(count for (tenant, _), count in connections.items() if tenant == name)
        assert abs(total - share) < 1.0
        proxy_shares = weighted_max_min(
            total, [Claim(1.0, tenants[name].router_floor, ceiling) for ceiling in usable[name].values()]
        )
        for proxy, proxy_share in zip(usable[name], proxy_shares, strict=True):
            assert abs(connections[name, proxy] - proxy_share) < 1.0


@pytest.mark.parametrize("seed", range(30))
def test_the_same_needs_move_no_connection_and_a_small_change_moves_few(seed):
    budget, tenants, needs = random_case(seed)
    before = split("s0", budget, tenants, needs)
    assert split("s0", budget, tenants, needs, before) == before
    rng = random.Random(seed)
    changed = dict(needs)
    changed[rng.choice(list(needs))] += 1
    after = split("s0", budget, tenants, changed, before)
    without_current = split("s0", budget, tenants, changed)
    assert connections_moved(before, after) <= max(2, connections_moved(before, without_current))


def connections_moved(before, after):
    """The number of connections that differ between two divisions."""
    return sum(abs(before[key] - after[key]) for key in before)


def test_floors_that_do_not_fit_are_reduced_in_proportion_and_no_need_gets_nothing():
    assert weighted_max_min(10, [Claim(1, 10, 50), Claim(5, 30, 50)]) == pytest.approx([2.5, 7.5])
    tenants = {"a": Tenant(Claim(1, 20, math.inf)), "b": Tenant(Claim(1, 0, math.inf))}
    assert split("s", 10, tenants, {("a", "p"): 0, ("b", "p"): 30}) == {("a", "p"): 0, ("b", "p"): 10}
