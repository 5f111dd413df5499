"""Trunk groups, wired: the record of traffic, and the reservation ahead of the decisions."""

from __future__ import annotations

from leadslip.core import Watcher
from leadslip.filters import Filter
from leadslip.parts.part import Part


class Trunks(Part):
    """The record of traffic, in the store, and the reservation ahead of the decisions."""

    reservation = None

    def watch(self, watches: dict[str, list[Watcher]]) -> None:
        if self.conf.measure:
            self.node.parts["store"].keeper.measure(self.conf, [watches["sip"], watches["dns"]])

    def filters(self) -> list[Filter]:
        if not any(group.reserve for group in self.conf.groups):
            return []
        from leadslip.trunks.reservation import Reservation

        self.reservation = Reservation(self.conf.groups, self.reservation)
        return [self.reservation]


PART = Trunks
