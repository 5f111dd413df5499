"""Reports from the store: the busy hour of each group, with what the measurement is worth, and its plot."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from leadslip.store.base import Store
from leadslip.trunks import busyhour, record, sizing
from leadslip.trunks.busyhour import QUARTER_S, BusyHour
from leadslip.trunks.losses import LossError
from leadslip.trunks.traffic import Interval, rolled


@dataclass(frozen=True, slots=True)
class Told:
    """What is known of one group; figures of the busy hour are None where none was measured in full."""

    group: str
    busy_hour: str
    starts_s: int | None  # seconds after midnight UTC, for tcbh
    load: float | None  # erlangs offered for the first time in the busy hour
    low: float | None
    high: float | None  # sizing takes this one
    normal: float | None
    high_days: float | None
    days: int
    naive: float  # erlangs that a count of all attempts would give, over all that was measured
    offered: float  # and what was offered for the first time
    carried: float
    blocking: float
    persistence: float
    classes: dict[str, float]  # carried erlangs of each
    surges: tuple[tuple[int, float], ...]
    gaps: tuple[tuple[int, int], ...]


class Quarters:
    """The quarter hours of a store, by group."""

    def __init__(self, path: str) -> None:
        store = Store(path, read_only=True)
        try:
            told = [one for one in record.intervals(store) if one.span_s <= QUARTER_S]
        finally:
            store.close()
        self.damaged = store.damaged
        self.by_group: dict[str, list[Interval]] = {}
        for one in rolled(told, QUARTER_S, classes=False):
            self.by_group.setdefault(one.group, []).append(one)
        self.by_class: dict[str, list[Interval]] = {}
        for one in rolled(told, QUARTER_S):
            self.by_class.setdefault(one.group, []).append(one)

    @property
    def groups(self) -> list[str]:
        return sorted(self.by_group)

    def told(self, group: str, kind: str, confidence: float) -> Told:
        """The report of one group."""
        quarters = self.by_group.get(group)
        if quarters is None:
            raise LossError(f"group is not in the store: {group!r}")
        whole = _sum(quarters)
        found = busyhour.busy_hour(quarters, kind)
        low = high = None
        if found is not None:
            low, high = self._bounds(quarters, found, confidence)
        seconds = whole.covered_s or 1.0
        classes: dict[str, float] = {}
        for one in self.by_class[group]:
            classes[one.call_class] = classes.get(one.call_class, 0.0) + one.erlang_s / seconds
        gaps = found.gaps if found is not None else tuple(busyhour.days_of(quarters)[1])
        return Told(
            group=group,
            busy_hour=kind,
            starts_s=found and found.starts_s,
            load=found and found.load,
            low=low,
            high=high,
            normal=found and found.normal,
            high_days=found and found.high,
            days=found.days if found else 0,
            naive=whole.naive,
            offered=whole.offered,
            carried=whole.erlangs,
            blocking=whole.blocking,
            persistence=whole.persistence,
            classes=classes,
            surges=found.surges if found else (),
            gaps=gaps,
        )

    def _bounds(
        self, quarters: Sequence[Interval], found: BusyHour, confidence: float
    ) -> tuple[float, float]:
        """The limits of the busy hour's load, by the first tries that it was measured from."""
        apart = {start for start, _ in found.surges}
        counted = [one for one in quarters if one.start_s // busyhour.DAY_S * busyhour.DAY_S not in apart]
        if found.starts_s is not None:
            hour = range(found.starts_s, found.starts_s + 3600)
            counted = [one for one in counted if one.start_s % busyhour.DAY_S in hour]
            calls = sum(one.first_tries for one in counted)
        else:
            # One hour of each day was taken: the mean of the day's hours tells fewer calls, and is on the safe side.
            calls = sum(one.first_tries for one in counted) * 4.0 * found.days / max(1, len(counted))
        return sizing.measured_bounds(found.load, calls, _sum(counted).hold_variation, confidence)

    def upper_load(self, group: str, kind: str, confidence: float) -> float:
        """The load to size a group for; nought where nothing is known of it."""
        if group not in self.by_group:
            return 0.0
        return self.told(group, kind, confidence).high or 0.0


def _sum(quarters: Sequence[Interval]) -> Interval:
    whole = Interval(0, 0, "", "")
    for one in quarters:
        whole.add(one)
        whole.covered_s += one.covered_s
    return whole


def draw(quarters: Quarters, groups: Sequence[str], path: str) -> None:
    """Each group's offered and carried load over time, and where nothing was measured; into an SVG or PNG file."""
    import matplotlib

    matplotlib.use("svg" if path.endswith(".svg") else "agg")
    import datetime

    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(groups) or 1, 1, figsize=(10, 2.6 * max(1, len(groups))), squeeze=False, sharex=True
    )
    for axis, group in zip(axes[:, 0], groups, strict=False):
        told = quarters.by_group[group]
        when = [datetime.datetime.fromtimestamp(one.start_s, datetime.UTC) for one in told]
        axis.step(when, [one.offered for one in told], where="post", label="offered, first tries")
        axis.step(when, [one.erlangs for one in told], where="post", label="carried")
        axis.step(when, [one.naive for one in told], where="post", label="by attempts", linewidth=0.7)
        for start_s, seconds in busyhour.days_of(told)[1]:
            begun = datetime.datetime.fromtimestamp(start_s, datetime.UTC)
            axis.axvspan(begun, begun + datetime.timedelta(seconds=seconds), alpha=0.2, color="grey")
        axis.set_title(group)
        axis.set_ylabel("erlangs")
        axis.set_ylim(bottom=0)
        axis.legend(loc="upper left", fontsize="small")
    figure.autofmt_xdate()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
