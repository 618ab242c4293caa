"""Scheduler of the staged work of all VMs: admits chains and calls upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace

from ..clock import Clock
from ..crash_limits import Suspicion
from ..events import Event, Journal
from .admission import Verdict, decide_admission, late_retry_after_ms
from .answers import ConnectionLostError, NoListenerError
from .batch_planner import BatchPlanner
from .chain import Chain, ChainSpec, CompletedItem, Result, WorkItem, stage_times
from .crash_state import CrashGuard, fingerprint_of
from .handover import completed_items
from .model import Manifest
from .returning_callers import ReturningCallers
from .stage_calls import StageAnswer, StageCaller
from .stage_crashes import StageCrashes
from .stage_frees import ResultFrees
from .stage_queue import Worker
from .stage_reports import CallReports
from .upstream_protocol import ItemRequest, StageFault, StageOutcome
from .upstreams import UpstreamTable

QUARANTINED = "quarantined"
"""Refusal of a request whose work items crash upstreams."""
STAGE_TRIAL_MS = 3_000.0
"""How long other calls wait at most for the end of a request's call on trial."""
DISPATCH_INTERVAL_MS = 25.0
"""Interval at which items that wait for their own data centre are considered again."""
DISPATCHES_PER_DROP = 4
"""Dispatches after which infeasible chains are looked for: each chain is looked at."""


@dataclass(frozen=True, slots=True)
class ChainAnswer:
    """Outcome of a chain.

    Parameters
    ----------
    results : tuple of Result
        The results that the request needs, empty if there is a `refusal`.
    refusal : str
        Why the work is not done, empty if it is.
    moved : tuple of CompletedItem or None
        The completed items if another scheduler has to continue the work, else None.
    """

    results: tuple[Result, ...] = ()
    refusal: str = ""
    retry_after_ms: float = 0.0
    moved: tuple[CompletedItem, ...] | None = None


Reply = Callable[[ChainAnswer], None]


@dataclass
class Scheduler:
    """Admits chains, dispatches their items to upstreams and reports the outcomes.

    Parameters
    ----------
    replies : dict of str to Reply
        Callbacks for the end of each chain, by the chain's id.
    reports : CallReports
        Records how calls ended.
    frees : ResultFrees
        Frees the results that nothing needs any more.
    handing_over : bool
        Whether another scheduler takes over the work: no more calls are started.
    successor : str
        Address of that scheduler, empty if none is known.
    after_call : callable
        Called after each call that ends.
    """

    clock: Clock
    journal: Journal
    caller: StageCaller
    guard: CrashGuard = field(default_factory=CrashGuard)
    planner: BatchPlanner = field(default_factory=BatchPlanner)
    replies: dict[str, Reply] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    table: UpstreamTable = field(default_factory=UpstreamTable)
    handing_over: bool = False
    successor: str = ""
    after_call: Callable[[], None] = field(default=lambda: None)
    next_dispatch_ms: float = 0.0
    returning_callers: ReturningCallers = field(default_factory=ReturningCallers)

    def __post_init__(self) -> None:
        """Let the guard decide which items may run."""
        self.crashes = StageCrashes(self.clock, self.journal, self.guard)
        self.planner.may_run = self.crashes.may_run
        self.planner.must_run_alone = self.crashes.must_run_alone
        self.reports = CallReports(self.clock, self.journal, self.caller.spares)
        self.frees = ResultFrees(
            self.clock,
            self.journal,
            self.caller,
            self.planner,
            self.record_free_answered,
        )

    def configure(self, manifest: Manifest, table: UpstreamTable) -> None:
        """Apply the services of a manifest and the upstreams of a table."""
        self.table = table
        for service in manifest.services.values():
            if service.batch is None:
                continue
            self.planner.set_service(service.name, service.batch)
            workers = [
                Worker(
                    s.info.id,
                    service.name,
                    s.info.address,
                    s.info.data_centre,
                    started_ms=s.info.started_ms,
                )
                for s in table.usable(service.name)
            ]
            self.planner.set_workers(service.name, workers)
        for upstream_id in list(self.frees.addresses):
            if upstream_id not in table.states:
                del self.frees.addresses[upstream_id]
                self.planner.recompute_lost_results(upstream_id, self.clock.now_ms())
                self.caller.drop(upstream_id)
        for state in table.states.values():
            self.frees.addresses[state.info.id] = state.info.address
        self.forget_restarted(table)
        self.drop_unusable()
        self.dispatch()

    def drop_unusable(self) -> None:
        """Close the idle connections to upstreams that get no more calls."""
        usable = {
            worker.id
            for queue in self.planner.queues.values()
            for worker in queue.usable_workers()
        }
        for upstream_id in self.caller.spares.upstreams() - usable:
            self.caller.spares.drop(upstream_id)

    def forget_restarted(self, table: UpstreamTable) -> None:
        """Recompute what was stored at upstreams that restarted under their id."""
        for queue in self.planner.queues.values():
            for worker in queue.workers.values():
                state = table.states.get(worker.id)
                if state is None or state.info.started_ms == worker.started_ms:
                    continue
                worker.started_ms = state.info.started_ms
                self.caller.spares.drop(worker.id)
                self.planner.forget_results(worker, self.clock.now_ms())

    def submit(self, spec: ChainSpec, again: bool, reply: Reply) -> Verdict:
        """Admit or refuse a chain; `reply` is called once if it is admitted.

        Parameters
        ----------
        again : bool
            Whether it was admitted before; its forecast is no reason to refuse it
            then.
        """
        now_ms = self.clock.now_ms()
        waited_ms = self.returning_callers.waited_ms(spec.key, now_ms)
        spec = replace(spec, target_at_ms=spec.target_at_ms - waited_ms)
        verdict = decide_admission(self.planner, spec, now_ms, again, waited_ms > 0)
        if not verdict.admitted:
            return verdict
        self.replies[spec.id] = reply
        chain = self.planner.add(spec, now_ms, verdict.in_time)
        chain.admitted_ms = now_ms
        chain.forecast_ms = verdict.ready_ms - spec.engine_ms
        self.dispatch()
        return verdict

    def cancel(self, chain_id: str) -> None:
        """Cancel a chain whose requester no longer waits for it."""
        self.replies.pop(chain_id, None)
        chain = self.planner.chains.get(chain_id)
        if chain is not None:
            self.planner.end(chain)
            self.frees.collect_released()

    def free(self, results: tuple[Result, ...]) -> None:
        """Queue results to be freed."""
        self.frees.pending += results

    def dispatch(self) -> None:
        """Start a call at each upstream that is available and gets a batch."""
        if self.handing_over:
            return
        now_ms = self.clock.now_ms()
        for queue in self.planner.queues.values():
            if not queue.ready:
                continue
            self.dispatch_later(queue.next_start_ms())
            for worker in queue.idle_workers(now_ms):
                batch = self.planner.assign_batch(worker, now_ms)
                if batch:
                    on_trial = self.crashes.begin_call(batch, STAGE_TRIAL_MS)
                    # Resolve the inputs now: they may be lost before the task runs.
                    requests = self.item_requests(batch)
                    self.start(self.run_call(worker, batch, requests, on_trial))
        self.frees.collect_released()

    def dispatch_later(self, at_ms: float) -> None:
        """Schedule a dispatch at a monotonic time unless an earlier one is planned."""
        now_ms = self.clock.now_ms()
        if at_ms <= now_ms or now_ms < self.next_dispatch_ms <= at_ms:
            return
        self.next_dispatch_ms = at_ms
        delay_s = (at_ms - now_ms) / 1000.0
        asyncio.get_running_loop().call_later(delay_s, self.dispatch)

    def start(self, job: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_call(
        self,
        worker: Worker,
        batch: list[WorkItem],
        requests: list[ItemRequest],
        on_trial: bool,
    ) -> None:
        """Call an upstream with a batch and apply the outcomes of the items."""
        started_ms = self.clock.now_ms()
        list_age = self.table.age(started_ms)
        expected_ms = self.planner.queues[worker.service].call_time_ms(len(batch))
        answer: StageAnswer | None = None
        crashed = False
        try:
            answer = await self.caller.run(worker, requests, expected_ms)
        except ConnectionLostError as error:
            self.reports.record_lost(worker, str(error))
            crashed = error.sent and error.ended_by_peer
            crashed = crashed and await self.crashes.has_ended(self.table, worker)
            if isinstance(error, NoListenerError):
                self.planner.forget_results(worker, self.clock.now_ms())
        now_ms = self.clock.now_ms()
        succeeded = answer is not None and answer.status == 200
        if answer is not None:
            self.reports.record_words(self.table, worker, answer)
        if not crashed:
            self.crashes.record_answer(batch, ran=succeeded)
        elif self.crashes.record_crash(
            self.table, worker, batch, on_trial, now_ms - started_ms
        ):
            self.end_quarantined()
        worker.record_call(
            expected_ms, now_ms - started_ms, now_ms, failed=not succeeded
        )
        self.planner.record_call_ended(worker)
        if answer is not None and succeeded:
            self.reports.record_succeeded(worker)
            for item, outcome in zip(batch, answer.outcomes, strict=True):
                self.apply_outcome(worker, item, outcome)
        else:
            if answer is not None:
                self.reports.record_refused(worker, answer.status, answer.not_run)
            for item in batch:
                failed = self.planner.record_failed(item, worker, False, now_ms)
                self.notify_if_failed(failed)
        self.journal.record(
            Event.STAGE_CALL_ENDED,
            service=worker.service,
            upstream=worker.id,
            pieces=len(batch),
            made=sum(1 for o in answer.outcomes if o.handle) if answer else 0,
            took_ms=round(now_ms - started_ms, 1),
            list_version=list_age.version,
            list_age_ms=list_age.age_ms,
        )
        self.after_call()
        if self.handing_over:
            for chain in {id(item.chain): item.chain for item in batch}.values():
                self.hand_over_if_idle(chain)
        self.dispatch()

    def hand_over(self, successor: str = "") -> None:
        """Start no more calls and hand all work over to another scheduler.

        Chains with an item in a call are handed over when that call has ended.
        """
        self.handing_over = True
        self.successor = successor
        for chain in list(self.planner.chains.values()):
            self.hand_over_if_idle(chain)

    def has_work(self) -> bool:
        """Return whether there is anything for another scheduler to take over."""
        in_use = (
            worker.stored or worker.calls
            for queue in self.planner.queues.values()
            for worker in queue.workers.values()
        )
        return bool(self.planner.chains) or any(in_use)

    def resume(self) -> None:
        """Schedule the remaining work again, as no other VM does."""
        self.handing_over = False
        self.successor = ""

    def hand_over_if_idle(self, chain: Chain) -> None:
        """Hand a chain over to another scheduler if none of its items is in a call."""
        if chain.ended or chain.is_running():
            return
        completed = completed_items(self.planner, chain)
        self.planner.hand_over(chain)
        self.notify(chain, ChainAnswer(refusal="moved", moved=completed))

    def end_quarantined(self) -> None:
        """Refuse all chains that need an item which may not run any more."""
        now_ms = self.clock.now_ms()
        for chain in list(self.planner.chains.values()):
            keys = (
                fingerprint_of(chain.spec.digest, stage.service)
                for stage in chain.spec.stages
            )
            states = {self.guard.table.get(key, now_ms) for key in keys}
            if Suspicion.QUARANTINED in states:
                self.planner.end(chain)
                self.notify(chain, ChainAnswer(refusal=QUARANTINED))

    def item_requests(self, batch: list[WorkItem]) -> list[ItemRequest]:
        """Return the items of a batch as a call describes them."""
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

    def apply_outcome(
        self, worker: Worker, item: WorkItem, outcome: StageOutcome
    ) -> None:
        """Apply the outcome of one item."""
        if outcome.handle is not None:
            chain = self.planner.record_completed(
                item, worker, outcome.handle, self.clock.now_ms()
            )
            if chain is not None:
                self.notify(chain, ChainAnswer(chain.outputs()))
            return
        now_ms = self.clock.now_ms()
        if outcome.fault is StageFault.INPUT_GONE:
            self.planner.recompute_inputs(item, now_ms, self.reports.pauses.keys())
        fault = outcome.fault is not StageFault.NO_MEMORY
        if not fault:
            worker.record_full(item.stage.result_bytes, now_ms)
        self.journal.record(
            Event.STAGE_PIECE_FAILED,
            request=item.chain.spec.request_id,
            stage=item.stage.number,
            piece=item.number,
            upstream=worker.id,
            reason=str(outcome.fault),
            failures=item.failures + fault,
        )
        self.notify_if_failed(self.planner.record_failed(item, worker, fault, now_ms))

    def notify_if_failed(self, chain: Chain | None) -> None:
        """Report a chain that failed too often, if there is one."""
        if chain is not None:
            self.notify(chain, ChainAnswer(refusal="stage_failed"))

    def notify(self, chain: Chain, answer: ChainAnswer) -> None:
        """Log the end of a chain and pass its outcome to the requester."""
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

    async def run_dispatch_loop(self) -> None:
        """Drop infeasible chains and dispatch waiting items, without end."""
        while True:
            for _ in range(DISPATCHES_PER_DROP):
                await self.clock.sleep_ms(DISPATCH_INTERVAL_MS)
                self.dispatch()
            self.drop_infeasible(self.clock.now_ms())

    def drop_infeasible(self, now_ms: float) -> None:
        """Refuse chains that will miss their deadline, or are late before any call."""
        for chain in self.planner.end_expired(now_ms):
            self.notify(chain, ChainAnswer(refusal="deadline_passed"))
        for chain in self.planner.end_late(now_ms):
            retry_ms = late_retry_after_ms(chain.spec, now_ms)
            self.notify(chain, ChainAnswer((), "overtaken", retry_ms))

    def record_free_answered(self, upstream_id: str, answer: StageAnswer) -> None:
        """Record what an upstream says of itself in the answer to a free."""
        for queue in self.planner.queues.values():
            worker = queue.workers.get(upstream_id)
            if worker is not None:
                self.reports.record_words(self.table, worker, answer)
