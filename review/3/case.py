"""The proxy closes the resting connection of a standing call; the call's end is then told to nobody."""

import asyncio
import sys
import time
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

CALL_S = 18.0  # the watched call; calls last 7.8 to 9.7 s on average
LIMIT_S = 8.0 + 0.05  # for the release of a call that is over, if none could be sent at once
WATCHED = "00000000000000a1"


async def play(record: Record, scratch: Path, proxies: list[Proxy]) -> list[str]:
    loop = asyncio.get_running_loop()

    def establish(server: SetupServer, call: Call) -> None:
        loop.call_later(0.02, server.answer, call)
        loop.call_later(CALL_S if call.call == WATCHED else 1.0, server.release, call)

    board = Board(record)
    await board.start()
    servers = [SetupServer(f"s{i}", record, establish) for i in range(2)]
    for server in servers:
        await server.start()
    proxy = Proxy(record, scratch, board, servers)
    proxies.append(proxy)
    await proxy.start()
    caller = Caller(record, proxy.listen)

    async def traffic() -> None:
        """Other callers, each on a connection of its own that it closes 4 s after its call is over."""
        i = 0
        while True:
            i += 1
            connection = await caller.connect()
            connection.invite(f"{i:015x}f", "resident-call", i % 2, 3000)
            loop.call_later(5.1, connection.close)
            await asyncio.sleep(1.0)

    others = None if trouble() else asyncio.create_task(traffic())
    own = await caller.connect()
    request = own.invite(WATCHED, "officer-call", 0, 3000)
    await asyncio.wait_for(request.answered.wait(), 5.0)
    if request.status != 200:
        raise CaseFailedError(f"the watched call was answered {request.status}")
    call = next(call for server in servers for call in server.received if call.call == WATCHED)
    while not call.ended_s:
        await asyncio.sleep(0.05)
    record(
        "case",
        f"the watched call is over; its caller {'still has' if not own.closed_s else 'has lost'} its connection",
    )
    await asyncio.sleep(LIMIT_S + 0.5)
    if others is None:
        # Somebody calls again: what is still to be told could be told now.
        connection = await caller.connect()
        await asyncio.wait_for(
            connection.invite("00000000000000a2", "resident-call", 1, 3000).answered.wait(), 5.0
        )
        await asyncio.sleep(2.0)
    else:
        others.cancel()
    if not request.released_s:
        told_s = time.monotonic() - call.ended_s
        return [f"call {WATCHED} is over, and its caller was not told within {told_s:.1f} s"]
    late_s = request.released_s[0] - call.ended_s
    return [] if late_s <= LIMIT_S else [f"call {WATCHED} was released {late_s:.1f} s after its end"]


sys.exit(run_case(FOLDER, play))
