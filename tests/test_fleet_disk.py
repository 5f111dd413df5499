"""The disk of a voter: whole or not at all, whatever step of a write fails; damage and strangers are named."""

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
    Save(5, 3, "you", 0, (), Snapshot(9, 3, ["you"], b"another"), whole=True),
    Save(6, 3, "you", 9, (entry(10, 3),)),
]


def test_a_voter_finds_what_it_saved_and_counts_its_starts(tmp_path):
    path = str(tmp_path / "voter")
    disk = Disk(path)
    id_ = disk.id
    assert disk.kept(["a"]).snapshot.voters == ["a"] and disk.starts == 1
    for save in SAVES[:3]:
        disk.write(save)
    disk.close()
    again = Disk(path)
    assert (again.id, again.starts) == (id_, 2)
    kept = again.kept(["a"])
    assert (kept.term, kept.vote, kept.entries) == (
        2,
        "",
        [entry(1), entry(2), entry(3, 2, b"other"), entry(4, 2)],
    )
    for save in SAVES[3:]:
        again.write(save)
    again.close()
    last = Disk(path).kept([])
    assert last.snapshot == SAVES[4].snapshot and last.entries == [entry(10, 3)] and last.vote == "you"


def test_a_write_that_fails_at_any_step_has_not_happened(tmp_path):
    """Each statement of each save fails once; what is found afterwards is what was there before."""
    points = 0
    for upto in range(1, len(SAVES)):
        step = 0
        while True:
            path = str(tmp_path / f"{upto}-{step}")
            disk = Disk(path)
            for save in SAVES[:upto]:
                disk.write(save)
            left = [step]

            def fail(*told, left=left):
                left[0] -= 1
                if left[0] < 0:
                    raise apsw.FullError("on purpose")
                return True

            disk.connection.exec_trace = fail
            try:
                disk.write(SAVES[upto])
                failed = False
            except apsw.FullError:
                failed = True
            disk.connection.exec_trace = None
            disk.close()
            found = Disk(path)
            kept = found.kept([])
            found.close()
            if not failed:
                break
            points += 1
            other = Disk(str(tmp_path / f"{upto}-{step}-good"))
            for save in SAVES[:upto]:
                other.write(save)
            assert kept == reopened(other).kept([])
            step += 1
    assert points > 15


def reopened(disk):
    disk.close()
    return Disk(disk.path)


def test_damage_and_files_of_others_are_named(tmp_path):
    path = str(tmp_path / "voter")
    disk = Disk(path)
    for save in SAVES[:3]:
        disk.write(save)
    disk.connection.execute("UPDATE entries SET body = x'00' WHERE idx = 2")
    with pytest.raises(StoreError, match="entry 2 is damaged"):
        disk.kept([])
    disk.connection.execute("DELETE FROM entries WHERE idx = 2")
    with pytest.raises(StoreError, match="entry 3 is damaged, or one before it is missing"):
        disk.kept([])
    disk.close()
    other = str(tmp_path / "other")
    made = apsw.Connection(other)
    made.execute("CREATE TABLE theirs (x)")
    made.close()
    with pytest.raises(StoreError, match="no voter's file"):
        Disk(other)
    with open(path, "r+b") as file:
        file.write(os.urandom(64))
    with pytest.raises(StoreError):
        Disk(path)
    with pytest.raises(StoreError):
        Disk(str(tmp_path / "nowhere" / "voter"))
