"""The split of a budget against an independent exact solution (HiGHS), and that it moves no more than it must."""

import math
import random

import highspy
import pytest

from leadslip.fleet.pools.split import Claim, Tenant, fill, split


def exact(total, claims):
    """Weighted max-min by linear programs: raise the least share for its weight, fix who can't have more, go on."""
    lows = [min(one.floor, one.ceiling) for one in claims]
    if sum(lows) >= total:
        return None  # floors cut in proportion: checked by itself
    fixed = {}
    while len(fixed) < len(claims):
        solver = highspy.Highs()
        solver.setOptionValue("output_flag", False)
        level = solver.addVariable(lb=0.0, ub=1e9)
        parts = [solver.addVariable(lb=low, ub=one.ceiling) for one, low in zip(claims, lows, strict=True)]
        for i, one in enumerate(claims):
            if i in fixed:
                solver.addConstr(parts[i] == fixed[i])
            else:
                # A floor above the level's worth is its own; a ceiling below it is, too.
                slack = solver.addVariable(lb=0.0, ub=1e9)
                solver.addConstr(parts[i] + slack >= level * one.weight)
                solver.addConstr(slack <= 0.0)
        solver.addConstr(sum(parts[1:], parts[0] + 0.0) <= total)
        solver.maximize(level)
        best = solver.val(level)
        if best >= 1e9 - 1:
            break
        now = [
            i for i, one in enumerate(claims) if i not in fixed and one.ceiling <= best * one.weight + 1e-6
        ]
        for i in now:
            fixed[i] = claims[i].ceiling
        if not now:
            floors = [
                i for i, one in enumerate(claims) if i not in fixed and lows[i] > best * one.weight + 1e-6
            ]
            if floors:
                for i in floors:
                    fixed[i] = lows[i]
                continue
            for i, one in enumerate(claims):
                fixed.setdefault(i, best * one.weight)
    return [fixed[i] for i in range(len(claims))]


def drawn(draw):
    claims = []
    for _ in range(draw.randrange(1, 7)):
        floor = draw.choice((0, 0, draw.randrange(0, 20)))
        ceiling = max(floor, draw.choice((draw.randrange(0, 60), draw.randrange(20, 200))))
        claims.append(Claim(draw.choice((1, 1, 2, 3, 5)), floor, ceiling))
    return draw.randrange(0, 150), claims


@pytest.mark.parametrize("block", range(4))
def test_filling_is_the_exact_weighted_max_min(block):
    judged = 0
    for seed in range(block * 50, block * 50 + 50):
        total, claims = drawn(random.Random(seed))
        got = fill(total, claims)
        assert sum(got) <= total + 1e-6
        assert all(-1e-9 <= part <= one.ceiling + 1e-9 for part, one in zip(got, claims, strict=True))
        want = exact(total, claims)
        if want is not None and sum(one.ceiling for one in claims) > total:
            judged += 1
            assert got == pytest.approx(want, abs=1e-5), (seed, total, claims)
    assert judged > 15


def scene(seed):
    draw = random.Random(seed)
    tenants = {
        f"t{i}": Tenant(
            Claim(draw.choice((1, 2, 3, 5)), draw.choice((0, 5, 20)), draw.choice((math.inf, 60, 120))),
            draw.choice((0, 0, 1)),
            draw.choice((math.inf, 12, 40)),
        )
        for i in range(draw.randrange(1, 5))
    }
    needs = {
        (name, f"p{j:02d}"): draw.choice((0, 1, 3, 10, 40))
        for name in tenants
        for j in range(draw.randrange(1, 12))
    }
    return draw.randrange(20, 400), tenants, needs


@pytest.mark.parametrize("seed", range(60))
def test_whole_parts_keep_the_budget_and_are_within_one_of_the_exact_ones(seed):
    budget, tenants, needs = scene(seed)
    told = split("s0", budget, tenants, needs)
    assert sum(told.values()) <= budget and min(told.values()) >= 0
    names = sorted(tenants)
    bounds = {
        name: {
            proxy: min(max(need, tenants[name].router_floor), tenants[name].router_ceiling)
            for (of, proxy), need in sorted(needs.items())
            if of == name
        }
        for name in names
    }
    claims = []
    for name in names:
        could, claim = sum(bounds[name].values()), tenants[name].claim
        claims.append(Claim(claim.weight, min(claim.floor, could), min(claim.ceiling, could)))
    for name, share in zip(names, fill(budget, claims), strict=True):
        total = sum(count for (of, _), count in told.items() if of == name)
        assert abs(total - share) < 1.0
        parts = fill(total, [Claim(1.0, tenants[name].router_floor, most) for most in bounds[name].values()])
        for proxy, part in zip(bounds[name], parts, strict=True):
            assert abs(told[name, proxy] - part) < 1.0


@pytest.mark.parametrize("seed", range(30))
def test_the_same_needs_move_nothing_and_a_small_change_moves_little(seed):
    budget, tenants, needs = scene(seed)
    told = split("s0", budget, tenants, needs)
    assert split("s0", budget, tenants, needs, told) == told
    draw = random.Random(seed)
    changed = dict(needs)
    changed[draw.choice(list(needs))] += 1
    after = split("s0", budget, tenants, changed, told)
    fresh = split("s0", budget, tenants, changed)
    assert moves(told, after) <= max(2, moves(told, fresh))


def moves(before, after):
    return sum(abs(before[key] - after[key]) for key in before)


def test_floors_that_do_not_fit_are_cut_in_proportion_and_no_need_gets_nothing():
    assert fill(10, [Claim(1, 10, 50), Claim(5, 30, 50)]) == pytest.approx([2.5, 7.5])
    tenants = {"a": Tenant(Claim(1, 20, math.inf)), "b": Tenant(Claim(1, 0, math.inf))}
    assert split("s", 10, tenants, {("a", "p"): 0, ("b", "p"): 30}) == {("a", "p"): 0, ("b", "p"): 10}
