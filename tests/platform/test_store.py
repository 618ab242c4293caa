"""Test cuminstile.platform.store, on servers with scripted answers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from cuminstile.clock import Clock
from cuminstile.gateway.following import StoreCallError
from cuminstile.platform import store as store_module
from cuminstile.platform.store import StoreClient

from ..gateway.servers import Session, serving

pytestmark = pytest.mark.anyio
TOPIC = "topic"
EMPTY_PAGE = bytes(16)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + EMPTY_PAGE


@asynccontextmanager
async def store_of(*sessions: Session) -> AsyncIterator[tuple[StoreClient, list]]:
    """Yield a client of a server, and the connections that the server accepted."""
    async with serving(*sessions) as (address, accepted):
        yield StoreClient(address, Clock()), accepted


async def answer_all(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while await reader.readuntil(b"\r\n\r\n"):
        writer.write(ANSWER)


async def never_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while await reader.read(1000):
        pass


async def test_call_after_a_timeout_uses_another_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against breaking DRAIN after an outage: all later calls hung too."""
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_MS", 100.0)
    async with store_of(never_answer, answer_all) as (client, accepted):
        with pytest.raises(StoreCallError):
            await client.read(TOPIC, 0, 0.0)
        assert (await client.read(TOPIC, 0, 0.0)).end == 0
        assert len(accepted) == 2


async def test_timeout_of_one_call_ends_calls_that_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a long poll that is never answered and so misses all changes."""
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_MS", 100.0)
    async with store_of(never_answer) as (client, _):
        waiting = asyncio.create_task(client.read(TOPIC, 0, 20_000.0))
        await asyncio.sleep(0.05)
        with pytest.raises(StoreCallError):
            await client.read(TOPIC, 0, 0.0)
        async with asyncio.timeout(0.1):
            with pytest.raises(StoreCallError):
                await waiting


async def test_answered_calls_share_a_connection() -> None:
    async with store_of(answer_all) as (client, accepted):
        for _ in range(3):
            await client.read(TOPIC, 0, 0.0)
        assert len(accepted) == 1
