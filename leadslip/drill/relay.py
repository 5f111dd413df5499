"""A relay in front of each process: treats every way between two of them by itself. asyncio; loopback only.

Members reach a process at its relay; the relay knows the sender by its source IP, as each process has one of its own.
"""

from __future__ import annotations

import asyncio

from leadslip.drill.ways import Ways

PORT = 7946


class Relay(asyncio.DatagramProtocol):
    """In front of one process."""

    def __init__(self, ways: Ways, name: str, at: str, behind: str, name_of: dict[str, str]) -> None:
        self.ways, self.name, self.at, self.behind, self.name_of = ways, name, at, behind, name_of
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self.at, PORT))
        self.server = await asyncio.start_server(self.taken, self.at, PORT)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = self.name_of.get(addr[0])
        if sender is None:
            return
        for late_s, copy in self.ways.datagram((sender, self.name), data):
            if late_s:
                asyncio.get_running_loop().call_later(late_s, self.pass_on, copy)
            else:
                self.pass_on(copy)

    def pass_on(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, (self.behind, PORT))

    def error_received(self, exc: Exception) -> None:
        """Nobody listens behind it at the moment."""

    async def taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, in both directions."""
        sender = self.name_of.get(writer.get_extra_info("peername")[0])
        task = asyncio.current_task()
        self.tasks.add(task)
        far = None
        try:
            far_reader, far = await asyncio.open_connection(self.behind, PORT)
            await asyncio.gather(
                self.pump(reader, far, (sender, self.name)),
                self.pump(far_reader, writer, (self.name, sender)),
            )
        except OSError:
            pass
        finally:
            self.tasks.discard(task)
            for one in (writer, far):
                if one is not None:
                    one.close()

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: tuple) -> None:
        while data := await reader.read(65536):
            cut, mute, late_s = self.ways.stream(way)
            if cut:
                raise ConnectionResetError
            if mute:
                continue
            if late_s:
                await asyncio.sleep(late_s)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    async def stop(self) -> None:
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
