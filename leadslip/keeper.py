"""What a running proxy keeps in its store: the writer, the traffic measured, retention. Loaded only where on."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from leadslip.checks import Tally
from leadslip.core import Deadlines
from leadslip.logs import Log
from leadslip.store.base import Store
from leadslip.store.writer import Batch, Writer
from leadslip.trunks import record
from leadslip.trunks.traffic import Interval, Traffic

if TYPE_CHECKING:
    from leadslip.parts.store.settings import StoreConfig
    from leadslip.parts.trunks.settings import TrunksConfig

RETENTION_MS = 3_600_000.0  # between two rounds of rolling up and forgetting
CLOSE_S = 0.5  # the store has so long to write what waits when the program ends


class Keeper:
    """Owns the writer and feeds it; one for each proxy."""

    def __init__(
        self, reactor: object, conf: StoreConfig, deadlines: Deadlines, tally: Tally, log: Log
    ) -> None:
        self.conf, self.deadlines, self.tally, self.log = conf, deadlines, tally, log
        self.writer = Writer(lambda: Store(conf.path, conf.most_mb << 20), reactor.callFromThread, tally, log)
        self.run = int(time.time() * 1000.0)  # tells the records of this start from those of others
        self.traffics: list[Traffic] = []

    def measure(self, conf: TrunksConfig, watches: list[list]) -> None:
        """Watch each engine's traffic: the calls of the first, the look-ups of the second."""
        now_ms = self.deadlines.clock.now_ms()
        groups = {place: group.name for group in conf.groups for place in group.destinations}
        for watched, (group_of, unnamed) in zip(watches, ((groups, None), ({}, "enum")), strict=True):
            traffic = Traffic(now_ms, self.keep, self.gap, conf.interval_s, group_of, unnamed)
            self.traffics.append(traffic)
            watched.append(traffic)

    def start(self) -> None:
        """Begin to write."""
        self.writer.start()
        for traffic in self.traffics:
            self.deadlines.at(traffic.due_ms(), self._roll, traffic)
        self._retain()

    def keep(self, told: list[Interval]) -> None:
        """Queue finished intervals."""
        points = [record.point_of(one, self.run) for one in told]
        begun_s = told[0].start_s

        def done(written: bool) -> None:
            if written:
                self.log("trunks.kept", level="debug", run=self.run, start_s=begun_s, records=len(points))

        self.writer.put(Batch(points=points, done=done))

    def gap(self, begun_ms: float, ended_ms: float) -> None:
        """Time that was not measured: it stays a gap in the record."""
        self.tally.add("trunks.gaps")
        self.log("trunks.gap", level="warning", seconds=(ended_ms - begun_ms) / 1000.0)

    def _roll(self, traffic: Traffic) -> None:
        traffic.roll(self.deadlines.clock.now_ms())
        self.deadlines.at(traffic.due_ms(), self._roll, traffic)

    def _retain(self, _: object = None) -> None:
        now_ms = self.deadlines.clock.now_ms()

        def work(store: Store) -> None:
            record.keep(store, int(now_ms / 1000.0), self.conf.fine_days, self.conf.days)
            store.forget_expired(now_ms)
            store.make_room()

        self.writer.put(Batch(task=work))
        self.deadlines.at(now_ms + RETENTION_MS, self._retain)

    def close(self) -> None:
        """Write the interval under way, as far as it has come, and end."""
        now_ms = self.deadlines.clock.now_ms()
        for traffic in self.traffics:
            traffic.close(now_ms)
        if not self.writer.close(CLOSE_S):
            self.tally.add("store.closed_late")
