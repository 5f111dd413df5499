"""Settings of the OTLP export of metrics and traces (net/otlp.py)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import Address, address_of, figures_of, member, turned_on
from leadslip.parts import Around, Kind


@dataclass(frozen=True, slots=True)
class OtlpConfig:
    """Settings of the OTLP export; most_spans and most_batch bound the queue and one request."""

    collector: Address
    interval_ms: float
    timeout_ms: float
    most_spans: int
    most_batch: int


OTLP_KEYS = {  # key -> (default, minimum, maximum)
    "interval_ms": (5000.0, 10.0, 600_000.0),
    "timeout_ms": (3000.0, 10.0, 60_000.0),
    "most_spans": (4096, 1, 100_000),
    "most_batch": (512, 1, 10_000),
}


def settings(told: Mapping, around: Around | None = None) -> OtlpConfig | None:
    """The validated settings of the OTLP export; None where it is off. Raises MalformedError."""
    if not turned_on(told, "otlp", ("collector", *OTLP_KEYS)):
        return None
    numbers = figures_of(told, "otlp", OTLP_KEYS)
    return OtlpConfig(address_of(member(told, "collector", str, "otlp"), "otlp.collector"), **numbers)


class OtlpSettings(Kind):
    """Describes the settings file of the OTLP export."""

    name, variable, lasting = "otlp", "LEADSLIP_OTLP", "otlp"
    settings = staticmethod(settings)


KIND = OtlpSettings
