"""The agreed rules ahead of the decisions: what is in force is looked at in each call, at its moment. No I/O.

`bars` refuses; `held`, `classes` and `reserve` are put to the engine when what is in force has changed, before the call
that finds it changed is decided. The clock is the fleet's.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from leadslip import interface as face
from leadslip.deadlines import Clock
from leadslip.filters import Refused
from leadslip.fleet.agreement.documents import Bars, Classes, Held, Reserve
from leadslip.fleet.agreement.member import Agreement, Rules
from leadslip.request import Request

TELL_MS = 250.0  # a history tells of what is still acted on again after so long


class Applies(Protocol):
    """What the rules are put to: the proxy's engine and its reservation, with its own file's settings."""

    def settings(self) -> face.Settings:
        """As in the proxy's own file."""

    def adopt(self, settings: face.Settings) -> None: ...

    def hold(self, servers: frozenset[str]) -> None: ...

    def keep(self, lines: dict[str, int]) -> None: ...


class AgreedRules:
    """The filter."""

    name = "agreed"

    def __init__(
        self, agreement: Agreement, clock: Clock, to: Applies, tell: Callable[..., None] | None
    ) -> None:
        self.agreement, self.clock, self.to, self.tell = agreement, clock, to, tell
        self.rules: Rules | None = None
        self.bars = Bars()
        self.used_ms = self.told_ms = 0.0

    def admit(self, request: Request, now_ms: float) -> Refused | None:
        at_ms = self.clock.now_ms()
        rules = self.agreement.in_force(at_ms)
        if rules is not self.rules:
            self._change(rules, at_ms)
            request.most_tries = self.to.settings().max_attempts
            if rules.most_tries is not None:
                request.most_tries = min(request.most_tries, rules.most_tries)
        elif self.tell is not None and at_ms - self.told_ms > TELL_MS:
            self._tell(rules, at_ms)
        self.used_ms = at_ms
        bars = self.bars
        if request.destination in bars.destinations or request.number.startswith(tuple(bars.prefixes)):
            return Refused()
        return None

    def _tell(self, rules: Rules, at_ms: float) -> None:
        """For a drill's history: what is acted on, and until when what was before."""
        self.told_ms = at_ms
        told = {"revision": rules.revision, "agreed": rules.agreed, "mark": f"{rules.mark:08x}"}
        self.tell(do="acts", until_ms=self.used_ms, **told)

    def _change(self, rules: Rules, at_ms: float) -> None:
        """Act on these from this call on."""
        if self.tell is not None:
            self._tell(rules, at_ms)
        self.rules = rules
        documents = rules.documents
        self.bars = documents.get("bars", Bars())
        settings = self.to.settings()
        classes = documents.get("classes")
        if isinstance(classes, Classes):
            told = {one.name: one for one in classes.classes}
            held = tuple(
                replace(
                    kind,
                    worth=told[kind.name].worth,
                    late_worth=told[kind.name].late_worth,
                    aim_ms=told[kind.name].aim_ms,
                    deadline_ms=told[kind.name].deadline_ms,
                )
                if kind.name in told
                else kind
                for kind in settings.classes
            )
            settings = replace(settings, classes=held)
        if rules.most_tries is not None:
            settings = replace(settings, max_attempts=min(settings.max_attempts, rules.most_tries))
        self.to.adopt(settings)
        self.to.hold(frozenset(documents.get("held", Held()).servers))
        self.to.keep(documents.get("reserve", Reserve()).lines)

    def stood(self, request: Request, now_ms: float) -> None:
        """Nothing is held of a call."""

    def ended(self, request: Request, now_ms: float) -> None:
        """Nothing is held of a call."""
