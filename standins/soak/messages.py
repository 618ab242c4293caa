"""HTTP messages as callers and upstreams of a soak write and read them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from random import Random

from .observations import Fields, get_field


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Fields]:
    """Return the first line and the fields of the next message.

    Raises
    ------
    asyncio.IncompleteReadError
        If the connection ends first.
    """
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, tuple((name.lower(), value.strip()) for name, _, value in pairs)


async def read_chunked(reader: asyncio.StreamReader, parts: list[bytes]) -> None:
    """Append the chunks of a body to `parts`, and read the fields after them."""
    while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
        parts.append((await reader.readexactly(size + 2))[:size])
    while (await reader.readline()).strip():
        pass


async def read_body(reader: asyncio.StreamReader, fields: Fields) -> bytes:
    """Return the body of a request.

    Raises
    ------
    asyncio.IncompleteReadError
        If the connection ends first.
    """
    if get_field(fields, "transfer-encoding").lower() != "chunked":
        return await reader.readexactly(int(get_field(fields, "content-length") or 0))
    parts: list[bytes] = []
    await read_chunked(reader, parts)
    return b"".join(parts)


async def read_answer_body(
    reader: asyncio.StreamReader, fields: Fields
) -> tuple[bytes, bool]:
    """Return the body of an answer and whether it is complete."""
    parts: list[bytes] = []
    try:
        if get_field(fields, "transfer-encoding").lower() == "chunked":
            await read_chunked(reader, parts)
        elif length := get_field(fields, "content-length"):
            parts.append(await reader.readexactly(int(length)))
        else:
            parts.append(await reader.read(-1))
    except asyncio.IncompleteReadError as error:
        return b"".join([*parts, error.partial]), False
    except (ConnectionError, ValueError):
        return b"".join(parts), False
    return b"".join(parts), True


def render_head(first: str, fields: Iterable[tuple[str, str]]) -> bytes:
    """Return the bytes of a head."""
    lines = [first, *(f"{name}: {value}" for name, value in fields)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def render_chunks(body: bytes, rng: Random, trailers: Fields = ()) -> bytes:
    """Return a body in chunks of drawn sizes, some with an extension."""
    parts = []
    longest = rng.choice((1, 7, 4_000)) if len(body) < 500 else 4_000
    start = 0
    while start < len(body):
        piece = body[start : start + rng.randint(1, longest)]
        extension = b";part=1" if rng.random() < 0.1 else b""
        parts.append(b"%x%b\r\n%b\r\n" % (len(piece), extension, piece))
        start += len(piece)
    fields = "".join(f"{name}: {value}\r\n" for name, value in trailers)
    return b"".join(parts) + b"0\r\n" + fields.encode() + b"\r\n"
