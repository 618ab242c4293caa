"""Test cuminstile.gateway.staging with upstreams that end or restart."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from cuminstile.clock import Clock, VirtualClock
from cuminstile.events import Event
from cuminstile.gateway.answers import ConnectionLostError, NoListenerError
from cuminstile.gateway.chain import Chain, ChainSpec, ChainStage, Result
from cuminstile.gateway.http_client import open_connection
from cuminstile.gateway.model import BatchSpec, Limits, Manifest, Service, Upstream
from cuminstile.gateway.spare_connections import SpareConnections
from cuminstile.gateway.stage_calls import StageAnswer
from cuminstile.gateway.stage_queue import StoredResult, Worker
from cuminstile.gateway.staging import ChainAnswer, Scheduler
from cuminstile.gateway.upstream_protocol import ItemRequest, StageOutcome

from .servers import serving
from .test_state import make_upstream, make_vm

pytestmark = pytest.mark.anyio
SPEC = BatchSpec(1, 2, 13, 200.0, 13.0, 29_000_000, 4_000.0)
MANIFEST = Manifest(1, (), {"a": Service("a", 100, batch=SPEC)}, Limits())
Answer = Callable[[Worker], StageAnswer]


@dataclass
class FakeCaller:
    """Caller of stages whose upstreams answer or fail by id."""

    errors: dict[str, ConnectionLostError] = field(default_factory=dict)
    called: list[str] = field(default_factory=list)
    spares: SpareConnections = field(default_factory=lambda: SpareConnections(Clock()))

    async def run(
        self, worker: Worker, items: Sequence[ItemRequest], expected_ms: float
    ) -> StageAnswer:
        """Answer with one result for each item, or fail."""
        del expected_ms
        self.called.append(worker.id)
        if worker.id in self.errors:
            raise self.errors[worker.id]
        outcomes = tuple(
            StageOutcome(f"{worker.id}/{len(self.called)}-{n}", None)
            for n in range(len(items))
        )
        return StageAnswer(200, False, outcomes)

    async def free(self, *arguments: Any) -> None:
        """Do nothing."""

    def drop(self, upstream_id: str) -> None:
        """Do nothing."""


def make_scheduler(caller: FakeCaller) -> Scheduler:
    """Return a scheduler with two upstreams of a service `a`."""
    vm = make_vm(VirtualClock(at_ms=100_000.0))
    scheduler = vm.scheduler
    any_caller: Any = caller
    scheduler.caller = any_caller
    scheduler.frees.caller = any_caller
    scheduler.planner.set_service("a", SPEC)
    scheduler.planner.set_workers("a", [Worker(n, "a", "", "z") for n in ("a0", "a1")])
    return scheduler


def stored(scheduler: Scheduler, name: str) -> dict[str, StoredResult]:
    return scheduler.planner.queues["a"].workers[name].stored


@pytest.mark.parametrize(
    ("error", "kept"),
    [
        (NoListenerError("refused"), False),
        (ConnectionLostError("reset", sent=True), True),
    ],
    ids=["ended", "reset"],
)
async def test_results_of_an_upstream_that_ended_are_forgotten(
    error: ConnectionLostError, kept: bool
) -> None:
    """An upstream that ended lost its results; one that reset a call may have them."""
    caller = FakeCaller({"a0": error, "a1": error})
    scheduler = make_scheduler(caller)
    for name in ("a0", "a1"):
        stored(scheduler, name)["h"] = StoredResult(1_000, 1e9)
    stage = ChainStage(0, "a", (), 1, 1_000)
    spec = ChainSpec("c", "r", "k", 1, "", 105_000.0, 106_000.0, 0.0, (stage,))
    scheduler.submit(spec, True, lambda answer: None)
    for _ in range(5):
        await asyncio.sleep(0)
    assert caller.called
    assert bool(stored(scheduler, caller.called[0])) is kept


async def test_restart_under_the_same_id_forgets_the_results() -> None:
    scheduler = make_scheduler(FakeCaller())
    vm = make_vm(VirtualClock(at_ms=100_000.0))

    def apply(upstream: Upstream) -> None:
        vm.table.replace([upstream], (), 100_000.0)
        scheduler.forget_restarted(vm.table)

    first = make_upstream("a0", started_ms=1)
    apply(first)
    stored(scheduler, "a0")["h"] = StoredResult(1_000, 1e9)
    apply(replace(first, cold_ms=500.0))
    assert stored(scheduler, "a0")
    apply(replace(first, started_ms=2))
    assert not stored(scheduler, "a0")


async def completed_chain(scheduler: Scheduler, replies: list[ChainAnswer]) -> Chain:
    """Return a chain whose first two items are completed, and the third one waits."""
    scheduler.planner.set_service("b", SPEC)
    stages = (ChainStage(0, "a", (), 2, 1_000), ChainStage(1, "b", (0,), 1, 1_000))
    spec = ChainSpec("c", "r", "k", 1, "", 105_000.0, 106_000.0, 0.0, stages)
    chain = scheduler.planner.add(spec, 100_000.0)
    scheduler.replies[spec.id] = replies.append
    scheduler.dispatch()
    await run_tasks()
    assert chain.stage_done(0)
    return chain


async def run_tasks() -> None:
    """Let the tasks that have been started run."""
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("head", "leaving", "closed_ms"),
    [
        (b"200 OK\r\nServer-Leaving: 1", True, 0.0),
        (b"503 Busy\r\nRetry-After: 2.5", False, 2_500.0),
        (b"200 OK", False, 0.0),
    ],
)
async def test_words_in_the_answer_to_a_free_are_read(
    head: bytes, leaving: bool, closed_ms: float
) -> None:
    """Guards against calls to an upstream that has said it leaves or is closed."""

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 " + head + b"\r\nContent-Length: 0\r\n\r\n")
        await reader.read()

    vm = make_vm(VirtualClock(at_ms=100_000.0))
    scheduler = vm.scheduler
    async with serving(session) as (address, _):
        scheduler.planner.set_service("a", SPEC)
        scheduler.planner.set_workers("a", [Worker("a0", "a", address, "z")])
        await scheduler.frees.free_at("a0", address, [Result("h", "a0", 1_000)])
    worker = scheduler.planner.queues["a"].workers["a0"]
    assert worker.usable is not leaving
    assert max(0.0, worker.available_at_ms - 100_000.0) == closed_ms
    failed = [e for e in vm.journal.ring if e.event is Event.STAGE_FREE_FAILED]
    assert bool(failed) is head.startswith(b"503")


async def test_port_without_a_listener_is_told_from_other_failures() -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{free.getsockname()[1]}"
        with pytest.raises(NoListenerError):
            await open_connection(address)


def leave(scheduler: Scheduler, upstream: Upstream, how: str) -> None:
    """Let an upstream of a service `a` get no more calls, or restart."""
    table = scheduler.table
    if how == "said so":
        worker = scheduler.planner.queues["a"].workers[upstream.id]
        answer = StageAnswer(200, False, (), leaving=True)
        scheduler.reports.record_words(table, worker, answer)
        return
    listed: dict[str, list[Upstream]] = {
        "removed": [],
        "leaving": [replace(upstream, leaving=True)],
        "restarted": [replace(upstream, started_ms=2)],
    }
    table.replace(listed[how], (), 100_000.0)
    scheduler.configure(MANIFEST, table)


@pytest.mark.parametrize("how", ["removed", "leaving", "restarted", "said so"])
async def test_connection_opened_ahead_ends_with_the_use_of_its_upstream(
    how: str,
) -> None:
    """Guards against connections to upstreams that leave, are gone or were replaced."""
    vm = make_vm(VirtualClock(at_ms=100_000.0))
    spares = vm.scheduler.caller.spares
    ended: list[None] = []

    async def session(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        await reader.read()
        ended.append(None)

    async with serving(session) as (address, _):
        upstream = make_upstream("a0", service="a", address=address)
        vm.table.replace([upstream], (), 100_000.0)
        vm.scheduler.configure(MANIFEST, vm.table)
        spares.refill("a0", address)
        await asyncio.sleep(0.05)
        vm.scheduler.configure(MANIFEST, vm.table)
        assert "a0" in spares.spares
        leave(vm.scheduler, upstream, how)
        assert spares.upstreams() == set()
        await asyncio.sleep(0.05)
        assert len(ended) == 1
