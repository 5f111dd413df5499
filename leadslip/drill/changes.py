"""A simulated operator: submits changes of the agreed settings documents at random proxies, and records the answers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from random import Random

# Sends an operator's request: process name, method, path and body -> status and body of the answer.
RequestSender = Callable[[str, bytes, bytes, bytes], Awaitable[tuple[int, bytes]]]


class ChangeSubmitter:
    """Submits `rate` changes per second at random processes, and records them with their answers in `changes`."""

    def __init__(self, process_names: list[str], rate: float, seed: int, send_request: RequestSender) -> None:
        self.process_names, self.rate, self.rng, self.send_request = (
            process_names,
            rate,
            Random(f"changes {seed}"),
            send_request,
        )
        self.changes: list[dict] = []

    async def submit_fallback_rules(self, timeout_s: float) -> bool:
        """Submit the fallback rules (document "isolated") until they are agreed on; returns whether they were in time.

        A run does so before any fault begins.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await self.submit("isolated", {"bars": {"prefixes": ["9"]}}, self.process_names[0], "first"):
                return True
            await asyncio.sleep(0.2)
        return False

    async def submit(self, document: str, content: dict, process_name: str, id_: str) -> bool:
        """Submit one change, with id `id_`, at one process; returns whether it was acknowledged."""
        path = f"settings/{document}?id={id_}&wait_ms=3000&author=drill".encode()
        status, body = await self.send_request(process_name, b"PUT", path, json.dumps(content).encode())
        record = {"id": id_, "at_ms": time.time() * 1000.0, "proxy": process_name, "status": status}
        with contextlib.suppress(ValueError, AttributeError):
            record |= {key: json.loads(body).get(key) for key in ("revision", "code", "action")}
        self.changes.append(record)
        return status == 200

    async def run(self) -> None:
        """Submit changes at random intervals until cancelled; each bars one prefix: 9 and three random digits."""
        change_count, pending = 0, set()
        try:
            while True:
                await asyncio.sleep(self.rng.expovariate(self.rate))
                change_count += 1
                content = {"prefixes": [f"9{self.rng.randrange(1000):03d}"]}
                submission = self.submit(
                    "bars", content, self.rng.choice(self.process_names), f"change-{change_count}"
                )
                # Changes run concurrently: a partitioned proxy must not delay the changes at others.
                pending.add(asyncio.create_task(submission))
                pending = {task for task in pending if not task.done()}
        finally:
            for task in pending:
                task.cancel()
