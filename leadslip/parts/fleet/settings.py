"""Settings of the fleet part. Off by default: on the platform proxies share nothing."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import (
    Address,
    MalformedError,
    TakenError,
    UnreadableError,
    bounded_numbers,
    is_enabled,
    parse_address,
    required_value,
)
from leadslip.parts import PartSettings, SettingsContext

KEYS = {"most_members": (1024, 1, 4096)}  # numeric setting -> (default, minimum, maximum)
MAX_ZONE_CHARS = 64


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Validated settings of the fleet part."""

    listen: Address  # bound for both UDP and TCP
    advertise: Address  # at which other members reach this one
    seeds: tuple[Address, ...]  # contacted to join the fleet
    keys: tuple[bytes, ...]  # messages are signed with the first; signatures by any are accepted
    zone: str  # failure domain; replicas are placed in another one if possible
    most_members: int  # largest number of live members in the view
    # For fault-injection runs: the file to which this member appends its event history, and the faulty variant that it
    # runs (drill/faulty.py; debug builds only).
    history: str = ""
    faulty_variant: str = ""


def parse(table: Mapping, context: SettingsContext) -> FleetConfig | None:
    """Returns the validated settings of the fleet; None if they turn it off. Raises MalformedError."""
    if not is_enabled(
        table, "fleet", ("listen", "advertise", "seeds", "key_file", "zone", "history", "broken", *KEYS)
    ):
        return None
    listen = parse_address(required_value(table, "listen", str, "fleet"), "fleet.listen")
    advertise = parse_address(table.get("advertise", table["listen"]), "fleet.advertise")
    seed_texts = required_value(table, "seeds", list, "fleet") if "seeds" in table else []
    seeds = tuple(parse_address(text, f"fleet.seeds.{i}") for i, text in enumerate(seed_texts))
    zone = table.get("zone", "")
    if not isinstance(zone, str) or len(zone) > MAX_ZONE_CHARS:
        raise MalformedError(f"fleet.zone must be a string of at most {MAX_ZONE_CHARS} characters: {zone!r}")
    key_path = required_value(table, "key_file", str, "fleet")
    keys = read_keys(key_path) if context.running else ()
    history, broken = str(table.get("history", "")), str(table.get("broken", ""))
    if broken and not __debug__:
        raise MalformedError(f"fleet.broken is allowed in debug builds only: {broken!r}")
    numbers = bounded_numbers(table, "fleet", KEYS)
    return FleetConfig(
        listen, advertise, seeds, keys, zone, **numbers, history=history, faulty_variant=broken
    )


def read_keys(path: str) -> tuple[bytes, ...]:
    """Reads signing keys from a file, one per line in hex, 16 to 64 bytes each; lines that begin with # are ignored.

    Raises UnreadableError, MalformedError, or TakenError if a key is repeated.
    """
    try:
        with open(path, encoding="ascii") as file:
            lines = [line.strip() for line in file]
        keys = tuple(bytes.fromhex(line) for line in lines if line and not line.startswith("#"))
    except (OSError, ValueError) as error:
        raise UnreadableError(f"fleet.key_file can't be read, or a line is not hex: {error}") from error
    if not keys or any(not 16 <= len(key) <= 64 for key in keys):
        raise MalformedError(
            "fleet.key_file must contain at least one key, one per line, each of 16 to 64 bytes in hex"
        )
    if len({key[:64] for key in keys}) < len(keys):
        raise TakenError("fleet.key_file contains the same key twice")
    return keys


class FleetSettings(PartSettings):
    """Schema of this part's settings file."""

    name, environment_variable, restart_keys = "fleet", "LEADSLIP_FLEET", "fleet"
    parse = staticmethod(parse)

    @staticmethod
    def restart_settings(conf: FleetConfig) -> object:
        return conf.listen, conf.advertise, conf.seeds, conf.zone, conf.most_members

    @staticmethod
    def exclusive_values(conf: FleetConfig) -> tuple[tuple[str, object], ...]:
        return (("fleet.listen", conf.listen),)


SETTINGS_CLASS = FleetSettings
