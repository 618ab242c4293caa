"""Hand staged work over to the next scheduler when a VM shuts down.

Designed for rolling restarts: without a hand-over, two schedulers that know nothing of
each other give the same upstreams more results than their memory holds, and partly
completed work is recomputed. Does no I/O: takes state and a time, returns what to send.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .batch_planner import BatchPlanner
from .chain import Chain, CompletedItem, Result
from .stage_queue import StoredResult, Worker

CALL_MARGIN_MS = 1_000.0
"""How long the memory of a call in progress stays reserved past its expected end,
unless the scheduler that started it reports the outcome."""


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Load of an upstream of a stage; times in ms from now.

    Parameters
    ----------
    busy_ms : float
        Remaining time of its call in progress, 0 for none.
    slowness : float
        Duration of its calls relative to the expected one.
    stored : tuple of StoredResultLoad
        The results stored there.
    """

    upstream_id: str
    service: str
    busy_ms: float
    slowness: float
    stored: tuple[StoredResultLoad, ...]


@dataclass(frozen=True, slots=True)
class StoredResultLoad:
    """Size in bytes of a stored result, and how long it stays unless it is freed."""

    handle: str
    size: int
    left_ms: float


def completed_items(planner: BatchPlanner, chain: Chain) -> tuple[CompletedItem, ...]:
    """Return the items of a chain that need not be recomputed."""
    return tuple(
        CompletedItem(
            stage.number,
            item.number,
            item.result,
            item.freed,
            expiry_of(planner, stage.service, item.result),
        )
        for stage in chain.spec.stages
        for item in chain.items[stage.number]
        if item.result is not None
    )


def expiry_of(planner: BatchPlanner, service: str, result: Result) -> float:
    """Return when a result expires in monotonic ms, 0 if it is no longer stored."""
    worker = planner.queues[service].workers.get(result.upstream_id)
    stored = None if worker is None else worker.stored.get(result.handle)
    return 0.0 if stored is None else stored.expires_ms


def worker_loads(
    planner: BatchPlanner, excluded: set[str], now_ms: float
) -> tuple[WorkerLoad, ...]:
    """Return the load of each upstream of a stage, without some results by handle."""
    return tuple(
        worker_load(worker, excluded, now_ms)
        for queue in planner.queues.values()
        for worker in queue.workers.values()
    )


@dataclass
class LoadReports:
    """The loads that a scheduler sends its successor after one another.

    Each result is told once: the successor may have freed it before the next report,
    and would count its memory again until it expires.
    """

    told: set[str] = field(default_factory=set)

    def next_loads(
        self, planner: BatchPlanner, to_be_freed: Iterable[Result], now_ms: float
    ) -> tuple[WorkerLoad, ...]:
        """Return the loads with the results that were not told before.

        Parameters
        ----------
        to_be_freed : iterable of Result
            Results that are about to be freed; their memory counts as free.
        """
        excluded = {result.handle for result in to_be_freed}
        loads = worker_loads(planner, excluded | self.told, now_ms)
        self.told |= {result.handle for load in loads for result in load.stored}
        return loads


def worker_load(worker: Worker, excluded: set[str], now_ms: float) -> WorkerLoad:
    """Return the load of one upstream, without the results of excluded handles."""
    busy_ms = max(0.0, worker.busy_until_ms - now_ms) if worker.calls else 0.0
    stored = [
        StoredResultLoad(handle, result.size, result.expires_ms - now_ms)
        for handle, result in worker.stored.items()
        if handle not in excluded and result.expires_ms > now_ms
    ]
    if worker.calls:
        left_ms = busy_ms + CALL_MARGIN_MS
        stored.append(
            StoredResultLoad(call_handle(worker.id), worker.reserved, left_ms)
        )
    slowness = worker.estimate.lasting_at(now_ms)
    return WorkerLoad(worker.id, worker.service, busy_ms, slowness, tuple(stored))


def call_handle(upstream_id: str) -> str:
    """Return the placeholder handle for the results of a call in progress."""
    return f"call at {upstream_id}"


def apply_worker_loads(
    planner: BatchPlanner, loads: Iterable[WorkerLoad], now_ms: float
) -> None:
    """Apply the loads of upstreams that another scheduler reports."""
    for load in loads:
        queue = planner.queues.get(load.service)
        worker = None if queue is None else queue.workers.get(load.upstream_id)
        if worker is None:
            continue
        stored = dict(worker.stored)
        stored.pop(call_handle(load.upstream_id), None)
        for result in load.stored:
            stored[result.handle] = StoredResult(result.size, now_ms + result.left_ms)
        # The search for expired results ends at the first one that has not expired.
        worker.stored = dict(
            sorted(stored.items(), key=lambda item: item[1].expires_ms)
        )
        worker.available_at_ms = max(worker.available_at_ms, now_ms + load.busy_ms)
        worker.estimate.lasting = load.slowness
        worker.estimate.measured_ms = now_ms
