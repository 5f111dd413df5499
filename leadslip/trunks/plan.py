"""Dimensioning plan of trunk groups: reads loads, growth, overflow and grades of service from TOML, sizes the groups.

blocking = 0.01            # default for each group
growth = 0.2               # default for each group: 20% is added to the load given or measured

[[group]]
name = "seoul"
load = 21.5                # erlangs; or with --store: measured = "seoul", its load in that store
module = 30                # trunks are installed in multiples of this
overflow = "transit"       # its final group: the two are sized together

[[group]]
name = "transit"
cost = 1.4                 # per trunk, in any unit

[group.classes]            # optional: erlangs by class; the key `spared` of the group names the class to protect
officer-call = 4.0
resident-call = 17.5
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from leadslip.errors import OperatorError
from leadslip.trunks import sizing
from leadslip.trunks.losses import MAX_LOAD, MIN_LOAD, LossError

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
    """A trunk group plan is invalid; the error message names the key."""

    code, status = "trunks.plan", 400
    action = "Correct the key named in the plan file and try again."


@dataclass(frozen=True, slots=True)
class GroupSpec:
    """One group of a plan, validated."""

    name: str
    load: float  # erlangs, including growth
    module: int  # the size is a multiple of this
    cost: float  # per trunk
    peakedness: float  # variance-to-mean ratio of the load
    blocking: float  # permitted
    overflow: str | None  # the final group; None if it has none
    trunks: int | None  # currently installed
    classes: Mapping[str, float] = field(default_factory=dict)  # class -> erlangs, without growth
    spared: str | None = None  # the class to protect by trunk reservation
    spared_blocking: float = 0.0  # permitted for that class


@dataclass(frozen=True, slots=True)
class SizedGroup:
    """The size of one group, its blocking and its cost."""

    name: str
    role: str  # alone, high-usage or final
    load: float
    trunks: int
    blocking: float  # of a high-usage group: the probability of overflow
    blocking_one_less: float  # with one trunk fewer
    blocking_one_more: float  # with one trunk more
    cost: float
    more: int | None  # trunks to add to the installed ones; negative if there are too many
    levels: tuple[sizing.ReservationLevel, ...] = ()  # up to the one that protects the class `spared`


def bounded_number(
    table: Mapping, key: str, prefix: str, minimum: float, maximum: float, default: float | None = None
) -> float:
    """Returns a number of the table, checked against its bounds; the key is required if there is no default."""
    value = table.get(key, default)
    if value is None:
        raise PlanError(f"{prefix}{key} is missing")
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise PlanError(f"{prefix}{key} must lie between {minimum:g} and {maximum:g}: {value!r}")
    return value


def read(document: Mapping, measured: Callable[[str], float] | None = None) -> list[GroupSpec]:
    """Returns the groups of a plan; `measured` returns a group's recorded load at its upper confidence limit."""
    for key in document:
        if key not in PLAN_KEYS:
            raise PlanError(f"{key} is unknown; known keys are {', '.join(PLAN_KEYS)}")
    group_tables = document.get("group")
    if not isinstance(group_tables, list) or not group_tables:
        raise PlanError("group is missing: a plan needs at least one [[group]] table")
    default_blocking = bounded_number(document, "blocking", "", 1e-9, 0.99, 0.01)
    default_growth = bounded_number(document, "growth", "", -0.99, 100.0, 0.0)
    specs: dict[str, GroupSpec] = {}
    for i, table in enumerate(group_tables):
        spec = _read_group(table, f"group.{i}.", default_blocking, default_growth, measured)
        if spec.name in specs:
            raise PlanError(f"group.{i}.name is used twice: {spec.name!r}")
        specs[spec.name] = spec
    for i, spec in enumerate(specs.values()):
        if spec.overflow is not None:
            final = specs.get(spec.overflow)
            if final is None or final.overflow is not None or final is spec:
                raise PlanError(
                    f"group.{i}.overflow names no final group (another group without overflow): {spec.overflow!r}"
                )
            if spec.peakedness != 1.0:
                raise PlanError(f"group.{i}.peakedness must be 1 for a group that overflows")
    return list(specs.values())


def _read_group(
    table: object, prefix: str, blocking: float, growth: float, measured: Callable[[str], float] | None
) -> GroupSpec:
    if not isinstance(table, Mapping):
        raise PlanError(f"{prefix[:-1]} must be a table: {table!r}")
    for key in table:
        if key not in GROUP_KEYS:
            raise PlanError(f"{prefix}{key} is unknown; known keys are {', '.join(GROUP_KEYS)}")
    name = table.get("name")
    if not isinstance(name, str) or not name:
        raise PlanError(f"{prefix}name is missing or is not a non-empty string: {name!r}")
    classes = table.get("classes", {})
    if not isinstance(classes, Mapping):
        raise PlanError(f"{prefix}classes must be a table of loads by class: {classes!r}")
    loads = {key: bounded_number(classes, key, f"{prefix}classes.", 0.0, MAX_LOAD) for key in classes}
    if "measured" in table:
        if "load" in table:
            raise PlanError(f"{prefix}load and {prefix}measured exclude each other")
        if measured is None:
            raise PlanError(f"{prefix}measured needs a store to read from: give --store")
        load = measured(str(table["measured"]))
        if not MIN_LOAD <= load <= MAX_LOAD:
            raise PlanError(
                f"{prefix}measured: no load between {MIN_LOAD:g} and {MAX_LOAD:g} is recorded for"
                f" {table['measured']!r}: {load!r}"
            )
    else:
        load = bounded_number(table, "load", prefix, 0.0, MAX_LOAD, total_load(loads))
    spared = table.get("spared")
    if spared is not None and spared not in loads:
        raise PlanError(f"{prefix}spared names no class of the group: {spared!r}")
    overflow, trunks = table.get("overflow"), table.get("trunks")
    if overflow is not None and not isinstance(overflow, str):
        raise PlanError(f"{prefix}overflow must be the name of a group: {overflow!r}")
    if trunks is not None:
        trunks = int(bounded_number(table, "trunks", prefix, 0, 100_000))
    group_blocking = bounded_number(table, "blocking", prefix, 1e-9, 0.99, blocking)
    grown_load = load * (1.0 + bounded_number(table, "growth", prefix, -0.99, 100.0, growth))
    if grown_load > MAX_LOAD:
        raise PlanError(f"{prefix}load is above {MAX_LOAD:g} erlangs after growth: {grown_load!r}")
    return GroupSpec(
        name,
        grown_load,
        int(bounded_number(table, "module", prefix, 1, 100_000, 1)),
        bounded_number(table, "cost", prefix, 1e-9, 1e9, 1.0),
        bounded_number(table, "peakedness", prefix, 0.01, 100.0, 1.0),
        group_blocking,
        overflow,
        trunks,
        loads,
        spared,
        bounded_number(table, "spared_blocking", prefix, 0.0, 1.0, group_blocking / 10.0),
    )


def total_load(loads: Mapping[str, float]) -> float | None:
    """Returns the total load of all classes; None if no class is given."""
    return sum(loads.values()) if loads else None


def solve(specs: list[GroupSpec]) -> list[SizedGroup]:
    """Sizes all groups, each final group together with the groups that overflow to it."""
    sized: dict[str, SizedGroup] = {}
    for final in specs:
        high_usage_specs = [spec for spec in specs if spec.overflow == final.name]
        try:
            if high_usage_specs:
                _size_with_overflow(final, high_usage_specs, sized)
            elif final.overflow is None:
                sized[final.name] = _size_alone(final)
        except LossError as error:
            raise PlanError(f"group {final.name}: {error}") from error
    return [sized[spec.name] for spec in specs]


def _size_alone(spec: GroupSpec) -> SizedGroup:
    if spec.load < MIN_LOAD:
        return _sized_group(spec, "alone", 0, 0.0, 1.0, 0.0)
    size = sizing.size(spec.load, spec.blocking, spec.module, spec.peakedness)
    return _sized_group(
        spec, "alone", size.trunks, size.blocking, size.blocking_one_less, size.blocking_one_more
    )


def _size_with_overflow(
    final: GroupSpec, high_usage_specs: list[GroupSpec], sized: dict[str, SizedGroup]
) -> None:
    groups = [
        sizing.HighUsageGroup(spec.name, spec.load, spec.cost, spec.module) for spec in high_usage_specs
    ]
    final_group = sizing.FinalGroup(final.name, final.load, final.cost, final.module)
    network = sizing.size_network(groups, final_group, final.blocking)
    mean, variance = network.offered
    for spec in high_usage_specs:
        trunks = network.trunks[spec.name]
        blocking = [
            sizing.losses.erlang_b(count, spec.load) if count >= 0 else 1.0
            for count in (trunks, trunks - 1, trunks + 1)
        ]  # the probability of overflow; calls are lost at the final group only
        sized[spec.name] = _sized_group(spec, "high-usage", trunks, *blocking)
    trunks = network.trunks[final.name]
    if mean < MIN_LOAD:
        sized[final.name] = _sized_group(final, "final", trunks, 0.0, 1.0, 0.0)
        return
    blocking = [
        sizing.losses.peaked_blocking(count, mean, max(mean, variance)) if count >= 0 else 1.0
        for count in (trunks, trunks - 1, trunks + 1)
    ]
    sized[final.name] = _sized_group(final, "final", trunks, *blocking, load=mean)


def _sized_group(
    spec: GroupSpec,
    role: str,
    trunks: int,
    blocking: float,
    blocking_one_less: float,
    blocking_one_more: float,
    load: float | None = None,
) -> SizedGroup:
    levels: tuple[sizing.ReservationLevel, ...] = ()
    if spec.spared is not None and trunks:
        class_load = sum(spec.classes.values())
        growth_factor = spec.load / class_load if class_load else 1.0
        spared = spec.classes[spec.spared] * growth_factor
        levels = tuple(sizing.levels(trunks, spared, spec.load - spared, spec.spared_blocking))
    return SizedGroup(
        spec.name,
        role,
        spec.load if load is None else load,
        trunks,
        blocking,
        blocking_one_less,
        blocking_one_more,
        trunks * spec.cost,
        None if spec.trunks is None else trunks - spec.trunks,
        levels,
    )
