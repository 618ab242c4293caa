"""TCP relays between programs, whose links can be cut, delayed and closed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

PIECE_BYTES = 65_536


@dataclass
class Link:
    """One relayed address.

    Parameters
    ----------
    delay_s : float
        Delay of each piece in either direction, s.
    passing : dict of str to asyncio.Event
        Set while bytes pass `forth` and `back`; new connections wait for both.
    is_closed : bool
        Whether new connections are closed at once.
    """

    name: str
    target: str
    address: str = ""
    delay_s: float = 0.0
    is_closed: bool = False
    passing: dict[str, asyncio.Event] = field(default_factory=dict)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a host; a port of 0 takes a free one."""
        for direction in ("forth", "back"):
            self.passing[direction] = asyncio.Event()
            self.passing[direction].set()
        self.server = await asyncio.start_server(self.relay, host, port)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def refuse(self) -> None:
        """Refuse new connections, as the address of a process that has ended does."""
        if self.server is not None:
            self.server.close()
            self.server = None

    async def accept(self) -> None:
        """Take new connections at the same address again."""
        if self.server is None:
            host, _, port = self.address.rpartition(":")
            self.server = await asyncio.start_server(self.relay, host, int(port))

    async def relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until either end closes it."""
        self.writers.add(writer)
        for passing in self.passing.values():
            await passing.wait()
        if self.is_closed or writer.is_closing():
            self.writers.discard(writer)
            writer.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            ahead, onward = await asyncio.open_connection(host, int(port))
        except OSError:
            self.writers.discard(writer)
            writer.transport.abort()
            return
        self.writers.add(onward)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self.forward(reader, onward, "forth"))
                tasks.create_task(self.forward(ahead, writer, "back"))
        except* ConnectionError:
            writer.transport.abort()
            onward.transport.abort()
        finally:
            self.writers -= {writer, onward}

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        """Forward bytes in one direction, and the end of the connection."""
        while data := await reader.read(PIECE_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self.passing[direction].wait()
            writer.write(data)
            await writer.drain()
        await self.passing[direction].wait()
        writer.close()

    def hold(self) -> None:
        """Hold back all bytes, like a network that drops packets."""
        for passing in self.passing.values():
            passing.clear()

    def let_pass(self) -> None:
        """Let bytes pass again."""
        for passing in self.passing.values():
            passing.set()

    def close(self) -> None:
        """Close all open connections."""
        for writer in list(self.writers):
            writer.close()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Listen no more and reset all connections."""
        self.refuse()
        self.reset()
