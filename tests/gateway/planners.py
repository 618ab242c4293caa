"""Planners of staged work with a few upstreams, and chains for them."""

from cuminstile.gateway.batch_planner import BatchPlanner
from cuminstile.gateway.chain import ChainSpec, ChainStage, WorkItem
from cuminstile.gateway.model import BatchSpec
from cuminstile.gateway.stage_queue import Worker

SPEC = BatchSpec(
    slots=1,
    queue=2,
    batch=13,
    call_ms=200.0,
    item_ms=13.0,
    memory_bytes=29_000_000,
    result_ttl_ms=4_000.0,
)


def make_planner(
    workers: int = 4, services: tuple[str, ...] = ("a", "b")
) -> BatchPlanner:
    planner = BatchPlanner()
    for service in services:
        planner.set_service(service, SPEC)
        planner.set_workers(
            service,
            [
                Worker(f"{service}{n}", service, "10.0.0.1:80", f"z{n}")
                for n in range(workers)
            ],
        )
    return planner


def make_spec(
    name: str,
    counts: tuple[int, ...] = (2, 1),
    priority: int = 1,
    data_centre: str = "",
    target_ms: float = 1_800.0,
) -> ChainSpec:
    stages = tuple(
        ChainStage(n, "ab"[n], (n - 1,) if n else (), count, 1_000)
        for n, count in enumerate(counts)
        if count
    )
    return ChainSpec(
        name, name, "key", priority, data_centre, target_ms, 6_000.0, 100.0, stages
    )


def complete_all(planner: BatchPlanner, worker: Worker, batch: list[WorkItem]) -> None:
    """End a call with every item completed."""
    planner.record_call_ended(worker)
    for item in batch:
        planner.record_completed(item, worker, f"{worker.id}/{item.chain.spec.id}", 0.0)


def worker_of(planner: BatchPlanner, name: str) -> Worker:
    return planner.queues[name[0]].workers[name]
