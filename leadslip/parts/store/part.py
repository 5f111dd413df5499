"""The store part of a proxy: runs the recorder that writes to the embedded store."""

from __future__ import annotations

from leadslip.core import Watcher
from leadslip.keeper import Keeper
from leadslip.parts.part import Part


class Store(Part):
    """Owns the recorder that stores the data of the other parts."""

    def watch(self, watches: dict[str, list[Watcher]]) -> None:
        node = self.node
        self.keeper = Keeper(node.reactor, self.conf, node.deadlines, node.tally, node.log)

    def start(self) -> None:
        self.keeper.start()

    def close(self) -> None:
        self.keeper.close()


PART = Store
