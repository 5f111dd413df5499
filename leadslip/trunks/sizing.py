"""Dimensioning of trunk groups: sizes for a grade of service, with growth, modules and measurement confidence.

Loads are in erlangs, costs in any unit per trunk. Confidence limits: calls are assumed Poisson, and holding times
vary as measured, so the load of n calls varies like that of n / (1 + c²) calls of equal length, where c² is the
squared coefficient of variation of the holding times. For exponential holding times this gives Riordan's variance
2 A h / T; for few calls it gives the exact Poisson limits, which a normal approximation would put too low.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import combinations
from statistics import NormalDist

from leadslip.trunks import losses
from leadslip.trunks.losses import LossError, check_range

MAX_GROUPS = 1000  # maximum in one network
MAX_PAIRED_GROUPS = 24  # maximum number of groups for moves of pairs, whose number grows with the square
STRIDES = (8, 4, 1, 2)  # modules moved at once; 2 comes last, for improvements that need a pair of moves


@dataclass(frozen=True, slots=True)
class Size:
    """The size and blocking of a group, also with one trunk less and more, which matters for small groups."""

    trunks: int
    blocking: float
    blocking_one_less: float  # 1 for a group of 0 trunks
    blocking_one_more: float
    load: float  # the load it was sized for, including growth


def measured_bounds(
    load: float, calls: float, hold_variation: float = 1.0, confidence: float = 0.95
) -> tuple[float, float]:
    """Returns the two-sided confidence limits of a load measured from this number of calls."""
    check_range("load", load, 0.0, losses.MAX_LOAD)
    check_range("calls", calls, 0.0, 1e12)
    check_range("hold_variation", hold_variation, 0.0, 1e6)
    check_range("confidence", confidence, 0.01, 0.999999)
    n = calls / (1.0 + hold_variation)
    if n == 0.0:
        return 0.0, math.inf  # no calls observed: the load has no upper limit
    tail = (1.0 - confidence) / 2.0
    low = _chi_square(tail, 2.0 * n) / 2.0
    high = _chi_square(1.0 - tail, 2.0 * n + 2.0) / 2.0
    return load * low / n, load * high / n


def _chi_square(probability: float, degrees: float) -> float:
    """A quantile of the chi-square distribution (Wilson and Hilferty; within 1% from two degrees of freedom on)."""
    c = 2.0 / (9.0 * degrees)
    return degrees * max(0.0, 1.0 - c + NormalDist().inv_cdf(probability) * math.sqrt(c)) ** 3


def round_up_to_module(trunks: int, module: int) -> int:
    """Rounds trunks up to a multiple of the module size."""
    check_range("module", module, 1, losses.MAX_TRUNKS)
    return -(-trunks // module) * module


def size(load: float, blocking: float, module: int = 1, peakedness: float = 1.0, growth: float = 0.0) -> Size:
    """Sizes a group for a load after growth (0.2: 20% more) at the given blocking."""
    check_range("growth", growth, -0.99, 1000.0)
    grown_load = load * (1.0 + growth)

    def blocking_with(trunks: int) -> float:
        if peakedness == 1.0:
            return losses.erlang_b(trunks, grown_load)
        return losses.hayward_blocking(trunks, grown_load, peakedness)

    blocking_with(0)  # raises LossError for an argument out of bounds before the search
    if peakedness == 1.0:
        needed = losses.trunks_for(grown_load, blocking)
    else:
        needed = losses.trunks_for_peaked(grown_load, peakedness, blocking)
    trunks = round_up_to_module(needed, module)
    return Size(
        trunks,
        blocking_with(trunks),
        blocking_with(trunks - 1) if trunks else 1.0,
        blocking_with(trunks + 1),
        grown_load,
    )


# High-usage groups with overflow to a final group.


@dataclass(frozen=True, slots=True)
class Group:
    """A high-usage group: its overflow goes to the final group."""

    name: str
    load: float
    cost: float = 1.0  # per trunk
    module: int = 1


@dataclass(frozen=True, slots=True)
class Final:
    """The final group: carries the overflow of the high-usage groups and direct traffic."""

    name: str
    load: float = 0.0
    cost: float = 1.0
    module: int = 1


@dataclass(frozen=True, slots=True)
class Network:
    """High-usage groups and their final group, sized together."""

    trunks: dict[str, int]
    cost: float
    overflow: dict[str, tuple[float, float]]  # by high-usage group: mean and variance
    offered: tuple[float, float]  # to the final group: mean and variance
    blocking: float  # of the final group
    loss: dict[str, float]  # end-to-end loss of each group's calls


def network(groups: Sequence[Group], final: Final, blocking: float) -> Network:
    """Sizes high-usage groups and their final group at the lowest cost that meets the final group's blocking.

    Starts from the sizes of Truitt's rule of equal marginal cost, then adds or removes modules while that lowers
    the total cost, resizing the final group for the mean and variance of its traffic (Wilkinson). Moves change one
    group or, if there are few groups, two at once, since the final group shrinks by whole trunks only.
    """
    names = [group.name for group in groups] + [final.name]
    if len(set(names)) < len(names):
        raise LossError(f"groups: names must be unique: {sorted(names)}")
    if len(groups) > MAX_GROUPS:
        raise LossError(f"groups must be at most {MAX_GROUPS}: {len(groups)}")
    for group in (*groups, final):
        check_range(f"{group.name}.cost", group.cost, 1e-9, 1e9)
        check_range(f"{group.name}.module", group.module, 1, losses.MAX_TRUNKS)
    search = _Search(groups, final, blocking)
    return search.best()


class _Search:
    """Local search over group sizes; caches each group's overflow, which the search needs repeatedly."""

    def __init__(self, groups: Sequence[Group], final: Final, blocking: float) -> None:
        self.groups, self.final, self.blocking = groups, final, blocking
        self.flows: dict[tuple[int, int], tuple[float, float]] = {}
        self.final_sizes: dict[tuple[float, float], int] = {}

    def flow(self, i: int, trunks: int) -> tuple[float, float]:
        """Returns mean and variance of the overflow of group i with this number of trunks."""
        flow = self.flows.get((i, trunks))
        if flow is None:
            load = self.groups[i].load
            flow = losses.overflow(trunks, load) if trunks else (load, load)
            self.flows[i, trunks] = flow
        return flow

    def offered(self, trunks: Sequence[int]) -> tuple[float, float]:
        flows = [self.flow(i, n) for i, n in enumerate(trunks)]
        mean = self.final.load + math.fsum(flow[0] for flow in flows)
        return mean, self.final.load + math.fsum(flow[1] for flow in flows)

    def final_trunks(self, mean: float, variance: float) -> int:
        if mean < losses.MIN_LOAD:
            return 0
        flow = (mean, max(mean, variance))  # overflow is never smoother than Poisson, except by rounding
        trunks = self.final_sizes.get(flow)
        if trunks is None:
            needed = losses.trunks_for_overflow(*flow, self.blocking)
            trunks = self.final_sizes[flow] = round_up_to_module(needed, self.final.module)
        return trunks

    def cost(self, trunks: Sequence[int]) -> tuple[float, float]:
        """Returns the cost and the final group's mean load, so that of equal costs the least overflow is preferred."""
        mean, variance = self.offered(trunks)
        high_usage_cost = math.fsum(group.cost * n for group, n in zip(self.groups, trunks, strict=True))
        return high_usage_cost + self.final.cost * self.final_trunks(mean, variance), mean

    def truitt(self, i: int) -> int:
        """Adds modules until one more saves less in the final group than it costs (Truitt's rule)."""
        group, n = self.groups[i], 0
        per_erlang = self._per_erlang()
        while n + group.module <= losses.MAX_TRUNKS:
            gain = self.flow(i, n)[0] - self.flow(i, n + group.module)[0]
            if gain * per_erlang <= group.cost * group.module:
                break
            n += group.module
        return n

    def _per_erlang(self) -> float:
        """Returns the marginal cost per erlang in the final group near its expected load."""
        mean = max(1.0, self.final.load + 0.1 * math.fsum(group.load for group in self.groups))
        step = 0.1 * mean
        more = losses.trunks_for_peaked(mean + step, 1.0, self.blocking)
        return self.final.cost * (more - losses.trunks_for_peaked(mean, 1.0, self.blocking)) / step

    def best(self) -> Network:
        trunks = [self.truitt(i) for i in range(len(self.groups))]
        cost = self.cost(trunks)
        for stride in STRIDES:
            moves = [{i: step} for i in range(len(trunks)) for step in (stride, -stride)]
            if len(trunks) <= MAX_PAIRED_GROUPS:
                moves += self._pairs(stride)
            improved = True
            while improved:
                improved = False
                for move in moves:
                    candidate = trunks.copy()
                    for i, step in move.items():
                        candidate[i] = max(0, candidate[i] + step * self.groups[i].module)
                    candidate_cost = self.cost(candidate) if candidate != trunks else cost
                    if candidate_cost < cost:
                        trunks, cost, improved = candidate, candidate_cost, True
        return self._network(trunks)

    def _pairs(self, stride: int) -> list[dict[int, int]]:
        """Returns the moves that change two groups at once, each by up to `stride` modules."""
        steps = [step for step in range(-stride, stride + 1) if step]
        pairs = combinations(range(len(self.groups)), 2)
        return [{i: first, j: second} for i, j in pairs for first in steps for second in steps]

    def _network(self, trunks: Sequence[int]) -> Network:
        mean, variance = self.offered(trunks)
        final_trunks = self.final_trunks(mean, variance)
        final_blocking = (
            0.0 if mean < losses.MIN_LOAD else losses.peaked_blocking(final_trunks, mean, max(mean, variance))
        )
        flows = {
            group.name: self.flow(i, n) for i, (group, n) in enumerate(zip(self.groups, trunks, strict=True))
        }
        loss = {group.name: flows[group.name][0] / group.load * final_blocking for group in self.groups}
        if self.final.load:
            loss[self.final.name] = final_blocking
        trunks_by_name = {group.name: n for group, n in zip(self.groups, trunks, strict=True)} | {
            self.final.name: final_trunks
        }
        return Network(trunks_by_name, self.cost(trunks)[0], flows, (mean, variance), final_blocking, loss)


# Trunk reservation.


@dataclass(frozen=True, slots=True)
class Reserved:
    """The blocking of each class at one reservation level."""

    level: int  # trunks reserved for the protected class
    spared_blocking: float
    others_blocking: float
    carried: float  # erlangs of both classes


def reservation(trunks: int, spared: float, others: float, level: int) -> Reserved:
    """Solves the birth-death chain of trunk reservation: others are refused while no more than `level` trunks are free.

    `spared` and `others` are loads in erlangs with the same mean holding time; if the holding times differ, as 7 s
    and 9 s do, the chain is an approximation that is close for levels far below the number of trunks.
    """
    n = losses.check_range("trunks", trunks, 1, losses.MAX_TRUNKS)
    check_range("level", level, 0, n)
    a, b = (
        check_range(name, load, 0.0, losses.MAX_LOAD)
        for name, load in (("spared", spared), ("others", others))
    )
    admission_limit = int(n) - level
    # Computed from the full state downwards, relative to it, so that nothing overflows whatever the load.
    weights, weight, total = [1.0], 1.0, 1.0
    for busy in range(int(n), 0, -1):
        rate = a + b if busy - 1 < admission_limit else a
        if rate <= 0.0:
            # The states above are unreachable from here: all probability lies below.
            weights, weight, total = [0.0] * len(weights) + [1.0], 1.0, 1.0
            continue
        weight *= busy / rate
        if weight > 1e200:
            weights = [value / weight for value in weights]
            total, weight = total / weight, 1.0
        weights.append(weight)
        total += weight
    probabilities = [value / total for value in weights]  # of n, n-1, ... 0 trunks busy
    others_blocking = math.fsum(probabilities[: level + 1])
    carried = a * (1.0 - probabilities[0]) + b * (1.0 - others_blocking)
    return Reserved(level, probabilities[0], others_blocking, carried)


def levels(
    trunks: int, spared: float, others: float, goal: float, max_level: int | None = None
) -> list[Reserved]:
    """Returns the levels from 0 to the first at which the protected class meets the goal, with the others' blocking."""
    check_range("goal", goal, 0.0, 1.0)
    reserved = []
    for level in range(min(trunks, trunks if max_level is None else max_level) + 1):
        reserved.append(reservation(trunks, spared, others, level))
        if reserved[-1].spared_blocking <= goal:
            break
    return reserved
