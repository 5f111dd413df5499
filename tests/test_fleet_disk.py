"""The file of a voter: a write that fails changes nothing; damaged files and those of other programs give an error."""

import os

import apsw
import pytest

from leadslip.fleet.agreement.disk import Disk
from leadslip.fleet.agreement.raft import Entry, Save, Snapshot
from leadslip.store.base import StoreError


def entry(index, term=1, data=b"x"):
    return Entry(index, term, 1, data)


SAVES = [
    Save(1, 1, "me"),
    Save(2, 1, "me", 0, (entry(1), entry(2), entry(3))),
    Save(3, 2, "", 2, (entry(3, 2, b"other"), entry(4, 2))),
    Save(4, 2, "you", 4, (), Snapshot(3, 2, ["me", "you"], b"all of it")),
    Save(5, 3, "you", 0, (), Snapshot(9, 3, ["you"], b"another"), replaces_log=True),
    Save(6, 3, "you", 9, (entry(10, 3),)),
]


def test_a_voter_loads_what_it_saved_and_counts_its_starts(tmp_path):
    path = str(tmp_path / "voter")
    disk = Disk(path)
    id_ = disk.id
    assert disk.load(["a"]).snapshot.voters == ["a"] and disk.starts == 1
    for save in SAVES[:3]:
        disk.write(save)
    disk.close()
    reopened_disk = Disk(path)
    assert (reopened_disk.id, reopened_disk.starts) == (id_, 2)
    state = reopened_disk.load(["a"])
    assert (state.term, state.vote, state.entries) == (
        2,
        "",
        [entry(1), entry(2), entry(3, 2, b"other"), entry(4, 2)],
    )
    for save in SAVES[3:]:
        reopened_disk.write(save)
    reopened_disk.close()
    state = Disk(path).load([])
    assert state.snapshot == SAVES[4].snapshot and state.entries == [entry(10, 3)] and state.vote == "you"


def test_a_write_that_fails_at_any_statement_changes_nothing(tmp_path):
    """Guards against saves that are written in part.

    Each SQL statement of each save fails once, as on a full disk; afterwards the file contains the state before that
    save.
    """
    failure_points = 0
    for save_index in range(1, len(SAVES)):
        failing_statement = 0
        while True:
            path = str(tmp_path / f"{save_index}-{failing_statement}")
            disk = Disk(path)
            for save in SAVES[:save_index]:
                disk.write(save)
            remaining = [failing_statement]

            def fail_at_statement(*arguments, remaining=remaining):
                remaining[0] -= 1
                if remaining[0] < 0:
                    raise apsw.FullError("injected by the test")
                return True

            disk.connection.exec_trace = fail_at_statement
            try:
                disk.write(SAVES[save_index])
                failed = False
            except apsw.FullError:
                failed = True
            disk.connection.exec_trace = None
            disk.close()
            reopened_disk = Disk(path)
            state = reopened_disk.load([])
            reopened_disk.close()
            if not failed:
                break
            failure_points += 1
            reference = Disk(str(tmp_path / f"{save_index}-{failing_statement}-good"))
            for save in SAVES[:save_index]:
                reference.write(save)
            assert state == reopened(reference).load([])
            failing_statement += 1
    assert failure_points > 15


def reopened(disk):
    disk.close()
    return Disk(disk.path)


def test_damaged_files_and_files_of_other_programs_give_an_error(tmp_path):
    path = str(tmp_path / "voter")
    disk = Disk(path)
    for save in SAVES[:3]:
        disk.write(save)
    disk.connection.execute("UPDATE entries SET body = x'00' WHERE idx = 2")
    with pytest.raises(StoreError, match="entry 2 is damaged"):
        disk.load([])
    disk.connection.execute("DELETE FROM entries WHERE idx = 2")
    with pytest.raises(StoreError, match="entry 3 is damaged, or one before it is missing"):
        disk.load([])
    disk.close()
    other_path = str(tmp_path / "other")
    connection = apsw.Connection(other_path)
    connection.execute("CREATE TABLE theirs (x)")
    connection.close()
    with pytest.raises(StoreError, match="not a voter file"):
        Disk(other_path)
    with open(path, "r+b") as file:
        file.write(os.urandom(64))
    with pytest.raises(StoreError):
        Disk(path)
    with pytest.raises(StoreError):
        Disk(str(tmp_path / "nowhere" / "voter"))
