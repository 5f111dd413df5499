"""Dimensioning of trunk groups: sizes for a grade of service, with growth, modules and measurement confidence.

Loads are in erlangs, costs in any unit per trunk. Confidence limits: calls are assumed Poisson, and holding times
vary as measured, so the load of n calls varies like that of n / (1 + c²) calls of equal length, where c² is the
squared coefficient of variation of the holding times. For a load A measured over a time T with exponential holding
times of mean h, this gives Riordan's variance 2 A h / T. For few calls it gives nearly the exact Poisson limits, where
a normal approximation would be too low.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import combinations
from statistics import NormalDist

from leadslip.trunks import losses
from leadslip.trunks.losses import LossError, check_range

MAX_GROUPS = 1000  # high-usage groups in one network
MAX_PAIRED_GROUPS = 24  # groups up to which pairs are moved too: the number of pairs grows with the square
MOVE_SIZES = (
    8,
    4,
    1,
    2,
)  # modules per move, in search order; 2 is last: its pairs find what single modules miss


@dataclass(frozen=True, slots=True)
class Size:
    """A group's size, and its blocking with that size, one trunk fewer and one more (a large step in a small group)."""

    trunks: int
    blocking: float
    blocking_one_less: float  # 1 if the group has no trunks
    blocking_one_more: float
    load: float  # the load it was sized for, including growth


def measured_bounds(
    load: float, calls: float, hold_variation: float = 1.0, confidence: float = 0.95
) -> tuple[float, float]:
    """Returns the two-sided confidence limits of a load measured from this number of calls.

    `hold_variation` is the squared coefficient of variation of the holding times; 1 if they are exponential.
    """
    check_range("load", load, 0.0, losses.MAX_LOAD)
    check_range("calls", calls, 0.0, 1e12)
    check_range("hold_variation", hold_variation, 0.0, 1e6)
    check_range("confidence", confidence, 0.01, 0.999999)
    n = calls / (1.0 + hold_variation)
    if n == 0.0:
        return 0.0, math.inf  # no calls observed: the load has no upper limit
    tail = (1.0 - confidence) / 2.0
    low = _chi_square_quantile(tail, 2.0 * n) / 2.0
    high = _chi_square_quantile(1.0 - tail, 2.0 * n + 2.0) / 2.0
    return load * low / n, load * high / n


def _chi_square_quantile(probability: float, degrees: float) -> float:
    """Returns a quantile of the chi-square distribution, by the approximation of Wilson and Hilferty.

    At 97.5% it is within 1% from 2 degrees of freedom on. At 2.5% it is too low for few calls: by 48% for 2 degrees
    of freedom, 2.5% for 6, below 1% from 10 on; the lower confidence limit of a load is then too low as well.
    """
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
class HighUsageGroup:
    """A high-usage group: its overflow goes to the final group."""

    name: str
    load: float
    cost: float = 1.0  # per trunk
    module: int = 1


@dataclass(frozen=True, slots=True)
class FinalGroup:
    """The final group: is offered the overflow of the high-usage groups, and direct traffic."""

    name: str
    load: float = 0.0  # direct traffic only
    cost: float = 1.0
    module: int = 1


@dataclass(frozen=True, slots=True)
class SizedNetwork:
    """High-usage groups and their final group, sized together."""

    trunks: dict[str, int]  # by group, the final one included
    cost: float
    overflow: dict[str, tuple[float, float]]  # mean and variance by high-usage group
    offered: tuple[float, float]  # mean and variance of the load offered to the final group
    blocking: float  # of the final group
    loss: dict[str, float]  # by group: fraction of its calls lost, after overflow


def size_network(groups: Sequence[HighUsageGroup], final: FinalGroup, blocking: float) -> SizedNetwork:
    """Sizes high-usage groups and their final group at the lowest cost that meets the final group's blocking.

    Starts from the sizes of Truitt's rule of equal marginal cost, then adds or removes modules while that lowers
    the total cost, resizing the final group for the mean and variance of its traffic (Wilkinson). A move changes one
    group. With few groups it may also change two: the final group shrinks by whole trunks only, so that a single
    change may save nothing there.
    """
    names = [group.name for group in groups] + [final.name]
    if len(set(names)) < len(names):
        raise LossError(f"groups must have unique names: {sorted(names)}")
    if len(groups) > MAX_GROUPS:
        raise LossError(f"groups must be at most {MAX_GROUPS}: {len(groups)}")
    for group in (*groups, final):
        check_range(f"{group.name}.cost", group.cost, 1e-9, 1e9)
        check_range(f"{group.name}.module", group.module, 1, losses.MAX_TRUNKS)
    search = _Search(groups, final, blocking)
    return search.best()


class _Search:
    """Local search over group sizes; caches each group's overflow, which the search needs repeatedly."""

    def __init__(self, groups: Sequence[HighUsageGroup], final: FinalGroup, blocking: float) -> None:
        self.groups, self.final, self.blocking = groups, final, blocking
        self.flows: dict[
            tuple[int, int], tuple[float, float]
        ] = {}  # group, trunks -> mean, variance of overflow
        self.final_sizes: dict[tuple[float, float], int] = {}  # mean, variance offered -> trunks

    def flow(self, i: int, trunks: int) -> tuple[float, float]:
        """Returns mean and variance of the overflow of group i with this number of trunks."""
        flow = self.flows.get((i, trunks))
        if flow is None:
            load = self.groups[i].load
            flow = losses.overflow(trunks, load) if trunks else (load, load)
            self.flows[i, trunks] = flow
        return flow

    def offered(self, trunks: Sequence[int]) -> tuple[float, float]:
        """Returns mean and variance of the load offered to the final group."""
        flows = [self.flow(i, n) for i, n in enumerate(trunks)]
        mean = self.final.load + math.fsum(flow[0] for flow in flows)
        return mean, self.final.load + math.fsum(flow[1] for flow in flows)

    def final_trunks(self, mean: float, variance: float) -> int:
        """Returns the trunks that the final group needs for a load of this mean and variance, in whole modules."""
        if mean < losses.MIN_LOAD:
            return 0
        flow = (mean, max(mean, variance))  # overflow is never smoother than Poisson, except by rounding
        trunks = self.final_sizes.get(flow)
        if trunks is None:
            needed = losses.trunks_for_overflow(*flow, self.blocking)
            trunks = self.final_sizes[flow] = round_up_to_module(needed, self.final.module)
        return trunks

    def cost(self, trunks: Sequence[int]) -> tuple[float, float]:
        """Returns the total cost, and the final group's mean load so that the lower load wins at equal cost."""
        mean, variance = self.offered(trunks)
        high_usage_cost = math.fsum(group.cost * n for group, n in zip(self.groups, trunks, strict=True))
        return high_usage_cost + self.final.cost * self.final_trunks(mean, variance), mean

    def truitt_size(self, i: int) -> int:
        """Returns the size of group i at which one more module costs more than it saves in the final group."""
        group, n = self.groups[i], 0
        cost_per_erlang = self._final_cost_per_erlang()
        while n + group.module <= losses.MAX_TRUNKS:
            gain = self.flow(i, n)[0] - self.flow(i, n + group.module)[0]
            if gain * cost_per_erlang <= group.cost * group.module:
                break
            n += group.module
        return n

    def _final_cost_per_erlang(self) -> float:
        """Returns the marginal cost per erlang in the final group, if a tenth of the load overflows to it."""
        mean = max(1.0, self.final.load + 0.1 * math.fsum(group.load for group in self.groups))
        step = 0.1 * mean
        trunks_more = losses.trunks_for_peaked(mean + step, 1.0, self.blocking)
        return self.final.cost * (trunks_more - losses.trunks_for_peaked(mean, 1.0, self.blocking)) / step

    def best(self) -> SizedNetwork:
        """Runs the search; returns the network of lowest cost found."""
        trunks = [self.truitt_size(i) for i in range(len(self.groups))]
        cost = self.cost(trunks)
        for move_size in MOVE_SIZES:
            moves = [{i: step} for i in range(len(trunks)) for step in (move_size, -move_size)]
            if len(trunks) <= MAX_PAIRED_GROUPS:
                moves += self._pair_moves(move_size)
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
        return self._sized_network(trunks)

    def _pair_moves(self, move_size: int) -> list[dict[int, int]]:
        """Returns the moves that change two groups at once, each by up to `move_size` modules."""
        steps = [step for step in range(-move_size, move_size + 1) if step]
        pairs = combinations(range(len(self.groups)), 2)
        return [{i: first, j: second} for i, j in pairs for first in steps for second in steps]

    def _sized_network(self, trunks: Sequence[int]) -> SizedNetwork:
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
        return SizedNetwork(
            trunks_by_name, self.cost(trunks)[0], flows, (mean, variance), final_blocking, loss
        )


# Trunk reservation.


@dataclass(frozen=True, slots=True)
class ReservationLevel:
    """The blocking of the protected class and of the others at one reservation level."""

    level: int  # trunks reserved for the protected class
    spared_blocking: float  # of the protected class
    others_blocking: float
    carried: float  # erlangs of both classes


def reservation(trunks: int, spared: float, others: float, level: int) -> ReservationLevel:
    """Returns the blocking at a reservation level: other classes are refused while at most `level` trunks are free.

    `spared` (the protected class) and `others` are loads in erlangs. Solves the birth-death chain of the busy trunks,
    which is exact if all classes have the same mean holding time. If these differ, for example 7 s and 9 s, it is an
    approximation that is close for levels far below the number of trunks.
    """
    n = losses.check_range("trunks", trunks, 1, losses.MAX_TRUNKS)
    check_range("level", level, 0, n)
    a, b = (
        check_range(name, load, 0.0, losses.MAX_LOAD)
        for name, load in (("spared", spared), ("others", others))
    )
    admission_limit = int(n) - level
    # Weights are relative to the state with all trunks busy, and scaled down before they overflow.
    weights, weight, total = [1.0], 1.0, 1.0
    for busy in range(int(n), 0, -1):
        rate = a + b if busy - 1 < admission_limit else a
        if rate <= 0.0:
            # No call is admitted in the state below, so the states from here up have probability 0.
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
    return ReservationLevel(level, probabilities[0], others_blocking, carried)


def levels(
    trunks: int, spared: float, others: float, goal: float, max_level: int | None = None
) -> list[ReservationLevel]:
    """Returns levels from 0 to the first, or `max_level`, at which the protected class's blocking meets the goal."""
    check_range("goal", goal, 0.0, 1.0)
    reserved = []
    for level in range(min(trunks, trunks if max_level is None else max_level) + 1):
        reserved.append(reservation(trunks, spared, others, level))
        if reserved[-1].spared_blocking <= goal:
            break
    return reserved
