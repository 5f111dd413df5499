"""What one process saw and did, with both clocks: JSON lines in a file, or a list in the lab. Only where asked for."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable

from leadslip.fleet.view.members import Change
from leadslip.fleet.view.view import View


def to_file(path: str) -> Callable[[dict], None]:
    """Takes records into a file that grows by whole lines; a process that is killed leaves at most one torn."""
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def keep(told: dict) -> None:
        mono_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
        os.write(
            file, json.dumps({"unix_ms": time.time() * 1000.0, "mono_ms": mono_ms} | told).encode() + b"\n"
        )

    return keep


def follow(view: View, keep: Callable[[dict], None]) -> None:
    """Keep each change of a view, with the digest after it, and each life of its own."""

    def changed(change: Change) -> None:
        now, was = change.now, change.was
        about = now or was
        if was is not None and now is not None and was.live and now.run != was.run:
            keep({"do": "held", "run": f"{was.run:016x}", "name": was.name, "state": "dead"})
        keep(
            {
                "do": "held",
                "run": f"{about.run:016x}",
                "name": about.name,
                "state": now.state.name.lower() if now is not None else "forgotten",
                "digest": f"{view.digest():016x}",
            }
        )

    view.listeners.append(changed)
    view.reborn.append(lambda run: keep({"do": "reborn", "run": f"{run:016x}"}))
    keep({"do": "started", "run": f"{view.run:016x}", "name": view.me.name})
