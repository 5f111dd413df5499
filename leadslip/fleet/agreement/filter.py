"""Request filter that applies the rules in effect, agreed or fallback, which it looks up for each call. No I/O.

Calls barred by the document `bars` are refused here. When the rules have changed, the documents `held`, `classes` and
`reserve` are applied to the engine and the trunk reservation before the next call is decided. Rules are looked up by
the fleet's monotonic clock, not by the engine's Unix time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from leadslip import interface
from leadslip.deadlines import Clock
from leadslip.filters import Refusal
from leadslip.fleet.agreement.documents import BarredCalls, Classes, DrainedServers, ReservedLines
from leadslip.fleet.agreement.member import Agreement, Rules
from leadslip.request import Request

REPORT_INTERVAL_MS = 250.0  # between two records of unchanged rules in the event history (fleet/history.py)


class RulesTarget(Protocol):
    """What the rules are applied to: the proxy's engine and trunk reservation."""

    def settings(self) -> interface.Settings:
        """Returns the settings of the proxy's own file, which the agreed rules modify."""

    def apply_settings(self, settings: interface.Settings) -> None:
        """Replaces the engine's current settings."""

    def drain_servers(self, servers: frozenset[str]) -> None:
        """Takes these setup servers out of rotation and puts all others back."""

    def set_reserved_lines(self, lines: dict[str, int]) -> None:
        """Sets the number of lines reserved for the first class of calls, by trunk group."""


class AgreedRulesFilter:
    """Filter that refuses barred calls and updates the target when the rules in effect have changed.

    `report` writes a record to the event history of a fault-injection run; None outside such runs.
    """

    name = "agreed"

    def __init__(
        self, agreement: Agreement, clock: Clock, target: RulesTarget, report: Callable[..., None] | None
    ) -> None:
        self.agreement, self.clock, self.target, self.report = agreement, clock, target, report
        self.rules: Rules | None = None
        self.bars = BarredCalls()
        self.last_decision_ms = self.reported_ms = 0.0

    def admit(self, request: Request, now_ms: float) -> Refusal | None:
        """Applies the rules in effect if they have changed, then refuses the call if they bar it."""
        fleet_now_ms = self.clock.now_ms()
        rules = self.agreement.rules_in_effect(fleet_now_ms)
        if rules is not self.rules:
            self._apply_rules(rules, fleet_now_ms)
            # The engine has set the maximum of this request by the previous rules.
            request.max_attempts = self.target.settings().max_attempts
            if rules.max_attempts is not None:
                request.max_attempts = min(request.max_attempts, rules.max_attempts)
        elif self.report is not None and fleet_now_ms - self.reported_ms > REPORT_INTERVAL_MS:
            self._report_rules(rules, fleet_now_ms)
        self.last_decision_ms = fleet_now_ms
        bars = self.bars
        if request.destination in bars.destinations or request.number_called.startswith(tuple(bars.prefixes)):
            return Refusal()
        return None

    def _report_rules(self, rules: Rules, fleet_now_ms: float) -> None:
        """Records in the event history which rules are applied now, and when the last call before this was decided."""
        self.reported_ms = fleet_now_ms
        fields = {"revision": rules.revision, "agreed": rules.agreed, "mark": f"{rules.checksum:08x}"}
        self.report(do="acts", until_ms=self.last_decision_ms, **fields)

    def _apply_rules(self, rules: Rules, fleet_now_ms: float) -> None:
        """Applies these rules to this call and those after it."""
        if self.report is not None:
            self._report_rules(rules, fleet_now_ms)
        self.rules = rules
        documents = rules.documents
        self.bars = documents.get("bars", BarredCalls())
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
        self.target.drain_servers(frozenset(documents.get("held", DrainedServers()).servers))
        self.target.set_reserved_lines(documents.get("reserve", ReservedLines()).lines)

    def established(self, request: Request, now_ms: float) -> None:
        """Does nothing: the filter keeps no state per call."""

    def ended(self, request: Request, now_ms: float) -> None:
        """Does nothing: the filter keeps no state per call."""
