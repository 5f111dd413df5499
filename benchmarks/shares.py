"""What planned shares cost: python -m benchmarks.shares. Ratios within one run count, not the times."""

from __future__ import annotations

import os
import platform
import random
import time

from leadslip.shares import problem, solve


def posed(servers: int, districts: int, zones: int = 8, nearest: int | None = None) -> problem.Problem:
    """A seeded problem: servers and districts in zones, delays between them, load at 80% of what is there."""
    draw = random.Random(5)
    zones = min(zones, servers)
    names = [f"z{i}" for i in range(zones)]
    told: dict = {"shed": True, "class": [{"name": "o", "worth": 3.0}, {"name": "r", "worth": 1.0}]}
    told["server"] = [
        {"name": f"s{i}", "capacity": draw.uniform(20.0, 60.0), "zone": names[i % zones]}
        for i in range(servers)
    ]
    whole = 0.8 * sum(one["capacity"] for one in told["server"])
    parts = [draw.random() + 0.1 for _ in range(districts)]
    told["district"] = []
    for i, part in enumerate(parts):
        demand = whole * part / sum(parts)
        one = {"name": f"d{i}", "zone": names[i % zones], "demand": {"o": 0.22 * demand, "r": 0.78 * demand}}
        if nearest is not None:
            one["servers"] = [f"s{(i + j * 7) % servers}" for j in range(min(nearest, servers))]
        told["district"].append(one)
    told["delay"] = {a: {b: draw.uniform(2.0, 24.0) for b in names[i + 1 :]} for i, a in enumerate(names)}
    return problem.read(told)


def main() -> None:
    """Print the times, and the machine."""
    print(f"{platform.python_implementation()} {platform.python_version()}, {os.cpu_count()} cores, one used")
    for servers, districts, nearest in ((4, 4, None), (50, 100, None), (200, 500, 20), (200, 500, None)):
        told = posed(servers, districts, nearest=nearest)
        began = time.perf_counter()
        plan = solve.solve(told, 60.0)
        took = time.perf_counter() - began
        pairs = sum(len(district.servers) for district in told.districts)
        print(f"{servers} servers x {districts} districts, {pairs} pairs: {took:.2f} s, cost {plan.cost:.1f}")


if __name__ == "__main__":
    main()
