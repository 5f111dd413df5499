"""Runs the program with manipulated clocks: `python -m leadslip.drill.clocks FILE` in place of `-m leadslip`.

FILE holds two doubles: the offset of the Unix clock in seconds (a change while the process runs makes it jump), and
the drift of the monotonic clocks in parts per million, which is read once at the start of the process.
"""

from __future__ import annotations

import mmap
import runpy
import struct
import sys
import time

# Content of FILE: offset of the Unix clock in s, drift of the monotonic clocks in ppm.
LAYOUT = struct.Struct("=dd")


class Clocks:
    """Sets the clocks of one process by writing its file."""

    def __init__(self, path: str, drift_ppm: float) -> None:
        self.path, self.drift_ppm = path, drift_ppm
        self.set_offset(0.0)

    def set_offset(self, offset_s: float) -> None:
        """Set the offset of the Unix clock from the true time, in the same file, as the process has it mapped."""
        with open(self.path, "r+b" if self.exists() else "w+b") as file:
            file.write(LAYOUT.pack(offset_s, self.drift_ppm))

    def exists(self) -> bool:
        """Whether the file has been written completely before."""
        try:
            with open(self.path, "rb") as file:
                return len(file.read()) == LAYOUT.size
        except FileNotFoundError:
            return False


def install(path: str) -> None:
    """Replace the clock functions of the `time` module by ones that apply the offset and drift in a file."""
    with open(path, "rb") as file:
        mapped = mmap.mmap(file.fileno(), LAYOUT.size, prot=mmap.PROT_READ)
    true_time, true_monotonic, true_clock_gettime = time.time, time.monotonic, time.clock_gettime
    rate = 1.0 + LAYOUT.unpack(mapped)[1] / 1e6
    start_s = {
        clock_id: true_clock_gettime(clock_id) for clock_id in (time.CLOCK_MONOTONIC, time.CLOCK_BOOTTIME)
    }
    start_monotonic_s = true_monotonic()

    def drifted(clock_id: int) -> float:
        if clock_id not in start_s:
            return true_clock_gettime(clock_id)
        return start_s[clock_id] + (true_clock_gettime(clock_id) - start_s[clock_id]) * rate

    time.time = lambda: true_time() + LAYOUT.unpack(mapped)[0]
    time.monotonic = lambda: start_monotonic_s + (true_monotonic() - start_monotonic_s) * rate
    time.clock_gettime = drifted


if __name__ == "__main__":
    install(sys.argv[1])
    sys.argv[1:] = []
    runpy.run_module("leadslip", run_name="__main__", alter_sys=True)
