"""Settings of replication, which requires the fleet part and, like that, is off by default."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import NeedsError, bounded_numbers, is_enabled
from leadslip.parts import PartSettings, SettingsContext

KEYS = {"copies": (2, 1, 8)}  # numeric setting -> (default, minimum, maximum)


@dataclass(frozen=True, slots=True)
class ReplicasConfig:
    """Validated settings of replication."""

    copies: int  # number of other proxies that hold a replica of this one's table


def parse(table: Mapping, context: SettingsContext) -> ReplicasConfig | None:
    """Returns the validated settings of replication; None if they turn it off. Raises MalformedError and NeedsError."""
    if not is_enabled(table, "replicas", tuple(KEYS)):
        return None
    if context.settings.get("fleet") is None:
        raise NeedsError("replicas needs the fleet to be turned on")
    return ReplicasConfig(**bounded_numbers(table, "replicas", KEYS))


class ReplicasSettings(PartSettings):
    """Schema of this part's settings file."""

    name, environment_variable, restart_keys = "replicas", "LEADSLIP_REPLICAS", "replicas"
    parse = staticmethod(parse)


SETTINGS_CLASS = ReplicasSettings
