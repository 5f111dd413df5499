"""The optimization problem of planned shares, read from TOML and validated; each error names the key at fault.

shed = true                # calls beyond capacity may be shed, at the least loss of worth; default: false
survive_one = true         # the calls must still fit after the loss of any one server; default: false

[[class]]
name = "officer-call"
worth = 3.0

[[server]]
name = "s-1"
capacity = 40.0            # set-ups a second
highest_use = 0.85         # part of the capacity that the plan may use; default: 1
zone = "seoul"
running = true             # default; a server that is not running gets no calls
least = 0.1                # bounds on its part of all calls; default: 0 and 1
greatest = 0.6

[[district]]
name = "mapo"
zone = "seoul"
servers = ["s-1", "s-2"]   # allowed servers; default: all
demand = { officer-call = 2.0, resident-call = 7.5 }  # calls a second
cost = { s-2 = 12.0 }      # of a call; default: the delay between the zones
least = { s-1 = 0.2 }      # bounds on a server's part of the district's calls; default: 0 and 1
greatest = { s-2 = 0.5 }

[delay]                    # one-way ms from a zone to others; 0 within a zone
seoul = { busan = 24.0 }
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from leadslip.errors import OperatorError

MAX_RATE = 100_000.0
PROBLEM_KEYS = ("shed", "survive_one", "class", "server", "district", "delay")


class ProblemError(OperatorError):
    """A share-planning problem is invalid; the error message names the key."""

    code, status = "shares.problem", 400
    action = "Correct the key named in the problem file and try again."


@dataclass(frozen=True, slots=True)
class Class:
    """A class of calls, and the worth of serving one call of it."""

    name: str
    worth: float


@dataclass(frozen=True, slots=True)
class Server:
    """A setup server: its capacity, zone and bounds on its share."""

    name: str
    capacity: float  # set-ups a second
    max_utilization: float  # part of the capacity that the plan may use (key highest_use)
    zone: str
    running: bool
    min_share: float  # minimum part of all calls (key least)
    max_share: float  # maximum part of all calls (key greatest)

    @property
    def limit(self) -> float:
        """The set-ups per second that the plan may send to the server at most."""
        return self.capacity * self.max_utilization if self.running else 0.0


@dataclass(frozen=True, slots=True)
class District:
    """A district: an origin of calls, its demand and the servers it may use."""

    name: str
    zone: str
    demand: Mapping[str, float]  # class -> calls a second
    servers: tuple[str, ...]  # servers its calls may go to
    cost: Mapping[str, float]  # server -> cost of a call
    # server -> minimum and maximum part of the district's calls (keys least and greatest)
    min_shares: Mapping[str, float] = field(default_factory=dict)
    max_shares: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Problem:
    """The complete input of a plan."""

    classes: tuple[Class, ...]
    servers: tuple[Server, ...]
    districts: tuple[District, ...]
    shed: bool  # whether calls beyond capacity may be shed
    survive_one: bool  # whether the calls must still fit after the loss of any one server


def bounded_number(
    table: Mapping, key: str, prefix: str, minimum: float, maximum: float, default: float | None = None
) -> float:
    """Returns a number of the table, checked against its bounds; the key is required if there is no default."""
    value = table.get(key, default)
    if value is None:
        raise ProblemError(f"{prefix}{key} is missing")
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise ProblemError(f"{prefix}{key} must lie between {minimum:g} and {maximum:g}: {value!r}")
    return float(value)


def _boolean(table: Mapping, key: str, prefix: str, default: bool) -> bool:
    value = table.get(key, default)
    if not isinstance(value, bool):
        raise ProblemError(f"{prefix}{key} must be true or false: {value!r}")
    return value


def _tables(document: Mapping, key: str, allowed: tuple[str, ...]) -> list[Mapping]:
    """Returns the tables of an array of tables, with unique names and no other keys than those allowed."""
    tables = document.get(key)
    if not isinstance(tables, list) or not tables:
        raise ProblemError(f"{key} is missing: a problem needs at least one [[{key}]] table")
    names = set()
    for i, table in enumerate(tables):
        if not isinstance(table, Mapping):
            raise ProblemError(f"{key}.{i} must be a table: {table!r}")
        for table_key in table:
            if table_key not in allowed:
                raise ProblemError(f"{key}.{i}.{table_key} is unknown; known keys are {', '.join(allowed)}")
        name = table.get("name")
        if not isinstance(name, str) or not name:
            raise ProblemError(f"{key}.{i}.name is missing or is not a non-empty string: {name!r}")
        if name in names:
            raise ProblemError(f"{key}.{i}.name is used twice: {name!r}")
        names.add(name)
    return tables


def _numbers(
    parent: Mapping, key: str, prefix: str, known_names: set[str], maximum: float
) -> dict[str, float]:
    """Returns a table of numbers from 0 to the maximum, keyed by known names (of servers, classes or zones)."""
    table = parent.get(key, {})
    if not isinstance(table, Mapping):
        raise ProblemError(f"{prefix}{key} must be a table of numbers: {table!r}")
    for name in table:
        if name not in known_names:
            raise ProblemError(
                f"{prefix}{key}.{name} is unknown; known here: {', '.join(sorted(known_names))}"
            )
    return {name: bounded_number(table, name, f"{prefix}{key}.", 0.0, maximum) for name in table}


def read(document: Mapping) -> Problem:
    """Returns the validated problem."""
    for key in document:
        if key not in PROBLEM_KEYS:
            raise ProblemError(f"{key} is unknown; known keys are {', '.join(PROBLEM_KEYS)}")
    classes = tuple(
        Class(table["name"], bounded_number(table, "worth", f"class.{i}.", 1e-6, 1e6))
        for i, table in enumerate(_tables(document, "class", ("name", "worth")))
    )
    keys = ("name", "capacity", "highest_use", "zone", "running", "least", "greatest")
    servers = tuple(
        _server(table, f"server.{i}.") for i, table in enumerate(_tables(document, "server", keys))
    )
    zones = {server.zone for server in servers}
    keys = ("name", "zone", "servers", "demand", "cost", "least", "greatest")
    district_tables = _tables(document, "district", keys)
    zones |= {str(table.get("zone", "")) for table in district_tables}
    delays = _delays(document.get("delay", {}), zones)
    class_names = {call_class.name for call_class in classes}
    districts = tuple(
        _district(table, f"district.{i}.", servers, class_names, delays)
        for i, table in enumerate(district_tables)
    )
    if sum(server.min_share for server in servers) > 1.0:
        raise ProblemError("server.least: the minimum shares of all servers must add up to at most 1")
    return Problem(
        classes,
        servers,
        districts,
        _boolean(document, "shed", "", False),
        _boolean(document, "survive_one", "", False),
    )


def _server(table: Mapping, prefix: str) -> Server:
    min_share = bounded_number(table, "least", prefix, 0.0, 1.0, 0.0)
    return Server(
        table["name"],
        bounded_number(table, "capacity", prefix, 0.0, MAX_RATE),
        bounded_number(table, "highest_use", prefix, 0.01, 1.0, 1.0),
        str(table.get("zone", "")),
        _boolean(table, "running", prefix, True),
        min_share,
        bounded_number(table, "greatest", prefix, min_share, 1.0, 1.0),
    )


def _delays(table: object, zones: set[str]) -> dict[tuple[str, str], float]:
    """Returns the one-way delays between zones in ms; one given for only one direction holds for both."""
    if not isinstance(table, Mapping):
        raise ProblemError("delay must be a table of tables, by zone")
    delays: dict[tuple[str, str], float] = {}
    for zone in table:
        if zone not in zones:
            raise ProblemError(f"delay.{zone} is unknown: no server or district is in this zone")
        for other, delay in _numbers(table, zone, "delay.", zones, 1e6).items():
            if delays.setdefault((other, zone), delay) != delay:
                raise ProblemError(
                    f"delay.{zone}.{other} differs from delay.{other}.{zone}: {delay:g}, not {delays[other, zone]:g}"
                )
            delays[zone, other] = delay
    return delays


def _district(
    table: Mapping,
    prefix: str,
    servers: tuple[Server, ...],
    class_names: set[str],
    delays: Mapping[tuple[str, str], float],
) -> District:
    zone, server_names = str(table.get("zone", "")), {server.name for server in servers}
    allowed = table.get("servers", [server.name for server in servers])
    if not isinstance(allowed, list) or not allowed:
        raise ProblemError(f"{prefix}servers must be a list of at least one server: {allowed!r}")
    for name in allowed:
        if name not in server_names:
            raise ProblemError(f"{prefix}servers names no server of the problem: {name!r}")
    if len(set(allowed)) < len(allowed):
        raise ProblemError(f"{prefix}servers names a server more than once: {allowed!r}")
    if "demand" not in table:
        raise ProblemError(f"{prefix}demand is missing")
    given_costs = _numbers(table, "cost", prefix, set(allowed), 1e9)
    cost = {}
    for server in servers:
        if server.name not in allowed:
            continue
        cost[server.name] = given_costs.get(
            server.name, 0.0 if server.zone == zone else delays.get((zone, server.zone))
        )
        if cost[server.name] is None:
            raise ProblemError(
                f"{prefix}cost.{server.name} is missing, and there is no delay from {zone!r} to {server.zone!r}"
            )
    min_shares = _numbers(table, "least", prefix, set(allowed), 1.0)
    max_shares = _numbers(table, "greatest", prefix, set(allowed), 1.0)
    for name, share in min_shares.items():
        if share > max_shares.get(name, 1.0):
            raise ProblemError(
                f"{prefix}least.{name} is above greatest.{name}: {share:g}, {max_shares[name]:g}"
            )
    if sum(min_shares.values()) > 1.0:
        raise ProblemError(f"{prefix}least: the minimum shares must add up to at most 1")
    demand = _numbers(table, "demand", prefix, class_names, MAX_RATE)
    return District(table["name"], zone, demand, tuple(allowed), cost, min_shares, max_shares)
