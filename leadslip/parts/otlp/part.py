"""Wires the OTLP exporter of metrics and traces, and an observer of each engine, into a running proxy."""

from __future__ import annotations

from leadslip.core import Observer
from leadslip.net.otlp import Exporter, SpanObserver
from leadslip.parts.part import Part


class Otlp(Part):
    """Exports the counters, and a span of each request and attempt of both engines."""

    def add_observers(self, observers: dict[str, list[Observer]]) -> None:
        node = self.node
        self.exporter = Exporter(node.reactor, self.conf, node.conf.name, node.deadlines, node.metrics)
        observers["sip"].append(SpanObserver(self.exporter, "sip", "INVITE"))
        observers["dns"].append(SpanObserver(self.exporter, "dns", "NAPTR"))

    def start(self) -> None:
        self.exporter.start()

    def close(self) -> None:
        self.exporter.flush()


PART = Otlp
