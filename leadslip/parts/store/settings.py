"""Settings of the embedded store, for data that outlives the process (keeper.py, store/)."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import BoundsError, MalformedError, figures_of, member, turned_on
from leadslip.parts import Around, Kind


@dataclass(frozen=True, slots=True)
class StoreConfig:
    """Configuration of the embedded store."""

    path: str
    most_mb: int
    fine_days: int
    days: int


STORE_BOUNDS = {  # key -> (default, minimum, maximum)
    "most_mb": (64, 1, 1_000_000),
    "fine_days": (7, 1, 366),
    "days": (400, 1, 10_000),
}


def settings(told: Mapping, around: Around | None = None) -> StoreConfig | None:
    """Returns the validated configuration of the store; None if the part is not enabled."""
    if not turned_on(told, "store", ("path", *STORE_BOUNDS)):
        return None
    path = str(member(told, "path", str, "store"))
    if not path or path.endswith("/"):
        raise MalformedError(f"store.path must name a file: {path!r}")
    numbers = figures_of(told, "store", STORE_BOUNDS)
    if numbers["days"] < numbers["fine_days"]:
        raise BoundsError(
            f"store.days must be at least fine_days ({numbers['fine_days']}): {numbers['days']}"
        )
    if around is not None and around.running:
        folder = os.path.dirname(path) or "."
        if os.path.isdir(path) or not os.path.isdir(folder):
            raise MalformedError(f"store.path is no file in a folder that exists: {path!r}")
    return StoreConfig(path, **numbers)


class StoreSettings(Kind):
    """The settings file of this part."""

    name, variable, lasting = "store", "LEADSLIP_STORE", "store"
    settings = staticmethod(settings)

    @staticmethod
    def taken(conf: StoreConfig) -> tuple[tuple[str, object], ...]:
        return (("store.path", conf.path),)  # two writers of one file would block each other


KIND = StoreSettings
