"""Settings of the OTLP export of metrics and traces (net/otlp.py)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import Address, bounded_numbers, is_enabled, parse_address, required_value
from leadslip.parts import PartSettings, SettingsContext


@dataclass(frozen=True, slots=True)
class OtlpConfig:
    """Settings of the OTLP export."""

    collector: Address
    interval_ms: float  # between two exports
    timeout_ms: float  # of one export request
    most_spans: int  # maximum number of queued spans; further ones are dropped
    most_batch: int  # maximum number of spans in one export request


OTLP_KEYS = {  # key -> (default, minimum, maximum)
    "interval_ms": (5000.0, 10.0, 600_000.0),
    "timeout_ms": (3000.0, 10.0, 60_000.0),
    "most_spans": (4096, 1, 100_000),
    "most_batch": (512, 1, 10_000),
}


def parse(table: Mapping, context: SettingsContext | None = None) -> OtlpConfig | None:
    """The validated settings of the OTLP export; None where it is off. Raises MalformedError."""
    if not is_enabled(table, "otlp", ("collector", *OTLP_KEYS)):
        return None
    numbers = bounded_numbers(table, "otlp", OTLP_KEYS)
    return OtlpConfig(
        parse_address(required_value(table, "collector", str, "otlp"), "otlp.collector"), **numbers
    )


class OtlpSettings(PartSettings):
    """Describes the settings file of the OTLP export."""

    name, environment_variable, restart_keys = "otlp", "LEADSLIP_OTLP", "otlp"
    parse = staticmethod(parse)


SETTINGS_CLASS = OtlpSettings
