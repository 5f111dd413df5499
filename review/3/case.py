"""The end of a call's lost first attempt, half a minute later, releases the call that stands by its second attempt."""

import asyncio
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
    service,
    trouble,
)

WATCHED = "00000000000000a1"
FIRST_S, SECOND_S = 33.0, 40.0  # how long the watched call stands at the first server, and at the second
OTHERS_S = 11.0  # all other calls


async def play(record: Record, scratch: Path, proxies: list[Proxy]) -> list[str]:
    loop = asyncio.get_running_loop()
    broken: list[str] = []

    def establish(server: SetupServer, call: Call) -> None:
        if call.call != WATCHED:
            loop.call_later(0.02, server.answer, call)
            loop.call_later(0.02 + OTHERS_S, server.release, call)
            return
        first = not broken
        broken.append(server.name)
        if first and trouble():
            # The call stands, and the connection is reset before the answer has left: nothing of it arrives.
            server.reset(call.writer)
            server.connections.remove(call.writer)
            server.answered_unheard(call)
        else:
            server.answer(call)
        loop.call_later(FIRST_S if first else SECOND_S, server.release, call)

    board = Board(record)
    await board.start()
    servers = [SetupServer(f"s{i}", record, establish) for i in range(2)]
    for server in servers:
        await server.start()
    proxy = Proxy(record, scratch, board, servers)
    proxies.append(proxy)
    settings = proxy.configuration["settings"]
    settings["services"] = [service("photo-fetch", 1.0), service("verdict-set", 3.0)]
    settings["extra"]["mean_hold_ms"] = [11000.0, 16500.0]
    await proxy.start()
    caller = Caller(record, proxy.listen)

    async def traffic() -> None:
        """Ordinary calls, one every two seconds."""
        connection = await caller.connect()
        for i in range(1 << 20):
            connection.invite(f"{i:015x}f", "photo-fetch", i % 2, 3000)
            await asyncio.sleep(2.0)

    others = asyncio.create_task(traffic())
    await asyncio.sleep(1.0)
    request = (await caller.connect()).invite(WATCHED, "verdict-set", 0, 3000)
    await asyncio.wait_for(request.answered.wait(), 5.0)
    if request.status != 200:
        raise CaseFailedError(f"the watched call was answered {request.status}")
    attempts = [(server, call) for server in servers for call in server.received if call.call == WATCHED]
    server, call = max(attempts, key=lambda attempt: attempt[1].received_s)
    if len(attempts) != 1 + trouble():
        raise CaseFailedError(f"the watched call had {len(attempts)} attempts")
    record("case", f"the watched call stands at {server.name}, on which its caller's answer rests")
    while not call.ended_s:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    others.cancel()
    if not request.released_s:
        raise CaseFailedError("the end of the watched call was not told")
    early_s = call.ended_s - request.released_s[0]
    if early_s > 0.05:
        return [
            f"the caller of {WATCHED} was told that its call is over {early_s:.1f} s before its end at {server.name}"
        ]
    return []


sys.exit(run_case(FOLDER, play))
