"""Benchmarks the planning of traffic shares: python -m benchmarks.shares.

Times depend on the machine: compare only the ratios within one run.
"""

from __future__ import annotations

import os
import platform
import random
import time

from leadslip.shares import problem, solve


def make_problem(
    servers: int, districts: int, zones: int = 8, servers_per_district: int | None = None
) -> problem.Problem:
    """Build a seeded problem: servers and districts in zones, delays between zones, load at 80% of the capacity.

    Each district may use `servers_per_district` servers, or all of them if that is None.
    """
    rng = random.Random(5)
    zones = min(zones, servers)
    names = [f"z{i}" for i in range(zones)]
    fields: dict = {"shed": True, "class": [{"name": "o", "worth": 3.0}, {"name": "r", "worth": 1.0}]}
    fields["server"] = [
        {"name": f"s{i}", "capacity": rng.uniform(20.0, 60.0), "zone": names[i % zones]}
        for i in range(servers)
    ]
    total_demand = 0.8 * sum(server["capacity"] for server in fields["server"])
    weights = [rng.random() + 0.1 for _ in range(districts)]
    fields["district"] = []
    for i, weight in enumerate(weights):
        demand = total_demand * weight / sum(weights)
        district = {
            "name": f"d{i}",
            "zone": names[i % zones],
            "demand": {"o": 0.22 * demand, "r": 0.78 * demand},
        }
        if servers_per_district is not None:
            district["servers"] = [
                f"s{(i + j * 7) % servers}" for j in range(min(servers_per_district, servers))
            ]
        fields["district"].append(district)
    fields["delay"] = {a: {b: rng.uniform(2.0, 24.0) for b in names[i + 1 :]} for i, a in enumerate(names)}
    return problem.read(fields)


def main() -> None:
    """Print the machine and, for each size of problem, the solving time and the cost of the plan."""
    print(f"{platform.python_implementation()} {platform.python_version()}, {os.cpu_count()} cores, one used")
    for servers, districts, servers_per_district in (
        (4, 4, None),
        (50, 100, None),
        (200, 500, 20),
        (200, 500, None),
    ):
        instance = make_problem(servers, districts, servers_per_district=servers_per_district)
        began = time.perf_counter()
        plan = solve.solve(instance, 60.0)
        took_s = time.perf_counter() - began
        pairs = sum(len(district.servers) for district in instance.districts)
        print(
            f"{servers} servers x {districts} districts, {pairs} allowed pairs: {took_s:.2f} s, cost {plan.cost:.1f}"
        )


if __name__ == "__main__":
    main()
