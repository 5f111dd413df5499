"""A Controller driven by hand for the tests, without the simulator and its servers."""

from __future__ import annotations

from leadslip import interface
from leadslip.choice import INTERVAL_MS, Controller

URGENT, PLAIN = "urgent", "plain"


def settings(**changes: object) -> interface.Settings:
    """Settings of a small example site, with changes."""
    values: dict = {
        "gateways": 4,
        "index": 0,
        "classes": (
            interface.CallClass(PLAIN, 1.0, 0.2, 1500.0, 9000.0),
            interface.CallClass(URGENT, 6.0, 0.2, 1000.0, 6000.0),
        ),
        "max_attempts": 4,
        "may_withdraw": True,
        "drain_grace_ms": 300.0,
        "cold_fraction": 0.4,
        "warm_after_ms": 10_000.0,
        "push_multiple": 2.0,
        "push_window_ms": 2000.0,
        "release_wait_ms": 250.0,
        "tick_ms": 5.0,
    }
    return interface.Settings(**(values | changes))


def entry(name: str, number: int, state: str = "ready", since: float = 0.0) -> interface.ListEntry:
    """One entry of the server list."""
    return interface.ListEntry(name, number, interface.ServerState(state), since)


class Gateway:
    """A Controller with its clock, its pending timers and a log of its actions."""

    def __init__(self, servers: int = 2, seed: int = 1, **changes: object) -> None:
        self.controller = Controller(settings(**changes), seed)
        self.now = 1_000.0
        self.timers: list[tuple[float, str]] = []
        self.log: list[tuple[float, interface.Action]] = []
        self.call_count = 0
        self.handle(
            interface.ServerListUpdate(
                interface.UpdateKind.CACHED, tuple(entry(f"s{i}", i) for i in range(servers))
            )
        )

    def handle(self, event: interface.Event) -> list[interface.Action]:
        """Passes an event to the Controller now; returns and logs its actions."""
        actions = self.controller.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, interface.SetTimer):
                self.timers.append((self.now + action.after_ms, action.token))
        return actions

    def wait(self, ms: float) -> list[interface.Action]:
        """Advances the clock, with the timers that expire meanwhile; returns the actions."""
        end, actions = self.now + ms, []
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = timer[0]
            actions += self.handle(interface.TimerDue(timer[1]))
        self.now = end
        return actions

    def call(
        self, to: int = 0, kind: str = PLAIN, valid_for_ms: float = 3000.0, **fields: object
    ) -> list[interface.Action]:
        """Offers a call whose caller waits for `valid_for_ms`."""
        self.call_count += 1
        return self.handle(
            interface.CallOffered(
                f"c{self.call_count}", kind, self.now + valid_for_ms, destination=to, **fields
            )  # type: ignore
        )

    def establish(self, sent: interface.SetUp, elapsed_ms: float, attempt: int = 0) -> list[interface.Action]:
        """Reports a call as established after `elapsed_ms`; the clock stays."""
        return self.handle(interface.CallEstablished(sent.call, sent.server, attempt, elapsed_ms))

    def end_attempt(
        self, sent: interface.SetUp, outcome: str, attempt: int = 0, **fields: object
    ) -> list[interface.Action]:
        """Reports the end of an attempt."""
        elapsed_ms = fields.pop("elapsed_ms", 30.0)
        return self.handle(
            interface.AttemptEnded(
                sent.call, sent.server, attempt, interface.Outcome(outcome), elapsed_ms, **fields
            )  # type: ignore
        )

    def serve(self, seconds: float, per_s: float = 8.0, delay: float = 30.0, **fields: object) -> int:
        """Offers calls evenly, each established at once with the given delay; returns how many were sent."""
        sent = 0
        for i in range(int(seconds * per_s)):
            self.wait(1000.0 / per_s)
            for action in set_ups(self.call(to=i % max(1, len(self.controller.servers)), **fields)):
                sent += 1
                self.establish(action, delay)
        return sent

    def answer_slowly(self, server: str, delay: float, intervals: int = 6) -> None:
        """Answers of one server take `delay` beyond a baseline of 20 ms, for some intervals."""
        target = self.controller.servers[server]
        for _ in range(intervals):
            self.controller._on_answer(self.now, target, 20.0, None)
            self.controller._on_answer(self.now, target, 20.0 + delay, None)
            self.wait(INTERVAL_MS)


def set_ups(actions: list[interface.Action]) -> list[interface.SetUp]:
    """Returns the set-ups among the actions."""
    return [action for action in actions if isinstance(action, interface.SetUp)]


def finals(actions: list[interface.Action]) -> list[interface.Action]:
    """Returns the final answers among the actions."""
    return [action for action in actions if isinstance(action, interface.Refuse | interface.Fail)]
