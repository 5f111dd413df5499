"""The split of one server's budget: weighted max-min over tenants, then over the proxies of each. No I/O, no chance.

A tenant gets its floor (as far as it has need), at most its ceiling, and beyond that what its weight is worth: the
smallest share for its weight is as large as it can be, then the next (water-filling). What a tenant gets is filled over
its proxies in the same way, each alike. Whole connections come of it by largest remainders, of tenants first, then of
each one's proxies; where a connection could go either way it stays where it is, so that a split moves no more than the
shares themselves do, and every part is within one connection of the exact one.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class Claim:
    """What one party may have: at least `floor` and at most `ceiling` connections, else by weight."""

    weight: float
    floor: float
    ceiling: float


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's part of one server's budget, and the bounds of each proxy's part in it."""

    claim: Claim
    router_floor: int = 0
    router_ceiling: float = math.inf


def fill(total: float, claims: Sequence[Claim]) -> list[float]:
    """Weighted max-min: each claim gets `level * weight` within its bounds, the level such that `total` is used up.

    Floors that do not fit together are cut in proportion; nothing is given beyond ceilings. Steps: one for each bound.
    """
    lows = [min(one.floor, one.ceiling) for one in claims]
    if sum(lows) >= total:
        scale = total / sum(lows) if sum(lows) > 0 else 0.0
        return [low * scale for low in lows]
    if sum(one.ceiling for one in claims) <= total:
        return [one.ceiling for one in claims]
    # Between two bounds the sum grows in a straight line with the level.
    bounds = sorted(
        {bound / one.weight for one, low in zip(claims, lows, strict=True) for bound in (low, one.ceiling)}
        - {math.inf}
    )

    def given(level: float) -> list[float]:
        return [min(max(level * one.weight, low), one.ceiling) for one, low in zip(claims, lows, strict=True)]

    before = 0.0
    for level in bounds:
        if sum(given(level)) >= total:
            break
        before = level
    held = sum(given(before))
    rate = sum(
        one.weight
        for one, low in zip(claims, lows, strict=True)
        if low <= before * one.weight < one.ceiling and before * one.weight >= low
    )
    return given(before + (total - held) / rate if rate else before)


def rank(server: str, tenant: str, proxy: str) -> int:
    """The order in which equal remainders are served, the same wherever it is reckoned."""
    told = f"{server} {tenant} {proxy}".encode()
    return int.from_bytes(blake2b(told, digest_size=8, person=b"leadslip-split").digest())


def whole(
    shares: Mapping[str, float], standing: Mapping[str, int], order: Mapping[str, int]
) -> dict[str, int]:
    """Whole connections of shares: never more together than the shares, each within one of its own.

    One that stands above the whole part of its share keeps it before others get a remainder.
    """
    told = {key: math.floor(share + 1e-9) for key, share in shares.items()}
    left = math.floor(sum(shares.values()) + 1e-9) - sum(told.values())
    wanting = [key for key, share in shares.items() if share - told[key] > 1e-9]
    wanting.sort(key=lambda key: (standing.get(key, 0) <= told[key], told[key] - shares[key], order[key]))
    for key in wanting[:left]:
        told[key] += 1
    return told


def split(
    server: str,
    budget: int,
    tenants: Mapping[str, Tenant],
    needs: Mapping[tuple[str, str], int],
    standing: Mapping[tuple[str, str], int] | None = None,
) -> dict[tuple[str, str], int]:
    """Connections to a server by (tenant, proxy), from what each could use; together at most the budget."""
    standing = standing or {}
    bounds: dict[str, dict[str, float]] = {name: {} for name in tenants}
    for (name, proxy), need in sorted(needs.items()):
        held = tenants[name]
        bounds[name][proxy] = min(max(need, held.router_floor), held.router_ceiling)
    names = sorted(tenants)
    claims = []
    for name in names:
        could = sum(bounds[name].values())
        claim = tenants[name].claim
        claims.append(Claim(claim.weight, min(claim.floor, could), min(claim.ceiling, could)))
    stands = {name: sum(count for (of, _), count in standing.items() if of == name) for name in names}
    shares = dict(zip(names, fill(budget, claims), strict=True))
    totals = whole(shares, stands, {name: rank(server, name, "") for name in names})
    told: dict[tuple[str, str], int] = {}
    for name in names:
        proxies = list(bounds[name])
        ways = [Claim(1.0, tenants[name].router_floor, bounds[name][proxy]) for proxy in proxies]
        parts = dict(zip(proxies, fill(totals[name], ways), strict=True))
        here = {proxy: standing.get((name, proxy), 0) for proxy in proxies}
        order = {proxy: rank(server, name, proxy) for proxy in proxies}
        told |= {(name, proxy): count for proxy, count in whole(parts, here, order).items()}
    return told
