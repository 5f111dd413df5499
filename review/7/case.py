"""A new configuration moves the notice board and adds a class without the key that the pages call optional.

After SIGHUP the proxy has to follow the new notice board: it sends nothing new to a server that drains.
"""

from __future__ import annotations

import asyncio
import copy
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers2 as peers

CALLS_PER_S = 10
OLD_BOARD_CLOSES_S = 1.5
TOLD_S = 7.0  # after this time an event counts as told, whether it has arrived or not
GRACE_S = 1.0 + 0.05  # obligations.stop_sending_within_ms of the site, and the slack of the sockets
# `TROUBLE=kept` (a control): the same SIGHUP, but the new class has the optional key as well.
KEPT = os.environ.get("TROUBLE") == "kept"


async def place_calls(connection: peers.CallerConnection, until_s: float) -> None:
    while time.monotonic() < until_s:
        connection.set_up(first_choice=0)
        await asyncio.sleep(1.0 / CALLS_PER_S)


async def retune(case: peers.Case, proxy: peers.Proxy) -> peers.Board:
    """Replaces the configuration file and sends SIGHUP; returns the notice board from then on."""
    new_board = peers.Board(case.record)
    await new_board.start()
    settings = copy.deepcopy(proxy.configuration["settings"])
    new_class = {name: value for name, value in settings["services"][0].items() if name != "aim_stretch"}
    new_class |= {"name": "drill-call"} | ({"aim_stretch": 0.5} if KEPT else {})
    settings["services"].append(new_class)
    for name, value in (("allowed_pools", [0, 1]), ("channels_needed", 1), ("mean_hold_ms", 9000.0)):
        settings["extra"][name].append(value)
    proxy.configure(board=new_board.address, settings=settings)
    proxy.signal(signal.SIGHUP)
    case.board.server.close()  # the old one accepts no new connection and tells nothing further
    await asyncio.sleep(OLD_BOARD_CLOSES_S)
    case.board.close_streams()
    return new_board


async def play(case: peers.Case) -> None:
    proxy = await case.set_out(servers=2, hold_s=2.0)
    settings = peers.settings()
    for service in settings["services"]:
        service["aim_stretch"] = 0.5
    proxy.configure(settings=settings)
    proxy.start()
    await proxy.ready()
    caller = await peers.CallerConnection(case.callers, "caller").open(proxy.address)
    traffic = asyncio.create_task(place_calls(caller, time.monotonic() + 20.0))
    await asyncio.sleep(3.0)
    board = await retune(case, proxy) if case.trouble else case.board
    await asyncio.sleep(4.0)
    if proxy.processes[-1].poll() is not None:
        case.fault("the proxy has ended on SIGHUP")
        return
    server = case.servers[0]
    board.publish(peers.notice(2, (server.name, server.address, server.number, "leaving")))
    told_s = time.monotonic() + TOLD_S
    await traffic
    case.require_running(proxy)
    case.require(bool(server.set_ups), "the server has got no set-up")
    late = [at_s for at_s, _, _ in server.set_ups if at_s > told_s + GRACE_S]
    if late:
        case.fault(
            f"{server.name} got {len(late)} new set-ups later than {GRACE_S} s after the proxy was told "
            f"that it drains, the last {late[-1] - told_s:.1f} s after"
        )


peers.run(__file__, play)
