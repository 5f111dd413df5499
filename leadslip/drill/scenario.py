"""Fault-injection scenarios: number of processes, faults and their times; and the schedule drawn from a seed.

A scenario is a TOML file:

    title = "Halves that heal"
    provokes = "a partition into halves, and its healing"
    processes = 12
    calls_per_s = 20.0        # of all callers together
    settle_s = 10.0           # time to converge after the last fault
    [[fault]]
    kind = "partition"        # see KINDS
    at_s = 1.0                # after the fleet has formed
    for_s = 6.0
    parts = "halves"

A schedule is a list of actions, in order of time, with the processes that were drawn. A run stores it beside the
histories, so that it can be repeated and minimized.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec

from leadslip.errors import OperatorError

PARTITIONS = ("halves", "minority", "one", "three", "bridge", "ring")
PATH_FAULTS = ("loss", "late", "twice", "disorder", "spoil", "oneway", "hole", "mute")
PROCESS_FAULTS = ("stall", "busy", "clock", "descriptors", "service")  # with a begin and an end
KINDS = ("partition", *PATH_FAULTS, *PROCESS_FAULTS, "kill", "leave", "upgrade")
MAX_DRIFT_PPM = 10_000.0
SCENARIO_DIR = Path(__file__).parent / "scenarios"


class ScenarioError(OperatorError):
    """A fault-injection scenario is invalid; the error message names the key."""

    code, status = "drill.scenario", 400
    action = "Correct the key named; `leadslip drill list` lists the scenarios included with the program."


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A fault: hits `count` random processes (or paths between them), `times` times, `every_s` apart."""

    kind: str
    at_s: float
    for_s: float = 0.0
    parts: str = "halves"
    count: int = 1
    share: float = 0.0  # of the datagrams hit, for loss, twice and spoil
    ms: float = 0.0  # delay (late), largest delay (disorder), length of a stall (busy), clock offset either way (clock)
    back_s: float = -1.0  # a process that was killed or left restarts after this time; below 0: never
    times: int = 1
    every_s: float = 2.0


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A scenario: the processes to start, their load, and the faults."""

    title: str
    provokes: str
    processes: int
    fault: list[Fault]
    calls_per_s: float = 20.0
    settle_s: float = 10.0
    former: int = 0  # number of processes that speak the previous wire version
    drift_ppm: float = 0.0  # largest drift of the monotonic clocks, either way
    most_processes: int = 100
    voters: int = 0  # the first so many processes vote on agreed documents; 0: no agreement
    changes_per_s: float = 1.0  # by operators, if there are voters
    in_force_ms: float = 2000.0
    replicas: bool = False  # tables are replicated to two others; calls last long, callers release them


@dataclass(frozen=True, slots=True)
class ScheduledAction:
    """An action of a schedule: `who` are names of processes, `ways` are paths (sender, receiver)."""

    at_s: float
    do: str
    who: tuple[str, ...] = ()
    ways: tuple[tuple[str, str], ...] = ()
    figures: dict[str, float] = field(default_factory=dict)


def load(path: str | Path) -> Scenario:
    """Load a scenario from a file, or a bundled one by name. Raises ScenarioError."""
    file = Path(path)
    if not file.exists() and (SCENARIO_DIR / f"{path}.toml").exists():
        file = SCENARIO_DIR / f"{path}.toml"
    try:
        scenario = msgspec.convert(tomllib.loads(file.read_text(encoding="utf-8")), Scenario)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    if not 2 <= scenario.processes <= scenario.most_processes:
        raise ScenarioError(f"{path}: processes must lie between 2 and {scenario.most_processes}")
    if not 0 <= scenario.voters <= scenario.processes:
        raise ScenarioError(f"{path}: voters must lie between 0 and {scenario.processes}")
    if not 0 <= scenario.former <= scenario.processes:
        raise ScenarioError(f"{path}: former must lie between 0 and {scenario.processes}")
    if not 0 <= scenario.drift_ppm <= MAX_DRIFT_PPM:
        raise ScenarioError(f"{path}: drift_ppm must lie between 0 and {MAX_DRIFT_PPM:.0f}")
    for i, fault in enumerate(scenario.fault):
        if fault.kind not in KINDS:
            raise ScenarioError(f"{path}: fault.{i}.kind is none of {', '.join(KINDS)}")
        if fault.parts not in PARTITIONS:
            raise ScenarioError(f"{path}: fault.{i}.parts is none of {', '.join(PARTITIONS)}")
        if not 0 < fault.count <= scenario.processes:
            raise ScenarioError(f"{path}: fault.{i}.count must lie between 1 and {scenario.processes}")
        if fault.at_s < 0 or fault.for_s < 0 or fault.times < 1 or fault.every_s < 0:
            raise ScenarioError(f"{path}: fault.{i} has a negative time, or times below 1")
    return scenario


PROCESS_FAULT_ACTIONS = {"stall": ("stop", "go on"), "service": ("out of service", "in service")}


def names(processes: int) -> tuple[str, ...]:
    """The names of the processes of a run."""
    return tuple(f"n{i:02d}" for i in range(processes))


def scaled(scenario: Scenario, processes: int) -> Scenario:
    """The scenario with another number of processes; counts are scaled in proportion."""
    scale = processes / scenario.processes
    faults = [
        msgspec.structs.replace(fault, count=max(1, round(fault.count * scale))) for fault in scenario.fault
    ]
    former = round(scenario.former * scale)
    return msgspec.structs.replace(scenario, processes=processes, fault=faults, former=former)


def previous_version_names(scenario: Scenario) -> tuple[str, ...]:
    """The names of the processes that speak the previous wire version: the last ones."""
    all_names = names(scenario.processes)
    return all_names[len(all_names) - scenario.former :]


def draw_drifts(scenario: Scenario, seed: int) -> dict[str, float]:
    """The drift of each process's monotonic clock, in parts per million."""
    rng, max_ppm = Random(f"drift {seed}"), scenario.drift_ppm
    return {name: rng.uniform(-max_ppm, max_ppm) for name in names(scenario.processes)}


def partition_paths(rng: Random, all_names: tuple[str, ...], parts: str) -> tuple[tuple[str, str], ...]:
    """The paths that a partition blocks, in both directions."""
    shuffled = list(all_names)
    rng.shuffle(shuffled)
    half = len(shuffled) // 2
    if parts == "ring":
        neighbours = {
            (name, shuffled[(i + step) % len(shuffled)])
            for i, name in enumerate(shuffled)
            for step in (-1, 0, 1)
        }
        return tuple((a, b) for a in shuffled for b in shuffled if a != b and (a, b) not in neighbours)
    if parts == "bridge":
        sides, bridge = [shuffled[:half], shuffled[half + 1 :]], shuffled[half]
        group_of = {name: i for i, side in enumerate(sides) for name in side} | {bridge: -1}
    else:
        sizes = {"halves": [half], "minority": [max(1, len(shuffled) // 4)], "one": [1]}
        cuts = sizes.get(parts, [len(shuffled) // 3, 2 * len(shuffled) // 3])
        group_of = {name: sum(i >= cut for cut in cuts) for i, name in enumerate(shuffled)}
    return tuple(
        (a, b)
        for a in shuffled
        for b in shuffled
        if a != b and group_of[a] != group_of[b] and -1 not in (group_of[a], group_of[b])
    )


def draw_schedule(scenario: Scenario, seed: int) -> list[ScheduledAction]:
    """The actions drawn from a seed, in order of time."""
    rng, all_names = Random(seed), names(scenario.processes)
    acts: list[ScheduledAction] = []
    for fault in scenario.fault:
        for i in range(fault.times):
            acts += _draw_acts(rng, all_names, fault, fault.at_s + i * fault.every_s)
    return sorted(acts, key=lambda act: act.at_s)


def _draw_acts(rng: Random, all_names: tuple[str, ...], fault: Fault, at_s: float) -> list[ScheduledAction]:
    end_s = at_s + fault.for_s
    if fault.kind in ("partition", *PATH_FAULTS):
        if fault.kind == "partition":
            paths = partition_paths(rng, all_names, fault.parts)
        elif fault.kind == "oneway":
            paths = tuple(tuple(rng.sample(all_names, 2)) for _ in range(fault.count))
        else:
            affected = set(rng.sample(all_names, fault.count))
            paths = tuple(
                (a, b) for a in all_names for b in all_names if a != b and (a in affected or b in affected)
            )
        kind = "cut" if fault.kind in ("partition", "oneway") else fault.kind
        figures = {"share": fault.share, "ms": fault.ms}
        return [
            ScheduledAction(at_s, kind, (), paths, figures),
            ScheduledAction(end_s, f"end {kind}", (), paths),
        ]
    affected = tuple(rng.sample(all_names, fault.count))
    if fault.kind in PROCESS_FAULTS:
        begin, end = PROCESS_FAULT_ACTIONS.get(fault.kind, (fault.kind, f"end {fault.kind}"))
        ms = fault.ms * rng.choice((-1.0, 1.0)) if fault.kind == "clock" else fault.ms
        figures = {"ms": ms} if fault.ms else {}
        return [ScheduledAction(at_s, begin, affected, (), figures), ScheduledAction(end_s, end, affected)]
    if fault.kind == "upgrade":
        return [
            ScheduledAction(at_s, "start beside", affected),
            ScheduledAction(at_s + max(fault.for_s, 1.0), "end the older", affected),
        ]
    acts = [ScheduledAction(at_s, "kill" if fault.kind == "kill" else "end", affected)]
    if fault.back_s >= 0:
        acts.append(ScheduledAction(at_s + fault.back_s, "start", affected))
    return acts


def minimized(
    acts: list[ScheduledAction], breaks: Callable[[list[ScheduledAction]], bool]
) -> list[ScheduledAction]:
    """Minimize a failing schedule: remove actions in halves, quarters and so on, down to single ones.

    An action that ends a fault is removed together with the one that began it. Returns an equal schedule if nothing
    can be removed.
    """
    groups = _group_with_ends(acts)
    size = len(groups)
    while size > 1:
        size = (size + 1) // 2
        start = 0
        while start < len(groups):
            rest = groups[:start] + groups[start + size :]
            if rest and breaks(_flatten(rest)):
                groups = rest
            else:
                start += size
    return _flatten(groups)


def _group_with_ends(acts: list[ScheduledAction]) -> list[list[ScheduledAction]]:
    """Group each action that begins a fault with the one that ends it."""
    ends = {"kill": "start", "end": "start", "start beside": "end the older"} | dict(
        PROCESS_FAULT_ACTIONS.values()
    )
    groups: list[list[ScheduledAction]] = []
    unfinished: list[tuple[str, ScheduledAction, list[ScheduledAction]]] = []
    for act in acts:
        match = next(
            (
                candidate
                for candidate in unfinished
                if candidate[0] == act.do and (candidate[1].who, candidate[1].ways) == (act.who, act.ways)
            ),
            None,
        )
        if match is not None:
            unfinished.remove(match)
            match[2].append(act)
            continue
        group = [act]
        groups.append(group)
        unfinished.append((ends.get(act.do, f"end {act.do}"), act, group))
    return groups


def _flatten(groups: list[list[ScheduledAction]]) -> list[ScheduledAction]:
    return sorted((act for group in groups for act in group), key=lambda act: act.at_s)
