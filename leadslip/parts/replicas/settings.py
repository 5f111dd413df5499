"""Settings of replication. It needs the fleet, and is off on the platform because the fleet is off there."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import NeedsError, figures_of, turned_on
from leadslip.parts import Around, Kind

KEYS = {"copies": (2, 1, 8)}  # key -> (default, minimum, maximum)


@dataclass(frozen=True, slots=True)
class ReplicasConfig:
    """The number of other proxies that hold a replica of this one's table."""

    copies: int


def settings(told: Mapping, around: Around) -> ReplicasConfig | None:
    """The checked settings of replication from a file's table; None where it is not turned on."""
    if not turned_on(told, "replicas", tuple(KEYS)):
        return None
    if around.settings.get("fleet") is None:
        raise NeedsError("replicas needs the fleet to be turned on")
    return ReplicasConfig(**figures_of(told, "replicas", KEYS))


class ReplicasSettings(Kind):
    """The settings file of replication."""

    name, variable, lasting = "replicas", "LEADSLIP_REPLICAS", "replicas"
    settings = staticmethod(settings)


KIND = ReplicasSettings
