"""Metrics and traces to an OpenTelemetry collector (net/otlp.py)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import Address, address_of, figures_of, member, turned_on
from leadslip.core import Watcher
from leadslip.parts import Around, Part


@dataclass(frozen=True, slots=True)
class OtlpConfig:
    """The export of metrics and traces."""

    collector: Address
    interval_ms: float
    timeout_ms: float
    most_spans: int
    most_batch: int


OTLP_KEYS = {  # key -> (default, least, most)
    "interval_ms": (5000.0, 10.0, 600_000.0),
    "timeout_ms": (3000.0, 10.0, 60_000.0),
    "most_spans": (4096, 1, 100_000),
    "most_batch": (512, 1, 10_000),
}


def settings(told: Mapping, around: Around | None = None) -> OtlpConfig | None:
    """The checked configuration of the OTLP export; None where it is not turned on."""
    if not turned_on(told, "otlp", ("collector", *OTLP_KEYS)):
        return None
    figures = figures_of(told, "otlp", OTLP_KEYS)
    return OtlpConfig(address_of(member(told, "collector", str, "otlp"), "otlp.collector"), **figures)


class Otlp(Part):
    """The exporter, and a watcher of each engine."""

    name, variable, lasting = "otlp", "LEADSLIP_OTLP", "otlp"
    settings = staticmethod(settings)

    def watch(self, watches: dict[str, list[Watcher]]) -> None:
        # Imported only where wanted: the library costs some MB of the platform's memory.
        from leadslip.net.otlp import Exporter, Watch

        node = self.node
        self.exporter = Exporter(node.reactor, self.conf, node.conf.name, node.deadlines, node.tally)
        watches["sip"].append(Watch(self.exporter, "sip", "INVITE"))
        watches["dns"].append(Watch(self.exporter, "dns", "NAPTR"))

    def start(self) -> None:
        self.exporter.start()

    def close(self) -> None:
        self.exporter.flush()


PART = Otlp
