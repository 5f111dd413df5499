"""Traffic measurement: attempts, repeats and carried load of each trunk group and class of calls, per interval.

Registered as an observer of an engine. There is one cell of counters per pair of group and class; a call adds to its
counters and needs no timer and no memory of its own. Carried load is the integral of the number of established calls
over time, and not their number times a mean holding time, so that it is right for calls that last over several
intervals. Times are Unix milliseconds of the engine's clock. While the clock is set back, nothing is integrated; if it
jumps forward, a gap is reported, since the calls established in the meantime are not known.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

from leadslip import interface
from leadslip.trunks.redials import RefusalSample, persistence

if TYPE_CHECKING:
    from leadslip.core import Attempt, Request

# If the current interval began longer ago than this many intervals, the time since then is reported as a gap.
MAX_UNFINISHED_INTERVALS = 3.0
MAX_CELLS = 4096  # pairs of group and class; further ones share one cell
OVERFLOW_GROUP = "other"  # group and class of that shared cell


@dataclass(slots=True)
class Interval:
    """Counters of one group and class in one span of time, as recorded in the store."""

    start_s: int
    span_s: int
    group: str
    call_class: str
    covered_s: float = 0.0  # measured part of the span; the rest is a gap, and not a time without calls
    fresh: int = 0  # attempts not marked as a repeat
    marked: int = 0  # attempts marked as a repeat by the caller
    stood: int = 0  # attempts that became established calls
    refused: int = 0
    failed: int = 0
    left: int = 0  # attempts cancelled by the caller
    cut: int = 0  # established calls that did not end normally
    erlang_s: float = 0.0  # integral of the number of established calls, in call-seconds
    peak: int = 0  # maximum of simultaneously established calls
    held: int = 0  # calls that ended in the span
    held_s: float = 0.0  # sum of their holding times
    held_sq: float = 0.0  # sum of the squared holding times
    sampled: int = 0  # refusals added to the sample of refused numbers (RefusalSample)
    found: int = 0  # attempts that matched in the repeat window
    ripe: int = 0  # sampled refusals observed to the end of the control window
    chance: int = 0  # attempts that matched in the control window

    def add(self, other: Interval) -> None:
        """Adds the counters of another interval of the same group; the caller sets covered_s, as spans may overlap."""
        for name in SUMMED_FIELDS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.peak = max(self.peak, other.peak)

    @property
    def attempts(self) -> int:
        return self.fresh + self.marked

    @property
    def erlangs(self) -> float:
        """The mean carried load over the measured time, in erlangs."""
        return self.erlang_s / self.covered_s if self.covered_s else 0.0

    @property
    def blocking(self) -> float:
        """The fraction of all attempts that were refused or failed."""
        return (self.refused + self.failed) / self.attempts if self.attempts else 0.0

    @property
    def mean_hold_s(self) -> float:
        return self.held_s / self.held if self.held else 0.0

    @property
    def hold_variation(self) -> float:
        """The squared coefficient of variation of the holding times; 1 (exponential) while unknown."""
        if self.held < 2 or not self.held_s:
            return 1.0
        mean = self.held_s / self.held
        return max(0.0, self.held_sq / self.held - mean * mean) / (mean * mean)

    @property
    def persistence(self) -> float:
        """The fraction of lost calls redialled without a mark, estimated from the sampled numbers."""
        return persistence(self.sampled, self.found, self.ripe, self.chance)

    @property
    def lost(self) -> int:
        """Attempts that were refused, failed or cancelled."""
        return self.refused + self.failed + self.left

    @property
    def first_attempts(self) -> float:
        """Estimated number of first attempts: all attempts less the repeats, marked or not."""
        return max(0.0, self.fresh - self.persistence * self.lost)

    @property
    def offered(self) -> float:
        """The load in erlangs offered by first attempts, without redials (ITU-T E.501)."""
        if not self.covered_s:
            return 0.0
        return self.first_attempts * self._estimated_hold_s() / self.covered_s

    @property
    def naive(self) -> float:
        """The load in erlangs offered by all attempts, redials included."""
        return self.attempts * self._estimated_hold_s() / self.covered_s if self.covered_s else 0.0

    def _estimated_hold_s(self) -> float:
        """Mean holding time; with fewer than 30 ended calls, the call-seconds carried per established call."""
        if self.held >= 30 or not self.stood:
            return self.mean_hold_s
        return self.erlang_s / self.stood


NOT_SUMMED_FIELDS = ("start_s", "span_s", "group", "call_class", "covered_s", "peak")
SUMMED_FIELDS = tuple(field.name for field in fields(Interval) if field.name not in NOT_SUMMED_FIELDS)


class _Cell:
    """The current interval of one group and class, and the number of established calls."""

    __slots__ = ("interval", "established", "integrated_ms")

    def __init__(self, interval: Interval, integrated_ms: float) -> None:
        self.interval, self.established, self.integrated_ms = interval, 0, integrated_ms

    def integrate(self, now_ms: float) -> None:
        """Adds the established calls, times the ms since `integrated_ms`, to the carried load."""
        if now_ms > self.integrated_ms:
            self.interval.erlang_s += self.established * (now_ms - self.integrated_ms) / 1000.0
            self.integrated_ms = now_ms


class Traffic:
    """Observer that counts an engine's calls and passes the finished intervals of all cells to `on_intervals`.

    `group_of` maps a destination to its group. Unmapped destinations count in `default_group`, or without one each in a
    group of its own, such as `dest-3` (`any` for requests without a destination). `on_gap` is called with the start
    and end, in Unix ms, of unmeasured time.
    """

    def __init__(
        self,
        now_ms: float,
        on_intervals: Callable[[list[Interval]], None],
        on_gap: Callable[[float, float], None],
        interval_s: int = 60,
        group_of: Mapping[int, str] | None = None,
        default_group: str | None = None,
    ) -> None:
        self.on_intervals, self.on_gap, self.interval_s = on_intervals, on_gap, interval_s
        self.group_of, self.default_group = dict(group_of or {}), default_group
        self.cells: dict[tuple[str, str], _Cell] = {}
        self.by_destination: dict[
            tuple[int, str], _Cell
        ] = {}  # (destination, class) -> cell: saves building the group name for each call
        self.refusal_samples: dict[str, RefusalSample] = {}  # by group
        self.covered_from_ms = now_ms  # start of the measured part of the current interval

    # Observer interface, called by the engine.

    def request_answered(self, request: Request, answer: str, now_ms: float) -> None:
        """Counts a request as an attempt, in the interval in which it was answered."""
        cell = self.by_destination.get((request.destination, request.call_class))
        if cell is None:
            cell = self._cell_for(request.destination, request.call_class)
        interval = cell.interval
        sample = self.refusal_samples.get(interval.group)
        if sample is not None and request.number_called:
            self._match_repeat(interval, sample, request, now_ms)
        if request.redialled:
            interval.marked += 1
        else:
            interval.fresh += 1
        if answer == "stands":
            cell.integrate(now_ms)
            interval.stood += 1
            cell.established += 1
            interval.peak = max(interval.peak, cell.established)
            return
        if answer == "refused":
            interval.refused += 1
        elif answer == "failed":
            interval.failed += 1
        else:
            interval.left += 1
        if request.number_called:
            self._sample_refusal(interval, request.number_called, now_ms)

    def attempt_ended(self, attempt: Attempt, outcome: interface.Outcome, now_ms: float) -> None:
        """Counts the end of an established call; other attempts are ignored."""
        if not attempt.established:
            return
        request = attempt.request
        cell = self.by_destination.get((request.destination, request.call_class))
        if cell is None:
            return  # the call was established before this observer was added
        cell.integrate(now_ms)
        cell.established = max(0, cell.established - 1)
        interval = cell.interval
        hold_s = max(0.0, now_ms - attempt.sent_ms) / 1000.0
        interval.held += 1
        interval.held_s += hold_s
        interval.held_sq += hold_s * hold_s
        if outcome is not interface.Outcome.SERVED:
            interval.cut += 1

    def _match_repeat(
        self, interval: Interval, sample: RefusalSample, request: Request, now_ms: float
    ) -> None:
        """Matches an attempt against the sample of refused numbers, and counts the result in its interval."""
        key = hash((interval.call_class, request.number_called))
        if request.redialled:
            sample.remove(key)
            return
        found, chance, ripe = sample.matched, sample.control_matched, sample.control_sampled
        sample.match(key, now_ms)
        interval.found += sample.matched - found
        interval.chance += sample.control_matched - chance
        interval.ripe += sample.control_sampled - ripe

    def _sample_refusal(self, interval: Interval, number: str, now_ms: float) -> None:
        """Adds a refused number to the sample of its group, and counts the change in its interval."""
        sample = self.refusal_samples.get(interval.group)
        if sample is None:
            sample = self.refusal_samples[interval.group] = RefusalSample()
        sampled, ripe = sample.sampled, sample.control_sampled
        sample.add_refusal(hash((interval.call_class, number)), now_ms)
        interval.sampled += sample.sampled - sampled
        interval.ripe += sample.control_sampled - ripe

    def _cell_for(self, destination: int, call_class: str) -> _Cell:
        """Returns the cell of a destination and class; creates it if needed."""
        group = self.group_of.get(destination)
        if group is None:
            group = self.default_group or (f"dest-{destination}" if destination >= 0 else "any")
        if len(self.cells) >= MAX_CELLS and (group, call_class) not in self.cells:
            group = call_class = OVERFLOW_GROUP  # bounds memory, as callers choose the destinations
        cell = self.cells.get((group, call_class))
        if cell is None:
            interval = Interval(
                self._interval_start_s(self.covered_from_ms), self.interval_s, group, call_class
            )
            cell = self.cells[group, call_class] = _Cell(interval, self.covered_from_ms)
        if len(self.by_destination) < 2 * MAX_CELLS:
            self.by_destination[destination, call_class] = cell
        return cell

    # Intervals.

    def _interval_start_s(self, ms: float) -> int:
        return int(ms / 1000.0 // self.interval_s) * self.interval_s

    def interval_end_ms(self) -> float:
        """Returns the end of the current interval in Unix ms."""
        return (self._interval_start_s(self.covered_from_ms) + self.interval_s) * 1000.0

    def finish_intervals(self, now_ms: float) -> None:
        """Reports each interval that has ended; must be called at the time that `interval_end_ms` returns."""
        if now_ms - self.covered_from_ms > MAX_UNFINISHED_INTERVALS * self.interval_s * 1000.0:
            self._report_gap(now_ms)
        while self.interval_end_ms() <= now_ms:
            self._finish_interval(self.interval_end_ms())

    def _report_gap(self, now_ms: float) -> None:
        """Reports the time since the current interval began as a gap, after a clock jump or a suspended process."""
        # The counters of that interval are kept, with 1 ms of it as measured.
        self._finish_interval(min(self.covered_from_ms + 1.0, self.interval_end_ms()))
        self.on_gap(self.covered_from_ms, now_ms)
        self._begin_interval(now_ms)

    def close(self, now_ms: float) -> None:
        """Reports the current interval up to now, when the process ends; the rest of it stays unmeasured."""
        self.finish_intervals(now_ms)
        if now_ms > self.covered_from_ms:
            self._finish_interval(now_ms)

    def _finish_interval(self, end_ms: float) -> None:
        """Ends the current interval of all cells, reports it and begins the next."""
        covered_s = max(0.0, end_ms - self.covered_from_ms) / 1000.0
        finished = []
        for cell in self.cells.values():
            cell.integrate(end_ms)
            cell.interval.covered_s = covered_s
            finished.append(cell.interval)
        self._begin_interval(end_ms)
        if finished:
            self.on_intervals(finished)

    def _begin_interval(self, start_ms: float) -> None:
        self.covered_from_ms = start_ms
        start_s = self._interval_start_s(start_ms)
        for (group, call_class), cell in self.cells.items():
            cell.interval = Interval(start_s, self.interval_s, group, call_class, peak=cell.established)
            cell.integrated_ms = start_ms


def aggregate(intervals: Iterable[Interval], span_s: int, classes: bool = True) -> list[Interval]:
    """Returns the sums of intervals over longer spans, in chronological order, by group and (`classes`) by class."""
    totals: dict[tuple[int, str, str], Interval] = {}
    covered_s: dict[tuple[int, str, str], dict[int, float]] = {}
    for interval in intervals:
        start_s = interval.start_s // span_s * span_s
        key = (start_s, interval.group, interval.call_class if classes else "")
        total = totals.get(key)
        if total is None:
            total = totals[key] = Interval(start_s, span_s, interval.group, key[2])
        total.add(interval)
        # Classes, and runs of the process, cover the same time: of equal starts the longest counts, not the sum.
        covered_parts = covered_s.setdefault(key, {})
        covered_parts[interval.start_s] = min(
            interval.span_s, max(covered_parts.get(interval.start_s, 0.0), interval.covered_s)
        )
    for key, total in totals.items():
        total.covered_s = min(span_s, sum(covered_s[key].values()))
    return [totals[key] for key in sorted(totals)]
