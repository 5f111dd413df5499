"""Traffic records in the store: intervals as points of a series, rolled up as they age, and read for reports.

With the default settings, intervals of one minute are retained for a week, quarter hours for 400 days, and hours for
four times as long. A roll-up keeps the sums, so that no call is counted twice or lost. Time that was not measured is
missing from an interval's `covered_s`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from leadslip.store.base import Point, Store
from leadslip.trunks.traffic import Interval, aggregate

SPACE = "traffic"  # space of the series in the store
ROLL_UP_STEPS = ((60, 900), (900, 3600))  # span and the longer span it is rolled up into, in seconds
DAY_S = 86_400
HOUR_RETENTION_FACTOR = 4  # retention of hours, as a multiple of that of quarter hours
# Points that a roll-up reads before it replaces them in one transaction; exceeded only to complete a span.
MAX_ROLL_UP_POINTS = 20_000

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Interval).decode


def to_point(interval: Interval, run: int) -> Point:
    """Encodes an interval as a point; `run` identifies the process, as two may each have measured part of a span."""
    key = f"{interval.group}/{interval.call_class}"
    return Point(SPACE, interval.span_s, interval.start_s, key, run, encode(interval))


def intervals(
    store: Store, since_s: int = 0, before_s: int = 1 << 62, group: str | None = None
) -> Iterator[Interval]:
    """Yields the recorded intervals, of whatever span, in chronological order; undecodable ones count as damaged."""
    for point in store.points(SPACE, None, since_s, before_s):
        try:
            interval = decode(point.value)
        except msgspec.MsgspecError:
            store.damaged_records.append(f"{SPACE} {point.key} at {point.start_s}")
            continue
        if group is None or interval.group == group:
            yield interval


def quarters(recorded: Iterable[Interval], group: str) -> list[Interval]:
    """Returns the quarter hours of one group, all classes added up; longer intervals are left out."""
    return aggregate(
        (interval for interval in recorded if interval.group == group and interval.span_s <= 900),
        900,
        classes=False,
    )


def apply_retention(store: Store, now_s: int, fine_days: int, days: int) -> int:
    """Rolls up points past their retention and deletes the oldest; returns the number of points removed.

    One-minute points are retained for `fine_days`, quarter hours for `days`.
    """
    removed = 0
    for (span_s, longer_s), retention_days in zip(ROLL_UP_STEPS, (fine_days, days), strict=True):
        # At a boundary of the longer span, so that each is rolled up as a whole.
        before_s = (now_s - retention_days * DAY_S) // longer_s * longer_s
        removed += _roll_up(store, span_s, longer_s, before_s)
    return removed + store.delete_before(
        SPACE, ROLL_UP_STEPS[-1][1], now_s - HOUR_RETENTION_FACTOR * days * DAY_S
    )


def _roll_up(store: Store, span_s: int, longer_s: int, before_s: int) -> int:
    """Replaces the points of a span that start before a time by points of the longer span; returns their number."""
    removed = 0
    while True:
        old_points: list[Point] = []
        for point in store.points(SPACE, span_s, 0, before_s):
            if (
                len(old_points) >= MAX_ROLL_UP_POINTS
                and point.start_s // longer_s != old_points[-1].start_s // longer_s
            ):
                break
            old_points.append(point)
        if not old_points:
            # Points that remain in this range have a wrong checksum; nothing else would delete them.
            return removed + store.delete_before(SPACE, span_s, before_s)
        old_intervals: list[Interval] = []
        for point in old_points:
            try:
                old_intervals.append(decode(point.value))
            except msgspec.MsgspecError:
                store.damaged_records.append(f"{SPACE} {point.key} at {point.start_s}")
        # Adds the points of the longer span that an earlier roll-up stored, which the new ones would overwrite.
        first_start_s, end_s = old_points[0].start_s // longer_s * longer_s, old_points[-1].start_s + 1
        for point in store.points(SPACE, longer_s, first_start_s, end_s):
            old_points.append(point)
            old_intervals.append(decode(point.value))
        store.replace(old_points, [to_point(interval, 0) for interval in aggregate(old_intervals, longer_s)])
        removed += len(old_points)
