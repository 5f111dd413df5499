"""Traffic as measured: attempts, repeats and carried load of each group and class, interval by interval.

Fed by an engine as its watcher. A call costs a few additions to the counters of its cell, one for each pair of
group and class: no timer, and nothing allocated that lasts as long as the call. Carried load is the integral of the
calls that stand, not starts times a mean holding time, so it is right whenever an interval begins or ends.
Times are Unix milliseconds of the engine's clock; a clock that goes back counts as standing still, and one that
leaps leaves a gap that is named, since what stood meanwhile is not known.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

from leadslip import interface as face
from leadslip.trunks.redials import Sampled, persistence

if TYPE_CHECKING:
    from leadslip.core import Attempt, Request

LEAP = 3.0  # intervals that may pass without a roll before the time between counts as a gap
MOST_CELLS = 4096  # pairs of group and class; further ones are counted together
OTHER = "other"


@dataclass(slots=True)
class Interval:
    """What one group and class saw in one span of time; spans are added up by `add`."""

    start_s: int
    span_s: int
    group: str
    call_class: str
    covered_s: float = 0.0  # of the span: the rest is a gap, not silence
    fresh: int = 0  # attempts not marked as a repeat
    marked: int = 0  # attempts that their caller marked
    stood: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0  # given up by the caller
    cut: int = 0
    erlang_s: float = 0.0  # the integral of the calls that stood, in call-seconds
    peak: int = 0  # most that stood at once
    held: int = 0  # calls that ended in it
    held_s: float = 0.0  # their holding times
    held_sq: float = 0.0  # the squares of them
    sampled: int = 0  # refusals watched for a repeat
    found: int = 0
    ripe: int = 0  # and for a call that comes by chance
    chance: int = 0

    def add(self, other: Interval) -> None:
        """Take in another of the same group; spans covered add up to that of the longest-covered class."""
        for name in SUMS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.peak = max(self.peak, other.peak)

    @property
    def attempts(self) -> int:
        return self.fresh + self.marked

    @property
    def erlangs(self) -> float:
        """The carried load over the time that was covered."""
        return self.erlang_s / self.covered_s if self.covered_s else 0.0

    @property
    def blocking(self) -> float:
        """The part of all attempts that was refused or failed."""
        return (self.refused + self.failed) / self.attempts if self.attempts else 0.0

    @property
    def mean_hold_s(self) -> float:
        return self.held_s / self.held if self.held else 0.0

    @property
    def hold_variation(self) -> float:
        """The squared coefficient of variation of the holding times; 1, as of the exponential, while unknown."""
        if self.held < 2 or not self.held_s:
            return 1.0
        mean = self.held_s / self.held
        return max(0.0, self.held_sq / self.held - mean * mean) / (mean * mean)

    @property
    def persistence(self) -> float:
        """The part of lost calls dialled again without a mark, by the sampled numbers."""
        return persistence(self.sampled, self.found, self.ripe, self.chance)

    @property
    def lost(self) -> int:
        """Attempts that came to nothing, for whatever reason."""
        return self.refused + self.failed + self.left

    @property
    def first_tries(self) -> float:
        """Attempts less the repeats, marked or not: the calls that were wanted."""
        return max(0.0, self.fresh - self.persistence * self.lost)

    @property
    def offered(self) -> float:
        """The load in erlangs that first tries ask for (ITU-T E.501); what redials add is left out."""
        if not self.covered_s:
            return 0.0
        return self.first_tries * self._hold_s() / self.covered_s

    @property
    def naive(self) -> float:
        """The load that all attempts would ask for: what a count of attempts gives."""
        return self.attempts * self._hold_s() / self.covered_s if self.covered_s else 0.0

    def _hold_s(self) -> float:
        """Call-seconds carried for each call that stood: right even where few have ended yet."""
        if self.held >= 30 or not self.stood:
            return self.mean_hold_s
        return self.erlang_s / self.stood


NOT_SUMMED = ("start_s", "span_s", "group", "call_class", "covered_s", "peak")
SUMS = tuple(field.name for field in fields(Interval) if field.name not in NOT_SUMMED)


class _Cell:
    """The counters under way of one group and class."""

    __slots__ = ("now", "standing", "since_ms")

    def __init__(self, now: Interval, since_ms: float) -> None:
        self.now, self.standing, self.since_ms = now, 0, since_ms

    def settle(self, now_ms: float) -> None:
        """Bring the integral up to this time."""
        if now_ms > self.since_ms:
            self.now.erlang_s += self.standing * (now_ms - self.since_ms) / 1000.0
            self.since_ms = now_ms


class Traffic:
    """The watcher: counts what an engine tells, and hands a finished interval to `keep`.

    `group_of` tells the group of a destination; one it does not know counts as `unnamed`, or without that becomes
    a group of its own, as `dest-3`. `missed` is told of time that was not measured, from and to in Unix ms.
    """

    def __init__(
        self,
        now_ms: float,
        keep: Callable[[list[Interval]], None],
        missed: Callable[[float, float], None],
        interval_s: int = 60,
        group_of: Mapping[int, str] | None = None,
        unnamed: str | None = None,
    ) -> None:
        self.keep, self.missed, self.interval_s = keep, missed, interval_s
        self.group_of, self.unnamed = dict(group_of or {}), unnamed
        self.cells: dict[tuple[str, str], _Cell] = {}
        self.by_destination: dict[tuple[int, str], _Cell] = {}  # a short cut, so that a call builds no name
        self.samples: dict[str, Sampled] = {}
        self.begun_ms = now_ms  # since when the interval under way is covered

    # What the engine tells.

    def request_answered(self, request: Request, answer: str, now_ms: float) -> None:
        """A request has its answer; it is an attempt of the interval in which it has it."""
        cell = self.by_destination.get((request.destination, request.call_class))
        if cell is None:
            cell = self._cell(request.destination, request.call_class)
        now = cell.now
        samples = self.samples.get(now.group)
        if samples is not None and request.number:
            self._repeat(now, samples, request, now_ms)
        if request.redialled:
            now.marked += 1
        else:
            now.fresh += 1
        if answer == "stands":
            cell.settle(now_ms)
            now.stood += 1
            cell.standing += 1
            now.peak = max(now.peak, cell.standing)
            return
        if answer == "refused":
            now.refused += 1
        elif answer == "failed":
            now.failed += 1
        else:
            now.left += 1
        if request.number:
            self._sample(now, request.number, now_ms)

    def attempt_ended(self, attempt: Attempt, outcome: face.Outcome, now_ms: float) -> None:
        """An attempt is over; one that stood was a call."""
        if not attempt.stands:
            return
        request = attempt.request
        cell = self.by_destination.get((request.destination, request.call_class))
        if cell is None:
            return  # it stood before this watcher was there
        cell.settle(now_ms)
        cell.standing = max(0, cell.standing - 1)
        now = cell.now
        held_s = max(0.0, now_ms - attempt.sent_ms) / 1000.0
        now.held += 1
        now.held_s += held_s
        now.held_sq += held_s * held_s
        if outcome is not face.Outcome.SERVED:
            now.cut += 1

    def _repeat(self, now: Interval, samples: Sampled, request: Request, now_ms: float) -> None:
        """Whether this attempt repeats one that was lost."""
        key = hash((now.call_class, request.number))
        if request.redialled:
            samples.marked(key)
            return
        found, chance, ripe = samples.found, samples.chance, samples.ripe
        samples.attempt(key, now_ms)
        now.found += samples.found - found
        now.chance += samples.chance - chance
        now.ripe += samples.ripe - ripe

    def _sample(self, now: Interval, number: str, now_ms: float) -> None:
        held = self.samples.get(now.group)
        if held is None:
            held = self.samples[now.group] = Sampled()
        sampled, ripe = held.sampled, held.ripe
        held.refused(hash((now.call_class, number)), now_ms)
        now.sampled += held.sampled - sampled
        now.ripe += held.ripe - ripe

    def _cell(self, destination: int, call_class: str) -> _Cell:
        group = self.group_of.get(destination)
        if group is None:
            group = self.unnamed or (f"dest-{destination}" if destination >= 0 else "any")
        if len(self.cells) >= MOST_CELLS and (group, call_class) not in self.cells:
            group = call_class = OTHER  # guards against names without end from callers
        cell = self.cells.get((group, call_class))
        if cell is None:
            fresh = Interval(self._start_s(self.begun_ms), self.interval_s, group, call_class)
            cell = self.cells[group, call_class] = _Cell(fresh, self.begun_ms)
        if len(self.by_destination) < 2 * MOST_CELLS:
            self.by_destination[destination, call_class] = cell
        return cell

    # Time.

    def _start_s(self, ms: float) -> int:
        return int(ms / 1000.0 // self.interval_s) * self.interval_s

    def due_ms(self) -> float:
        """When the interval under way is over."""
        return (self._start_s(self.begun_ms) + self.interval_s) * 1000.0

    def roll(self, now_ms: float) -> None:
        """Hand over each interval that is over; to be called at `due_ms`, and when the program ends."""
        if now_ms - self.begun_ms > LEAP * self.interval_s * 1000.0:
            self._leap(now_ms)
        while self.due_ms() <= now_ms:
            self._finish(self.due_ms())

    def _leap(self, now_ms: float) -> None:
        """The clock has leapt, or the program slept: what stood meanwhile is not known."""
        self._finish(min(self.begun_ms + 1.0, self.due_ms()))
        self.missed(self.begun_ms, now_ms)
        self._begin(now_ms)

    def close(self, now_ms: float) -> None:
        """Hand over the interval under way as far as it has come; what it lacks stays a gap."""
        self.roll(now_ms)
        if now_ms > self.begun_ms:
            self._finish(now_ms)

    def _finish(self, end_ms: float) -> None:
        covered_s = max(0.0, end_ms - self.begun_ms) / 1000.0
        done = []
        for cell in self.cells.values():
            cell.settle(end_ms)
            cell.now.covered_s = covered_s
            done.append(cell.now)
        self._begin(end_ms)
        if done:
            self.keep(done)

    def _begin(self, at_ms: float) -> None:
        self.begun_ms = at_ms
        start_s = self._start_s(at_ms)
        for (group, call_class), cell in self.cells.items():
            cell.now = Interval(start_s, self.interval_s, group, call_class, peak=cell.standing)
            cell.since_ms = at_ms


def rolled(intervals: Iterable[Interval], span_s: int, classes: bool = True) -> list[Interval]:
    """Intervals added up into longer ones, in order of time; with classes=False those of a group together."""
    found: dict[tuple[int, str, str], Interval] = {}
    covered: dict[tuple[int, str, str], dict[int, float]] = {}
    for told in intervals:
        start_s = told.start_s // span_s * span_s
        key = (start_s, told.group, told.call_class if classes else "")
        held = found.get(key)
        if held is None:
            held = found[key] = Interval(start_s, span_s, told.group, key[2])
        held.add(told)
        # Two classes, or two runs of the program, may both have covered part of the same interval.
        parts = covered.setdefault(key, {})
        parts[told.start_s] = min(told.span_s, max(parts.get(told.start_s, 0.0), told.covered_s))
    for key, held in found.items():
        held.covered_s = min(span_s, sum(covered[key].values()))
    return [found[key] for key in sorted(found)]
