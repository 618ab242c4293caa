"""Test what callers get whose requests wait inside a VM as it is stopped."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from typing import Any

import pytest

from cuminstile.clock import Clock
from cuminstile.gateway import crash_guard, sending, staged_work
from cuminstile.gateway.http_server import Server, listen
from cuminstile.gateway.leaving import drain
from cuminstile.gateway.model import (
    Limits,
    Manifest,
    Route,
    RouteKind,
    Service,
    StageSpec,
)
from cuminstile.gateway.running import make_handler
from cuminstile.gateway.state import Gateway

from .servers import Session, serving
from .test_decisions import make_route
from .test_leaving import SilentHeartbeats
from .test_sending import chunk, read_id
from .test_state import make_upstream, make_vm

pytestmark = pytest.mark.anyio
SHUTDOWN_MS = 1_400.0
"""Short, but longer than the margins at its end."""
LATE_S = 0.6
"""After the last refusals, before the process ends."""
DEADLINE_MS = 10_000.0
ROUTES = {
    "safe": {"kind": RouteKind.IDEMPOTENT, "max_attempts": 2},
    "unsafe": {"kind": RouteKind.ONCE},
    "stream": {"kind": RouteKind.STREAM, "resumable": True, "max_attempts": 2},
}


async def wait_forever(*arguments: Any, **options: Any) -> Any:
    """Wait for what never comes."""
    del arguments, options
    await asyncio.Event().wait()


async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read a request and answer nothing."""
    del writer
    await reader.read()


async def streaming(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Begin a stream at once, and end it after the last refusals."""
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n"
    kind = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(head % await read_id(reader) + kind + chunk(b"id: 1\ndata: x\n\n"))
    await asyncio.sleep(LATE_S)
    writer.write(chunk(b"id: 2\ndata: x\n\n") + b"0\r\n\r\n")
    await reader.read()


@dataclass
class Stop:
    """A VM that is stopped while one request is in progress."""

    vm: Gateway
    received: bytes
    """What the caller got until the process ended."""

    @property
    def status(self) -> int:
        """Return the status of the answer, 0 for none."""
        return int(self.received[9:12] or b"0")


def make_routed_vm(route: Route) -> Gateway:
    """Return a VM with one route."""
    vm = make_vm(Clock())
    vm.settings = replace(vm.settings, shutdown_ms=SHUTDOWN_MS)
    services = {"s": Service("s", 50), "stage": Service("stage", 50)}
    vm.apply_manifest(Manifest(1, (route,), services, Limits()), "test")
    return vm


async def stop_during_request(
    kind: str, session: Session = silent, stages: tuple[StageSpec, ...] = ()
) -> Stop:
    """Stop a VM, right after a request came that its upstream answers by `session`."""
    vm = make_routed_vm(
        make_route("/x", timeout_ms=DEADLINE_MS, stages=stages, **ROUTES[kind])
    )
    async with serving(session) as (address, _):
        vm.apply_upstreams({"u1": replace(make_upstream("u1"), address=address)}, 0.0)
        server = Server(vm.clock, make_handler(vm), Limits)
        callers = await listen(server, "127.0.0.1:0")
        host, port = callers.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nPieces: 1\r\n"
        writer.write(head + b"Content-Length: 0\r\n\r\n")
        while not len(vm.in_progress):
            await asyncio.sleep(0.01)
        heartbeats: Any = SilentHeartbeats()
        await asyncio.wait_for(drain(vm, server, callers, heartbeats), 5.0)
        for task in server.tasks:
            task.cancel()
        received = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
    return Stop(vm, received)


@pytest.fixture
async def waits_for_stages(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[None]:
    """Let no scheduler answer."""
    monkeypatch.setattr(staged_work, "staged_results", wait_forever)
    yield


def assert_not_run(stop: Stop) -> None:
    """Check that a caller is told that it may send its request again soon."""
    assert stop.status == 503
    assert b"Retry-After: 0." in stop.received
    assert b"shutting_down" in stop.received
    assert not len(stop.vm.in_progress)


@pytest.mark.parametrize("kind", list(ROUTES))
@pytest.mark.usefixtures("waits_for_stages")
async def test_request_that_waits_for_its_stages_is_refused_before_the_end(
    kind: str,
) -> None:
    """Guards against a request whose connection closes without an answer."""
    assert_not_run(
        await stop_during_request(kind, stages=(StageSpec("stage", (), 1_000),))
    )


async def test_request_that_waits_for_a_trial_is_refused_before_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(crash_guard, "is_part_on_trial", lambda *_: True)
    monkeypatch.setattr(crash_guard, "MAX_WAIT_MS", DEADLINE_MS)
    assert_not_run(await stop_during_request("unsafe"))


async def test_request_that_still_connects_is_refused_before_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(sending, "open_connection", wait_forever)
    stop = await stop_during_request("unsafe")
    assert_not_run(stop)
    assert stop.vm.table.states["u1"].in_flight == 0


@pytest.mark.parametrize("kind", list(ROUTES))
async def test_request_that_may_have_run_is_not_refused_as_not_run(kind: str) -> None:
    """Guards against a silent end, and against a second run of what may run once."""
    stop = await stop_during_request(kind)
    assert stop.status == 504
    assert b"Retry-After" not in stop.received
    assert stop.vm.table.states["u1"].in_flight == 0
    assert stop.vm.table.states["u1"].failures == 0


async def test_stream_that_has_begun_goes_on_until_the_process_ends() -> None:
    stop = await stop_during_request("stream", streaming)
    assert stop.status == 200
    assert stop.received.endswith(b"0\r\n\r\n")
