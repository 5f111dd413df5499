"""A simulated operator: submits changes of agreed documents at random proxies and records the answers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from random import Random

RequestSender = Callable[[str, bytes, bytes, bytes], Awaitable[tuple[int, bytes]]]  # name, method, path, body


class Changer:
    """Submits changes until cancelled, and records them in `changes`."""

    def __init__(self, names: list[str], rate: float, seed: int, send_request: RequestSender) -> None:
        self.names, self.rate, self.rng, self.send_request = (
            names,
            rate,
            Random(f"changes {seed}"),
            send_request,
        )
        self.changes: list[dict] = []

    async def agree_first(self, most_s: float) -> bool:
        """Agree on the fallback rules before any fault begins; returns whether that succeeded in time."""
        deadline = time.monotonic() + most_s
        while time.monotonic() < deadline:
            if await self.submit("isolated", {"bars": {"prefixes": ["9"]}}, self.names[0], "first"):
                return True
            await asyncio.sleep(0.2)
        return False

    async def submit(self, document: str, content: dict, name: str, id_: str) -> bool:
        """Submit one change at one proxy; returns whether it was acknowledged."""
        path = f"settings/{document}?id={id_}&wait_ms=3000&author=drill".encode()
        status, body = await self.send_request(name, b"PUT", path, json.dumps(content).encode())
        record = {"id": id_, "at_ms": time.time() * 1000.0, "proxy": name, "status": status}
        with contextlib.suppress(ValueError, AttributeError):
            record |= {key: json.loads(body).get(key) for key in ("revision", "code", "action")}
        self.changes.append(record)
        return status == 200

    async def run(self) -> None:
        """Submit changes at random intervals, each of which bars another prefix of 9 and three more digits."""
        number, pending = 0, set()
        try:
            while True:
                await asyncio.sleep(self.rng.expovariate(self.rate))
                number += 1
                content = {"prefixes": [f"9{self.rng.randrange(1000):03d}"]}
                change = self.submit("bars", content, self.rng.choice(self.names), f"change-{number}")
                # Changes run concurrently: a partitioned proxy must not delay the changes at others.
                pending.add(asyncio.create_task(change))
                pending = {task for task in pending if not task.done()}
        finally:
            for task in pending:
                task.cancel()
