"""Choose the work items of the next call to an upstream. Does no I/O."""

from __future__ import annotations

from collections.abc import Callable

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
    queue.ready = [item for item in queue.ready if item.can_start()]
    if not queue.ready:
        return []
    if len(queue.ready) < queue.spec.batch and now_ms < queue.next_start_ms():
        return []
    speeds = queue.speeds_at(now_ms)
    if queue.is_too_slow(worker, speeds, now_ms):
        return []
    available_ms = queue.available_by_data_centre(speeds, now_ms)
    memory = free_memory(queue, worker, now_ms)
    batch: list[WorkItem] = []
    for item in sorted(queue.ready, key=lambda i: urgency(i, worker, now_ms)):
        if len(batch) == queue.spec.batch:
            break
        if not may_join(item, batch):
            continue
        if item.stage.result_bytes > memory:
            continue
        if waits_for_data_centre(item, worker, available_ms):
            continue
        memory -= item.stage.result_bytes
        batch.append(item)
    return batch


def free_memory(queue: ServiceQueue, worker: Worker, now_ms: float) -> int:
    """Return the memory that an upstream has for results, in bytes."""
    memory = queue.spec.memory_bytes - worker.memory_used(now_ms)
    if now_ms < worker.full_until_ms:
        return min(memory, worker.full_size - 1)
    return memory
