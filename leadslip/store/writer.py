"""Asynchronous writes from the reactor thread to the store: a bounded queue and one writer thread.

`put` never blocks. Records beyond the queue's capacity, or that the disk rejects, are dropped and counted, since
history must not delay calls; commits are acknowledged on the reactor thread.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Sequence

import apsw

from leadslip.logs import Log
from leadslip.metrics import Metrics
from leadslip.store.base import Item, Point, Store, StoreError

MAX_PENDING_RECORDS = 10_000  # records queued or being written
MAX_COMMIT_RECORDS = 1000  # records after which no further batch joins a commit
RETRY_S = 1.0  # delay after a disk error before the next attempt


class Batch:
    """Records that are committed together or not at all; `done` is called with whether they were committed."""

    __slots__ = ("points", "items", "deleted", "done", "task")

    def __init__(
        self,
        points: Sequence[Point] = (),
        items: Sequence[Item] = (),
        deleted: Sequence[tuple[str, str]] = (),
        done: Callable[[bool], None] | None = None,
        task: Callable[[Store], None] | None = None,
    ) -> None:
        self.points, self.items, self.deleted, self.done, self.task = points, items, deleted, done, task

    def __len__(self) -> int:
        return len(self.points) + len(self.items) + len(self.deleted) + (self.task is not None)


class Writer:
    """Owns the store and the writer thread; `call_from_thread` schedules a function on the reactor thread."""

    def __init__(
        self,
        open_store: Callable[[], Store],
        call_from_thread: Callable[[Callable[[], None]], object],
        metrics: Metrics,
        log: Log,
    ) -> None:
        self.open_store, self.call_from_thread, self.metrics, self.log = (
            open_store,
            call_from_thread,
            metrics,
            log,
        )
        self.queue: deque[Batch] = deque()
        self.pending_records = 0  # records not acknowledged yet; used on the reactor thread only
        self.queue_changed = threading.Condition()
        self.closing = False
        self.failing = False
        self.thread = threading.Thread(target=self._run, name="store", daemon=True)

    def start(self) -> None:
        """Starts the writer thread; the first batch opens the file."""
        self.thread.start()

    def put(self, batch: Batch) -> bool:
        """Queues a batch; returns False if the queue is full or closing: the batch is then dropped and counted."""
        if self.closing or self.pending_records + len(batch) > MAX_PENDING_RECORDS:
            self.metrics.add("store.dropped", len(batch))
            if batch.done is not None:
                batch.done(False)
            return False
        self.pending_records += len(batch)
        with self.queue_changed:
            self.queue.append(batch)
            self.queue_changed.notify()
        return True

    def close(self, timeout_s: float) -> bool:
        """Writes the queued batches and stops the thread; returns whether that finished within the time-out."""
        with self.queue_changed:
            self.closing = True
            self.queue_changed.notify()
        self.thread.join(timeout_s)
        return not self.thread.is_alive()

    # On the writer thread.

    def _run(self) -> None:
        store: Store | None = None
        while True:
            with self.queue_changed:
                while not self.queue and not self.closing:
                    self.queue_changed.wait()
                batches = self._next_batches()
            if not batches:
                break
            try:
                if store is None:
                    store = self._open()
                self._write_batches(store, batches)
                self._report(batches, True, "")
            except (apsw.Error, StoreError, OSError) as error:
                # The disk is full or read-only, or the file is gone: reopened for the next batch, as it may recover.
                if store is not None:
                    self._close_store(store)
                    store = None
                self._report(batches, False, f"{type(error).__name__}: {error}")
                with self.queue_changed:
                    self.queue_changed.wait_for(lambda: self.closing, RETRY_S)
        if store is not None:
            self._close_store(store)

    def _next_batches(self) -> list[Batch]:
        """Returns the batches of the next commit, in order; a task is run on its own."""
        batches: list[Batch] = []
        size = 0
        while self.queue and size < MAX_COMMIT_RECORDS:
            if self.queue[0].task is not None and batches:
                break
            batches.append(self.queue.popleft())
            size += len(batches[-1])
            if batches[-1].task is not None:
                break
        return batches

    def _open(self) -> Store:
        store = self.open_store()
        if store.damaged_path is not None:
            damaged_path = store.damaged_path
            self.call_from_thread(lambda: self._on_damaged_file(damaged_path))
        return store

    def _write_batches(self, store: Store, batches: list[Batch]) -> None:
        if batches[0].task is not None:
            batches[0].task(store)
            return
        try:
            self._commit(store, batches)
        except apsw.FullError:
            if not store.evict_oldest():
                raise
            self._commit(store, batches)

    def _commit(self, store: Store, batches: list[Batch]) -> None:
        store.write(
            [point for batch in batches for point in batch.points],
            [item for batch in batches for item in batch.items],
            [name for batch in batches for name in batch.deleted],
        )

    def _close_store(self, store: Store) -> None:
        try:
            store.close()
        except apsw.Error as error:
            message = str(error)
            self.call_from_thread(lambda: self.log("store.close_failed", level="warning", fault=message))

    def _report(self, batches: list[Batch], written: bool, error: str) -> None:
        self.call_from_thread(lambda: self._on_written(batches, written, error))

    # On the reactor thread.

    def _on_damaged_file(self, damaged_path: str) -> None:
        self.metrics.add("store.set_aside")
        self.log("store.set_aside", level="error", file=damaged_path)

    def _on_written(self, batches: list[Batch], written: bool, error: str) -> None:
        size = sum(len(batch) for batch in batches)
        self.pending_records -= size
        self.metrics.add("store.written" if written else "store.dropped", size)
        if written == self.failing:  # logged only when the state changes
            self.failing = not written
            if written:
                self.log("store.writes_again")
            else:
                # Only history is lost; calls are not affected.
                self.log("store.drops", level="error", fault=error)
        for batch in batches:
            if batch.done is not None:
                batch.done(written)
