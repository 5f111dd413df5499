"""Settings of the fleet part. Off on the platform, where proxies share nothing."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import (
    Address,
    MalformedError,
    TakenError,
    UnreadableError,
    address_of,
    figures_of,
    member,
    turned_on,
)
from leadslip.parts import Around, Kind

KEYS = {"most_members": (1024, 1, 4096)}  # key -> (default, minimum, maximum)
MAX_ZONE_CHARS = 64


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Checked settings: listening and advertised addresses, seeds to contact first, and the keys of messages."""

    listen: Address
    advertise: Address
    seeds: tuple[Address, ...]
    keys: tuple[bytes, ...]  # the first signs, all are accepted
    zone: str
    most_members: int
    history: str = ""  # file to which a fault-injection run has this member write its history
    broken: str = ""  # faulty variant that a fault-injection run asks for; debug builds only


def settings(told: Mapping, around: Around) -> FleetConfig | None:
    """Returns the checked settings of the fleet; None if they turn it off. Raises MalformedError."""
    if not turned_on(
        told, "fleet", ("listen", "advertise", "seeds", "key_file", "zone", "history", "broken", *KEYS)
    ):
        return None
    listen = address_of(member(told, "listen", str, "fleet"), "fleet.listen")
    advertise = address_of(told.get("advertise", told["listen"]), "fleet.advertise")
    seed_texts = member(told, "seeds", list, "fleet") if "seeds" in told else []
    seeds = tuple(address_of(text, f"fleet.seeds.{i}") for i, text in enumerate(seed_texts))
    zone = told.get("zone", "")
    if not isinstance(zone, str) or len(zone) > MAX_ZONE_CHARS:
        raise MalformedError(f"fleet.zone must be a string of at most {MAX_ZONE_CHARS} characters: {zone!r}")
    key_path = member(told, "key_file", str, "fleet")
    keys = read_keys(key_path) if around.running else ()
    history, broken = str(told.get("history", "")), str(told.get("broken", ""))
    if broken and not __debug__:
        raise MalformedError(f"fleet.broken is allowed in debug builds only: {broken!r}")
    numbers = figures_of(told, "fleet", KEYS)
    return FleetConfig(listen, advertise, seeds, keys, zone, **numbers, history=history, broken=broken)


def read_keys(path: str) -> tuple[bytes, ...]:
    """Reads keys from a file, one per line in hex, 16 to 64 bytes each; lines that begin with # are ignored."""
    try:
        with open(path, encoding="ascii") as file:
            lines = [line.strip() for line in file]
        keys = tuple(bytes.fromhex(line) for line in lines if line and not line.startswith("#"))
    except (OSError, ValueError) as error:
        raise UnreadableError(f"fleet.key_file can't be read or is not hex: {error}") from error
    if not keys or any(not 16 <= len(key) <= 64 for key in keys):
        raise MalformedError(
            "fleet.key_file must contain at least one key, one per line, each of 16 to 64 bytes in hex"
        )
    if len({key[:64] for key in keys}) < len(keys):
        raise TakenError("fleet.key_file contains the same key twice")
    return keys


class FleetSettings(Kind):
    """Schema of this part's settings file."""

    name, variable, lasting = "fleet", "LEADSLIP_FLEET", "fleet"
    settings = staticmethod(settings)

    @staticmethod
    def fixed(conf: FleetConfig) -> object:
        return conf.listen, conf.advertise, conf.seeds, conf.zone, conf.most_members

    @staticmethod
    def taken(conf: FleetConfig) -> tuple[tuple[str, object], ...]:
        return (("fleet.listen", conf.listen),)


KIND = FleetSettings
