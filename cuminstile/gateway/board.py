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
    MadePiece,
    Piece,
    Result,
    begun,
    better_zone,
    late,
    out_of_time,
)
from .model import BatchSpec
from .stage_queue import HeldResult, ServiceQueue, Worker, urgency, waits_for_zone

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
class Board:
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
                for priority, count in queue.open_pieces.items()
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
            chain.pieces[stage.number] = [
                Piece(chain, stage, number, latest_ms) for number in range(stage.count)
            ]
            self.count_open(stage.service, chain.rank, stage.count)
        for made in spec.made:
            self.take_made(chain, made, now_ms)
        self.chains[spec.id] = chain
        self.queue_startable(chain, now_ms)
        return chain

    def take_made(self, chain: Chain, made: MadePiece, now_ms: float) -> None:
        """Take over a piece of another scheduler unless its result is gone."""
        pieces = chain.pieces.get(made.stage, [])
        if made.number >= len(pieces):
            return
        piece = pieces[made.number]
        worker = self.queues[piece.stage.service].workers.get(made.result.upstream_id)
        if not made.freed:
            if worker is None or made.lapses_ms <= now_ms:
                return
            size = made.result.size
            worker.held[made.result.handle] = HeldResult(size, made.lapses_ms)
        piece.result = made.result
        piece.freed = made.freed
        piece.made_ms = now_ms
        self.count_open(piece.stage.service, chain.rank, -1)

    def hand_over(self, chain: Chain) -> None:
        """Drop a chain that another scheduler goes on with; its results stay."""
        chain.ended = True
        self.chains.pop(chain.spec.id, None)
        for stage in chain.spec.stages:
            for piece in chain.pieces[stage.number]:
                piece.queued = False
                if piece.result is None:
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
        counts = self.queues[service].open_pieces
        counts[priority] = counts.get(priority, 0) + change

    def queue_startable(self, chain: Chain, now_ms: float) -> None:
        """Queue the pieces whose inputs are there."""
        for stage in chain.spec.stages:
            if not all(chain.stage_done(number) for number in stage.after):
                continue
            for piece in chain.pieces[stage.number]:
                if piece.result is None and not piece.queued and not piece.running_on:
                    piece.queued = True
                    piece.zone = better_zone(piece)
                    piece.ready_ms = now_ms
                    self.queues[stage.service].ready.append(piece)

    def take_batch(self, worker: Worker, now_ms: float) -> list[Piece]:
        """Return the pieces for the next call to an upstream, empty for none now."""
        queue = self.queues[worker.service]
        if not worker.usable or worker.calls or now_ms < worker.free_at_ms:
            return []
        queue.ready = [piece for piece in queue.ready if piece.startable()]
        if len(queue.ready) < queue.spec.batch and now_ms < queue.next_start_ms():
            return []
        if queue.too_slow(worker, now_ms):
            return []
        room = queue.spec.room_bytes - worker.room_used(now_ms)
        if now_ms < worker.full_until_ms:
            room = min(room, worker.full_size - 1)
        batch: list[Piece] = []
        for piece in sorted(queue.ready, key=lambda p: urgency(p, worker, now_ms)):
            if len(batch) == queue.spec.batch:
                break
            if piece.stage.result_bytes > room:
                continue
            if waits_for_zone(piece, worker, queue, now_ms):
                continue
            room -= piece.stage.result_bytes
            batch.append(piece)
        for piece in batch:
            piece.queued = False
            piece.running_on = worker.id
            piece.started_ms = now_ms
            self.count_open(piece.stage.service, piece.chain.rank, -1)
        if batch:
            queue.last_start_ms = now_ms
            taken = set(map(id, batch))
            queue.ready = [piece for piece in queue.ready if id(piece) not in taken]
            worker.calls += 1
            worker.reserved += sum(piece.stage.result_bytes for piece in batch)
            call_ms = queue.call_time_ms(len(batch))
            worker.busy_until_ms = now_ms + call_ms * worker.slowness_at(now_ms)
        return batch

    def inputs_of(self, piece: Piece) -> tuple[str, ...]:
        """Return the handles of all results that a piece needs."""
        return tuple(
            other.result.handle
            for number in piece.stage.after
            for other in piece.chain.pieces.get(number, ())
            if other.result
        )

    def call_ended(self, worker: Worker) -> None:
        """Note that a call to an upstream is over."""
        worker.calls -= 1
        if not worker.usable and not worker.calls:
            self.queues[worker.service].workers.pop(worker.id, None)

    def piece_made(
        self, piece: Piece, worker: Worker, handle: str, now_ms: float
    ) -> Chain | None:
        """Note a result; return its chain if that is complete now."""
        piece.running_on = None
        size = piece.stage.result_bytes
        worker.reserved -= size
        lapses_ms = now_ms + self.queues[worker.service].spec.keep_ms
        worker.held[handle] = HeldResult(size, lapses_ms)
        result = Result(handle, worker.id, size, worker.zone)
        chain = piece.chain
        if chain.ended or piece.result is not None:
            self.released.append(result)
            return None
        piece.result = result
        piece.made_ms = now_ms
        if chain.stage_done(piece.stage.number):
            self.release_inputs(chain, piece.stage)
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
                for piece in chain.pieces.get(number, ()):
                    self.release(piece)

    def release(self, piece: Piece) -> None:
        """Give up the result of a piece, once."""
        if piece.result is not None and not piece.freed:
            piece.freed = True
            self.released.append(piece.result)

    def piece_failed(
        self, piece: Piece, worker: Worker, fault: bool, now_ms: float = 0.0
    ) -> Chain | None:
        """Queue a piece again; return its chain if it has failed too often.

        Parameters
        ----------
        fault : bool
            Whether the failure counts against the piece; a refusal doesn't.
        """
        piece.running_on = None
        worker.reserved -= piece.stage.result_bytes
        chain = piece.chain
        if chain.ended:
            return None
        self.count_open(piece.stage.service, chain.rank, 1)
        piece.failures += fault
        if piece.failures >= MAX_PIECE_FAILURES:
            self.end(chain)
            return chain
        self.queue_startable(chain, now_ms)
        return None

    def inputs_gone(self, piece: Piece, now_ms: float = 0.0) -> None:
        """Make the inputs of a piece again: one of them is lost."""
        chain = piece.chain
        if chain.ended:
            return
        chain.redone += 1
        for number in piece.stage.after:
            for other in chain.pieces.get(number, ()):
                self.forget_result(other)
        self.requeue_waiting(chain)
        self.queue_startable(chain, now_ms)

    def forget_result(self, piece: Piece) -> None:
        """Take a result as lost."""
        if piece.result is None:
            return
        self.release(piece)
        piece.result = None
        piece.freed = False
        self.count_open(piece.stage.service, piece.chain.rank, 1)

    def upstream_lost(self, upstream_id: str, now_ms: float = 0.0) -> None:
        """Make the results again that lay at an upstream that is gone."""
        for chain in self.chains.values():
            lost = [
                piece
                for pieces in chain.pieces.values()
                for piece in pieces
                if piece.result and piece.result.upstream_id == upstream_id
            ]
            for piece in lost:
                if self.still_needed(chain, piece):
                    self.forget_result(piece)
            if lost:
                self.requeue_waiting(chain)
                self.queue_startable(chain, now_ms)

    def still_needed(self, chain: Chain, piece: Piece) -> bool:
        """Tell whether a result is an input of work that is not done yet."""
        users = [s for s in chain.spec.stages if piece.stage.number in s.after]
        return not users or any(not chain.stage_done(user.number) for user in users)

    def requeue_waiting(self, chain: Chain) -> None:
        """Take pieces out of the queue whose inputs are not there any more."""
        for stage in chain.spec.stages:
            if not all(chain.stage_done(number) for number in stage.after):
                for piece in chain.pieces[stage.number]:
                    piece.queued = False

    def end(self, chain: Chain, keep_outputs: bool = False) -> None:
        """Drop a chain; results that are kept are freed by whoever uses them."""
        if chain.ended:
            return
        chain.ended = True
        self.chains.pop(chain.spec.id, None)
        leaves = {stage.number for stage in chain.leaves()} if keep_outputs else set()
        for stage in chain.spec.stages:
            for piece in chain.pieces[stage.number]:
                piece.queued = False
                if piece.result is None and piece.running_on is None:
                    self.count_open(stage.service, chain.rank, -1)
                elif stage.number not in leaves:
                    self.release(piece)

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
                    worker.held.pop(result.handle, None)
