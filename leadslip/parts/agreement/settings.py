"""Settings of the agreement part. It requires the fleet part, and is disabled wherever that is (parts/fleet)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import (
    MalformedError,
    NeedsError,
    TakenError,
    bounded_numbers,
    is_enabled,
    required_value,
)
from leadslip.parts import PartSettings, SettingsContext

# Numeric settings key -> (default, minimum, maximum).
KEYS = {
    "in_force_ms": (2000.0, 200.0, 600_000.0),
    "isolated_most_tries": (1, 1, 16),
}
MAX_VOTERS = 9


@dataclass(frozen=True, slots=True)
class AgreementConfig:
    """Validated settings of the agreement."""

    voters: tuple[str, ...]  # names of the members that vote
    disk: str  # path of the file for a voter's persistent state; only voters need one
    in_force_ms: float  # how long a revision is applied after it was last known to be the newest
    # Maximum attempts per call under the fallback rules until a document `isolated` is agreed on:
    isolated_most_tries: int


def parse(table: Mapping, context: SettingsContext) -> AgreementConfig | None:
    """Returns the validated settings of the agreement; None if they disable it."""
    if not is_enabled(table, "agreement", ("voters", "disk", *KEYS)):
        return None
    if context.settings.get("fleet") is None:
        raise NeedsError("agreement needs the fleet to be turned on")
    voters = required_value(table, "voters", list, "agreement")
    if not 1 <= len(voters) <= MAX_VOTERS or not all(isinstance(voter, str) and voter for voter in voters):
        raise MalformedError(f"agreement.voters must be a list of 1 to {MAX_VOTERS} names: {voters!r}")
    if len(set(voters)) < len(voters):
        raise TakenError(f"agreement.voters names a voter twice: {voters!r}")
    disk = table.get("disk", "")
    if not isinstance(disk, str) or disk.endswith("/"):
        raise MalformedError(f"agreement.disk must be the path of a file, not of a directory: {disk!r}")
    return AgreementConfig(tuple(voters), disk, **bounded_numbers(table, "agreement", KEYS))


class AgreementSettings(PartSettings):
    """Describes the settings file of the agreement part."""

    name, environment_variable, restart_keys = "agreement", "LEADSLIP_AGREEMENT", "agreement"
    parse = staticmethod(parse)

    @staticmethod
    def exclusive_values(conf: AgreementConfig) -> tuple[tuple[str, object], ...]:
        return (("agreement.disk", conf.disk),) if conf.disk else ()


SETTINGS_CLASS = AgreementSettings
