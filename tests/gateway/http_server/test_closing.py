"""Test cuminstile.gateway.http_server: connections of a server that closes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest

from cuminstile.clock import Clock
from cuminstile.gateway.http_server import (
    CallerConnection,
    Request,
    Server,
    listen,
    stop_listening,
)
from cuminstile.gateway.model import Limits
from cuminstile.memory.descriptors import LEAST_AGE_MS

pytestmark = pytest.mark.anyio
WHOLE = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
BODY = b"x" * 60_000
KERNEL_BUFFER_BYTES = 4_096
WAIT_S = 3.0


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, bool]]:
    """Run on both event loops: each has transports of its own."""
    return "asyncio", {"use_uvloop": request.param}


@dataclass
class Site:
    """A server, the requests that it ran, and its callers' sockets."""

    server: Server
    listener: asyncio.Server
    ran: list[Request] = field(default_factory=list)
    callers: list[socket.socket] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.address = self.listener.sockets[0].getsockname()

    def connect(self, buffer_bytes: int | None = None) -> socket.socket:
        """Connect, also while the server accepts nothing, as the kernel does it."""
        caller = socket.socket()
        if buffer_bytes is not None:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        caller.connect(self.address)
        caller.setblocking(False)
        self.callers.append(caller)
        return caller


@contextlib.asynccontextmanager
async def serving_site(answer: bytes = b"") -> AsyncIterator[Site]:
    """Run a server whose kernel buffer is small."""
    ran: list[Request] = []

    async def handle(request: Request, out: CallerConnection) -> None:
        assert out.transport is not None
        own: socket.socket = out.transport.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
        ran.append(request)
        await out.write_answer(200, (), answer)

    server = Server(Clock(), handle, Limits)
    listener = await listen(server, "127.0.0.1:0")
    site = Site(server, listener, ran)
    try:
        yield site
    finally:
        for caller in site.callers:
            caller.close()
        listener.close()
        for connection in list(server.connections):
            connection.abort()


async def receive(caller: socket.socket, size: int = 65_536) -> bytes:
    """Return what comes next, nothing at the end of the connection."""
    loop = asyncio.get_running_loop()
    return await asyncio.wait_for(loop.sock_recv(caller, size), WAIT_S)


async def receive_all(caller: socket.socket) -> bytes:
    """Return all that comes until the end of the connection."""
    received = b""
    while data := await receive(caller):
        received += data
    return received


# Guards against an answer whose end is lost, as the close of a connection with unread
# bytes resets it.
async def test_caller_that_goes_on_sending_gets_its_last_answer_whole() -> None:
    async with serving_site(BODY) as site:
        caller = site.connect(KERNEL_BUFFER_BYTES)
        site.server.begin_closing()
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(caller, WHOLE)
        received = b""
        while data := await receive(caller, 1_024):
            received += data
            if len(received) % 4_096 == 0:
                await loop.sock_sendall(caller, WHOLE)
            await asyncio.sleep(0)
        assert received.startswith(b"HTTP/1.1 200")
        assert received.endswith(BODY)
        assert len(site.ran) == 1


async def test_connection_that_its_caller_never_closes_ends_by_itself() -> None:
    """Guards against ended connections that stay open for as long as a caller likes."""
    async with serving_site() as site:
        caller = site.connect()
        site.server.begin_closing()
        caller.send(WHOLE)
        assert b"Connection: close" in await receive_all(caller)
        async with asyncio.timeout(WAIT_S):
            while site.server.connections:
                site.server.enforce_timeouts()
                await asyncio.sleep(0.05)


async def kept_connection(site: Site) -> socket.socket:
    """Return a connection on which one request was answered."""
    caller = site.connect()
    caller.send(WHOLE)
    assert (await receive(caller)).startswith(b"HTTP/1.1 200")
    return caller


async def test_request_that_came_before_its_connection_is_closed_is_answered() -> None:
    """Guards against a close of an idle connection on which bytes wait to be read."""
    async with serving_site() as site:
        caller = await kept_connection(site)
        site.server.begin_closing()
        caller.send(WHOLE)
        site.server.close_idle()
        assert not site.server.is_done()
        assert (await receive_all(caller)).startswith(b"HTTP/1.1 200")
        assert len(site.ran) == 2


async def test_idle_connection_is_closed() -> None:
    async with serving_site() as site:
        caller = await kept_connection(site)
        site.server.begin_closing()
        site.server.close_idle()
        assert site.server.is_done()
        assert await receive_all(caller) == b""


async def test_request_that_crosses_the_close_of_its_connection_is_not_read() -> None:
    """Guards against a request that is read and dropped without an answer."""
    async with serving_site() as site:
        caller = await kept_connection(site)
        (connection,) = site.server.connections
        site.server.begin_closing()
        site.server.close_idle()
        caller.send(WHOLE)
        with contextlib.suppress(ConnectionResetError):
            assert await receive_all(caller) == b""
        assert connection.lost
        assert connection.incoming.received_bytes == 0
        assert not connection.sends_on


async def test_new_connection_may_send_its_first_request() -> None:
    """Guards against a connection that is closed while its request is on the way."""
    async with serving_site() as site:
        caller = site.connect()
        await asyncio.sleep(0.05)
        site.server.begin_closing()
        site.server.close_idle()
        assert not site.server.is_done()
        await asyncio.sleep(0.05)
        caller.send(WHOLE)
        assert (await receive_all(caller)).startswith(b"HTTP/1.1 200")


async def test_connection_that_sends_nothing_is_closed_soon() -> None:
    async with serving_site() as site:
        caller = site.connect()
        await asyncio.sleep(0.05)
        site.server.begin_closing()
        await asyncio.sleep(LEAST_AGE_MS / 1_000.0)
        site.server.close_idle()
        assert site.server.is_done()
        assert await receive_all(caller) == b""


async def test_request_after_the_last_answer_is_not_run() -> None:
    """Guards against a reset that takes the last answer along, and against a run."""
    async with serving_site() as site:
        caller = site.connect()
        site.server.begin_closing()
        caller.send(WHOLE)
        assert b"Connection: close" in await receive(caller)
        caller.send(WHOLE)
        assert await receive_all(caller) == b""
        assert len(site.ran) == 1


# Guards against connections that the kernel has accepted, and that are reset with the
# socket on which the server listens.
async def test_connections_that_wait_to_be_accepted_are_served() -> None:
    async with serving_site() as site:
        site.server.begin_closing()
        waiting = [site.connect() for _ in range(20)]
        for caller in waiting:
            caller.send(WHOLE)
        await stop_listening(site.server, site.listener)
        answers = await asyncio.gather(*map(receive_all, waiting))
        assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
        with pytest.raises(ConnectionRefusedError):
            site.connect()


LARGE = 1_000_000
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
PARTS = {
    "part of a head": HEAD,
    "part of a body": HEAD + b"Content-Length: 100\r\n\r\nbody",
    "in turn": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 20_000,
    "waits for room": HEAD + b"Content-Length: %d\r\n\r\n" % LARGE + BODY,
    "expects 100": HEAD + b"Expect: 100-continue\r\nContent-Length: 100\r\n\r\n",
}


async def refuse(request: Request, out: CallerConnection) -> None:
    """Refuse a request that has not run."""
    del request
    await out.write_answer(503, ((b"Retry-After", b"0.3"),), b"leaving")


# Guards against a request that gets no refusal for what it waits for, or two answers.
@pytest.mark.parametrize("part", PARTS)
async def test_part_of_a_request_is_refused_once_whatever_it_waits_for(
    part: str,
) -> None:
    async with serving_site() as site:
        site.server.account.size = 4.0 * LARGE
        if part == "waits for room":
            site.connect().send(PARTS[part])
            await asyncio.sleep(0.05)
        caller = site.connect()
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(caller, PARTS[part])
        await asyncio.sleep(0.05)
        assert bool(site.server.account.waiting) == (part == "waits for room")
        site.server.begin_closing()
        site.server.refuse_unread(refuse)
        site.server.refuse_unread(refuse)
        received = await receive_all(caller)
        answer = received.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 503")
        assert answer.count(b"HTTP/1.1 ") == 1
        assert answer.endswith(b"leaving")
        caller.close()
        for one in site.callers:
            one.close()
        async with asyncio.timeout(WAIT_S):
            while not site.server.is_done():
                await asyncio.sleep(0.01)
        assert site.server.account.held == 0
        assert not site.ran


async def test_request_that_comes_after_the_last_refusal_is_refused_too() -> None:
    """Guards against a request that runs when its answer can't be awaited any more."""
    async with serving_site() as site:
        caller = site.connect()
        site.server.begin_closing()
        site.server.refuse_unread(refuse)
        caller.send(WHOLE)
        assert (await receive_all(caller)).startswith(b"HTTP/1.1 503")
        assert not site.ran
