"""Traffic in the store: intervals as points of a series, rolled up as they age, and read again for reports.

Intervals of a minute are kept for days, quarter hours for over a year, hours beyond; each step up keeps the sums,
so no call is counted twice or lost. What was not measured shows as spans that are not covered.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from leadslip.store.base import Point, Store
from leadslip.trunks.traffic import Interval, rolled

SPACE = "traffic"
STEPS = ((60, 900), (900, 3600))  # a span and the longer one it is rolled up into
DAY_S = 86_400
HOURS_KEPT = 4  # times as long as quarter hours are hours kept
MOST_ROLLED = 20_000  # points of one roll-up, so that no transaction grows without bound

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Interval).decode


def point_of(told: Interval, run: int) -> Point:
    """One interval as a record; `run` tells the program's runs apart, each of which covers a part."""
    key = f"{told.group}/{told.call_class}"
    return Point(SPACE, told.span_s, told.start_s, key, run, encode(told))


def intervals(
    store: Store, since_s: int = 0, before_s: int = 1 << 62, group: str | None = None
) -> Iterator[Interval]:
    """The intervals recorded, of all spans, in order of time."""
    for point in store.points(SPACE, None, since_s, before_s):
        try:
            told = decode(point.value)
        except msgspec.MsgspecError:
            store.damaged.append(f"{SPACE} {point.key} at {point.start_s}")
            continue
        if group is None or told.group == group:
            yield told


def quarters(told: Iterable[Interval], group: str) -> list[Interval]:
    """The quarter hours of one group, all classes together."""
    return rolled((one for one in told if one.group == group and one.span_s <= 900), 900, classes=False)


def keep(store: Store, now_s: int, fine_days: int, days: int) -> int:
    """Roll up what is older than its time, and forget what is older than `days`; tells how many points went."""
    went = 0
    for (span_s, longer_s), kept_days in zip(STEPS, (fine_days, days), strict=True):
        # Whole longer spans alone, so that none is rolled up in two parts of which the later replaces the first.
        before_s = (now_s - kept_days * DAY_S) // longer_s * longer_s
        went += _roll_up(store, span_s, longer_s, before_s)
    return went + store.forget_before(SPACE, STEPS[-1][1], now_s - HOURS_KEPT * days * DAY_S)


def _roll_up(store: Store, span_s: int, longer_s: int, before_s: int) -> int:
    went = 0
    while True:
        old: list[Point] = []
        for point in store.points(SPACE, span_s, 0, before_s):
            if len(old) >= MOST_ROLLED and point.start_s // longer_s != old[-1].start_s // longer_s:
                break
            old.append(point)
        if not old:
            # What is left there can't be read, and would stay for good.
            return went + store.forget_before(SPACE, span_s, before_s)
        found: list[Interval] = []
        for point in old:
            try:
                found.append(decode(point.value))
            except msgspec.MsgspecError:
                store.damaged.append(f"{SPACE} {point.key} at {point.start_s}")
        # The runs are added up; what an earlier step left of the same span is added to, not replaced.
        first_s, last_s = old[0].start_s // longer_s * longer_s, old[-1].start_s + 1
        for point in store.points(SPACE, longer_s, first_s, last_s):
            old.append(point)
            found.append(decode(point.value))
        store.replace(old, [point_of(one, 0) for one in rolled(found, longer_s)])
        went += len(old)
