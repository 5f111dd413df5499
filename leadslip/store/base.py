"""The store itself: one file, SQLite through apsw. Synchronous; in a running proxy the writer's thread alone uses it.

Two kinds of data: series (space, span, start, key, run -> value) and state (space, key -> value, until). Values are
bytes with a check sum of their own, so that a damaged record is named and left out while the rest holds. A file
that is no store, or whose pages are damaged, is set aside by name and a new one begun. What was committed
survives the end of the process however it comes; after a loss of power the last commits may be missing, never a
part of one (`synchronous = NORMAL`).
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

APPLICATION = 0x6C736C70  # "lslp", in the file's head
BUSY_MS = 2000  # a reader of another process may hold the file for a moment
PAGE = 4096
CHECK_BYTES = 8
SUFFIXES = ("", "-wal", "-shm")
# Each step brings a file from the version that is its place in the list to the next one.
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
    """A store can't be used: the text says which file and why."""

    code = "store.unusable"
    action = (
        "Name another file, or put this one right from a copy; the proxy goes on without what it would keep."
    )


@dataclass(frozen=True, slots=True)
class Point:
    """One record of a series."""

    space: str
    span_s: int
    start_s: int
    key: str
    run: int
    value: bytes

    def sum(self) -> bytes:
        return check_sum(self.space, self.key, f"{self.span_s} {self.start_s} {self.run}", self.value)


@dataclass(frozen=True, slots=True)
class Item:
    """One record of state; it counts until a Unix time in ms, or for good."""

    space: str
    key: str
    value: bytes
    until_ms: float | None = None

    def sum(self) -> bytes:
        return check_sum(self.space, self.key, repr(self.until_ms), self.value)


def check_sum(*parts: str | bytes) -> bytes:
    """A check sum of a record's name and value."""
    held = hashlib.blake2b(digest_size=CHECK_BYTES)
    for part in parts:
        told = part.encode() if isinstance(part, str) else part
        held.update(len(told).to_bytes(4, "big") + told)
    return held.digest()


@contextmanager
def whole(connection: apsw.Connection) -> Iterator[None]:
    """One transaction. A full disk has SQLite end it by itself, and then there is none to roll back."""
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield
        connection.execute("COMMIT")
    except BaseException:
        if connection.in_transaction:
            connection.execute("ROLLBACK")
        raise


class Store:
    """One open store. Errors of the disk come as apsw.Error; a file that can't be one comes as StoreError."""

    def __init__(self, path: str, most_bytes: int = 64 << 20, read_only: bool = False) -> None:
        self.path, self.most_bytes = path, most_bytes
        self.set_aside: str | None = None  # where a damaged file was put at this start
        self.damaged: list[str] = []  # records left out by reading, by name
        if read_only and not os.path.exists(path):
            raise StoreError(f"{path}: there is no store")
        try:
            self.connection = self._open(read_only)
        except (apsw.NotADBError, apsw.CorruptError) as fault:
            if read_only:
                raise StoreError(f"{path}: {fault}") from fault
            self.set_aside = self._put_aside()
            self.connection = self._open(read_only)
        except apsw.Error as fault:
            raise StoreError(f"{path}: {fault}") from fault

    def _open(self, read_only: bool) -> apsw.Connection:
        if read_only:
            opened = apsw.Connection(self.path, flags=apsw.SQLITE_OPEN_READONLY)
        else:
            opened = apsw.Connection(self.path)
        try:
            opened.set_busy_timeout(BUSY_MS)
            version = opened.pragma("user_version")
            if version and opened.pragma("application_id") != APPLICATION:
                raise StoreError(f"{self.path}: is a store of another program")
            if version > len(MIGRATIONS):
                raise StoreError(f"{self.path}: was written by a newer version ({version})")
            if not read_only:
                opened.pragma("journal_mode", "wal")
                opened.pragma("synchronous", "normal")
                opened.pragma("journal_size_limit", 4 << 20)
                opened.pragma("max_page_count", max(64, self.most_bytes // PAGE))
                if version and opened.pragma("quick_check", 1) != "ok":
                    raise apsw.CorruptError("pages are damaged")
                self._migrate(opened, version)
            elif version < len(MIGRATIONS):
                raise StoreError(
                    f"{self.path}: is of version {version}; a proxy that starts brings it up to date"
                )
        except BaseException:
            opened.close()
            raise
        return opened

    def _migrate(self, opened: apsw.Connection, version: int) -> None:
        """Bring the file to this version, each step whole or not at all."""
        if not version and list(opened.execute("SELECT name FROM sqlite_schema")):
            raise StoreError(f"{self.path}: is a store of another program")
        for step in range(version, len(MIGRATIONS)):
            with whole(opened):
                opened.execute(MIGRATIONS[step])
                opened.pragma("application_id", APPLICATION)
                opened.pragma("user_version", step + 1)

    def _put_aside(self) -> str:
        """Rename a damaged file, with its log: it may still be worth a look."""
        aside = first = f"{self.path}.damaged-{int(time.time())}"
        number = 0
        while os.path.exists(aside):
            number += 1
            aside = f"{first}-{number}"
        for suffix in SUFFIXES:
            with suppress(FileNotFoundError):
                os.replace(self.path + suffix, aside + suffix)
        return aside

    def close(self) -> None:
        """Close it; the log is taken into the file."""
        self.connection.close()

    # Writing. All of a call is committed when it returns, or none of it.

    def write(
        self, points: Iterable[Point] = (), items: Iterable[Item] = (), gone: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Put points and items, over those of the same name; forget the items whose (space, key) is gone."""
        with whole(self.connection):
            self._put(points)
            self.connection.executemany(
                "INSERT OR REPLACE INTO state VALUES (?,?,?,?,?)",
                [(i.space, i.key, i.value, i.sum(), i.until_ms) for i in items],
            )
            self.connection.executemany("DELETE FROM state WHERE space = ? AND key = ?", list(gone))

    def _put(self, points: Iterable[Point]) -> None:
        self.connection.executemany(
            "INSERT OR REPLACE INTO series VALUES (?,?,?,?,?,?,?)",
            [(p.space, p.span_s, p.start_s, p.key, p.run, p.value, p.sum()) for p in points],
        )

    def replace(self, old: Iterable[Point], new: Iterable[Point]) -> None:
        """Put new points for old ones at once, as when intervals are rolled up."""
        with whole(self.connection):
            self.connection.executemany(
                "DELETE FROM series WHERE space=? AND span_s=? AND start_s=? AND key=? AND run=?",
                [(p.space, p.span_s, p.start_s, p.key, p.run) for p in old],
            )
            self._put(new)

    def forget_before(self, space: str, span_s: int, start_s: int) -> int:
        """Forget the points of a span that began earlier; tells how many."""
        self.connection.execute(
            "DELETE FROM series WHERE space = ? AND span_s = ? AND start_s < ?", (space, span_s, start_s)
        )
        return self.connection.changes()

    def forget_expired(self, now_ms: float) -> int:
        """Forget the state whose time is over; tells how many."""
        self.connection.execute("DELETE FROM state WHERE until_ms <= ?", (now_ms,))
        return self.connection.changes()

    def make_room(self) -> int:
        """Forget the oldest points while the file is near its bound; tells how many.

        Guards against a full file that takes no new record: history makes room, state stays.
        """
        forgotten = 0
        while self.used_bytes() > 0.9 * self.most_bytes:
            oldest = self.connection.execute("SELECT min(start_s) FROM series").get
            if oldest is None:
                break
            newest = self.connection.execute("SELECT max(start_s) FROM series").get
            before = oldest + max(1, (newest - oldest) // 20)
            self.connection.execute("DELETE FROM series WHERE start_s < ?", (before,))
            forgotten += self.connection.changes()
        return forgotten

    def used_bytes(self) -> int:
        """What is in use of the file; pages given up by deletes are used again."""
        pages = self.connection.pragma("page_count") - self.connection.pragma("freelist_count")
        return pages * self.connection.pragma("page_size")

    # Reading.

    def points(
        self, space: str, span_s: int | None = None, since_s: int = 0, before_s: int = 1 << 62
    ) -> Iterator[Point]:
        """The points of a space in order of time; damaged ones are named in `damaged` and left out."""
        told = self.connection.execute(
            "SELECT space, span_s, start_s, key, run, value, sum FROM series"
            " WHERE space = ?1 AND (?2 IS NULL OR span_s = ?2) AND start_s >= ?3 AND start_s < ?4"
            " ORDER BY start_s, span_s, key, run",
            (space, span_s, since_s, before_s),
        )
        for *name, value, kept in told:
            point = Point(*name, value)
            if point.sum() == kept:
                yield point
            else:
                self.damaged.append(f"{space} {point.key} at {point.start_s}")

    def items(self, space: str, now_ms: float) -> Iterator[Item]:
        """The state of a space that still counts; damaged records are named in `damaged` and left out."""
        told = self.connection.execute(
            "SELECT space, key, value, until_ms, sum FROM state WHERE space = ? ORDER BY key", (space,)
        )
        for *name, until_ms, kept in told:
            item = Item(*name, until_ms)
            if item.sum() != kept:
                self.damaged.append(f"{space} {item.key}")
            elif until_ms is None or until_ms > now_ms:
                yield item
