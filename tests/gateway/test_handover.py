"""Test the hand-over of staged work to the next scheduler, alone and under load."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import pytest

from cuminstile.gateway.admission import decide_admission
from cuminstile.gateway.batch_planner import BatchPlanner
from cuminstile.gateway.chain import (
    Chain,
    CompletedItem,
    Result,
    WorkItem,
    stage_times,
)
from cuminstile.gateway.handover import (
    LoadReports,
    apply_worker_loads,
    completed_items,
)
from cuminstile.gateway.stage_queue import StoredResult, Worker

from .planners import complete_all, make_planner, make_spec, worker_of
from .stage_load import FOUR_UPSTREAMS, Load, office_load

NOW_MS = 50.0


def handed_over(planner: BatchPlanner, chain: Chain) -> Chain:
    """Hand a chain over to a new planner; return its new chain."""
    spec = replace(chain.spec, completed=completed_items(planner, chain))
    planner.hand_over(chain)
    return make_planner().add(spec, NOW_MS)


def missing(chain: Chain) -> list[tuple[int, int]]:
    return [
        (item.stage.number, item.number)
        for items in chain.items.values()
        for item in items
        if item.result is None
    ]


def test_completed_items_are_not_recomputed() -> None:
    """Guards against rolling restarts that waste the work of half the requests."""
    planner = make_planner()
    chain = planner.add(make_spec("r1", counts=(3, 2)), 0.0)
    worker = worker_of(planner, "a0")
    complete_all(planner, worker, planner.assign_batch(worker, 0.0))
    moved = handed_over(planner, chain)
    assert missing(moved) == [(1, 0), (1, 1)]
    assert all(item.queued for item in moved.items[1])
    assert planner.chains == {}


def test_items_with_freed_results_are_not_recomputed() -> None:
    planner = make_planner()
    chain = planner.add(make_spec("r1", counts=(2, 2)), 0.0)
    worker = worker_of(planner, "a0")
    complete_all(planner, worker, planner.assign_batch(worker, 0.0))
    second = worker_of(planner, "b0")
    batch = planner.assign_batch(second, 1_000.0)
    planner.record_call_ended(second)
    planner.record_completed(batch[0], second, "h", 1_000.0)
    for item in chain.items[0]:
        planner.release_result(item)
    moved = handed_over(planner, chain)
    assert missing(moved) == [(1, 1)]


@pytest.mark.parametrize("why", ["upstream is gone", "result has expired"])
def test_items_whose_results_are_gone_are_recomputed(why: str) -> None:
    result = Result("h", "a0" if "expired" in why else "gone", 10)
    expires_ms = NOW_MS if "expired" in why else NOW_MS + 1_000.0
    spec = replace(
        make_spec("r1", counts=(1, 1)),
        completed=(CompletedItem(0, 0, result, False, expires_ms),),
    )
    assert missing(make_planner().add(spec, NOW_MS)) == [(0, 0), (1, 0)]


def test_open_items_are_counted_once() -> None:
    planner = make_planner()
    chain = planner.add(make_spec("r1", counts=(3, 2)), 0.0)
    worker = worker_of(planner, "a0")
    complete_all(planner, worker, planner.assign_batch(worker, 0.0))
    spec = replace(chain.spec, completed=completed_items(planner, chain))
    planner.hand_over(chain)
    assert all(not any(q.open_items.values()) for q in planner.queues.values())
    successor = make_planner()
    moved = successor.add(spec, NOW_MS)
    assert successor.queues["a"].open_items[moved.rank] == 0
    assert successor.queues["b"].open_items[moved.rank] == 2


def test_next_scheduler_knows_memory_use_and_calls_of_the_previous_one() -> None:
    """Guards against two schedulers that fill the same upstreams."""
    planner = make_planner()
    planner.add(make_spec("r1", counts=(3, 1)), 0.0)
    busy, idle = worker_of(planner, "a0"), worker_of(planner, "a1")
    idle.stored["kept"] = idle.stored["released"] = StoredResult(500, 4_000.0)
    planner.assign_batch(busy, 0.0)
    successor = make_planner()
    to_be_freed = [Result("released", "a1", 500)]
    loads = LoadReports().next_loads(planner, to_be_freed, NOW_MS)
    apply_worker_loads(successor, loads, NOW_MS)
    assert worker_of(successor, "a1").memory_used(NOW_MS) == 500
    assert worker_of(successor, "a0").memory_used(NOW_MS) == busy.reserved > 0
    successor.add(make_spec("r2", counts=(1, 1)), NOW_MS)
    assert successor.assign_batch(worker_of(successor, "a0"), NOW_MS) == []
    later_ms = busy.busy_until_ms + 1.0
    assert successor.assign_batch(worker_of(successor, "a0"), later_ms)
    assert worker_of(successor, "a0").memory_used(later_ms) < 2 * busy.reserved


@dataclass
class RollingLoad(Load):
    """Simulate a load while the scheduler changes repeatedly.

    Parameters
    ----------
    changes_ms : tuple of float
        When another scheduler takes over.
    hand_over : bool
        Whether the previous one hands its work over, instead of completing it.
    stored : dict of str to dict
        The results stored at each upstream, by handle.
    lacked_memory : int
        Number of items for which their upstream had no memory.
    """

    changes_ms: tuple[float, ...] = ()
    hand_over: bool = False
    before: list[BatchPlanner] = field(default_factory=list)
    reports: dict[int, LoadReports] = field(default_factory=dict)
    stored: dict[str, dict[str, StoredResult]] = field(default_factory=dict)
    lacked_memory: int = 0

    def play(self) -> dict:
        """Run the simulation with a new scheduler at each of the times."""
        for time_ms in self.changes_ms:
            self.at(time_ms, self.replace_scheduler)
        return super().play()

    def replace_scheduler(self) -> None:
        """Replace the scheduler by one that knows only what is handed over to it."""
        old, self.planner = self.planner, BatchPlanner()
        for name, (spec, _) in self.services.items():
            self.planner.set_service(name, spec)
            workers = old.queues[name].workers.values()
            fresh = [Worker(w.id, name, "", w.data_centre) for w in workers]
            self.planner.set_workers(name, fresh)
        self.before.append(old)
        if self.hand_over:
            self.send_worker_loads(old)
            for chain in list(old.chains.values()):
                self.move(old, chain)

    def send_worker_loads(self, old: BatchPlanner) -> None:
        """Send the loads that a previous scheduler knows to the current one."""
        reports = self.reports.setdefault(id(old), LoadReports())
        loads = reports.next_loads(old, old.released, self.now_ms)
        apply_worker_loads(self.planner, loads, self.now_ms)

    def move(self, old: BatchPlanner, chain: Chain) -> None:
        """Hand a chain without an item in a call over to the current scheduler."""
        if chain.ended or chain.is_running():
            return
        spec = replace(chain.spec, completed=completed_items(old, chain))
        old.hand_over(chain)
        verdict = decide_admission(self.planner, spec, self.now_ms, True, False)
        moved = self.planner.add(spec, self.now_ms, verdict.in_time)
        moved.admitted_ms, moved.forecast_ms = chain.admitted_ms, chain.forecast_ms

    def dispatch(self) -> None:
        """Dispatch the current scheduler's work, and the previous ones' without one.

        Previous schedulers dispatch only if they don't hand their work over.
        """
        newest = self.planner
        if self.hand_over and newest in self.before:
            return
        if not self.hand_over:
            for old in self.before:
                self.planner = old
                super().dispatch()
        self.planner = newest
        super().dispatch()

    def call_end_event(
        self, worker: Worker, batch: list[WorkItem], took_ms: float
    ) -> Callable[[], None]:
        """Return the event in which a call ends at the scheduler that started it."""
        planner = self.planner
        end = super().call_end_event(worker, batch, took_ms)

        def end_there() -> None:
            newest, self.planner = self.planner, planner
            self.count_lacking_memory(worker, batch)
            known = set(worker.stored)
            end()
            self.planner = newest
            for handle in set(worker.stored) - known:
                self.stored[worker.id][handle] = worker.stored[handle]
            if planner is not newest and self.hand_over:
                self.send_worker_loads(planner)
                for chain in {id(p.chain): p.chain for p in batch}.values():
                    self.move(planner, chain)

        return end_there

    def count_lacking_memory(self, worker: Worker, batch: list[WorkItem]) -> None:
        """Count the items of a call for whose results its upstream has no memory."""
        stored = self.stored.setdefault(worker.id, {})
        memory = self.services[worker.service][0].memory_bytes
        memory -= sum(r.size for r in stored.values() if r.expires_ms > self.now_ms)
        for item in batch:
            memory -= item.stage.result_bytes
            self.lacked_memory += memory < 0

    def schedule_frees(self) -> None:
        """Free released results at all schedulers after a delay."""
        released, self.planner.released = self.planner.released, []
        self.at(self.now_ms + self.free_ms, lambda: self.drop(released))

    def drop(self, results: Iterable[Result]) -> None:
        """Free results at their upstreams, and report that to all schedulers."""
        results = tuple(results)
        for planner in (self.planner, *self.before):
            planner.record_freed(results)
        for result in results:
            self.stored[result.upstream_id].pop(result.handle, None)

    def finish(self, chain: Chain) -> None:
        """Count a chain whose results are ready, and free them when they are used."""
        super().finish(chain)
        outputs = chain.outputs()
        self.at(self.now_ms + 150 + self.free_ms, lambda: self.drop(outputs))


def rolling(seed: int, hand_over: bool) -> RollingLoad:
    """Return the load of a head office whose VMs are restarted one after the other."""
    base = office_load(seed)
    changes_ms = tuple(float(t) for t in range(4_000, 30_000, 4_000))
    load = RollingLoad(
        FOUR_UPSTREAMS,
        base.kinds,
        base.bursts,
        seed,
        changes_ms=changes_ms,
        hand_over=hand_over,
    )
    load.play()
    return load


@pytest.mark.parametrize("seed", range(3))
def test_rolling_restarts_use_no_memory_that_upstreams_lack(seed: int) -> None:
    """Guards against schedulers that know nothing of each other, the baseline."""
    alone, handed = rolling(seed, hand_over=False), rolling(seed, hand_over=True)
    assert alone.lacked_memory > 0
    assert handed.lacked_memory == 0


def test_items_of_the_previous_scheduler_have_no_times_in_the_log() -> None:
    """Guards against a logged call of the whole time since the machine started."""
    planner = make_planner()
    chain = planner.add(make_spec("r1", counts=(2, 1)), NOW_MS)
    worker = worker_of(planner, "a0")
    complete_all(planner, worker, planner.assign_batch(worker, NOW_MS))
    moved = handed_over(planner, chain)
    assert missing(moved) == [(1, 0)]
    assert stage_times(moved) == ""


def test_results_that_the_next_scheduler_has_freed_stay_freed() -> None:
    """Guards against chains that wait for memory which only seems to be in use."""
    planner, successor, reports = make_planner(), make_planner(), LoadReports()
    worker = worker_of(planner, "a0")
    worker.stored["first"] = StoredResult(500, 4_000.0)
    apply_worker_loads(successor, reports.next_loads(planner, (), NOW_MS), NOW_MS)
    assert worker_of(successor, "a0").memory_used(NOW_MS) == 500
    successor.record_freed([Result("first", "a0", 500)])
    worker.stored["second"] = StoredResult(300, 4_000.0)
    apply_worker_loads(successor, reports.next_loads(planner, (), NOW_MS), NOW_MS)
    assert set(worker_of(successor, "a0").stored) == {"second"}


def test_each_report_tells_of_the_calls_in_progress() -> None:
    planner, reports = make_planner(), LoadReports()
    planner.add(make_spec("r1", counts=(3, 1)), 0.0)
    planner.assign_batch(worker_of(planner, "a0"), 0.0)
    for _ in range(2):
        reported = reports.next_loads(planner, (), NOW_MS)
        loads = {load.upstream_id: load for load in reported}
        assert sum(result.size for result in loads["a0"].stored) == 3_000
