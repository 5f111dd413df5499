"""Compares the blocking that the real engine meets at a stand-in trunk server, in virtual time, with the formulas.

Independent runs of equal length give independent means. The prediction must lie in their two-sided 99% confidence
interval by Student's t. For small groups the interval must also exclude the predictions for one trunk more and one
fewer. Seeds are fixed, so that the result is reproducible.
"""

from math import sqrt
from random import Random
from statistics import fmean, stdev

import pytest

from leadslip.trunks import losses, redials
from leadslip.trunks.traffic import Traffic, aggregate
from tests.standin_trunks import START_S, Callers, TrunkServer, engine_with_trunks
from tests.standins import Caller, Program

RUNS = 8
T_99 = 3.499  # Student's t, 7 degrees of freedom, two-sided 99%
HOLD_S = 0.25


def confidence_interval(values):
    """Returns the bounds of the 99% confidence interval of the mean of RUNS values."""
    half = T_99 * stdev(values) / sqrt(len(values))
    return fmean(values) - half, fmean(values) + half


def simulate(sizes, load, seed, calls, observer=None, persistence=0.0, marks=False, redial_fraction=0.0):
    """Runs one simulation of about this many calls; returns callers, trunks and the blocking.

    The blocking is the fraction of attempts lost, without the first quarter of them, in which the load builds up.
    `redial_fraction` is the minimum mean time before a redial, as a fraction of the simulated time.
    """
    world, engine, trunks = engine_with_trunks(sizes, HOLD_S, seed, observer)
    callers = Callers(world, engine, load / HOLD_S, seed + 1000)
    callers.persistence, callers.max_redials, callers.marks_redials = persistence, 2, marks
    length_s = calls * HOLD_S / load
    # Much longer than the holding time, as the predictions assume, and much shorter than the run.
    callers.redial_s = max(6.0 * HOLD_S, redial_fraction * length_s)
    callers.start()
    end_s = START_S + length_s
    while world.now_s < end_s:
        step_s = end_s if observer is None else min(end_s, observer.interval_end_ms() / 1000.0)
        world.run(step_s)
        if observer is not None:
            observer.finish_intervals(world.now_ms())
    assert not [name for name in engine.metrics.counts if name.startswith("broken")]
    return callers, trunks, fmean(callers.log[len(callers.log) // 4 :])


@pytest.mark.parametrize(("n", "load"), [(1, 0.3), (2, 1.0), (5, 4.0), (30, 28.0), (120, 118.0)])
def test_measured_blocking_matches_the_prediction(n, load):
    low, high = confidence_interval([simulate([n], load, seed, 4000)[2] for seed in range(RUNS)])
    assert low <= losses.erlang_b(n, load) <= high
    if n <= 5:
        assert high < losses.erlang_b(n - 1, load) and low > losses.erlang_b(n + 1, load)


@pytest.mark.parametrize(("sizes", "load"), [([1, 1], 0.8), ([4, 3], 5.0), ([20, 10], 26.0)])
def test_overflow_to_a_second_server_and_total_loss_match_the_prediction(sizes, load):
    overflowed, lost = [], []
    for seed in range(RUNS):
        callers, trunks, blocking = simulate(sizes, load, seed, 2500)
        overflowed.append((trunks.offered["s1"] + trunks.lost["s1"]) / callers.first)
        lost.append(blocking)
    low, high = confidence_interval(lost)
    assert low <= losses.erlang_b(sum(sizes), load) <= high
    # Of the overflow, the engine sends only as much as finds a trunk free at the second server; it refuses the rest.
    mean, variance = losses.overflow(sizes[0], load)
    sent_fraction = mean * (1.0 - losses.peaked_blocking(sizes[1], mean, variance)) / load
    low, high = confidence_interval(overflowed)
    assert low <= sent_fraction <= high


@pytest.mark.parametrize(("n", "load"), [(1, 0.3), (2, 1.0), (5, 4.0), (30, 28.0), (120, 118.0)])
def test_blocking_with_redials_matches_the_prediction(n, load):
    lost, _ = redials.with_redials(n, load, 0.8, 2)
    runs = [
        simulate([n], load, seed, 3000 if n < 30 else 6000, None, 0.8, redial_fraction=0.01)
        for seed in range(RUNS)
    ]
    low, high = confidence_interval([run[2] for run in runs])
    assert low <= lost <= high
    assert losses.erlang_b(n, load) < low, "blocking is higher than without redials"


@pytest.mark.parametrize("marks", [False, True], ids=["unmarked", "marked"])
@pytest.mark.parametrize(("load", "expected_blocking"), [(22.5, 0.05), (28.0, 0.2), (34.5, 0.4)])
def test_the_fresh_load_is_estimated_despite_redials(load, expected_blocking, marks):
    n, intervals = 30, []
    observer = Traffic(START_S * 1000.0, intervals.extend, lambda *_: None, 60)
    callers, _, _ = simulate([n], load, 5, 24_000, observer, persistence=0.8, marks=marks)
    observer.close(callers.world.now_ms())
    (total,) = aggregate(intervals, 1 << 40)
    fresh_load = callers.first * HOLD_S / total.covered_s
    assert total.blocking == pytest.approx(expected_blocking, abs=0.04)
    assert total.offered == pytest.approx(fresh_load, rel=0.03)
    if expected_blocking >= 0.2:
        assert total.naive > 1.15 * fresh_load, "redials make the load of all attempts far too high"
    redialled = callers.redials / total.lost
    if not marks:
        assert total.persistence == pytest.approx(redialled, abs=0.02)
        estimate = redials.fresh_load(total.erlangs, total.blocking, total.persistence)
        assert estimate == pytest.approx(fresh_load, rel=0.03), "the formula of E.501 gives the same load"
    assert total.erlangs <= total.peak <= n


def test_blocking_over_sockets_matches_the_prediction(tmp_path):
    """Each random start or end of a call awaits its answer before the next, so that timing does not matter."""
    n, load, events, rng = 5, 4.0, 3000, Random(11)
    server = TrunkServer(n)
    program = Program(tmp_path, {"s0": server.address})
    caller, established, attempts, lost = Caller(program), [], 0, 0
    for _ in range(events):
        if rng.random() * (load + len(established)) >= load:
            server.release(established.pop(rng.randrange(len(established))))
            assert caller.receive()[0].startswith("BYE ")
            continue
        attempts += 1
        call_id = f"{attempts:016x}"
        caller.invite(call_id, "urgent")
        status = caller.receive()[0]
        if status == "SIP/2.0 200 OK":
            established.append(call_id)
        else:
            assert status.startswith("SIP/2.0 503")
            lost += 1
    assert program.stop() == 0 and len(established) <= n
    # The calls form a Markov chain with the blocking of the formula; as they are correlated, no interval is computed.
    assert lost / attempts == pytest.approx(losses.erlang_b(n, load), abs=0.04)
    assert lost / attempts > losses.erlang_b(n + 1, load)
