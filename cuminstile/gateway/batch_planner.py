"""Plan which work items of which requests an idle upstream runs next.

Designed for staged work under one deadline per request: each request is a small graph
of work items, upstreams run items in batches whose call costs far more than an item,
and more work arrives than can be in time. Does no I/O: takes state and a time, returns
batches and ended chains.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from .batch_choice import choose_batch
from .chain import (
    Chain,
    ChainSpec,
    ChainStage,
    CompletedItem,
    Result,
    WorkItem,
    preferred_data_centre,
)
from .forecast import remaining_times_ms
from .late_chains import expired_chains, late_chains
from .lost_results import (
    dequeue_blocked_items,
    inputs_of,
    is_stored_at,
    items_stored_at,
    still_needed,
    unneeded_inputs,
)
from .model import BatchSpec
from .stage_queue import (
    ServiceQueue,
    StoredResult,
    Worker,
)

MAX_ITEM_FAILURES = 4
"""Failures of one work item after which its chain fails."""


@dataclass
class BatchPlanner:
    """Chains in progress and the queues of all stage services.

    Parameters
    ----------
    released : list of Result
        Results that no item needs any more and that are not freed yet.
    may_run, must_run_alone : callable
        Return whether an item may run now, and whether only in a call of its own.
    """

    queues: dict[str, ServiceQueue] = field(default_factory=dict)
    chains: dict[str, Chain] = field(default_factory=dict)
    released: list[Result] = field(default_factory=list)
    may_run: Callable[[WorkItem], bool] = field(default=lambda item: True)
    must_run_alone: Callable[[WorkItem], bool] = field(default=lambda item: False)

    def set_service(self, name: str, spec: BatchSpec) -> None:
        """Add a service, or update the capacity of its upstreams."""
        queue = self.queues.get(name)
        if queue is None:
            self.queues[name] = ServiceQueue(spec)
        else:
            queue.spec = spec

    def set_workers(self, service: str, workers: Iterable[Worker]) -> None:
        """Update the upstreams of a service; those not listed get no more calls."""
        queue = self.queues[service]
        for worker in queue.workers.values():
            worker.usable = False
        for worker in workers:
            known = queue.workers.get(worker.id)
            if known is None:
                queue.workers[worker.id] = worker
            else:
                known.usable = worker.usable
                known.address = worker.address
        queue.workers = {
            name: worker
            for name, worker in queue.workers.items()
            if worker.usable or worker.calls
        }

    def can_run(self, spec: ChainSpec) -> bool:
        """Return whether every stage has a usable upstream."""
        return all(
            stage.service in self.queues and self.queues[stage.service].usable_workers()
            for stage in spec.stages
        )

    def add(self, spec: ChainSpec, now_ms: float = 0.0, in_time: bool = True) -> Chain:
        """Add an admitted chain and queue the items whose inputs are available."""
        chain = Chain(spec, in_time=in_time)
        remaining_ms = remaining_times_ms(self.queues, spec)
        for stage in spec.stages:
            latest_ms = spec.target_at_ms - remaining_ms[stage.number]
            items = [
                WorkItem(chain, stage, number, latest_ms)
                for number in range(stage.count)
            ]
            chain.add_items(stage, items)
            self.adjust_open_count(stage.service, chain.rank, stage.count)
        for completed in spec.completed:
            self.restore_completed(chain, completed, now_ms)
        self.chains[spec.id] = chain
        self.queue_startable(chain, now_ms)
        return chain

    def restore_completed(
        self, chain: Chain, completed: CompletedItem, now_ms: float
    ) -> None:
        """Restore an item completed under another scheduler if its result exists."""
        items = chain.items.get(completed.stage, [])
        if completed.number >= len(items):
            return
        item = items[completed.number]
        worker = self.queues[item.stage.service].workers.get(
            completed.result.upstream_id
        )
        if not completed.freed:
            if worker is None or completed.expires_ms <= now_ms:
                return
            size = completed.result.size
            worker.stored[completed.result.handle] = StoredResult(
                size, completed.expires_ms
            )
        chain.set_result(item, completed.result)
        item.freed = completed.freed
        item.completed_ms = now_ms
        self.adjust_open_count(item.stage.service, chain.rank, -1)

    def hand_over(self, chain: Chain) -> None:
        """Remove a chain that another scheduler continues; its results stay stored."""
        chain.ended = True
        self.chains.pop(chain.spec.id, None)
        for stage in chain.spec.stages:
            for item in chain.items[stage.number]:
                item.queued = False
                if item.result is None:
                    self.adjust_open_count(stage.service, chain.rank, -1)

    def adjust_open_count(self, service: str, priority: int, change: int) -> None:
        """Change the count of admitted items neither completed nor in a call."""
        counts = self.queues[service].open_items
        counts[priority] = counts.get(priority, 0) + change

    def queue_startable(self, chain: Chain, now_ms: float) -> None:
        """Queue the items whose inputs are available."""
        for stage in chain.spec.stages:
            if not all(chain.stage_done(number) for number in stage.after):
                continue
            for item in chain.items[stage.number]:
                if item.result is None and not item.queued and not item.running_on:
                    item.queued = True
                    item.data_centre = preferred_data_centre(item)
                    item.ready_ms = now_ms
                    self.queues[stage.service].ready.append(item)

    def assign_batch(self, worker: Worker, now_ms: float) -> list[WorkItem]:
        """Assign the items of the next call to an upstream; return them.

        Empty if no call should start now.
        """
        queue = self.queues[worker.service]
        batch = choose_batch(queue, worker, self.may_join, now_ms)
        for item in batch:
            item.queued = False
            item.running_on = worker.id
            item.started_ms = now_ms
            self.adjust_open_count(item.stage.service, item.chain.rank, -1)
        if batch:
            queue.last_start_ms = now_ms
            assigned = set(map(id, batch))
            queue.ready = [item for item in queue.ready if id(item) not in assigned]
            worker.calls += 1
            worker.reserved += sum(item.stage.result_bytes for item in batch)
            call_ms = queue.call_time_ms(len(batch))
            worker.busy_until_ms = now_ms + call_ms * worker.slowness_at(now_ms)
        return batch

    def may_join(self, item: WorkItem, batch: list[WorkItem]) -> bool:
        """Return whether an item may run now, in one call with the items of a batch."""
        if not self.may_run(item):
            return False
        if not batch or batch[0].chain is item.chain:
            return True
        return not self.must_run_alone(item) and not self.must_run_alone(batch[0])

    def inputs_of(self, item: WorkItem) -> tuple[str, ...]:
        """Return the handles of all results that an item needs."""
        return tuple(other.result.handle for other in inputs_of(item) if other.result)

    def record_call_ended(self, worker: Worker) -> None:
        """Record that a call to an upstream has ended."""
        worker.calls -= 1
        if not worker.usable and not worker.calls:
            self.queues[worker.service].workers.pop(worker.id, None)

    def record_completed(
        self, item: WorkItem, worker: Worker, handle: str, now_ms: float
    ) -> Chain | None:
        """Record the result of an item; return its chain if that is now complete."""
        item.running_on = None
        size = item.stage.result_bytes
        worker.reserved -= size
        expires_ms = now_ms + self.queues[worker.service].spec.result_ttl_ms
        worker.stored[handle] = StoredResult(size, expires_ms)
        result = Result(handle, worker.id, size, worker.data_centre)
        chain = item.chain
        if chain.ended or item.result is not None:
            self.released.append(result)
            return None
        chain.set_result(item, result)
        item.completed_ms = now_ms
        if chain.stage_done(item.stage.number):
            self.release_inputs(chain, item.stage)
            self.queue_startable(chain, now_ms)
        if not chain.done():
            return None
        self.end(chain, keep_outputs=True)
        return chain

    def release_inputs(self, chain: Chain, stage: ChainStage) -> None:
        """Release the inputs of a completed stage that no other stage needs."""
        for item in unneeded_inputs(chain, stage):
            self.release_result(item)

    def release_result(self, item: WorkItem) -> None:
        """Release the result of an item unless that was done before."""
        if item.result is not None and not item.freed:
            item.freed = True
            self.released.append(item.result)

    def record_failed(
        self, item: WorkItem, worker: Worker, fault: bool, now_ms: float = 0.0
    ) -> Chain | None:
        """Requeue an item after a failure.

        Returns the item's chain if the item has failed too often.

        Parameters
        ----------
        fault : bool
            Whether the failure counts towards `MAX_ITEM_FAILURES`; a refusal doesn't.
        """
        item.running_on = None
        worker.reserved -= item.stage.result_bytes
        chain = item.chain
        if chain.ended:
            return None
        self.adjust_open_count(item.stage.service, chain.rank, 1)
        item.failures += fault
        if item.failures >= MAX_ITEM_FAILURES:
            self.end(chain)
            return chain
        self.queue_startable(chain, now_ms)
        return None

    def recompute_inputs(
        self, item: WorkItem, now_ms: float = 0.0, suspects: Collection[str] = ()
    ) -> None:
        """Recompute the inputs of an item because one of them is lost.

        Parameters
        ----------
        suspects : collection of str
            Upstreams whose last call failed. Their results are recomputed, or all
            inputs if they store none.
        """
        chain = item.chain
        inputs = inputs_of(item)
        if chain.ended or not all(other.result for other in inputs):
            return
        chain.recomputations += 1
        lost = [other for other in inputs if is_stored_at(other, suspects)]
        for other in lost or inputs:
            self.discard_result(other)
        dequeue_blocked_items(chain)
        self.queue_startable(chain, now_ms)

    def discard_result(self, item: WorkItem) -> None:
        """Discard a lost result so that its item is recomputed."""
        if item.result is None:
            return
        self.release_result(item)
        item.chain.set_result(item, None)
        item.freed = False
        self.adjust_open_count(item.stage.service, item.chain.rank, 1)

    def forget_results(self, worker: Worker, now_ms: float) -> None:
        """Recompute what was stored at an upstream that has ended or restarted."""
        worker.stored.clear()
        self.recompute_lost_results(worker.id, now_ms)

    def recompute_lost_results(self, upstream_id: str, now_ms: float = 0.0) -> None:
        """Recompute the results that were stored at a lost upstream."""
        for chain in self.chains.values():
            lost = items_stored_at(chain, upstream_id)
            for item in lost:
                if still_needed(chain, item):
                    self.discard_result(item)
            if lost:
                dequeue_blocked_items(chain)
                self.queue_startable(chain, now_ms)

    def end(self, chain: Chain, keep_outputs: bool = False) -> None:
        """Remove a chain and release its results.

        Parameters
        ----------
        keep_outputs : bool
            Whether to keep the results of the final stages; their user frees them.
        """
        if chain.ended:
            return
        chain.ended = True
        self.chains.pop(chain.spec.id, None)
        final_stages = (
            {stage.number for stage in chain.final_stages()} if keep_outputs else set()
        )
        for stage in chain.spec.stages:
            for item in chain.items[stage.number]:
                item.queued = False
                if item.result is None and item.running_on is None:
                    self.adjust_open_count(stage.service, chain.rank, -1)
                elif stage.number not in final_stages:
                    self.release_result(item)

    def end_expired(self, now_ms: float) -> list[Chain]:
        """End and return the chains that can't be ready before their deadline."""
        gone = expired_chains(self.chains.values(), self.queues.values(), now_ms)
        for chain in gone:
            self.end(chain)
        return gone

    def end_late(self, now_ms: float) -> list[Chain]:
        """End and return the chains that have not started and would be late.

        Chains that were admitted as late are not among them.
        """
        gone = late_chains(self.queues.values(), now_ms)
        for chain in gone:
            self.end(chain)
        return gone

    def record_freed(self, results: Iterable[Result]) -> None:
        """Record that upstreams have freed results."""
        for result in results:
            for queue in self.queues.values():
                worker = queue.workers.get(result.upstream_id)
                if worker is not None:
                    worker.stored.pop(result.handle, None)
