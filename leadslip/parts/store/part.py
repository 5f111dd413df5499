"""The store part of a proxy: runs the recorder that writes to the embedded store."""

from __future__ import annotations

from leadslip.core import Observer
from leadslip.parts.part import Part
from leadslip.recorder import Recorder


class Store(Part):
    """Owns the recorder, which measures traffic for the trunk-group part and writes it to the store."""

    def add_observers(self, observers: dict[str, list[Observer]]) -> None:
        node = self.node
        self.recorder = Recorder(node.reactor, self.conf, node.deadlines, node.metrics, node.log)

    def start(self) -> None:
        self.recorder.start()

    def close(self) -> None:
        self.recorder.close()


PART = Store
