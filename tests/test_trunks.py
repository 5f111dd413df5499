"""Traffic measurement, the busy hour, dimensioning, trunk reservation and dimensioning plans of trunk groups."""

import itertools
import math
import random
from types import SimpleNamespace

import pytest

from leadslip import interface
from leadslip.filters import Chain
from leadslip.logs import discard
from leadslip.metrics import Metrics
from leadslip.parts.trunks.settings import TrunkGroup
from leadslip.trunks import busyhour, losses, plan, sizing
from leadslip.trunks.reservation import Reservation, recommended_levels
from leadslip.trunks.traffic import MAX_CELLS, Interval, Traffic, aggregate

T0 = 1_764_547_200_000.0  # Unix ms of a midnight UTC


def request(destination=0, call_class="plain", number="1", redialled=False, lines=1.0):
    stand_in = SimpleNamespace(
        destination=destination, call_class=call_class, number_called=number, redialled=redialled
    )
    stand_in.lines, stand_in.admitted_by, stand_in.valid_until_ms = lines, (), math.inf
    return stand_in


def call(traffic, call_request, from_ms, to_ms):
    """Establishes a call at from_ms after T0; returns a function that ends it, at to_ms after T0."""
    traffic.request_answered(call_request, "stands", T0 + from_ms)
    return lambda: traffic.attempt_ended(
        SimpleNamespace(request=call_request, established=True, sent_ms=T0 + from_ms),
        interface.Outcome.SERVED,
        T0 + to_ms,
    )


# Traffic.


def measured_traffic():
    """Returns an observer with destinations 0 and 1 in one group, and the lists of its intervals and gaps."""
    intervals, gaps = [], []
    traffic = Traffic(T0, intervals.extend, lambda *span: gaps.append(span), 60, {0: "north", 1: "north"})
    return traffic, intervals, gaps


def test_carried_load_is_the_integral_across_intervals():
    traffic, intervals, _ = measured_traffic()
    first = call(traffic, request(0), 30_000, 90_000)
    second = call(traffic, request(1), 45_000, 61_000)
    traffic.finish_intervals(T0 + 60_000)
    second()
    first()
    traffic.finish_intervals(T0 + 120_000)
    (first_interval, second_interval) = intervals
    assert (
        first_interval.group,
        first_interval.stood,
        first_interval.peak,
        first_interval.held,
        first_interval.erlangs,
    ) == ("north", 2, 2, 0, 0.75)
    assert (second_interval.held, second_interval.peak, second_interval.erlang_s, second_interval.held_s) == (
        2,
        2,
        31.0,
        76.0,
    )
    (total,) = aggregate(intervals, 900)
    assert (total.span_s, total.covered_s, total.erlang_s, total.peak) == (900, 120.0, 76.0, 2)


def test_a_late_finish_splits_carried_load_by_interval_and_a_clock_jump_is_a_gap():
    traffic, intervals, gaps = measured_traffic()
    call(traffic, request(), 0, 0)
    traffic.finish_intervals(T0 + 150_000)
    assert [interval.erlangs for interval in intervals] == [1.0, 1.0] and not gaps
    traffic.finish_intervals(T0 + 90_000)  # the clock goes back
    traffic.finish_intervals(T0 + 3_600_000)
    assert [round(end - start) for start, end in gaps] == [3_600_000 - 120_001]
    traffic.finish_intervals(T0 + 3_660_000)
    assert intervals[-1].erlangs == 1.0 and intervals[-1].covered_s == 60.0
    hours = aggregate(intervals, 3600)
    assert hours[0].covered_s < 121.0, "the gap does not count as covered time"


def test_ends_of_uncounted_calls_are_ignored_and_the_number_of_cells_is_bounded():
    traffic, intervals, _ = measured_traffic()
    attempt = SimpleNamespace(request=request(9), established=True, sent_ms=T0)
    traffic.attempt_ended(attempt, interface.Outcome.CUT, T0 + 5.0)
    traffic.attempt_ended(SimpleNamespace(established=False), interface.Outcome.CUT, T0 + 5.0)
    for i in range(3 * MAX_CELLS):
        traffic.request_answered(request(1000 + i), "refused", T0 + 6.0)
    assert len(traffic.cells) <= MAX_CELLS + 1 and len(traffic.by_destination) <= 2 * MAX_CELLS
    traffic.finish_intervals(T0 + 60_000)
    assert sum(interval.refused for interval in intervals) == 3 * MAX_CELLS


def test_persistence_excludes_calls_to_the_same_number_by_chance():
    traffic, intervals, _ = measured_traffic()
    rng = random.Random(3)
    # 4000 numbers are called at random and nobody redials: many refused numbers are called again by chance.
    for i in range(40_000):
        traffic.request_answered(request(number=str(rng.randrange(4000))), "refused", T0 + i * 50.0)
    traffic.close(T0 + 2_000_000.0)
    (total,) = aggregate(intervals, 86_400)
    assert total.found / total.sampled > 0.2 and total.persistence < 0.03


def test_a_marked_repeat_is_not_counted_as_an_unmarked_one_as_well():
    traffic, intervals, _ = measured_traffic()
    for i in range(200):
        traffic.request_answered(request(number=str(i)), "refused", T0 + i)
        traffic.request_answered(request(number=str(i), redialled=True), "stands", T0 + i + 0.5)
    traffic.close(T0 + 60_000.0)
    assert (intervals[0].fresh, intervals[0].marked, intervals[0].found, intervals[0].first_attempts) == (
        200,
        200,
        0,
        200.0,
    )


# The busy hour.


def quarter(start_s, load, covered=900.0):
    """A quarter hour with this offered load, in calls of 90 s, of which `covered` seconds were measured."""
    calls = round(load * covered / 90.0)
    interval = Interval(
        start_s, 900, "north", "", covered, fresh=calls, stood=calls, held=calls, held_s=90.0 * calls
    )
    interval.held_sq, interval.erlang_s = 2.0 * 8100.0 * calls, load * covered
    return interval


def days(count, shape, start=1_764_547_200):
    """The quarter hours of some days; shape(day, quarter of the day) is the load."""
    return [quarter(start + day * 86_400 + q * 900, shape(day, q)) for day in range(count) for q in range(96)]


def test_tcbh_and_adph_differ_when_each_day_has_its_own_peak():
    def shape(day, q):
        return 20.0 if 40 + 4 * (day % 5) <= q < 44 + 4 * (day % 5) else (12.0 if 32 <= q < 36 else 5.0)

    tcbh = busyhour.busy_hour(days(5, shape))
    adph = busyhour.busy_hour(days(5, shape), "adph")
    assert tcbh.starts_s == 32 * 900 and tcbh.load == pytest.approx(12.0)
    assert adph.starts_s is None and adph.load == pytest.approx(20.0) and adph.days == 5


def test_a_day_with_a_surge_is_left_out_of_the_load_and_of_the_e500_normal_and_high_load():
    quarters = days(10, lambda day, q: (60.0 if day == 6 else 10.0 + day) if 50 <= q < 54 else 2.0)
    busy_hour = busyhour.busy_hour(quarters)
    assert [start for start, _ in busy_hour.surges] == [1_764_547_200 + 6 * 86_400]
    assert (busy_hour.normal, busy_hour.high) == (
        pytest.approx(15.0),
        pytest.approx(18.0),
    ) and busy_hour.days == 9
    assert busy_hour.load == pytest.approx((sum(range(10, 20)) - 16) / 9)


def test_gaps_are_reported_and_do_not_count_as_low_load():
    quarters = days(3, lambda day, q: 20.0 if 50 <= q < 54 else 2.0)
    # On the second day a third of the busy hour is measured, and nothing in the evening.
    for q in range(50, 54):
        quarters[96 + q] = quarter(quarters[96 + q].start_s, 20.0, 300.0)
    quarters = [interval for i, interval in enumerate(quarters) if not 96 + 80 <= i < 96 + 90]
    busy_hour = busyhour.busy_hour(quarters)
    second_day_s = 1_764_547_200 + 86_400
    assert busy_hour.gaps == ((second_day_s + 50 * 900, 3600), (second_day_s + 80 * 900, 9000))
    assert busy_hour.load == pytest.approx(20.0) and busy_hour.days == 2
    assert busyhour.busy_hour([quarter(0, 5.0)]) is None


# Dimensioning.


def test_a_size_meets_the_grade_of_service_and_shows_the_effect_of_one_trunk():
    size = sizing.size(10.0, 0.01)
    assert size.trunks == 18 and size.blocking <= 0.01 < size.blocking_one_less
    assert sizing.size(10.0, 0.01, module=30).trunks == 30
    assert sizing.size(10.0, 0.01, growth=0.2).load == pytest.approx(12.0)
    assert sizing.size(10.0, 0.01, peakedness=2.0).trunks > size.trunks
    small = sizing.size(0.01, 0.01)
    assert (small.trunks, small.blocking_one_less) == (1, 1.0) and small.blocking_one_more < 1e-4


def test_95_percent_confidence_limits_contain_the_true_load_in_about_95_percent_of_runs():
    rng, covered, runs = random.Random(7), 0, 400
    for _ in range(runs):
        holds = [rng.expovariate(1.0 / 90.0) for _ in range(_poisson(rng, 40.0))]
        n = len(holds)
        load = sum(holds) / 3600.0  # expected: 40 calls of 90 s in an hour, one erlang
        mean = sum(holds) / n
        variation = sum((hold - mean) ** 2 for hold in holds) / n / mean**2
        low, high = sizing.measured_bounds(load, n, variation)
        covered += low <= 1.0 <= high
    assert 0.92 <= covered / runs <= 0.98
    few = sizing.measured_bounds(1.0, 3, 0.0)
    # The exact Poisson limits for three events are 0.6187 and 8.7673.
    assert few == (pytest.approx(0.6187 / 3, rel=0.03), pytest.approx(8.7673 / 3, rel=0.01))
    assert sizing.measured_bounds(0.0, 0)[1] == math.inf


def _poisson(rng, mean):
    """Returns a Poisson random number."""
    count, elapsed = 0, rng.expovariate(1.0)
    while elapsed < mean:
        count, elapsed = count + 1, elapsed + rng.expovariate(1.0)
    return count


def test_the_size_of_a_network_with_overflow_has_the_lowest_cost_of_all_combinations():
    groups = [sizing.HighUsageGroup("a", 6.0, 1.0), sizing.HighUsageGroup("b", 3.0, 0.7)]
    final = sizing.FinalGroup("f", 1.0, 1.6)
    network = sizing.size_network(groups, final, 0.01)

    def cost(a, b):
        flows = [losses.overflow(a, 6.0) if a else (6.0, 6.0), losses.overflow(b, 3.0) if b else (3.0, 3.0)]
        mean, variance = 1.0 + flows[0][0] + flows[1][0], 1.0 + flows[0][1] + flows[1][1]
        return a + 0.7 * b + 1.6 * losses.trunks_for_overflow(mean, variance, 0.01)

    assert network.cost == pytest.approx(min(cost(a, b) for a, b in itertools.product(range(16), range(12))))
    assert network.blocking <= 0.01 and network.loss["a"] < 0.01


def test_reservation_matches_the_birth_death_chain():
    n, spared, others, level = 7, 2.0, 4.0, 2
    weights = [1.0]
    for busy in range(n):
        weights.append(weights[-1] * (spared + (others if n - busy > level else 0.0)) / (busy + 1))
    probabilities = [weight / sum(weights) for weight in weights]
    reserved = sizing.reservation(n, spared, others, level)
    assert reserved.spared_blocking == pytest.approx(probabilities[-1])
    assert reserved.others_blocking == pytest.approx(sum(probabilities[n - level :]))
    assert sizing.reservation(30, 5.0, 25.0, 0).others_blocking == pytest.approx(losses.erlang_b(30, 30.0))
    levels = sizing.levels(30, 5.0, 25.0, 0.001)
    assert levels[-1].spared_blocking <= 0.001 < levels[-2].spared_blocking
    assert [reserved_level.others_blocking for reserved_level in levels] == sorted(
        reserved_level.others_blocking for reserved_level in levels
    )
    huge = sizing.reservation(100_000, 1e5, 1e5, 50)
    assert 0.0 < huge.spared_blocking < huge.others_blocking <= 1.0


# Trunk reservation for live calls.

NORTH = TrunkGroup("north", (0, 1), 4.0, {"resident": 2.0, "officer": 0.0})


def test_a_class_with_a_reserve_is_refused_when_few_trunks_are_free_and_others_are_not():
    metrics = Metrics()
    reservation = Reservation((NORTH,))
    chain = Chain(metrics, discard, [reservation])
    admitted = [request(0, "resident") for _ in range(2)]
    assert [chain.admit(offered, T0) for offered in admitted] == [None, None]
    assert chain.admit(request(1, "resident"), T0) is not None, "two trunks are free, and both are reserved"
    officers = [request(1, "officer") for _ in range(2)]
    assert [chain.admit(offered, T0) for offered in officers] == [None, None]
    assert chain.admit(request(1, "officer"), T0) is not None and reservation.free_trunks("north") == 0.0
    assert chain.admit(request(5, "resident"), T0) is None, "its destination is in no group"
    assert metrics.counts["filters.reservation.refused"] == 2
    chain.established(admitted[0], T0 + 50)
    chain.ended(admitted[0], T0 + 8050.0)
    chain.ended(admitted[1], T0 + 60.0)
    chain.ended(admitted[1], T0 + 60.0)
    assert reservation.free_trunks("north") == 2.0
    pause = chain.admit(request(0, "resident"), T0 + 9000.0).pause_ms
    assert pause == pytest.approx(4000.0), "two calls of 8 s each: one is expected to end in 4 s"


def test_established_calls_still_count_after_a_reload_that_makes_their_group_smaller():
    before = Reservation((NORTH,))
    chain = Chain(Metrics(), discard, [before])
    calls = [request(0, "officer") for _ in range(4)]
    for established_call in calls:
        assert chain.admit(established_call, T0) is None
    after = Reservation((TrunkGroup("north", (0,), 2.0, {}), TrunkGroup("south", (1,), 1.0, {})), before)
    chain.replace([after])
    assert after.free_trunks("north") == -2.0 and chain.admit(request(0, "officer"), T0) is not None
    for established_call in calls:
        chain.ended(established_call, T0)
    assert after.free_trunks("north") == 2.0 and chain.admit(request(0, "officer"), T0) is None
    levels = recommended_levels(NORTH, {"resident": 2.0, "officer": 1.0}, "officer", 0.001)
    assert levels[-1].level > 0


# Plans.


def solve_plan(text):
    """Sizes the groups of a plan in TOML; returns them by name."""
    import tomllib

    return {group.name: group for group in plan.solve(plan.read(tomllib.loads(text)))}


def test_a_plan_sizes_single_groups_and_groups_with_overflow():
    groups = solve_plan(
        'blocking = 0.01\ngrowth = 0.5\n[[group]]\nname = "alone"\nload = 10\nmodule = 10\ntrunks = 40\n'
        '[[group]]\nname = "high"\nload = 20\noverflow = "last"\n'
        '[[group]]\nname = "last"\ncost = 1.4\nload = 2\n'
        '[[group]]\nname = "two"\nspared = "o"\n[group.classes]\no = 3\nr = 7\n'
    )
    assert (groups["alone"].trunks, groups["alone"].more, groups["alone"].load) == (30, -10, 15.0)
    assert (groups["high"].role, groups["last"].role) == ("high-usage", "final")
    assert groups["high"].blocking > 0.01 >= groups["last"].blocking
    assert groups["two"].load == 15.0 and groups["two"].levels[-1].spared_blocking <= 0.001


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
def test_an_invalid_plan_raises_an_error_that_names_the_key(text, key):
    with pytest.raises(plan.PlanError, match=key):
        solve_plan(text)
