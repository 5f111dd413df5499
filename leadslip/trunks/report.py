"""Traffic reports from the store: the busy hour of each group with confidence limits, and a plot of its load."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from leadslip.store.base import Store
from leadslip.trunks import busyhour, record, sizing
from leadslip.trunks.busyhour import QUARTER_S, BusyHour
from leadslip.trunks.losses import LossError
from leadslip.trunks.traffic import Interval, aggregate


@dataclass(frozen=True, slots=True)
class GroupReport:
    """The report of one group; busy-hour values are None if no hour was fully measured."""

    group: str
    busy_hour: str  # its definition: tcbh or adph
    starts_s: int | None  # seconds after midnight UTC, for tcbh only
    load: float | None  # erlangs of first attempts offered in the busy hour
    low: float | None  # lower confidence limit of the load
    high: float | None  # upper confidence limit of the load, used for sizing
    normal: float | None  # E.500: the fourth highest daily peak
    high_days: float | None  # E.500: the second highest daily peak
    days: int  # days that contribute to the load
    naive: float  # erlangs offered by all attempts, redials included, over the whole record
    offered: float  # erlangs offered by first attempts, over the whole record
    carried: float  # erlangs
    blocking: float  # fraction of all attempts that were refused or failed
    persistence: float  # estimated fraction of lost calls redialled without a mark
    classes: dict[str, float]  # class -> carried erlangs
    surges: tuple[tuple[int, float], ...]  # days left out: midnight UTC, peak load
    gaps: tuple[tuple[int, int], ...]  # not fully measured: start, seconds


class Quarters:
    """The quarter hours of a store by group, read once; `by_group` adds up the classes, `by_class` does not."""

    def __init__(self, path: str) -> None:
        store = Store(path, read_only=True)
        try:
            intervals = [interval for interval in record.intervals(store) if interval.span_s <= QUARTER_S]
        finally:
            store.close()
        self.damaged_records = store.damaged_records
        self.by_group: dict[str, list[Interval]] = {}
        for interval in aggregate(intervals, QUARTER_S, classes=False):
            self.by_group.setdefault(interval.group, []).append(interval)
        self.by_class: dict[str, list[Interval]] = {}
        for interval in aggregate(intervals, QUARTER_S):
            self.by_class.setdefault(interval.group, []).append(interval)

    @property
    def groups(self) -> list[str]:
        return sorted(self.by_group)

    def group_report(self, group: str, kind: str, confidence: float) -> GroupReport:
        """Returns the report of one group; `kind` is the definition of the busy hour, tcbh or adph."""
        quarters = self.by_group.get(group)
        if quarters is None:
            raise LossError(
                f"group is not in the store: {group!r}; recorded are {', '.join(self.groups) or 'none'}"
            )
        total = _total(quarters)
        measured_hour = busyhour.busy_hour(quarters, kind)
        low = high = None
        if measured_hour is not None:
            low, high = self._confidence_limits(quarters, measured_hour, confidence)
        seconds = total.covered_s or 1.0
        classes: dict[str, float] = {}
        for interval in self.by_class[group]:
            classes[interval.call_class] = classes.get(interval.call_class, 0.0) + interval.erlang_s / seconds
        gaps = measured_hour.gaps if measured_hour is not None else tuple(busyhour.days_and_gaps(quarters)[1])
        return GroupReport(
            group=group,
            busy_hour=kind,
            starts_s=measured_hour and measured_hour.starts_s,
            load=measured_hour and measured_hour.load,
            low=low,
            high=high,
            normal=measured_hour and measured_hour.normal,
            high_days=measured_hour and measured_hour.high,
            days=measured_hour.days if measured_hour else 0,
            naive=total.naive,
            offered=total.offered,
            carried=total.erlangs,
            blocking=total.blocking,
            persistence=total.persistence,
            classes=classes,
            surges=measured_hour.surges if measured_hour else (),
            gaps=gaps,
        )

    def _confidence_limits(
        self, quarters: Sequence[Interval], measured_hour: BusyHour, confidence: float
    ) -> tuple[float, float]:
        """Returns the confidence limits of the busy-hour load, from the number of first attempts measured."""
        surge_starts = {start for start, _ in measured_hour.surges}
        counted_quarters = [
            quarter
            for quarter in quarters
            if quarter.start_s // busyhour.DAY_S * busyhour.DAY_S not in surge_starts
        ]
        if measured_hour.starts_s is not None:
            busy_seconds = range(measured_hour.starts_s, measured_hour.starts_s + 3600)
            counted_quarters = [
                quarter for quarter in counted_quarters if quarter.start_s % busyhour.DAY_S in busy_seconds
            ]
            calls = sum(quarter.first_attempts for quarter in counted_quarters)
        else:
            # ADPH takes one hour of each day: the mean over all hours gives fewer calls, and so wider limits.
            calls = (
                sum(quarter.first_attempts for quarter in counted_quarters)
                * 4.0
                * measured_hour.days
                / max(1, len(counted_quarters))
            )
        return sizing.measured_bounds(
            measured_hour.load, calls, _total(counted_quarters).hold_variation, confidence
        )

    def upper_load(self, group: str, kind: str, confidence: float) -> float:
        """Returns the load to size a group for: its upper confidence limit, 0 if no hour of it was fully measured."""
        if group not in self.by_group:
            return 0.0
        return self.group_report(group, kind, confidence).high or 0.0


def _total(quarters: Sequence[Interval]) -> Interval:
    """Returns the sum of intervals that do not overlap."""
    total = Interval(0, 0, "", "")
    for quarter in quarters:
        total.add(quarter)
        total.covered_s += quarter.covered_s
    return total


def draw(quarters: Quarters, groups: Sequence[str], path: str) -> None:
    """Plots each group's offered and carried load over time, with the gaps shaded, into an SVG or PNG file."""
    import matplotlib

    matplotlib.use("svg" if path.endswith(".svg") else "agg")
    import datetime

    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(groups) or 1, 1, figsize=(10, 2.6 * max(1, len(groups))), squeeze=False, sharex=True
    )
    for axis, group in zip(axes[:, 0], groups, strict=False):
        group_quarters = quarters.by_group[group]
        starts = [
            datetime.datetime.fromtimestamp(quarter.start_s, datetime.UTC) for quarter in group_quarters
        ]
        axis.step(
            starts,
            [quarter.offered for quarter in group_quarters],
            where="post",
            label="offered by first attempts",
        )
        axis.step(starts, [quarter.erlangs for quarter in group_quarters], where="post", label="carried")
        axis.step(
            starts,
            [quarter.naive for quarter in group_quarters],
            where="post",
            label="offered by all attempts",
            linewidth=0.7,
        )
        for start_s, seconds in busyhour.days_and_gaps(group_quarters)[1]:
            gap_start = datetime.datetime.fromtimestamp(start_s, datetime.UTC)
            axis.axvspan(gap_start, gap_start + datetime.timedelta(seconds=seconds), alpha=0.2, color="grey")
        axis.set_title(group)
        axis.set_ylabel("erlangs")
        axis.set_ylim(bottom=0)
        axis.legend(loc="upper left", fontsize="small")
    figure.autofmt_xdate()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
