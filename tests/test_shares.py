"""Planned shares: the problem's checks, and choosing by shares without chance."""

import random
import tomllib
from collections import Counter

import pytest

from leadslip.shares import problem, solve
from leadslip.shares.strides import Strides


def chosen(strides, calls, usable=lambda name: True):
    return Counter(strides.choose(usable) for _ in range(calls))


def test_calls_go_by_share_and_not_by_chance():
    assert chosen(Strides({"a": 0.62, "b": 0.38}), 100) == {"a": 62, "b": 38}
    draw = random.Random(1)
    for n in (1, 2, 3, 10, 100):
        shares = {f"s{i}": draw.random() ** 3 + 1e-3 for i in range(n)}
        whole, strides, counts = sum(shares.values()), Strides(shares), Counter()
        worst = 0.0
        for calls in range(1, 2000):
            counts[strides.choose(lambda name: True)] += 1
            worst = max(worst, *(abs(counts[name] - calls * share / whole) for name, share in shares.items()))
        assert worst <= (1.0 if n <= 2 else 3.0)


def test_a_change_of_shares_neither_owes_nor_starts_anew():
    strides = Strides({"a": 1.0, "b": 1.0})
    counts = Counter()
    for i in range(1000):
        strides.change({"a": 1.0 + (i % 2) * 0.01, "b": 1.0})
        counts[strides.choose(lambda name: True)] += 1
    assert abs(counts["a"] - counts["b"]) <= 6
    strides.change({"a": 1.0, "b": 1.0, "c": 2.0})
    assert abs(chosen(strides, 40)["c"] - 20) <= 1, "a newcomer gets its share and no more"
    strides.change({"a": 1.0, "b": 0.0})
    assert chosen(strides, 10) == {"a": 10}


def test_a_server_that_was_away_is_not_owed_what_it_missed():
    strides = Strides({"a": 0.5, "b": 0.5})
    assert chosen(strides, 1000, lambda name: name == "a") == {"a": 1000}
    back = chosen(strides, 20)
    assert abs(back["b"] - 10) <= 1
    assert strides.choose(lambda name: False) is None and abs(chosen(strides, 20)["a"] - 10) <= 1
    assert Strides({}).choose(lambda name: True) is None


GOOD = """
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


def test_a_problem_is_read_whole():
    told = problem.read(tomllib.loads(GOOD))
    assert [server.limit for server in told.servers] == [34.0, 0.0]
    first, second = told.districts
    assert first.cost == {"s1": 0.0, "s2": 24.0} and second.cost == {"s2": 1.5}
    assert (first.servers, second.servers, told.shed, told.survive_one) == (
        ("s1", "s2"),
        ("s2",),
        True,
        False,
    )


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("shed = true", "shed = 1", "shed is neither"),
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
def test_what_is_wrong_is_named(old, new, key):
    assert old in GOOD
    with pytest.raises(problem.ProblemError, match=key):
        problem.read(tomllib.loads(GOOD.replace(old, new, 1)))


# The solver.


def made(servers, districts, **more):
    """A problem from (capacity, running) of servers and ({class: rate}, {server: cost}) of districts."""
    told = {"class": [{"name": "o", "worth": 3.0}, {"name": "r", "worth": 1.0}]} | more
    told["server"] = [{"name": f"s{i}", "capacity": c, "running": up} for i, (c, up) in enumerate(servers)]
    told["district"] = [
        {"name": f"d{i}", "demand": demand, "servers": list(cost), "cost": cost}
        for i, (demand, cost) in enumerate(districts)
    ]
    return problem.read(told)


def placements(demand, names, room):
    """Every way to give whole calls of one district to its servers within what they have left."""
    if not names:
        yield {}, demand
        return
    first, *rest = names
    for calls in range(min(demand, room[first]) + 1):
        for told, left in placements(demand - calls, rest, room):
            yield {first: calls} | told, left


def brute(servers, districts):
    """The least worth shed and then the least cost, by a search over all placements of whole calls."""
    limits = {f"s{i}": c if up else 0 for i, (c, up) in enumerate(servers)}
    best = (float("inf"), float("inf"))

    def search(i, room, worth, cost):
        nonlocal best
        if (worth, cost) >= best:
            return
        if i == len(districts):
            best = (worth, cost)
            return
        demand, costs = districts[i]
        for told, left in placements(sum(demand.values()), list(costs), room):
            lost = (
                left if left <= demand.get("r", 0) else demand.get("r", 0) + 3 * (left - demand.get("r", 0))
            )
            after = {name: room[name] - told.get(name, 0) for name in room}
            search(i + 1, after, worth + lost, cost + sum(costs[name] * n for name, n in told.items()))

    search(0, limits, 0.0, 0.0)
    return best


@pytest.mark.parametrize("seed", range(40))
def test_the_plan_is_that_of_a_search_over_all_placements(seed):
    draw = random.Random(seed)
    servers = [(draw.randint(1, 4), draw.random() < 0.85) for _ in range(draw.randint(1, 4))]
    names = [f"s{i}" for i in range(len(servers))]
    districts = []
    for _ in range(draw.randint(1, 4)):
        allowed = draw.sample(names, draw.randint(1, len(names)))
        demand = {"o": draw.randint(0, 1), "r": draw.randint(1, 2)}
        districts.append((demand, {name: float(draw.randint(0, 9)) for name in allowed}))
    posed = made(servers, districts, shed=True)
    dead = any(not any(servers[int(name[1:])][1] for name in costs) for _, costs in districts)
    if dead:
        with pytest.raises(solve.RefusedError, match="none of its servers runs"):
            solve.solve(posed)
        return
    plan = solve.solve(posed)
    worth, cost = brute(servers, districts)
    assert plan.worth_shed == pytest.approx(worth, abs=1e-5) and plan.cost == pytest.approx(cost, abs=1e-4)
    assert all(use <= 1.0 + 1e-6 for use in plan.use.values())
    assert solve.solve(posed).rates == plan.rates
    for told in plan.shares.values():
        assert not told or sum(told.values()) == pytest.approx(1.0)


def test_a_conflict_is_named_and_irreducible():
    posed = made(
        [(5.0, True), (4.0, True)], [({"r": 6.0}, {"s0": 1.0, "s1": 1.0}), ({"r": 5.0}, {"s0": 1.0})]
    )
    with pytest.raises(solve.RefusedError) as refused:
        solve.solve(posed)
    found = refused.value.conflict
    assert any("district d0" in name for name in found) and any("server s0" in name for name in found)
    model = solve._Built(posed).model
    others = {row[0] for row in model.rows if row[0]} - set(found)
    assert solve.infeasible(model, others)
    assert not any(solve.infeasible(model, others | {name}) for name in found), (
        "without any one of them it fits"
    )


def test_a_plan_that_survives_the_loss_of_any_server_leaves_room_for_it():
    every = {"s0": 0.0, "s1": 5.0, "s2": 9.0}
    servers, districts = [(10.0, True)] * 3, [({"r": 18.0}, every)]
    assert solve.solve(made(servers, districts)).rates["d0"]["s0"] == pytest.approx(10.0)
    rates = solve.solve(made(servers, districts, survive_one=True)).rates["d0"]
    for gone in every:
        assert sum(10.0 - rate for name, rate in rates.items() if name != gone) >= rates[gone] - 1e-6
    with pytest.raises(solve.RefusedError, match="loss of server"):
        solve.solve(made(servers, [({"r": 21.0}, every)], survive_one=True))
