"""Settings of trunk groups: traffic measurement and trunk reservation (trunks/)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from leadslip.config import (
    BoundsError,
    MalformedError,
    MissingError,
    NeedsError,
    TakenError,
    UnknownKeyError,
    bounded_numbers,
    is_enabled,
    required_value,
)
from leadslip.parts import PartSettings, SettingsContext


@dataclass(frozen=True, slots=True)
class TrunkGroup:
    """One trunk group of the settings: its trunks, and how many each class must leave free."""

    name: str
    destinations: tuple[int, ...]  # requests to these use the group's trunks
    trunks: float  # of them, this proxy's part: key trunks times key share
    reserve: Mapping[str, float]  # class -> trunks that it must leave free


@dataclass(frozen=True, slots=True)
class TrunksConfig:
    """Configuration of traffic measurement and of the trunk groups."""

    measure: bool  # whether traffic is measured and stored
    interval_s: int  # length of the measured intervals
    groups: tuple[TrunkGroup, ...]


TRUNK_BOUNDS = {"interval_s": (60, 1, 900)}  # key -> (default, minimum, maximum)


def parse(table: Mapping, context: SettingsContext) -> TrunksConfig | None:
    """Returns the validated configuration of trunk groups; None if the part is not enabled."""
    if not is_enabled(table, "trunks", ("measure", "group", *TRUNK_BOUNDS)):
        return None
    measure = table.get("measure", True)
    if not isinstance(measure, bool):
        raise MalformedError(f"trunks.measure must be true or false: {measure!r}")
    if measure and context.settings.get("store") is None:
        raise NeedsError("trunks.measure needs the store to be turned on; else set it to false")
    interval_s = bounded_numbers(table, "trunks", TRUNK_BOUNDS)["interval_s"]
    if 900 % interval_s:
        raise BoundsError(f"trunks.interval_s must divide 900, the seconds of a quarter hour: {interval_s}")
    group_tables = table.get("group", [])
    if not isinstance(group_tables, list):
        raise MalformedError("trunks.group must be a list of tables, as [[group]] gives")
    groups: dict[str, TrunkGroup] = {}
    group_by_destination: dict[int, str] = {}
    for i, group_table in enumerate(group_tables):
        group = _trunk_group(group_table, f"trunks.group.{i}", context.classes)
        if group.name in groups:
            raise TakenError(f"trunks.group.{i}.name is used twice: {group.name!r}")
        for destination in group.destinations:
            if group_by_destination.setdefault(destination, group.name) != group.name:
                other_group = group_by_destination[destination]
                raise TakenError(
                    f"trunks.group.{i}.destinations: {destination} belongs to {other_group!r} already"
                )
        groups[group.name] = group
    return TrunksConfig(measure, interval_s, tuple(groups.values()))


def _trunk_group(table: object, prefix: str, classes: tuple[str, ...] | None) -> TrunkGroup:
    """Returns the validated group of a table; `classes` are the proxy's classes, None if they are not known."""
    if not isinstance(table, Mapping):
        raise MalformedError(f"{prefix} is no table: {table!r}")
    for key in table:
        if key not in ("name", "destinations", "trunks", "share", "reserve"):
            raise UnknownKeyError(
                f"{prefix}.{key} is unknown; known keys are name, destinations, trunks, share and reserve"
            )
    name = str(required_value(table, "name", str, prefix))
    if not name or "/" in name:
        raise MalformedError(f"{prefix}.name must not be empty or contain a slash: {name!r}")
    destinations = required_value(table, "destinations", list, prefix)
    for destination in destinations:
        if isinstance(destination, bool) or not isinstance(destination, int):
            raise MalformedError(f"{prefix}.destinations must contain integers only: {destination!r}")
    if "trunks" not in table:
        raise MissingError(f"{prefix}.trunks is missing")
    bounds = {"trunks": (1, 0, 100_000), "share": (1.0, 0.0, 1.0)}
    numbers = bounded_numbers(table, prefix, bounds)
    reserve = table.get("reserve", {})
    if not isinstance(reserve, Mapping):
        raise MalformedError(f"{prefix}.reserve must be a table of trunks by class: {reserve!r}")
    for key in reserve:
        if classes is not None and key not in classes:
            raise MalformedError(
                f"{prefix}.reserve.{key} is no class of the settings; these are {', '.join(classes)}"
            )
    levels = bounded_numbers(
        reserve, f"{prefix}.reserve", dict.fromkeys(reserve, (0.0, 0, numbers["trunks"]))
    )
    return TrunkGroup(name, tuple(destinations), numbers["trunks"] * numbers["share"], levels)


class TrunksSettings(PartSettings):
    """The settings file of the trunk-group part: its name, its environment variable and what needs a restart."""

    name, environment_variable, restart_keys = "trunks", "LEADSLIP_TRUNKS", "trunks.measure"
    parse = staticmethod(parse)

    @staticmethod
    def restart_settings(conf: TrunksConfig) -> object:
        return conf.measure, conf.interval_s


SETTINGS_CLASS = TrunksSettings
