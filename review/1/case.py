"""Bad clients crowd out the connections of standing calls, and the ends of these calls are told to the bad clients."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Board,
    Call,
    Caller,
    CallerConnection,
    CaseFailedError,
    Proxy,
    Record,
    Request,
    SetupServer,
    run_case,
    trouble,
)

DESCRIPTORS = 256
TRAFFIC_S = 20.0
CALLS_PER_S = 2.0  # of the usual callers, each call on a connection of its own
BAD_PER_S = 40.0  # connections of bad clients: each asks once, for a class that does not exist, and stays
HOLD_S = (6.0, 9.7)
TOLD_S = 1.0 + 0.05  # by which a release is due at the caller
LOST_S = 8.0 + 0.05  # after which a call that is over and untold is lost
KEEP_S = 4.0  # for which a usual caller keeps a connection without a call


class BadClient:
    """Connects, asks once, reads whatever is sent to it, and holds its connection for good."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy, self.heard, self.releases = proxy, b"", 0

    async def play(self, call: str) -> None:
        try:
            reader, writer = await asyncio.open_connection(*self.proxy.listen)
            writer.write(
                f"INVITE sip:1@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: 1 INVITE\r\n"
                "Priority-Class: no-such-class\r\nExpires-Ms: 3000\r\nContent-Length: 1\r\n\r\nx".encode()
            )
            while data := await reader.read(4096):
                self.heard += data
                self.releases += data.count(b"BYE sip:")
            writer.close()
        except OSError:
            pass


async def play(record: Record, scratch: Path, proxies: list[Proxy]) -> list[str]:
    loop, rng = asyncio.get_running_loop(), random.Random(1)

    def establish(server: SetupServer, call: Call) -> None:
        loop.call_later(0.02, server.answer, call)
        loop.call_later(rng.uniform(*HOLD_S), server.release, call)

    board = Board(record)
    await board.start()
    servers = [SetupServer(f"s{i}", record, establish) for i in range(2)]
    for server in servers:
        await server.start()
    proxy = Proxy(record, scratch, board, servers)
    proxies.append(proxy)
    proxy.configuration["limits"]["sockets"] = DESCRIPTORS
    await proxy.start()
    caller = Caller(record, proxy.listen)
    own: dict[str, CallerConnection] = {}
    bad: list[BadClient] = []
    tasks: set[asyncio.Task] = set()

    async def usual_call(number: int) -> None:
        connection = await caller.connect()
        class_ = "officer-call" if number % 4 == 0 else "resident-call"
        request = connection.invite(f"{number:016x}", class_, number % 2, 3000)
        own[request.call] = connection
        await asyncio.wait_for(request.answered.wait(), 5.0)
        while not connection.closed_s and not request.released_s and request.status == 200:
            await asyncio.sleep(0.05)
        await asyncio.sleep(KEEP_S)
        if not connection.closed_s:
            connection.close()

    async def usual_callers() -> None:
        for number in range(int(TRAFFIC_S * CALLS_PER_S)):
            tasks.add(asyncio.create_task(usual_call(number)))
            await asyncio.sleep(1.0 / CALLS_PER_S)

    async def bad_clients() -> None:
        for number in range(int(TRAFFIC_S * BAD_PER_S)):
            bad.append(BadClient(proxy))
            tasks.add(asyncio.create_task(bad[-1].play(f"bad{number:013x}")))
            await asyncio.sleep(1.0 / BAD_PER_S)

    await asyncio.gather(usual_callers(), *([bad_clients()] if trouble() else []))
    await asyncio.sleep(HOLD_S[1] + LOST_S + 0.5)
    ends = {call.call: call for server in servers for call in server.received}
    refused = sum(b" 503 " in client.heard for client in bad)
    record(
        "case",
        f"{len(bad)} bad clients, {refused} of them refused, heard {sum(c.releases for c in bad)} releases",
    )
    established = [request for request in caller.requests.values() if request.status == 200]
    if len(established) < len(caller.requests) // 2:
        raise CaseFailedError(f"only {len(established)} of {len(caller.requests)} calls were established")
    findings = []
    for request in established:
        finding = judge(request, ends[request.call], own[request.call])
        if finding:
            findings.append(finding)
    for task in tasks:
        task.cancel()
    return findings


def judge(request: Request, call: Call, connection: CallerConnection) -> str:
    """A call that is over is told on any connection of the usual callers within 8 s of its end, or it is lost."""
    if not call.ended_s or time.monotonic() - call.ended_s < LOST_S:
        return ""
    if request.released_s and request.released_s[0] - call.ended_s <= LOST_S:
        return ""
    closed = f"closed {call.ended_s - connection.closed_s:.1f} s before" if connection.closed_s else "open"
    return f"call {request.call} is over and was never told; its connection was {closed}"


sys.exit(run_case(FOLDER, play))
