"""The embedded store, wired into a proxy."""

from __future__ import annotations

from leadslip.core import Watcher
from leadslip.keeper import Keeper
from leadslip.parts.part import Part


class Store(Part):
    """The keeper of what the other parts want kept."""

    def watch(self, watches: dict[str, list[Watcher]]) -> None:
        node = self.node
        self.keeper = Keeper(node.reactor, self.conf, node.deadlines, node.tally, node.log)

    def start(self) -> None:
        self.keeper.start()

    def close(self) -> None:
        self.keeper.close()


PART = Store
