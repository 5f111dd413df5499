"""What trunk dimensioning costs: python -m benchmarks.trunks. Ratios within one run count, not the times.

Blocking and sizing against the plain recursion, the watcher's cost for a call, and appends to the store: SQLite through
apsw, as chosen, and lmdb (pip install lmdb) where it is there, each also killed with -9 while it writes.
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

from leadslip import interface as face
from leadslip.trunks import losses
from leadslip.trunks.traffic import Traffic

ROUNDS = 5


def seconds(work: Callable[[], object], times: int = 1) -> float:
    """The least time of one call over some rounds."""
    best = float("inf")
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for _ in range(times):
            work()
        best = min(best, (time.perf_counter() - began) / times)
    return best


def plain_size(load: float, blocking: float) -> int:
    """Sizing by the recursion alone: one step for each trunk, until little enough is lost."""
    lost, n = 1.0, 0
    while lost > blocking:
        n += 1
        lost = load * lost / (n + load * lost)
    return n


def formulas() -> None:
    """Blocking of one large group, and the sizes of a thousand."""
    for n, load in ((100, 90.0), (10_000, 9900.0), (100_000, 99_000.0)):
        fast = seconds(lambda n=n, load=load: losses.erlang_b(n, load), 10)
        plain = seconds(lambda n=n, load=load: losses.erlang_b_by_recursion(n, load))
        print(
            f"blocking at N={n}: {fast * 1e6:.0f} us, recursion {plain * 1e6:.0f} us, {plain / fast:.1f} times"
        )
    draw = random.Random(1)
    for name, most in (("small, up to 100 erlangs", 100.0), ("large, up to 5,000 erlangs", 5000.0)):
        loads = [draw.uniform(0.1, most) for _ in range(1000)]
        fast = seconds(lambda loads=loads: [losses.trunks_for(load, 0.01) for load in loads])
        plain = seconds(lambda loads=loads: [plain_size(load, 0.01) for load in loads])
        assert [losses.trunks_for(load, 0.01) for load in loads] == [plain_size(load, 0.01) for load in loads]
        print(
            f"1,000 groups, {name}: {fast * 1e3:.0f} ms, recursion {plain * 1e3:.0f} ms, {plain / fast:.1f} times"
        )


def watcher() -> None:
    """What a call costs that stands, and one that is refused."""
    traffic = Traffic(0.0, lambda told: None, lambda *span: None)
    requests = [
        SimpleNamespace(destination=i % 4, call_class="plain", number=str(i), redialled=False)
        for i in range(1000)
    ]
    attempts = [SimpleNamespace(request=one, stands=True, sent_ms=0.0) for one in requests]

    def stand() -> None:
        for one in attempts:
            traffic.request_answered(one.request, "stands", 1000.0)
            traffic.attempt_ended(one, face.Outcome.SERVED, 9000.0)

    def refuse() -> None:
        for one in requests:
            traffic.request_answered(one, "refused", 1000.0)

    print(
        f"watcher: {seconds(stand) * 1e3:.2f} us a call that stands and ends, {seconds(refuse) * 1e3:.2f} refused"
    )


WRITES = {
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
RATE = """
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
FOREVER = """
i = int(sys.argv[2])
while True:
    write(i, 20)
    i += 20
    print(i, flush=True)
"""


def stores() -> None:
    """Appends, memory, and what is there after kill -9."""
    for name, begun in WRITES.items():
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "bench.db")
            done = _python(begun + RATE, path)
            if done.returncode:
                print(f"store, {name}: not installed")
                continue
            print(f"store, {name}: {done.stdout.strip()}")
            path, acknowledged, missing = str(Path(folder) / "kill.db"), 0, 0
            for kill in range(20):
                command = [sys.executable, "-c", begun + FOREVER, path, str(acknowledged)]
                writing = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
                for _ in range(20 + kill):
                    acknowledged = int(writing.stdout.readline())
                writing.send_signal(signal.SIGKILL)
                for line in writing.communicate()[0].split():
                    acknowledged = int(line)
                held = int(_python(begun + "print(count())", path).stdout)
                missing += held < acknowledged
                acknowledged = held
            print(f"store, {name}: 20 kills -9 while writing, {missing} with an acknowledged record missing")


def _python(text: str, path: str) -> subprocess.CompletedProcess:
    return subprocess.run([sys.executable, "-c", text, path], capture_output=True, text=True, check=False)


def main() -> None:
    """Print all figures, and the machine."""
    print(f"{platform.python_implementation()} {platform.python_version()}, {os.cpu_count()} cores")
    formulas()
    watcher()
    stores()


if __name__ == "__main__":
    main()
