"""Metrics and traces to a collector: the exporter, and a watcher of each engine."""

from __future__ import annotations

from leadslip.core import Watcher
from leadslip.net.otlp import Exporter, Watch
from leadslip.parts.part import Part


class Otlp(Part):
    """The exporter, and a watcher of each engine."""

    def watch(self, watches: dict[str, list[Watcher]]) -> None:
        node = self.node
        self.exporter = Exporter(node.reactor, self.conf, node.conf.name, node.deadlines, node.tally)
        watches["sip"].append(Watch(self.exporter, "sip", "INVITE"))
        watches["dns"].append(Watch(self.exporter, "dns", "NAPTR"))

    def start(self) -> None:
        self.exporter.start()

    def close(self) -> None:
        self.exporter.flush()


PART = Otlp
