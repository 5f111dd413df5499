"""Loss and delay formulas: Erlang B and C, Engset, overflow and peaked traffic, and their inverses.

Loads are in erlangs, holding times in seconds, probabilities from 0 to 1. All formulas are valid from 0 to MAX_TRUNKS
trunks and for loads from MIN_LOAD to MAX_LOAD; other arguments raise LossError, which names the argument.

Sources: A. K. Erlang (1917); T. Engset (1918); J. Riordan in R. I. Wilkinson, "Theories for toll traffic
engineering in the U.S.A." (BSTJ 35, 1956); Y. Rapp (1964) for the initial guess; A. A. Fredericks, "Congestion in
blocking systems" (BSTJ 59, 1980), for Hayward's approximation; C. Loader (2000) for the Poisson probability.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from leadslip.errors import OperatorError

MAX_TRUNKS = 100_000
MIN_LOAD, MAX_LOAD = 1e-6, 1e5
EPSILON = 1e-15  # relative size of a term or step at which series and root searches stop
TINY = 1e-300  # replaces a divisor of 0 in Lentz's method
MAX_RECURSION_LOAD = (
    500.0  # erlangs up to which starting the recursion at 0 trunks is faster than evaluating erlang_b
)
# Steps of a root search. Every third one bisects, and 52 bisections use up the precision of a double.
MAX_ROOT_STEPS = 200


class LossError(OperatorError, ValueError):
    """A value given to the trunk formulas or traffic reports is not accepted; the error message names it."""

    code, status = "trunks.figure", 400
    action = "Choose a value that the message allows."


def check_range(name: str, value: float, minimum: float, maximum: float) -> float:
    """Returns the value if it is a number within the bounds, else raises LossError with its name."""
    if not isinstance(value, int | float) or isinstance(value, bool) or not minimum <= value <= maximum:
        raise LossError(f"{name} must lie between {minimum:g} and {maximum:g}: {value!r}")
    return value


def _check_load(erlangs: float) -> float:
    return check_range("erlangs", erlangs, MIN_LOAD, MAX_LOAD)


def _check_trunks(trunks: float) -> float:
    return check_range("trunks", trunks, 0, MAX_TRUNKS)


def _check_integer(name: str, value: float, maximum: int = MAX_TRUNKS) -> int:
    """Returns the value if it is an integer from 0 to the maximum, else raises LossError with its name."""
    check_range(name, value, 0, maximum)
    if value != int(value):
        raise LossError(f"{name} must be an integer: {value!r}")
    return int(value)


def _check_probability(name: str, value: float) -> float:
    """Returns the value if it is above 0 and below 1, where the inverses exist, else raises LossError."""
    if not isinstance(value, int | float) or not 0.0 < value < 1.0:
        raise LossError(f"{name} must lie between 0 and 1, both excluded: {value!r}")
    return value


# Erlang B.


def erlang_b(trunks: float, erlangs: float) -> float:
    """Returns the blocking probability of Poisson traffic with lost calls cleared; trunks need not be an integer.

    B(x, A) = A^x e^-A / Γ(x+1, A). For a load above x + 1 the upper incomplete gamma function is evaluated by
    Legendre's continued fraction, otherwise by the Poisson probability and the series of the lower function. Either
    takes some tens to hundreds of terms, where the recursion takes one step per trunk.
    """
    return _erlang_b(_check_trunks(trunks), _check_load(erlangs))


def _erlang_b(x: float, load: float) -> float:
    """Erlang B for x trunks, without checks of the arguments."""
    if load > x + 1.0:
        return min(1.0, 1.0 / (load * _upper_gamma_fraction(x + 1.0, load)))
    poisson_at_x = poisson(x, load)
    term = total = load / (x + 1.0)
    k = 1.0
    while term > total * EPSILON:
        k += 1.0
        term *= load / (x + k)
        total += term
    return min(1.0, poisson_at_x / (1.0 - poisson_at_x * total))


def _upper_gamma_fraction(a: float, z: float) -> float:
    """Returns Γ(a, z) / (z^a e^-z) by Lentz's method on Legendre's continued fraction, for z > a."""
    b = z + 1.0 - a
    c, d = 1.0 / TINY, 1.0 / b
    fraction = d
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
        fraction *= step
        if abs(step - 1.0) < EPSILON * 4.0:
            return fraction


def poisson(x: float, load: float) -> float:
    """Returns the Poisson probability load^x e^-load / Γ(x+1); x need not be an integer.

    Uses Loader's saddle-point method, which avoids cancellation for large arguments.
    """
    if x == 0.0:
        return math.exp(-load)
    if x < 1.0:
        return math.exp(x * math.log(load) - load - math.lgamma(x + 1.0))
    return math.exp(-_stirling_error(x) - _deviance(x, load)) / math.sqrt(2.0 * math.pi * x)


def _stirling_error(x: float) -> float:
    """Returns log Γ(x+1) minus Stirling's approximation of it."""
    if x < 16.0:
        return math.lgamma(x + 1.0) - (x + 0.5) * math.log(x) + x - 0.5 * math.log(2.0 * math.pi)
    s = 1.0 / (x * x)
    return (1 / 12 - s * (1 / 360 - s * (1 / 1260 - s * (1 / 1680 - s / 1188)))) / x


def _deviance(x: float, load: float) -> float:
    """Returns x log(x / load) + load - x, by a series where the terms would cancel."""
    gap = x - load
    if abs(gap) >= 0.1 * (x + load):
        return x * math.log(x / load) + load - x
    v = gap / (x + load)
    total, power, k = gap * v, 2.0 * x * v, 1
    while True:
        power *= v * v
        k += 2
        next_total = total + power / k
        if next_total == total:
            return total
        total = next_total


def erlang_b_by_recursion(trunks: int, erlangs: float) -> float:
    """Erlang B by the stable recursion over an integer number of trunks: one step per trunk.

    The reference that tests and benchmarks compare `erlang_b` with.
    """
    load = _check_load(erlangs)
    blocking = 1.0
    for n in range(1, _check_integer("trunks", trunks) + 1):
        blocking = load * blocking / (n + load * blocking)
    return blocking


def trunks_for(erlangs: float, blocking: float) -> int:
    """Returns the smallest number of trunks whose blocking does not exceed the given probability."""
    load, goal = _check_load(erlangs), _check_probability("blocking", blocking)
    # A group carries at most one erlang per trunk, so the carried load is a lower bound to start from.
    n = min(MAX_TRUNKS, int(load * (1.0 - goal))) if load > MAX_RECURSION_LOAD else 0
    loss = _erlang_b(n, load) if n else 1.0
    while loss > goal:
        if n >= MAX_TRUNKS:
            raise LossError(f"blocking of {goal!r} is not reached with {MAX_TRUNKS} trunks")
        n += 1
        loss = load * loss / (n + load * loss)
    return n


def _smallest(satisfied: Callable[[int], bool], name: str, guess: float) -> int:
    """Returns the smallest number of trunks that satisfies a monotonic condition, searched outward from a guess.

    `name` is the argument that sets the condition, for the error if MAX_TRUNKS do not satisfy it.
    """
    low, high = -1, max(1, min(MAX_TRUNKS, int(guess)))
    while not satisfied(high):
        if high >= MAX_TRUNKS:
            raise LossError(f"{name} is not reached with {MAX_TRUNKS} trunks")
        low, high = high, min(MAX_TRUNKS, high + max(1, high // 4))
    step = 1
    # Steps that double: if the guess was close, faster than bisecting the whole range.
    while high - step > low and satisfied(high - step):
        high, step = high - step, step * 2
    low = max(low, high - step)
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (low, middle) if satisfied(middle) else (middle, high)
    return high


def trunks_for_exactly(erlangs: float, blocking: float) -> float:
    """Returns the fractional number of trunks whose blocking equals the given probability."""
    load, goal = _check_load(erlangs), _check_probability("blocking", blocking)
    return root(lambda x: goal - _erlang_b(x, load), 0.0, float(trunks_for(load, goal)))


def load_for(trunks: float, blocking: float) -> float:
    """Returns the load in erlangs at which the given trunks have the given blocking."""
    x, goal = _check_trunks(trunks), _check_probability("blocking", blocking)
    if x == 0:
        raise LossError("trunks must be above 0: with no trunks every call is lost, whatever the load")
    if _erlang_b(x, MIN_LOAD) > goal or _erlang_b(x, MAX_LOAD) < goal:
        raise LossError(f"blocking of {blocking!r} is met by no load between {MIN_LOAD:g} and {MAX_LOAD:g}")
    return root(lambda load: _erlang_b(x, load) - goal, MIN_LOAD, MAX_LOAD, geometric=True)


def root(
    increasing: Callable[[float], float],
    low: float,
    high: float,
    geometric: bool = False,
    max_steps: int = MAX_ROOT_STEPS,
) -> float:
    """Returns the zero of an increasing function between two bounds: false position (Illinois) mixed with bisection.

    Bisection alone always converges for a monotonic function, but takes fifty steps instead of ten. `geometric`
    bisects at the geometric mean, for bounds that are orders of magnitude apart.
    """
    value_low, value_high = increasing(low), increasing(high)
    for step in range(max_steps):
        if step % 3 == 2 or value_high <= value_low or not math.isfinite(value_high - value_low):
            middle = math.sqrt(low * high) if geometric else (low + high) / 2.0
        else:
            middle = high - value_high * (high - low) / (value_high - value_low)
        if not low < middle < high:
            middle = (low + high) / 2.0
            if not low < middle < high:
                break
        value = increasing(middle)
        if value < 0.0:
            low, value_low, value_high = middle, value, value_high / 2.0
        else:
            high, value_high, value_low = middle, value, value_low / 2.0
        if value == 0.0 or high - low <= 4.0 * EPSILON * high:
            break
    return high


# Erlang C.


def erlang_c(trunks: int, erlangs: float) -> float:
    """Returns the probability that a call waits, with an unlimited FIFO queue; the load must be below trunks."""
    n, load = _queue_arguments(trunks, erlangs)
    blocking = _erlang_b(n, load)
    return blocking / (1.0 - load / n * (1.0 - blocking))


def _queue_arguments(trunks: int, erlangs: float) -> tuple[int, float]:
    """Returns trunks and load if the queue is stable, else raises LossError."""
    n, load = _check_integer("trunks", trunks), _check_load(erlangs)
    if load >= n:
        raise LossError(
            f"erlangs must be below trunks, else the queue grows without bound: {erlangs!r} on {trunks!r}"
        )
    return n, load


def mean_wait_s(trunks: int, erlangs: float, hold_s: float) -> float:
    """Returns the mean wait over all calls, including those that do not wait."""
    n, load = _queue_arguments(trunks, erlangs)
    return erlang_c(n, load) * check_range("hold_s", hold_s, 1e-6, 1e9) / (n - load)


def wait_over(trunks: int, erlangs: float, hold_s: float, over_s: float) -> float:
    """Returns the probability of waiting longer than over_s with FIFO service."""
    n, load = _queue_arguments(trunks, erlangs)
    check_range("hold_s", hold_s, 1e-6, 1e9)
    check_range("over_s", over_s, 0.0, 1e9)
    return erlang_c(n, load) * math.exp(-(n - load) * over_s / hold_s)


def trunks_for_wait(erlangs: float, hold_s: float, over_s: float, waiting_fraction: float) -> int:
    """Returns the smallest number of trunks at which at most this fraction of the calls waits longer than over_s."""
    load, goal = _check_load(erlangs), _check_probability("waiting_fraction", waiting_fraction)
    return _smallest(
        lambda n: n > load and wait_over(n, load, hold_s, over_s) <= goal, "waiting_fraction", load + 1.0
    )


def load_for_wait(trunks: int, hold_s: float, over_s: float, waiting_fraction: float) -> float:
    """Returns the load at which this fraction of the calls waits longer than over_s."""
    n, goal = _check_integer("trunks", trunks), _check_probability("waiting_fraction", waiting_fraction)
    max_load = min(MAX_LOAD, n * (1.0 - 1e-12))
    if (
        n < 1
        or wait_over(n, max_load, hold_s, over_s) < goal
        or wait_over(n, MIN_LOAD, hold_s, over_s) > goal
    ):
        raise LossError(
            f"waiting_fraction of {waiting_fraction!r} over {over_s!r} s is met by no load on {trunks!r} trunks"
        )
    return root(lambda load: wait_over(n, load, hold_s, over_s) - goal, MIN_LOAD, max_load, geometric=True)


# Engset: a finite number of sources.


def engset_time_congestion(trunks: int, sources: int, erlangs: float) -> float:
    """Returns the time congestion: the fraction of time during which all trunks are busy.

    `erlangs` is the load that all sources together would offer if no calls were lost: S·a / (1 + a) for S sources
    and the load a of an idle source. It is therefore below the number of sources.
    """
    n, s = _check_integer("trunks", trunks), _check_integer("sources", sources, 1_000_000)
    load = _check_load(erlangs)
    if load >= s:
        raise LossError(f"erlangs must be below sources: {erlangs!r} from {sources!r}")
    return _engset_recursion(n, s, load / (s - load))


def _engset_recursion(trunks: int, sources: int, idle_load: float) -> float:
    """Returns the time congestion by the recursion over trunks; `idle_load` is the load of an idle source."""
    if trunks > sources:
        return 0.0
    congestion = 1.0
    for n in range(1, trunks + 1):
        step = (sources - n + 1) * idle_load * congestion
        congestion = step / (n + step)
    return congestion


def engset(trunks: int, sources: int, erlangs: float) -> float:
    """Returns the call congestion: the fraction of calls lost.

    It is the time congestion with one source fewer, as an arriving call meets only calls of the other sources.
    """
    n, s = _check_integer("trunks", trunks), _check_integer("sources", sources, 1_000_000)
    load = _check_load(erlangs)
    if load >= s:
        raise LossError(f"erlangs must be below sources: {erlangs!r} from {sources!r}")
    return 0.0 if n >= s else _engset_recursion(n, s - 1, load / (s - load))


def trunks_for_sources(sources: int, erlangs: float, blocking: float) -> int:
    """Returns the smallest number of trunks at which at most this fraction of the sources' calls is lost."""
    goal = _check_probability("blocking", blocking)
    engset(0, sources, erlangs)  # checks the arguments before the search
    return _smallest(lambda n: engset(n, sources, erlangs) <= goal, "blocking", erlangs)


def load_for_sources(trunks: int, sources: int, blocking: float) -> float:
    """Returns the load of a finite number of sources at which the given fraction of calls is lost."""
    goal = _check_probability("blocking", blocking)
    n, s = _check_integer("trunks", trunks), _check_integer("sources", sources, 1_000_000)
    max_load = min(MAX_LOAD, s * (1.0 - 1e-9))
    if n < 1 or n >= s or engset(n, s, max_load) < goal or engset(n, s, MIN_LOAD) > goal:
        raise LossError(
            f"blocking of {blocking!r} is met by no load of {sources!r} sources on {trunks!r} trunks"
        )
    return root(lambda load: engset(n, s, load) - goal, MIN_LOAD, max_load, geometric=True)


# Overflow and peaked traffic.


def overflow(trunks: float, erlangs: float) -> tuple[float, float]:
    """Returns mean and variance, in erlangs, of the overflow of Poisson traffic from these trunks (Riordan)."""
    x, load = _check_trunks(trunks), _check_load(erlangs)
    mean = load * _erlang_b(x, load)
    return mean, mean * (1.0 - mean + load / (x + 1.0 + mean - load))


def equivalent_random(mean: float, variance: float) -> tuple[float, float]:
    """Returns the Poisson load and fractional trunks whose overflow has this mean and variance (Wilkinson)."""
    check_range("mean", mean, MIN_LOAD, MAX_LOAD)
    peakedness = check_range("variance", variance, mean, 100.0 * mean) / mean
    if peakedness == 1.0:
        return mean, 0.0

    def trunks(load: float) -> float:
        return max(0.0, load * (mean + peakedness) / (mean + peakedness - 1.0) - mean - 1.0)

    def excess(load: float) -> float:
        return mean - load * _erlang_b(trunks(load), load)

    # trunks() keeps the peakedness of the overflow; its mean then falls as the load grows. Rapp's approximation of
    # the load is the first upper bound.
    high = max(variance + 3.0 * peakedness * (peakedness - 1.0), mean * 1.000001)
    while excess(high) < 0.0:
        high *= 2.0
        if trunks(high) > MAX_TRUNKS or high > MAX_LOAD:
            raise LossError(
                f"variance of {variance!r} for a mean of {mean!r} has no equivalent random load within bounds"
            )
    load = root(excess, mean, high)
    return load, trunks(load)


def peaked_blocking(trunks: float, mean: float, variance: float) -> float:
    """Returns the blocking of peaked traffic on these trunks, by the equivalent random theory."""
    _check_trunks(trunks)
    load, primary_trunks = equivalent_random(mean, variance)
    return min(1.0, load * _erlang_b(primary_trunks + trunks, load) / mean)


def trunks_for_overflow(mean: float, variance: float, blocking: float) -> int:
    """Returns the smallest number of trunks for peaked traffic at this blocking, by the equivalent random theory."""
    goal = _check_probability("blocking", blocking)
    load, primary_trunks = equivalent_random(mean, variance)
    return _smallest(lambda n: load * _erlang_b(primary_trunks + n, load) <= goal * mean, "blocking", mean)


def hayward_blocking(trunks: float, mean: float, peakedness: float) -> float:
    """Returns the blocking of traffic whose variance is peakedness times its mean (Hayward, Fredericks)."""
    check_range("peakedness", peakedness, 0.01, 100.0)
    return _erlang_b(_check_trunks(trunks) / peakedness, _check_load(mean) / peakedness)


def trunks_for_peaked(mean: float, peakedness: float, blocking: float) -> int:
    """Returns the smallest number of trunks for peaked traffic at this blocking, by Hayward's approximation."""
    goal = _check_probability("blocking", blocking)
    hayward_blocking(0, mean, peakedness)  # checks the arguments before the search
    return _smallest(lambda n: hayward_blocking(n, mean, peakedness) <= goal, "blocking", mean)


def load_for_peaked(trunks: float, peakedness: float, blocking: float) -> float:
    """Returns the mean load of this peakedness at which these trunks have the given blocking."""
    check_range("peakedness", peakedness, 0.01, 100.0)
    return peakedness * load_for(_check_trunks(trunks) / peakedness, blocking)
