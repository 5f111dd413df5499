"""Persistent state of one Raft voter: its id, term, vote, log and snapshot, in one SQLite file (through apsw).

All calls are synchronous; `write` is one transaction, durable when it returns (`synchronous = FULL`). A running proxy
calls it from a thread of its own (saver.py). store/base.py replaces a damaged file by an empty one, as its data can be
collected again. Here a damaged file stays in place and opening or loading it raises StoreError. A voter whose file was
lost or deleted gets a new id and counts as a new voter: operators decide whether to add it to the list of voters.

An old copy of the file that was restored from a backup can't be detected from the file itself, as its term, vote and
log are consistent. It is detected by `starts`, a counter that is incremented each time the file is opened, before any
message is sent. Other members remember the values that a voter announced; if the counter of a starting voter is not
greater than all of them, its file is an older copy (member.py).
"""

from __future__ import annotations

import secrets

import apsw
import msgspec

from leadslip.fleet.agreement.raft import Entry, PersistentState, Save, Snapshot
from leadslip.store.base import StoreError, check_sum, transaction

APPLICATION_ID = 0x6C736C76  # "lslv", the application_id in the file header
SCHEMA_VERSION = 1
# `sum` is the checksum of `body`; `one` limits the snapshot table to a single row.
SCHEMA = """
CREATE TABLE voter (id TEXT NOT NULL, starts INTEGER NOT NULL, term INTEGER NOT NULL, vote TEXT NOT NULL);
CREATE TABLE entries (idx INTEGER PRIMARY KEY, body BLOB NOT NULL, sum BLOB NOT NULL);
CREATE TABLE snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), body BLOB NOT NULL, sum BLOB NOT NULL);
"""


class Disk:
    """The open file of a voter. Opening raises StoreError with the path and the cause if the file can't be used."""

    def __init__(self, path: str) -> None:
        self.path = path
        try:
            self.connection = self._open()
            self.id, self.starts, self.term, self.vote = self._count_start()
        except apsw.Error as error:
            raise StoreError(f"{path}: {error}") from error

    def _open(self) -> apsw.Connection:
        connection = apsw.Connection(self.path)
        try:
            version = connection.pragma("user_version")
            if (version or list(connection.execute("SELECT name FROM sqlite_schema"))) and (
                connection.pragma("application_id") != APPLICATION_ID or version > SCHEMA_VERSION
            ):
                raise StoreError(
                    f"{self.path}: not a voter file, or written by a newer version of the program: its schema version "
                    f"is {version}, supported are versions up to {SCHEMA_VERSION}"
                )
            connection.pragma("journal_mode", "wal")
            connection.pragma("synchronous", "full")
            if version and connection.pragma("quick_check", 1) != "ok":
                raise StoreError(f"{self.path}: SQLite quick_check found damaged pages")
            if not version:
                with transaction(connection):
                    connection.execute(SCHEMA)
                    connection.execute("INSERT INTO voter VALUES (?, 0, 0, '')", (secrets.token_hex(8),))
                    connection.pragma("application_id", APPLICATION_ID)
                    connection.pragma("user_version", SCHEMA_VERSION)
        except BaseException:
            connection.close()
            raise
        return connection

    def _count_start(self) -> tuple[str, int, int, str]:
        """Increments the start counter, then returns the voter's id, starts, term and vote."""
        with transaction(self.connection):
            self.connection.execute("UPDATE voter SET starts = starts + 1")
        return next(iter(self.connection.execute("SELECT id, starts, term, vote FROM voter")))

    def load(self, voters: list[str]) -> PersistentState:
        """Returns the saved state; without a saved snapshot, its list of voters is `voters`.

        Raises StoreError if a checksum does not match or an entry is missing.
        """
        snapshot = Snapshot(0, 0, voters, b"")
        for body, checksum in self.connection.execute("SELECT body, sum FROM snapshot"):
            if check_sum("snapshot", body) != checksum:
                raise StoreError(f"{self.path}: the snapshot is damaged (checksum mismatch)")
            snapshot = msgspec.msgpack.decode(body, type=Snapshot)
        entries: list[Entry] = []
        for index, body, checksum in self.connection.execute(
            "SELECT idx, body, sum FROM entries ORDER BY idx"
        ):
            if check_sum(str(index), body) != checksum or index != snapshot.index + len(entries) + 1:
                raise StoreError(f"{self.path}: entry {index} is damaged, or one before it is missing")
            entries.append(msgspec.msgpack.decode(body, type=Entry))
        return PersistentState(self.term, self.vote, snapshot, entries)

    def write(self, save: Save) -> None:
        """Writes one save atomically; it is durable on return. If it raises apsw.Error, the file is unchanged."""
        connection = self.connection
        with transaction(connection):
            connection.execute("UPDATE voter SET term = ?, vote = ?", (save.term, save.vote))
            if save.snapshot is not None:
                body = msgspec.msgpack.encode(save.snapshot)
                row = body, check_sum("snapshot", body)
                connection.execute("INSERT OR REPLACE INTO snapshot VALUES (1, ?, ?)", row)
                last_dropped = -1 if save.replaces_log else save.snapshot.index  # -1: all entries
                connection.execute(
                    "DELETE FROM entries WHERE ? < 0 OR idx <= ?", (last_dropped, last_dropped)
                )
            if save.entries:
                connection.execute("DELETE FROM entries WHERE idx > ?", (save.after,))
                rows = [(entry.index, msgspec.msgpack.encode(entry)) for entry in save.entries]
                connection.executemany(
                    "INSERT INTO entries VALUES (?, ?, ?)",
                    [(index, body, check_sum(str(index), body)) for index, body in rows],
                )

    def close(self) -> None:
        """Closes the file."""
        self.connection.close()
