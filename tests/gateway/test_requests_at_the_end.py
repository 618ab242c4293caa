"""Test what callers get whose requests wait inside a VM as it is stopped."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from typing import Any

import pytest

from cuminstile.clock import Clock
from cuminstile.gateway import crash_guard, hedged_sends, sending, staged_work
from cuminstile.gateway.chain import ChainSpec
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
from cuminstile.hedging.limits import HedgeLimits, Hedging
from cuminstile.shutdown.answer_times import MIN_TIMES
from cuminstile.shutdown.schedule import ANSWER_MARGIN_MS

from .planners import SPEC
from .servers import Session, serving
from .test_decisions import make_route
from .test_leaving import SilentHeartbeats
from .test_sending import chunk, read_id
from .test_state import make_upstream, make_vm

pytestmark = pytest.mark.anyio
SHUTDOWN_MS = 1_400.0
"""Short, but longer than the margins at its end."""
LONG_SHUTDOWN_MS = 2_200.0
"""Long enough to tell an early refusal from one at the end."""
ANSWER_BY_MS = LONG_SHUTDOWN_MS - ANSWER_MARGIN_MS
USUAL_MS = 600.0
"""An answer that can be whole in time, if it is sent soon."""
SLACK_MS = 400.0
"""Less than the time from an early refusal to the last ones."""
STAGES = (StageSpec("stage", (), 1_000),)
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
    took_ms: float
    """Time from the request to the end of that."""
    at_ms: float
    """Time from SIGTERM to the end of that."""
    sends: int
    """Connections that its upstream got."""

    @property
    def status(self) -> int:
        """Return the status of the answer, 0 for none."""
        return int(self.received[9:12] or b"0")


def make_routed_vm(route: Route) -> Gateway:
    """Return a VM with one route."""
    vm = make_vm(Clock())
    vm.settings = replace(vm.settings, shutdown_ms=SHUTDOWN_MS)
    services = {"s": Service("s", 50), "stage": Service("stage", 50, batch=SPEC)}
    vm.apply_manifest(Manifest(1, (route,), services, Limits()), "test")
    return vm


async def stop_during_request(
    kind: str,
    session: Session = silent,
    stages: tuple[StageSpec, ...] = (),
    usual_ms: float = 0.0,
    after: bool = False,
    second: bool = False,
) -> Stop:
    """Stop a VM, right after or before a request that `session` answers.

    Parameters
    ----------
    usual_ms : float
        How long answers took so far, 0 if there were none; the shutdown is a long one
        then.
    after : bool
        Whether the request comes after SIGTERM.
    second : bool
        Whether a second send of it may follow.
    """
    vm = make_routed_vm(
        make_route("/x", timeout_ms=DEADLINE_MS, stages=stages, **ROUTES[kind])
    )
    vm.hedging = Hedging(HedgeLimits(1.0, 1.0) if second else HedgeLimits())
    if usual_ms:
        vm.settings = replace(vm.settings, shutdown_ms=LONG_SHUTDOWN_MS)
    for _ in range(MIN_TIMES if usual_ms else 0):
        vm.answer_times.record("/x", usual_ms)
    heartbeats: Any = SilentHeartbeats()
    async with serving(session) as (address, begun):
        names = {"u1": "s", "u2": "s", "w1": "stage"}
        known = {
            name: make_upstream(name, service=service, address=address)
            for name, service in names.items()
        }
        vm.apply_upstreams(known, 0.0)
        server = Server(vm.clock, make_handler(vm), Limits)
        callers = await listen(server, "127.0.0.1:0")
        host, port = callers.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        if after:
            stop = asyncio.create_task(drain(vm, server, callers, heartbeats))
            await asyncio.sleep(0.01)
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nPieces: 1\r\n"
        writer.write(head + b"Content-Length: 0\r\n\r\n")
        if not after:
            while not len(vm.in_progress):
                await asyncio.sleep(0.01)
            stop = asyncio.create_task(drain(vm, server, callers, heartbeats))
        sent_ms = vm.clock.now_ms()
        reading = asyncio.create_task(reader.read())
        await asyncio.wait({reading, stop}, return_when=asyncio.FIRST_COMPLETED)
        answered_ms = vm.clock.now_ms()
        await asyncio.wait_for(stop, 5.0)
        for task in list(server.tasks):
            task.cancel()
        received = await asyncio.wait_for(reading, 5.0)
        writer.close()
    assert vm.shutdown is not None
    at_ms = answered_ms - vm.shutdown.began_ms
    return Stop(vm, received, answered_ms - sent_ms, at_ms, len(begun))


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


def assert_nothing_in_flight(stop: Stop) -> None:
    """Check that no upstream counts as busy with a request that has ended."""
    assert not any(state.in_flight for state in stop.vm.table.states.values())


@pytest.mark.parametrize("kind", list(ROUTES))
@pytest.mark.usefixtures("waits_for_stages")
async def test_request_that_waits_for_its_stages_is_refused_before_the_end(
    kind: str,
) -> None:
    """Guards against a request whose connection closes without an answer."""
    assert_not_run(await stop_during_request(kind, stages=STAGES))


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
    assert_nothing_in_flight(stop)


@pytest.mark.parametrize("connects", [False, True])
async def test_request_that_was_sent_twice_is_refused_by_whether_it_may_have_run(
    monkeypatch: pytest.MonkeyPatch, connects: bool
) -> None:
    """Guards against a refusal as not run while one of two sends is in progress."""
    monkeypatch.setattr(hedged_sends, "hedge_after_ms", lambda *_: 20.0)
    if not connects:
        monkeypatch.setattr(sending, "open_connection", wait_forever)
    stop = await stop_during_request("safe", second=True)
    assert stop.status == (504 if connects else 503)
    assert stop.sends == (2 if connects else 0)
    assert_nothing_in_flight(stop)


async def test_staged_work_of_a_refused_request_is_cancelled() -> None:
    """Guards against work that goes on for a caller that has its answer."""
    stop = await stop_during_request("stream", stages=STAGES)
    assert_not_run(stop)
    assert not stop.vm.scheduler.planner.chains
    assert not stop.vm.scheduler.replies


@pytest.mark.parametrize("kind", list(ROUTES))
async def test_request_that_may_have_run_is_not_refused_as_not_run(kind: str) -> None:
    """Guards against a silent end, and against a second run of what may run once."""
    stop = await stop_during_request(kind)
    assert stop.status == 504
    assert b"Retry-After" not in stop.received
    assert_nothing_in_flight(stop)
    assert not any(state.failures for state in stop.vm.table.states.values())


async def test_stream_that_has_begun_goes_on_until_the_process_ends() -> None:
    stop = await stop_during_request("stream", streaming)
    assert stop.status == 200
    assert stop.received.endswith(b"0\r\n\r\n")


@pytest.mark.usefixtures("waits_for_stages")
@pytest.mark.parametrize("after", [False, True])
async def test_request_is_refused_once_its_stages_can_only_come_too_late(
    after: bool,
) -> None:
    """Guards against a caller that waits for a refusal that is certain before."""
    stop = await stop_during_request(
        "stream", stages=STAGES, usual_ms=USUAL_MS, after=after
    )
    assert_not_run(stop)
    assert -1.0 <= stop.at_ms - (ANSWER_BY_MS - USUAL_MS) < SLACK_MS


@pytest.mark.parametrize("kind", list(ROUTES))
async def test_request_that_can_not_be_whole_is_refused_at_once_and_not_sent(
    kind: str,
) -> None:
    """Guards against a stream that is begun and then cut as its VM ends."""
    stop = await stop_during_request(
        kind, streaming, usual_ms=2 * ANSWER_BY_MS, after=True
    )
    assert_not_run(stop)
    assert stop.took_ms < SLACK_MS
    assert stop.sends == 0


async def test_request_that_can_be_whole_is_served_after_sigterm() -> None:
    stop = await stop_during_request("stream", streaming, usual_ms=USUAL_MS, after=True)
    assert stop.status == 200
    assert stop.received.endswith(b"0\r\n\r\n")


@pytest.mark.usefixtures("waits_for_stages")
async def test_staged_work_expires_when_its_answer_can_no_longer_be_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against stages that run for an answer that is then cut."""
    expires: list[float] = []

    async def note(vm: Gateway, spec: ChainSpec, *arguments: Any) -> None:
        del arguments
        assert vm.shutdown is not None
        expires.append(vm.shutdown.answer_by_ms - spec.expires_at_ms + spec.engine_ms)
        await wait_forever()

    monkeypatch.setattr(staged_work, "staged_results", note)
    await stop_during_request("stream", stages=STAGES, usual_ms=USUAL_MS, after=True)
    assert expires == [pytest.approx(USUAL_MS)]
