"""The one way from the reactor's thread to the disk: a bounded queue and one thread that writes.

`put` never waits. What does not fit, or what the disk will not take, is dropped and counted, since history must
delay no call; what has been committed is acknowledged on the reactor's thread.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Sequence

import apsw

from leadslip.checks import Tally
from leadslip.logs import Log
from leadslip.store.base import Item, Point, Store, StoreError

MOST_WAITING = 10_000  # records in the queue
MOST_BATCH = 1000  # records of one commit
RETRY_S = 1.0  # after a fault of the disk, before it is tried again


class Batch:
    """What is written together: all of it is committed before `done` is told True, or none is and it is False."""

    __slots__ = ("points", "items", "gone", "done", "task")

    def __init__(
        self,
        points: Sequence[Point] = (),
        items: Sequence[Item] = (),
        gone: Sequence[tuple[str, str]] = (),
        done: Callable[[bool], None] | None = None,
        task: Callable[[Store], None] | None = None,
    ) -> None:
        self.points, self.items, self.gone, self.done, self.task = points, items, gone, done, task

    def __len__(self) -> int:
        return len(self.points) + len(self.items) + len(self.gone) + (self.task is not None)


class Writer:
    """Owns the store and its thread. `call` runs a function on the reactor's thread, soon."""

    def __init__(
        self,
        open_store: Callable[[], Store],
        call: Callable[[Callable[[], None]], object],
        tally: Tally,
        log: Log,
    ) -> None:
        self.open_store, self.call, self.tally, self.log = open_store, call, tally, log
        self.waiting: deque[Batch] = deque()
        self.count = 0  # records put and not told of yet; of the reactor's thread alone
        self.there = threading.Condition()
        self.closing = False
        self.faulty = False
        self.thread = threading.Thread(target=self._run, name="store", daemon=True)

    def start(self) -> None:
        """Begin to write; the file is opened by the first batch."""
        self.thread.start()

    def put(self, batch: Batch) -> bool:
        """Queue a batch; False if there is no room, and then it is dropped and counted."""
        if self.closing or self.count + len(batch) > MOST_WAITING:
            self.tally.add("store.dropped", len(batch))
            if batch.done is not None:
                batch.done(False)
            return False
        self.count += len(batch)
        with self.there:
            self.waiting.append(batch)
            self.there.notify()
        return True

    def close(self, seconds: float) -> bool:
        """Write what waits and end, within so long; whether that was enough."""
        with self.there:
            self.closing = True
            self.there.notify()
        self.thread.join(seconds)
        return not self.thread.is_alive()

    # On the writer's thread.

    def _run(self) -> None:
        store: Store | None = None
        while True:
            with self.there:
                while not self.waiting and not self.closing:
                    self.there.wait()
                batches = self._take()
            if not batches:
                break
            try:
                if store is None:
                    store = self._opened()
                self._write(store, batches)
                self._tell(batches, True, "")
            except (apsw.Error, StoreError, OSError) as fault:
                # A full or read-only disk, or a file that has gone: opened anew, as it may come back.
                if store is not None:
                    self._shut(store)
                    store = None
                self._tell(batches, False, f"{type(fault).__name__}: {fault}")
                with self.there:
                    self.there.wait_for(lambda: self.closing, RETRY_S)
        if store is not None:
            self._shut(store)

    def _take(self) -> list[Batch]:
        """The batches of the next commit, in order; a task goes by itself."""
        batches: list[Batch] = []
        size = 0
        while self.waiting and size < MOST_BATCH:
            if self.waiting[0].task is not None and batches:
                break
            batches.append(self.waiting.popleft())
            size += len(batches[-1])
            if batches[-1].task is not None:
                break
        return batches

    def _opened(self) -> Store:
        store = self.open_store()
        if store.set_aside is not None:
            aside = store.set_aside
            self.call(lambda: self._set_aside(aside))
        return store

    def _write(self, store: Store, batches: list[Batch]) -> None:
        if batches[0].task is not None:
            batches[0].task(store)
            return
        try:
            self._commit(store, batches)
        except apsw.FullError:
            if not store.make_room():
                raise
            self._commit(store, batches)

    def _commit(self, store: Store, batches: list[Batch]) -> None:
        store.write(
            [point for batch in batches for point in batch.points],
            [item for batch in batches for item in batch.items],
            [name for batch in batches for name in batch.gone],
        )

    def _shut(self, store: Store) -> None:
        try:
            store.close()
        except apsw.Error as fault:
            told = str(fault)
            self.call(lambda: self.log("store.close_failed", level="warning", fault=told))

    def _tell(self, batches: list[Batch], written: bool, fault: str) -> None:
        self.call(lambda: self._told(batches, written, fault))

    # On the reactor's thread again.

    def _set_aside(self, aside: str) -> None:
        self.tally.add("store.set_aside")
        self.log("store.set_aside", level="error", file=aside)

    def _told(self, batches: list[Batch], written: bool, fault: str) -> None:
        size = sum(len(batch) for batch in batches)
        self.count -= size
        self.tally.add("store.written" if written else "store.dropped", size)
        if written == self.faulty:  # once for each time that it changes
            self.faulty = not written
            if written:
                self.log("store.writes_again")
            else:
                self.log("store.drops", level="error", fault=fault)  # history goes; no call waits for it
        for batch in batches:
            if batch.done is not None:
                batch.done(written)
