"""Request filter that applies the agreed rules: the rules in effect are read anew for each call. Performs no I/O.

`bars` refuses calls here; `held`, `classes` and `reserve` are passed to the engine when the rules in effect have
changed, before the first call under the new rules is decided. The clock is the fleet's.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from leadslip import interface
from leadslip.deadlines import Clock
from leadslip.filters import Refusal
from leadslip.fleet.agreement.documents import Bars, Classes, Held, Reserve
from leadslip.fleet.agreement.member import Agreement, Rules
from leadslip.request import Request

REPORT_INTERVAL_MS = 250.0  # between two reports of unchanged rules to a history


class RulesTarget(Protocol):
    """What the rules are applied to: the proxy's engine and trunk reservation, with the settings of its own file."""

    def settings(self) -> interface.Settings:
        """The settings of the proxy's own file."""

    def apply_settings(self, settings: interface.Settings) -> None:
        """Applies these settings in place of the current ones."""

    def drain_servers(self, servers: frozenset[str]) -> None:
        """Takes exactly these setup servers out of rotation."""

    def set_reserved_lines(self, lines: dict[str, int]) -> None:
        """Reserves lines for the first class, by trunk group."""


class AgreedRules:
    """Filter that refuses barred calls and keeps the target's settings in line with the rules in effect."""

    name = "agreed"

    def __init__(
        self, agreement: Agreement, clock: Clock, target: RulesTarget, report: Callable[..., None] | None
    ) -> None:
        self.agreement, self.clock, self.target, self.report = agreement, clock, target, report
        self.rules: Rules | None = None
        self.bars = Bars()
        self.last_decision_ms = self.reported_ms = 0.0

    def admit(self, request: Request, now_ms: float) -> Refusal | None:
        """Refuses a call that the rules in effect bar; applies changed rules first."""
        fleet_now_ms = self.clock.now_ms()
        rules = self.agreement.rules_in_effect(fleet_now_ms)
        if rules is not self.rules:
            self._apply_rules(rules, fleet_now_ms)
            request.max_attempts = self.target.settings().max_attempts
            if rules.max_attempts is not None:
                request.max_attempts = min(request.max_attempts, rules.max_attempts)
        elif self.report is not None and fleet_now_ms - self.reported_ms > REPORT_INTERVAL_MS:
            self._report_rules(rules, fleet_now_ms)
        self.last_decision_ms = fleet_now_ms
        bars = self.bars
        if request.destination in bars.destinations or request.number.startswith(tuple(bars.prefixes)):
            return Refusal()
        return None

    def _report_rules(self, rules: Rules, fleet_now_ms: float) -> None:
        """Reports to a history which rules are applied, and until when the previous ones were."""
        self.reported_ms = fleet_now_ms
        fields = {"revision": rules.revision, "agreed": rules.agreed, "mark": f"{rules.mark:08x}"}
        self.report(do="acts", until_ms=self.last_decision_ms, **fields)

    def _apply_rules(self, rules: Rules, fleet_now_ms: float) -> None:
        """Applies these rules from this call on."""
        if self.report is not None:
            self._report_rules(rules, fleet_now_ms)
        self.rules = rules
        documents = rules.documents
        self.bars = documents.get("bars", Bars())
        settings = self.target.settings()
        classes = documents.get("classes")
        if isinstance(classes, Classes):
            agreed_classes = {agreed_class.name: agreed_class for agreed_class in classes.classes}
            merged_classes = tuple(
                replace(
                    call_class,
                    worth=agreed_classes[call_class.name].worth,
                    late_worth=agreed_classes[call_class.name].late_worth,
                    aim_ms=agreed_classes[call_class.name].aim_ms,
                    deadline_ms=agreed_classes[call_class.name].deadline_ms,
                )
                if call_class.name in agreed_classes
                else call_class
                for call_class in settings.classes
            )
            settings = replace(settings, classes=merged_classes)
        if rules.max_attempts is not None:
            settings = replace(settings, max_attempts=min(settings.max_attempts, rules.max_attempts))
        self.target.apply_settings(settings)
        self.target.drain_servers(frozenset(documents.get("held", Held()).servers))
        self.target.set_reserved_lines(documents.get("reserve", Reserve()).lines)

    def established(self, request: Request, now_ms: float) -> None:
        """Does nothing: the filter keeps no state per call."""

    def ended(self, request: Request, now_ms: float) -> None:
        """Does nothing: the filter keeps no state per call."""
