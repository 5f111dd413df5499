"""Scenarios: how many processes, which faults when; and the schedule that a seed draws from one. No I/O.

A scenario is a TOML file:

    title = "Halves that heal"
    provokes = "a partition into halves, and its healing"
    processes = 12
    calls_per_s = 20.0        # by all callers together
    settle_s = 10.0           # one view again in so long after the last fault
    [[fault]]
    kind = "partition"        # see KINDS
    at_s = 1.0                # after all know one another
    for_s = 6.0
    parts = "halves"

A schedule is a list of acts with the processes drawn, in order of time: what the drill runs, and keeps beside the
histories, so that it can be run again and made smaller.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec

from leadslip.errors import OperatorError

PARTS = ("halves", "minority", "one", "three", "bridge", "ring")
LINKS = ("loss", "late", "twice", "disorder", "spoil", "oneway", "hole", "mute")
HOSTS = ("stall", "busy", "clock", "descriptors", "service")  # what begins at a process and ends there
KINDS = ("partition", *LINKS, *HOSTS, "kill", "leave", "upgrade")
MOST_DRIFT_PPM = 10_000.0
HERE = Path(__file__).parent / "scenarios"


class ScenarioError(OperatorError):
    """A scenario of a drill makes no sense; the text names its key."""

    code, status = "drill.scenario", 400
    action = "Correct the key named; `leadslip drill list` shows those that come with the program."


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One kind of trouble: `count` processes (or ways between them) are drawn; `times` in all, `every_s` apart."""

    kind: str
    at_s: float
    for_s: float = 0.0
    parts: str = "halves"
    count: int = 1
    share: float = 0.0  # of datagrams, for loss, twice and spoil
    ms: float = (
        0.0  # later by so much, or up to so much; a hop of a busy process; a jump of a clock, either way
    )
    back_s: float = -1.0  # a killed process starts anew after so long; below 0: never
    times: int = 1
    every_s: float = 2.0


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What to start, and what breaks."""

    title: str
    provokes: str
    processes: int
    fault: list[Fault]
    calls_per_s: float = 20.0
    settle_s: float = 10.0
    former: int = 0  # so many processes speak the wire version before this one
    drift_ppm: float = 0.0  # monotonic clocks run so much too fast or too slow, at the most
    most_processes: int = 100
    voters: int = 0  # so many of the first processes vote on agreed documents; 0: nothing is agreed on
    changes_per_s: float = 1.0  # by operators, where there are voters
    in_force_ms: float = 2000.0
    replicas: bool = (
        False  # what a process knows is held by two others; calls stand for long and are released by callers
    )


@dataclass(frozen=True, slots=True)
class Act:
    """One thing done at a time: `who` are names of processes, `ways` pairs of a sender and a hearer."""

    at_s: float
    do: str
    who: tuple[str, ...] = ()
    ways: tuple[tuple[str, str], ...] = ()
    figures: dict[str, float] = field(default_factory=dict)


def load(path: str | Path) -> Scenario:
    """A scenario from a file, or by the name of one that comes with the drill. Raises ScenarioError."""
    place = Path(path)
    if not place.exists() and (HERE / f"{path}.toml").exists():
        place = HERE / f"{path}.toml"
    try:
        told = msgspec.convert(tomllib.loads(place.read_text(encoding="utf-8")), Scenario)
    except (OSError, ValueError, msgspec.ValidationError) as fault:
        raise ScenarioError(f"{path}: {fault}") from fault
    if not 2 <= told.processes <= told.most_processes:
        raise ScenarioError(f"{path}: processes must lie between 2 and {told.most_processes}")
    if not 0 <= told.voters <= told.processes:
        raise ScenarioError(f"{path}: voters must lie between 0 and {told.processes}")
    if not 0 <= told.former <= told.processes:
        raise ScenarioError(f"{path}: former must lie between 0 and {told.processes}")
    if not 0 <= told.drift_ppm <= MOST_DRIFT_PPM:
        raise ScenarioError(f"{path}: drift_ppm must lie between 0 and {MOST_DRIFT_PPM:.0f}")
    for i, one in enumerate(told.fault):
        if one.kind not in KINDS:
            raise ScenarioError(f"{path}: fault.{i}.kind is none of {', '.join(KINDS)}")
        if one.parts not in PARTS:
            raise ScenarioError(f"{path}: fault.{i}.parts is none of {', '.join(PARTS)}")
        if not 0 < one.count <= told.processes:
            raise ScenarioError(f"{path}: fault.{i}.count must lie between 1 and {told.processes}")
        if one.at_s < 0 or one.for_s < 0 or one.times < 1 or one.every_s < 0:
            raise ScenarioError(f"{path}: fault.{i} has a time below 0")
    return told


ENDS_OF = {"stall": ("stop", "go on"), "service": ("out of service", "in service")}


def names(processes: int) -> tuple[str, ...]:
    return tuple(f"n{i:02d}" for i in range(processes))


def scaled(scenario: Scenario, processes: int) -> Scenario:
    """The same with so many processes: counts grow in proportion."""
    scale = processes / scenario.processes
    fault = [msgspec.structs.replace(one, count=max(1, round(one.count * scale))) for one in scenario.fault]
    former = round(scenario.former * scale)
    return msgspec.structs.replace(scenario, processes=processes, fault=fault, former=former)


def formers(scenario: Scenario) -> tuple[str, ...]:
    """Those that speak the wire version before this one: the last ones."""
    all_ = names(scenario.processes)
    return all_[len(all_) - scenario.former :]


def drifts(scenario: Scenario, seed: int) -> dict[str, float]:
    """How much too fast each one's monotonic clock runs, in parts of a million."""
    draw, most = Random(f"drift {seed}"), scenario.drift_ppm
    return {name: draw.uniform(-most, most) for name in names(scenario.processes)}


def cut_ways(draw: Random, all_: tuple[str, ...], parts: str) -> tuple[tuple[str, str], ...]:
    """The ways that a partition cuts, in both directions."""
    mixed = list(all_)
    draw.shuffle(mixed)
    half = len(mixed) // 2
    if parts == "ring":
        near = {(one, mixed[(i + step) % len(mixed)]) for i, one in enumerate(mixed) for step in (-1, 0, 1)}
        return tuple((a, b) for a in mixed for b in mixed if a != b and (a, b) not in near)
    if parts == "bridge":
        sides, bridge = [mixed[:half], mixed[half + 1 :]], mixed[half]
        group = {one: i for i, side in enumerate(sides) for one in side} | {bridge: -1}
    else:
        sizes = {"halves": [half], "minority": [max(1, len(mixed) // 4)], "one": [1]}
        cuts = sizes.get(parts, [len(mixed) // 3, 2 * len(mixed) // 3])
        group = {one: sum(i >= cut for cut in cuts) for i, one in enumerate(mixed)}
    return tuple(
        (a, b)
        for a in mixed
        for b in mixed
        if a != b and group[a] != group[b] and -1 not in (group[a], group[b])
    )


def draw_schedule(scenario: Scenario, seed: int) -> list[Act]:
    """The acts that a seed draws, in order of time."""
    draw, all_ = Random(seed), names(scenario.processes)
    acts: list[Act] = []
    for one in scenario.fault:
        for i in range(one.times):
            acts += _acts(draw, all_, one, one.at_s + i * one.every_s)
    return sorted(acts, key=lambda act: act.at_s)


def _acts(draw: Random, all_: tuple[str, ...], fault: Fault, at_s: float) -> list[Act]:
    end_s = at_s + fault.for_s
    if fault.kind in ("partition", *LINKS):
        if fault.kind == "partition":
            ways = cut_ways(draw, all_, fault.parts)
        elif fault.kind == "oneway":
            ways = tuple(tuple(draw.sample(all_, 2)) for _ in range(fault.count))
        else:
            hit = set(draw.sample(all_, fault.count))
            ways = tuple((a, b) for a in all_ for b in all_ if a != b and (a in hit or b in hit))
        kind = "cut" if fault.kind in ("partition", "oneway") else fault.kind
        figures = {"share": fault.share, "ms": fault.ms}
        return [Act(at_s, kind, (), ways, figures), Act(end_s, f"end {kind}", (), ways)]
    hit = tuple(draw.sample(all_, fault.count))
    if fault.kind in HOSTS:
        begin, end = ENDS_OF.get(fault.kind, (fault.kind, f"end {fault.kind}"))
        ms = fault.ms * draw.choice((-1.0, 1.0)) if fault.kind == "clock" else fault.ms
        figures = {"ms": ms} if fault.ms else {}
        return [Act(at_s, begin, hit, (), figures), Act(end_s, end, hit)]
    if fault.kind == "upgrade":
        return [Act(at_s, "start beside", hit), Act(at_s + max(fault.for_s, 1.0), "end the older", hit)]
    acts = [Act(at_s, "kill" if fault.kind == "kill" else "end", hit)]
    if fault.back_s >= 0:
        acts.append(Act(at_s + fault.back_s, "start", hit))
    return acts


def shrunk(acts: list[Act], breaks: Callable[[list[Act]], bool]) -> list[Act]:
    """The least schedule that still breaks: acts are taken away in halves, quarters and so on down to single ones.

    What ends a trouble goes with what began it. Returns `acts` as they are if nothing can be taken away.
    """
    groups = _pairs(acts)
    size = len(groups)
    while size > 1:
        size = (size + 1) // 2
        at = 0
        while at < len(groups):
            rest = groups[:at] + groups[at + size :]
            if rest and breaks(_flat(rest)):
                groups = rest
            else:
                at += size
    return _flat(groups)


def _pairs(acts: list[Act]) -> list[list[Act]]:
    """Each trouble with its end."""
    ends = {"kill": "start", "end": "start", "start beside": "end the older"} | dict(ENDS_OF.values())
    groups: list[list[Act]] = []
    open_: list[tuple[str, Act, list[Act]]] = []
    for act in acts:
        found = next(
            (one for one in open_ if one[0] == act.do and (one[1].who, one[1].ways) == (act.who, act.ways)),
            None,
        )
        if found is not None:
            open_.remove(found)
            found[2].append(act)
            continue
        group = [act]
        groups.append(group)
        open_.append((ends.get(act.do, f"end {act.do}"), act, group))
    return groups


def _flat(groups: list[list[Act]]) -> list[Act]:
    return sorted((act for group in groups for act in group), key=lambda act: act.at_s)
