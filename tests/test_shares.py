"""Planned shares: validation of the problem, the solver, and stride scheduling by shares."""

import random
import tomllib
from collections import Counter

import pytest

from leadslip.shares import problem, solve
from leadslip.shares.strides import Strides


def choices(strides, calls, usable=lambda name: True):
    """Counts the calls that each server is chosen for."""
    return Counter(strides.choose(usable) for _ in range(calls))


def test_choices_follow_the_shares_deterministically():
    assert choices(Strides({"a": 0.62, "b": 0.38}), 100) == {"a": 62, "b": 38}
    rng = random.Random(1)
    for n in (1, 2, 3, 10, 100):
        shares = {f"s{i}": rng.random() ** 3 + 1e-3 for i in range(n)}
        total, strides, counts = sum(shares.values()), Strides(shares), Counter()
        max_error = 0.0
        for calls in range(1, 2000):
            counts[strides.choose(lambda name: True)] += 1
            max_error = max(
                max_error, *(abs(counts[name] - calls * share / total) for name, share in shares.items())
            )
        assert max_error <= (1.0 if n <= 2 else 3.0)


def test_frequent_changes_of_shares_do_not_restart_the_sequence():
    strides = Strides({"a": 1.0, "b": 1.0})
    counts = Counter()
    for i in range(1000):
        strides.update({"a": 1.0 + (i % 2) * 0.01, "b": 1.0})
        counts[strides.choose(lambda name: True)] += 1
    assert abs(counts["a"] - counts["b"]) <= 6
    strides.update({"a": 1.0, "b": 1.0, "c": 2.0})
    assert abs(choices(strides, 40)["c"] - 20) <= 1, "a new server gets its share and no more"
    strides.update({"a": 1.0, "b": 0.0})
    assert choices(strides, 10) == {"a": 10}


def test_a_server_that_was_unusable_does_not_catch_up_on_missed_calls():
    strides = Strides({"a": 0.5, "b": 0.5})
    assert choices(strides, 1000, lambda name: name == "a") == {"a": 1000}
    choices_after = choices(strides, 20)
    assert abs(choices_after["b"] - 10) <= 1
    assert strides.choose(lambda name: False) is None and abs(choices(strides, 20)["a"] - 10) <= 1
    assert Strides({}).choose(lambda name: True) is None


VALID_PROBLEM = """
shed = true
[[class]]
name = "officer"
worth = 3.0
[[class]]
name = "resident"
worth = 1.0
[[server]]
name = "s1"
capacity = 40.0
highest_use = 0.85
zone = "seoul"
[[server]]
name = "s2"
capacity = 20.0
zone = "busan"
running = false
[[district]]
name = "mapo"
zone = "seoul"
demand = { officer = 2.0, resident = 7.5 }
[[district]]
name = "haeundae"
zone = "busan"
servers = ["s2"]
demand = { resident = 4.0 }
cost = { s2 = 1.5 }
[delay]
seoul = { busan = 24.0 }
"""


def test_a_problem_is_read_with_defaults_and_delays_as_costs():
    parsed = problem.read(tomllib.loads(VALID_PROBLEM))
    assert [server.limit for server in parsed.servers] == [34.0, 0.0]
    first, second = parsed.districts
    assert first.cost == {"s1": 0.0, "s2": 24.0} and second.cost == {"s2": 1.5}
    assert (first.servers, second.servers, parsed.shed, parsed.survive_one) == (
        ("s1", "s2"),
        ("s2",),
        True,
        False,
    )


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("shed = true", "shed = 1", "shed must be true or false"),
        ("shed = true", "sched = true", "sched is unknown"),
        ("worth = 3.0", "worth = 0.0", "class.0.worth must lie"),
        ('name = "resident"', 'name = "officer"', "class.1.name is used twice"),
        ("capacity = 40.0", "", "server.0.capacity is missing"),
        ("highest_use = 0.85", "highest_use = 85", "server.0.highest_use"),
        ("running = false", 'running = "no"', "server.1.running"),
        ('servers = ["s2"]', 'servers = ["s3"]', "district.1.servers names no server"),
        ('servers = ["s2"]', 'servers = ["s1"]', "district.1.cost.s2 is unknown"),
        ("{ resident = 4.0 }", "{ rescue = 4.0 }", "district.1.demand.rescue is unknown"),
        ("seoul = { busan = 24.0 }", "", "district.0.cost.s2 is missing"),
        ("seoul = { busan = 24.0 }", "jeju = { busan = 1.0 }", "delay.jeju is unknown"),
        ("[delay]", "[delay]\nbusan = { seoul = 9.0 }", "differs from"),
        (
            "cost = { s2 = 1.5 }",
            "least = { s2 = 0.9 }\ngreatest = { s2 = 0.5 }",
            "district.1.least.s2 is above",
        ),
        ("capacity = 40.0", "capacity = 40.0\nleast = 0.9\ngreatest = 0.5", "server.0.greatest"),
        ('[[district]]\nname = "mapo"', '[[district]]\nnama = "mapo"', "district.0.nama is unknown"),
    ],
)
def test_an_invalid_problem_raises_an_error_that_names_the_key(old, new, key):
    assert old in VALID_PROBLEM
    with pytest.raises(problem.ProblemError, match=key):
        problem.read(tomllib.loads(VALID_PROBLEM.replace(old, new, 1)))


# The solver.


def problem_of(servers, districts, **options):
    """A problem from (capacity, running) of servers and ({class: rate}, {server: cost}) of districts."""
    document = {"class": [{"name": "o", "worth": 3.0}, {"name": "r", "worth": 1.0}]} | options
    document["server"] = [
        {"name": f"s{i}", "capacity": capacity, "running": running}
        for i, (capacity, running) in enumerate(servers)
    ]
    document["district"] = [
        {"name": f"d{i}", "demand": demand, "servers": list(cost), "cost": cost}
        for i, (demand, cost) in enumerate(districts)
    ]
    return problem.read(document)


def placements(demand, names, capacity):
    """Yields every assignment of a district's calls to its servers within their remaining capacity."""
    if not names:
        yield {}, demand
        return
    first, *rest = names
    for count in range(min(demand, capacity[first]) + 1):
        for assignment, unserved in placements(demand - count, rest, capacity):
            yield {first: count} | assignment, unserved


def exhaustive_optimum(servers, districts):
    """Returns the least worth shed and the least cost with it, by search over all placements of whole calls."""
    limits = {f"s{i}": capacity if running else 0 for i, (capacity, running) in enumerate(servers)}
    best = (float("inf"), float("inf"))

    def search(i, remaining, worth, cost):
        nonlocal best
        if (worth, cost) >= best:
            return
        if i == len(districts):
            best = (worth, cost)
            return
        demand, costs = districts[i]
        for assignment, unserved in placements(sum(demand.values()), list(costs), remaining):
            worth_shed = (
                unserved
                if unserved <= demand.get("r", 0)
                else demand.get("r", 0) + 3 * (unserved - demand.get("r", 0))
            )
            remaining_after = {name: remaining[name] - assignment.get(name, 0) for name in remaining}
            search(
                i + 1,
                remaining_after,
                worth + worth_shed,
                cost + sum(costs[name] * count for name, count in assignment.items()),
            )

    search(0, limits, 0.0, 0.0)
    return best


@pytest.mark.parametrize("seed", range(40))
def test_the_plan_matches_an_exhaustive_search_over_placements(seed):
    rng = random.Random(seed)
    servers = [(rng.randint(1, 4), rng.random() < 0.85) for _ in range(rng.randint(1, 4))]
    names = [f"s{i}" for i in range(len(servers))]
    districts = []
    for _ in range(rng.randint(1, 4)):
        allowed = rng.sample(names, rng.randint(1, len(names)))
        demand = {"o": rng.randint(0, 1), "r": rng.randint(1, 2)}
        districts.append((demand, {name: float(rng.randint(0, 9)) for name in allowed}))
    share_problem = problem_of(servers, districts, shed=True)
    unserved = any(not any(servers[int(name[1:])][1] for name in costs) for _, costs in districts)
    if unserved:
        with pytest.raises(solve.InfeasibleError, match="none of its servers runs"):
            solve.solve(share_problem)
        return
    plan = solve.solve(share_problem)
    worth, cost = exhaustive_optimum(servers, districts)
    assert plan.worth_shed == pytest.approx(worth, abs=1e-5) and plan.cost == pytest.approx(cost, abs=1e-4)
    assert all(use <= 1.0 + 1e-6 for use in plan.use.values())
    assert solve.solve(share_problem).rates == plan.rates
    for district_shares in plan.shares.values():
        assert not district_shares or sum(district_shares.values()) == pytest.approx(1.0)


def test_an_infeasible_problem_names_an_irreducible_set_of_constraints():
    share_problem = problem_of(
        [(5.0, True), (4.0, True)], [({"r": 6.0}, {"s0": 1.0, "s1": 1.0}), ({"r": 5.0}, {"s0": 1.0})]
    )
    with pytest.raises(solve.InfeasibleError) as refused:
        solve.solve(share_problem)
    conflict = refused.value.conflict
    assert any("district d0" in name for name in conflict) and any("server s0" in name for name in conflict)
    model = solve._ShareModel(share_problem).model
    others = {row[0] for row in model.rows if row[0]} - set(conflict)
    assert solve.is_infeasible(model, others)
    assert not any(solve.is_infeasible(model, others | {name}) for name in conflict), (
        "without any one of the named constraints the problem is feasible"
    )


def test_survive_one_leaves_capacity_on_the_other_servers_for_the_calls_of_any_one():
    costs = {"s0": 0.0, "s1": 5.0, "s2": 9.0}
    servers, districts = [(10.0, True)] * 3, [({"r": 18.0}, costs)]
    assert solve.solve(problem_of(servers, districts)).rates["d0"]["s0"] == pytest.approx(10.0)
    rates = solve.solve(problem_of(servers, districts, survive_one=True)).rates["d0"]
    for lost in costs:
        assert sum(10.0 - rate for name, rate in rates.items() if name != lost) >= rates[lost] - 1e-6
    with pytest.raises(solve.InfeasibleError, match="loss of server"):
        solve.solve(problem_of(servers, [({"r": 21.0}, costs)], survive_one=True))
