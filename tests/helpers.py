"""A Controller with a clock that tests advance, without an engine, the simulator or servers."""

from __future__ import annotations

from leadslip import interface
from leadslip.controller import INTERVAL_MS, Controller

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


def entry(name: str, number: int, state: str = "ready", online_since_ms: float = 0.0) -> interface.ListEntry:
    """One entry of the server list."""
    return interface.ListEntry(name, number, interface.ServerState(state), online_since_ms)


class Gateway:
    """A Controller with its clock, its pending timers and a log of its actions."""

    def __init__(self, servers: int = 2, seed: int = 1, **changes: object) -> None:
        self.controller = Controller(settings(**changes), seed)
        self.now_ms = 1_000.0
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
        actions = self.controller.handle(self.now_ms, event)
        for action in actions:
            self.log.append((self.now_ms, action))
            if isinstance(action, interface.SetTimer):
                self.timers.append((self.now_ms + action.after_ms, action.token))
        return actions

    def wait(self, ms: float) -> list[interface.Action]:
        """Advances the clock and fires the timers that expire meanwhile; returns the Controller's actions."""
        end_ms, actions = self.now_ms + ms, []
        while self.timers and min(self.timers)[0] <= end_ms:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now_ms = timer[0]
            actions += self.handle(interface.TimerDue(timer[1]))
        self.now_ms = end_ms
        return actions

    def call(
        self, destination: int = 0, call_class: str = PLAIN, valid_for_ms: float = 3000.0, **fields: object
    ) -> list[interface.Action]:
        """Offers a call whose first choice is server number `destination`; its caller waits for `valid_for_ms`."""
        self.call_count += 1
        return self.handle(
            interface.CallOffered(
                f"c{self.call_count}",
                call_class,
                self.now_ms + valid_for_ms,
                destination=destination,
                **fields,
            )  # type: ignore
        )

    def establish(
        self, set_up: interface.SetUp, elapsed_ms: float, attempt: int = 0
    ) -> list[interface.Action]:
        """Reports the call of a set-up as established after `elapsed_ms`, without advancing the clock."""
        return self.handle(interface.CallEstablished(set_up.call, set_up.server, attempt, elapsed_ms))

    def end_attempt(
        self, set_up: interface.SetUp, outcome: str, attempt: int = 0, **fields: object
    ) -> list[interface.Action]:
        """Reports the end of an attempt, without advancing the clock."""
        elapsed_ms = fields.pop("elapsed_ms", 30.0)
        return self.handle(
            interface.AttemptEnded(
                set_up.call, set_up.server, attempt, interface.Outcome(outcome), elapsed_ms, **fields
            )  # type: ignore
        )

    def serve(self, seconds: float, per_s: float = 8.0, delay_ms: float = 30.0, **fields: object) -> int:
        """Offers calls at even intervals that name the servers in turn; returns how many were sent.

        Each that is sent is reported as established at once, with the given delay.
        """
        sent = 0
        for i in range(int(seconds * per_s)):
            self.wait(1000.0 / per_s)
            for action in set_ups(self.call(destination=i % max(1, len(self.controller.servers)), **fields)):
                sent += 1
                self.establish(action, delay_ms)
        return sent

    def answer_slowly(self, server: str, excess_ms: float, intervals: int = 6) -> None:
        """For some intervals, one server's answers take `excess_ms` more than a baseline of 20 ms."""
        target = self.controller.servers[server]
        for _ in range(intervals):
            self.controller._on_answer(self.now_ms, target, 20.0, None)
            self.controller._on_answer(self.now_ms, target, 20.0 + excess_ms, None)
            self.wait(INTERVAL_MS)


def set_ups(actions: list[interface.Action]) -> list[interface.SetUp]:
    """Returns the set-ups among the actions."""
    return [action for action in actions if isinstance(action, interface.SetUp)]


def final_answers(actions: list[interface.Action]) -> list[interface.Action]:
    """Returns the final answers among the actions."""
    return [action for action in actions if isinstance(action, interface.Refuse | interface.Fail)]
