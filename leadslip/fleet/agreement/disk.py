"""The disk of one voter: who it is, its term and vote, its log and snapshot. One file, SQLite through apsw.

Synchronous, each save one transaction that is on disk when `write` returns (`synchronous = FULL`); in a running proxy a
thread of its own uses it. Unlike the store of what may be measured again (store/base.py), a damaged file is not set
aside and begun anew: the voter stops by name. A voter without its disk is another voter, and operators decide on it.

An old copy that was put back can't be told from here: it holds a term, a vote and a log as whole as any. What tells is
`starts`, counted at each opening before anything is said: members remember the greatest that a voter has told them, and
one that comes with no greater one than that has been here before.
"""

from __future__ import annotations

import secrets

import apsw
import msgspec

from leadslip.fleet.agreement.raft import Entry, Kept, Save, Snapshot
from leadslip.store.base import StoreError, check_sum, whole

APPLICATION = 0x6C736C76  # "lslv", in the file's head
VERSION = 1
TABLES = """
CREATE TABLE voter (id TEXT NOT NULL, starts INTEGER NOT NULL, term INTEGER NOT NULL, vote TEXT NOT NULL);
CREATE TABLE entries (idx INTEGER PRIMARY KEY, body BLOB NOT NULL, sum BLOB NOT NULL);
CREATE TABLE snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), body BLOB NOT NULL, sum BLOB NOT NULL);
"""


class Disk:
    """One open file. Raises StoreError where it can't be used: the text says which file and why."""

    def __init__(self, path: str) -> None:
        self.path = path
        try:
            self.connection = self._open()
            self.id, self.starts, self.term, self.vote = self._voter()
        except apsw.Error as fault:
            raise StoreError(f"{path}: {fault}") from fault

    def _open(self) -> apsw.Connection:
        opened = apsw.Connection(self.path)
        try:
            version = opened.pragma("user_version")
            if (version or list(opened.execute("SELECT name FROM sqlite_schema"))) and (
                opened.pragma("application_id") != APPLICATION or version > VERSION
            ):
                raise StoreError(f"{self.path}: is no voter's file, or a newer version's")
            opened.pragma("journal_mode", "wal")
            opened.pragma("synchronous", "full")
            if version and opened.pragma("quick_check", 1) != "ok":
                raise StoreError(f"{self.path}: pages are damaged")
            if not version:
                with whole(opened):
                    opened.execute(TABLES)
                    opened.execute("INSERT INTO voter VALUES (?, 0, 0, '')", (secrets.token_hex(8),))
                    opened.pragma("application_id", APPLICATION)
                    opened.pragma("user_version", VERSION)
        except BaseException:
            opened.close()
            raise
        return opened

    def _voter(self) -> tuple[str, int, int, str]:
        """Who this is; this start is counted first."""
        with whole(self.connection):
            self.connection.execute("UPDATE voter SET starts = starts + 1")
        return next(iter(self.connection.execute("SELECT id, starts, term, vote FROM voter")))

    def kept(self, voters: list[str]) -> Kept:
        """What a voter starts with; `voters` where nothing was ever saved. Raises StoreError: damaged."""
        snapshot = Snapshot(0, 0, voters, b"")
        for body, told in self.connection.execute("SELECT body, sum FROM snapshot"):
            if check_sum("snapshot", body) != told:
                raise StoreError(f"{self.path}: the snapshot is damaged")
            snapshot = msgspec.msgpack.decode(body, type=Snapshot)
        entries: list[Entry] = []
        for index, body, told in self.connection.execute("SELECT idx, body, sum FROM entries ORDER BY idx"):
            if check_sum(str(index), body) != told or index != snapshot.index + len(entries) + 1:
                raise StoreError(f"{self.path}: entry {index} is damaged, or one before it is missing")
            entries.append(msgspec.msgpack.decode(body, type=Entry))
        return Kept(self.term, self.vote, snapshot, entries)

    def write(self, save: Save) -> None:
        """One save, whole or not at all, on disk when this returns. Raises apsw.Error: it is not."""
        connection = self.connection
        with whole(connection):
            connection.execute("UPDATE voter SET term = ?, vote = ?", (save.term, save.vote))
            if save.snapshot is not None:
                body = msgspec.msgpack.encode(save.snapshot)
                told = body, check_sum("snapshot", body)
                connection.execute("INSERT OR REPLACE INTO snapshot VALUES (1, ?, ?)", told)
                most = -1 if save.whole else save.snapshot.index
                connection.execute("DELETE FROM entries WHERE ? < 0 OR idx <= ?", (most, most))
            if save.entries:
                connection.execute("DELETE FROM entries WHERE idx > ?", (save.after,))
                rows = [(one.index, msgspec.msgpack.encode(one)) for one in save.entries]
                connection.executemany(
                    "INSERT INTO entries VALUES (?, ?, ?)",
                    [(index, body, check_sum(str(index), body)) for index, body in rows],
                )

    def close(self) -> None:
        self.connection.close()
