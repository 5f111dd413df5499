"""A relay in front of each process, which applies the faults of each network path. asyncio; loopback only.

Members advertise the address of their relay, so others reach them through it. A relay identifies the sender by its
source IP, as each process has its own.
"""

from __future__ import annotations

import asyncio

from leadslip.drill.link_faults import LinkFaults

PORT = 7946  # fleet port, of the relays and of the processes behind them


class Relay(asyncio.DatagramProtocol):
    """Relays datagrams and connections to the process `name` at `target_ip`; `name_of` maps source IPs to names."""

    def __init__(
        self, link_faults: LinkFaults, name: str, listen_ip: str, target_ip: str, name_of: dict[str, str]
    ) -> None:
        self.link_faults, self.name, self.listen_ip, self.target_ip, self.name_of = (
            link_faults,
            name,
            listen_ip,
            target_ip,
            name_of,
        )
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen for datagrams and connections."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self.listen_ip, PORT))
        self.server = await asyncio.start_server(self.on_connection, self.listen_ip, PORT)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = self.name_of.get(addr[0])
        if sender is None:
            return
        for delay_s, copy in self.link_faults.copies_to_deliver((sender, self.name), data):
            if delay_s:
                asyncio.get_running_loop().call_later(delay_s, self.forward, copy)
            else:
                self.forward(copy)

    def forward(self, data: bytes) -> None:
        """Send a datagram to the process behind the relay."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, (self.target_ip, PORT))

    def error_received(self, exc: Exception) -> None:
        """Ignored: the process behind the relay is not listening at the moment."""

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one inbound connection in both directions; both are closed when data arrives on a cut path."""
        sender = self.name_of.get(writer.get_extra_info("peername")[0])
        task = asyncio.current_task()
        self.tasks.add(task)
        target_writer = None
        try:
            target_reader, target_writer = await asyncio.open_connection(self.target_ip, PORT)
            await asyncio.gather(
                self.copy_direction(reader, target_writer, (sender, self.name)),
                self.copy_direction(target_reader, writer, (self.name, sender)),
            )
        except OSError:
            pass
        finally:
            self.tasks.discard(task)
            for open_writer in (writer, target_writer):
                if open_writer is not None:
                    open_writer.close()

    async def copy_direction(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, path: tuple
    ) -> None:
        """Copy one direction of a connection, applying the faults of its path. Raises ConnectionResetError if cut."""
        while data := await reader.read(65536):
            blocked, muted, delay_s = self.link_faults.connection_faults(path)
            if blocked:
                raise ConnectionResetError
            if muted:
                continue
            if delay_s:
                await asyncio.sleep(delay_s)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    async def stop(self) -> None:
        """Close the sockets and cancel the relayed connections."""
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
