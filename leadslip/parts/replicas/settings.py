"""Settings of replicas. Needs the fleet; off on the platform, as that is."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import NeedsError, figures_of, turned_on
from leadslip.parts import Around, Kind

KEYS = {"copies": (2, 1, 8)}  # key -> (default, least, most)


@dataclass(frozen=True, slots=True)
class ReplicasConfig:
    """How many other proxies hold what this one knows."""

    copies: int


def settings(told: Mapping, around: Around) -> ReplicasConfig | None:
    """The checked settings of replicas; None where they turn it off."""
    if not turned_on(told, "replicas", tuple(KEYS)):
        return None
    if around.settings.get("fleet") is None:
        raise NeedsError("replicas needs the fleet to be turned on")
    return ReplicasConfig(**figures_of(told, "replicas", KEYS))


class ReplicasSettings(Kind):
    """What the file of this part may say."""

    name, variable, lasting = "replicas", "LEADSLIP_REPLICAS", "replicas"
    settings = staticmethod(settings)


KIND = ReplicasSettings
