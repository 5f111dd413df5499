"""Records measured traffic in the proxy's store and applies retention. Imported only if the store is enabled."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from leadslip.core import Deadlines
from leadslip.logs import Log
from leadslip.metrics import Metrics
from leadslip.store.base import Store
from leadslip.store.writer import Batch, Writer
from leadslip.trunks import record
from leadslip.trunks.traffic import Interval, Traffic

if TYPE_CHECKING:
    from leadslip.parts.store.settings import StoreConfig
    from leadslip.parts.trunks.settings import TrunksConfig

RETENTION_INTERVAL_MS = 3_600_000.0  # between two rounds of aggregating and expiring records
CLOSE_TIMEOUT_S = 0.5  # for writing queued batches at exit


class Recorder:
    """Owns the store's writer and queues batches for it; one per proxy."""

    def __init__(
        self, reactor: object, conf: StoreConfig, deadlines: Deadlines, metrics: Metrics, log: Log
    ) -> None:
        self.conf, self.deadlines, self.metrics, self.log = conf, deadlines, metrics, log
        self.writer = Writer(
            lambda: Store(conf.path, conf.most_mb << 20), reactor.callFromThread, metrics, log
        )
        # Start time in Unix ms; distinguishes the records of this process from those of earlier ones.
        self.run_id = int(time.time() * 1000.0)
        self.traffics: list[Traffic] = []

    def observe_traffic(self, conf: TrunksConfig, observers: list[list]) -> None:
        """Add a traffic observer to each engine's list: first that of calls, then that of ENUM look-ups.

        Calls are grouped by destination, as configured; all look-ups are one group, `enum`.
        """
        now_ms = self.deadlines.clock.now_ms()
        groups = {destination: group.name for group in conf.groups for destination in group.destinations}
        for engine_observers, (group_of, default_group) in zip(
            observers, ((groups, None), ({}, "enum")), strict=True
        ):
            traffic = Traffic(
                now_ms, self.record_intervals, self.report_gap, conf.interval_s, group_of, default_group
            )
            self.traffics.append(traffic)
            engine_observers.append(traffic)

    def start(self) -> None:
        """Start the writer, and schedule the ends of the traffic intervals and the retention rounds."""
        self.writer.start()
        for traffic in self.traffics:
            self.deadlines.call_at(traffic.interval_end_ms(), self._end_interval, traffic)
        self._schedule_retention()

    def record_intervals(self, intervals: list[Interval]) -> None:
        """Queue finished intervals for writing."""
        points = [record.to_point(interval, self.run_id) for interval in intervals]
        first_start_s = intervals[0].start_s

        def on_written(written: bool) -> None:
            if written:
                self.log(
                    "trunks.kept", level="debug", run=self.run_id, start_s=first_start_s, records=len(points)
                )

        self.writer.put(Batch(points=points, on_done=on_written))

    def report_gap(self, start_ms: float, end_ms: float) -> None:
        """Log a period in which traffic was not measured, and for which there are no records."""
        self.metrics.add("trunks.gaps")
        self.log("trunks.gap", level="warning", seconds=(end_ms - start_ms) / 1000.0)

    def _end_interval(self, traffic: Traffic) -> None:
        traffic.finish_intervals(self.deadlines.clock.now_ms())
        self.deadlines.call_at(traffic.interval_end_ms(), self._end_interval, traffic)

    def _schedule_retention(self, _: object = None) -> None:
        now_ms = self.deadlines.clock.now_ms()

        def run_retention(store: Store) -> None:
            record.apply_retention(store, int(now_ms / 1000.0), self.conf.fine_days, self.conf.days)
            store.delete_expired(now_ms)
            store.evict_oldest()

        self.writer.put(Batch(task=run_retention))
        self.deadlines.call_at(now_ms + RETENTION_INTERVAL_MS, self._schedule_retention)

    def close(self) -> None:
        """Queue the current, incomplete intervals and close the writer, which writes what is queued."""
        now_ms = self.deadlines.clock.now_ms()
        for traffic in self.traffics:
            traffic.close(now_ms)
        if not self.writer.close(CLOSE_TIMEOUT_S):
            self.metrics.add("store.closed_late")
