"""The busy hour: which hour of the day a group is sized for, and which days count for it.

After ITU-T E.500 and E.492: loads are read in quarter hours. The time-consistent busy hour (tcbh) is the hour of
the day whose mean over the days is highest; the average daily peak hour (adph) takes the highest hour of each day
wherever it lies. A month's normal load is the fourth highest of its daily peaks and its high load the second.
A quarter that was not measured in full is a gap: it is named, and its hour is not taken for a quiet one.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from statistics import fmean, median

from leadslip.trunks.losses import LossError
from leadslip.trunks.traffic import Interval

QUARTER_S, DAY_S = 900, 86_400
QUARTERS = DAY_S // QUARTER_S
COVERED = 0.95  # of a quarter must have been measured for it to count
SURGE_FACTOR = 1.4826 * 4.0  # deviations, by the median of them, from which on a day's peak is no common one
SURGE_PART = 1.25  # and so many times the median at the least, as quiet days scatter little


@dataclass(slots=True)
class Day:
    """The quarters of one day that were measured; loads in erlangs."""

    start_s: int
    loads: dict[int, float] = field(default_factory=dict)  # quarter of the day -> offered load
    carried: dict[int, float] = field(default_factory=dict)

    def hour(self, quarter: int) -> float | None:
        """The mean load of the hour that begins with a quarter; None where part of it is missing."""
        found = [self.loads.get(quarter + i) for i in range(4)]
        return None if None in found else fmean(found)  # type: ignore[arg-type]

    def peak(self) -> tuple[float, int] | None:
        """The highest hour of the day and the quarter with which it begins."""
        hours = [(load, -q) for q in range(QUARTERS - 3) if (load := self.hour(q)) is not None]
        if not hours:
            return None
        load, negative = max(hours)
        return load, -negative


@dataclass(frozen=True, slots=True)
class BusyHour:
    """What a group is to be sized for."""

    kind: str  # tcbh or adph
    load: float  # erlangs: the mean of that hour over the common days
    starts_s: int | None  # seconds after midnight UTC; None for adph, where each day has its own
    days: int  # common days that count
    normal: float | None  # E.500: the fourth highest daily peak, where there are as many days
    high: float | None  # and the second highest
    surges: tuple[tuple[int, float], ...]  # days of a surge: start, peak load
    gaps: tuple[
        tuple[int, int], ...
    ]  # quarters that were begun and not measured in full, or missing: start, seconds


def days_of(quarters: Iterable[Interval]) -> tuple[list[Day], list[tuple[int, int]]]:
    """Days from the quarters of one group, and the gaps between the first quarter and the last."""
    days: dict[int, Day] = {}
    whole: dict[int, float] = {}
    last = None
    for told in sorted(quarters, key=lambda one: one.start_s):
        whole[told.start_s] = told.covered_s
        last = told.start_s
        if told.covered_s >= COVERED * QUARTER_S:
            start_s = told.start_s // DAY_S * DAY_S
            day = days.setdefault(start_s, Day(start_s))
            quarter = (told.start_s - start_s) // QUARTER_S
            day.loads[quarter], day.carried[quarter] = told.offered, told.erlangs
    gaps: list[tuple[int, int]] = []
    if last is not None:
        for at in range(min(whole), last + 1, QUARTER_S):
            if whole.get(at, 0.0) < COVERED * QUARTER_S:
                if gaps and gaps[-1][0] + gaps[-1][1] == at:
                    gaps[-1] = (gaps[-1][0], gaps[-1][1] + QUARTER_S)
                else:
                    gaps.append((at, QUARTER_S))
    return [days[start] for start in sorted(days)], gaps


def surges_of(days: Sequence[Day]) -> set[int]:
    """The days whose peak stands out: their starts. With fewer than five days there is nothing to compare."""
    peaks = {day.start_s: peak[0] for day in days if (peak := day.peak()) is not None}
    if len(peaks) < 5:
        return set()
    middle = median(peaks.values())
    scatter = median(abs(peak - middle) for peak in peaks.values())
    bound = max(middle + SURGE_FACTOR * scatter, SURGE_PART * middle)
    return {start for start, peak in peaks.items() if peak > bound}


def busy_hour(quarters: Iterable[Interval], kind: str = "tcbh") -> BusyHour | None:
    """The busy hour of one group's quarters; None where no hour was measured in full."""
    if kind not in ("tcbh", "adph"):
        raise LossError(f"busy-hour must be tcbh or adph: {kind!r}")
    days, gaps = days_of(quarters)
    apart = surges_of(days)
    common = [day for day in days if day.start_s not in apart]
    peaks = [peak[0] for day in common if (peak := day.peak()) is not None]
    if not peaks:
        return None
    starts_s = None
    if kind == "adph":
        load, counted = fmean(peaks), len(peaks)
    else:
        # An hour seen on few of the days must not win by one of them.
        seen = {q: [h for day in common if (h := day.hour(q)) is not None] for q in range(QUARTERS - 3)}
        most = max(len(hours) for hours in seen.values())
        means = [(fmean(hours), -q) for q, hours in seen.items() if 2 * len(hours) >= most and hours]
        load, negative = max(means)
        starts_s, counted = -negative * QUARTER_S, len(seen[-negative])
    ranked = sorted(peaks, reverse=True)
    surges = tuple((day.start_s, day.peak()[0]) for day in days if day.start_s in apart)  # type: ignore[index]
    return BusyHour(
        kind,
        load,
        starts_s,
        counted,
        ranked[3] if len(ranked) >= 4 else None,
        ranked[1] if len(ranked) >= 2 else None,
        surges,
        tuple(gaps),
    )
