"""Persistent state of one Raft voter: its id, term, vote, log and snapshot, in one SQLite file (through apsw).

All calls are synchronous; `write` is one transaction, durable when it returns (`synchronous = FULL`). A running proxy
calls it from a thread of its own (saver.py). Unlike the store of data that can be measured again (store/base.py), a
damaged file is not set aside and replaced by an empty one: the voter stops with an error. A voter without its disk
counts as a new voter, and operators decide whether to admit it.

A restored old copy of the file can't be detected here: its term, vote and log are as consistent as any. It is detected
by `starts`, a counter that is incremented on each opening before any message is sent: members remember the greatest
value that a voter announced, and a voter whose counter is not greater than that runs on an older copy.
"""

from __future__ import annotations

import secrets

import apsw
import msgspec

from leadslip.fleet.agreement.raft import Entry, PersistentState, Save, Snapshot
from leadslip.store.base import StoreError, check_sum, transaction

APPLICATION_ID = 0x6C736C76  # "lslv", in the file header
SCHEMA_VERSION = 1
SCHEMA = """
CREATE TABLE voter (id TEXT NOT NULL, starts INTEGER NOT NULL, term INTEGER NOT NULL, vote TEXT NOT NULL);
CREATE TABLE entries (idx INTEGER PRIMARY KEY, body BLOB NOT NULL, sum BLOB NOT NULL);
CREATE TABLE snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), body BLOB NOT NULL, sum BLOB NOT NULL);
"""


class Disk:
    """The open file of a voter. Raises StoreError with the path and the cause if the file can't be used."""

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
                    f"{self.path}: not a voter file, or of a newer program: schema {version}, known {SCHEMA_VERSION}"
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
        """Returns the persistent state; `voters` is its list of voters where no snapshot was saved.

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
        """Writes one save atomically; it is durable on return. Raises apsw.Error if nothing was written."""
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
