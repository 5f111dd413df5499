"""The store: what it keeps through kills, damage, full and read-only disks, and new versions."""

import os
import signal
import subprocess
import sys
import threading

import apsw
import pytest

from leadslip.checks import Tally
from leadslip.logs import silent
from leadslip.store import base
from leadslip.store.base import Item, Point, Store, StoreError
from leadslip.store.writer import MOST_WAITING, Batch, Writer
from leadslip.trunks import record
from leadslip.trunks.traffic import Interval
from tests.standins import PATIENCE_S, ROOT, Caller, Program, SetupServer, wait_for

DAY_S = 86_400


def point(i, space="t", value=b"v"):
    return Point(space, 60, i * 60, "north/plain", 1, value)


@pytest.fixture
def path(tmp_path):
    return str(tmp_path / "leadslip.db")


def test_what_is_written_is_read_again_in_order(path):
    store = Store(path)
    store.write([point(2), point(1, value=b"old")], [Item("gaps", "b", b"2", 50.0), Item("gaps", "a", b"1")])
    store.write([point(1, value=b"new")], [], [("gaps", "absent")])
    store.close()
    store = Store(path, read_only=True)
    assert [(p.start_s, p.value) for p in store.points("t")] == [(60, b"new"), (120, b"v")]
    assert [p.start_s for p in store.points("t", 60, 61, 121)] == [120] and not list(store.points("t", 900))
    assert [i.key for i in store.items("gaps", 49.0)] == ["a", "b"]
    assert [i.key for i in store.items("gaps", 50.0)] == ["a"]
    store.close()
    store = Store(path)
    assert store.forget_expired(60.0) == 1 and store.forget_before("t", 60, 120) == 1
    store.write(gone=[("gaps", "a")])
    assert not list(store.items("gaps", 0.0)) and len(list(store.points("t"))) == 1
    store.close()


def test_a_damaged_record_is_named_and_the_rest_holds(path):
    store = Store(path)
    store.write([point(i) for i in range(3)], [Item("gaps", "x", b"1"), Item("gaps", "y", b"2")])
    store.connection.execute("UPDATE series SET value = x'00' WHERE start_s = 60")
    store.connection.execute("UPDATE state SET until_ms = 9e9 WHERE key = 'x'")
    assert [p.start_s for p in store.points("t")] == [0, 120]
    assert [i.key for i in store.items("gaps", 0.0)] == ["y"]
    assert store.damaged == ["t north/plain at 60", "gaps x"]
    store.close()


@pytest.mark.parametrize("damage", ["noise", "pages"])
def test_a_damaged_file_is_set_aside_by_name_and_a_new_one_begun(path, damage):
    store = Store(path)
    store.write([point(i, value=bytes(3000)) for i in range(200)])
    store.close()
    with open(path, "r+b") as file:
        if damage == "noise":
            file.write(b"noise" * 50)
        else:
            for page in range(2, 40):
                file.seek(page * base.PAGE)
                file.write(b"\xff" * base.PAGE)
    with pytest.raises(StoreError) if damage == "noise" else _fine():
        Store(path, read_only=True).close()
    store = Store(path)
    assert store.set_aside is not None and os.path.getsize(store.set_aside) > 0
    store.write([point(1)])
    assert len(list(store.points("t"))) == 1
    store.close()


class _fine:  # noqa: N801
    def __enter__(self):
        return self

    def __exit__(self, *_):
        return False


def test_a_file_of_an_older_version_is_brought_up_to_date_and_a_newer_or_strange_one_refused(path):
    old = apsw.Connection(path)
    old.execute(base.MIGRATIONS[0])
    old.pragma("application_id", base.APPLICATION)
    old.pragma("user_version", 1)
    kept = point(7)
    old.execute(
        "INSERT INTO series VALUES (?,?,?,?,?,?,?)",
        (kept.space, kept.span_s, kept.start_s, kept.key, kept.run, kept.value, kept.sum()),
    )
    old.close()
    with pytest.raises(StoreError, match="is of version 1"):
        Store(path, read_only=True)
    store = Store(path)
    store.write([], [Item("gaps", "a", b"1")])
    assert [p.start_s for p in store.points("t")] == [420] and list(store.items("gaps", 0.0))
    store.connection.pragma("user_version", 99)
    store.close()
    with pytest.raises(StoreError, match="newer version"):
        Store(path)
    strange = path + ".other"
    other = apsw.Connection(strange)
    other.execute("CREATE TABLE theirs (x)")
    other.close()
    with pytest.raises(StoreError, match="another program"):
        Store(strange)
    with pytest.raises(StoreError, match="there is no store"):
        Store(path + ".absent", read_only=True)


def interval(start_s, group="north", stood=3, covered_s=60.0):
    return Interval(
        start_s, 60, group, "plain", covered_s, fresh=4, stood=stood, refused=1, erlang_s=90.0, peak=2
    )


def test_history_is_rolled_up_as_it_ages_and_no_call_is_lost(path):
    store = Store(path)
    told = [interval(i * 60) for i in range(3 * 24 * 60)]
    store.write([record.point_of(one, run=1) for one in told])
    # A restart in the first quarter: another run covers the rest of a minute.
    store.write([record.point_of(interval(0, covered_s=20.0), run=2)])

    def sums():
        found = list(record.intervals(store))
        return sum(one.stood for one in found), sum(one.erlang_s for one in found)

    whole = sums()
    now_s = 3 * DAY_S
    assert record.keep(store, now_s, 1, 2) > 0 and sums() == whole
    spans = {one.span_s for one in record.intervals(store)}
    assert spans == {60, 900, 3600}
    assert not [p for p in store.points(record.SPACE, 60) if p.start_s < now_s - DAY_S]
    assert record.keep(store, now_s, 1, 2) == 0 and sums() == whole, "again changes nothing"
    late = interval(30 * 60)  # a late one of a span that is rolled up already
    store.write([record.point_of(late, run=3)])
    record.keep(store, now_s, 1, 2)
    assert sums()[0] == whole[0] + 3
    first = next(record.intervals(store))
    assert first.covered_s == 3600.0, "two runs of one minute do not cover more than the minute"
    store.connection.execute("UPDATE series SET value = x'00' WHERE start_s = 0")
    assert sum(1 for _ in record.intervals(store)) and store.damaged == ["traffic north/plain at 0"]
    store.close()


def test_a_full_store_forgets_its_oldest_history_and_keeps_its_state(path):
    store = Store(path, most_bytes=1 << 20)
    store.write([], [Item("gaps", "a", b"1")])
    for i in range(40):
        store.write([point(i * 100 + j, value=bytes(400)) for j in range(100)])
        store.make_room()
    starts = [p.start_s for p in store.points("t")]
    assert starts[0] > 0 and starts[-1] == 3999 * 60 and len(list(store.items("gaps", 0.0))) == 1
    assert os.path.getsize(path) <= 1 << 20
    store.close()


# The writer.


class Loop:
    """Runs on this thread what the writer's thread hands over."""

    def __init__(self):
        self.there, self.work = threading.Condition(), []

    def call(self, work):
        with self.there:
            self.work.append(work)
            self.there.notify()

    def run(self, until):
        while not until():
            with self.there:
                assert self.there.wait_for(lambda: self.work, PATIENCE_S)
                work, self.work = self.work, []
            for one in work:
                one()


def writer(path, loop, tally, log=silent, **more):
    made = Writer(lambda: Store(path, **more), loop.call, tally, log)
    made.start()
    return made


def test_the_writer_acknowledges_what_is_committed_and_drops_what_does_not_fit(path):
    loop, tally, done = Loop(), Tally(), []
    made = writer(path, loop, tally)
    for i in range(50):
        assert made.put(Batch([point(i)], done=done.append))
    loop.run(lambda: len(done) == 50)
    assert all(done) and made.count == 0 and tally.counts["store.written"] == 50
    reader = Store(path, read_only=True)
    assert len(list(reader.points("t"))) == 50
    reader.close()
    held = threading.Event()
    made.put(Batch(task=lambda store: held.wait(PATIENCE_S)))
    assert made.put(Batch([point(1)] * (MOST_WAITING - 1)))
    assert not made.put(Batch([point(1)], done=done.append)) and done[-1] is False
    assert tally.counts["store.dropped"] == 1
    held.set()
    assert made.close(PATIENCE_S) and not made.put(Batch([point(1)]))


def test_a_disk_that_takes_nothing_drops_history_and_says_so_once_each_way(path, tmp_path):
    loop, tally, done, said = Loop(), Tally(), [], []
    os.mkdir(path)  # where the file should be: nothing can be written
    made = writer(path, loop, tally, lambda event, **fields: said.append(event))
    made.put(Batch([point(1)], done=done.append))
    loop.run(lambda: done)
    assert done == [False] and tally.counts["store.dropped"] == 1
    os.rmdir(path)
    made.put(Batch([point(2)], done=done.append))
    loop.run(lambda: len(done) == 2)
    assert done == [False, True] and said == ["store.drops", "store.writes_again"]
    assert made.close(PATIENCE_S)


def test_a_full_disk_makes_room_and_a_read_only_one_drops(path):
    loop, tally, done = Loop(), Tally(), []
    made = writer(path, loop, tally, most_bytes=1 << 20)
    for i in range(40):
        made.put(Batch([point(i * 50 + j, value=bytes(900)) for j in range(50)], done=done.append))
        loop.run(lambda count=i + 1: len(done) == count)
    assert all(done), "the oldest went, the newest are there"
    assert made.close(PATIENCE_S)
    loop.run(lambda: True)
    done.clear()
    made = Writer(lambda: Store(path, read_only=True), loop.call, tally, silent)
    made.start()
    made.put(Batch([point(1)], done=done.append))
    loop.run(lambda: done)
    assert done == [False]
    made.close(PATIENCE_S)


WRITES = """
import sys
from leadslip.store.base import Point, Store
store = Store(sys.argv[1])
i = int(sys.argv[2])
while True:
    store.write([Point("t", 60, (i + j) * 60, "k", 1, bytes(200)) for j in range(5)])
    i += 5
    print(i, flush=True)
"""


@pytest.mark.parametrize("kills", [25])
def test_what_was_acknowledged_outlives_kill_9(path, kills):
    acknowledged = 0
    for i in range(kills):
        command = [sys.executable, "-c", WRITES, path, str(acknowledged)]
        writing = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        for _ in range(3 + i % 7):
            acknowledged = int(writing.stdout.readline())
        writing.send_signal(signal.SIGKILL)
        for line in writing.communicate()[0].splitlines():
            acknowledged = int(line) if line.strip() else acknowledged
        store = Store(path)
        starts = [p.start_s // 60 for p in store.points("t")]
        assert store.set_aside is None and not store.damaged
        assert starts == list(range(len(starts))) and len(starts) >= acknowledged
        acknowledged = len(starts)
        store.close()


# The proxy with its store.


@pytest.fixture
def stored(tmp_path, monkeypatch):
    def begin(servers, *more, reserve=""):
        (tmp_path / "store.toml").write_text(f'enabled = true\npath = "{tmp_path}/leadslip.db"\n')
        group = f'[[group]]\nname = "north"\ndestinations = [0]\ntrunks = 50\n{reserve}'
        (tmp_path / "trunks.toml").write_text(f"enabled = true\ninterval_s = 1\n{group}")
        (tmp_path / "logs.toml").write_text("level = 'debug'\n")
        for name in ("store", "trunks", "logs"):
            monkeypatch.setenv(f"LEADSLIP_{name.upper()}", str(tmp_path / f"{name}.toml"))
        return Program(tmp_path, {f"s{i}": server.address for i, server in enumerate(servers)})

    return begin


def kept_of(program):
    """What the program said that it has kept: (run, start) of intervals."""
    told = [
        dict(part.split("=") for part in line.split()[2:]) for line in program.log if " trunks.kept" in line
    ]
    return {(int(one["run"]), int(one["start_s"])) for one in told}


@pytest.mark.parametrize("part", range(5))
def test_history_outlives_kills_of_a_proxy_under_load(stored, tmp_path, part):
    acknowledged, calls = set(), 0
    server = SetupServer("answer")
    for kill in range(10):
        program = stored([server])
        caller = Caller(program)
        for i in range(400):
            caller.invite(f"{part:04x}{kill:04x}{i:08x}", dest=0)
            while not caller.hear()[0].startswith(("BYE", "SIP/2.0 5")):
                pass
            calls += 1
            if kept_of(program) and i % 5 == kill % 5:
                break
            if i > 20:
                wait_for(lambda program=program: kept_of(program))
        program.process.kill()
        program.process.wait()
        program.reader.join(PATIENCE_S)
        acknowledged |= kept_of(program)
        program.board.die()
    store = Store(str(tmp_path / "leadslip.db"))
    assert store.set_aside is None
    there = {(point.run, point.start_s) for point in store.points(record.SPACE)}
    assert len(acknowledged) >= 10 and acknowledged <= there
    told = list(record.intervals(store, group="north"))
    assert 0 < sum(one.attempts for one in told) <= calls and not store.damaged
    store.close()


def test_a_proxy_measures_reserves_and_keeps_all_when_it_ends(stored, tmp_path):
    server = SetupServer("hold")
    program = stored([server], reserve="[group.reserve]\nplain = 49\n")
    caller = Caller(program)
    caller.invite("0" * 15 + "1", "plain")
    assert caller.hear()[0] == "SIP/2.0 200 OK"
    caller.invite("0" * 15 + "2", "plain")
    assert caller.hear()[0].startswith("SIP/2.0 503"), "the other 49 are kept for the urgent"
    caller.invite("0" * 15 + "3", "urgent")
    assert caller.hear()[0] == "SIP/2.0 200 OK"
    (tmp_path / "trunks.toml").write_text(
        'enabled = true\ninterval_s = 1\n[[group]]\nname = "north"\ndestinations = [0]\ntrunks = 50\n'
        "[group.reserve]\nplain = 47\n"
    )
    assert "reload.taken" in program.reload()
    caller.invite("0" * 15 + "4", "plain")
    assert caller.hear()[0] == "SIP/2.0 200 OK"
    (tmp_path / "trunks.toml").write_text("enabled = true\ninterval_s = 7\n")
    assert "trunks.interval_s must divide 900" in program.reload()
    server.release_all()
    for _ in range(3):
        assert caller.hear()[0].startswith("BYE ")
    assert program.stop() == 0
    assert program.counts()["filters.reservation.refused"] == 1
    store = Store(str(tmp_path / "leadslip.db"), read_only=True)
    told = list(record.intervals(store, group="north"))
    assert (sum(one.stood for one in told), sum(one.refused for one in told)) == (3, 1)
    assert sum(one.held for one in told) == 3 and sum(one.erlang_s for one in told) > 0
    store.close()


def test_the_features_libraries_are_not_loaded_where_they_are_off():
    told = "import sys, leadslip.__main__; print(*sorted({name.split('.')[0] for name in sys.modules}))"
    done = subprocess.run([sys.executable, "-c", told], cwd=ROOT, capture_output=True, text=True, check=True)
    loaded = set(done.stdout.split())
    assert not loaded & {"apsw", "msgspec", "structlog", "click", "matplotlib", "numpy", "scipy", "google"}
