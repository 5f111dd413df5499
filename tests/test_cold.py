"""Rule 4 for a whole fleet: the set-ups that all gateways together send to a server in slow start, per window.

Each gateway limits only its own set-ups, so that many gateways, or many that start again without learned rates, could
together exceed what a server that has just started can take. Runs in virtual time.
"""

import math
import random

import pytest

from leadslip import interface
from tests.helpers import Gateway, entry, set_ups

# A server is overloaded if it gets MULTIPLE times its capacity within WINDOW_MS. Its capacity rises from COLD_FRACTION
# to 1 within WARM_UP_MS after its start.
SERVERS, MULTIPLE, WINDOW_MS, WARM_UP_MS, COLD_FRACTION = 4, 2.5, 1500.0, 14_000.0, 0.3
LOAD = 0.9  # calls offered, as a fraction of the capacity of warmed-up servers
SERVERS_REPLACED_MS, END_MS = 20_000.0, 34_000.0
CLASSES = tuple(
    interface.CallClass(name, worth, 0.2, 1500.0, 9000.0) for name, worth in (("a", 1.0), ("b", 3.0))
)


class Fleet:
    """Gateways with uneven traffic to servers, half of which are replaced at SERVERS_REPLACED_MS.

    `budget` is N, the number of set-ups allowed per window, at the time when a server starts cold.
    """

    def __init__(self, gateways: int, budget: float, seed: int) -> None:
        self.rng, self.seed, self.gateways = random.Random(seed), seed, gateways
        self.capacity = budget / (
            MULTIPLE * COLD_FRACTION * WINDOW_MS / 1000.0
        )  # set-ups per second of a warmed-up server
        # Relative traffic of each gateway.
        self.weights = [self.rng.choice((1, 1, 1, 1, 3)) for _ in range(gateways)]
        self.running = [self.start_gateway(0.0) for _ in range(gateways)]
        self.started: dict[str, float] = {}  # server -> start time of its replacement
        self.sent: dict[str, list[float]] = {}  # server -> send times of set-ups

    def start_gateway(self, now: float) -> Gateway:
        """Start a gateway process without learned rates, which knows only the server list."""
        self.seed += 1
        gateway = Gateway(
            SERVERS,
            self.seed,
            gateways=self.gateways,
            classes=CLASSES,
            push_multiple=MULTIPLE,
            push_window_ms=WINDOW_MS,
            warm_after_ms=WARM_UP_MS,
            cold_fraction=COLD_FRACTION,
        )
        gateway.timers = [(now + after - gateway.now_ms, token) for after, token in gateway.timers]
        gateway.now_ms = now
        return gateway

    def listed(self, kind: interface.UpdateKind) -> interface.ServerListUpdate:
        """Return the current server list as an update."""
        names = [(f"s{i}", i) for i in range(SERVERS)]
        return interface.ServerListUpdate(
            kind, tuple(entry(name, i, online_since_ms=self.started.get(name, 0.0)) for name, i in names)
        )

    def replace_servers(self) -> None:
        """Replace half of the servers by processors in slow start, and notify all gateways."""
        self.started = {f"s{i}": SERVERS_REPLACED_MS for i in range(SERVERS // 2)}
        for gateway in self.running:
            gateway.wait(SERVERS_REPLACED_MS - gateway.now_ms)
            gateway.handle(self.listed(interface.UpdateKind.CHANGES))

    def restart(self, indices: list[int], now: float) -> None:
        """Replace these gateways by new processes."""
        for i in indices:
            self.running[i] = self.start_gateway(now)
            self.running[i].handle(self.listed(interface.UpdateKind.SNAPSHOT))

    def serve(self, until: float, gateways_up: list[int]) -> None:
        """Offer calls with random (Poisson) arrivals to the gateways that are up, until the given time."""
        rate = self.capacity * SERVERS * LOAD / 1000.0
        weights = [self.weights[i] for i in gateways_up]
        now = max(gateway.now_ms for gateway in self.running)
        while (now := now + self.rng.expovariate(rate)) < until:
            gateway = self.running[self.rng.choices(gateways_up, weights)[0]]
            actions = gateway.wait(max(0.0, now - gateway.now_ms))
            call_class = self.rng.choice(("a", "a", "a", "b"))
            for action in set_ups(
                actions + gateway.call(destination=self.rng.randrange(SERVERS), call_class=call_class)
            ):
                self.sent.setdefault(action.server, []).append(now)
                gateway.establish(action, 30.0)

    def windows(self) -> list[tuple[int, float]]:
        """Return the number of set-ups and N for each window that ends with a set-up to a server in slow start."""
        windows = []
        for name, started in self.started.items():
            times = [now for now in self.sent[name] if started <= now < started + WARM_UP_MS]
            for index, now in enumerate(times):
                count = sum(now - WINDOW_MS < sent_at <= now for sent_at in times[: index + 1])
                warmed = max(0.0, now - WINDOW_MS - started) / WARM_UP_MS
                capacity = self.capacity * (COLD_FRACTION + (1.0 - COLD_FRACTION) * warmed)
                windows.append((count, MULTIPLE * capacity * WINDOW_MS / 1000.0))
        return windows


@pytest.mark.parametrize("gateways", [5, 30])
@pytest.mark.parametrize("budget", [3.0, 10.0, 30.0])
@pytest.mark.parametrize("killed", [False, True], ids=["rolling restart", "seven in ten killed"])
def test_all_gateways_together_stay_below_the_limit_of_a_server_in_slow_start(gateways, budget, killed):
    fleet = Fleet(gateways, budget, seed=7)
    all_gateways = list(range(gateways))
    fleet.serve(SERVERS_REPLACED_MS - 3000.0, all_gateways)
    if killed:
        killed_gateways = fleet.rng.sample(all_gateways, gateways * 7 // 10)
        fleet.serve(SERVERS_REPLACED_MS, [i for i in all_gateways if i not in killed_gateways])
        fleet.replace_servers()
        fleet.serve(SERVERS_REPLACED_MS + 1000.0, [i for i in all_gateways if i not in killed_gateways])
        fleet.restart(killed_gateways, SERVERS_REPLACED_MS + 1000.0)
        fleet.serve(END_MS, all_gateways)
    else:
        fleet.serve(SERVERS_REPLACED_MS, all_gateways)
        fleet.replace_servers()
        for step in range(10):
            fleet.restart(all_gateways[step::10], SERVERS_REPLACED_MS + step * 1000.0)
            fleet.serve(SERVERS_REPLACED_MS + step * 1000.0 + 1000.0, all_gateways)
        fleet.serve(END_MS, all_gateways)
    windows = fleet.windows()
    assert windows and max(count - limit for count, limit in windows) <= 0.0
    # Up to 2 * sqrt(N) + 2 set-ups above N count as chance. The mean must be so far below N that a Poisson count with
    # this mean almost never exceeds even that.
    mean = sum(count / limit for count, limit in windows) / len(windows)
    assert mean <= 0.6 and poisson_tail(mean * budget, budget + 2.0 * math.sqrt(budget) + 2.0) < 1e-4


def poisson_tail(mean: float, bound: float) -> float:
    """Return the probability that a Poisson count with this mean exceeds the bound."""
    probability_within = sum(
        math.exp(-mean + k * math.log(mean) - math.lgamma(k + 1)) for k in range(int(bound) + 1)
    )
    return max(0.0, 1.0 - probability_within)
