"""A configuration file that lacks a key is taken at SIGHUP, and calls then go to a setup server they may not go to."""

import asyncio
import copy
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Board,
    Call,
    Caller,
    CaseFailedError,
    Proxy,
    Record,
    SetupServer,
    run_case,
    trouble,
)

CALLS = 20
FULL = 34


async def play(record: Record, scratch: Path, proxies: list[Proxy]) -> list[str]:
    loop = asyncio.get_running_loop()

    def takes_most(server: SetupServer, call: Call) -> None:
        """Pool 0 is at its limit now and then: it refuses every third set-up as full, which never ran."""
        if len(server.received) % 3 == 0:
            server.refuse(call, FULL)
        else:
            establish(server, call)

    def establish(server: SetupServer, call: Call) -> None:
        loop.call_later(0.02, server.answer, call)
        loop.call_later(0.6, server.release, call)

    board = Board(record)
    await board.start()
    servers = [SetupServer("pool-0", record, takes_most), SetupServer("pool-1", record, establish)]
    for server in servers:
        await server.start()
    proxy = Proxy(record, scratch, board, servers)
    proxies.append(proxy)
    # Resident calls may go to both pools, officer calls to pool 0 alone.
    proxy.configuration["settings"]["extra"]["allowed_pools"] = [[0, 1], [0]]
    await proxy.start()
    caller = Caller(record, proxy.listen)
    connection = await caller.connect()

    async def place(first: int, count: int) -> None:
        for i in range(first, first + count):
            for class_, kind in (("officer-call", 0xB), ("resident-call", 0xA)):
                request = connection.invite(f"{kind:x}{i:015x}", class_, 0, 3000)
                await asyncio.wait_for(request.answered.wait(), 5.0)
            await asyncio.sleep(0.05)

    await asyncio.sleep(1.5)  # not within the program's first second
    await place(0, CALLS)
    revision = copy.deepcopy(proxy.configuration)
    if trouble():
        del revision["settings"]["extra"]["allowed_pools"]
    proxy.configure(revision)
    proxy.signal(signal.SIGHUP)
    await asyncio.sleep(1.3)  # clients use what is new 1.2 s later
    counters = await proxy.counters()
    record(
        "proxy", ", ".join(f"{name}={counters[f'proxy.config_{name}']}" for name in ("applied", "rejected"))
    )
    await place(CALLS, CALLS)
    if not any(call.call.startswith("b") for call in servers[0].received):
        raise CaseFailedError("no officer call reached pool 0")
    return [
        f"officer call {call.call} was sent to pool 1, where it may not go"
        for call in servers[1].received
        if call.fields[33] == b"officer-call"
    ]


sys.exit(run_case(FOLDER, play))
