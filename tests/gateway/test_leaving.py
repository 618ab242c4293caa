"""Test cuminstile.gateway.leaving: a planned stop beside slow callers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

import pytest

from cuminstile.clock import Clock
from cuminstile.events import Event
from cuminstile.gateway import handing_over
from cuminstile.gateway.http_server import CallerConnection, Request, Server, listen
from cuminstile.gateway.leaving import (
    BALANCER_REMOVAL_MS,
    POLL_INTERVAL_MS,
    drain,
)
from cuminstile.gateway.model import Limits
from cuminstile.gateway.state import Gateway
from cuminstile.shutdown.schedule import EXIT_MARGIN_MS

from .test_state import make_vm

pytestmark = pytest.mark.anyio
BODY = b"x" * 60_000
"""Less than the bytes after which an answer waits for its caller."""
KERNEL_BUFFER_BYTES = 4_096
SHUTDOWN_MS = 5_000.0
LATER_S = (BALANCER_REMOVAL_MS + 4 * POLL_INTERVAL_MS) / 1_000.0
"""When a caller that paused reads on: before the end of the shutdown time."""


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, bool]]:
    """Run on both event loops: each has transports of its own."""
    return "asyncio", {"use_uvloop": request.param}


async def answer(request: Request, out: CallerConnection) -> None:
    """Write an answer that fits into the process's own buffer only."""
    del request
    assert out.transport is not None
    own: socket.socket = out.transport.get_extra_info("socket")
    own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
    await out.write_answer(200, (), BODY)


@dataclass
class Leaving:
    """A VM that is stopped while a caller has not read its answer yet."""

    caller: socket.socket
    draining: asyncio.Task[None]
    began_s: float

    async def read_all(self) -> bytes:
        """Return what the caller gets until the connection ends."""
        loop, received = asyncio.get_running_loop(), b""
        while data := await loop.sock_recv(self.caller, 65_536):
            received += data
        return received


@pytest.fixture
async def leaving() -> AsyncIterator[Leaving]:
    clock = Clock()
    vm = make_vm(clock)
    vm.settings = replace(vm.settings, shutdown_ms=SHUTDOWN_MS)
    server = Server(clock, answer, Limits)
    callers = await listen(server, "127.0.0.1:0")
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, callers.sockets[0].getsockname())
    await loop.sock_sendall(caller, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    heartbeats: Any = SilentHeartbeats()
    draining = asyncio.create_task(drain(vm, server, callers, heartbeats))
    yield Leaving(caller, draining, loop.time())
    draining.cancel()
    callers.close()
    caller.close()
    for connection in list(server.connections):
        assert connection.transport is not None
        connection.transport.abort()


class SilentHeartbeats:
    """Sends no heartbeats."""

    def send_to_all(self) -> None:
        """Do nothing."""


async def test_planned_stop_waits_for_a_caller_that_reads_slowly(
    leaving: Leaving,
) -> None:
    """Guards against an answer whose end is lost with the process's own buffer."""
    await asyncio.sleep(LATER_S)
    assert not leaving.draining.done()
    received = await leaving.read_all()
    assert received.endswith(BODY)
    await asyncio.wait_for(leaving.draining, 3 * POLL_INTERVAL_MS / 1_000.0)


async def test_planned_stop_ends_in_time_though_a_caller_never_reads(
    leaving: Leaving,
) -> None:
    await leaving.draining
    took_ms = (asyncio.get_running_loop().time() - leaving.began_s) * 1_000.0
    assert took_ms <= SHUTDOWN_MS - EXIT_MARGIN_MS + 3 * POLL_INTERVAL_MS


HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"4\r\nbody\r\n"
LAST_CHUNK = b"0\r\n\r\n"


async def connected(callers: asyncio.Server, data: bytes) -> socket.socket:
    """Return a connection on which some bytes were sent."""
    caller = socket.socket()
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, callers.sockets[0].getsockname())
    await loop.sock_sendall(caller, data)
    return caller


async def receive_all(caller: socket.socket) -> bytes:
    """Return what a caller gets until its connection ends."""
    loop, received = asyncio.get_running_loop(), b""
    with caller:
        while data := await loop.sock_recv(caller, 65_536):
            received += data
    return received


async def send_slowly(caller: socket.socket) -> bytes:
    """Send a body that never ends, until the connection does; return the answer."""
    loop = asyncio.get_running_loop()

    async def keep_sending() -> None:
        while True:
            await loop.sock_sendall(caller, CHUNK)
            await asyncio.sleep(0.02)

    sending = asyncio.create_task(keep_sending())
    try:
        return await receive_all(caller)
    finally:
        sending.cancel()


async def finish_late(caller: socket.socket) -> bytes:
    """Send the end of a body late in the stop; return the answer."""
    await asyncio.sleep(LATER_S)
    await asyncio.get_running_loop().sock_sendall(caller, CHUNK + LAST_CHUNK)
    return await receive_all(caller)


@asynccontextmanager
async def caller_server() -> AsyncIterator[tuple[Gateway, Server, asyncio.Server]]:
    """Run a VM's server of callers, which answers each request at once."""
    clock = Clock()
    vm = make_vm(clock)
    vm.settings = replace(vm.settings, shutdown_ms=SHUTDOWN_MS)
    server = Server(clock, answer, Limits)
    callers = await listen(server, "127.0.0.1:0")
    try:
        yield vm, server, callers
    finally:
        callers.close()
        for connection in list(server.connections):
            connection.abort()


async def test_planned_stop_answers_requests_whose_bodies_still_come() -> None:
    """Guards against a process that ends while a caller sends its request."""
    heartbeats: Any = SilentHeartbeats()
    async with caller_server() as (vm, server, callers):
        late = await connected(callers, HEAD)
        slow = await connected(callers, HEAD)
        partial_head = await connected(callers, HEAD[:30])
        await asyncio.sleep(0.05)
        draining = asyncio.create_task(drain(vm, server, callers, heartbeats))
        answers = asyncio.gather(
            finish_late(late), send_slowly(slow), receive_all(partial_head)
        )
        await draining
        for connection in list(server.connections):
            connection.abort()
        served, *refused = await answers
        assert served.startswith(b"HTTP/1.1 200")
        for received in refused:
            head, _, body = received.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503")
            assert b"Retry-After: " in head
            assert b"Connection: close" in head
            assert b"shutting_down" in body


async def test_planned_stop_ends_in_time_though_callers_stop_short() -> None:
    """Guards against a crowd that holds the process, or that ends it too late."""
    heartbeats: Any = SilentHeartbeats()
    async with caller_server() as (vm, server, callers):
        crowd = [await connected(callers, HEAD + CHUNK * 100) for _ in range(20)]
        began_s = asyncio.get_running_loop().time()
        await drain(vm, server, callers, heartbeats)
        took_ms = (asyncio.get_running_loop().time() - began_s) * 1_000.0
        assert took_ms <= SHUTDOWN_MS - EXIT_MARGIN_MS + 3 * POLL_INTERVAL_MS
        for caller in crowd:
            with caller:
                assert caller.recv(65_536).startswith(b"HTTP/1.1 503")


async def test_planned_stop_with_a_short_grace_refuses_what_still_comes() -> None:
    """Guards against a grace that ends while the VM still listens."""
    heartbeats: Any = SilentHeartbeats()
    async with caller_server() as (vm, server, callers):
        vm.settings = replace(vm.settings, shutdown_ms=BALANCER_REMOVAL_MS)
        with await connected(callers, HEAD + CHUNK) as caller:
            await asyncio.sleep(0.05)
            await drain(vm, server, callers, heartbeats)
            assert caller.recv(65_536).startswith(b"HTTP/1.1 503")


async def test_fault_in_the_hand_over_leaves_the_planned_stop_in_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that ends at once, with all requests in progress."""

    async def fail(vm: Gateway) -> None:
        raise ValueError

    monkeypatch.setattr(handing_over, "keep_or_hand_over", fail)
    heartbeats: Any = SilentHeartbeats()
    async with caller_server() as (vm, server, callers):
        late = await connected(callers, HEAD)
        await asyncio.sleep(0.05)
        answer_received = asyncio.create_task(finish_late(late))
        await drain(vm, server, callers, heartbeats)
        assert (await answer_received).startswith(b"HTTP/1.1 200")
        assert Event.INTERNAL_ERROR in {line.event for line in vm.journal.ring}


async def test_planned_stop_does_not_wait_for_connections_without_a_request() -> None:
    heartbeats: Any = SilentHeartbeats()
    async with caller_server() as (vm, server, callers):
        with await connected(callers, b""):
            began_s = asyncio.get_running_loop().time()
            await drain(vm, server, callers, heartbeats)
            took_ms = (asyncio.get_running_loop().time() - began_s) * 1_000.0
            assert took_ms <= BALANCER_REMOVAL_MS + 3 * POLL_INTERVAL_MS
