"""The store after kills, damage, full and read-only disks and changes of version; its writer; a proxy with a store."""

import os
import signal
import subprocess
import sys
import threading

import apsw
import pytest

from leadslip.logs import discard
from leadslip.metrics import Metrics
from leadslip.store import base
from leadslip.store.base import Item, Point, Store, StoreError
from leadslip.store.writer import MAX_PENDING_RECORDS, Batch, Writer
from leadslip.trunks import record
from leadslip.trunks.traffic import Interval
from tests.standins import ROOT, TEST_TIMEOUT_S, Caller, Program, SetupServer, wait_for

DAY_S = 86_400


def point(i, space="t", value=b"v"):
    """A one-minute point of a series, at minute i."""
    return Point(space, 60, i * 60, "north/plain", 1, value)


@pytest.fixture
def path(tmp_path):
    return str(tmp_path / "leadslip.db")


def test_written_records_are_read_in_order_and_selected_by_span_time_and_expiry(path):
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
    assert store.delete_expired(60.0) == 1 and store.delete_before("t", 60, 120) == 1
    store.write(deleted=[("gaps", "a")])
    assert not list(store.items("gaps", 0.0)) and len(list(store.points("t"))) == 1
    store.close()


def test_a_damaged_record_is_named_and_the_others_are_read(path):
    store = Store(path)
    store.write([point(i) for i in range(3)], [Item("gaps", "x", b"1"), Item("gaps", "y", b"2")])
    store.connection.execute("UPDATE series SET value = x'00' WHERE start_s = 60")
    store.connection.execute("UPDATE state SET until_ms = 9e9 WHERE key = 'x'")
    assert [p.start_s for p in store.points("t")] == [0, 120]
    assert [i.key for i in store.items("gaps", 0.0)] == ["y"]
    assert store.damaged_records == ["t north/plain at 60", "gaps x"]
    store.close()


@pytest.mark.parametrize("damage", ["noise", "pages"])  # the file's header, or data pages only
def test_a_damaged_file_is_renamed_and_a_new_one_created(path, damage):
    store = Store(path)
    store.write([point(i, value=bytes(3000)) for i in range(200)])
    store.close()
    with open(path, "r+b") as file:
        if damage == "noise":
            file.write(b"noise" * 50)
        else:
            for page in range(2, 40):
                file.seek(page * base.PAGE_BYTES)
                file.write(b"\xff" * base.PAGE_BYTES)
    with pytest.raises(StoreError) if damage == "noise" else _no_error():
        Store(path, read_only=True).close()
    store = Store(path)
    assert store.damaged_path is not None and os.path.getsize(store.damaged_path) > 0
    store.write([point(1)])
    assert len(list(store.points("t"))) == 1
    store.close()


class _no_error:  # noqa: N801
    """Context without a check: a read-only open does not read the damaged pages."""

    def __enter__(self):
        return self

    def __exit__(self, *_):
        return False


def test_an_older_version_is_migrated_and_a_newer_or_foreign_file_is_refused(path):
    old = apsw.Connection(path)
    old.execute(base.MIGRATIONS[0])
    old.pragma("application_id", base.APPLICATION_ID)
    old.pragma("user_version", 1)
    stored_point = point(7)
    old.execute(
        "INSERT INTO series VALUES (?,?,?,?,?,?,?)",
        (
            stored_point.space,
            stored_point.span_s,
            stored_point.start_s,
            stored_point.key,
            stored_point.run,
            stored_point.value,
            stored_point.checksum(),
        ),
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
    foreign_path = path + ".other"
    foreign = apsw.Connection(foreign_path)
    foreign.execute("CREATE TABLE theirs (x)")
    foreign.close()
    with pytest.raises(StoreError, match="another program"):
        Store(foreign_path)
    with pytest.raises(StoreError, match="there is no store"):
        Store(path + ".absent", read_only=True)


def interval(start_s, group="north", stood=3, covered_s=60.0):
    """A one-minute interval with three established calls and one refused."""
    return Interval(
        start_s, 60, group, "plain", covered_s, fresh=4, stood=stood, refused=1, erlang_s=90.0, peak=2
    )


def test_intervals_are_rolled_up_as_they_age_without_losing_or_doubling_calls(path):
    store = Store(path)
    intervals = [interval(i * 60) for i in range(3 * 24 * 60)]
    store.write([record.to_point(traffic_interval, run=1) for traffic_interval in intervals])
    # A restart in the first minute: two runs of the process have each measured part of it.
    store.write([record.to_point(interval(0, covered_s=20.0), run=2)])

    def sums():
        recorded = list(record.intervals(store))
        return sum(traffic_interval.stood for traffic_interval in recorded), sum(
            traffic_interval.erlang_s for traffic_interval in recorded
        )

    expected = sums()
    now_s = 3 * DAY_S
    assert record.apply_retention(store, now_s, 1, 2) > 0 and sums() == expected
    spans = {traffic_interval.span_s for traffic_interval in record.intervals(store)}
    assert spans == {60, 900, 3600}
    assert not [p for p in store.points(record.SPACE, 60) if p.start_s < now_s - DAY_S]
    assert record.apply_retention(store, now_s, 1, 2) == 0 and sums() == expected, (
        "applying retention again changes nothing"
    )
    late_interval = interval(30 * 60)  # written late, when its span is already rolled up
    store.write([record.to_point(late_interval, run=3)])
    record.apply_retention(store, now_s, 1, 2)
    assert sums()[0] == expected[0] + 3
    first = next(record.intervals(store))
    assert first.covered_s == 3600.0, "two runs of one minute do not cover more than the minute"
    store.connection.execute("UPDATE series SET value = x'00' WHERE start_s = 0")
    assert sum(1 for _ in record.intervals(store)) and store.damaged_records == ["traffic north/plain at 0"]
    store.close()


def test_a_full_store_evicts_its_oldest_points_and_retains_its_items(path):
    store = Store(path, max_bytes=1 << 20)
    store.write([], [Item("gaps", "a", b"1")])
    for i in range(40):
        store.write([point(i * 100 + j, value=bytes(400)) for j in range(100)])
        store.evict_oldest()
    starts = [p.start_s for p in store.points("t")]
    assert starts[0] > 0 and starts[-1] == 3999 * 60 and len(list(store.items("gaps", 0.0))) == 1
    assert os.path.getsize(path) <= 1 << 20
    store.close()


# The writer.


class ReactorStandin:
    """Stands in for the reactor: runs the functions that the writer thread schedules, on the test's thread."""

    def __init__(self):
        self.work_added, self.work = threading.Condition(), []

    def call(self, work):
        with self.work_added:
            self.work.append(work)
            self.work_added.notify()

    def run(self, until):
        while not until():
            with self.work_added:
                assert self.work_added.wait_for(lambda: self.work, TEST_TIMEOUT_S)
                work, self.work = self.work, []
            for function in work:
                function()


def started_writer(path, reactor, metrics, log=discard, **options):
    """Returns a running writer; the options are those of its Store."""
    writer = Writer(lambda: Store(path, **options), reactor.call, metrics, log)
    writer.start()
    return writer


def test_the_writer_acknowledges_commits_and_drops_records_beyond_the_queue_limit(path):
    reactor, metrics, done = ReactorStandin(), Metrics(), []
    writer = started_writer(path, reactor, metrics)
    for i in range(50):
        assert writer.put(Batch([point(i)], on_done=done.append))
    reactor.run(lambda: len(done) == 50)
    assert all(done) and writer.pending_records == 0 and metrics.counts["store.written"] == 50
    reader = Store(path, read_only=True)
    assert len(list(reader.points("t"))) == 50
    reader.close()
    release_task = threading.Event()
    writer.put(Batch(task=lambda store: release_task.wait(TEST_TIMEOUT_S)))
    assert writer.put(Batch([point(1)] * (MAX_PENDING_RECORDS - 1)))
    assert not writer.put(Batch([point(1)], on_done=done.append)) and done[-1] is False
    assert metrics.counts["store.dropped"] == 1
    release_task.set()
    assert writer.close(TEST_TIMEOUT_S) and not writer.put(Batch([point(1)]))


def test_an_unusable_path_drops_records_and_logs_the_failure_and_the_recovery_once_each(path, tmp_path):
    reactor, metrics, done, events = ReactorStandin(), Metrics(), [], []
    os.mkdir(path)  # a folder at the file's path, so nothing can be written
    writer = started_writer(path, reactor, metrics, lambda event, **fields: events.append(event))
    writer.put(Batch([point(1)], on_done=done.append))
    reactor.run(lambda: done)
    assert done == [False] and metrics.counts["store.dropped"] == 1
    os.rmdir(path)
    writer.put(Batch([point(2)], on_done=done.append))
    reactor.run(lambda: len(done) == 2)
    assert done == [False, True] and events == ["store.drops", "store.writes_again"]
    assert writer.close(TEST_TIMEOUT_S)


def test_the_writer_evicts_old_points_from_a_full_file_and_drops_records_for_a_read_only_one(path):
    reactor, metrics, done = ReactorStandin(), Metrics(), []
    writer = started_writer(path, reactor, metrics, max_bytes=1 << 20)
    for i in range(40):
        writer.put(Batch([point(i * 50 + j, value=bytes(900)) for j in range(50)], on_done=done.append))
        reactor.run(lambda count=i + 1: len(done) == count)
    assert all(done), "the oldest points are evicted to accept the newest"
    assert writer.close(TEST_TIMEOUT_S)
    reactor.run(lambda: True)
    done.clear()
    writer = Writer(lambda: Store(path, read_only=True), reactor.call, metrics, discard)
    writer.start()
    writer.put(Batch([point(1)], on_done=done.append))
    reactor.run(lambda: done)
    assert done == [False]
    writer.close(TEST_TIMEOUT_S)


# Writes points without end; prints after each commit how many are committed.
WRITER_PROGRAM = """
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
def test_records_committed_before_sigkill_are_in_the_file_and_without_holes(path, kills):
    acknowledged = 0
    for i in range(kills):
        command = [sys.executable, "-c", WRITER_PROGRAM, path, str(acknowledged)]
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        for _ in range(3 + i % 7):
            acknowledged = int(process.stdout.readline())
        process.send_signal(signal.SIGKILL)
        for line in process.communicate()[0].splitlines():
            acknowledged = int(line) if line.strip() else acknowledged
        store = Store(path)
        starts = [p.start_s // 60 for p in store.points("t")]
        assert store.damaged_path is None and not store.damaged_records
        assert starts == list(range(len(starts))) and len(starts) >= acknowledged
        acknowledged = len(starts)
        store.close()


# The proxy with its store.


@pytest.fixture
def start_stored_proxy(tmp_path, monkeypatch):
    """Returns a function that starts a proxy with a store and one trunk group of 50 trunks."""

    def start_proxy(servers, *options, reserve=""):
        (tmp_path / "store.toml").write_text(f'enabled = true\npath = "{tmp_path}/leadslip.db"\n')
        group = f'[[group]]\nname = "north"\ndestinations = [0]\ntrunks = 50\n{reserve}'
        (tmp_path / "trunks.toml").write_text(f"enabled = true\ninterval_s = 1\n{group}")
        (tmp_path / "logs.toml").write_text("level = 'debug'\n")
        for name in ("store", "trunks", "logs"):
            monkeypatch.setenv(f"LEADSLIP_{name.upper()}", str(tmp_path / f"{name}.toml"))
        return Program(tmp_path, {f"s{i}": server.address for i, server in enumerate(servers)})

    return start_proxy


def logged_intervals(program):
    """Returns the (run, start) of the intervals that the proxy has logged as committed."""
    fields_of_lines = [
        dict(part.split("=") for part in line.split()[2:]) for line in program.log if " trunks.kept" in line
    ]
    return {(int(fields["run"]), int(fields["start_s"])) for fields in fields_of_lines}


@pytest.mark.parametrize("part", range(5))
def test_intervals_logged_as_committed_survive_kills_of_a_proxy_under_load(
    start_stored_proxy, tmp_path, part
):
    acknowledged, calls = set(), 0
    server = SetupServer("answer")
    for kill in range(10):
        program = start_stored_proxy([server])
        caller = Caller(program)
        for i in range(400):
            caller.invite(f"{part:04x}{kill:04x}{i:08x}", dest=0)
            while not caller.receive()[0].startswith(("BYE", "SIP/2.0 5")):
                pass
            calls += 1
            if logged_intervals(program) and i % 5 == kill % 5:
                break
            if i > 20:
                wait_for(lambda program=program: logged_intervals(program))
        program.process.kill()
        program.process.wait()
        program.reader.join(TEST_TIMEOUT_S)
        acknowledged |= logged_intervals(program)
        program.board.stop_with_reset()
    store = Store(str(tmp_path / "leadslip.db"))
    assert store.damaged_path is None
    stored_keys = {(point.run, point.start_s) for point in store.points(record.SPACE)}
    assert len(acknowledged) >= 10 and acknowledged <= stored_keys
    intervals = list(record.intervals(store, group="north"))
    assert (
        0 < sum(traffic_interval.attempts for traffic_interval in intervals) <= calls
        and not store.damaged_records
    )
    store.close()


def test_a_proxy_applies_reserves_and_stores_all_measured_calls_when_it_stops(start_stored_proxy, tmp_path):
    server = SetupServer("hold")
    program = start_stored_proxy([server], reserve="[group.reserve]\nplain = 49\n")
    caller = Caller(program)
    caller.invite("0" * 15 + "1", "plain")
    assert caller.receive()[0] == "SIP/2.0 200 OK"
    caller.invite("0" * 15 + "2", "plain")
    assert caller.receive()[0].startswith("SIP/2.0 503"), "the other 49 are reserved for the urgent class"
    caller.invite("0" * 15 + "3", "urgent")
    assert caller.receive()[0] == "SIP/2.0 200 OK"
    (tmp_path / "trunks.toml").write_text(
        'enabled = true\ninterval_s = 1\n[[group]]\nname = "north"\ndestinations = [0]\ntrunks = 50\n'
        "[group.reserve]\nplain = 47\n"
    )
    assert "reload.taken" in program.reload()
    caller.invite("0" * 15 + "4", "plain")
    assert caller.receive()[0] == "SIP/2.0 200 OK"
    (tmp_path / "trunks.toml").write_text("enabled = true\ninterval_s = 7\n")
    assert "trunks.interval_s must divide 900" in program.reload()
    server.release_all()
    for _ in range(3):
        assert caller.receive()[0].startswith("BYE ")
    assert program.stop() == 0
    assert program.counts()["filters.reservation.refused"] == 1
    store = Store(str(tmp_path / "leadslip.db"), read_only=True)
    intervals = list(record.intervals(store, group="north"))
    assert (
        sum(traffic_interval.stood for traffic_interval in intervals),
        sum(traffic_interval.refused for traffic_interval in intervals),
    ) == (3, 1)
    assert (
        sum(traffic_interval.held for traffic_interval in intervals) == 3
        and sum(traffic_interval.erlang_s for traffic_interval in intervals) > 0
    )
    store.close()


def test_starting_a_proxy_does_not_load_the_libraries_of_features_that_are_off():
    code = "import sys, leadslip.__main__; print(*sorted({name.split('.')[0] for name in sys.modules}))"
    process = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    loaded = set(process.stdout.split())
    assert not loaded & {"apsw", "msgspec", "structlog", "click", "matplotlib", "numpy", "scipy", "google"}
