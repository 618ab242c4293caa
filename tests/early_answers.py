"""Answers to a request that is still being sent, which break off or can't be read."""

import asyncio
import socket
import struct
from collections.abc import Callable
from enum import StrEnum

from .gateway.servers import Session

RESET = struct.pack("ii", 1, 0)
UPLOAD = b"x" * 3_000_000
"""More than the buffers of two sockets hold."""
UNREADABLE_STATUSES = (
    *("000", "001", "0", "00", "99", "099", "1000", "0200", "2000"),
    *("abc", "2x0", "+200", "-20", "20", "", "2 0"),
)


class Ending(StrEnum):
    """How an upstream ends a connection on which it has bytes to read.

    `HALF`: it ends its own direction, and resets the other one a moment later.
    """

    RESET = "reset"
    CLOSED = "closed"
    HALF = "half"


def early(
    data: bytes | Callable[[bytes], bytes], ending: Ending, read: int, pause_s: float
) -> Session:
    """Return a session that writes bytes before it has read a request, then ends.

    Parameters
    ----------
    data : bytes or callable
        What it writes, or returns that for the bytes that it has read.
    read : int
        How many bytes of the request it reads at most.
    pause_s : float
        Time between the bytes and the end.
    """

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        seen = await reader.read(read) if read else b""
        raw: socket.socket = writer.get_extra_info("socket")
        writer.write(data if isinstance(data, bytes) else data(seen))
        await writer.drain()
        await asyncio.sleep(pause_s)
        if ending is not Ending.CLOSED:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        if ending is Ending.HALF:
            writer.write_eof()
            await asyncio.sleep(0.05)
        writer.transport.abort()

    return session


def with_status(status: str, body: bytes) -> bytes:
    """Return an answer with any text as its status."""
    length = len(body)
    return f"HTTP/1.1 {status} A\r\nContent-Length: {length}\r\n\r\n".encode() + body
