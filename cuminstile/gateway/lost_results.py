"""Tell which results of a chain are lost, needed or of no use. Does no I/O."""

from __future__ import annotations

from collections.abc import Collection

from .chain import Chain, ChainStage, WorkItem


def inputs_of(item: WorkItem) -> list[WorkItem]:
    """Return the items whose results an item needs."""
    return [
        other
        for number in item.stage.after
        for other in item.chain.items.get(number, ())
    ]


def is_stored_at(item: WorkItem, upstream_ids: Collection[str]) -> bool:
    """Return whether the result of an item is stored at one of some upstreams."""
    return item.result is not None and item.result.upstream_id in upstream_ids


def items_stored_at(chain: Chain, upstream_id: str) -> list[WorkItem]:
    """Return the items of a chain whose results are stored at an upstream."""
    return [
        item
        for items in chain.items.values()
        for item in items
        if is_stored_at(item, (upstream_id,))
    ]


def unneeded_inputs(chain: Chain, stage: ChainStage) -> list[WorkItem]:
    """Return the inputs of a completed stage that no other stage needs."""
    return [
        item
        for number in stage.after
        for item in chain.items.get(number, ())
        if all(
            chain.stage_done(consumer.number)
            for consumer in chain.spec.stages
            if number in consumer.after
        )
    ]


def still_needed(chain: Chain, item: WorkItem) -> bool:
    """Return whether unfinished work, or the request, needs an item's result."""
    consumers = [s for s in chain.spec.stages if item.stage.number in s.after]
    return not consumers or any(
        not chain.stage_done(consumer.number) for consumer in consumers
    )


def dequeue_blocked_items(chain: Chain) -> None:
    """Remove items from the queue whose inputs are no longer available."""
    for stage in chain.spec.stages:
        if not all(chain.stage_done(number) for number in stage.after):
            for item in chain.items[stage.number]:
                item.queued = False
