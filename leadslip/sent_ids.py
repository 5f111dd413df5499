"""Ids of the requests that were sent to a setup server, so that none runs twice if its id comes again.

The table has a fixed size; it may lie in a file that the two processes of an upgrade share. Each process writes to a
lane of its own and reads both: it first records an id and then looks for it in the other lane, so that of two processes
that get the same id at the same time at most one sends it.
"""

from __future__ import annotations

import mmap
import os
from pathlib import Path

LANES = 2  # processes that may serve one address at a time
BUCKETS = 512  # of each lane
BUCKET_IDS = 8  # the newest are kept
ID_MASK = (1 << 64) - 1
WORD_BYTES = 8
LANE_WORDS = 2 * BUCKETS * BUCKET_IDS  # ids, and when each was recorded
HEADER_WORDS = 1  # the number of processes that have opened the table
TABLE_BYTES = (HEADER_WORDS + LANES * LANE_WORDS) * WORD_BYTES


class SentIds:
    """The ids of sent requests: those of this process, and of the other one that shares the table."""

    def __init__(self, table: bytearray | mmap.mmap | None = None) -> None:
        words = memoryview(table if table is not None else bytearray(TABLE_BYTES)).cast("Q")
        own, other = words[0] % LANES, (words[0] + 1) % LANES
        words[0] = (words[0] + 1) & ID_MASK
        lanes = [
            words[start : start + LANE_WORDS]
            for start in range(HEADER_WORDS, HEADER_WORDS + LANES * LANE_WORDS, LANE_WORDS)
        ]
        self._own, self._other = lanes[own], lanes[other]

    def claim(self, request_id: str, now_ms: float) -> bool:
        """Records the id of a request that is about to be sent; returns False if it may have been sent before."""
        key = ((int(request_id, 16) + 1) & ID_MASK) or 1  # 0 is an empty entry
        first = key % BUCKETS * BUCKET_IDS
        ids = slice(first, first + BUCKET_IDS)
        if key in self._own[ids].tolist() or key in self._other[ids].tolist():
            return False
        times = self._own[first + LANE_WORDS // 2 : first + LANE_WORDS // 2 + BUCKET_IDS].tolist()
        oldest = first + times.index(min(times))
        self._own[oldest + LANE_WORDS // 2] = int(now_ms)
        self._own[oldest] = key
        return key not in self._other[ids].tolist()


def open_shared(folder: Path, name: str) -> mmap.mmap:
    """Returns the table in a file of a folder, which is created if it is absent or incomplete; raises OSError.

    The whole file is written first: a page that could not be allocated later would end the process. A file is never
    shortened, as another process may have mapped it; one of another layout has another name.
    """
    path = folder / f"{name}-{TABLE_BYTES}"
    if not path.exists() or path.stat().st_size != TABLE_BYTES:
        complete = path.with_name(f"{path.name}.{os.getpid()}")
        complete.write_bytes(bytes(TABLE_BYTES))
        complete.replace(path)
    with path.open("r+b") as file:
        return mmap.mmap(file.fileno(), TABLE_BYTES)
