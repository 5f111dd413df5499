"""Wires ENUM look-ups, with an engine of their own, into a running proxy."""

from __future__ import annotations

from leadslip.net import enum
from leadslip.parts.part import Part


class Enum(Part):
    """Starts the DNS server for ENUM look-ups and adds its engine to those of the proxy."""

    def start(self) -> None:
        node = self.node
        node.engines.append(
            enum.start(
                node.reactor,
                self.conf,
                node.conf.seed,
                node.deadlines,
                node.metrics,
                node.log,
                node.observers["dns"],
            )
        )


PART = Enum
