"""Benchmarks trunk dimensioning and traffic records: python -m benchmarks.trunks.

Measures the Erlang B blocking and the sizing of trunk groups against the plain recursion, the CPU time per call of the
traffic observer, and appends to a store: SQLite through apsw, which the program uses, and lmdb if it is installed
(pip install lmdb). Each writer is also killed with SIGKILL to check that acknowledged records are kept. Times depend
on the machine: compare only the ratios within one run.
"""

from __future__ import annotations

import os
import platform
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

from leadslip import interface
from leadslip.trunks import losses
from leadslip.trunks.traffic import Traffic

ROUNDS = 5  # of which `best_seconds` reports the fastest


def best_seconds(function: Callable[[], object], repeats: int = 1) -> float:
    """Return the mean time of one call of `function`, in the fastest of ROUNDS rounds of `repeats` calls."""
    best = float("inf")
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for _ in range(repeats):
            function()
        best = min(best, (time.perf_counter() - began) / repeats)
    return best


def size_by_recursion(load: float, blocking: float) -> int:
    """Size a group by the Erlang B recursion: add trunks one by one until the blocking is at most `blocking`."""
    loss, trunks = 1.0, 0
    while loss > blocking:
        trunks += 1
        loss = load * loss / (trunks + load * loss)
    return trunks


def measure_formulas() -> None:
    """Measure the blocking of single groups and the sizing of a thousand, and check the sizes against the recursion."""
    for n, load in ((100, 90.0), (10_000, 9900.0), (100_000, 99_000.0)):
        library_s = best_seconds(lambda n=n, load=load: losses.erlang_b(n, load), 10)
        recursion_s = best_seconds(lambda n=n, load=load: losses.erlang_b_by_recursion(n, load))
        print(
            f"blocking at N={n}: {library_s * 1e6:.0f} us, "
            f"recursion {recursion_s * 1e6:.0f} us, ratio {recursion_s / library_s:.1f}"
        )
    rng = random.Random(1)
    for name, max_load in (("small, up to 100 erlangs", 100.0), ("large, up to 5,000 erlangs", 5000.0)):
        loads = [rng.uniform(0.1, max_load) for _ in range(1000)]
        library_s = best_seconds(lambda loads=loads: [losses.trunks_for(load, 0.01) for load in loads])
        recursion_s = best_seconds(lambda loads=loads: [size_by_recursion(load, 0.01) for load in loads])
        assert [losses.trunks_for(load, 0.01) for load in loads] == [
            size_by_recursion(load, 0.01) for load in loads
        ]
        print(
            f"1,000 groups, {name}: {library_s * 1e3:.0f} ms, "
            f"recursion {recursion_s * 1e3:.0f} ms, ratio {recursion_s / library_s:.1f}"
        )


def measure_traffic_observer() -> None:
    """Measure the CPU time of the traffic observer for an established call and for a refused one."""
    traffic = Traffic(0.0, lambda interval: None, lambda *span: None)
    requests = [
        SimpleNamespace(destination=i % 4, call_class="plain", number_called=str(i), redialled=False)
        for i in range(1000)
    ]
    attempts = [SimpleNamespace(request=request, established=True, sent_ms=0.0) for request in requests]

    def establish_and_end() -> None:
        for attempt in attempts:
            traffic.request_answered(attempt.request, "stands", 1000.0)
            traffic.attempt_ended(attempt, interface.Outcome.SERVED, 9000.0)

    def refuse() -> None:
        for request in requests:
            traffic.request_answered(request, "refused", 1000.0)

    print(
        f"traffic observer: {best_seconds(establish_and_end) * 1e3:.2f} us per established and ended call, "
        f"{best_seconds(refuse) * 1e3:.2f} us per refused call"
    )


STORE_SCRIPTS = {
    "apsw": """
import sys
from leadslip.store.base import Point, Store
store = Store(sys.argv[1], 1 << 30)
def write(i, n):
    store.write([Point("t", 60, (i + j) * 60, "north/plain", 1, bytes(150)) for j in range(n)])
def count():
    return sum(1 for _ in store.points("t"))
""",
    "lmdb": """
import sys, lmdb
env = lmdb.open(sys.argv[1], subdir=False, map_size=1 << 30, sync=False, metasync=False)
def write(i, n):
    with env.begin(write=True) as txn:
        for j in range(n):
            txn.put(b"t%012d" % (i + j), bytes(150))
def count():
    with env.begin() as txn:
        return txn.stat()["entries"]
""",
}
RATE_SCRIPT = """
import time
def rss():
    return next(int(l.split()[1]) / 1024 for l in open("/proc/self/status") if l.startswith("VmRSS"))
for n, rounds in ((20, 500), (1000, 20)):
    began = time.perf_counter()
    for k in range(rounds):
        write(k * n, n)
    print(f"{rounds * n / (time.perf_counter() - began):.0f} records/s in commits of {n}", end="; ")
print(f"{rss():.1f} MB resident")
"""
ENDLESS_WRITE_SCRIPT = """
i = int(sys.argv[2])
while True:
    write(i, 20)
    i += 20
    print(i, flush=True)
"""


def measure_stores() -> None:
    """Measure the append rate and the memory of each store, and how many of 20 SIGKILLs lose acknowledged records."""
    for name, script in STORE_SCRIPTS.items():
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "bench.db")
            completed = _run_python(script + RATE_SCRIPT, path)
            if completed.returncode:
                print(f"store, {name}: not measured, its script failed (is the package installed?)")
                continue
            print(f"store, {name}: {completed.stdout.strip()}")
            path, acknowledged, kills_with_loss = str(Path(folder) / "kill.db"), 0, 0
            for kill_number in range(20):
                command = [sys.executable, "-c", script + ENDLESS_WRITE_SCRIPT, path, str(acknowledged)]
                writer = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
                for _ in range(20 + kill_number):
                    acknowledged = int(writer.stdout.readline())
                writer.send_signal(signal.SIGKILL)
                for line in writer.communicate()[0].split():
                    acknowledged = int(line)
                stored = int(_run_python(script + "print(count())", path).stdout)
                kills_with_loss += stored < acknowledged
                acknowledged = stored
            print(
                f"store, {name}: 20 times SIGKILL while writing, {kills_with_loss} with an acknowledged record missing"
            )


def _run_python(code: str, path: str) -> subprocess.CompletedProcess:
    return subprocess.run([sys.executable, "-c", code, path], capture_output=True, text=True, check=False)


def main() -> None:
    """Print the machine and all results."""
    print(f"{platform.python_implementation()} {platform.python_version()}, {os.cpu_count()} cores")
    measure_formulas()
    measure_traffic_observer()
    measure_stores()


if __name__ == "__main__":
    main()
