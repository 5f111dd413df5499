"""Division of one server's connection budget: weighted max-min fairness over tenants, then over each one's proxies.

Pure, without I/O, and deterministic. A tenant gets at least its floor, unless it needs less, and at most its ceiling.
Between these it gets a share by its weight: the smallest share relative to weight is as large as possible, then the
next smallest (water-filling). A tenant's connections are divided among its proxies in the same way, with equal weights.
Shares are rounded to integers by largest remainders, first for tenants, then for the proxies of each, so that each
result is within one connection of the exact share. Connections left over by rounding down go first to those that have
them already, so that a new division moves no more connections than the change of the shares requires.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class Claim:
    """What a tenant or proxy may get: at least `floor` and at most `ceiling` connections, between these by weight."""

    weight: float
    floor: float
    ceiling: float


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's claim on one server's budget, and the bounds of each proxy's share of what the tenant gets."""

    claim: Claim
    router_floor: int = 0  # the rule `routers` of a policy sets this and the ceiling
    router_ceiling: float = math.inf


def weighted_max_min(total: float, claims: Sequence[Claim]) -> list[float]:
    """Returns the weighted max-min share of each claim: `level * weight`, limited by its floor and ceiling.

    The level is chosen so that the shares add up to `total`, or to less if all claims reach their ceilings. If the
    floors alone exceed `total`, each gets its floor, reduced in proportion. The number of steps is at most that of the
    distinct floors and ceilings.
    """
    floors = [min(claim.floor, claim.ceiling) for claim in claims]
    if sum(floors) >= total:
        scale = total / sum(floors) if sum(floors) > 0 else 0.0
        return [floor * scale for floor in floors]
    if sum(claim.ceiling for claim in claims) <= total:
        return [claim.ceiling for claim in claims]
    # Between two adjacent bounds the sum of the shares is linear in the level.
    levels = sorted(
        {
            bound / claim.weight
            for claim, floor in zip(claims, floors, strict=True)
            for bound in (floor, claim.ceiling)
        }
        - {math.inf}
    )

    def shares_at(level: float) -> list[float]:
        return [
            min(max(level * claim.weight, floor), claim.ceiling)
            for claim, floor in zip(claims, floors, strict=True)
        ]

    below = 0.0
    for level in levels:
        if sum(shares_at(level)) >= total:
            break
        below = level
    used = sum(shares_at(below))
    # Above this level, the sum grows by the weights of the claims that are not held at their floor or ceiling.
    slope = sum(
        claim.weight
        for claim, floor in zip(claims, floors, strict=True)
        if floor <= below * claim.weight < claim.ceiling and below * claim.weight >= floor
    )
    return shares_at(below + (total - used) / slope if slope else below)


def tie_break_key(server: str, tenant: str, proxy: str) -> int:
    """Sort key for equal remainders: pseudo-random, and the same at every member."""
    key = f"{server} {tenant} {proxy}".encode()
    return int.from_bytes(blake2b(key, digest_size=8, person=b"leadslip-split").digest())


def round_shares(
    shares: Mapping[str, float], current: Mapping[str, int], order: Mapping[str, int]
) -> dict[str, int]:
    """Rounds shares to integers: in total never more than the shares, and each within one of its share.

    Shares are rounded down, and the connections left over go one each to shares with a fraction: first to those that
    currently have more connections than the integer part, then by the largest fraction, then by the lowest `order`.
    """
    counts = {key: math.floor(share + 1e-9) for key, share in shares.items()}
    remainder = math.floor(sum(shares.values()) + 1e-9) - sum(counts.values())
    candidates = [key for key, share in shares.items() if share - counts[key] > 1e-9]
    candidates.sort(
        key=lambda key: (current.get(key, 0) <= counts[key], counts[key] - shares[key], order[key])
    )
    for key in candidates[:remainder]:
        counts[key] += 1
    return counts


def split(
    server: str,
    budget: int,
    tenants: Mapping[str, Tenant],
    needs: Mapping[tuple[str, str], int],
    current: Mapping[tuple[str, str], int] | None = None,
) -> dict[tuple[str, str], int]:
    """Returns the number of connections to a server by (tenant, proxy); in total at most the budget.

    `needs` is the number that each could use, and `current` the number that each has from the previous division.
    """
    current = current or {}
    # Tenant -> proxy -> its need, within the bounds of a proxy's share:
    usable: dict[str, dict[str, float]] = {name: {} for name in tenants}
    for (name, proxy), need in sorted(needs.items()):
        tenant = tenants[name]
        usable[name][proxy] = min(max(need, tenant.router_floor), tenant.router_ceiling)
    names = sorted(tenants)
    claims = []
    for name in names:
        usable_total = sum(usable[name].values())
        claim = tenants[name].claim
        claims.append(Claim(claim.weight, min(claim.floor, usable_total), min(claim.ceiling, usable_total)))
    current_totals = {
        name: sum(count for (tenant_name, _), count in current.items() if tenant_name == name)
        for name in names
    }
    shares = dict(zip(names, weighted_max_min(budget, claims), strict=True))
    totals = round_shares(shares, current_totals, {name: tie_break_key(server, name, "") for name in names})
    connections: dict[tuple[str, str], int] = {}
    for name in names:
        proxies = list(usable[name])
        proxy_claims = [Claim(1.0, tenants[name].router_floor, usable[name][proxy]) for proxy in proxies]
        proxy_shares = dict(zip(proxies, weighted_max_min(totals[name], proxy_claims), strict=True))
        current_here = {proxy: current.get((name, proxy), 0) for proxy in proxies}
        order = {proxy: tie_break_key(server, name, proxy) for proxy in proxies}
        connections |= {
            (name, proxy): count for proxy, count in round_shares(proxy_shares, current_here, order).items()
        }
    return connections
