"""Loss formulas: compared with printed tables and exact fractions, at their bounds, and inverted."""

import math
from fractions import Fraction

import pytest

from leadslip.trunks import losses
from leadslip.trunks.losses import LossError

# Loads in erlangs, {blocking: {trunks: load}}, as common Erlang B tables print them to four decimals (for instance the
# ITU-D Teletraffic Engineering Handbook). They were not copied from a book, so the comparison with exact fractions is
# the stronger check.
ERLANG_B = {
    0.001: dict(
        zip(
            [*range(1, 13), *range(14, 21)],
            [0.0010, 0.0458, 0.1938, 0.4393, 0.7621, 1.1459, 1.5786, 2.0513, 2.5575, 3.0920]
            + [3.6511, 4.2314, 5.4464, 6.0772, 6.7215, 7.3781, 8.0459, 8.7239, 9.4115],
            strict=True,
        )
    ),
    0.01: dict(
        zip(
            range(1, 31),
            [0.0101, 0.1526, 0.4555, 0.8694, 1.3608, 1.9090, 2.5009, 3.1276, 3.7825, 4.4612]
            + [5.1599, 5.8760, 6.6072, 7.3517, 8.1080, 8.8750, 9.6516, 10.4369, 11.2301, 12.0306]
            + [12.8378, 13.6513, 14.4705, 15.2950, 16.1246, 16.9588, 17.7974, 18.6402, 19.4869, 20.3373],
            strict=True,
        )
    ),
    0.02: dict(
        zip(
            range(1, 21),
            [0.0204, 0.2235, 0.6022, 1.0923, 1.6571, 2.2759, 2.9354, 3.6271, 4.3447, 5.0840]
            + [5.8415, 6.6147, 7.4015, 8.2003, 9.0096, 9.8284, 10.6558, 11.4909, 12.3330, 13.1815],
            strict=True,
        )
    ),
}
# The same tables for large groups: (blocking, trunks) -> (load, decimals printed).
LARGE_B = {
    (0.001, 50): (32.512, 3),
    (0.001, 100): (75.242, 3),
    (0.01, 50): (37.9014, 4),
    (0.01, 100): (84.0642, 4),
    (0.01, 200): (179.74, 2),
    (0.01, 300): (277.1, 1),
    (0.02, 50): (40.255, 3),
    (0.02, 100): (87.972, 3),
}
# The probability of waiting, as printed in tables of M/M/c: (trunks, load) -> probability.
ERLANG_C = {
    (1, 0.5): 0.5000,
    (2, 1.0): 0.3333,
    (3, 2.0): 0.4444,
    (4, 3.0): 0.5094,
    (5, 4.0): 0.5541,
    (6, 5.0): 0.5875,
    (7, 6.0): 0.6138,
    (10, 8.0): 0.4092,
    (10, 9.0): 0.6687,
    (15, 10.0): 0.1020,
}


def exact_b(trunks, load):
    """Erlang B as a fraction, by its defining sum."""
    term = total = Fraction(1)
    for k in range(1, trunks + 1):
        term = term * load / k
        total += term
    return term / total


@pytest.mark.parametrize(("lost", "n"), [(lost, n) for lost, rows in ERLANG_B.items() for n in rows])
def test_erlang_b_agrees_with_printed_tables(lost, n):
    assert losses.load_for(n, lost) == pytest.approx(ERLANG_B[lost][n], abs=0.00006)


@pytest.mark.parametrize(("lost", "n"), LARGE_B)
def test_erlang_b_agrees_with_printed_tables_of_large_groups(lost, n):
    printed, decimals = LARGE_B[lost, n]
    assert losses.load_for(n, lost) == pytest.approx(printed, abs=0.6 * 10.0**-decimals)


@pytest.mark.parametrize(("n", "load"), ERLANG_C)
def test_erlang_c_agrees_with_printed_tables(n, load):
    assert losses.erlang_c(n, load) == pytest.approx(ERLANG_C[n, load], abs=0.00006)


@pytest.mark.parametrize(
    "load", ["1/1000000", "1/10", "1", "21/2", "50", "199/2", "150", "200", "250", "400"]
)
def test_erlang_b_and_c_match_their_defining_sums_in_exact_fractions(load):
    load = Fraction(load)
    for n in [*range(40), 50, 75, 100, 125, 150, 175, 199, 200]:
        blocking = exact_b(n, load)
        assert losses.erlang_b(n, float(load)) == pytest.approx(float(blocking), rel=1e-11, abs=1e-290)
        assert losses.erlang_b_by_recursion(n, float(load)) == pytest.approx(
            float(blocking), rel=1e-11, abs=1e-290
        )
        if load < n:
            wait_probability = n * blocking / (n - load * (1 - blocking))
            assert losses.erlang_c(n, float(load)) == pytest.approx(
                float(wait_probability), rel=1e-10, abs=1e-290
            )


def test_engset_matches_its_defining_sums_in_exact_fractions():
    for sources, n, load in ((3, 2, "1"), (10, 4, "5/2"), (40, 12, "8"), (200, 30, "20")):
        load = Fraction(load)
        idle = load / (sources - load)
        terms = [math.comb(sources, k) * idle**k for k in range(n + 1)]
        assert losses.engset_time_congestion(n, sources, float(load)) == pytest.approx(
            float(terms[-1] / sum(terms)), rel=1e-11
        )
        terms = [math.comb(sources - 1, k) * idle**k for k in range(n + 1)]
        assert losses.engset(n, sources, float(load)) == pytest.approx(
            float(terms[-1] / sum(terms)), rel=1e-11
        )
    assert losses.engset(10, 10, 5.0) == 0.0, "no call is lost when each source has a trunk"
    assert losses.engset(20, 100_000, 15.0) == pytest.approx(losses.erlang_b(20, 15.0), rel=1e-3)


@pytest.mark.parametrize("n", [0, 1, 2, 999.5, 10_000, 99_999.5, 100_000])
@pytest.mark.parametrize("load", [1e-6, 0.5, 1.0, 1000.0, 9_999.0, 1e5])
def test_formulas_are_finite_at_the_bounds_of_trunks_and_load(n, load):
    lost = losses.erlang_b(n, load)
    assert 0.0 <= lost <= 1.0 and (lost < 1.0 or n == 0)
    assert losses.erlang_b(n + 1 if n < 99_999 else n, load) <= lost
    if n == int(n):
        assert lost == pytest.approx(losses.erlang_b_by_recursion(int(n), load), rel=1e-9, abs=1e-290)
        if load < n:
            assert 0.0 <= losses.erlang_c(n, load) <= 1.0
    mean, variance = losses.overflow(n, load)
    assert math.isfinite(mean) and math.isfinite(variance) and variance >= mean * (1.0 - 1e-6)


def test_erlang_b_satisfies_its_recursion_for_fractional_trunks():
    for x, load in ((0.25, 0.7), (3.5, 2.0), (17.75, 21.0), (200.5, 190.0)):
        blocking = losses.erlang_b(x, load)
        assert losses.erlang_b(x + 1, load) == pytest.approx(
            load * blocking / (x + 1 + load * blocking), rel=1e-12
        )


def test_inverses_agree_with_the_formulas():
    for load in (0.01, 1.0, 24.0, 900.0, 90_000.0):
        for lost in (0.3, 0.01, 1e-5):
            n = losses.trunks_for(load, lost)
            assert losses.erlang_b(n, load) <= lost < losses.erlang_b(n - 1, load) if n else True
            x = losses.trunks_for_exactly(load, lost)
            assert losses.erlang_b(x, load) == pytest.approx(lost, rel=1e-6)
            assert losses.load_for(x, lost) == pytest.approx(load, rel=1e-6)
            peaked = losses.trunks_for_peaked(load, 2.0, lost)
            assert losses.hayward_blocking(peaked, load, 2.0) <= lost
            assert losses.load_for_peaked(peaked, 2.0, lost) >= load * (1 - 1e-9)
    n = losses.trunks_for_wait(40.0, 180.0, 20.0, 0.05)
    assert losses.wait_over(n, 40.0, 180.0, 20.0) <= 0.05 < losses.wait_over(n - 1, 40.0, 180.0, 20.0)
    load = losses.load_for_wait(n, 180.0, 20.0, 0.05)
    assert losses.wait_over(n, load, 180.0, 20.0) == pytest.approx(0.05, rel=1e-9) and load >= 40.0
    n = losses.trunks_for_sources(60, 12.0, 0.01)
    assert losses.engset(n, 60, 12.0) <= 0.01 < losses.engset(n - 1, 60, 12.0)
    assert losses.engset(n, 60, losses.load_for_sources(n, 60, 0.01)) == pytest.approx(0.01, rel=1e-9)


def test_waits_on_one_trunk_match_the_m_m_1_queue():
    # One trunk at load a: the probability of waiting is a, the mean wait a h / (1 - a).
    assert losses.erlang_c(1, 0.8) == pytest.approx(0.8)
    assert losses.mean_wait_s(1, 0.8, 10.0) == pytest.approx(40.0)
    assert losses.wait_over(1, 0.8, 10.0, 50.0) == pytest.approx(0.8 * math.exp(-1.0))


def test_equivalent_random_theory_finds_the_load_and_trunks_that_an_overflow_comes_from():
    for n, load in ((1, 0.4), (10, 8.0), (37.5, 50.0), (400, 380.0)):
        found_load, found_n = losses.equivalent_random(*losses.overflow(n, load))
        assert found_load == pytest.approx(load, rel=1e-5) and found_n == pytest.approx(n, rel=1e-4)
        mean, variance = losses.overflow(n, load)
        expected = losses.erlang_b(n + 7, load) / losses.erlang_b(n, load)
        assert losses.peaked_blocking(7, mean, variance) == pytest.approx(expected, rel=1e-3)
        enough = losses.trunks_for_overflow(mean, variance, 0.01)
        assert losses.peaked_blocking(enough, mean, variance) <= 0.01
    assert losses.equivalent_random(5.0, 5.0) == (5.0, 0.0)
    # Hayward's approximation is close for loads of ten erlangs and more, but not far below that.
    mean, variance = losses.overflow(40, 50.0)
    for n in (10, 15, 20, 25):
        exact = losses.erlang_b(40 + n, 50.0) * 50.0 / mean
        assert losses.hayward_blocking(n, mean, variance / mean) == pytest.approx(exact, rel=0.15)


@pytest.mark.parametrize(
    ("formula", "named"),
    [
        (lambda: losses.erlang_b(-1, 1.0), "trunks"),
        (lambda: losses.erlang_b(100_001, 1.0), "trunks"),
        (lambda: losses.erlang_b(math.nan, 1.0), "trunks"),
        (lambda: losses.erlang_b(1, 0.0), "erlangs"),
        (lambda: losses.erlang_b(1, math.inf), "erlangs"),
        (lambda: losses.erlang_b(1, "2"), "erlangs"),
        (lambda: losses.erlang_b(True, 1.0), "trunks"),
        (lambda: losses.erlang_c(2, 2.0), "erlangs must be below trunks"),
        (lambda: losses.erlang_c(2.5, 2.0), "trunks must be an integer"),
        (lambda: losses.engset(2, 3, 3.0), "erlangs must be below sources"),
        (lambda: losses.trunks_for(1.0, 0.0), "blocking"),
        (lambda: losses.trunks_for(1e5, 1e-9), "blocking of 1e-09 is not reached with 100000 trunks"),
        (lambda: losses.load_for(0, 0.1), "trunks must be above 0"),
        (lambda: losses.load_for(1, 1e-9), "blocking of 1e-09 is met by no load"),
        (lambda: losses.equivalent_random(5.0, 4.0), "variance"),
        (lambda: losses.hayward_blocking(5, 4.0, 0.0), "peakedness"),
        (lambda: losses.wait_over(5, 4.0, 0.0, 1.0), "hold_s"),
    ],
)
def test_an_argument_out_of_bounds_raises_an_error_that_names_it(formula, named):
    with pytest.raises(LossError, match=named):
        formula()
