"""Test cuminstile.gateway.serving: what callers get when the program has a fault."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from cuminstile.clock import Clock
from cuminstile.events import Event
from cuminstile.gateway import forwarding, serving, staged_work
from cuminstile.gateway.http_server import Server, listen
from cuminstile.gateway.model import (
    Limits,
    Manifest,
    RouteKind,
    Service,
    StageSpec,
)
from cuminstile.gateway.running import make_handler
from cuminstile.gateway.state import Gateway

from .servers import serving as upstream_serving
from .test_decisions import make_route
from .test_sending import sound_but_slow
from .test_state import make_upstream, make_vm

pytestmark = pytest.mark.anyio


async def fail(*arguments: Any) -> None:
    """Fail as no part of the program is meant to."""
    del arguments
    raise RuntimeError("a fault")


async def ask(vm: Gateway, pieces: int = 0) -> bytes:
    """Return what a caller gets from a VM with one upstream, up to the close."""
    route = make_route(
        "/x",
        kind=RouteKind.STREAM,
        timeout_ms=9e3,
        stages=(StageSpec("stage", (), 1_000),),
    )
    services = {"s": Service("s", 50), "stage": Service("stage", 50)}
    vm.apply_manifest(Manifest(1, (route,), services, Limits()), "test")
    async with upstream_serving(sound_but_slow) as (address, _):
        vm.apply_upstreams({"u1": replace(make_upstream("u1"), address=address)}, 0.0)
        server = Server(vm.clock, make_handler(vm), Limits)
        callers = await listen(server, "127.0.0.1:0")
        host, port = callers.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nConnection: close\r\n"
        writer.write(head + b"Pieces: %d\r\nContent-Length: 0\r\n\r\n" % pieces)
        received = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        callers.close()
    assert any(line.event is Event.INTERNAL_ERROR for line in vm.journal.ring)
    return received


@pytest.mark.parametrize("where", ["accept", "refuse_quarantined"])
async def test_fault_before_the_answer_is_answered(
    monkeypatch: pytest.MonkeyPatch, where: str
) -> None:
    """Guards against a fault that closes the connection without an answer."""

    def fail_at_once(*arguments: Any) -> None:
        del arguments
        raise RuntimeError("a fault")

    monkeypatch.setattr(serving, where, fail_at_once)
    received = await ask(make_vm(Clock()))
    assert received.startswith(b"HTTP/1.1 500 ")
    assert b'"internal"' in received


async def test_fault_in_the_stages_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that no VM schedules and that closes unanswered."""
    monkeypatch.setattr(staged_work, "staged_results", fail)
    received = await ask(make_vm(Clock()), pieces=1)
    assert received.startswith(b"HTTP/1.1 500 ")


async def test_fault_in_an_answer_that_has_begun_breaks_it_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a refusal that is written into the answer of an upstream."""
    monkeypatch.setattr(forwarding, "limit_stream", fail)
    received = await ask(make_vm(Clock()))
    assert received.startswith(b"HTTP/1.1 200 ")
    assert b"internal" not in received
    assert not received.endswith(b"0\r\n\r\n")
