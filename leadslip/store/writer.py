"""Asynchronous writes from the reactor thread to the store: a bounded queue and one writer thread.

`Writer.put` never waits for the disk, since records must not delay calls. Records that the queue has no room for, or
that the disk rejects, are dropped and counted. The outcome of each batch is reported on the reactor thread.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Sequence

import apsw

from leadslip.logs import Log
from leadslip.metrics import Metrics
from leadslip.store.base import Item, Point, Store, StoreError

MAX_PENDING_RECORDS = 10_000  # records in the queue or being written; more are dropped
MAX_COMMIT_RECORDS = 1000  # a commit takes further batches until it has this many records
RETRY_S = 1.0  # delay after a disk error before the next attempt


class Batch:
    """Records that are committed together or not at all, or a task: a function that the writer thread calls.

    `task` gets the store and runs between two commits. `done` is called on the reactor thread with whether the
    batch was committed.
    """

    __slots__ = ("points", "items", "deleted", "on_done", "task")

    def __init__(
        self,
        points: Sequence[Point] = (),
        items: Sequence[Item] = (),
        deleted: Sequence[tuple[str, str]] = (),
        on_done: Callable[[bool], None] | None = None,
        task: Callable[[Store], None] | None = None,
    ) -> None:
        self.points, self.items, self.deleted, self.on_done, self.task = (
            points,
            items,
            deleted,
            on_done,
            task,
        )

    def __len__(self) -> int:
        return len(self.points) + len(self.items) + len(self.deleted) + (self.task is not None)


class Writer:
    """Owns the store and its writer thread; `call_from_thread` runs a function on the reactor thread."""

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
        self.pending_records = 0  # records without a reported outcome; used on the reactor thread only
        self.queue_changed = threading.Condition()
        self.closing = False
        self.failing = False  # whether the latest commit failed; used on the reactor thread only
        self.thread = threading.Thread(target=self._run, name="store", daemon=True)

    def start(self) -> None:
        """Starts the writer thread; the first batch opens the file."""
        self.thread.start()

    def put(self, batch: Batch) -> bool:
        """Queues a batch; returns False if it was dropped, because the queue is full or the writer closing."""
        if self.closing or self.pending_records + len(batch) > MAX_PENDING_RECORDS:
            self.metrics.add("store.dropped", len(batch))
            if batch.on_done is not None:
                batch.on_done(False)
            return False
        self.pending_records += len(batch)
        with self.queue_changed:
            self.queue.append(batch)
            self.queue_changed.notify()
        return True

    def close(self, timeout_s: float) -> bool:
        """Writes the queued batches and stops the thread; returns whether the thread ended within the time-out."""
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
                # The disk is full or read-only, or the file was removed, all of which may pass. These batches are
                # dropped, and the next ones open the file again.
                if store is not None:
                    self._close_store(store)
                    store = None
                self._report(batches, False, f"{type(error).__name__}: {error}")
                with self.queue_changed:
                    self.queue_changed.wait_for(lambda: self.closing, RETRY_S)
        if store is not None:
            self._close_store(store)

    def _next_batches(self) -> list[Batch]:
        """Removes the batches of the next commit from the queue, in order; a task is returned alone."""
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
        """Opens the store; reports a damaged file that was renamed."""
        store = self.open_store()
        if store.damaged_path is not None:
            damaged_path = store.damaged_path
            self.call_from_thread(lambda: self._on_damaged_file(damaged_path))
        return store

    def _write_batches(self, store: Store, batches: list[Batch]) -> None:
        """Runs a task, or commits batches; if the file is full, evicts the oldest points and tries once more."""
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
        """Schedules the report of an outcome on the reactor thread."""
        self.call_from_thread(lambda: self._on_written(batches, written, error))

    # On the reactor thread.

    def _on_damaged_file(self, damaged_path: str) -> None:
        """Counts and logs that a damaged file was renamed to this path."""
        self.metrics.add("store.set_aside")
        self.log("store.set_aside", level="error", file=damaged_path)

    def _on_written(self, batches: list[Batch], written: bool, error: str) -> None:
        """Counts and logs the outcome of batches, and reports it to those who queued them."""
        size = sum(len(batch) for batch in batches)
        self.pending_records -= size
        self.metrics.add("store.written" if written else "store.dropped", size)
        if written == self.failing:  # logged only when the state changes
            self.failing = not written
            if written:
                self.log("store.writes_again")
            else:
                # Records are lost; calls are not affected.
                self.log("store.drops", level="error", fault=error)
        for batch in batches:
            if batch.on_done is not None:
                batch.on_done(written)
