"""A plan of trunk groups, read from TOML: loads, growth, overflow and grades of service; sizes and cost come out.

blocking = 0.01            # of each group, unless it says otherwise
growth = 0.2               # a fifth more than measured

[[group]]
name = "seoul"
load = 21.5                # erlangs; or measured = "seoul" with --store
module = 30
overflow = "transit"       # a high-usage group, sized together with its final group

[[group]]
name = "transit"
cost = 1.4                 # of a trunk

[group.classes]            # optional: loads by class and the one that is spared
officer-call = 4.0
resident-call = 17.5
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from leadslip.errors import OperatorError
from leadslip.trunks import sizing
from leadslip.trunks.losses import LEAST_LOAD, MOST_LOAD, LossError

PLAN_KEYS = ("blocking", "growth", "confidence", "group")
GROUP_KEYS = (
    "name",
    "load",
    "measured",
    "module",
    "cost",
    "peakedness",
    "blocking",
    "growth",
    "overflow",
    "trunks",
    "classes",
    "spared",
    "spared_blocking",
)


class PlanError(OperatorError):
    """A plan of trunk groups makes no sense; the text names the key."""

    code, status = "trunks.plan", 400
    action = "Correct the key named in the plan's file and ask again."


@dataclass(frozen=True, slots=True)
class Wanted:
    """One group of a plan, checked."""

    name: str
    load: float
    module: int
    cost: float
    peakedness: float
    blocking: float
    overflow: str | None
    trunks: int | None  # that there are now
    classes: Mapping[str, float] = field(default_factory=dict)
    spared: str | None = None
    spared_blocking: float = 0.0


@dataclass(frozen=True, slots=True)
class Planned:
    """What one group needs."""

    name: str
    role: str  # alone, high-usage or final
    load: float
    trunks: int
    blocking: float
    blocking_one_less: float
    blocking_one_more: float
    cost: float
    more: int | None  # trunks to add to those there are now; below nought: to spare
    levels: tuple[sizing.Reserved, ...] = ()


def figure(
    told: Mapping, key: str, at: str, least: float, most: float, default: float | None = None
) -> float:
    """A figure within its bounds; without a default it must be there."""
    value = told.get(key, default)
    if value is None:
        raise PlanError(f"{at}{key} is missing")
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise PlanError(f"{at}{key} must lie between {least:g} and {most:g}: {value!r}")
    return value


def read(told: Mapping, measured: Callable[[str], float] | None = None) -> list[Wanted]:
    """The groups of a plan; `measured` tells the load of a group by its record, confidence limit included."""
    for key in told:
        if key not in PLAN_KEYS:
            raise PlanError(f"{key} is unknown")
    listed = told.get("group")
    if not isinstance(listed, list) or not listed:
        raise PlanError("group is missing")
    whole_blocking = figure(told, "blocking", "", 1e-9, 0.99, 0.01)
    whole_growth = figure(told, "growth", "", -0.99, 100.0, 0.0)
    wanted: dict[str, Wanted] = {}
    for i, group in enumerate(listed):
        one = _group(group, f"group.{i}.", whole_blocking, whole_growth, measured)
        if one.name in wanted:
            raise PlanError(f"group.{i}.name is used twice: {one.name!r}")
        wanted[one.name] = one
    for i, one in enumerate(wanted.values()):
        if one.overflow is not None:
            final = wanted.get(one.overflow)
            if final is None or final.overflow is not None or final is one:
                raise PlanError(f"group.{i}.overflow names no final group: {one.overflow!r}")
            if one.peakedness != 1.0:
                raise PlanError(f"group.{i}.peakedness must be 1 for a group that overflows")
    return list(wanted.values())


def _group(
    told: object, at: str, blocking: float, growth: float, measured: Callable[[str], float] | None
) -> Wanted:
    if not isinstance(told, Mapping):
        raise PlanError(f"{at[:-1]} is no table")
    for key in told:
        if key not in GROUP_KEYS:
            raise PlanError(f"{at}{key} is unknown")
    name = told.get("name")
    if not isinstance(name, str) or not name:
        raise PlanError(f"{at}name is missing")
    classes = told.get("classes", {})
    if not isinstance(classes, Mapping):
        raise PlanError(f"{at}classes is no table")
    loads = {key: figure(classes, key, f"{at}classes.", 0.0, MOST_LOAD) for key in classes}
    if "measured" in told:
        if "load" in told:
            raise PlanError(f"{at}load and {at}measured exclude each other")
        if measured is None:
            raise PlanError(f"{at}measured needs a store to read from")
        load = measured(str(told["measured"]))
        if not LEAST_LOAD <= load <= MOST_LOAD:
            raise PlanError(f"{at}measured: no load in bounds is recorded for {told['measured']!r}: {load!r}")
    else:
        load = figure(told, "load", at, 0.0, MOST_LOAD, whole_load(loads))
    spared = told.get("spared")
    if spared is not None and spared not in loads:
        raise PlanError(f"{at}spared names no class of the group: {spared!r}")
    overflow, trunks = told.get("overflow"), told.get("trunks")
    if overflow is not None and not isinstance(overflow, str):
        raise PlanError(f"{at}overflow makes no sense: {overflow!r}")
    if trunks is not None:
        trunks = int(figure(told, "trunks", at, 0, 100_000))
    lost = figure(told, "blocking", at, 1e-9, 0.99, blocking)
    grown = load * (1.0 + figure(told, "growth", at, -0.99, 100.0, growth))
    if grown > MOST_LOAD:
        raise PlanError(f"{at}load is above {MOST_LOAD:g} erlangs after growth")
    return Wanted(
        name,
        grown,
        int(figure(told, "module", at, 1, 100_000, 1)),
        figure(told, "cost", at, 1e-9, 1e9, 1.0),
        figure(told, "peakedness", at, 0.01, 100.0, 1.0),
        lost,
        overflow,
        trunks,
        loads,
        spared,
        figure(told, "spared_blocking", at, 0.0, 1.0, lost / 10.0),
    )


def whole_load(loads: Mapping[str, float]) -> float | None:
    """The load of all classes; None where none is told."""
    return sum(loads.values()) if loads else None


def solve(wanted: list[Wanted]) -> list[Planned]:
    """Sizes of all groups, each final group together with those that overflow to it."""
    done: dict[str, Planned] = {}
    for final in wanted:
        sources = [one for one in wanted if one.overflow == final.name]
        try:
            if sources:
                _together(final, sources, done)
            elif final.overflow is None:
                done[final.name] = _alone(final)
        except LossError as fault:
            raise PlanError(f"group {final.name}: {fault}") from fault
    return [done[one.name] for one in wanted]


def _alone(one: Wanted) -> Planned:
    if one.load < LEAST_LOAD:
        return _planned(one, "alone", 0, 0.0, 1.0, 0.0)
    found = sizing.size(one.load, one.blocking, one.module, one.peakedness)
    return _planned(
        one, "alone", found.trunks, found.blocking, found.blocking_one_less, found.blocking_one_more
    )


def _together(final: Wanted, sources: list[Wanted], done: dict[str, Planned]) -> None:
    groups = [sizing.Group(one.name, one.load, one.cost, one.module) for one in sources]
    last = sizing.Final(final.name, final.load, final.cost, final.module)
    found = sizing.network(groups, last, final.blocking)
    mean, variance = found.offered
    for one in sources:
        n = found.trunks[one.name]
        around = [
            sizing.losses.erlang_b(m, one.load) if m >= 0 else 1.0 for m in (n, n - 1, n + 1)
        ]  # what overflows; what is lost is lost at the final group
        done[one.name] = _planned(one, "high-usage", n, *around)
    n = found.trunks[final.name]
    if mean < LEAST_LOAD:
        done[final.name] = _planned(final, "final", n, 0.0, 1.0, 0.0)
        return
    around = [
        sizing.losses.peaked_blocking(m, mean, max(mean, variance)) if m >= 0 else 1.0
        for m in (n, n - 1, n + 1)
    ]
    done[final.name] = _planned(final, "final", n, *around, load=mean)


def _planned(
    one: Wanted, role: str, trunks: int, lost: float, less: float, more: float, load: float | None = None
) -> Planned:
    levels: tuple[sizing.Reserved, ...] = ()
    if one.spared is not None and trunks:
        whole = sum(one.classes.values())
        grown = one.load / whole if whole else 1.0
        spared = one.classes[one.spared] * grown
        levels = tuple(sizing.levels(trunks, spared, one.load - spared, one.spared_blocking))
    return Planned(
        one.name,
        role,
        one.load if load is None else load,
        trunks,
        lost,
        less,
        more,
        trunks * one.cost,
        None if one.trunks is None else trunks - one.trunks,
        levels,
    )
