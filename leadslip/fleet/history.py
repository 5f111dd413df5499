"""Event history of one process, as JSON lines with wall-clock and monotonic time; fault-injection runs check it."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable

from leadslip.fleet.view.members import Change
from leadslip.fleet.view.view import View


def file_writer(path: str) -> Callable[[dict], None]:
    """Returns a function that appends a record to a file as one line; a kill truncates at most the last line."""
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write_record(fields: dict) -> None:
        mono_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
        os.write(
            file, json.dumps({"unix_ms": time.time() * 1000.0, "mono_ms": mono_ms} | fields).encode() + b"\n"
        )

    return write_record


def record_view(view: View, write_record: Callable[[dict], None]) -> None:
    """Records each change of a view with the view's digest after it, and each new generation of this process.

    A run that a later generation replaces while it is live is recorded as dead, as nothing else reports its end.
    """

    def record_change(change: Change) -> None:
        new_entry, old_entry = change.after, change.before
        member = new_entry or old_entry
        if (
            old_entry is not None
            and new_entry is not None
            and old_entry.live
            and new_entry.run != old_entry.run
        ):
            write_record(
                {"do": "held", "run": f"{old_entry.run:016x}", "name": old_entry.name, "state": "dead"}
            )
        write_record(
            {
                "do": "held",
                "run": f"{member.run:016x}",
                "name": member.name,
                "state": new_entry.state.name.lower() if new_entry is not None else "forgotten",
                "digest": f"{view.digest():016x}",
            }
        )

    view.listeners.append(record_change)
    view.generation_listeners.append(lambda run: write_record({"do": "reborn", "run": f"{run:016x}"}))
    write_record({"do": "started", "run": f"{view.run:016x}", "name": view.me.name})
