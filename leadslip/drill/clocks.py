"""Runs the program under clocks that a drill sets: python -m leadslip.drill.clocks FILE, then as `-m leadslip` does.

FILE holds two doubles: by how many seconds the Unix clock is put forward (changed while the process runs, it jumps),
and how much too fast the monotonic clocks run, in parts of a million from the start of the process on.
"""

from __future__ import annotations

import mmap
import runpy
import struct
import sys
import time

FORM = struct.Struct("=dd")


class Clocks:
    """What a drill holds of one process's clocks: the file, open for its changes."""

    def __init__(self, path: str, drift_ppm: float) -> None:
        self.path, self.drift_ppm = path, drift_ppm
        self.jump(0.0)

    def jump(self, forward_s: float) -> None:
        """Put the Unix clock forward by so much, of what it would be by itself."""
        with open(self.path, "r+b" if self.exists() else "w+b") as file:
            file.write(FORM.pack(forward_s, self.drift_ppm))

    def exists(self) -> bool:
        try:
            with open(self.path, "rb") as file:
                return len(file.read()) == FORM.size
        except FileNotFoundError:
            return False


def put_on(path: str) -> None:
    """Put this process's clocks under a file."""
    with open(path, "rb") as file:
        held = mmap.mmap(file.fileno(), FORM.size, prot=mmap.PROT_READ)
    unix, monotonic, of = time.time, time.monotonic, time.clock_gettime
    rate = 1.0 + FORM.unpack(held)[1] / 1e6
    began = {id_: of(id_) for id_ in (time.CLOCK_MONOTONIC, time.CLOCK_BOOTTIME)}
    began_monotonic = monotonic()

    def drifted(id_: int) -> float:
        if id_ not in began:
            return of(id_)
        return began[id_] + (of(id_) - began[id_]) * rate

    time.time = lambda: unix() + FORM.unpack(held)[0]
    time.monotonic = lambda: began_monotonic + (monotonic() - began_monotonic) * rate
    time.clock_gettime = drifted


if __name__ == "__main__":
    put_on(sys.argv[1])
    sys.argv[1:] = []
    runpy.run_module("leadslip", run_name="__main__", alter_sys=True)
