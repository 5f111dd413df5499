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

    listen: Address  # over UDP and TCP
    resolvers: tuple[Address, ...]
    suffix: str  # domain under which numbers are looked up, such as e164.arpa
    answer_within_ms: float  # deadline for the reply to a client
    attempt_ms: float  # time-out of one exchange with a resolver, including a retry over TCP
    max_open_requests: int  # look-ups in progress; further ones are refused
    max_connections: int  # TCP connections of clients
    settings: interface.Settings  # of the Controller that chooses a resolver for each attempt


ENUM_KEYS = {  # key -> (default, minimum, maximum)
    "answer_within_ms": (1500.0, 50.0, 60_000.0),
    "attempt_ms": (400.0, 10.0, 60_000.0),
    "most_attempts": (3, 1, 16),
    "most_held": (2000, 1, 100_000),
    "most_connections": (64, 1, 10_000),
}


def parse(table: Mapping, context: SettingsContext | None = None) -> EnumConfig | None:
    """The validated settings of ENUM look-ups; None where they are off. Raises MalformedError."""
    if not is_enabled(table, "enum", ("listen", "resolvers", "suffix", *ENUM_KEYS)):
        return None
    numbers = bounded_numbers(table, "enum", ENUM_KEYS)
    resolver_texts = required_value(table, "resolvers", list, "enum")
    if not resolver_texts:
        raise MalformedError("enum.resolvers is empty: at least one IP:port is required")
    resolvers = tuple(parse_address(text, f"enum.resolvers.{i}") for i, text in enumerate(resolver_texts))
    if len(set(resolvers)) < len(resolvers):
        raise TakenError(f"enum.resolvers lists an address more than once: {resolver_texts!r}")
    suffix = str(table.get("suffix", "e164.arpa")).strip(".").lower()
    if not suffix or not all(0 < len(label) < 64 for label in suffix.split(".")):
        raise MalformedError(
            f"enum.suffix must be a domain name, with labels of 1 to 63 characters: {suffix!r}"
        )
    reply_deadline_ms = numbers["answer_within_ms"]
    lookup_class = interface.CallClass(
        "enum", worth=1.0, late_worth=0.0, aim_ms=reply_deadline_ms, deadline_ms=reply_deadline_ms
    )
    controller_settings = interface.Settings(
        gateways=1,
        index=0,
        classes=(lookup_class,),
        max_attempts=numbers["most_attempts"],
        may_withdraw=True,
        tick_ms=5.0,
    )
    return EnumConfig(
        listen=parse_address(required_value(table, "listen", str, "enum"), "enum.listen"),
        resolvers=resolvers,
        suffix=suffix,
        answer_within_ms=reply_deadline_ms,
        attempt_ms=numbers["attempt_ms"],
        max_open_requests=numbers["most_held"],
        max_connections=numbers["most_connections"],
        settings=controller_settings,
    )


class EnumSettings(PartSettings):
    """Describes the settings file of ENUM look-ups."""

    name, environment_variable, restart_keys = "enum", "LEADSLIP_ENUM", "enum"
    parse = staticmethod(parse)

    @staticmethod
    def exclusive_values(conf: EnumConfig) -> tuple[tuple[str, object], ...]:
        return (("enum.listen", conf.listen),)


SETTINGS_CLASS = EnumSettings
