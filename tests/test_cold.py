"""Rule 4 for a whole fleet by virtual time: what all gateways send a cold server together, window by window."""

import math
import random

import pytest

from leadslip import interface as face
from tests.helpers import Gateway, entry, set_ups

SERVERS, MULTIPLE, WINDOW_MS, WARM_MS, COLD = 4, 2.5, 1500.0, 14_000.0, 0.3
LOAD = 0.9  # of what warm servers can do
BORN_MS, END_MS = 20_000.0, 34_000.0
CLASSES = tuple(face.CallClass(name, worth, 0.2, 1500.0, 9000.0) for name, worth in (("a", 1.0), ("b", 3.0)))


class Fleet:
    """Gateways with uneven traffic before servers, half of which are replaced; `budget` is N as a cold one starts."""

    def __init__(self, gateways: int, budget: float, seed: int) -> None:
        self.draw, self.seed, self.gateways = random.Random(seed), seed, gateways
        self.capacity = budget / (MULTIPLE * COLD * WINDOW_MS / 1000.0)  # set-ups a second of a warm server
        self.weights = [self.draw.choice((1, 1, 1, 1, 3)) for _ in range(gateways)]
        self.made = [self.gateway(0.0) for _ in range(gateways)]
        self.born: dict[str, float] = {}
        self.sent: dict[str, list[float]] = {}

    def gateway(self, now: float) -> Gateway:
        """One process, started now from nothing but the list."""
        self.seed += 1
        made = Gateway(
            SERVERS,
            self.seed,
            gateways=self.gateways,
            classes=CLASSES,
            push_multiple=MULTIPLE,
            push_window_ms=WINDOW_MS,
            warm_after_ms=WARM_MS,
            cold_fraction=COLD,
        )
        made.timers = [(now + after - made.now, token) for after, token in made.timers]
        made.now = now
        return made

    def listed(self, kind: face.NewsKind) -> face.ListNews:
        """The list as it is now."""
        names = [(f"s{i}", i) for i in range(SERVERS)]
        return face.ListNews(kind, tuple(entry(name, i, since=self.born.get(name, 0.0)) for name, i in names))

    def replace_servers(self) -> None:
        self.born = {f"s{i}": BORN_MS for i in range(SERVERS // 2)}
        for gateway in self.made:
            gateway.wait(BORN_MS - gateway.now)
            gateway.give(self.listed(face.NewsKind.CHANGES))

    def restart(self, which: list[int], now: float) -> None:
        for i in which:
            self.made[i] = self.gateway(now)
            self.made[i].give(self.listed(face.NewsKind.WHOLE))

    def serve(self, until: float, up: list[int]) -> None:
        """Calls as they come, by chance, to the gateways that are up."""
        rate = self.capacity * SERVERS * LOAD / 1000.0
        weights = [self.weights[i] for i in up]
        now = max(gateway.now for gateway in self.made)
        while (now := now + self.draw.expovariate(rate)) < until:
            gateway = self.made[self.draw.choices(up, weights)[0]]
            due = gateway.wait(max(0.0, now - gateway.now))
            kind = self.draw.choice(("a", "a", "a", "b"))
            for action in set_ups(due + gateway.call(to=self.draw.randrange(SERVERS), kind=kind)):
                self.sent.setdefault(action.server, []).append(now)
                gateway.stands(action, 30.0)

    def windows(self) -> list[tuple[int, float]]:
        """Of each window that ends with a set-up to a cold server: how many it holds, and its N."""
        found = []
        for name, born in self.born.items():
            times = [now for now in self.sent[name] if born <= now < born + WARM_MS]
            for last, now in enumerate(times):
                count = sum(now - WINDOW_MS < before <= now for before in times[: last + 1])
                warm = max(0.0, now - WINDOW_MS - born) / WARM_MS
                can = self.capacity * (COLD + (1.0 - COLD) * warm)
                found.append((count, MULTIPLE * can * WINDOW_MS / 1000.0))
        return found


@pytest.mark.parametrize("gateways", [5, 30])
@pytest.mark.parametrize("budget", [3.0, 10.0, 30.0])
@pytest.mark.parametrize("killed", [False, True], ids=["rolling restart", "seven in ten killed"])
def test_all_gateways_together_stay_under_what_a_cold_server_allows(gateways, budget, killed):
    fleet = Fleet(gateways, budget, seed=7)
    everyone = list(range(gateways))
    fleet.serve(BORN_MS - 3000.0, everyone)
    if killed:
        gone = fleet.draw.sample(everyone, gateways * 7 // 10)
        fleet.serve(BORN_MS, [i for i in everyone if i not in gone])
        fleet.replace_servers()
        fleet.serve(BORN_MS + 1000.0, [i for i in everyone if i not in gone])
        fleet.restart(gone, BORN_MS + 1000.0)
        fleet.serve(END_MS, everyone)
    else:
        fleet.serve(BORN_MS, everyone)
        fleet.replace_servers()
        for step in range(10):
            fleet.restart(everyone[step::10], BORN_MS + step * 1000.0)
            fleet.serve(BORN_MS + step * 1000.0 + 1000.0, everyone)
        fleet.serve(END_MS, everyone)
    windows = fleet.windows()
    assert windows and max(count - budget_now for count, budget_now in windows) <= 0.0
    # And by so much less than N that chance alone hardly ever brings the two roots more that are put down to it.
    mean = sum(count / budget_now for count, budget_now in windows) / len(windows)
    assert mean <= 0.6 and tail(mean * budget, budget + 2.0 * math.sqrt(budget) + 2.0) < 1e-4


def tail(mean: float, over: float) -> float:
    """The chance that a Poisson count of this mean passes a bound."""
    within = sum(math.exp(-mean + k * math.log(mean) - math.lgamma(k + 1)) for k in range(int(over) + 1))
    return max(0.0, 1.0 - within)
