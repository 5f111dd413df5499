"""The one thread that uses a voter's disk in a running proxy: saves in the order given, each told once it is there."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

import apsw

from leadslip.fleet.agreement.disk import Disk
from leadslip.fleet.agreement.raft import Save
from leadslip.store.base import StoreError


class Saver:
    """Writes what it is given; `call` brings a function to the thread that decides.

    What can't be written stops it: a voter that goes on without its disk could take back what it has said.
    """

    def __init__(
        self,
        disk: Disk,
        call: Callable[[Callable[[], None]], None],
        saved: Callable[[int], None],
        failed: Callable[[str], None],
    ) -> None:
        self.disk, self.call, self.saved, self.failed = disk, call, saved, failed
        self.waiting: queue.SimpleQueue[Save | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name="agreement-disk", daemon=True)
        self.thread.start()

    def put(self, save: Save) -> None:
        self.waiting.put(save)

    def close(self, seconds: float) -> None:
        """Write what waits and end, within so long."""
        self.waiting.put(None)
        self.thread.join(seconds)

    def _run(self) -> None:
        while (save := self.waiting.get()) is not None:
            try:
                self.disk.write(save)
            except (apsw.Error, StoreError) as fault:
                told = f"{type(fault).__name__}: {fault}"
                self.call(lambda told=told: self.failed(told))
                return
            self.call(lambda number=save.number: self.saved(number))
        self.disk.close()
