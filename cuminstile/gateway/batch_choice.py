"""Choose the work items of the next call to an upstream. Does no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .chain import WorkItem
from .stage_queue import ServiceQueue, Worker, urgency, waits_for_data_centre


def choose_batch(
    queue: ServiceQueue,
    worker: Worker,
    may_join: Callable[[WorkItem, list[WorkItem]], bool],
    now_ms: float,
) -> list[WorkItem]:
    """Return the items of the next call, empty if none should start now.

    Items that can no longer start are removed from the queue.

    Parameters
    ----------
    may_join : callable
        Returns whether an item may run now, in one call with the items of a batch.
    """
    if not worker.usable or worker.calls or now_ms < worker.available_at_ms:
        return []
    queue.ready = [item for item in queue.ready if item.queued]
    if not queue.ready:
        return []
    if len(queue.ready) < queue.spec.batch and now_ms < queue.next_start_ms():
        return []
    memory = free_memory(queue, worker, now_ms)
    groups = [g for g in group_items(queue.ready) if g[0].stage.result_bytes <= memory]
    if not groups:
        return []
    speeds = queue.speeds_at(now_ms)
    if queue.is_too_slow(worker, speeds, now_ms):
        return []
    available_ms = queue.available_by_data_centre(speeds, now_ms)
    batch: list[WorkItem] = []
    for group in sorted(groups, key=lambda g: urgency(g[0], worker, now_ms)):
        room = queue.spec.batch - len(batch)
        if not room:
            break
        size = group[0].stage.result_bytes
        if size > memory or waits_for_data_centre(group[0], worker, available_ms):
            continue
        if not may_join(group[0], batch):
            continue
        chosen = group[: min(room, memory // size if size else room)]
        memory -= size * len(chosen)
        batch += chosen
    return batch


def group_items(items: Iterable[WorkItem]) -> list[list[WorkItem]]:
    """Return runs of items of one request, stage and preferred data centre.

    The items of a group need the same and are as urgent, so that one of them stands for
    all: hundreds of requests with dozens of items each wait under load, and a look at
    every item takes the time in which other VMs wait for a verdict.
    """
    groups: list[list[WorkItem]] = []
    last: WorkItem | None = None
    for item in items:
        if last is not None and is_alike(item, last):
            groups[-1].append(item)
        else:
            groups.append([item])
        last = item
    return groups


def is_alike(item: WorkItem, other: WorkItem) -> bool:
    """Return whether one of two items may stand for the other."""
    return (
        item.chain is other.chain
        and item.stage is other.stage
        and item.data_centre == other.data_centre
    )


def free_memory(queue: ServiceQueue, worker: Worker, now_ms: float) -> int:
    """Return the memory that an upstream has for results, in bytes."""
    memory = queue.spec.memory_bytes - worker.memory_used(now_ms)
    if now_ms < worker.full_until_ms:
        return min(memory, worker.full_size - 1)
    return memory
