"""Settings of the embedded store, for data that outlives the process (recorder.py, store/)."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import BoundsError, MalformedError, bounded_numbers, is_enabled, required_value
from leadslip.parts import PartSettings, SettingsContext


@dataclass(frozen=True, slots=True)
class StoreConfig:
    """Configuration of the embedded store."""

    path: str
    most_mb: int  # maximum size of the file
    fine_days: int  # retention of the intervals as measured
    days: int  # retention of quarter hours


STORE_BOUNDS = {  # key -> (default, minimum, maximum)
    "most_mb": (64, 1, 1_000_000),
    "fine_days": (7, 1, 366),
    "days": (400, 1, 10_000),
}


def parse(table: Mapping, context: SettingsContext | None = None) -> StoreConfig | None:
    """Returns the validated configuration of the store; None if the part is not enabled."""
    if not is_enabled(table, "store", ("path", *STORE_BOUNDS)):
        return None
    path = str(required_value(table, "path", str, "store"))
    if not path or path.endswith("/"):
        raise MalformedError(f"store.path must name a file: {path!r}")
    numbers = bounded_numbers(table, "store", STORE_BOUNDS)
    if numbers["days"] < numbers["fine_days"]:
        raise BoundsError(
            f"store.days must be at least store.fine_days ({numbers['fine_days']}): {numbers['days']}"
        )
    if context is not None and context.running:
        folder = os.path.dirname(path) or "."
        if os.path.isdir(path) or not os.path.isdir(folder):
            raise MalformedError(f"store.path is no file in a folder that exists: {path!r}")
    return StoreConfig(path, **numbers)


class StoreSettings(PartSettings):
    """The settings file of the store part: its name, its environment variable and what needs a restart."""

    name, environment_variable, restart_keys = "store", "LEADSLIP_STORE", "store"
    parse = staticmethod(parse)

    @staticmethod
    def exclusive_values(conf: StoreConfig) -> tuple[tuple[str, object], ...]:
        return (("store.path", conf.path),)  # two proxies that write to one file would block each other


SETTINGS_CLASS = StoreSettings
