"""Settings of ENUM look-ups over DNS (net/enum.py)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip import interface
from leadslip.config import (
    Address,
    MalformedError,
    TakenError,
    bounded_numbers,
    is_enabled,
    parse_address,
    required_value,
)
from leadslip.parts import PartSettings, SettingsContext


@dataclass(frozen=True, slots=True)
class EnumConfig:
    """Settings of the DNS server for ENUM look-ups and of its upstream resolvers."""

    listen: Address
    resolvers: tuple[Address, ...]
    suffix: str
    answer_within_ms: float
    attempt_ms: float
    max_open_requests: int
    max_connections: int
    settings: interface.Settings


ENUM_KEYS = {  # key -> (default, minimum, maximum)
    "answer_within_ms": (1500.0, 50.0, 60_000.0),
    "attempt_ms": (400.0, 10.0, 60_000.0),
    "most_attempts": (3, 1, 16),
    "most_held": (2000, 1, 100_000),
    "most_connections": (64, 1, 10_000),
}


def settings(table: Mapping, context: SettingsContext | None = None) -> EnumConfig | None:
    """The validated settings of ENUM look-ups; None where they are off. Raises MalformedError."""
    if not is_enabled(table, "enum", ("listen", "resolvers", "suffix", *ENUM_KEYS)):
        return None
    numbers = bounded_numbers(table, "enum", ENUM_KEYS)
    listed = required_value(table, "resolvers", list, "enum")
    if not listed:
        raise MalformedError("enum.resolvers is empty")
    resolvers = tuple(parse_address(text, f"enum.resolvers.{i}") for i, text in enumerate(listed))
    if len(set(resolvers)) < len(resolvers):
        raise TakenError("enum.resolvers lists an address more than once")
    suffix = str(table.get("suffix", "e164.arpa")).strip(".").lower()
    if not suffix or not all(0 < len(label) < 64 for label in suffix.split(".")):
        raise MalformedError(
            f"enum.suffix must be a domain name, with labels of 1 to 63 characters: {suffix!r}"
        )
    wait_ms = numbers["answer_within_ms"]
    lookup = interface.CallClass("enum", worth=1.0, late_worth=0.0, aim_ms=wait_ms, deadline_ms=wait_ms)
    settings = interface.Settings(
        gateways=1,
        index=0,
        classes=(lookup,),
        max_attempts=numbers["most_attempts"],
        may_withdraw=True,
        tick_ms=5.0,
    )
    return EnumConfig(
        listen=parse_address(required_value(table, "listen", str, "enum"), "enum.listen"),
        resolvers=resolvers,
        suffix=suffix,
        answer_within_ms=wait_ms,
        attempt_ms=numbers["attempt_ms"],
        max_open_requests=numbers["most_held"],
        max_connections=numbers["most_connections"],
        settings=settings,
    )


class EnumSettings(PartSettings):
    """Describes the settings file of ENUM look-ups."""

    name, environment_variable, restart_keys = "enum", "LEADSLIP_ENUM", "enum"
    settings = staticmethod(settings)

    @staticmethod
    def exclusive_values(conf: EnumConfig) -> tuple[tuple[str, object], ...]:
        return (("enum.listen", conf.listen),)


SETTINGS_CLASS = EnumSettings
