"""The embedded store: one SQLite file, accessed through apsw. Synchronous; in a proxy only the writer thread uses it.

Holds two kinds of records: points of time series (space, span, start, key, run -> value) and items of state (space,
key -> value, expiry). A space separates the data of one feature from that of others. Each record has a checksum, so
that a damaged one is reported and skipped while the others remain readable. A file that is not a database, or whose
pages are damaged, is renamed and a new one created. Committed data survives any end of the process; after a power
failure the last commits may be missing, but never part of one (`synchronous = NORMAL`).
"""

from __future__ import annotations

import hashlib
import os
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass

import apsw

from leadslip.errors import OperatorError

APPLICATION_ID = 0x6C736C70  # "lslp", the application_id in the file header
BUSY_TIMEOUT_MS = 2000  # wait for a lock, as a reader in another process may briefly hold one
PAGE_BYTES = 4096
CHECKSUM_BYTES = 8
FILE_SUFFIXES = ("", "-wal", "-shm")  # the database, its write-ahead log and that log's index
# The step at index n migrates a file from version n to n + 1.
MIGRATIONS = (
    """
    CREATE TABLE series (
        space TEXT NOT NULL, span_s INTEGER NOT NULL, start_s INTEGER NOT NULL, key TEXT NOT NULL,
        run INTEGER NOT NULL, value BLOB NOT NULL, sum BLOB NOT NULL,
        PRIMARY KEY (space, span_s, start_s, key, run)
    ) WITHOUT ROWID;
    """,
    """
    CREATE TABLE state (
        space TEXT NOT NULL, key TEXT NOT NULL, value BLOB NOT NULL, sum BLOB NOT NULL,
        until_ms REAL, PRIMARY KEY (space, key)
    ) WITHOUT ROWID;
    """,
)


class StoreError(OperatorError):
    """A store can't be used; the error message names the file and the reason."""

    code = "store.unusable"
    action = (
        "Specify another file, or restore this one from a backup; "
        "the proxy keeps running without the data it would store."
    )


@dataclass(frozen=True, slots=True)
class Point:
    """One record of a time series."""

    space: str
    span_s: int  # length of time that the value covers
    start_s: int  # Unix time
    key: str
    run: int  # identifies the process that wrote it, as two may cover the same span
    value: bytes

    def checksum(self) -> bytes:
        return check_sum(self.space, self.key, f"{self.span_s} {self.start_s} {self.run}", self.value)


@dataclass(frozen=True, slots=True)
class Item:
    """One record of state, valid until a Unix time in ms, or without expiry."""

    space: str
    key: str
    value: bytes
    until_ms: float | None = None

    def checksum(self) -> bytes:
        return check_sum(self.space, self.key, repr(self.until_ms), self.value)


def check_sum(*parts: str | bytes) -> bytes:
    """Returns a checksum of the parts of a record; their lengths count, so that no byte moves between parts."""
    digest = hashlib.blake2b(digest_size=CHECKSUM_BYTES)
    for part in parts:
        encoded = part.encode() if isinstance(part, str) else part
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return digest.digest()


@contextmanager
def transaction(connection: apsw.Connection) -> Iterator[None]:
    """Runs the body in a transaction, and rolls back if it raises, unless SQLite already has, as on a full disk."""
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield
        connection.execute("COMMIT")
    except BaseException:
        if connection.in_transaction:
            connection.execute("ROLLBACK")
        raise


class Store:
    """An open store. Opening raises StoreError if the file cannot be used; later disk errors raise apsw.Error.

    Writes that would make the file larger than `max_bytes` raise apsw.FullError; `evict_oldest` makes room.
    """

    def __init__(self, path: str, max_bytes: int = 64 << 20, read_only: bool = False) -> None:
        self.path, self.max_bytes = path, max_bytes
        self.damaged_path: str | None = None  # new path of a damaged file, if there was one
        self.damaged_records: list[str] = []  # space, key and start of records skipped when reading
        if read_only and not os.path.exists(path):
            raise StoreError(f"{path}: there is no store at this path")
        try:
            self.connection = self._open(read_only)
        except (apsw.NotADBError, apsw.CorruptError) as error:
            if read_only:
                raise StoreError(f"{path}: {error}") from error
            self.damaged_path = self._rename_damaged()
            self.connection = self._open(read_only)
        except apsw.Error as error:
            raise StoreError(f"{path}: {error}") from error

    def _open(self, read_only: bool) -> apsw.Connection:
        """Opens and checks the file; unless read-only, creates or migrates it."""
        if read_only:
            connection = apsw.Connection(self.path, flags=apsw.SQLITE_OPEN_READONLY)
        else:
            connection = apsw.Connection(self.path)
        try:
            connection.set_busy_timeout(BUSY_TIMEOUT_MS)
            version = connection.pragma("user_version")
            if version and connection.pragma("application_id") != APPLICATION_ID:
                raise StoreError(f"{self.path}: is a database of another program (by its application_id)")
            if version > len(MIGRATIONS):
                raise StoreError(
                    f"{self.path}: was written by a newer version ({version}; at most {len(MIGRATIONS)})"
                )
            if not read_only:
                connection.pragma("journal_mode", "wal")
                connection.pragma("synchronous", "normal")
                connection.pragma("journal_size_limit", 4 << 20)
                connection.pragma("max_page_count", max(64, self.max_bytes // PAGE_BYTES))
                if version and connection.pragma("quick_check", 1) != "ok":
                    raise apsw.CorruptError("pages are damaged")
                self._migrate(connection, version)
            elif version < len(MIGRATIONS):
                raise StoreError(
                    f"{self.path}: is of version {version}; starting a proxy migrates it to version {len(MIGRATIONS)}"
                )
        except BaseException:
            connection.close()
            raise
        return connection

    def _migrate(self, connection: apsw.Connection, version: int) -> None:
        """Creates or migrates the tables up to the current version, each step in one transaction."""
        if not version and list(connection.execute("SELECT name FROM sqlite_schema")):
            raise StoreError(f"{self.path}: is a database of another program (it has tables, but no version)")
        for step in range(version, len(MIGRATIONS)):
            with transaction(connection):
                connection.execute(MIGRATIONS[step])
                connection.pragma("application_id", APPLICATION_ID)
                connection.pragma("user_version", step + 1)

    def _rename_damaged(self) -> str:
        """Renames a damaged file and its write-ahead log, so that they can be examined; returns the new path."""
        target = base_name = f"{self.path}.damaged-{int(time.time())}"
        number = 0
        while os.path.exists(target):
            number += 1
            target = f"{base_name}-{number}"
        for suffix in FILE_SUFFIXES:
            with suppress(FileNotFoundError):
                os.replace(self.path + suffix, target + suffix)
        return target

    def close(self) -> None:
        """Closes the store, which checkpoints the write-ahead log."""
        self.connection.close()

    # Writing. Each call is one transaction, committed when it returns.

    def write(
        self,
        points: Iterable[Point] = (),
        items: Iterable[Item] = (),
        deleted: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Inserts or replaces points and items, and deletes the items with the given (space, key)."""
        with transaction(self.connection):
            self._insert_points(points)
            self.connection.executemany(
                "INSERT OR REPLACE INTO state VALUES (?,?,?,?,?)",
                [(i.space, i.key, i.value, i.checksum(), i.until_ms) for i in items],
            )
            self.connection.executemany("DELETE FROM state WHERE space = ? AND key = ?", list(deleted))

    def _insert_points(self, points: Iterable[Point]) -> None:
        self.connection.executemany(
            "INSERT OR REPLACE INTO series VALUES (?,?,?,?,?,?,?)",
            [(p.space, p.span_s, p.start_s, p.key, p.run, p.value, p.checksum()) for p in points],
        )

    def replace(self, old: Iterable[Point], new: Iterable[Point]) -> None:
        """Replaces old points by new ones in one transaction, as when intervals are rolled up."""
        with transaction(self.connection):
            self.connection.executemany(
                "DELETE FROM series WHERE space=? AND span_s=? AND start_s=? AND key=? AND run=?",
                [(p.space, p.span_s, p.start_s, p.key, p.run) for p in old],
            )
            self._insert_points(new)

    def delete_before(self, space: str, span_s: int, start_s: int) -> int:
        """Deletes the points of a space and span that start before a time; returns their number."""
        self.connection.execute(
            "DELETE FROM series WHERE space = ? AND span_s = ? AND start_s < ?", (space, span_s, start_s)
        )
        return self.connection.changes()

    def delete_expired(self, now_ms: float) -> int:
        """Deletes the expired items; returns their number."""
        self.connection.execute("DELETE FROM state WHERE until_ms <= ?", (now_ms,))
        return self.connection.changes()

    def evict_oldest(self) -> int:
        """Deletes the oldest points while the file is over 90% of its size limit; returns their number.

        Prevents a full file from rejecting new records. Each step deletes a twentieth of the time that the points
        cover. Items are never evicted.
        """
        deleted = 0
        while self.used_bytes() > 0.9 * self.max_bytes:
            oldest = self.connection.execute("SELECT min(start_s) FROM series").get
            if oldest is None:
                break
            newest = self.connection.execute("SELECT max(start_s) FROM series").get
            before_s = oldest + max(1, (newest - oldest) // 20)
            self.connection.execute("DELETE FROM series WHERE start_s < ?", (before_s,))
            deleted += self.connection.changes()
        return deleted

    def used_bytes(self) -> int:
        """Returns the bytes of the pages in use, without those that deletes have freed for reuse."""
        pages = self.connection.pragma("page_count") - self.connection.pragma("freelist_count")
        return pages * self.connection.pragma("page_size")

    # Reading.

    def points(
        self, space: str, span_s: int | None = None, since_s: int = 0, before_s: int = 1 << 62
    ) -> Iterator[Point]:
        """Yields points of a space, of one span or all, in chronological order; damaged ones are skipped and listed."""
        rows = self.connection.execute(
            "SELECT space, span_s, start_s, key, run, value, sum FROM series"
            " WHERE space = ?1 AND (?2 IS NULL OR span_s = ?2) AND start_s >= ?3 AND start_s < ?4"
            " ORDER BY start_s, span_s, key, run",
            (space, span_s, since_s, before_s),
        )
        for *name, value, checksum in rows:
            point = Point(*name, value)
            if point.checksum() == checksum:
                yield point
            else:
                self.damaged_records.append(f"{space} {point.key} at {point.start_s}")

    def items(self, space: str, now_ms: float) -> Iterator[Item]:
        """Yields the unexpired items of a space; damaged ones are skipped and listed in `damaged_records`."""
        rows = self.connection.execute(
            "SELECT space, key, value, until_ms, sum FROM state WHERE space = ? ORDER BY key", (space,)
        )
        for *name, until_ms, checksum in rows:
            item = Item(*name, until_ms)
            if item.checksum() != checksum:
                self.damaged_records.append(f"{space} {item.key}")
            elif until_ms is None or until_ms > now_ms:
                yield item
