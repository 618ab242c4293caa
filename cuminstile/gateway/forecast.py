"""Predict when the stages of a request would be ready behind all other work.

Does no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .chain import ChainSpec
from .stage_queue import ServiceQueue


@dataclass(frozen=True, slots=True)
class Forecast:
    """Predicted completion of a chain, in ms from now.

    Parameters
    ----------
    alone_ms : float
        When it would be ready if there were no other work.
    queued_ms : float
        How long it would wait behind other work.
    """

    ready_ms: float
    alone_ms: float
    queued_ms: float


def forecast_chain(
    queues: Mapping[str, ServiceQueue], spec: ChainSpec, now_ms: float, rank: int
) -> Forecast:
    """Predict when a new chain would be ready behind all work up to a rank.

    All items of admitted chains count, including those that wait for an earlier
    stage: they will be queued by the time the new chain reaches its later stages.
    Queued work fills the batches, so it costs its share of full calls. A batch
    that isn't full waits for the next start of a call. If no stage has to wait for
    another one, that time is known, and the wait for an upstream runs at the same time.
    With later stages it is the margin for what arrives in between.
    """
    ends: dict[int, float] = {}
    alone: dict[int, float] = {}
    queued_ms = 0.0
    one_step = not any(stage.after for stage in spec.stages)
    for stage in spec.stages:
        queue = queues[stage.service]
        workers = queue.capacity(now_ms)
        slowness = queue.mean_slowness(now_ms)
        ahead = sum(
            count for priority, count in queue.open_items.items() if priority <= rank
        )
        wait_ms = (
            queue.available_in_ms(now_ms) + ahead * queue.amortised_item_ms() / workers
        )
        before = max((ends.get(n, 0.0) for n in stage.after), default=0.0)
        shared = stage.count + ahead / workers
        call_ms = queue.call_time_ms(shared) * slowness
        start_wait_ms = 0.0
        if shared < queue.spec.batch:
            start_wait_ms = call_ms / workers
            if one_step:
                start_ms = queue.last_start_ms + start_wait_ms - now_ms
                start_wait_ms = max(0.0, start_ms - wait_ms)
        queued_ms += max(0.0, wait_ms - before)
        ends[stage.number] = max(before, wait_ms) + start_wait_ms + call_ms
        alone_before = max((alone.get(n, 0.0) for n in stage.after), default=0.0)
        alone_ms = queue.call_time_ms(stage.count) * slowness
        alone[stage.number] = alone_before + alone_ms
    return Forecast(
        max(ends.values(), default=0.0) + spec.engine_ms,
        max(alone.values(), default=0.0) + spec.engine_ms,
        queued_ms,
    )


def remaining_times_ms(
    queues: Mapping[str, ServiceQueue], spec: ChainSpec
) -> dict[int, float]:
    """Return the time from the start of each stage to the answer's end, in ms."""
    remaining_ms: dict[int, float] = {}
    for stage in reversed(spec.stages):
        queue = queues[stage.service]
        following = (
            remaining_ms[s.number] for s in spec.stages if stage.number in s.after
        )
        rest_ms = max(following, default=spec.engine_ms)
        own_ms = queue.call_time_ms(max(stage.count, queue.spec.batch / 2))
        remaining_ms[stage.number] = own_ms + rest_ms
    return remaining_ms
