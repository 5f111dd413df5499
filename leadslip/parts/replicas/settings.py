"""Settings of replication. It needs the fleet, and is off on the platform because the fleet is off there."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import NeedsError, bounded_numbers, is_enabled
from leadslip.parts import PartSettings, SettingsContext

KEYS = {"copies": (2, 1, 8)}  # key -> (default, minimum, maximum)


@dataclass(frozen=True, slots=True)
class ReplicasConfig:
    """The number of other proxies that hold a replica of this one's table."""

    copies: int


def settings(table: Mapping, context: SettingsContext) -> ReplicasConfig | None:
    """The checked settings of replication from a file's table; None where it is not turned on."""
    if not is_enabled(table, "replicas", tuple(KEYS)):
        return None
    if context.settings.get("fleet") is None:
        raise NeedsError("replicas needs the fleet to be turned on")
    return ReplicasConfig(**bounded_numbers(table, "replicas", KEYS))


class ReplicasSettings(PartSettings):
    """The settings file of replication."""

    name, environment_variable, restart_keys = "replicas", "LEADSLIP_REPLICAS", "replicas"
    settings = staticmethod(settings)


SETTINGS_CLASS = ReplicasSettings
