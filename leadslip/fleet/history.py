"""Event history of one process: records with wall-clock and monotonic time, as JSON lines. Optional, for test runs."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable

from leadslip.fleet.view.members import Change
from leadslip.fleet.view.view import View


def file_writer(path: str) -> Callable[[dict], None]:
    """Returns a function that appends records to a file; a killed process leaves at most one truncated line."""
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write_record(fields: dict) -> None:
        mono_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
        os.write(
            file, json.dumps({"unix_ms": time.time() * 1000.0, "mono_ms": mono_ms} | fields).encode() + b"\n"
        )

    return write_record


def record_view(view: View, write_record: Callable[[dict], None]) -> None:
    """Records each change of a view with the digest after it, and each new generation of its own run."""

    def changed(change: Change) -> None:
        now, was = change.after, change.before
        member = now or was
        if was is not None and now is not None and was.live and now.run != was.run:
            write_record({"do": "held", "run": f"{was.run:016x}", "name": was.name, "state": "dead"})
        write_record(
            {
                "do": "held",
                "run": f"{member.run:016x}",
                "name": member.name,
                "state": now.state.name.lower() if now is not None else "forgotten",
                "digest": f"{view.digest():016x}",
            }
        )

    view.listeners.append(changed)
    view.generation_listeners.append(lambda run: write_record({"do": "reborn", "run": f"{run:016x}"}))
    write_record({"do": "started", "run": f"{view.run:016x}", "name": view.me.name})
