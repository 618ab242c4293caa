"""Test cuminstile.gateway.http_client with a server that sends given answers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from cuminstile.gateway.connection_pool import ConnectionPool
from cuminstile.gateway.http_client import (
    HttpConnection,
    open_connection,
    render_request,
)

from .servers import serving

pytestmark = pytest.mark.anyio
REQUEST = render_request(b"GET", b"/", (), b"")
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
KEY = "upstream"


@asynccontextmanager
async def connected(answer: bytes) -> AsyncIterator[HttpConnection]:
    """Open a connection to a server that answers each request with the same bytes."""

    async def answer_all(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(answer)

    async with serving(answer_all) as (address, _):
        connection = await open_connection(address)
        try:
            yield connection
        finally:
            connection.close("test is over")


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no",
        b"HTTP/1.1 100 Continue\r\n\r\n",
    ],
    ids=["nothing", "part of a head", "part of a body", "a provisional head"],
)
async def test_connection_with_an_incomplete_answer_is_not_reused(
    answer: bytes,
) -> None:
    """Guards against a dead connection in the pool, as broke DRAIN after an outage."""
    pool = ConnectionPool({})
    async with connected(answer) as connection:
        connection.send(REQUEST)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await connection.receive_head()
                await connection.receive_rest()
        pool.release(KEY, connection, 0.0)
        assert pool.acquire(KEY, 0.0) is None


async def test_connection_with_a_complete_answer_is_reused() -> None:
    pool = ConnectionPool({})
    async with connected(ANSWER) as connection:
        for _ in range(3):
            connection.send(REQUEST)
            await connection.receive_head()
            assert await connection.receive_rest() == b"ok"
            pool.release(KEY, connection, 0.0)
            assert pool.acquire(KEY, 0.0) is connection


async def test_bytes_on_an_idle_connection_are_reported_with_their_peer() -> None:
    """Guards against a second answer that leaves no trace in the log."""
    reported: list[tuple[str, bytes]] = []
    pool = ConnectionPool({}, lambda key, data: reported.append((key, data)))
    late = asyncio.Event()

    async def answer_twice(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)
        await late.wait()
        writer.write(ANSWER)
        await reader.read()

    async with serving(answer_twice) as (address, _):
        connection = await open_connection(address)
        connection.send(REQUEST)
        await connection.receive_head()
        await connection.receive_rest()
        pool.release(KEY, connection, 0.0)
        late.set()
        async with asyncio.timeout(2.0):
            while connection.lost is None:
                await asyncio.sleep(0.01)
    assert reported == [(KEY, ANSWER)]
    assert pool.acquire(KEY, 0.0) is None
