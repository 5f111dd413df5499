"""Thread that writes a voter's saves to its disk, in order, and reports each one once it is durable."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

import apsw

from leadslip.fleet.agreement.disk import Disk
from leadslip.fleet.agreement.raft import Save
from leadslip.store.base import StoreError


class Saver:
    """Writes queued saves in a thread of its own.

    `saved` is called with the number of each save once it is durable. The first write that fails ends the thread, and
    `failed` is called with the error: a voter that continued without its disk could contradict votes or
    acknowledgements that it has already sent. Both are called through `call_in_main`, which runs a function in the
    thread that drives the voter.
    """

    def __init__(
        self,
        disk: Disk,
        call_in_main: Callable[[Callable[[], None]], None],
        saved: Callable[[int], None],
        failed: Callable[[str], None],
    ) -> None:
        self.disk, self.call_in_main, self.saved, self.failed = disk, call_in_main, saved, failed
        self.queue: queue.SimpleQueue[Save | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name="agreement-disk", daemon=True)
        self.thread.start()

    def put(self, save: Save) -> None:
        """Queues a save; returns without waiting for the disk."""
        self.queue.put(save)

    def close(self, timeout_s: float) -> None:
        """Ends the thread after the queued saves are written; waits for that at most `timeout_s` seconds."""
        self.queue.put(None)
        self.thread.join(timeout_s)

    def _run(self) -> None:
        """Writes saves until `None` is queued or a write fails."""
        while (save := self.queue.get()) is not None:
            try:
                self.disk.write(save)
            except (apsw.Error, StoreError) as error:
                message = f"{type(error).__name__}: {error}"
                self.call_in_main(lambda message=message: self.failed(message))
                return
            self.call_in_main(lambda number=save.number: self.saved(number))
        self.disk.close()
