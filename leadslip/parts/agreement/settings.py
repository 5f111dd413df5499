"""Settings of the agreement. Needs the fleet; off on the platform, as that is."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import MalformedError, NeedsError, TakenError, figures_of, member, turned_on
from leadslip.parts import Around, Kind

KEYS = {"in_force_ms": (2000.0, 200.0, 600_000.0), "isolated_most_tries": (1, 1, 16)}  # default, least, most
MOST_VOTERS = 9


@dataclass(frozen=True, slots=True)
class AgreementConfig:
    """Who votes, where a voter keeps what it must not forget, and for how long rules hold that nobody vouches for."""

    voters: tuple[str, ...]  # names of members
    disk: str  # of a voter; others need none
    in_force_ms: float
    isolated_most_tries: int  # until a document `isolated` is agreed on


def settings(told: Mapping, around: Around) -> AgreementConfig | None:
    """The checked settings of the agreement; None where they turn it off."""
    if not turned_on(told, "agreement", ("voters", "disk", *KEYS)):
        return None
    if around.settings.get("fleet") is None:
        raise NeedsError("agreement needs the fleet to be turned on")
    voters = member(told, "voters", list, "agreement")
    if not 1 <= len(voters) <= MOST_VOTERS or not all(isinstance(one, str) and one for one in voters):
        raise MalformedError(f"agreement.voters is no list of 1 to {MOST_VOTERS} names: {voters!r}")
    if len(set(voters)) < len(voters):
        raise TakenError("agreement.voters names one twice")
    disk = told.get("disk", "")
    if not isinstance(disk, str) or disk.endswith("/"):
        raise MalformedError(f"agreement.disk is no file: {disk!r}")
    return AgreementConfig(tuple(voters), disk, **figures_of(told, "agreement", KEYS))


class AgreementSettings(Kind):
    """What the file of this part may say."""

    name, variable, lasting = "agreement", "LEADSLIP_AGREEMENT", "agreement"
    settings = staticmethod(settings)

    @staticmethod
    def taken(conf: AgreementConfig) -> tuple[tuple[str, object], ...]:
        return (("agreement.disk", conf.disk),) if conf.disk else ()


KIND = AgreementSettings
