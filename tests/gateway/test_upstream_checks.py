"""Test cuminstile.gateway.upstream_checks on upstreams that speak, close or end."""

from __future__ import annotations

import asyncio
import socket

import pytest

from cuminstile.clock import Clock
from cuminstile.gateway.upstream_checks import liveness_check

from .servers import Session, serving

pytestmark = pytest.mark.anyio
ANSWER = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


def sending(data: bytes, stays: bool) -> Session:
    """Return a session that sends bytes at once, and stays open or closes."""

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(data)
        if stays:
            await reader.read()

    return session


@pytest.mark.parametrize("stays", [True, False])
async def test_upstream_that_sends_bytes_lives(stays: bool) -> None:
    """Guards against a sound upstream that counts as crashed, and a request for it.

    What comes on the connection of a check answers nothing, but a process has sent it.
    """
    lives = liveness_check(Clock())
    async with serving(sending(ANSWER, stays)) as (address, _):
        assert await lives(address)


@pytest.mark.parametrize("stays", [True, False])
async def test_upstream_that_sends_nothing_lives_if_it_keeps_the_connection(
    stays: bool,
) -> None:
    lives = liveness_check(Clock())
    async with serving(sending(b"", stays)) as (address, _):
        assert await lives(address) is stays


async def test_upstream_without_a_listener_has_ended() -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{free.getsockname()[1]}"
        assert not await liveness_check(Clock())(address)
