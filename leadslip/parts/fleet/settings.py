"""Settings of the fleet. Off on the platform, where proxies share nothing."""

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

KEYS = {"most_members": (1024, 1, 4096)}  # key -> (default, least, most)
NAME_MOST = 64


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Where this member listens and is reached, whom it asks first, and what its fleet's messages are signed with."""

    listen: Address
    advertise: Address
    seeds: tuple[Address, ...]
    keys: tuple[bytes, ...]  # the first signs, all are taken
    zone: str
    most_members: int
    history: str = ""  # where a drill wants it written what this member saw and did
    broken: str = ""  # a fault that a drill of a debug build asks for


def settings(told: Mapping, around: Around) -> FleetConfig | None:
    """The checked settings of the fleet; None where they turn it off."""
    if not turned_on(
        told, "fleet", ("listen", "advertise", "seeds", "key_file", "zone", "history", "broken", *KEYS)
    ):
        return None
    listen = address_of(member(told, "listen", str, "fleet"), "fleet.listen")
    advertise = address_of(told.get("advertise", told["listen"]), "fleet.advertise")
    listed = member(told, "seeds", list, "fleet") if "seeds" in told else []
    seeds = tuple(address_of(text, f"fleet.seeds.{i}") for i, text in enumerate(listed))
    zone = told.get("zone", "")
    if not isinstance(zone, str) or len(zone) > NAME_MOST:
        raise MalformedError(f"fleet.zone is no name: {zone!r}")
    path = member(told, "key_file", str, "fleet")
    keys = keys_of(path) if around.running else ()
    history, broken = str(told.get("history", "")), str(told.get("broken", ""))
    if broken and not __debug__:
        raise MalformedError("fleet.broken is for drills of debug builds")
    figures = figures_of(told, "fleet", KEYS)
    return FleetConfig(listen, advertise, seeds, keys, zone, **figures, history=history, broken=broken)


def keys_of(path: str) -> tuple[bytes, ...]:
    """The keys in a file, one a line in hex of 16 to 64 bytes; lines that begin with # are passed over."""
    try:
        with open(path, encoding="ascii") as file:
            lines = [line.strip() for line in file]
        keys = tuple(bytes.fromhex(line) for line in lines if line and not line.startswith("#"))
    except (OSError, ValueError) as fault:
        raise UnreadableError(f"fleet.key_file can't be read: {fault}") from fault
    if not keys or any(not 16 <= len(key) <= 64 for key in keys):
        raise MalformedError("fleet.key_file holds no key of 16 to 64 bytes on a line")
    if len({key[:64] for key in keys}) < len(keys):
        raise TakenError("fleet.key_file names a key twice")
    return keys


class FleetSettings(Kind):
    """What the file of this part may say."""

    name, variable, lasting = "fleet", "LEADSLIP_FLEET", "fleet"
    settings = staticmethod(settings)

    @staticmethod
    def fixed(conf: FleetConfig) -> object:
        return conf.listen, conf.advertise, conf.seeds, conf.zone, conf.most_members

    @staticmethod
    def taken(conf: FleetConfig) -> tuple[tuple[str, object], ...]:
        return (("fleet.listen", conf.listen),)


KIND = FleetSettings
