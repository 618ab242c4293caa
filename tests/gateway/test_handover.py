"""Test that staged work goes over to the next scheduler, alone and under load."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import pytest

from cuminstile.gateway.admission import judge
from cuminstile.gateway.batch_planner import BatchPlanner
from cuminstile.gateway.chain import Chain, CompletedItem, Result, WorkItem
from cuminstile.gateway.handover import (
    apply_worker_loads,
    completed_items,
    worker_loads,
)
from cuminstile.gateway.stage_queue import StoredResult, Worker

from .stage_load import FOUR_UPSTREAMS, Load, office_load
from .test_board import make_all, make_planner, make_spec, worker_of

NOW_MS = 50.0


def handed_over(planner: BatchPlanner, chain: Chain) -> Chain:
    """Have a fresh board go on with a chain; return it there."""
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


def test_what_is_made_is_not_made_again() -> None:
    """Guards against rolling restarts that waste the work of half the requests."""
    planner = make_planner()
    chain = planner.add(make_spec("r1", counts=(3, 2)), 0.0)
    worker = worker_of(planner, "a0")
    make_all(planner, worker, planner.take_batch(worker, 0.0))
    moved = handed_over(planner, chain)
    assert missing(moved) == [(1, 0), (1, 1)]
    assert all(item.queued for item in moved.items[1])
    assert planner.chains == {}


def test_results_that_were_freed_are_not_made_again_either() -> None:
    planner = make_planner()
    chain = planner.add(make_spec("r1", counts=(2, 2)), 0.0)
    worker = worker_of(planner, "a0")
    make_all(planner, worker, planner.take_batch(worker, 0.0))
    second = worker_of(planner, "b0")
    batch = planner.take_batch(second, 1_000.0)
    planner.call_ended(second)
    planner.record_completed(batch[0], second, "h", 1_000.0)
    for item in chain.items[0]:
        planner.release(item)
    moved = handed_over(planner, chain)
    assert missing(moved) == [(1, 1)]


@pytest.mark.parametrize("why", ["upstream is gone", "result has lapsed"])
def test_results_that_are_not_there_any_more_are_made_again(why: str) -> None:
    result = Result("h", "a0" if "lapsed" in why else "gone", 10)
    expires_ms = NOW_MS if "lapsed" in why else NOW_MS + 1_000.0
    spec = replace(
        make_spec("r1", counts=(1, 1)),
        completed=(CompletedItem(0, 0, result, False, expires_ms),),
    )
    assert missing(make_planner().add(spec, NOW_MS)) == [(0, 0), (1, 0)]


def test_open_pieces_are_counted_once() -> None:
    planner = make_planner()
    chain = planner.add(make_spec("r1", counts=(3, 2)), 0.0)
    worker = worker_of(planner, "a0")
    make_all(planner, worker, planner.take_batch(worker, 0.0))
    spec = replace(chain.spec, completed=completed_items(planner, chain))
    planner.hand_over(chain)
    assert all(not any(q.open_items.values()) for q in planner.queues.values())
    successor = make_planner()
    moved = successor.add(spec, NOW_MS)
    assert successor.queues["a"].open_items[moved.rank] == 0
    assert successor.queues["b"].open_items[moved.rank] == 2


def test_next_scheduler_knows_room_and_calls_of_the_one_before() -> None:
    """Guards against two schedulers that fill the same upstreams."""
    planner = make_planner()
    planner.add(make_spec("r1", counts=(3, 1)), 0.0)
    busy, idle = worker_of(planner, "a0"), worker_of(planner, "a1")
    idle.stored["kept"] = idle.stored["given up"] = StoredResult(500, 4_000.0)
    planner.take_batch(busy, 0.0)
    successor = make_planner()
    given_up = [Result("given up", "a1", 500)]
    apply_worker_loads(successor, worker_loads(planner, given_up, NOW_MS), NOW_MS)
    assert worker_of(successor, "a1").memory_used(NOW_MS) == 500
    assert worker_of(successor, "a0").memory_used(NOW_MS) == busy.reserved > 0
    successor.add(make_spec("r2", counts=(1, 1)), NOW_MS)
    assert successor.take_batch(worker_of(successor, "a0"), NOW_MS) == []
    later_ms = busy.busy_until_ms + 1.0
    assert successor.take_batch(worker_of(successor, "a0"), later_ms)
    assert worker_of(successor, "a0").memory_used(later_ms) < 2 * busy.reserved


@dataclass
class RollingLoad(Load):
    """Play a load while the scheduler changes again and again.

    Parameters
    ----------
    changes_ms : tuple of float
        When another scheduler takes over.
    hand_over : bool
        Whether the one before hands its work over, instead of ending it itself.
    lying : dict of str to dict
        The results that lie at each upstream, by handle.
    lacked_room : int
        Pieces for which their upstream had no room.
    """

    changes_ms: tuple[float, ...] = ()
    hand_over: bool = False
    before: list[BatchPlanner] = field(default_factory=list)
    lying: dict[str, dict[str, StoredResult]] = field(default_factory=dict)
    lacked_room: int = 0

    def play(self) -> dict:
        """Play with a change of the scheduler at each of the times."""
        for time_ms in self.changes_ms:
            self.at(time_ms, self.change)
        return super().play()

    def change(self) -> None:
        """Have a scheduler take over that starts with what it is told."""
        old, self.planner = self.planner, BatchPlanner()
        for name, (spec, _) in self.services.items():
            self.planner.set_service(name, spec)
            workers = old.queues[name].workers.values()
            fresh = [Worker(w.id, name, "", w.zone) for w in workers]
            self.planner.set_workers(name, fresh)
        self.before.append(old)
        if self.hand_over:
            self.tell(old)
            for chain in list(old.chains.values()):
                self.move(old, chain)

    def tell(self, old: BatchPlanner) -> None:
        """Tell the scheduler of now what one before it knows."""
        loads = worker_loads(old, old.released, self.now_ms)
        apply_worker_loads(self.planner, loads, self.now_ms)

    def move(self, old: BatchPlanner, chain: Chain) -> None:
        """Have the scheduler of now go on with a chain that is in no call."""
        if chain.ended or chain.running():
            return
        spec = replace(chain.spec, completed=completed_items(old, chain))
        old.hand_over(chain)
        verdict = judge(self.planner, spec, self.now_ms, True, False)
        moved = self.planner.add(spec, self.now_ms, verdict.in_time)
        moved.admitted_ms, moved.forecast_ms = chain.admitted_ms, chain.forecast_ms

    def dispatch(self) -> None:
        """Pump the scheduler of now, and those before it if they go on alone."""
        newest = self.planner
        if self.hand_over and newest in self.before:
            return
        if not self.hand_over:
            for old in self.before:
                self.planner = old
                super().dispatch()
        self.planner = newest
        super().dispatch()

    def ender(
        self, worker: Worker, batch: list[WorkItem], took_ms: float
    ) -> Callable[[], None]:
        """Return the end of a call, at the scheduler that began it."""
        planner = self.planner
        end = super().ender(worker, batch, took_ms)

        def end_there() -> None:
            newest, self.planner = self.planner, planner
            self.note_made(worker, batch)
            known = set(worker.stored)
            end()
            self.planner = newest
            for handle in set(worker.stored) - known:
                self.lying[worker.id][handle] = worker.stored[handle]
            if planner is not newest and self.hand_over:
                self.tell(planner)
                for chain in {id(p.chain): p.chain for p in batch}.values():
                    self.move(planner, chain)

        return end_there

    def note_made(self, worker: Worker, batch: list[WorkItem]) -> None:
        """Count the pieces of a call that its upstream has no room for."""
        lying = self.lying.setdefault(worker.id, {})
        memory = self.services[worker.service][0].memory_bytes
        memory -= sum(r.size for r in lying.values() if r.expires_ms > self.now_ms)
        for item in batch:
            memory -= item.stage.result_bytes
            self.lacked_room += memory < 0

    def free_later(self) -> None:
        """Free what was given up, whoever gave it up."""
        released, self.planner.released = self.planner.released, []
        self.at(self.now_ms + self.free_ms, lambda: self.drop(released))

    def drop(self, results: Iterable[Result]) -> None:
        """Free results at their upstreams, and tell all schedulers."""
        results = tuple(results)
        for planner in (self.planner, *self.before):
            planner.freed(results)
        for result in results:
            self.lying[result.upstream_id].pop(result.handle, None)

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
def test_rolling_restarts_ask_upstreams_for_no_room_that_they_lack(seed: int) -> None:
    """Guards against schedulers that know nothing of each other, the baseline."""
    alone, handed = rolling(seed, hand_over=False), rolling(seed, hand_over=True)
    assert alone.lacked_room > 0
    assert handed.lacked_room == 0
