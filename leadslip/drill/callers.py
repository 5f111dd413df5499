"""Callers of the drill: SIP over TCP to each process, and a record of every answer. asyncio."""

from __future__ import annotations

import asyncio
import re
import time
from random import Random

VALID_MS = 3000.0
AGAIN_S = 0.2  # between two tries to reach a process that does not listen
ID = re.compile(rb"\r\nCall-ID: *([0-9a-fA-F]{16})", re.IGNORECASE)
LENGTH = re.compile(rb"\r\nContent-Length: *(\d+)", re.IGNORECASE)
INVITE = (
    "INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\nCSeq: 1 INVITE\r\n"
    "Priority-Class: resident-call\r\nExpires-Ms: {valid}\r\nP-Trunk-Info: dest:0;width:1;via:-1\r\n"
    "Content-Length: 5\r\n\r\nc=off"
)
BYE = b"BYE sip:proxy@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"
READY = b"OPTIONS sip:proxy@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
HEARD = b"SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"


async def released(address: tuple[str, int], calls: list[str]) -> list[int]:
    """What a process answers to a release of each of these calls; 0 where it does not."""
    told: list[int] = []
    try:
        reader, writer = await asyncio.open_connection(*address)
        for id_ in calls:
            writer.write(BYE % id_.encode())
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
            while b" BYE\r\n" not in head or head.startswith(b"BYE"):
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
            told.append(int(head[8:11]))
        writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    return told + [0] * (len(calls) - len(told))


class Caller:
    """Places calls at one process, a connection at a time, and notes what is answered."""

    def __init__(
        self, name: str, address: tuple[str, int], rate: float, seed: int, releases: bool = False
    ) -> None:
        self.releases = releases  # half of the calls that stand, about a second later
        self.name, self.address, self.rate, self.draw = name, address, rate, Random(seed)
        self.calls: dict[bytes, dict] = {}
        self.writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            try:
                if self.writer is None or self.writer.is_closing():
                    reader, self.writer = await asyncio.open_connection(*self.address)
                    asyncio.get_running_loop().create_task(self.listen(reader, self.writer))
                    # Who says nothing for two seconds is closed, and a call that crosses that would be lost.
                    self.writer.write(READY % f"{self.draw.getrandbits(64):016x}".encode())
                await asyncio.sleep(self.draw.expovariate(self.rate))
                if self.writer.is_closing():
                    continue
                id_ = f"{self.draw.getrandbits(64):016x}"
                call = {
                    "id": id_,
                    "proxy": self.name,
                    "at_ms": time.time() * 1000.0,
                    "answers": [],
                    "lost": False,
                }
                self.calls[id_.encode()] = call
                text = INVITE.format(number=self.draw.randrange(10**8), id=id_, valid=int(VALID_MS))
                self.writer.write(text.encode())
                await self.writer.drain()
            except OSError:
                self.writer = None
                await asyncio.sleep(AGAIN_S)

    def release(self, id_: bytes, writer: asyncio.StreamWriter) -> None:
        if not writer.is_closing():
            self.calls[id_]["released"] = 0  # asked for; not answered so far
            writer.write(BYE % id_)

    async def listen(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Note answers until the connection ends; what is open on it then is lost with it."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(LENGTH.search(head)[1]))
                id_ = ID.search(head)[1]
                if head.startswith(b"BYE"):
                    writer.write(HEARD % id_)
                elif id_ in self.calls and b" BYE\r\n" in head:
                    self.calls[id_]["released"] = int(head[8:11])
                elif id_ in self.calls and b" INVITE\r\n" in head and not head.startswith(b"SIP/2.0 1"):
                    self.calls[id_]["answers"].append([time.time() * 1000.0, int(head[8:11])])
                    if self.releases and head.startswith(b"SIP/2.0 200") and self.draw.random() < 0.5:
                        asyncio.get_running_loop().call_later(1.0, self.release, id_, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            for call in self.calls.values():
                if not call["answers"]:
                    call["lost"] = True
