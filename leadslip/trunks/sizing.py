"""Sizes of trunk groups: for a grade of service, with growth, whole modules and what the measurement is worth.

Loads are in erlangs, costs in any unit per trunk. Confidence limits: calls are taken as Poisson and holding times
as measured, so the load of n calls scatters like that of n / (1 + c²) calls of equal length, c² being the squared
variation of the holding times; that gives Riordan's variance 2 A h / T for exponential ones, and for few calls the
exact Poisson limits, which a normal approximation would put too low.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import combinations
from statistics import NormalDist

from leadslip.trunks import losses
from leadslip.trunks.losses import LossError, check

MOST_GROUPS = 1000  # of a plan
MOST_PAIRED = 24  # groups up to which pairs of them are moved: their number grows with the square
STRIDES = (8, 4, 1, 2)  # modules moved at once; two last, for what only moves together


@dataclass(frozen=True, slots=True)
class Size:
    """How many trunks, and what they lose; around a small group one trunk more or less matters."""

    trunks: int
    blocking: float
    blocking_one_less: float  # 1 where there is none to take away
    blocking_one_more: float
    load: float  # that it was sized for, growth and confidence included


def measured_bounds(
    load: float, calls: float, hold_variation: float = 1.0, confidence: float = 0.95
) -> tuple[float, float]:
    """The two-sided confidence limits of a load measured from so many calls."""
    check("load", load, 0.0, losses.MOST_LOAD)
    check("calls", calls, 0.0, 1e12)
    check("hold_variation", hold_variation, 0.0, 1e6)
    check("confidence", confidence, 0.01, 0.999999)
    n = calls / (1.0 + hold_variation)
    if n == 0.0:
        return 0.0, math.inf  # nothing was seen: any load may lie behind it
    tail = (1.0 - confidence) / 2.0
    low = _chi_square(tail, 2.0 * n) / 2.0
    high = _chi_square(1.0 - tail, 2.0 * n + 2.0) / 2.0
    return load * low / n, load * high / n


def _chi_square(part: float, freedom: float) -> float:
    """A quantile of the chi-square distribution (Wilson and Hilferty; within 1% from two degrees on)."""
    c = 2.0 / (9.0 * freedom)
    return freedom * max(0.0, 1.0 - c + NormalDist().inv_cdf(part) * math.sqrt(c)) ** 3


def whole_modules(trunks: int, module: int) -> int:
    """The least number of trunks not below, in whole modules."""
    check("module", module, 1, losses.MOST_TRUNKS)
    return -(-trunks // module) * module


def size(load: float, blocking: float, module: int = 1, peakedness: float = 1.0, growth: float = 0.0) -> Size:
    """The trunks for a load, of which no more than that part may be lost, after growth (0.2: a fifth more)."""
    check("growth", growth, -0.99, 1000.0)
    grown = load * (1.0 + growth)

    def lost(trunks: int) -> float:
        if peakedness == 1.0:
            return losses.erlang_b(trunks, grown)
        return losses.hayward_blocking(trunks, grown, peakedness)

    lost(0)  # names what is out of bounds before anything is searched
    if peakedness == 1.0:
        least = losses.trunks_for(grown, blocking)
    else:
        least = losses.trunks_for_peaked(grown, peakedness, blocking)
    trunks = whole_modules(least, module)
    return Size(trunks, lost(trunks), lost(trunks - 1) if trunks else 1.0, lost(trunks + 1), grown)


# Groups with overflow to a final one.


@dataclass(frozen=True, slots=True)
class Group:
    """A high-usage group: what overflows from it goes to the final group."""

    name: str
    load: float
    cost: float = 1.0  # of a trunk
    module: int = 1


@dataclass(frozen=True, slots=True)
class Final:
    """The final group: takes what overflows, and traffic of its own."""

    name: str
    load: float = 0.0
    cost: float = 1.0
    module: int = 1


@dataclass(frozen=True, slots=True)
class Network:
    """Groups sized together."""

    trunks: dict[str, int]
    cost: float
    overflow: dict[str, tuple[float, float]]  # of each high-usage group: mean and variance
    offered: tuple[float, float]  # to the final group: mean and variance
    blocking: float  # of the final group
    loss: dict[str, float]  # of the calls of each group, end to end


def network(groups: Sequence[Group], final: Final, blocking: float) -> Network:
    """High-usage groups and their final group at the least cost at which the final one loses no more than asked.

    From the sizes that Truitt's rule of equal marginal cost gives, modules are moved while that lowers the whole
    cost, the final group being sized anew for the mean and variance of all that it gets (Wilkinson): those of
    one group and, where there are few groups, of two at once, since the final group shrinks by whole trunks.
    """
    names = [group.name for group in groups] + [final.name]
    if len(set(names)) < len(names):
        raise LossError(f"groups: two share a name: {sorted(names)}")
    if len(groups) > MOST_GROUPS:
        raise LossError(f"groups must be at most {MOST_GROUPS}: {len(groups)}")
    for group in (*groups, final):
        check(f"{group.name}.cost", group.cost, 1e-9, 1e9)
        check(f"{group.name}.module", group.module, 1, losses.MOST_TRUNKS)
    searching = _Search(groups, final, blocking)
    return searching.best()


class _Search:
    """Remembers what each group overflows at each size, as a search asks for the same again and again."""

    def __init__(self, groups: Sequence[Group], final: Final, blocking: float) -> None:
        self.groups, self.final, self.blocking = groups, final, blocking
        self.known: dict[tuple[int, int], tuple[float, float]] = {}
        self.sized: dict[tuple[float, float], int] = {}

    def flow(self, i: int, trunks: int) -> tuple[float, float]:
        """Mean and variance of what group i overflows with so many trunks."""
        found = self.known.get((i, trunks))
        if found is None:
            load = self.groups[i].load
            found = losses.overflow(trunks, load) if trunks else (load, load)
            self.known[i, trunks] = found
        return found

    def offered(self, trunks: Sequence[int]) -> tuple[float, float]:
        flows = [self.flow(i, n) for i, n in enumerate(trunks)]
        mean = self.final.load + math.fsum(flow[0] for flow in flows)
        return mean, self.final.load + math.fsum(flow[1] for flow in flows)

    def final_trunks(self, mean: float, variance: float) -> int:
        if mean < losses.LEAST_LOAD:
            return 0
        flow = (mean, max(mean, variance))  # no less than Poisson: sums of overflows are, but for rounding
        found = self.sized.get(flow)
        if found is None:
            least = losses.trunks_for_overflow(*flow, self.blocking)
            found = self.sized[flow] = whole_modules(least, self.final.module)
        return found

    def cost(self, trunks: Sequence[int]) -> tuple[float, float]:
        """The cost, and the mean that reaches the final group: of equal costs, the least overflow is taken."""
        mean, variance = self.offered(trunks)
        own = math.fsum(group.cost * n for group, n in zip(self.groups, trunks, strict=True))
        return own + self.final.cost * self.final_trunks(mean, variance), mean

    def truitt(self, i: int) -> int:
        """Trunks until one more module takes less off the final group than it costs."""
        group, n = self.groups[i], 0
        per_erlang = self._per_erlang()
        while n + group.module <= losses.MOST_TRUNKS:
            gain = self.flow(i, n)[0] - self.flow(i, n + group.module)[0]
            if gain * per_erlang <= group.cost * group.module:
                break
            n += group.module
        return n

    def _per_erlang(self) -> float:
        """What one more erlang costs in the final group, about where it will work."""
        mean = max(1.0, self.final.load + 0.1 * math.fsum(group.load for group in self.groups))
        step = 0.1 * mean
        more = losses.trunks_for_peaked(mean + step, 1.0, self.blocking)
        return self.final.cost * (more - losses.trunks_for_peaked(mean, 1.0, self.blocking)) / step

    def best(self) -> Network:
        trunks = [self.truitt(i) for i in range(len(self.groups))]
        cost = self.cost(trunks)
        for stride in STRIDES:
            moves = [{i: step} for i in range(len(trunks)) for step in (stride, -stride)]
            if len(trunks) <= MOST_PAIRED:
                moves += self._pairs(stride)
            moved = True
            while moved:
                moved = False
                for move in moves:
                    tried = trunks.copy()
                    for i, step in move.items():
                        tried[i] = max(0, tried[i] + step * self.groups[i].module)
                    found = self.cost(tried) if tried != trunks else cost
                    if found < cost:
                        trunks, cost, moved = tried, found, True
        return self._told(trunks)

    def _pairs(self, stride: int) -> list[dict[int, int]]:
        """Moves of two groups at once, by up to so many modules each."""
        steps = [step for step in range(-stride, stride + 1) if step]
        places = combinations(range(len(self.groups)), 2)
        return [{i: one, j: other} for i, j in places for one in steps for other in steps]

    def _told(self, trunks: Sequence[int]) -> Network:
        mean, variance = self.offered(trunks)
        last = self.final_trunks(mean, variance)
        lost = 0.0 if mean < losses.LEAST_LOAD else losses.peaked_blocking(last, mean, max(mean, variance))
        flows = {
            group.name: self.flow(i, n) for i, (group, n) in enumerate(zip(self.groups, trunks, strict=True))
        }
        loss = {group.name: flows[group.name][0] / group.load * lost for group in self.groups}
        if self.final.load:
            loss[self.final.name] = lost
        sizes = {group.name: n for group, n in zip(self.groups, trunks, strict=True)} | {
            self.final.name: last
        }
        return Network(sizes, self.cost(trunks)[0], flows, (mean, variance), lost, loss)


# The classes' different service.


@dataclass(frozen=True, slots=True)
class Reserved:
    """What each class loses at one level of reservation."""

    level: int  # trunks kept for the class that is spared
    spared_blocking: float
    others_blocking: float
    carried: float  # erlangs of both


def reservation(trunks: int, spared: float, others: float, level: int) -> Reserved:
    """Trunk reservation from the birth-death chain: others are refused while no more than `level` are free.

    `spared` and `others` are loads in erlangs with the same mean holding time; where these differ, as 7 s and
    9 s do, the chain is an approximation that is close for levels far below the number of trunks.
    """
    n = losses.check("trunks", trunks, 1, losses.MOST_TRUNKS)
    check("level", level, 0, n)
    a, b = (
        check(name, load, 0.0, losses.MOST_LOAD) for name, load in (("spared", spared), ("others", others))
    )
    bound = int(n) - level
    # Worked from the top down relative to the full state, so that nothing overflows whatever the load.
    weights, weight, total = [1.0], 1.0, 1.0
    for busy in range(int(n), 0, -1):
        rate = a + b if busy - 1 < bound else a
        if rate <= 0.0:
            # States above are never reached from here: all weight lies below.
            weights, weight, total = [0.0] * len(weights) + [1.0], 1.0, 1.0
            continue
        weight *= busy / rate
        if weight > 1e200:
            weights = [held / weight for held in weights]
            total, weight = total / weight, 1.0
        weights.append(weight)
        total += weight
    chances = [held / total for held in weights]  # of n, n-1, ... 0 trunks busy
    held_off = math.fsum(chances[: level + 1])
    carried = a * (1.0 - chances[0]) + b * (1.0 - held_off)
    return Reserved(level, chances[0], held_off, carried)


def levels(trunks: int, spared: float, others: float, goal: float, most: int | None = None) -> list[Reserved]:
    """The levels from none to the first at which the spared class loses no more than the goal, with their price."""
    check("goal", goal, 0.0, 1.0)
    told = []
    for level in range(min(trunks, trunks if most is None else most) + 1):
        told.append(reservation(trunks, spared, others, level))
        if told[-1].spared_blocking <= goal:
            break
    return told
