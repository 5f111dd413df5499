"""Pool policies: text from which the connection budgets of setup servers and their division are computed.

Contains the grammar, the typed rules and the validation of a complete policy. Pure, without I/O. An example:

    budget core-*: 400 connections, keep 5% free
    tenant city: weight 3, floor 20, ceiling 60%
    tenant river: weight 5, floor 40
    routers: by need, floor 2, ceiling 40
    when zone lost: tenant river weight 8

There is one rule per line; `#` begins a comment. `budget` sets the connections that each matching server accepts,
`tenant` a tenant's claim on each budget, `routers` the limits of each proxy's part of what a tenant gets, and `when`
changes a tenant's claim while a condition holds: `zone lost` or `server cold`, which the caller of
`Policy.tenant_shares` passes. Every error gives the line, the column and what to change.
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
from leadslip.fleet.pools.split import Tenant as TenantShare

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
MAX_POLICY_CHARACTERS = 64 * 1024


class PolicyError(OperatorError):
    """A pool policy is invalid and can't be agreed on; the error message gives the line and column."""

    code, status = "pools.policy", 422
    action = "Correct the line named as the error message says, and propose the policy again."

    def __init__(self, line: int, column: int, problem: str, remedy: str) -> None:
        super().__init__(f"line {line}, column {column}: {problem}; {remedy}")
        self.line, self.column, self.problem, self.remedy = line, column, problem, remedy


@dataclass(frozen=True, slots=True)
class Setting:
    """One value of a rule and its position in the text."""

    kind: str  # weight, floor or ceiling
    value: float
    is_fraction: bool  # whether it is a fraction of the budget, given in percent, not an absolute number
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class BudgetRule:
    """The number of connections that each server accepts whose name matches a pattern."""

    servers: str  # pattern as in a shell, such as core-*
    connections: int
    free_fraction: float  # of the connections; this part of them is never used
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class TenantRule:
    """A tenant's weight, floor and ceiling in each budget: a `tenant` rule, or a `when` rule with a condition."""

    name: str
    settings: tuple[Setting, ...]
    condition: str  # the rule applies only while this condition holds; empty: always
    line: int
    column: int

    def setting(self, kind: str) -> Setting | None:
        """Returns the setting of a kind; None if the rule does not have it."""
        return next((setting for setting in self.settings if setting.kind == kind), None)


@dataclass(frozen=True, slots=True)
class RoutersRule:
    """Floor and ceiling of each proxy's share of a tenant's connections."""

    settings: tuple[Setting, ...]
    line: int
    column: int


class _TreeToRules(Transformer):
    """Turns Lark's tree into rules; each method is named after a rule or an alias of the grammar."""

    def start(self, children: Sequence) -> list:
        return list(children)

    def budget(self, children: Sequence[Token]) -> BudgetRule:
        glob, count, *free = children
        return BudgetRule(str(glob), int(count), _fraction(free[0]) if free else 0.0, glob.line, glob.column)

    def tenant(self, children: Sequence) -> TenantRule:
        return TenantRule(str(children[0]), tuple(children[1:]), "", children[0].line, children[0].column)

    def when(self, children: Sequence) -> TenantRule:
        condition, name, *settings = children
        return TenantRule(str(name), tuple(settings), str(condition), condition.line, condition.column)

    def routers(self, children: Sequence[Setting]) -> RoutersRule:
        first = children[0] if children else None
        return RoutersRule(tuple(children), first.line if first else 0, first.column if first else 0)

    def weight(self, children: Sequence[Token]) -> Setting:
        return _setting("weight", children[0])

    def floor(self, children: Sequence[Token]) -> Setting:
        return _setting("floor", children[0])

    def ceiling(self, children: Sequence[Token]) -> Setting:
        return _setting("ceiling", children[0])


def _fraction(percent: Token) -> float:
    return int(percent[:-1]) / 100.0


def _setting(kind: str, token: Token) -> Setting:
    is_fraction = token.endswith("%")
    return Setting(
        kind, _fraction(token) if is_fraction else float(token), is_fraction, token.line, token.column
    )


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True)


@dataclass(frozen=True, slots=True)
class Policy:
    """A validated policy."""

    budgets: tuple[BudgetRule, ...]
    tenants: tuple[TenantRule, ...]
    routers: RoutersRule

    def budget(self, server: str) -> int:
        """Returns how many connections to a server may be open, without those kept free; 0 if no rule matches its name.

        The first matching rule applies.
        """
        rule = next((rule for rule in self.budgets if fnmatchcase(server, rule.servers)), None)
        return 0 if rule is None else int(rule.connections * (1.0 - rule.free_fraction) + 1e-9)

    def tenant_shares(self, server: str, conditions: frozenset[str] = frozenset()) -> dict[str, TenantShare]:
        """Returns each tenant's claim on a server's budget and the limits of each proxy, while these conditions hold.

        The result is input of `split` in leadslip/fleet/pools/split.py, which computes the actual shares.
        """
        budget = self.budget(server)
        settings: dict[str, dict[str, Setting]] = {}
        for rule in self.tenants:  # a later rule overrides the same settings of an earlier one
            if not rule.condition or rule.condition in conditions:
                settings.setdefault(rule.name, {}).update(
                    {setting.kind: setting for setting in rule.settings}
                )
        bounds = {setting.kind: _connections(setting, budget) for setting in self.routers.settings}
        return {
            name: TenantShare(
                Claim(
                    by_kind["weight"].value if "weight" in by_kind else 1.0,
                    _connections(by_kind["floor"], budget) if "floor" in by_kind else 0.0,
                    _connections(by_kind["ceiling"], budget) if "ceiling" in by_kind else float(budget),
                ),
                int(bounds.get("floor", 0.0)),
                bounds.get("ceiling", float(budget)),
            )
            for name, by_kind in settings.items()
        }


def _connections(setting: Setting, budget: int) -> float:
    """Returns a setting's value as a number of connections."""
    return setting.value * budget if setting.is_fraction else setting.value


def parse_policy(text: str, servers: Sequence[str], tenants: Sequence[str], max_members: int) -> Policy:
    """Parses a policy and validates it against the names of the servers and tenants in the proxy's settings.

    `max_members` is the maximum number of proxies in the fleet. Raises PolicyError.
    """
    if len(text) > MAX_POLICY_CHARACTERS:
        raise PolicyError(
            1,
            1,
            f"the policy has {len(text)} characters, at most {MAX_POLICY_CHARACTERS} are allowed",
            "shorten it",
        )
    try:
        rules = _TreeToRules().transform(_parser().parse(text + "\n"))
    except UnexpectedInput as error:
        found = text.split("\n")[error.line - 1][error.column - 1 :].split() if error.line > 0 else []
        problem = f"{found[0]!r} is not expected here" if found else "the line ends too early"
        raise PolicyError(
            error.line, error.column, problem, "see docs/pools.md for the syntax of the rules"
        ) from None
    except VisitError as error:
        raise PolicyError(1, 1, str(error.orig_exc), "write each number as an integer") from error
    budget_rules = tuple(rule for rule in rules if isinstance(rule, BudgetRule))
    tenant_rules = tuple(rule for rule in rules if isinstance(rule, TenantRule))
    routers_rules = [rule for rule in rules if isinstance(rule, RoutersRule)]
    _check_budgets(budget_rules, servers)
    _check_tenants(tenant_rules, tenants)
    if len(routers_rules) > 1:
        raise PolicyError(
            routers_rules[1].line,
            routers_rules[1].column,
            "the routers rule is given twice",
            "remove one of the two",
        )
    policy = Policy(budget_rules, tenant_rules, routers_rules[0] if routers_rules else RoutersRule((), 0, 0))
    _check_floors(policy, servers, max_members)
    return policy


def _check_budgets(rules: Sequence[BudgetRule], servers: Sequence[str]) -> None:
    """Checks that there are budget rules, that each is the first to match some server, and the numbers in it."""
    if not rules:
        raise PolicyError(1, 1, "there is no budget rule", "add a line such as `budget *: 400 connections`")
    unmatched = set(servers)
    for rule in rules:
        matching = {server for server in servers if fnmatchcase(server, rule.servers)}
        if not matching:
            problem = f"the pattern {rule.servers} matches no server of the settings"
            raise PolicyError(rule.line, rule.column, problem, "correct the pattern or remove the line")
        if not matching & unmatched:
            problem = (
                f"the pattern {rule.servers} can never apply, as earlier budget rules match all its servers"
            )
            raise PolicyError(rule.line, rule.column, problem, "move the line up or remove it")
        if rule.connections < 1 or rule.free_fraction >= 1.0:
            raise PolicyError(
                rule.line,
                rule.column,
                f"nothing is left of a budget of {rule.connections} with {rule.free_fraction:.0%} kept free",
                "allow more connections",
            )
        unmatched -= matching


def _check_tenants(rules: Sequence[TenantRule], tenants: Sequence[str]) -> None:
    """Checks the tenants' names, and that each setting is given once per condition and is within its range."""
    seen: dict[tuple[str, str, str], Setting] = {}
    for rule in rules:
        if rule.name not in tenants:
            problem = f"there is no tenant {rule.name} in the settings"
            raise PolicyError(
                rule.line,
                rule.column,
                problem,
                f"name one of: {', '.join(tenants) or '(there are no tenants)'}",
            )
        for setting in rule.settings:
            first = seen.setdefault((rule.name, rule.condition, setting.kind), setting)
            if first is not setting:
                problem = (
                    f"the {setting.kind} of tenant {rule.name} is set twice for the same condition, "
                    f"first in line {first.line}"
                )
                raise PolicyError(setting.line, setting.column, problem, "remove one of the two")
            if setting.kind == "weight" and setting.value < 1:
                raise PolicyError(
                    setting.line,
                    setting.column,
                    f"a weight of {setting.value:g} gives nothing to tenant {rule.name}",
                    "use a weight of 1 or more",
                )
            if setting.is_fraction and setting.value > 1.0:
                raise PolicyError(
                    setting.line,
                    setting.column,
                    f"the {setting.kind}, {setting.value:.0%}, is more than 100% of a budget",
                    "use at most 100%",
                )


def _check_floors(policy: Policy, servers: Sequence[str], max_members: int) -> None:
    """Checks the floors against the ceilings and against the budget of each server.

    Neither the floors of all tenants together nor the routers' floor for all proxies and tenants may exceed a budget.
    The tenants' floors are checked without any condition and with each condition alone, not with both at once.
    """
    bounds = {setting.kind: setting for setting in policy.routers.settings}
    floor, ceiling = bounds.get("floor"), bounds.get("ceiling")
    if floor is not None and ceiling is not None and floor.value > ceiling.value:
        raise PolicyError(
            floor.line, floor.column, "the routers' floor is above the ceiling", "lower the floor"
        )
    cases = [frozenset()] + [frozenset([rule.condition]) for rule in policy.tenants if rule.condition]
    for server in servers:
        budget = policy.budget(server)
        if not budget:
            continue
        if (
            floor is not None
            and floor.value * max_members * max(1, len(policy.tenant_shares(server))) > budget
        ):
            problem = (
                f"a floor of {floor.value:g} for {max_members} proxies and each tenant "
                f"is more than the budget of {budget} connections of {server}"
            )
            raise PolicyError(
                floor.line, floor.column, problem, f"lower the floor or raise the budget of {server}"
            )
        for conditions in cases:
            shares = policy.tenant_shares(server, conditions)
            floors = sum(share.claim.floor for share in shares.values())
            floor_settings = [
                rule.setting("floor") for rule in policy.tenants if rule.setting("floor") is not None
            ]
            if floors > budget and floor_settings:
                problem = f"tenants' floors of {floors:g} in total are more than the {budget} connections of {server}"
                raise PolicyError(
                    floor_settings[-1].line,
                    floor_settings[-1].column,
                    problem,
                    "lower floors or raise the budget",
                )
            for name, share in shares.items():
                if share.claim.floor > share.claim.ceiling:
                    setting = next(
                        rule.setting("floor")
                        for rule in policy.tenants
                        if rule.name == name and rule.setting("floor")
                    )
                    problem = (
                        f"the floor of {name} is above its ceiling of {share.claim.ceiling:g} "
                        f"connections at {server}"
                    )
                    raise PolicyError(
                        setting.line, setting.column, problem, "lower the floor or raise the ceiling"
                    )
