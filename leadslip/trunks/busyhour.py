"""Busy hour of a trunk group: the hour of the day that a group is sized for, and the days that count towards it.

Follows ITU-T E.500 and E.492, with loads in quarter hours. The time-consistent busy hour (TCBH) is the hour of
the day whose mean load over the days is highest; the average daily peak hour (ADPH) averages the highest hour of
each day, whenever it occurs. A month's normal load is the fourth highest of its daily peaks, its high load the second.
A quarter hour that was not fully measured is reported as a gap; hours that contain one are left out, as their load
is not known.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from statistics import fmean, median

from leadslip.trunks.losses import LossError
from leadslip.trunks.traffic import Interval

QUARTER_S, DAY_S = 900, 86_400
QUARTERS_PER_DAY = DAY_S // QUARTER_S
MIN_COVERED_FRACTION = 0.95  # fraction of a quarter hour that must have been measured for it to count
# A daily peak is a surge if it exceeds the median of the daily peaks by more than 4 standard deviations, estimated
# as 1.4826 times the median absolute deviation (MAD).
SURGE_MAD_MULTIPLE = 1.4826 * 4.0
# Minimum ratio of a surge to the median: if the peaks scatter little, 4 standard deviations are only a small rise.
SURGE_MIN_RATIO = 1.25


@dataclass(slots=True)
class Day:
    """The fully measured quarter hours of one day; loads in erlangs."""

    start_s: int  # midnight UTC
    loads: dict[int, float] = field(default_factory=dict)  # quarter of the day, from 0 -> offered load
    carried: dict[int, float] = field(default_factory=dict)  # quarter of the day -> carried load

    def hourly_load(self, quarter: int) -> float | None:
        """Returns the mean load of the hour that starts at a quarter; None if part of it is missing."""
        loads = [self.loads.get(quarter + i) for i in range(4)]
        return None if None in loads else fmean(loads)  # type: ignore[arg-type]

    def peak(self) -> tuple[float, int] | None:
        """Returns the highest hourly load and the quarter at which that hour starts; of equal hours, the earliest."""
        hourly_loads = [
            (load, -quarter)
            for quarter in range(QUARTERS_PER_DAY - 3)
            if (load := self.hourly_load(quarter)) is not None
        ]
        if not hourly_loads:
            return None
        load, negative_quarter = max(hourly_loads)
        return load, -negative_quarter


@dataclass(frozen=True, slots=True)
class BusyHour:
    """The busy-hour load of a group, and the days and gaps that it was derived from."""

    kind: str  # definition of the busy hour: tcbh or adph
    load: float  # erlangs: mean of the busy hour over the days without a surge
    starts_s: int | None  # seconds after midnight UTC; None for adph, where the hour differs from day to day
    days: int  # days without a surge that contribute to the load
    normal: float | None  # E.500: the fourth highest daily peak; None with fewer than four days
    high: float | None  # E.500: the second highest daily peak; None with fewer than two days
    surges: tuple[tuple[int, float], ...]  # days with a surge: midnight UTC, peak load
    gaps: tuple[tuple[int, int], ...]  # quarter hours missing or not fully measured: start, seconds


def days_and_gaps(quarters: Iterable[Interval]) -> tuple[list[Day], list[tuple[int, int]]]:
    """Sorts the quarter hours of one trunk group by day; also returns the gaps (start, seconds) between them."""
    days: dict[int, Day] = {}
    covered_by_start: dict[int, float] = {}
    last_start_s = None
    for interval in sorted(quarters, key=lambda recorded: recorded.start_s):
        covered_by_start[interval.start_s] = interval.covered_s
        last_start_s = interval.start_s
        if interval.covered_s >= MIN_COVERED_FRACTION * QUARTER_S:
            start_s = interval.start_s // DAY_S * DAY_S
            day = days.setdefault(start_s, Day(start_s))
            quarter = (interval.start_s - start_s) // QUARTER_S
            day.loads[quarter], day.carried[quarter] = interval.offered, interval.erlangs
    gaps: list[tuple[int, int]] = []
    if last_start_s is not None:
        for quarter_start_s in range(min(covered_by_start), last_start_s + 1, QUARTER_S):
            if covered_by_start.get(quarter_start_s, 0.0) < MIN_COVERED_FRACTION * QUARTER_S:
                if gaps and gaps[-1][0] + gaps[-1][1] == quarter_start_s:
                    gaps[-1] = (gaps[-1][0], gaps[-1][1] + QUARTER_S)
                else:
                    gaps.append((quarter_start_s, QUARTER_S))
    return [days[start] for start in sorted(days)], gaps


def find_surges(days: Sequence[Day]) -> set[int]:
    """Returns the start of each day whose peak is a surge; none with fewer than five days, too few to compare."""
    peaks = {day.start_s: peak[0] for day in days if (peak := day.peak()) is not None}
    if len(peaks) < 5:
        return set()
    median_peak = median(peaks.values())
    deviation = median(abs(peak - median_peak) for peak in peaks.values())
    threshold = max(median_peak + SURGE_MAD_MULTIPLE * deviation, SURGE_MIN_RATIO * median_peak)
    return {start for start, peak in peaks.items() if peak > threshold}


def busy_hour(quarters: Iterable[Interval], kind: str = "tcbh") -> BusyHour | None:
    """Returns the busy hour of one group from its quarter hours; None if no hour was fully measured."""
    if kind not in ("tcbh", "adph"):
        raise LossError(f"busy-hour must be tcbh or adph: {kind!r}")
    days, gaps = days_and_gaps(quarters)
    surge_starts = find_surges(days)
    normal_days = [day for day in days if day.start_s not in surge_starts]
    peaks = [peak[0] for day in normal_days if (peak := day.peak()) is not None]
    if not peaks:
        return None
    starts_s = None
    if kind == "adph":
        load, day_count = fmean(peaks), len(peaks)
    else:
        # Leaves out hours measured on fewer than half as many days as others, where one high value could decide.
        loads_by_start = {
            quarter: [hour_load for day in normal_days if (hour_load := day.hourly_load(quarter)) is not None]
            for quarter in range(QUARTERS_PER_DAY - 3)
        }
        max_day_count = max(len(hour_loads) for hour_loads in loads_by_start.values())
        candidates = [
            (fmean(hour_loads), -quarter)
            for quarter, hour_loads in loads_by_start.items()
            if 2 * len(hour_loads) >= max_day_count and hour_loads
        ]
        load, negative_quarter = max(candidates)
        starts_s, day_count = -negative_quarter * QUARTER_S, len(loads_by_start[-negative_quarter])
    ranked_peaks = sorted(peaks, reverse=True)
    surges = tuple((day.start_s, day.peak()[0]) for day in days if day.start_s in surge_starts)  # type: ignore[index]
    return BusyHour(
        kind,
        load,
        starts_s,
        day_count,
        ranked_peaks[3] if len(ranked_peaks) >= 4 else None,
        ranked_peaks[1] if len(ranked_peaks) >= 2 else None,
        surges,
        tuple(gaps),
    )
