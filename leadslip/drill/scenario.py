"""Fault-injection scenarios: number of processes, faults and their times; and the schedule drawn from a seed.

A scenario is a TOML file:

    title = "Halves that heal"
    provokes = "a partition into halves, and its healing"
    processes = 12
    calls_per_s = 20.0        # of all callers together
    settle_s = 10.0           # most time for the views to converge after the last fault
    [[fault]]
    kind = "partition"        # see KINDS
    at_s = 1.0                # after the fleet has formed
    for_s = 6.0
    parts = "halves"

A schedule is a list of actions in order of time, with the processes or paths that the seed selected for each. A run
stores it beside the histories, so that it can be repeated and minimized.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec

from leadslip.errors import OperatorError

# Partitions: into halves; a quarter from the others; one process from the others; into thirds; into halves that one
# process still connects; into a ring, in which each process reaches its two neighbours only.
PARTITIONS = ("halves", "minority", "one", "three", "bridge", "ring")
# Path faults are described in link_faults.py, except oneway: one direction of a random path is cut.
PATH_FAULTS = ("loss", "late", "twice", "disorder", "spoil", "oneway", "hole", "mute")
# Process faults with a begin and an end: stopped; stopped again and again; Unix clock set to an offset; out of file
# descriptors; taken out of service.
PROCESS_FAULTS = ("stall", "busy", "clock", "descriptors", "service")
# Besides these: kill (SIGKILL), leave (SIGTERM), upgrade (a second process is started, and the older one ended for_s
# later, but at least 1 s).
KINDS = ("partition", *PATH_FAULTS, *PROCESS_FAULTS, "kill", "leave", "upgrade")
MAX_DRIFT_PPM = 10_000.0
SCENARIO_DIR = Path(__file__).parent / "scenarios"


class ScenarioError(OperatorError):
    """A fault-injection scenario cannot be read, or is invalid: the error message names the file and the key."""

    code, status = "drill.scenario", 400
    action = "Correct the key named; `leadslip drill list` lists the scenarios included with the program."


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A fault of `count` random processes, or of the paths between them and all others.

    It occurs `times` times, every `every_s` seconds from `at_s` on, and lasts for `for_s` seconds. The processes are
    drawn anew each time.
    """

    kind: str
    at_s: float
    for_s: float = 0.0
    parts: str = "halves"  # one of PARTITIONS; partition only
    count: int = 1  # of processes, or of paths for oneway; a partition affects all
    share: float = 0.0  # fraction of the datagrams affected; loss, twice and spoil only
    # Delay (late), largest delay (disorder), length of each stop (busy), clock offset of either sign (clock).
    ms: float = 0.0
    back_s: float = -1.0  # time after which a process restarts (kill, leave); below 0: never
    times: int = 1
    every_s: float = 2.0


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A scenario: the processes to start, their load, and the faults.

    `provokes` is a description of what the faults provoke, for the list of scenarios.
    """

    title: str
    provokes: str
    processes: int
    fault: list[Fault]
    calls_per_s: float = 20.0
    settle_s: float = 10.0
    former: int = 0  # number of processes, the last ones, that speak the previous wire version
    drift_ppm: float = 0.0  # largest drift of the monotonic clocks, of either sign
    most_processes: int = 100
    voters: int = 0  # number of processes, the first ones, that vote on agreed settings; 0: no agreement
    changes_per_s: float = 1.0  # changes of the agreed settings, if there are voters
    in_force_ms: float = 2000.0  # how long agreed settings stay in force without confirmation by a leader
    # Replicate tables to two other processes; calls then last up to 120 s, and callers release half of them.
    replicas: bool = False


@dataclass(frozen=True, slots=True)
class ScheduledAction:
    """An action of a schedule, which begins or ends a fault.

    `who` are the names of the processes and `ways` the paths (sender, receiver) concerned, `figures` the parameters of
    the fault: `share` and `ms`.
    """

    at_s: float
    do: str
    who: tuple[str, ...] = ()
    ways: tuple[tuple[str, str], ...] = ()
    figures: dict[str, float] = field(default_factory=dict)


def load(path: str | Path) -> Scenario:
    """Load a scenario from a file, or one included with the program by its name. Raises ScenarioError."""
    file = Path(path)
    if not file.exists() and (SCENARIO_DIR / f"{path}.toml").exists():
        file = SCENARIO_DIR / f"{path}.toml"
    try:
        scenario = msgspec.convert(tomllib.loads(file.read_text(encoding="utf-8")), Scenario)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    if not 2 <= scenario.processes <= scenario.most_processes:
        raise ScenarioError(
            f"{path}: processes is {scenario.processes}, but must lie between 2 and {scenario.most_processes}"
        )
    if not 0 <= scenario.voters <= scenario.processes:
        raise ScenarioError(
            f"{path}: voters is {scenario.voters}, but must lie between 0 and {scenario.processes}"
        )
    if not 0 <= scenario.former <= scenario.processes:
        raise ScenarioError(
            f"{path}: former is {scenario.former}, but must lie between 0 and {scenario.processes}"
        )
    if not 0 <= scenario.drift_ppm <= MAX_DRIFT_PPM:
        raise ScenarioError(
            f"{path}: drift_ppm is {scenario.drift_ppm:g}, but must lie between 0 and {MAX_DRIFT_PPM:.0f}"
        )
    for i, fault in enumerate(scenario.fault):
        if fault.kind not in KINDS:
            raise ScenarioError(
                f"{path}: fault.{i}.kind is {fault.kind!r}, but must be one of {', '.join(KINDS)}"
            )
        if fault.parts not in PARTITIONS:
            raise ScenarioError(
                f"{path}: fault.{i}.parts is {fault.parts!r}, but must be one of {', '.join(PARTITIONS)}"
            )
        if not 0 < fault.count <= scenario.processes:
            raise ScenarioError(
                f"{path}: fault.{i}.count is {fault.count}, but must lie between 1 and {scenario.processes}"
            )
        if fault.at_s < 0 or fault.for_s < 0 or fault.times < 1 or fault.every_s < 0:
            raise ScenarioError(
                f"{path}: fault.{i}: at_s, for_s and every_s must be at least 0, and times at least 1"
            )
    return scenario


# Kind of process fault -> actions that begin and end it, where they are not the kind and "end" with the kind.
PROCESS_FAULT_ACTIONS = {"stall": ("stop", "go on"), "service": ("out of service", "in service")}


def process_names(processes: int) -> tuple[str, ...]:
    """The names of this many processes: n00, n01 and so on."""
    return tuple(f"n{i:02d}" for i in range(processes))


def scaled(scenario: Scenario, processes: int) -> Scenario:
    """The scenario with another number of processes; `count` of each fault and `former` are scaled in proportion."""
    scale = processes / scenario.processes
    faults = [
        msgspec.structs.replace(fault, count=max(1, round(fault.count * scale))) for fault in scenario.fault
    ]
    former = round(scenario.former * scale)
    return msgspec.structs.replace(scenario, processes=processes, fault=faults, former=former)


def previous_version_names(scenario: Scenario) -> tuple[str, ...]:
    """The names of the processes that speak the previous wire version: the last `former` ones."""
    all_names = process_names(scenario.processes)
    return all_names[len(all_names) - scenario.former :]


def draw_drifts(scenario: Scenario, seed: int) -> dict[str, float]:
    """Draw the drift of each process's monotonic clock, in parts per million."""
    rng, max_ppm = Random(f"drift {seed}"), scenario.drift_ppm
    return {name: rng.uniform(-max_ppm, max_ppm) for name in process_names(scenario.processes)}


def partition_paths(rng: Random, all_names: tuple[str, ...], parts: str) -> tuple[tuple[str, str], ...]:
    """Draw the paths that a partition of one of PARTITIONS blocks, each in both directions."""
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
        part_by_name = {name: i for i, side in enumerate(sides) for name in side} | {bridge: -1}
    else:
        sizes = {"halves": [half], "minority": [max(1, len(shuffled) // 4)], "one": [1]}
        cuts = sizes.get(parts, [len(shuffled) // 3, 2 * len(shuffled) // 3])
        part_by_name = {name: sum(i >= cut for cut in cuts) for i, name in enumerate(shuffled)}
    return tuple(
        (a, b)
        for a in shuffled
        for b in shuffled
        if a != b and part_by_name[a] != part_by_name[b] and -1 not in (part_by_name[a], part_by_name[b])
    )


def draw_schedule(scenario: Scenario, seed: int) -> list[ScheduledAction]:
    """Draw the actions of a scenario from a seed, in order of time."""
    rng, all_names = Random(seed), process_names(scenario.processes)
    actions: list[ScheduledAction] = []
    for fault in scenario.fault:
        for i in range(fault.times):
            actions += _draw_actions(rng, all_names, fault, fault.at_s + i * fault.every_s)
    return sorted(actions, key=lambda action: action.at_s)


def _draw_actions(
    rng: Random, all_names: tuple[str, ...], fault: Fault, at_s: float
) -> list[ScheduledAction]:
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
    actions = [ScheduledAction(at_s, "kill" if fault.kind == "kill" else "end", affected)]
    if fault.back_s >= 0:
        actions.append(ScheduledAction(at_s + fault.back_s, "start", affected))
    return actions


def minimize(
    actions: list[ScheduledAction], breaks: Callable[[list[ScheduledAction]], bool]
) -> list[ScheduledAction]:
    """Minimize a failing schedule: remove halves, quarters and so on of its faults, while it still fails.

    `breaks` runs a schedule and returns whether it still breaks an invariant. The actions that begin and end a fault
    are removed together. Returns an equal schedule if nothing can be removed.
    """
    groups = _group_with_ends(actions)
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


def _group_with_ends(actions: list[ScheduledAction]) -> list[list[ScheduledAction]]:
    """Group each action that begins a fault with the one that ends it."""
    end_action = {"kill": "start", "end": "start", "start beside": "end the older"} | dict(
        PROCESS_FAULT_ACTIONS.values()
    )
    groups: list[list[ScheduledAction]] = []
    groups_without_end: list[tuple[str, ScheduledAction, list[ScheduledAction]]] = []
    for action in actions:
        match = next(
            (
                candidate
                for candidate in groups_without_end
                if candidate[0] == action.do
                and (candidate[1].who, candidate[1].ways) == (action.who, action.ways)
            ),
            None,
        )
        if match is not None:
            groups_without_end.remove(match)
            match[2].append(action)
            continue
        group = [action]
        groups.append(group)
        groups_without_end.append((end_action.get(action.do, f"end {action.do}"), action, group))
    return groups


def _flatten(groups: list[list[ScheduledAction]]) -> list[ScheduledAction]:
    return sorted((action for group in groups for action in group), key=lambda action: action.at_s)
