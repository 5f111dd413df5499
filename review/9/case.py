"""A planned restart of a proxy, whose first connection to one setup server then does not come up in time.

A call that was set up there before ends some seconds later. Its caller has to be told.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers2 as peers

LATE_S = 0.8  # how long new connections to the server do not come up; the page says up to 1 s
STANDING = 5  # calls at that server when the proxy restarts
EXIT_LIMIT_S = 3.7  # the earliest SIGKILL after SIGTERM: 3 s and 0.7 s
HOLD_S = 7.2  # the mean length of an officer-call in the settings
LIMIT_S = 8.0 + 0.05  # from the end of a call, where no release could be sent
CALLS_PER_S = 10
# `TROUBLE=restart` (a control): the restart alone, and all connections come up at once.
LATE = os.environ.get("TROUBLE") != "restart"


async def place_calls(case: peers.Case, connection: peers.CallerConnection, until_s: float) -> None:
    """Places calls whose first choice is the other server, number 1."""
    while time.monotonic() < until_s:
        connection.set_up(first_choice=1)
        await asyncio.sleep(1.0 / CALLS_PER_S)


async def restart(case: peers.Case, proxy: peers.Proxy, server: peers.SetupServer) -> peers.CallerConnection:
    """Restarts the proxy; returns a connection of the caller to the new process."""
    proxy.signal(signal.SIGTERM)
    status = await proxy.exited(proxy.processes[-1], EXIT_LIMIT_S)
    case.require(status == 0, f"the proxy has not ended in order after SIGTERM: {status}")
    if LATE:
        await server.hold_back_connections()
    proxy.start()
    await proxy.ready()
    return await peers.CallerConnection(case.callers, "caller again").open(proxy.address)


async def play(case: peers.Case) -> None:
    proxy = await case.set_out(servers=2, hold_s=HOLD_S)
    server = case.servers[0]
    proxy.start()
    await proxy.ready()
    caller = await peers.CallerConnection(case.callers, "caller").open(proxy.address)
    standing = [caller.set_up("officer-call", first_choice=0) for _ in range(STANDING)]
    await asyncio.sleep(1.0)
    standing = [call for call in standing if call.stands]
    if not standing:
        raise peers.NotRunError("no call stands at the server")
    if case.trouble:
        caller = await restart(case, proxy, server)
    traffic = asyncio.create_task(place_calls(case, caller, time.monotonic() + HOLD_S + LIMIT_S + 2.0))
    if case.trouble and LATE:
        await asyncio.sleep(LATE_S)
        server.let_connections_up()
    await traffic
    case.require_running(proxy)
    for call in standing:
        ended_s = server.ended_s.get(bytes.fromhex(call.id))
        if ended_s is None:
            raise peers.NotRunError(f"call {call.id} has not ended at its server")
        if not call.released_s or call.released_s[0] - ended_s > LIMIT_S:
            told = f"{call.released_s[0] - ended_s:.1f} s after" if call.released_s else "never told of"
            case.fault(f"caller of {call.id} was {told} its end, {time.monotonic() - ended_s:.1f} s ago")


peers.run(__file__, play)
