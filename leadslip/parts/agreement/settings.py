"""Settings of the agreement part. It requires the fleet part and, like that, is off on the platform."""

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

KEYS = {
    "in_force_ms": (2000.0, 200.0, 600_000.0),
    "isolated_most_tries": (1, 1, 16),
}  # default, minimum, maximum
MAX_VOTERS = 9


@dataclass(frozen=True, slots=True)
class AgreementConfig:
    """The voters, the file of a voter's persistent state, and how long a revision applies without confirmation."""

    voters: tuple[str, ...]  # member names
    disk: str  # path of the voter's file; only voters need one
    in_force_ms: float
    isolated_most_tries: (
        int  # attempts per call under the fallback rules until a document `isolated` is agreed on
    )


def settings(table: Mapping, context: SettingsContext) -> AgreementConfig | None:
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
        raise MalformedError(f"agreement.disk must be the path of a file: {disk!r}")
    return AgreementConfig(tuple(voters), disk, **bounded_numbers(table, "agreement", KEYS))


class AgreementSettings(PartSettings):
    """The settings file of the agreement part."""

    name, environment_variable, restart_keys = "agreement", "LEADSLIP_AGREEMENT", "agreement"
    settings = staticmethod(settings)

    @staticmethod
    def exclusive_values(conf: AgreementConfig) -> tuple[tuple[str, object], ...]:
        return (("agreement.disk", conf.disk),) if conf.disk else ()


SETTINGS_CLASS = AgreementSettings
