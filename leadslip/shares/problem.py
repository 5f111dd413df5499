"""The problem that a plan of shares solves, read from TOML and checked whole; every error names its key.

shed = true                # what does not fit may be shed, the class of least worth first
survive_one = true         # the plan still fits after the loss of any one server

[[class]]
name = "officer-call"
worth = 3.0

[[server]]
name = "s-1"
capacity = 40.0            # set-ups a second
highest_use = 0.85
zone = "seoul"

[[district]]
name = "mapo"
zone = "seoul"
servers = ["s-1", "s-2"]   # allowed; all where it is left out
demand = { officer-call = 2.0, resident-call = 7.5 }  # calls a second
cost = { s-2 = 12.0 }      # else the delay between the zones

[delay]                    # ms one way, from a zone to others; nought within one
seoul = { busan = 24.0 }
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from leadslip.errors import OperatorError

MOST = 100_000.0
KEYS = ("shed", "survive_one", "class", "server", "district", "delay")


class ProblemError(OperatorError):
    """A problem of planned shares makes no sense; the text names the key."""

    code, status = "shares.problem", 400
    action = "Correct the key named in the problem's file and ask again."


@dataclass(frozen=True, slots=True)
class Class:
    """A class of calls."""

    name: str
    worth: float


@dataclass(frozen=True, slots=True)
class Server:
    """A setup server as the plan sees it."""

    name: str
    capacity: float  # set-ups a second
    highest_use: float  # of the capacity
    zone: str
    running: bool
    least: float  # part of all calls
    greatest: float

    @property
    def limit(self) -> float:
        """Set-ups a second that the plan may send it."""
        return self.capacity * self.highest_use if self.running else 0.0


@dataclass(frozen=True, slots=True)
class District:
    """Where calls come from."""

    name: str
    zone: str
    demand: Mapping[str, float]  # class -> calls a second
    servers: tuple[str, ...]  # allowed
    cost: Mapping[str, float]  # server -> cost of a call
    least: Mapping[str, float] = field(default_factory=dict)  # server -> part of the district's calls
    greatest: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Problem:
    """All that a plan is made of."""

    classes: tuple[Class, ...]
    servers: tuple[Server, ...]
    districts: tuple[District, ...]
    shed: bool
    survive_one: bool


def figure(
    told: Mapping, key: str, at: str, least: float, most: float, default: float | None = None
) -> float:
    """A number within its bounds; without a default it must be there."""
    value = told.get(key, default)
    if value is None:
        raise ProblemError(f"{at}{key} is missing")
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise ProblemError(f"{at}{key} must lie between {least:g} and {most:g}: {value!r}")
    return float(value)


def _flag(told: Mapping, key: str, at: str, default: bool) -> bool:
    value = told.get(key, default)
    if not isinstance(value, bool):
        raise ProblemError(f"{at}{key} is neither true nor false: {value!r}")
    return value


def _tables(told: Mapping, key: str, allowed: tuple[str, ...]) -> list[Mapping]:
    listed = told.get(key)
    if not isinstance(listed, list) or not listed:
        raise ProblemError(f"{key} is missing")
    names = set()
    for i, one in enumerate(listed):
        if not isinstance(one, Mapping):
            raise ProblemError(f"{key}.{i} is no table")
        for inner in one:
            if inner not in allowed:
                raise ProblemError(f"{key}.{i}.{inner} is unknown")
        name = one.get("name")
        if not isinstance(name, str) or not name:
            raise ProblemError(f"{key}.{i}.name is missing")
        if name in names:
            raise ProblemError(f"{key}.{i}.name is used twice: {name!r}")
        names.add(name)
    return listed


def _figures(told: Mapping, key: str, at: str, known: set[str], most: float) -> dict[str, float]:
    """A table of numbers, each under a name that must be known."""
    table = told.get(key, {})
    if not isinstance(table, Mapping):
        raise ProblemError(f"{at}{key} is no table")
    for name in table:
        if name not in known:
            raise ProblemError(f"{at}{key}.{name} is unknown")
    return {name: figure(table, name, f"{at}{key}.", 0.0, most) for name in table}


def read(told: Mapping) -> Problem:
    """The checked problem."""
    for key in told:
        if key not in KEYS:
            raise ProblemError(f"{key} is unknown")
    classes = tuple(
        Class(one["name"], figure(one, "worth", f"class.{i}.", 1e-6, 1e6))
        for i, one in enumerate(_tables(told, "class", ("name", "worth")))
    )
    keys = ("name", "capacity", "highest_use", "zone", "running", "least", "greatest")
    servers = tuple(_server(one, f"server.{i}.") for i, one in enumerate(_tables(told, "server", keys)))
    zones = {server.zone for server in servers}
    keys = ("name", "zone", "servers", "demand", "cost", "least", "greatest")
    listed = _tables(told, "district", keys)
    zones |= {str(one.get("zone", "")) for one in listed}
    delays = _delays(told.get("delay", {}), zones)
    kinds = {kind.name for kind in classes}
    districts = tuple(
        _district(one, f"district.{i}.", servers, kinds, delays) for i, one in enumerate(listed)
    )
    if sum(server.least for server in servers) > 1.0:
        raise ProblemError("server.least: the least shares of all servers are above 1 together")
    return Problem(
        classes, servers, districts, _flag(told, "shed", "", False), _flag(told, "survive_one", "", False)
    )


def _server(told: Mapping, at: str) -> Server:
    least = figure(told, "least", at, 0.0, 1.0, 0.0)
    return Server(
        told["name"],
        figure(told, "capacity", at, 0.0, MOST),
        figure(told, "highest_use", at, 0.01, 1.0, 1.0),
        str(told.get("zone", "")),
        _flag(told, "running", at, True),
        least,
        figure(told, "greatest", at, least, 1.0, 1.0),
    )


def _delays(told: object, zones: set[str]) -> dict[tuple[str, str], float]:
    """Delays between zones, the same both ways."""
    if not isinstance(told, Mapping):
        raise ProblemError("delay is no table")
    found: dict[tuple[str, str], float] = {}
    for zone in told:
        if zone not in zones:
            raise ProblemError(f"delay.{zone} is unknown")
        for other, delay in _figures(told, zone, "delay.", zones, 1e6).items():
            if found.setdefault((other, zone), delay) != delay:
                raise ProblemError(f"delay.{zone}.{other} differs from delay.{other}.{zone}")
            found[zone, other] = delay
    return found


def _district(
    told: Mapping,
    at: str,
    servers: tuple[Server, ...],
    kinds: set[str],
    delays: Mapping[tuple[str, str], float],
) -> District:
    zone, names = str(told.get("zone", "")), {server.name for server in servers}
    allowed = told.get("servers", [server.name for server in servers])
    if not isinstance(allowed, list) or not allowed:
        raise ProblemError(f"{at}servers is no list of servers")
    for name in allowed:
        if name not in names:
            raise ProblemError(f"{at}servers names no server: {name!r}")
    if len(set(allowed)) < len(allowed):
        raise ProblemError(f"{at}servers names one twice")
    if "demand" not in told:
        raise ProblemError(f"{at}demand is missing")
    set_costs = _figures(told, "cost", at, set(allowed), 1e9)
    cost = {}
    for server in servers:
        if server.name not in allowed:
            continue
        cost[server.name] = set_costs.get(
            server.name, 0.0 if server.zone == zone else delays.get((zone, server.zone))
        )
        if cost[server.name] is None:
            raise ProblemError(
                f"{at}cost.{server.name} is missing, and so is the delay {zone!r} to {server.zone!r}"
            )
    least = _figures(told, "least", at, set(allowed), 1.0)
    greatest = _figures(told, "greatest", at, set(allowed), 1.0)
    for name, part in least.items():
        if part > greatest.get(name, 1.0):
            raise ProblemError(f"{at}least.{name} is above greatest.{name}")
    if sum(least.values()) > 1.0:
        raise ProblemError(f"{at}least: the least shares are above 1 together")
    demand = _figures(told, "demand", at, kinds, MOST)
    return District(told["name"], zone, demand, tuple(allowed), cost, least, greatest)
