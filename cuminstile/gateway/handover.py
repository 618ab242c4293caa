"""Hand staged work over to the next scheduler when a VM shuts down.

Answers the pattern of rolling restarts: two schedulers that know nothing of each other
give the same upstreams more results than they have room for, and work that is half
done is made again. Decisions only: state and a time go in, what to tell comes out.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .batch_planner import BatchPlanner
from .chain import Chain, CompletedItem, Result
from .stage_queue import StoredResult, Worker

CALL_MARGIN_MS = 1_000.0
"""How long the room of a call in progress is kept past its expected end, unless the
scheduler that began it tells what came of it."""


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Tell what an upstream of a stage holds and does; times in ms from now.

    Parameters
    ----------
    busy_ms : float
        How long its call in progress still takes, 0 for none.
    slowness : float
        How many times its calls take what they should.
    held : tuple of HeldLoad
        The results that lie there.
    """

    upstream_id: str
    service: str
    busy_ms: float
    slowness: float
    stored: tuple[StoredResultLoad, ...]


@dataclass(frozen=True, slots=True)
class StoredResultLoad:
    """Tell how much room a result takes, and for how long if nobody frees it."""

    handle: str
    size: int
    left_ms: float


def completed_items(planner: BatchPlanner, chain: Chain) -> tuple[CompletedItem, ...]:
    """Return the pieces of a chain that need not be made again."""
    return tuple(
        CompletedItem(
            stage.number,
            item.number,
            item.result,
            item.freed,
            lapse_of(planner, stage.service, item.result),
        )
        for stage in chain.spec.stages
        for item in chain.items[stage.number]
        if item.result is not None
    )


def lapse_of(planner: BatchPlanner, service: str, result: Result) -> float:
    """Return when a result lapses in monotonic ms, 0 if it is not held any more."""
    worker = planner.queues[service].workers.get(result.upstream_id)
    stored = None if worker is None else worker.stored.get(result.handle)
    return 0.0 if stored is None else stored.expires_ms


def worker_loads(
    planner: BatchPlanner, given_up: Iterable[Result], now_ms: float
) -> tuple[WorkerLoad, ...]:
    """Return what each upstream of a stage holds and does.

    Parameters
    ----------
    given_up : iterable of Result
        Results that are about to be freed: they take no room any more.
    """
    left_out = {result.handle for result in given_up}
    return tuple(
        worker_load(worker, left_out, now_ms)
        for queue in planner.queues.values()
        for worker in queue.workers.values()
    )


def worker_load(worker: Worker, left_out: set[str], now_ms: float) -> WorkerLoad:
    """Return what one upstream holds and does."""
    busy_ms = max(0.0, worker.busy_until_ms - now_ms) if worker.calls else 0.0
    stored = [
        StoredResultLoad(handle, result.size, result.expires_ms - now_ms)
        for handle, result in worker.stored.items()
        if handle not in left_out and result.expires_ms > now_ms
    ]
    if worker.calls:
        left_ms = busy_ms + CALL_MARGIN_MS
        stored.append(
            StoredResultLoad(call_handle(worker.id), worker.reserved, left_ms)
        )
    slowness = worker.slowness_at(now_ms)
    return WorkerLoad(worker.id, worker.service, busy_ms, slowness, tuple(stored))


def call_handle(upstream_id: str) -> str:
    """Return what stands for the results of a call in progress."""
    return f"call at {upstream_id}"


def apply_worker_loads(
    planner: BatchPlanner, loads: Iterable[WorkerLoad], now_ms: float
) -> None:
    """Take over what another scheduler knows of the upstreams."""
    for load in loads:
        queue = planner.queues.get(load.service)
        worker = None if queue is None else queue.workers.get(load.upstream_id)
        if worker is None:
            continue
        stored = dict(worker.stored)
        stored.pop(call_handle(load.upstream_id), None)
        for result in load.stored:
            stored[result.handle] = StoredResult(result.size, now_ms + result.left_ms)
        # Looking for lapsed results ends at the first one that has not lapsed.
        worker.stored = dict(
            sorted(stored.items(), key=lambda item: item[1].expires_ms)
        )
        worker.free_at_ms = max(worker.free_at_ms, now_ms + load.busy_ms)
        worker.slowness = load.slowness
        worker.measured_ms = now_ms
