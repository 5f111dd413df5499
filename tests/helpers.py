"""A small hand-driven gateway for the tests: no bench, no simulated servers."""

from __future__ import annotations

from leadslip import interface as face
from leadslip.choice import INTERVAL_MS, Controller

URGENT, PLAIN = "urgent", "plain"


def settings(**changes: object) -> face.Settings:
    """Settings of an imagined site."""
    told: dict = {
        "gateways": 4,
        "index": 0,
        "classes": (
            face.CallClass(PLAIN, 1.0, 0.2, 1500.0, 9000.0),
            face.CallClass(URGENT, 6.0, 0.2, 1000.0, 6000.0),
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
    return face.Settings(**(told | changes))


def entry(name: str, number: int, state: str = "ready", since: float = 0.0) -> face.ListEntry:
    """One line of the list."""
    return face.ListEntry(name, number, face.ServerState(state), since)


class Gateway:
    """A controller, its clock and what it has asked for."""

    def __init__(self, servers: int = 2, seed: int = 1, **changes: object) -> None:
        self.controller = Controller(settings(**changes), seed)
        self.now = 1_000.0
        self.timers: list[tuple[float, str]] = []
        self.log: list[tuple[float, face.Action]] = []
        self.count = 0
        self.give(face.ListNews(face.NewsKind.CACHED, tuple(entry(f"s{i}", i) for i in range(servers))))

    def give(self, event: face.Event) -> list[face.Action]:
        """Hand over one event now."""
        actions = self.controller.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, face.SetTimer):
                self.timers.append((self.now + action.after_ms, action.token))
        return actions

    def wait(self, ms: float) -> list[face.Action]:
        """Let time pass, with the timers that fall due."""
        end, got = self.now + ms, []
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = due[0]
            got += self.give(face.TimerDue(due[1]))
        self.now = end
        return got

    def call(self, to: int = 0, kind: str = PLAIN, left: float = 3000.0, **more: object) -> list[face.Action]:
        """Offer a call whose caller waits for so long."""
        self.count += 1
        return self.give(
            face.CallOffered(f"c{self.count}", kind, self.now + left, destination=to, **more)  # type: ignore
        )

    def stands(self, sent: face.SetUp, taken: float, attempt: int = 0) -> list[face.Action]:
        """The set-up holds after so long (the clock is not moved)."""
        return self.give(face.CallStands(sent.call, sent.server, attempt, taken))

    def ends(self, sent: face.SetUp, outcome: str, attempt: int = 0, **more: object) -> list[face.Action]:
        """An attempt ends."""
        taken = more.pop("taken_ms", 30.0)
        return self.give(
            face.AttemptEnded(sent.call, sent.server, attempt, face.Outcome(outcome), taken, **more)  # type: ignore
        )

    def serve(self, seconds: float, per_s: float = 8.0, delay: float = 30.0, **more: object) -> int:
        """Offer calls evenly and answer each at once with the delay given; tells how many were sent."""
        sent = 0
        for i in range(int(seconds * per_s)):
            self.wait(1000.0 / per_s)
            for action in set_ups(self.call(to=i % max(1, len(self.controller.servers)), **more)):
                sent += 1
                self.stands(action, delay)
        return sent

    def press(self, server: str, delay: float, intervals: int = 6) -> None:
        """Let one server show this delay for some intervals, on top of a least of 20 ms."""
        held = self.controller.servers[server]
        for _ in range(intervals):
            self.controller._on_answer(self.now, held, 20.0, None)
            self.controller._on_answer(self.now, held, 20.0 + delay, None)
            self.wait(INTERVAL_MS)


def set_ups(actions: list[face.Action]) -> list[face.SetUp]:
    """The set-ups among some actions."""
    return [action for action in actions if isinstance(action, face.SetUp)]


def finals(actions: list[face.Action]) -> list[face.Action]:
    """The final answers among some actions."""
    return [action for action in actions if isinstance(action, face.Refuse | face.Fail)]
