"""An upgrade beside a running proxy that answers ENUM look-ups: the second process has to come up."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers2 as peers

READY_LIMIT_S = 6.0


async def ask(address: tuple[str, int], method: str, call: str) -> int:
    """Makes one call at the operators' address; returns the status, 0 without an answer."""
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f"{method} /control/{call} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
        return int(line.split()[1])
    except (OSError, TimeoutError, IndexError):
        return 0


async def play(case: peers.Case) -> None:
    proxy = await case.set_out(servers=2, hold_s=2.0)
    enum = case.folder / "enum.toml"
    enum.write_text(
        f'enabled = true\nlisten = "{peers.HOST}:{peers.free_port()}"\n'
        f'resolvers = ["{peers.HOST}:{peers.free_port()}"]\nsuffix = "e164.arpa"\n'
    )
    proxy.environ["LEADSLIP_ENUM"] = str(enum)
    first_ops, second_ops = (peers.HOST, peers.free_port()), (peers.HOST, peers.free_port())
    old = proxy.start(first_ops)
    await proxy.ready()
    caller = await peers.CallerConnection(case.callers, "caller").open(proxy.address)
    for i in range(10):
        caller.set_up(first_choice=i % 2)
        await asyncio.sleep(0.1)
    if case.trouble:
        new = proxy.start(second_ops)
        until_s = time.monotonic() + READY_LIMIT_S
        while await ask(second_ops, "GET", "ready") != 200 and time.monotonic() < until_s:
            if new.poll() is not None:
                await proxy.exited(new, 0.0)
                case.fault(f"the second process ended with {new.poll()} beside the running one")
                return
            await asyncio.sleep(0.05)
        if await ask(second_ops, "GET", "ready") != 200:
            case.fault("the second process did not say yes within 6 s")
            return
        proxy.signal(signal.SIGTERM, old)
        await proxy.exited(old, 5.0)


peers.run(__file__, play)
