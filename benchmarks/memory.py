"""Benchmarks the resident memory of a proxy at start and after many calls: python -m benchmarks.memory [ROOT] [CALLS].

ROOT is the checkout to measure (default: this one), so that two versions can be compared on one machine; CALLS is the
number of calls (default: 10,000), which are made one after another.
"""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

from tests import standins


def resident_mb(pid: int) -> float:
    """Return the resident set size of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024.0
    raise RuntimeError(f"/proc/{pid}/status has no VmRSS line")


def measure(root: Path, calls: int) -> tuple[float, float, float]:
    """Run the program of a checkout; return its memory in MB at start and after the calls, and their time in s."""
    standins.ROOT = root
    server = standins.SetupServer("answer")
    with tempfile.TemporaryDirectory() as folder:
        program = standins.Program(Path(folder), {"s0": server.address})
        try:
            start_mb = resident_mb(program.process.pid)
            caller = standins.Caller(program)
            began = time.monotonic()
            for i in range(calls):
                caller.invite(f"{i:016x}")
                while not caller.receive()[0].startswith(("BYE", "SIP/2.0 5")):
                    pass
            took_s = time.monotonic() - began
            return start_mb, resident_mb(program.process.pid), took_s
        finally:
            program.stop()


def main() -> None:
    """Measure one checkout and print the results."""
    root = Path(sys.argv[1]).resolve() if len(sys.argv) > 1 else standins.ROOT
    calls = int(sys.argv[2]) if len(sys.argv) > 2 else 10_000
    start_mb, end_mb, took_s = measure(root, calls)
    print(f"{root.name}: {start_mb:.1f} MB at start, {end_mb:.1f} MB after {calls} calls in {took_s:.1f} s")


if __name__ == "__main__":
    main()
