"""The trunk-group part of a proxy: measures traffic, and reserves trunks in a filter ahead of the Controller."""

from __future__ import annotations

from leadslip.core import Observer
from leadslip.filters import Filter
from leadslip.parts.part import Part


class Trunks(Part):
    """Has the store's recorder measure traffic, and filters requests by trunk reservation."""

    reservation = None  # the Reservation filter; None if no group has had a reserve

    def add_observers(self, observers: dict[str, list[Observer]]) -> None:
        if self.conf.measure:
            self.node.parts["store"].recorder.observe_traffic(self.conf, [observers["sip"], observers["dns"]])

    def filters(self) -> list[Filter]:
        if not any(group.reserve for group in self.conf.groups):
            return []
        from leadslip.trunks.reservation import Reservation

        self.reservation = Reservation(self.conf.groups, self.reservation)
        return [self.reservation]


PART = Trunks
