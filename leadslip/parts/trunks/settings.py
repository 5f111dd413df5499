"""Settings of trunk groups: traffic measured, trunks reserved (trunks/)."""

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
    figures_of,
    member,
    turned_on,
)
from leadslip.parts import Around, Kind


@dataclass(frozen=True, slots=True)
class TrunkGroup:
    """One trunk group: its circuits, and how many each class must leave free."""

    name: str
    destinations: tuple[int, ...]
    trunks: float  # this proxy's part of the circuits
    reserve: Mapping[str, float]  # class -> trunks that it must leave free


@dataclass(frozen=True, slots=True)
class TrunksConfig:
    """What is measured of trunk groups, and what is reserved on them."""

    measure: bool
    interval_s: int
    groups: tuple[TrunkGroup, ...]


TRUNK_KEYS = {"interval_s": (60, 1, 900)}


def settings(told: Mapping, around: Around) -> TrunksConfig | None:
    """The checked configuration of trunk groups; None where it is not turned on."""
    if not turned_on(told, "trunks", ("measure", "group", *TRUNK_KEYS)):
        return None
    measure = told.get("measure", True)
    if not isinstance(measure, bool):
        raise MalformedError(f"trunks.measure is neither true nor false: {measure!r}")
    if measure and around.settings.get("store") is None:
        raise NeedsError("trunks.measure needs the store to be turned on")
    interval_s = figures_of(told, "trunks", TRUNK_KEYS)["interval_s"]
    if 900 % interval_s:
        raise BoundsError(f"trunks.interval_s must divide 900: {interval_s}")
    listed = told.get("group", [])
    if not isinstance(listed, list):
        raise MalformedError("trunks.group is no list of tables")
    groups: dict[str, TrunkGroup] = {}
    owner: dict[int, str] = {}
    for i, one in enumerate(listed):
        group = _trunk_group(one, f"trunks.group.{i}", around.classes)
        if group.name in groups:
            raise TakenError(f"trunks.group.{i}.name is used twice: {group.name!r}")
        for destination in group.destinations:
            if owner.setdefault(destination, group.name) != group.name:
                told_by = owner[destination]
                raise TakenError(f"trunks.group.{i}.destinations: {destination} belongs to {told_by!r}")
        groups[group.name] = group
    return TrunksConfig(measure, interval_s, tuple(groups.values()))


def _trunk_group(told: object, at: str, classes: tuple[str, ...] | None) -> TrunkGroup:
    if not isinstance(told, Mapping):
        raise MalformedError(f"{at} is no table")
    for key in told:
        if key not in ("name", "destinations", "trunks", "share", "reserve"):
            raise UnknownKeyError(f"{at}.{key} is unknown")
    name = str(member(told, "name", str, at))
    if not name or "/" in name:
        raise MalformedError(f"{at}.name is empty or holds a slash: {name!r}")
    destinations = member(told, "destinations", list, at)
    for one in destinations:
        if isinstance(one, bool) or not isinstance(one, int):
            raise MalformedError(f"{at}.destinations holds no whole number: {one!r}")
    if "trunks" not in told:
        raise MissingError(f"{at}.trunks is missing")
    bounds = {"trunks": (1, 0, 100_000), "share": (1.0, 0.0, 1.0)}
    figures = figures_of(told, at, bounds)
    reserve = told.get("reserve", {})
    if not isinstance(reserve, Mapping):
        raise MalformedError(f"{at}.reserve is no table")
    for key in reserve:
        if classes is not None and key not in classes:
            raise MalformedError(f"{at}.reserve.{key} is no class of the settings")
    levels = figures_of(reserve, f"{at}.reserve", dict.fromkeys(reserve, (0.0, 0, figures["trunks"])))
    return TrunkGroup(name, tuple(destinations), figures["trunks"] * figures["share"], levels)


class TrunksSettings(Kind):
    """What the file of this part may say."""

    name, variable, lasting = "trunks", "LEADSLIP_TRUNKS", "trunks.measure"
    settings = staticmethod(settings)

    @staticmethod
    def fixed(conf: TrunksConfig) -> object:
        return conf.measure, conf.interval_s


KIND = TrunksSettings
