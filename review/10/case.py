"""A peer that is no usual caller sends unreadable bytes as the number called."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers2 as peers

BAD_CLIENTS = 5


async def bad_client(case: peers.Case, proxy: peers.Proxy, sent: dict[str, bytes]) -> None:
    """Sends one set-up whose number is noise, and reads what is sent to it."""
    id_, number = secrets.token_hex(8), bytes(0x80 + secrets.randbelow(0x80) for _ in range(12))
    description = b"%s\r\nc=IN IP4 127.0.0.1\r\n" % id_.encode()
    sent[id_] = number
    reader, writer = await asyncio.open_connection(*proxy.address)
    writer.write(
        b"INVITE sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"
        b"Priority-Class: resident-call\r\nExpires-Ms: 3000\r\nP-Trunk-Info: dest:0;width:1;via:-1\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (number, id_.encode(), len(description), description)
    )
    case.record(f"bad client: set-up {id_} number {number!r}")
    with contextlib.suppress(TimeoutError, OSError):
        head = await asyncio.wait_for(reader.read(200), 3.0)
        case.record(f"bad client: {id_} got {head[:40]!r}")
    writer.close()


async def play(case: peers.Case) -> None:
    proxy = await case.set_out(servers=2, hold_s=2.0)
    proxy.start()
    await proxy.ready()
    caller = await peers.CallerConnection(case.callers, "caller").open(proxy.address)
    sent: dict[str, bytes] = {}
    for i in range(40):
        caller.set_up(first_choice=i % 2, call_class=("resident-call", "officer-call")[i % 4 == 3])
        if case.trouble and i % 8 == 4:
            await bad_client(case, proxy, sent)
        await asyncio.sleep(0.1)
    await asyncio.sleep(3.0)
    case.require_running(proxy)
    case.require(all(server.set_ups for server in case.servers), "a server has got no set-up")
    sent |= {id_: call.number for id_, call in case.callers.calls.items()}
    for server in case.servers:
        for _, id_, fields in server.set_ups:
            number = fields[peers.NUMBER]
            if sent.get(id_.hex()) != number:
                case.fault(
                    f"{server.name} got a set-up {id_.hex()} to number {number!r}, which nobody sent: "
                    f"the number sent was {sent.get(id_.hex())!r}"
                )


peers.run(__file__, play)
