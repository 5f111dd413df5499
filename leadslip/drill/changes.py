"""An operator of the drill: changes agreed documents at proxies that a seed draws, and notes what is acknowledged."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from random import Random

Ask = Callable[[str, bytes, bytes, bytes], Awaitable[tuple[int, bytes]]]  # name, method, path, body


class Changer:
    """Places changes until cancelled."""

    def __init__(self, names: list[str], rate: float, seed: int, ask: Ask) -> None:
        self.names, self.rate, self.draw, self.ask = names, rate, Random(f"changes {seed}"), ask
        self.changes: list[dict] = []

    async def first(self, most_s: float) -> bool:
        """The isolated rules, agreed on before anything breaks; whether it came about."""
        until = time.monotonic() + most_s
        while time.monotonic() < until:
            if await self.place("isolated", {"bars": {"prefixes": ["9"]}}, self.names[0], "first"):
                return True
            await asyncio.sleep(0.2)
        return False

    async def place(self, document: str, told: dict, name: str, id_: str) -> bool:
        """One change at one proxy; whether it was acknowledged."""
        path = f"settings/{document}?id={id_}&wait_ms=3000&author=drill".encode()
        status, body = await self.ask(name, b"PUT", path, json.dumps(told).encode())
        made = {"id": id_, "at_ms": time.time() * 1000.0, "proxy": name, "status": status}
        with contextlib.suppress(ValueError, AttributeError):
            made |= {key: json.loads(body).get(key) for key in ("revision", "code", "action")}
        self.changes.append(made)
        return status == 200

    async def run(self) -> None:
        """Numbers that begin with 9 and three digits more are barred, others each time."""
        number, under_way = 0, set()
        try:
            while True:
                await asyncio.sleep(self.draw.expovariate(self.rate))
                number += 1
                barred = {"prefixes": [f"9{self.draw.randrange(1000):03d}"]}
                change = self.place("bars", barred, self.draw.choice(self.names), f"change-{number}")
                # None waits for another: a proxy that is cut off holds up its own operators alone.
                under_way.add(asyncio.create_task(change))
                under_way = {one for one in under_way if not one.done()}
        finally:
            for one in under_way:
                one.cancel()
