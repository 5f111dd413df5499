"""Loss and delay formulas: Erlang B and C, Engset, overflow and peaked traffic, and the inverse of each.

Loads are in erlangs, holding times in seconds, chances from 0 to 1. All hold from no trunk to MOST_TRUNKS and
for loads from LEAST_LOAD to MOST_LOAD; whatever else is asked raises LossError, which names the figure.

Sources: A. K. Erlang (1917); T. Engset (1918); J. Riordan in R. I. Wilkinson, "Theories for toll traffic
engineering in the U.S.A." (BSTJ 35, 1956); Y. Rapp (1964) for the first guess; A. A. Fredericks, "Congestion in
blocking systems" (BSTJ 59, 1980), for Hayward's approximation; C. Loader (2000) for the Poisson probability.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from leadslip.errors import OperatorError

MOST_TRUNKS = 100_000
LEAST_LOAD, MOST_LOAD = 1e-6, 1e5
EPSILON = 1e-15
TINY = 1e-300
RECURSION_LOAD = 500.0  # erlangs up to which sizing by the recursion from no trunk on is the quicker way
HALVINGS = 200  # more than a double has bits between any two bounds


class LossError(OperatorError, ValueError):
    """A figure lies outside what the loss formulas are for; the text names it."""

    code, status = "trunks.figure", 400
    action = "Ask for a figure within the bounds named."


def check(name: str, value: float, least: float, most: float) -> float:
    """The figure, if it is a number within its bounds."""
    if not isinstance(value, int | float) or isinstance(value, bool) or not least <= value <= most:
        raise LossError(f"{name} must lie between {least:g} and {most:g}: {value!r}")
    return value


def _load(erlangs: float) -> float:
    return check("erlangs", erlangs, LEAST_LOAD, MOST_LOAD)


def _trunks(trunks: float) -> float:
    return check("trunks", trunks, 0, MOST_TRUNKS)


def _whole(name: str, value: float, most: int = MOST_TRUNKS) -> int:
    check(name, value, 0, most)
    if value != int(value):
        raise LossError(f"{name} must be whole: {value!r}")
    return int(value)


def _chance(name: str, value: float) -> float:
    """A chance that is neither nought nor one, so that an inverse exists."""
    if not isinstance(value, int | float) or not 0.0 < value < 1.0:
        raise LossError(f"{name} must lie between 0 and 1, both excluded: {value!r}")
    return value


# Erlang B.


def erlang_b(trunks: float, erlangs: float) -> float:
    """The chance that all trunks are busy, for Poisson calls that are lost then; trunks need not be whole.

    B(x, A) = A^x e^-A / Γ(x+1, A). Above the mean the upper incomplete gamma function is found by Legendre's
    continued fraction, below it through the Poisson probability and the series of the lower one: either takes
    some tens to hundreds of terms where the recursion takes one for each trunk.
    """
    return _erlang_b(_trunks(trunks), _load(erlangs))


def _erlang_b(x: float, load: float) -> float:
    if load > x + 1.0:
        return min(1.0, 1.0 / (load * _upper_fraction(x + 1.0, load)))
    at_x = poisson(x, load)
    term = total = load / (x + 1.0)
    k = 1.0
    while term > total * EPSILON:
        k += 1.0
        term *= load / (x + k)
        total += term
    return min(1.0, at_x / (1.0 - at_x * total))


def _upper_fraction(a: float, z: float) -> float:
    """Γ(a, z) / (z^a e^-z) by Lentz's way through Legendre's continued fraction, for z > a."""
    b = z + 1.0 - a
    c, d = 1.0 / TINY, 1.0 / b
    found = d
    k = 0.0
    while True:
        k += 1.0
        an = -k * (k - a)
        b += 2.0
        d = an * d + b
        d = 1.0 / (d if abs(d) > TINY else TINY)
        c = b + an / c
        c = c if abs(c) > TINY else TINY
        step = c * d
        found *= step
        if abs(step - 1.0) < EPSILON * 4.0:
            return found


def poisson(x: float, load: float) -> float:
    """load^x e^-load / Γ(x+1) without cancellation for large figures, by Loader's saddle point."""
    if x == 0.0:
        return math.exp(-load)
    if x < 1.0:
        return math.exp(x * math.log(load) - load - math.lgamma(x + 1.0))
    return math.exp(-_stirling_error(x) - _deviance(x, load)) / math.sqrt(2.0 * math.pi * x)


def _stirling_error(x: float) -> float:
    """log Γ(x+1) less Stirling's approximation."""
    if x < 16.0:
        return math.lgamma(x + 1.0) - (x + 0.5) * math.log(x) + x - 0.5 * math.log(2.0 * math.pi)
    s = 1.0 / (x * x)
    return (1 / 12 - s * (1 / 360 - s * (1 / 1260 - s * (1 / 1680 - s / 1188)))) / x


def _deviance(x: float, load: float) -> float:
    """x log(x / load) + load - x."""
    gap = x - load
    if abs(gap) >= 0.1 * (x + load):
        return x * math.log(x / load) + load - x
    v = gap / (x + load)
    total, power, k = gap * v, 2.0 * x * v, 1
    while True:
        power *= v * v
        k += 2
        longer = total + power / k
        if longer == total:
            return total
        total = longer


def erlang_b_by_recursion(trunks: int, erlangs: float) -> float:
    """Erlang B by the stable recursion over whole trunks: the plain version, one step for each trunk."""
    load = _load(erlangs)
    lost = 1.0
    for n in range(1, _whole("trunks", trunks) + 1):
        lost = load * lost / (n + load * lost)
    return lost


def trunks_for(erlangs: float, blocking: float) -> int:
    """The fewest whole trunks on which no more than that part of the calls is lost."""
    load, goal = _load(erlangs), _chance("blocking", blocking)
    # No fewer than carry the load, so the recursion is begun there; to small groups it is quicker from none on.
    n = min(MOST_TRUNKS, int(load * (1.0 - goal))) if load > RECURSION_LOAD else 0
    lost = _erlang_b(n, load) if n else 1.0
    while lost > goal:
        if n >= MOST_TRUNKS:
            raise LossError(f"blocking is not reached with {MOST_TRUNKS} trunks")
        n += 1
        lost = load * lost / (n + load * lost)
    return n


def _fewest(enough: Callable[[int], bool], name: str, near: float) -> int:
    """The least whole number for which a rising condition holds, searched outward from a guess."""
    low, high = -1, max(1, min(MOST_TRUNKS, int(near)))
    while not enough(high):
        if high >= MOST_TRUNKS:
            raise LossError(f"{name} is not reached with {MOST_TRUNKS} trunks")
        low, high = high, min(MOST_TRUNKS, high + max(1, high // 4))
    step = 1
    while high - step > low and enough(high - step):  # near the answer a gallop beats halving the whole range
        high, step = high - step, step * 2
    low = max(low, high - step)
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (low, middle) if enough(middle) else (middle, high)
    return high


def trunks_for_exactly(erlangs: float, blocking: float) -> float:
    """The number of trunks, not whole, on which exactly that part of the calls is lost."""
    load, goal = _load(erlangs), _chance("blocking", blocking)
    return root(lambda x: goal - _erlang_b(x, load), 0.0, float(trunks_for(load, goal)))


def load_for(trunks: float, blocking: float) -> float:
    """The load, in erlangs, of which that part is lost on those trunks."""
    x, goal = _trunks(trunks), _chance("blocking", blocking)
    if x == 0:
        raise LossError("trunks must be above 0: without any all is lost, whatever the load")
    if _erlang_b(x, LEAST_LOAD) > goal or _erlang_b(x, MOST_LOAD) < goal:
        raise LossError(
            f"blocking of {blocking!r} is met by no load between {LEAST_LOAD:g} and {MOST_LOAD:g}"
        )
    return root(lambda load: _erlang_b(x, load) - goal, LEAST_LOAD, MOST_LOAD, by_ratio=True)


def root(
    rising: Callable[[float], float], low: float, high: float, by_ratio: bool = False, most: int = HALVINGS
) -> float:
    """Where a rising function crosses nought between two bounds: false position (Illinois) with halving between.

    Halving alone is sure, as all of these are monotonic, but takes fifty steps where these take ten.
    """
    at_low, at_high = rising(low), rising(high)
    for step in range(most):
        if step % 3 == 2 or at_high <= at_low or not math.isfinite(at_high - at_low):
            middle = math.sqrt(low * high) if by_ratio else (low + high) / 2.0
        else:
            middle = high - at_high * (high - low) / (at_high - at_low)
        if not low < middle < high:
            middle = (low + high) / 2.0
            if not low < middle < high:
                break
        found = rising(middle)
        if found < 0.0:
            low, at_low, at_high = middle, found, at_high / 2.0
        else:
            high, at_high, at_low = middle, found, at_low / 2.0
        if found == 0.0 or high - low <= 4.0 * EPSILON * high:
            break
    return high


# Erlang C.


def erlang_c(trunks: int, erlangs: float) -> float:
    """The chance that a call has to wait, where calls wait in turn as long as it takes; load below trunks."""
    n, load = _queue(trunks, erlangs)
    lost = _erlang_b(n, load)
    return lost / (1.0 - load / n * (1.0 - lost))


def _queue(trunks: int, erlangs: float) -> tuple[int, float]:
    n, load = _whole("trunks", trunks), _load(erlangs)
    if load >= n:
        raise LossError(
            f"erlangs must be below trunks, else calls wait without end: {erlangs!r} on {trunks!r}"
        )
    return n, load


def mean_wait_s(trunks: int, erlangs: float, hold_s: float) -> float:
    """The mean wait over all calls, those that need not wait included."""
    n, load = _queue(trunks, erlangs)
    return erlang_c(n, load) * check("hold_s", hold_s, 1e-6, 1e9) / (n - load)


def wait_over(trunks: int, erlangs: float, hold_s: float, over_s: float) -> float:
    """The chance of waiting longer than over_s, served in order of arrival."""
    n, load = _queue(trunks, erlangs)
    check("hold_s", hold_s, 1e-6, 1e9)
    check("over_s", over_s, 0.0, 1e9)
    return erlang_c(n, load) * math.exp(-(n - load) * over_s / hold_s)


def trunks_for_wait(erlangs: float, hold_s: float, over_s: float, part: float) -> int:
    """The fewest trunks on which no more than that part of the calls waits longer than over_s."""
    load, goal = _load(erlangs), _chance("part", part)
    return _fewest(lambda n: n > load and wait_over(n, load, hold_s, over_s) <= goal, "part", load + 1.0)


def load_for_wait(trunks: int, hold_s: float, over_s: float, part: float) -> float:
    """The load at which that part of the calls waits longer than over_s."""
    n, goal = _whole("trunks", trunks), _chance("part", part)
    most = min(MOST_LOAD, n * (1.0 - 1e-12))
    if n < 1 or wait_over(n, most, hold_s, over_s) < goal or wait_over(n, LEAST_LOAD, hold_s, over_s) > goal:
        raise LossError(f"part of {part!r} is met by no load on {trunks!r} trunks")
    return root(lambda load: wait_over(n, load, hold_s, over_s) - goal, LEAST_LOAD, most, by_ratio=True)


# Engset: few sources.


def engset_time(trunks: int, sources: int, erlangs: float) -> float:
    """The part of the time in which all trunks are busy.

    `erlangs` is what the sources would offer together if none of their calls were lost: S·a / (1 + a) with a the
    load of an idle source; so it is below the number of sources.
    """
    n, s = _whole("trunks", trunks), _whole("sources", sources, 1_000_000)
    load = _load(erlangs)
    if load >= s:
        raise LossError(f"erlangs must be below sources: {erlangs!r} from {sources!r}")
    return _engset(n, s, load / (s - load))


def _engset(trunks: int, sources: int, idle_load: float) -> float:
    if trunks > sources:
        return 0.0
    busy = 1.0
    for n in range(1, trunks + 1):
        step = (sources - n + 1) * idle_load * busy
        busy = step / (n + step)
    return busy


def engset(trunks: int, sources: int, erlangs: float) -> float:
    """The part of the calls that is lost: an arriving call sees the others' sources alone."""
    n, s = _whole("trunks", trunks), _whole("sources", sources, 1_000_000)
    load = _load(erlangs)
    if load >= s:
        raise LossError(f"erlangs must be below sources: {erlangs!r} from {sources!r}")
    return 0.0 if n >= s else _engset(n, s - 1, load / (s - load))


def trunks_for_sources(sources: int, erlangs: float, blocking: float) -> int:
    """The fewest trunks on which no more than that part of the calls from so many sources is lost."""
    goal = _chance("blocking", blocking)
    engset(0, sources, erlangs)
    return _fewest(lambda n: engset(n, sources, erlangs) <= goal, "blocking", erlangs)


def load_for_sources(trunks: int, sources: int, blocking: float) -> float:
    """The load of so many sources of which that part is lost."""
    goal = _chance("blocking", blocking)
    n, s = _whole("trunks", trunks), _whole("sources", sources, 1_000_000)
    most = min(MOST_LOAD, s * (1.0 - 1e-9))
    if n < 1 or n >= s or engset(n, s, most) < goal or engset(n, s, LEAST_LOAD) > goal:
        raise LossError(
            f"blocking of {blocking!r} is met by no load of {sources!r} sources on {trunks!r} trunks"
        )
    return root(lambda load: engset(n, s, load) - goal, LEAST_LOAD, most, by_ratio=True)


# Overflow and peaked traffic.


def overflow(trunks: float, erlangs: float) -> tuple[float, float]:
    """Mean and variance, in erlangs, of what Poisson traffic overflows from those trunks (Riordan)."""
    x, load = _trunks(trunks), _load(erlangs)
    mean = load * _erlang_b(x, load)
    return mean, mean * (1.0 - mean + load / (x + 1.0 + mean - load))


def equivalent(mean: float, variance: float) -> tuple[float, float]:
    """The Poisson load and the trunks, not whole, that overflow with that mean and variance (Wilkinson)."""
    check("mean", mean, LEAST_LOAD, MOST_LOAD)
    peaked = check("variance", variance, mean, 100.0 * mean) / mean
    if peaked == 1.0:
        return mean, 0.0

    def trunks(load: float) -> float:
        return max(0.0, load * (mean + peaked) / (mean + peaked - 1.0) - mean - 1.0)

    def excess(load: float) -> float:
        return mean - load * _erlang_b(trunks(load), load)

    # With trunks bound to the load so that the peakedness fits, a larger load overflows less.
    high = max(variance + 3.0 * peaked * (peaked - 1.0), mean * 1.000001)
    while excess(high) < 0.0:
        high *= 2.0
        if trunks(high) > MOST_TRUNKS or high > MOST_LOAD:
            raise LossError(f"variance of {variance!r} for a mean of {mean!r} has no equivalent in bounds")
    load = root(excess, mean, high)
    return load, trunks(load)


def peaked_blocking(trunks: float, mean: float, variance: float) -> float:
    """The part of peaked traffic lost on those trunks, by the equivalent random theory."""
    _trunks(trunks)
    load, before = equivalent(mean, variance)
    return min(1.0, load * _erlang_b(before + trunks, load) / mean)


def trunks_for_overflow(mean: float, variance: float, blocking: float) -> int:
    """The fewest trunks on which no more than that part of such traffic is lost, by the equivalent random theory."""
    goal = _chance("blocking", blocking)
    load, before = equivalent(mean, variance)
    return _fewest(lambda n: load * _erlang_b(before + n, load) <= goal * mean, "blocking", mean)


def hayward_blocking(trunks: float, mean: float, peakedness: float) -> float:
    """The part of traffic lost whose variance is peakedness times its mean (Hayward, Fredericks)."""
    check("peakedness", peakedness, 0.01, 100.0)
    return _erlang_b(_trunks(trunks) / peakedness, _load(mean) / peakedness)


def trunks_for_peaked(mean: float, peakedness: float, blocking: float) -> int:
    """The fewest trunks on which no more than that part of such traffic is lost, by Hayward's approximation."""
    goal = _chance("blocking", blocking)
    hayward_blocking(0, mean, peakedness)
    return _fewest(lambda n: hayward_blocking(n, mean, peakedness) <= goal, "blocking", mean)


def load_for_peaked(trunks: float, peakedness: float, blocking: float) -> float:
    """The mean load of such a peakedness of which that part is lost on those trunks."""
    check("peakedness", peakedness, 0.01, 100.0)
    return peakedness * load_for(_trunks(trunks) / peakedness, blocking)
