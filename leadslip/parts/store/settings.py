"""Settings of the embedded store, for what outlives the process (keeper.py, store/)."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import BoundsError, MalformedError, figures_of, member, turned_on
from leadslip.parts import Around, Kind


@dataclass(frozen=True, slots=True)
class StoreConfig:
    """The embedded store."""

    path: str
    most_mb: int
    fine_days: int
    days: int


STORE_KEYS = {  # key -> (default, least, most)
    "most_mb": (64, 1, 1_000_000),
    "fine_days": (7, 1, 366),
    "days": (400, 1, 10_000),
}


def settings(told: Mapping, around: Around | None = None) -> StoreConfig | None:
    """The checked configuration of the store; None where it is not turned on."""
    if not turned_on(told, "store", ("path", *STORE_KEYS)):
        return None
    path = str(member(told, "path", str, "store"))
    if not path or path.endswith("/"):
        raise MalformedError(f"store.path is no file: {path!r}")
    figures = figures_of(told, "store", STORE_KEYS)
    if figures["days"] < figures["fine_days"]:
        raise BoundsError(f"store.days must not be below fine_days: {figures['days']}")
    if around is not None and around.running:
        folder = os.path.dirname(path) or "."
        if os.path.isdir(path) or not os.path.isdir(folder):
            raise MalformedError(f"store.path is no file in a folder that is there: {path!r}")
    return StoreConfig(path, **figures)


class StoreSettings(Kind):
    """What the file of this part may say."""

    name, variable, lasting = "store", "LEADSLIP_STORE", "store"
    settings = staticmethod(settings)

    @staticmethod
    def taken(conf: StoreConfig) -> tuple[tuple[str, object], ...]:
        return (("store.path", conf.path),)  # two writers of one file would hold each other up


KIND = StoreSettings
