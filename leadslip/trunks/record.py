"""Traffic records in the store: intervals as points of a series, rolled up as they age, and read for reports.

One-minute intervals are retained for days, quarter hours for over a year, hours longer still. Each roll-up
preserves the sums, so no call is counted twice or lost. Time that was not measured shows as spans that are not covered.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from leadslip.store.base import Point, Store
from leadslip.trunks.traffic import Interval, aggregate

SPACE = "traffic"
ROLL_UP_STEPS = ((60, 900), (900, 3600))  # span and the longer span it is rolled up into, in seconds
DAY_S = 86_400
HOUR_RETENTION_FACTOR = 4  # retention of hours, as a multiple of that of quarter hours
MAX_ROLL_UP_POINTS = 20_000  # points per roll-up, which bounds the transaction

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Interval).decode


def to_point(interval: Interval, run: int) -> Point:
    """Encodes an interval as a point; `run` identifies the process run, as two runs may each cover part of a span."""
    key = f"{interval.group}/{interval.call_class}"
    return Point(SPACE, interval.span_s, interval.start_s, key, run, encode(interval))


def intervals(
    store: Store, since_s: int = 0, before_s: int = 1 << 62, group: str | None = None
) -> Iterator[Interval]:
    """Yields the recorded intervals of all spans in chronological order."""
    for point in store.points(SPACE, None, since_s, before_s):
        try:
            interval = decode(point.value)
        except msgspec.MsgspecError:
            store.damaged_records.append(f"{SPACE} {point.key} at {point.start_s}")
            continue
        if group is None or interval.group == group:
            yield interval


def quarters(recorded: Iterable[Interval], group: str) -> list[Interval]:
    """Returns the quarter hours of one group, all classes added up."""
    return aggregate(
        (interval for interval in recorded if interval.group == group and interval.span_s <= 900),
        900,
        classes=False,
    )


def apply_retention(store: Store, now_s: int, fine_days: int, days: int) -> int:
    """Rolls up points past their retention and deletes the oldest; returns the number of points removed."""
    removed = 0
    for (span_s, longer_s), retention_days in zip(ROLL_UP_STEPS, (fine_days, days), strict=True):
        # Only complete longer spans, so that none is rolled up in two parts of which the second replaces the first.
        before_s = (now_s - retention_days * DAY_S) // longer_s * longer_s
        removed += _roll_up(store, span_s, longer_s, before_s)
    return removed + store.delete_before(
        SPACE, ROLL_UP_STEPS[-1][1], now_s - HOUR_RETENTION_FACTOR * days * DAY_S
    )


def _roll_up(store: Store, span_s: int, longer_s: int, before_s: int) -> int:
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
            # Points left in this range cannot be read and would otherwise never be deleted.
            return removed + store.delete_before(SPACE, span_s, before_s)
        old_intervals: list[Interval] = []
        for point in old_points:
            try:
                old_intervals.append(decode(point.value))
            except msgspec.MsgspecError:
                store.damaged_records.append(f"{SPACE} {point.key} at {point.start_s}")
        # Adds up all runs, including the longer span that an earlier roll-up stored, so that it is not overwritten.
        first_s, last_s = old_points[0].start_s // longer_s * longer_s, old_points[-1].start_s + 1
        for point in store.points(SPACE, longer_s, first_s, last_s):
            old_points.append(point)
            old_intervals.append(decode(point.value))
        store.replace(old_points, [to_point(interval, 0) for interval in aggregate(old_intervals, longer_s)])
        removed += len(old_points)
