"""Schedule the staged work of all VMs: admit chains and call the upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace

from ..clock import Clock
from ..events import Event, Journal
from .admission import Verdict, come_back_late_ms, judge
from .batch_planner import BatchPlanner
from .chain import Chain, ChainSpec, CompletedItem, Result, WorkItem, stage_times
from .handover import completed_items
from .http_client import ConnectionLostError
from .model import Manifest
from .returning_callers import ReturningCallers
from .stage_calls import StageAnswer, StageCaller, by_upstream
from .stage_queue import Worker
from .upstream_protocol import ItemRequest, StageFault, StageOutcome
from .upstreams import UpstreamTable

REFUSED_PAUSE_MS = 60.0
"""Pause before an upstream that was full is asked again; a fifth of a call."""
LOST_PAUSE_MS = 500.0
"""Pause before an upstream whose call failed is asked again; doubled each time."""
LOST_PAUSE_MAX_MS = 4_000.0
"""The longest such pause; an upstream that restarts is back after some seconds."""
FREE_INTERVAL_MS = 40.0
"""How long results that are given up wait for others at the same upstream: a tenth of a
call, as the room for results is about two calls."""
PUMP_INTERVAL_MS = 25.0
"""How often pieces that wait for their own data centre are looked at again."""


@dataclass(frozen=True, slots=True)
class ChainAnswer:
    """Tell how the work of a chain ended.

    Parameters
    ----------
    results : tuple of Result
        The results that the request needs, empty if there is a `refusal`.
    refusal : str
        Why the work is not done, empty if it is.
    moved : tuple of MadePiece or None
        What is made if another scheduler has to go on with the work, None if not.
    """

    results: tuple[Result, ...] = ()
    refusal: str = ""
    retry_after_ms: float = 0.0
    moved: tuple[CompletedItem, ...] | None = None


Reply = Callable[[ChainAnswer], None]


@dataclass
class Scheduler:
    """Hold the board and who waits for each chain.

    Parameters
    ----------
    replies : dict of str to Reply
        Whom to tell when a chain ends, by the chain's id.
    pauses : dict of str to float
        The pause after the next failed call of an upstream, in ms.
    moving : bool
        Whether the work goes to another scheduler: no call is started any more.
    after_call : callable
        Told after each call that ends.
    """

    clock: Clock
    journal: Journal
    caller: StageCaller
    planner: BatchPlanner = field(default_factory=BatchPlanner)
    replies: dict[str, Reply] = field(default_factory=dict)
    pauses: dict[str, float] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    pending_frees: list[Result] = field(default_factory=list)
    addresses: dict[str, str] = field(default_factory=dict)
    table: UpstreamTable = field(default_factory=UpstreamTable)
    handing_over: bool = False
    after_call: Callable[[], None] = field(default=lambda: None)
    next_pump_ms: float = 0.0
    returning_callers: ReturningCallers = field(default_factory=ReturningCallers)

    def configure(self, manifest: Manifest, table: UpstreamTable) -> None:
        """Take over services and upstreams."""
        self.table = table
        for service in manifest.services.values():
            if service.batch is None:
                continue
            self.planner.set_service(service.name, service.batch)
            workers = [
                Worker(s.info.id, service.name, s.info.address, s.info.zone)
                for s in table.usable(service.name)
            ]
            self.planner.set_workers(service.name, workers)
        for upstream_id in list(self.addresses):
            if upstream_id not in table.states:
                del self.addresses[upstream_id]
                self.planner.upstream_lost(upstream_id, self.clock.now_ms())
                self.caller.drop(upstream_id)
        for state in table.states.values():
            self.addresses[state.info.id] = state.info.address
        self.dispatch()

    def submit(self, spec: ChainSpec, again: bool, reply: Reply) -> Verdict:
        """Admit or refuse a chain; `reply` is called once if it is admitted.

        Parameters
        ----------
        again : bool
            Whether another scheduler had admitted it; it is not refused for its
            forecast then.
        """
        now_ms = self.clock.now_ms()
        waited_ms = self.returning_callers.waited_ms(spec.key, now_ms)
        spec = replace(spec, target_at_ms=spec.target_at_ms - waited_ms)
        verdict = judge(self.planner, spec, now_ms, again, waited_ms > 0)
        if not verdict.admitted:
            return verdict
        self.replies[spec.id] = reply
        chain = self.planner.add(spec, now_ms, verdict.in_time)
        chain.admitted_ms = now_ms
        chain.forecast_ms = verdict.ready_ms - spec.engine_ms
        self.dispatch()
        return verdict

    def cancel(self, chain_id: str) -> None:
        """Drop a chain for which nobody waits any more."""
        self.replies.pop(chain_id, None)
        chain = self.planner.chains.get(chain_id)
        if chain is not None:
            self.planner.end(chain)
            self.collect_released()

    def free(self, results: tuple[Result, ...]) -> None:
        """Free results that have been used."""
        self.pending_frees += results

    def collect_released(self) -> None:
        """Take over the results that the board gave up."""
        self.pending_frees += self.planner.released
        self.planner.released = []

    def dispatch(self) -> None:
        """Give work to each upstream that is free."""
        if self.handing_over:
            return
        now_ms = self.clock.now_ms()
        for queue in self.planner.queues.values():
            if not queue.ready:
                continue
            self.pump_later(queue.next_start_ms())
            workers = sorted(
                queue.workers.values(),
                key=lambda w: (round(w.slowness_at(now_ms), 1), len(w.stored)),
            )
            for worker in workers:
                batch = self.planner.take_batch(worker, now_ms)
                if batch:
                    # The inputs are named now: they may be lost before the call runs.
                    self.start(self.run_call(worker, batch, self.items(batch)))
        self.collect_released()

    def pump_later(self, at_ms: float) -> None:
        """Look again when the next call may begin, if that is earlier than planned."""
        now_ms = self.clock.now_ms()
        if at_ms <= now_ms or now_ms < self.next_pump_ms <= at_ms:
            return
        self.next_pump_ms = at_ms
        delay_s = (at_ms - now_ms) / 1000.0
        asyncio.get_running_loop().call_later(delay_s, self.dispatch)

    def start(self, job: Coroutine[None, None, None]) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_call(
        self, worker: Worker, batch: list[WorkItem], items: list[ItemRequest]
    ) -> None:
        """Call an upstream with a batch, and take over what became of the pieces."""
        started_ms = self.clock.now_ms()
        chosen_by = self.table.age(started_ms)
        expected_ms = self.planner.queues[worker.service].call_time_ms(len(batch))
        answer: StageAnswer | None = None
        try:
            answer = await self.caller.run(worker, items, expected_ms)
        except ConnectionLostError as error:
            self.note_lost(worker, str(error))
        now_ms = self.clock.now_ms()
        made = answer is not None and answer.status == 200
        worker.note_call(expected_ms, now_ms - started_ms, now_ms, failed=not made)
        self.planner.call_ended(worker)
        if answer is not None and made:
            self.pauses.pop(worker.id, None)
            for item, outcome in zip(batch, answer.outcomes, strict=True):
                self.take_outcome(worker, item, outcome)
        else:
            if answer is not None:
                self.note_refusal(worker, answer.status, answer.not_run)
            for item in batch:
                failed = self.planner.piece_failed(item, worker, False, now_ms)
                self.end_if_failed(failed)
        self.journal.record(
            Event.STAGE_CALL_ENDED,
            service=worker.service,
            upstream=worker.id,
            pieces=len(batch),
            made=sum(1 for o in answer.outcomes if o.handle) if answer else 0,
            took_ms=round(now_ms - started_ms, 1),
            list_version=chosen_by.version,
            list_age_ms=chosen_by.age_ms,
        )
        self.after_call()
        if self.handing_over:
            for chain in {id(item.chain): item.chain for item in batch}.values():
                self.move_if_idle(chain)
        self.dispatch()

    def hand_over(self) -> None:
        """Start no more calls, and have other schedulers go on with all work.

        What is in a call goes over when that has ended.
        """
        self.handing_over = True
        for chain in list(self.planner.chains.values()):
            self.move_if_idle(chain)

    def has_work(self) -> bool:
        """Tell whether another scheduler would have anything to take over."""
        stored = (
            worker.stored or worker.calls
            for queue in self.planner.queues.values()
            for worker in queue.workers.values()
        )
        return bool(self.planner.chains) or any(stored)

    def keep_work(self) -> None:
        """Go on here: there is no other scheduler."""
        self.handing_over = False

    def move_if_idle(self, chain: Chain) -> None:
        """Have another scheduler go on with a chain of which nothing is in a call."""
        if chain.ended or chain.running():
            return
        made = completed_items(self.planner, chain)
        self.planner.hand_over(chain)
        self.tell(chain, ChainAnswer(refusal="moved", moved=made))

    def items(self, batch: list[WorkItem]) -> list[ItemRequest]:
        """Return the pieces as a call names them."""
        now_ms = self.clock.now_ms()
        return [
            ItemRequest(
                item.chain.spec.request_id,
                item.stage.number,
                item.number,
                max(1.0, item.chain.spec.expires_at_ms - now_ms),
                None if item.stage.after else item.chain.spec.key,
                self.planner.inputs_of(item),
            )
            for item in batch
        ]

    def take_outcome(
        self, worker: Worker, item: WorkItem, outcome: StageOutcome
    ) -> None:
        """Take over what became of one piece."""
        if outcome.handle is not None:
            chain = self.planner.record_completed(
                item, worker, outcome.handle, self.clock.now_ms()
            )
            if chain is not None:
                self.tell(chain, ChainAnswer(chain.outputs()))
            return
        now_ms = self.clock.now_ms()
        if outcome.fault is StageFault.INPUT_GONE:
            self.planner.inputs_gone(item, now_ms)
        fault = outcome.fault is not StageFault.NO_MEMORY
        if not fault:
            worker.note_full(item.stage.result_bytes, now_ms)
        self.journal.record(
            Event.STAGE_PIECE_FAILED,
            request=item.chain.spec.request_id,
            stage=item.stage.number,
            piece=item.number,
            upstream=worker.id,
            reason=str(outcome.fault),
            failures=item.failures + fault,
        )
        self.end_if_failed(self.planner.piece_failed(item, worker, fault, now_ms))

    def end_if_failed(self, chain: Chain | None) -> None:
        """Tell whoever waits for a chain that failed too often."""
        if chain is not None:
            self.tell(chain, ChainAnswer(refusal="stage_failed"))

    def tell(self, chain: Chain, answer: ChainAnswer) -> None:
        """Tell whoever waits for a chain how it ended."""
        now_ms = self.clock.now_ms()
        self.journal.record(
            Event.CHAIN_ENDED,
            request=chain.spec.request_id,
            priority=chain.spec.priority,
            stages=len(chain.spec.stages),
            pieces=sum(stage.count for stage in chain.spec.stages),
            refusal=answer.refusal,
            forecast_ms=round(chain.forecast_ms),
            took_ms=round(now_ms - chain.admitted_ms),
            stage_times=stage_times(chain),
            spare_ms=round(chain.spec.target_at_ms - chain.spec.engine_ms - now_ms),
        )
        reply = self.replies.pop(chain.spec.id, None)
        if reply is not None:
            reply(answer)

    def note_lost(self, worker: Worker, reason: str) -> None:
        """Leave an upstream alone for a while after a failed call."""
        pause_ms = self.pauses.get(worker.id, LOST_PAUSE_MS)
        self.pauses[worker.id] = min(LOST_PAUSE_MAX_MS, pause_ms * 2)
        worker.free_at_ms = self.clock.now_ms() + pause_ms
        self.journal.record(
            Event.STAGE_UPSTREAM_LOST,
            service=worker.service,
            upstream=worker.id,
            reason=reason,
            pause_ms=pause_ms,
        )

    def note_refusal(self, worker: Worker, status: int, not_run: bool) -> None:
        """Ask an upstream again later that took no piece."""
        worker.free_at_ms = self.clock.now_ms() + REFUSED_PAUSE_MS
        if status == 421:
            worker.usable = False
        self.journal.record(
            Event.STAGE_CALL_REFUSED,
            service=worker.service,
            upstream=worker.id,
            status=status,
            not_run=not_run,
        )

    async def run_dispatch_loop(self) -> None:
        """Look again at waiting pieces and expired chains, without end."""
        while True:
            await self.clock.sleep_ms(PUMP_INTERVAL_MS)
            self.drop_hopeless(self.clock.now_ms())
            self.dispatch()

    def drop_hopeless(self, now_ms: float) -> None:
        """Refuse what can't be served any more, or would be late and has not begun."""
        for chain in self.planner.expired(now_ms):
            self.tell(chain, ChainAnswer(refusal="deadline_passed"))
        for chain in self.planner.overdue(now_ms):
            retry_ms = come_back_late_ms(chain.spec, now_ms)
            self.tell(chain, ChainAnswer((), "overtaken", retry_ms))

    async def run_free_loop(self) -> None:
        """Free results that were given up, without end."""
        while True:
            await self.clock.sleep_ms(FREE_INTERVAL_MS)
            self.collect_released()
            results, self.pending_frees = self.pending_frees, []
            for upstream_id, group in by_upstream(results).items():
                if upstream_id in self.addresses:
                    self.start(self.free_at(upstream_id, group))

    async def free_at(self, upstream_id: str, results: list[Result]) -> None:
        """Free results at one upstream; what fails lapses there by itself."""
        handles = [result.handle for result in results]
        address = self.addresses[upstream_id]
        try:
            await self.caller.free(upstream_id, address, handles)
        except ConnectionLostError as error:
            self.journal.record(
                Event.STAGE_FREE_FAILED,
                upstream=upstream_id,
                results=len(results),
                reason=str(error),
            )
        self.planner.freed(results)
