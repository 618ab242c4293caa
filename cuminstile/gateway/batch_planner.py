"""Decide which pieces of which requests an idle upstream makes next.

Answers the pattern of staged work under one deadline: each request is a small graph
of pieces, upstreams take pieces in batches whose call costs far more than a piece,
and more work arrives than can be in time. Needs no network: state and a time go in,
batches and finished chains come out.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .chain import (
    Chain,
    ChainSpec,
    ChainStage,
    CompletedItem,
    Result,
    WorkItem,
    begun,
    better_zone,
    late,
    out_of_time,
)
from .model import BatchSpec
from .stage_queue import ServiceQueue, StoredResult, Worker, urgency, waits_for_zone

MAX_PIECE_FAILURES = 4
"""How often one piece is given out before its chain fails."""


@dataclass(frozen=True, slots=True)
class Forecast:
    """Tell when a chain would be ready, in ms from now.

    Parameters
    ----------
    alone_ms : float
        When it would be ready if there was no other work.
    queued_ms : float
        How long it would wait behind other work.
    """

    ready_ms: float
    alone_ms: float
    queued_ms: float


@dataclass
class BatchPlanner:
    """Hold all chains in progress and the queues of all stage services."""

    queues: dict[str, ServiceQueue] = field(default_factory=dict)
    chains: dict[str, Chain] = field(default_factory=dict)
    released: list[Result] = field(default_factory=list)

    def set_service(self, name: str, spec: BatchSpec) -> None:
        """Take over what an upstream of a service bears."""
        queue = self.queues.get(name)
        if queue is None:
            self.queues[name] = ServiceQueue(spec)
        else:
            queue.spec = spec

    def set_workers(self, service: str, workers: Iterable[Worker]) -> None:
        """Take over the upstreams of a service; those left out get no more calls."""
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
        """Tell whether every stage has an upstream."""
        return all(
            stage.service in self.queues and self.queues[stage.service].usable_workers()
            for stage in spec.stages
        )

    def forecast(self, spec: ChainSpec, now_ms: float, rank: int) -> Forecast:
        """Predict when a new chain would be ready if all up to its rank goes first.

        All pieces of admitted chains count, also those that wait for an earlier
        stage: they will be there when the new chain's later stages are. Work that is
        waiting fills the batches, so it costs its share of full calls. A batch that
        isn't full waits for the next start of a call.
        """
        ends: dict[int, float] = {}
        alone: dict[int, float] = {}
        queued_ms = 0.0
        for stage in spec.stages:
            queue = self.queues[stage.service]
            workers = queue.capacity(now_ms)
            slowness = queue.mean_slowness(now_ms)
            ahead = sum(
                count
                for priority, count in queue.open_items.items()
                if priority <= rank
            )
            wait_ms = queue.free_in_ms(now_ms) + ahead * queue.piece_ms() / workers
            before = max((ends.get(n, 0.0) for n in stage.after), default=0.0)
            shared = stage.count + ahead / workers
            call_ms = queue.call_time_ms(shared) * slowness
            start_wait_ms = 0.0
            if shared < queue.spec.batch:
                start_wait_ms = call_ms / workers
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

    def add(self, spec: ChainSpec, now_ms: float = 0.0, in_time: bool = True) -> Chain:
        """Admit a chain and queue the pieces of its first stages."""
        chain = Chain(spec, in_time=in_time)
        tails = self.tails(spec)
        for stage in spec.stages:
            latest_ms = spec.target_at_ms - tails[stage.number]
            chain.items[stage.number] = [
                WorkItem(chain, stage, number, latest_ms)
                for number in range(stage.count)
            ]
            self.count_open(stage.service, chain.rank, stage.count)
        for completed in spec.completed:
            self.restore_completed(chain, completed, now_ms)
        self.chains[spec.id] = chain
        self.queue_startable(chain, now_ms)
        return chain

    def restore_completed(
        self, chain: Chain, completed: CompletedItem, now_ms: float
    ) -> None:
        """Take over a piece of another scheduler unless its result is gone."""
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
        item.result = completed.result
        item.freed = completed.freed
        item.completed_ms = now_ms
        self.count_open(item.stage.service, chain.rank, -1)

    def hand_over(self, chain: Chain) -> None:
        """Drop a chain that another scheduler goes on with; its results stay."""
        chain.ended = True
        self.chains.pop(chain.spec.id, None)
        for stage in chain.spec.stages:
            for item in chain.items[stage.number]:
                item.queued = False
                if item.result is None:
                    self.count_open(stage.service, chain.rank, -1)

    def tails(self, spec: ChainSpec) -> dict[int, float]:
        """Return the time from the start of each stage to the end, in ms."""
        tails: dict[int, float] = {}
        for stage in reversed(spec.stages):
            queue = self.queues[stage.service]
            following = (
                tails[s.number] for s in spec.stages if stage.number in s.after
            )
            rest_ms = max(following, default=spec.engine_ms)
            own_ms = queue.call_time_ms(max(stage.count, queue.spec.batch / 2))
            tails[stage.number] = own_ms + rest_ms
        return tails

    def count_open(self, service: str, priority: int, change: int) -> None:
        """Count pieces that are admitted and neither made nor in a call."""
        counts = self.queues[service].open_items
        counts[priority] = counts.get(priority, 0) + change

    def queue_startable(self, chain: Chain, now_ms: float) -> None:
        """Queue the pieces whose inputs are there."""
        for stage in chain.spec.stages:
            if not all(chain.stage_done(number) for number in stage.after):
                continue
            for item in chain.items[stage.number]:
                if item.result is None and not item.queued and not item.running_on:
                    item.queued = True
                    item.zone = better_zone(item)
                    item.ready_ms = now_ms
                    self.queues[stage.service].ready.append(item)

    def take_batch(self, worker: Worker, now_ms: float) -> list[WorkItem]:
        """Return the pieces for the next call to an upstream, empty for none now."""
        queue = self.queues[worker.service]
        if not worker.usable or worker.calls or now_ms < worker.free_at_ms:
            return []
        queue.ready = [item for item in queue.ready if item.startable()]
        if len(queue.ready) < queue.spec.batch and now_ms < queue.next_start_ms():
            return []
        if queue.too_slow(worker, now_ms):
            return []
        memory = queue.spec.memory_bytes - worker.memory_used(now_ms)
        if now_ms < worker.full_until_ms:
            memory = min(memory, worker.full_size - 1)
        batch: list[WorkItem] = []
        for item in sorted(queue.ready, key=lambda p: urgency(p, worker, now_ms)):
            if len(batch) == queue.spec.batch:
                break
            if item.stage.result_bytes > memory:
                continue
            if waits_for_zone(item, worker, queue, now_ms):
                continue
            memory -= item.stage.result_bytes
            batch.append(item)
        for item in batch:
            item.queued = False
            item.running_on = worker.id
            item.started_ms = now_ms
            self.count_open(item.stage.service, item.chain.rank, -1)
        if batch:
            queue.last_start_ms = now_ms
            taken = set(map(id, batch))
            queue.ready = [item for item in queue.ready if id(item) not in taken]
            worker.calls += 1
            worker.reserved += sum(item.stage.result_bytes for item in batch)
            call_ms = queue.call_time_ms(len(batch))
            worker.busy_until_ms = now_ms + call_ms * worker.slowness_at(now_ms)
        return batch

    def inputs_of(self, item: WorkItem) -> tuple[str, ...]:
        """Return the handles of all results that a piece needs."""
        return tuple(
            other.result.handle
            for number in item.stage.after
            for other in item.chain.items.get(number, ())
            if other.result
        )

    def call_ended(self, worker: Worker) -> None:
        """Note that a call to an upstream is over."""
        worker.calls -= 1
        if not worker.usable and not worker.calls:
            self.queues[worker.service].workers.pop(worker.id, None)

    def record_completed(
        self, item: WorkItem, worker: Worker, handle: str, now_ms: float
    ) -> Chain | None:
        """Note a result; return its chain if that is complete now."""
        item.running_on = None
        size = item.stage.result_bytes
        worker.reserved -= size
        expires_ms = now_ms + self.queues[worker.service].spec.result_ttl_ms
        worker.stored[handle] = StoredResult(size, expires_ms)
        result = Result(handle, worker.id, size, worker.zone)
        chain = item.chain
        if chain.ended or item.result is not None:
            self.released.append(result)
            return None
        item.result = result
        item.completed_ms = now_ms
        if chain.stage_done(item.stage.number):
            self.release_inputs(chain, item.stage)
            self.queue_startable(chain, now_ms)
        if not chain.done():
            return None
        self.end(chain, keep_outputs=True)
        return chain

    def release_inputs(self, chain: Chain, stage: ChainStage) -> None:
        """Free the results that only the stage that has just ended needed."""
        for number in stage.after:
            users = [s for s in chain.spec.stages if number in s.after]
            if all(chain.stage_done(user.number) for user in users):
                for item in chain.items.get(number, ()):
                    self.release(item)

    def release(self, item: WorkItem) -> None:
        """Give up the result of a piece, once."""
        if item.result is not None and not item.freed:
            item.freed = True
            self.released.append(item.result)

    def piece_failed(
        self, item: WorkItem, worker: Worker, fault: bool, now_ms: float = 0.0
    ) -> Chain | None:
        """Queue a piece again; return its chain if it has failed too often.

        Parameters
        ----------
        fault : bool
            Whether the failure counts against the piece; a refusal doesn't.
        """
        item.running_on = None
        worker.reserved -= item.stage.result_bytes
        chain = item.chain
        if chain.ended:
            return None
        self.count_open(item.stage.service, chain.rank, 1)
        item.failures += fault
        if item.failures >= MAX_PIECE_FAILURES:
            self.end(chain)
            return chain
        self.queue_startable(chain, now_ms)
        return None

    def inputs_gone(self, item: WorkItem, now_ms: float = 0.0) -> None:
        """Make the inputs of a piece again: one of them is lost."""
        chain = item.chain
        if chain.ended:
            return
        chain.redone += 1
        for number in item.stage.after:
            for other in chain.items.get(number, ()):
                self.forget_result(other)
        self.requeue_waiting(chain)
        self.queue_startable(chain, now_ms)

    def forget_result(self, item: WorkItem) -> None:
        """Take a result as lost."""
        if item.result is None:
            return
        self.release(item)
        item.result = None
        item.freed = False
        self.count_open(item.stage.service, item.chain.rank, 1)

    def upstream_lost(self, upstream_id: str, now_ms: float = 0.0) -> None:
        """Make the results again that lay at an upstream that is gone."""
        for chain in self.chains.values():
            lost = [
                item
                for items in chain.items.values()
                for item in items
                if item.result and item.result.upstream_id == upstream_id
            ]
            for item in lost:
                if self.still_needed(chain, item):
                    self.forget_result(item)
            if lost:
                self.requeue_waiting(chain)
                self.queue_startable(chain, now_ms)

    def still_needed(self, chain: Chain, item: WorkItem) -> bool:
        """Tell whether a result is an input of work that is not done yet."""
        users = [s for s in chain.spec.stages if item.stage.number in s.after]
        return not users or any(not chain.stage_done(user.number) for user in users)

    def requeue_waiting(self, chain: Chain) -> None:
        """Take pieces out of the queue whose inputs are not there any more."""
        for stage in chain.spec.stages:
            if not all(chain.stage_done(number) for number in stage.after):
                for item in chain.items[stage.number]:
                    item.queued = False

    def end(self, chain: Chain, keep_outputs: bool = False) -> None:
        """Drop a chain; results that are kept are freed by whoever uses them."""
        if chain.ended:
            return
        chain.ended = True
        self.chains.pop(chain.spec.id, None)
        leaves = {stage.number for stage in chain.leaves()} if keep_outputs else set()
        for stage in chain.spec.stages:
            for item in chain.items[stage.number]:
                item.queued = False
                if item.result is None and item.running_on is None:
                    self.count_open(stage.service, chain.rank, -1)
                elif stage.number not in leaves:
                    self.release(item)

    def expired(self, now_ms: float) -> list[Chain]:
        """End and return the chains that can't be ready before they expire."""
        gone = [chain for chain in self.chains.values() if out_of_time(chain, now_ms)]
        for chain in gone:
            self.end(chain)
        return gone

    def overdue(self, now_ms: float) -> list[Chain]:
        """End and return the chains that would be late and have not begun."""
        gone = [
            chain
            for chain in self.chains.values()
            if chain.in_time and not begun(chain) and late(chain, now_ms)
        ]
        for chain in gone:
            self.end(chain)
        return gone

    def freed(self, results: Iterable[Result]) -> None:
        """Note that upstreams have freed results."""
        for result in results:
            for queue in self.queues.values():
                worker = queue.workers.get(result.upstream_id)
                if worker is not None:
                    worker.stored.pop(result.handle, None)
