"""What a pool policy says: its grammar, the typed rules, and a checker that judges the whole of it. No I/O.

    budget core-*: 400 connections, keep 5% free
    tenant city: weight 3, floor 20, ceiling 60%
    tenant river: weight 5, floor 40
    routers: by need, floor 2, ceiling 40
    when zone lost: tenant river weight 8

One rule a line; `#` begins a remark. Every fault bears line, column and what to change.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from fnmatch import fnmatchcase
from functools import cache

from lark import Lark, Token, Transformer, UnexpectedInput
from lark.exceptions import VisitError

from leadslip.errors import OperatorError
from leadslip.fleet.pools.split import Claim
from leadslip.fleet.pools.split import Tenant as Part

GRAMMAR = r"""
start: (rule? _NL)+
?rule: budget | tenant | routers | when
budget: "budget" GLOB ":" COUNT "connections" ("," "keep" PERCENT "free")?
tenant: "tenant" NAME ":" setting ("," setting)*
routers: "routers" ":" "by" "need" ("," setting)*
when: "when" CONDITION ":" "tenant" NAME setting ("," setting)*
setting: "weight" COUNT -> weight
       | "floor" COUNT -> floor
       | "ceiling" (COUNT | PERCENT) -> ceiling
CONDITION: "zone lost" | "server cold"
PERCENT: /[0-9]+%/
COUNT: /[0-9]+/
NAME: /[A-Za-z][A-Za-z0-9_-]*/
GLOB: /[A-Za-z0-9*?][A-Za-z0-9_.*?-]*/
_NL: /(#[^\n]*)?\n/
%ignore /[ \t]+/
"""
MOST_TEXT = 64 * 1024


class PolicyError(OperatorError):
    """A pool policy can't be agreed on; the text names line and column."""

    code, status = "pools.policy", 422
    action = "Change the line named as the text says, and propose the policy again."

    def __init__(self, line: int, column: int, what: str, change: str) -> None:
        super().__init__(f"line {line}, column {column}: {what}; {change}")
        self.line, self.column, self.what, self.change = line, column, what, change


@dataclass(frozen=True, slots=True)
class Setting:
    """One figure of a rule, and where it stands."""

    kind: str  # weight, floor or ceiling
    value: float  # a part of the budget where `part`
    part: bool
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Budget:
    """Connections that each server of these names takes, and the part of them that is kept free."""

    servers: str
    connections: int
    free: float
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Tenant:
    """What a tenant may have of a budget; `when`: only in that case."""

    name: str
    settings: tuple[Setting, ...]
    when: str
    line: int
    column: int

    def of(self, kind: str) -> Setting | None:
        return next((one for one in self.settings if one.kind == kind), None)


@dataclass(frozen=True, slots=True)
class Routers:
    """The bounds of each proxy's part in a tenant's."""

    settings: tuple[Setting, ...]
    line: int
    column: int


class _Rules(Transformer):
    """Lark's tree as rules."""

    def start(self, told: Sequence) -> list:
        return list(told)

    def budget(self, told: Sequence[Token]) -> Budget:
        glob, count, *free = told
        return Budget(str(glob), int(count), _part(free[0]) if free else 0.0, glob.line, glob.column)

    def tenant(self, told: Sequence) -> Tenant:
        return Tenant(str(told[0]), tuple(told[1:]), "", told[0].line, told[0].column)

    def when(self, told: Sequence) -> Tenant:
        condition, name, *settings = told
        return Tenant(str(name), tuple(settings), str(condition), condition.line, condition.column)

    def routers(self, told: Sequence[Setting]) -> Routers:
        first = told[0] if told else None
        return Routers(tuple(told), first.line if first else 0, first.column if first else 0)

    def weight(self, told: Sequence[Token]) -> Setting:
        return _setting("weight", told[0])

    def floor(self, told: Sequence[Token]) -> Setting:
        return _setting("floor", told[0])

    def ceiling(self, told: Sequence[Token]) -> Setting:
        return _setting("ceiling", told[0])


def _part(token: Token) -> float:
    return int(token[:-1]) / 100.0


def _setting(kind: str, token: Token) -> Setting:
    part = token.endswith("%")
    return Setting(kind, _part(token) if part else float(token), part, token.line, token.column)


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True)


@dataclass(frozen=True, slots=True)
class Policy:
    """A policy that has been judged."""

    budgets: tuple[Budget, ...]
    tenants: tuple[Tenant, ...]
    routers: Routers

    def budget(self, server: str) -> int:
        """Connections to a server that may be open; nought where no rule names it."""
        held = next((one for one in self.budgets if fnmatchcase(server, one.servers)), None)
        return 0 if held is None else int(held.connections * (1.0 - held.free) + 1e-9)

    def parts(self, server: str, holds: frozenset[str] = frozenset()) -> dict[str, Part]:
        """Each tenant's claim on a server's budget while these conditions hold, for `split`."""
        budget = self.budget(server)
        figures: dict[str, dict[str, Setting]] = {}
        for one in self.tenants:  # a later rule counts over an earlier one
            if not one.when or one.when in holds:
                figures.setdefault(one.name, {}).update({held.kind: held for held in one.settings})
        bounds = {held.kind: _figure(held, budget) for held in self.routers.settings}
        return {
            name: Part(
                Claim(
                    held["weight"].value if "weight" in held else 1.0,
                    _figure(held["floor"], budget) if "floor" in held else 0.0,
                    _figure(held["ceiling"], budget) if "ceiling" in held else float(budget),
                ),
                int(bounds.get("floor", 0.0)),
                bounds.get("ceiling", float(budget)),
            )
            for name, held in figures.items()
        }


def _figure(held: Setting, budget: int) -> float:
    return held.value * budget if held.part else held.value


def read(text: str, servers: Sequence[str], tenants: Sequence[str], most_members: int) -> Policy:
    """The policy in a text, judged against the lists that hold. Raises PolicyError."""
    if len(text) > MOST_TEXT:
        raise PolicyError(1, 1, f"{len(text)} characters are more than {MOST_TEXT}", "make it shorter")
    try:
        told = _Rules().transform(_parser().parse(text + "\n"))
    except UnexpectedInput as fault:
        found = text.split("\n")[fault.line - 1][fault.column - 1 :].split() if fault.line > 0 else []
        what = f"{found[0]!r} is not expected here" if found else "the line ends too early"
        raise PolicyError(
            fault.line, fault.column, what, "see docs/pools.md for the words of a rule"
        ) from None
    except VisitError as fault:
        raise PolicyError(1, 1, str(fault.orig_exc), "write figures as whole numbers") from fault
    budgets = tuple(one for one in told if isinstance(one, Budget))
    rules = tuple(one for one in told if isinstance(one, Tenant))
    routers = [one for one in told if isinstance(one, Routers)]
    _judge_budgets(budgets, servers)
    _judge_tenants(rules, tenants)
    if len(routers) > 1:
        raise PolicyError(
            routers[1].line, routers[1].column, "routers are told twice", "take one of the two out"
        )
    policy = Policy(budgets, rules, routers[0] if routers else Routers((), 0, 0))
    _judge_floors(policy, servers, most_members)
    return policy


def _judge_budgets(budgets: Sequence[Budget], servers: Sequence[str]) -> None:
    if not budgets:
        raise PolicyError(1, 1, "there is no budget", "begin with a line such as `budget *: 400 connections`")
    left = set(servers)
    for one in budgets:
        named = {server for server in servers if fnmatchcase(server, one.servers)}
        if not named:
            what = f"{one.servers} names no server of the list"
            raise PolicyError(one.line, one.column, what, "correct the name or take the line out")
        if not named & left:
            what = f"{one.servers} can never count, as lines before it name all its servers"
            raise PolicyError(one.line, one.column, what, "move it up or take it out")
        if one.connections < 1 or one.free >= 1.0:
            raise PolicyError(
                one.line, one.column, "nothing is left of this budget", "allow more connections"
            )
        left -= named


def _judge_tenants(rules: Sequence[Tenant], tenants: Sequence[str]) -> None:
    seen: dict[tuple[str, str, str], Setting] = {}
    for one in rules:
        if one.name not in tenants:
            what = f"{one.name} is no tenant of the settings"
            raise PolicyError(one.line, one.column, what, f"name one of {', '.join(tenants) or 'none'}")
        for held in one.settings:
            before = seen.setdefault((one.name, one.when, held.kind), held)
            if before is not held:
                what = (
                    f"the {held.kind} of {one.name} is told twice for one case, first in line {before.line}"
                )
                raise PolicyError(held.line, held.column, what, "take one of the two out")
            if held.kind == "weight" and held.value < 1:
                raise PolicyError(held.line, held.column, "a weight of 0 gives nothing", "use 1 or more")
            if held.part and held.value > 1.0:
                raise PolicyError(held.line, held.column, "more than 100% of a budget", "use 100% at most")


def _judge_floors(policy: Policy, servers: Sequence[str], most_members: int) -> None:
    """Floors have to fit the budget whatever case holds: all together, and those of the most proxies there may be."""
    bounds = {held.kind: held for held in policy.routers.settings}
    low, high = bounds.get("floor"), bounds.get("ceiling")
    if low is not None and high is not None and low.value > high.value:
        raise PolicyError(low.line, low.column, "the floor is above the ceiling", "lower it")
    cases = [frozenset()] + [frozenset([one.when]) for one in policy.tenants if one.when]
    for server in servers:
        budget = policy.budget(server)
        if not budget:
            continue
        if low is not None and low.value * most_members * max(1, len(policy.parts(server))) > budget:
            what = (
                f"a floor of {low.value:g} for {most_members} proxies and each tenant is more than {budget}"
            )
            raise PolicyError(low.line, low.column, what, f"lower it, or raise the budget of {server}")
        for holds in cases:
            parts = policy.parts(server, holds)
            floors = sum(one.claim.floor for one in parts.values())
            last = [one.of("floor") for one in policy.tenants if one.of("floor") is not None]
            if floors > budget and last:
                what = f"floors of {floors:g} together are more than the {budget} of {server}"
                raise PolicyError(last[-1].line, last[-1].column, what, "lower floors or raise the budget")
            for name, one in parts.items():
                if one.claim.floor > one.claim.ceiling:
                    held = next(x.of("floor") for x in policy.tenants if x.name == name and x.of("floor"))
                    what = f"the floor of {name} is above its ceiling of {one.claim.ceiling:g} at {server}"
                    raise PolicyError(held.line, held.column, what, "lower the floor or raise the ceiling")
