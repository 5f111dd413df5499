"""Traffic as measured, the busy hour, sizes, reservation and plans."""

import itertools
import math
import random
from types import SimpleNamespace

import pytest

from leadslip import interface as face
from leadslip.checks import Tally
from leadslip.filters import Chain
from leadslip.logs import silent
from leadslip.parts.trunks.settings import TrunkGroup
from leadslip.trunks import busyhour, losses, plan, sizing
from leadslip.trunks.reservation import Reservation, advised
from leadslip.trunks.traffic import MOST_CELLS, Interval, Traffic, rolled

T0 = 1_764_547_200_000.0  # midnight UTC


def request(destination=0, kind="plain", number="1", redialled=False, lines=1.0):
    told = SimpleNamespace(destination=destination, call_class=kind, number=number, redialled=redialled)
    told.lines, told.passed, told.valid_until_ms = lines, (), math.inf
    return told


def call(traffic, asked, from_ms, to_ms):
    traffic.request_answered(asked, "stands", T0 + from_ms)
    return lambda: traffic.attempt_ended(
        SimpleNamespace(request=asked, stands=True, sent_ms=T0 + from_ms), face.Outcome.SERVED, T0 + to_ms
    )


# Traffic.


def measured():
    kept, missed = [], []
    traffic = Traffic(T0, kept.extend, lambda *span: missed.append(span), 60, {0: "north", 1: "north"})
    return traffic, kept, missed


def test_carried_load_is_the_integral_across_intervals():
    traffic, kept, _ = measured()
    first = call(traffic, request(0), 30_000, 90_000)
    second = call(traffic, request(1), 45_000, 61_000)
    traffic.roll(T0 + 60_000)
    second()
    first()
    traffic.roll(T0 + 120_000)
    (one, two) = kept
    assert (one.group, one.stood, one.peak, one.held, one.erlangs) == ("north", 2, 2, 0, 0.75)
    assert (two.held, two.peak, two.erlang_s, two.held_s) == (2, 2, 31.0, 76.0)
    (whole,) = rolled(kept, 900)
    assert (whole.span_s, whole.covered_s, whole.erlang_s, whole.peak) == (900, 120.0, 76.0, 2)


def test_a_late_roll_divides_what_stood_among_its_intervals_and_a_leap_is_a_gap():
    traffic, kept, missed = measured()
    call(traffic, request(), 0, 0)
    traffic.roll(T0 + 150_000)
    assert [one.erlangs for one in kept] == [1.0, 1.0] and not missed
    traffic.roll(T0 + 90_000)  # a clock that goes back
    traffic.roll(T0 + 3_600_000)
    assert [round(end - begun) for begun, end in missed] == [3_600_000 - 120_001]
    traffic.roll(T0 + 3_660_000)
    assert kept[-1].erlangs == 1.0 and kept[-1].covered_s == 60.0
    hours = rolled(kept, 3600)
    assert hours[0].covered_s < 121.0, "the gap is not counted as silence"


def test_ends_of_calls_from_before_and_strange_destinations_cost_nothing():
    traffic, kept, _ = measured()
    attempt = SimpleNamespace(request=request(9), stands=True, sent_ms=T0)
    traffic.attempt_ended(attempt, face.Outcome.CUT, T0 + 5.0)
    traffic.attempt_ended(SimpleNamespace(stands=False), face.Outcome.CUT, T0 + 5.0)
    for i in range(3 * MOST_CELLS):
        traffic.request_answered(request(1000 + i), "refused", T0 + 6.0)
    assert len(traffic.cells) <= MOST_CELLS + 1 and len(traffic.by_destination) <= 2 * MOST_CELLS
    traffic.roll(T0 + 60_000)
    assert sum(one.refused for one in kept) == 3 * MOST_CELLS


def test_repeats_found_by_chance_are_taken_off():
    traffic, kept, _ = measured()
    draw = random.Random(3)
    # 40 numbers are called at random and nobody redials: most refused numbers are called again all the same.
    for i in range(40_000):
        traffic.request_answered(request(number=str(draw.randrange(4000))), "refused", T0 + i * 50.0)
    traffic.close(T0 + 2_000_000.0)
    (whole,) = rolled(kept, 86_400)
    assert whole.found / whole.sampled > 0.2 and whole.persistence < 0.03


def test_a_repeat_that_is_marked_is_not_taken_for_anothers():
    traffic, kept, _ = measured()
    for i in range(200):
        traffic.request_answered(request(number=str(i)), "refused", T0 + i)
        traffic.request_answered(request(number=str(i), redialled=True), "stands", T0 + i + 0.5)
    traffic.close(T0 + 60_000.0)
    assert (kept[0].fresh, kept[0].marked, kept[0].found, kept[0].first_tries) == (200, 200, 0, 200.0)


# The busy hour.


def quarter(at_s, load, covered=900.0):
    """A quarter hour in which so much was offered, each call of 90 s."""
    stood = round(load * covered / 90.0)
    told = Interval(
        at_s, 900, "north", "", covered, fresh=stood, stood=stood, held=stood, held_s=90.0 * stood
    )
    told.held_sq, told.erlang_s = 2.0 * 8100.0 * stood, load * covered
    return told


def days(count, shape, start=1_764_547_200):
    return [quarter(start + day * 86_400 + q * 900, shape(day, q)) for day in range(count) for q in range(96)]


def test_the_two_busy_hours_differ_where_each_day_has_its_own():
    def shape(day, q):
        return 20.0 if 40 + 4 * (day % 5) <= q < 44 + 4 * (day % 5) else (12.0 if 32 <= q < 36 else 5.0)

    tcbh = busyhour.busy_hour(days(5, shape))
    adph = busyhour.busy_hour(days(5, shape), "adph")
    assert tcbh.starts_s == 32 * 900 and tcbh.load == pytest.approx(12.0)
    assert adph.starts_s is None and adph.load == pytest.approx(20.0) and adph.days == 5


def test_a_surge_is_told_apart_and_ranks_are_those_of_e500():
    told = days(10, lambda day, q: (60.0 if day == 6 else 10.0 + day) if 50 <= q < 54 else 2.0)
    found = busyhour.busy_hour(told)
    assert [start for start, _ in found.surges] == [1_764_547_200 + 6 * 86_400]
    assert (found.normal, found.high) == (pytest.approx(15.0), pytest.approx(18.0)) and found.days == 9
    assert found.load == pytest.approx((sum(range(10, 20)) - 16) / 9)


def test_gaps_are_named_and_not_taken_for_quiet():
    told = days(3, lambda day, q: 20.0 if 50 <= q < 54 else 2.0)
    # The busy hour of the second day was measured for a third only, and its evening not at all.
    for q in range(50, 54):
        told[96 + q] = quarter(told[96 + q].start_s, 20.0, 300.0)
    told = [one for i, one in enumerate(told) if not 96 + 80 <= i < 96 + 90]
    found = busyhour.busy_hour(told)
    second = 1_764_547_200 + 86_400
    assert found.gaps == ((second + 50 * 900, 3600), (second + 80 * 900, 9000))
    assert found.load == pytest.approx(20.0) and found.days == 2
    assert busyhour.busy_hour([quarter(0, 5.0)]) is None


# Sizes.


def test_a_size_keeps_the_grade_of_service_and_small_groups_show_what_one_trunk_does():
    found = sizing.size(10.0, 0.01)
    assert found.trunks == 18 and found.blocking <= 0.01 < found.blocking_one_less
    assert sizing.size(10.0, 0.01, module=30).trunks == 30
    assert sizing.size(10.0, 0.01, growth=0.2).load == pytest.approx(12.0)
    assert sizing.size(10.0, 0.01, peakedness=2.0).trunks > found.trunks
    small = sizing.size(0.01, 0.01)
    assert (small.trunks, small.blocking_one_less) == (1, 1.0) and small.blocking_one_more < 1e-4


def test_confidence_limits_cover_the_load_as_often_as_they_say():
    draw, covered, runs = random.Random(7), 0, 400
    for _ in range(runs):
        holds = [draw.expovariate(1.0 / 90.0) for _ in range(_poisson(draw, 40.0))]
        n = len(holds)
        load = sum(holds) / 3600.0  # truth: 40 calls of 90 s in an hour, one erlang
        mean = sum(holds) / n
        variation = sum((one - mean) ** 2 for one in holds) / n / mean**2
        low, high = sizing.measured_bounds(load, n, variation)
        covered += low <= 1.0 <= high
    assert 0.92 <= covered / runs <= 0.98
    few = sizing.measured_bounds(1.0, 3, 0.0)
    # The exact Poisson limits for three events are 0.6187 and 8.7673.
    assert few == (pytest.approx(0.6187 / 3, rel=0.03), pytest.approx(8.7673 / 3, rel=0.01))
    assert sizing.measured_bounds(0.0, 0)[1] == math.inf


def _poisson(draw, mean):
    count, left = 0, draw.expovariate(1.0)
    while left < mean:
        count, left = count + 1, left + draw.expovariate(1.0)
    return count


def test_groups_with_overflow_cost_the_least_of_all_sizes():
    groups = [sizing.Group("a", 6.0, 1.0), sizing.Group("b", 3.0, 0.7)]
    final = sizing.Final("f", 1.0, 1.6)
    found = sizing.network(groups, final, 0.01)

    def cost(a, b):
        flows = [losses.overflow(a, 6.0) if a else (6.0, 6.0), losses.overflow(b, 3.0) if b else (3.0, 3.0)]
        mean, variance = 1.0 + flows[0][0] + flows[1][0], 1.0 + flows[0][1] + flows[1][1]
        return a + 0.7 * b + 1.6 * losses.trunks_for_overflow(mean, variance, 0.01)

    assert found.cost == pytest.approx(min(cost(a, b) for a, b in itertools.product(range(16), range(12))))
    assert found.blocking <= 0.01 and found.loss["a"] < 0.01


def test_reservation_is_the_birth_death_chain():
    n, spared, others, level = 7, 2.0, 4.0, 2
    weights = [1.0]
    for busy in range(n):
        weights.append(weights[-1] * (spared + (others if n - busy > level else 0.0)) / (busy + 1))
    chances = [weight / sum(weights) for weight in weights]
    found = sizing.reservation(n, spared, others, level)
    assert found.spared_blocking == pytest.approx(chances[-1])
    assert found.others_blocking == pytest.approx(sum(chances[n - level :]))
    assert sizing.reservation(30, 5.0, 25.0, 0).others_blocking == pytest.approx(losses.erlang_b(30, 30.0))
    levels = sizing.levels(30, 5.0, 25.0, 0.001)
    assert levels[-1].spared_blocking <= 0.001 < levels[-2].spared_blocking
    assert [one.others_blocking for one in levels] == sorted(one.others_blocking for one in levels)
    huge = sizing.reservation(100_000, 1e5, 1e5, 50)
    assert 0.0 < huge.spared_blocking < huge.others_blocking <= 1.0


# The live limit.

NORTH = TrunkGroup("north", (0, 1), 4.0, {"resident": 2.0, "officer": 0.0})


def test_residents_are_refused_at_the_reserve_and_officers_are_not():
    tally = Tally()
    held = Reservation((NORTH,))
    chain = Chain(tally, silent, [held])
    admitted = [request(0, "resident") for _ in range(2)]
    assert [chain.admit(one, T0) for one in admitted] == [None, None]
    assert chain.admit(request(1, "resident"), T0) is not None, "two are left, and both are reserved"
    officers = [request(1, "officer") for _ in range(2)]
    assert [chain.admit(one, T0) for one in officers] == [None, None]
    assert chain.admit(request(1, "officer"), T0) is not None and held.free("north") == 0.0
    assert chain.admit(request(5, "resident"), T0) is None, "of no group"
    assert tally.counts["filters.reservation.refused"] == 2
    chain.stood(admitted[0], T0 + 50)
    chain.ended(admitted[0], T0 + 8050.0)
    chain.ended(admitted[1], T0 + 60.0)
    chain.ended(admitted[1], T0 + 60.0)
    assert held.free("north") == 2.0
    pause = chain.admit(request(0, "resident"), T0 + 9000.0).pause_ms
    assert pause == pytest.approx(4000.0), "two calls of 8 s each: one is likely over in 4 s"


def test_a_reload_keeps_what_stands_though_a_group_shrinks_or_goes():
    before = Reservation((NORTH,))
    chain = Chain(Tally(), silent, [before])
    calls = [request(0, "officer") for _ in range(4)]
    for one in calls:
        assert chain.admit(one, T0) is None
    after = Reservation((TrunkGroup("north", (0,), 2.0, {}), TrunkGroup("south", (1,), 1.0, {})), before)
    chain.replace([after])
    assert after.free("north") == -2.0 and chain.admit(request(0, "officer"), T0) is not None
    for one in calls:
        chain.ended(one, T0)
    assert after.free("north") == 2.0 and chain.admit(request(0, "officer"), T0) is None
    levels = advised(NORTH, {"resident": 2.0, "officer": 1.0}, "officer", 0.001)
    assert levels[-1].level > 0


# Plans.


def solved(text):
    import tomllib

    return {one.name: one for one in plan.solve(plan.read(tomllib.loads(text)))}


def test_a_plan_sizes_groups_alone_and_together():
    found = solved(
        'blocking = 0.01\ngrowth = 0.5\n[[group]]\nname = "alone"\nload = 10\nmodule = 10\ntrunks = 40\n'
        '[[group]]\nname = "high"\nload = 20\noverflow = "last"\n'
        '[[group]]\nname = "last"\ncost = 1.4\nload = 2\n'
        '[[group]]\nname = "two"\nspared = "o"\n[group.classes]\no = 3\nr = 7\n'
    )
    assert (found["alone"].trunks, found["alone"].more, found["alone"].load) == (30, -10, 15.0)
    assert (found["high"].role, found["last"].role) == ("high-usage", "final")
    assert found["high"].blocking > 0.01 >= found["last"].blocking
    assert found["two"].load == 15.0 and found["two"].levels[-1].spared_blocking <= 0.001


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("", "group is missing"),
        ("blocking = 2\n[[group]]\nname='a'\nload=1", "blocking must lie"),
        ("[[group]]\nload=1", "group.0.name is missing"),
        ("[[group]]\nname='a'", "group.0.load is missing"),
        ("[[group]]\nname='a'\nload=-1", "group.0.load must lie"),
        ("[[group]]\nname='a'\nload=1\nmodul=2", "group.0.modul is unknown"),
        ("[[group]]\nname='a'\nload=1\n[[group]]\nname='a'\nload=1", "group.1.name is used twice"),
        ("[[group]]\nname='a'\nload=1\noverflow='b'", "group.0.overflow names no final group"),
        ("[[group]]\nname='a'\nload=1\noverflow='a'", "group.0.overflow names no final group"),
        ("[[group]]\nname='a'\nmeasured='a'", "group.0.measured needs a store"),
        ("[[group]]\nname='a'\nload=1\nspared='o'", "group.0.spared names no class"),
        ("[[group]]\nname='a'\nload=9e4\ngrowth=1", "group.0.load is above"),
    ],
)
def test_a_plan_that_makes_no_sense_names_its_key(text, key):
    with pytest.raises(plan.PlanError, match=key):
        solved(text)
