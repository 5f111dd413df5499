"""Measured blocking against the formulas: the real engine with a stand-in trunk server, in virtual time.

Independent runs of one length give independent means. The prediction must lie in their two-sided 99% confidence
interval by Student's t, and for small groups that interval must be narrow enough to tell one trunk more or less.
Seeds are fixed, so the result is reproducible.
"""

from math import sqrt
from random import Random
from statistics import fmean, stdev

import pytest

from leadslip.trunks import losses, redials
from leadslip.trunks.traffic import Traffic, aggregate
from tests.standin_trunks import START_S, Callers, TrunkServer, site
from tests.standins import Caller, Program

RUNS = 8
T_99 = 3.499  # Student's t, 7 degrees of freedom, two-sided 99%
HOLD_S = 0.25


def confidence_interval(values):
    half = T_99 * stdev(values) / sqrt(len(values))
    return fmean(values) - half, fmean(values) + half


def simulate(sizes, load, seed, calls, observer=None, persistence=0.0, marks=False, redial_part=0.0):
    """Runs one simulation; returns callers, trunks, and the part of attempts lost after the first quarter."""
    world, engine, trunks = site(sizes, HOLD_S, seed, observer)
    callers = Callers(world, engine, load / HOLD_S, seed + 1000)
    callers.persistence, callers.max_redials, callers.marks = persistence, 2, marks
    length_s = calls * HOLD_S / load
    # Long against the holding time, as the predictions assume, and short against the run.
    callers.redial_s = max(6.0 * HOLD_S, redial_part * length_s)
    callers.start()
    end_s = START_S + length_s
    while world.now_s < end_s:
        step_s = end_s if observer is None else min(end_s, observer.due_ms() / 1000.0)
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
def test_overflow_and_loss_match_the_prediction(sizes, load):
    overflowed, lost = [], []
    for seed in range(RUNS):
        callers, trunks, blocking = simulate(sizes, load, seed, 2500)
        overflowed.append((trunks.offered["s1"] + trunks.lost["s1"]) / callers.first)
        lost.append(blocking)
    low, high = confidence_interval(lost)
    assert low <= losses.erlang_b(sum(sizes), load) <= high
    # The engine does not send to a server without free lines: the rest of the overflow is refused by the engine.
    mean, variance = losses.overflow(sizes[0], load)
    sent_on = mean * (1.0 - losses.peaked_blocking(sizes[1], mean, variance)) / load
    low, high = confidence_interval(overflowed)
    assert low <= sent_on <= high


@pytest.mark.parametrize(("n", "load"), [(1, 0.3), (2, 1.0), (5, 4.0), (30, 28.0), (120, 118.0)])
def test_blocking_with_redials_matches_the_prediction(n, load):
    lost, _ = redials.with_redials(n, load, 0.8, 2)
    runs = [
        simulate([n], load, seed, 3000 if n < 30 else 6000, None, 0.8, redial_part=0.01)
        for seed in range(RUNS)
    ]
    low, high = confidence_interval([run[2] for run in runs])
    assert low <= lost <= high
    assert losses.erlang_b(n, load) < low, "blocking is higher than without redials"


@pytest.mark.parametrize("marks", [False, True], ids=["unmarked", "marked"])
@pytest.mark.parametrize(("load", "aimed"), [(22.5, 0.05), (28.0, 0.2), (34.5, 0.4)])
def test_the_fresh_load_is_estimated_despite_redials(load, aimed, marks):
    n, intervals = 30, []
    observer = Traffic(START_S * 1000.0, intervals.extend, lambda *_: None, 60)
    callers, _, _ = simulate([n], load, 5, 24_000, observer, persistence=0.8, marks=marks)
    observer.close(callers.world.now_ms())
    (total,) = aggregate(intervals, 1 << 40)
    fresh_load = callers.first * HOLD_S / total.covered_s
    assert total.blocking == pytest.approx(aimed, abs=0.04)
    assert total.offered == pytest.approx(fresh_load, rel=0.03)
    if aimed >= 0.2:
        assert total.naive > 1.15 * fresh_load, "the load of all attempts is far too high"
    redialled = callers.redials / total.lost
    if not marks:
        assert total.persistence == pytest.approx(redialled, abs=0.02)
        estimate = redials.fresh_load(total.erlangs, total.blocking, total.persistence)
        assert estimate == pytest.approx(fresh_load, rel=0.03), "E.501 gives the same from the counters alone"
    assert total.erlangs <= total.peak <= n


def test_blocking_over_sockets_matches_the_prediction(tmp_path):
    """Calls and ends are drawn as a sequence and each awaits its answer, so the result does not depend on timing."""
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
    # Successive calls are correlated, but the chain's exact blocking is that of the formula.
    assert lost / attempts == pytest.approx(losses.erlang_b(n, load), abs=0.04)
    assert lost / attempts > losses.erlang_b(n + 1, load)
