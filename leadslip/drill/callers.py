"""Callers of a fault-injection run: send calls by SIP over TCP to each process and record every answer. asyncio."""

from __future__ import annotations

import asyncio
import re
import time
from random import Random

REQUEST_VALID_MS = 3000.0
RECONNECT_DELAY_S = 0.2  # wait before reconnecting to a process that does not listen
CALL_ID_HEADER = re.compile(rb"\r\nCall-ID: *([0-9a-fA-F]{16})", re.IGNORECASE)
CONTENT_LENGTH_HEADER = re.compile(rb"\r\nContent-Length: *(\d+)", re.IGNORECASE)
INVITE = (
    "INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\nCSeq: 1 INVITE\r\n"
    "Priority-Class: resident-call\r\nExpires-Ms: {valid}\r\nP-Trunk-Info: dest:0;width:1;via:-1\r\n"
    "Content-Length: 5\r\n\r\nc=off"
)
BYE = b"BYE sip:proxy@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"
OPTIONS = b"OPTIONS sip:proxy@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
BYE_OK = b"SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"


async def release_calls(address: tuple[str, int], calls: list[str]) -> list[int]:
    """Request the release of calls, by Call-ID, at a process; returns the status of each answer, 0 without one."""
    statuses: list[int] = []
    try:
        reader, writer = await asyncio.open_connection(*address)
        for id_ in calls:
            writer.write(BYE % id_.encode())
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
            while b" BYE\r\n" not in head or head.startswith(b"BYE"):
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
            statuses.append(int(head[8:11]))
        writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    return statuses + [0] * (len(calls) - len(statuses))


class Caller:
    """Sends `rate` calls per second to one process over one connection at a time, and records the answers.

    `calls` maps each Call-ID to a record, which a run writes to calls.json: `at_ms` is the Unix time of the call,
    `answers` lists the time and status of each final answer, `lost` says that the connection ended without an answer,
    and `released` is the status of the answer to the caller's BYE (0: none yet).
    """

    def __init__(
        self,
        process_name: str,
        address: tuple[str, int],
        rate: float,
        seed: int,
        releases_calls: bool = False,
    ) -> None:
        self.releases_calls = (
            releases_calls  # release half of the established calls, each 1 s after its answer
        )
        self.process_name, self.address, self.rate, self.rng = process_name, address, rate, Random(seed)
        self.calls: dict[bytes, dict] = {}
        self.writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send calls at random intervals until cancelled; reconnects when the connection ends."""
        while True:
            try:
                if self.writer is None or self.writer.is_closing():
                    reader, self.writer = await asyncio.open_connection(*self.address)
                    asyncio.get_running_loop().create_task(self.listen(reader, self.writer))
                    # The proxy closes a connection without a first message within 2 s; a call sent then would be lost.
                    self.writer.write(OPTIONS % f"{self.rng.getrandbits(64):016x}".encode())
                await asyncio.sleep(self.rng.expovariate(self.rate))
                if self.writer.is_closing():
                    continue
                id_ = f"{self.rng.getrandbits(64):016x}"
                call = {
                    "id": id_,
                    "proxy": self.process_name,
                    "at_ms": time.time() * 1000.0,
                    "answers": [],
                    "lost": False,
                }
                self.calls[id_.encode()] = call
                text = INVITE.format(number=self.rng.randrange(10**8), id=id_, valid=int(REQUEST_VALID_MS))
                self.writer.write(text.encode())
                await self.writer.drain()
            except OSError:
                self.writer = None
                await asyncio.sleep(RECONNECT_DELAY_S)

    def release(self, id_: bytes, writer: asyncio.StreamWriter) -> None:
        """Request the release of a call on the connection that set it up."""
        if not writer.is_closing():
            self.calls[id_]["released"] = 0  # requested, not answered yet
            writer.write(BYE % id_)

    async def listen(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Record answers, and confirm releases by the proxy, until the connection ends; marks unanswered calls lost."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(CONTENT_LENGTH_HEADER.search(head)[1]))
                id_ = CALL_ID_HEADER.search(head)[1]
                if head.startswith(b"BYE"):
                    writer.write(BYE_OK % id_)
                elif id_ in self.calls and b" BYE\r\n" in head:
                    self.calls[id_]["released"] = int(head[8:11])
                elif id_ in self.calls and b" INVITE\r\n" in head and not head.startswith(b"SIP/2.0 1"):
                    self.calls[id_]["answers"].append([time.time() * 1000.0, int(head[8:11])])
                    if self.releases_calls and head.startswith(b"SIP/2.0 200") and self.rng.random() < 0.5:
                        asyncio.get_running_loop().call_later(1.0, self.release, id_, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            for call in self.calls.values():
                if not call["answers"]:
                    call["lost"] = True
