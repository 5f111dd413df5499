"""The ENUM front, wired into a proxy with an engine of its own."""

from __future__ import annotations

from leadslip.net import enum
from leadslip.parts.part import Part


class Enum(Part):
    """The front and its engine."""

    def start(self) -> None:
        node = self.node
        node.engines.append(
            enum.start(
                node.reactor,
                self.conf,
                node.conf.seed,
                node.deadlines,
                node.tally,
                node.log,
                node.watches["dns"],
            )
        )


PART = Enum
