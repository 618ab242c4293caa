"""Test cuminstile.gateway.batch_planner."""

import random

from cuminstile.gateway.batch_planner import BatchPlanner
from cuminstile.gateway.chain import ChainSpec, ChainStage, WorkItem
from cuminstile.gateway.model import BatchSpec
from cuminstile.gateway.stage_queue import Worker

SPEC = BatchSpec(
    slots=1,
    queue=2,
    batch=13,
    call_ms=200.0,
    item_ms=13.0,
    memory_bytes=29_000_000,
    result_ttl_ms=4_000.0,
)


def make_planner(
    workers: int = 4, services: tuple[str, ...] = ("a", "b")
) -> BatchPlanner:
    planner = BatchPlanner()
    for service in services:
        planner.set_service(service, SPEC)
        planner.set_workers(
            service,
            [
                Worker(f"{service}{n}", service, "10.0.0.1:80", f"z{n}")
                for n in range(workers)
            ],
        )
    return planner


def make_spec(
    name: str,
    counts: tuple[int, ...] = (2, 1),
    priority: int = 1,
    data_centre: str = "",
    target_ms: float = 1_800.0,
) -> ChainSpec:
    stages = tuple(
        ChainStage(n, "ab"[n], (n - 1,) if n else (), count, 1_000)
        for n, count in enumerate(counts)
        if count
    )
    return ChainSpec(
        name, name, "key", priority, data_centre, target_ms, 6_000.0, 100.0, stages
    )


def complete_all(planner: BatchPlanner, worker: Worker, batch: list[WorkItem]) -> None:
    """End a call with every item completed."""
    planner.record_call_ended(worker)
    for item in batch:
        planner.record_completed(item, worker, f"{worker.id}/{item.chain.spec.id}", 0.0)


def worker_of(planner: BatchPlanner, name: str) -> Worker:
    return planner.queues[name[0]].workers[name]


def test_items_of_many_requests_share_one_call() -> None:
    planner = make_planner()
    for n in range(8):
        planner.add(make_spec(f"r{n}"))
    batch = planner.assign_batch(worker_of(planner, "a0"), 0.0)
    assert len(batch) == SPEC.batch


def test_starts_are_spread_over_a_call_so_that_arrivals_share_the_next_one() -> None:
    planner = make_planner()
    planner.add(make_spec("first"))
    assert len(planner.assign_batch(worker_of(planner, "a0"), 0.0)) == 2
    planner.add(make_spec("second"))
    assert planner.assign_batch(worker_of(planner, "a1"), 10.0) == []
    planner.add(make_spec("third"))
    later_ms = planner.queues["a"].next_start_ms()
    assert 0 < later_ms < SPEC.call_ms / 2
    assert len(planner.assign_batch(worker_of(planner, "a1"), later_ms)) == 4


def test_full_batch_does_not_wait() -> None:
    planner = make_planner()
    planner.add(make_spec("first"))
    planner.assign_batch(worker_of(planner, "a0"), 0.0)
    for n in range(7):
        planner.add(make_spec(f"r{n}"))
    assert len(planner.assign_batch(worker_of(planner, "a1"), 1.0)) == SPEC.batch


def test_more_urgent_request_goes_first_and_infeasible_one_last() -> None:
    planner = make_planner(workers=1)
    planner.add(make_spec("infeasible", (13,), priority=0, target_ms=100.0))
    planner.add(make_spec("less urgent", (13,), priority=2))
    planner.add(make_spec("urgent", (13,), priority=1))
    worker = worker_of(planner, "a0")
    order = []
    now_ms = 0.0
    while planner.queues["a"].ready:
        batch = planner.assign_batch(worker, now_ms)
        order.append(batch[0].chain.spec.id)
        complete_all(planner, worker, batch)
        now_ms += 500.0
    assert order == ["urgent", "less urgent", "infeasible"]


def test_later_stage_gets_all_results_of_the_stage_before() -> None:
    planner = make_planner()
    planner.add(make_spec("r", (3, 2)))
    worker = worker_of(planner, "a0")
    complete_all(planner, worker, planner.assign_batch(worker, 0.0))
    batch = planner.assign_batch(worker_of(planner, "b0"), 300.0)
    assert [planner.inputs_of(item) for item in batch] == [("a0/r",) * 3] * 2


def test_results_are_freed_once_when_the_stage_that_used_them_is_done() -> None:
    planner = make_planner()
    planner.add(make_spec("r", (3, 2)))
    first, second = worker_of(planner, "a0"), worker_of(planner, "b0")
    complete_all(planner, first, planner.assign_batch(first, 0.0))
    assert planner.released == []
    complete_all(planner, second, planner.assign_batch(second, 300.0))
    assert [result.upstream_id for result in planner.released] == ["a0"] * 3
    assert planner.chains == {}


def test_cancelled_chain_frees_all_its_results_and_starts_nothing() -> None:
    planner = make_planner()
    chain = planner.add(make_spec("r", (3, 2)))
    worker = worker_of(planner, "a0")
    complete_all(planner, worker, planner.assign_batch(worker, 0.0))
    planner.end(chain)
    assert len(planner.released) == 3
    assert planner.assign_batch(worker_of(planner, "b0"), 300.0) == []
    assert sum(planner.queues["b"].open_items.values()) == 0


def test_result_of_a_chain_that_has_ended_is_freed() -> None:
    planner = make_planner()
    chain = planner.add(make_spec("r", (1,)))
    worker = worker_of(planner, "a0")
    batch = planner.assign_batch(worker, 0.0)
    planner.end(chain)
    complete_all(planner, worker, batch)
    assert len(planner.released) == 1


def test_no_item_starts_without_its_inputs_after_one_was_lost() -> None:
    """Guards against items called without an input that a crashed upstream stored."""
    planner = make_planner()
    planner.add(make_spec("r", (3, 4)))
    first, second = worker_of(planner, "a0"), worker_of(planner, "b0")
    complete_all(planner, first, planner.assign_batch(first, 0.0))
    batch = planner.assign_batch(second, 300.0)
    planner.record_call_ended(second)
    planner.recompute_inputs(batch[0])
    for item in batch:
        planner.record_failed(item, second, fault=True)
    assert planner.assign_batch(worker_of(planner, "b1"), 900.0) == []
    again = planner.assign_batch(first, 900.0)
    assert {item.stage.number for item in again} == {0}
    complete_all(planner, first, again)
    batch = planner.assign_batch(second, 1_300.0)
    assert [len(planner.inputs_of(item)) for item in batch] == [3] * 4


def test_queued_pieces_wait_again_when_their_inputs_are_lost_meanwhile() -> None:
    planner = make_planner()
    planner.add(make_spec("r", (2, 20)))
    first, second = worker_of(planner, "a0"), worker_of(planner, "b0")
    complete_all(planner, first, planner.assign_batch(first, 0.0))
    batch = planner.assign_batch(second, 300.0)
    planner.recompute_inputs(batch[0])
    assert planner.assign_batch(worker_of(planner, "b1"), 900.0) == []


def test_results_at_a_lost_upstream_are_recomputed() -> None:
    planner = make_planner()
    chain = planner.add(make_spec("r", (2, 1)))
    worker = worker_of(planner, "a0")
    complete_all(planner, worker, planner.assign_batch(worker, 0.0))
    planner.recompute_lost_results("a0")
    assert planner.assign_batch(worker_of(planner, "b0"), 900.0) == []
    assert len(planner.assign_batch(worker_of(planner, "a1"), 900.0)) == 2
    assert not chain.done()


def test_only_inputs_at_suspected_upstreams_are_recomputed() -> None:
    """Pattern: one of many upstreams crashes; each request has inputs at several."""
    planner = make_planner()
    planner.add(make_spec("r", (20, 4)))
    workers = [worker_of(planner, name) for name in ("a0", "a1")]
    for number, worker in enumerate(workers):
        batch = planner.assign_batch(worker, number * 1_000.0)
        complete_all(planner, worker, batch)
    second = worker_of(planner, "b0")
    batch = planner.assign_batch(second, 2_000.0)
    assert len(batch) == 4
    planner.record_call_ended(second)
    for item in batch:
        planner.recompute_inputs(item, 2_300.0, {"a1"})
        planner.record_failed(item, second, fault=True)
    again = planner.assign_batch(worker_of(planner, "a2"), 3_000.0)
    assert {item.stage.number for item in again} == {0}
    assert len(again) == 20 - 13
    complete_all(planner, worker_of(planner, "a2"), again)
    assert len(planner.assign_batch(second, 4_000.0)) == 4


def test_all_inputs_are_recomputed_if_no_upstream_is_suspected() -> None:
    planner = make_planner()
    planner.add(make_spec("r", (3, 4)))
    first, second = worker_of(planner, "a0"), worker_of(planner, "b0")
    complete_all(planner, first, planner.assign_batch(first, 0.0))
    batch = planner.assign_batch(second, 300.0)
    planner.record_call_ended(second)
    for item in batch:
        planner.recompute_inputs(item, 600.0, {"a3"})
        planner.record_failed(item, second, fault=True)
    assert len(planner.assign_batch(first, 900.0)) == 3


def test_results_at_an_upstream_that_ended_need_no_memory_there() -> None:
    planner = make_planner()
    chain = planner.add(make_spec("r", (2, 1)))
    worker = worker_of(planner, "a0")
    complete_all(planner, worker, planner.assign_batch(worker, 0.0))
    assert worker.memory_used(100.0) > 0
    planner.forget_results(worker, 100.0)
    assert worker.memory_used(100.0) == 0
    assert len(planner.assign_batch(worker_of(planner, "a1"), 900.0)) == 2
    assert not chain.done()


def test_item_that_fails_too_often_ends_its_chain() -> None:
    planner = make_planner(workers=1)
    chain = planner.add(make_spec("r", (1, 1)))
    worker = worker_of(planner, "a0")
    ended = None
    now_ms = 0.0
    while ended is None:
        (item,) = planner.assign_batch(worker, now_ms)
        planner.record_call_ended(worker)
        ended = planner.record_failed(item, worker, fault=True)
        now_ms += 1_000.0
    assert ended is chain
    assert planner.chains == {}


def test_refusals_of_an_upstream_do_not_count_as_failures_of_an_item() -> None:
    planner = make_planner(workers=1)
    planner.add(make_spec("r", (1,)))
    worker = worker_of(planner, "a0")
    for n in range(20):
        (item,) = planner.assign_batch(worker, n * 1_000.0)
        planner.record_call_ended(worker)
        assert planner.record_failed(item, worker, fault=False) is None


def add_large_chain(planner: BatchPlanner, name: str, count: int) -> None:
    stage = ChainStage(0, "a", (), count, 10_000_000)
    planner.add(ChainSpec(name, name, "k", 1, "", 1_800.0, 6_000.0, 100.0, (stage,)))


def complete_each(
    planner: BatchPlanner, worker: Worker, batch: list[WorkItem], now_ms: float
) -> None:
    planner.record_call_ended(worker)
    for item in batch:
        planner.record_completed(item, worker, f"{worker.id}/{id(item)}", now_ms)


def test_results_never_need_more_memory_than_the_upstream_has() -> None:
    planner = make_planner(workers=1)
    add_large_chain(planner, "r", 5)
    worker = worker_of(planner, "a0")
    batch = planner.assign_batch(worker, 0.0)
    assert len(batch) == 2
    complete_each(planner, worker, batch, 400.0)
    assert planner.assign_batch(worker, 1_000.0) == []
    planner.record_freed([item.result for item in batch if item.result])
    assert len(planner.assign_batch(worker, 1_000.0)) == 2


def test_memory_of_results_that_nobody_freed_is_available_after_they_expire() -> None:
    """Guards against losing the memory of results whose VM was killed."""
    planner = make_planner(workers=1)
    add_large_chain(planner, "r", 2)
    worker = worker_of(planner, "a0")
    complete_each(planner, worker, planner.assign_batch(worker, 0.0), 400.0)
    add_large_chain(planner, "s", 2)
    assert planner.assign_batch(worker, 4_000.0) == []
    assert len(planner.assign_batch(worker, 4_401.0)) == 2


def test_upstream_without_memory_gets_small_results_only_for_a_while() -> None:
    """Guards against repeated refusals by an upstream of a new scheduler.

    The new scheduler does not know which results are stored there.
    """
    planner = make_planner(workers=1)
    add_large_chain(planner, "r", 1)
    planner.add(make_spec("small", (2,)))
    worker = worker_of(planner, "a0")
    (large,) = [
        p for p in planner.assign_batch(worker, 0.0) if p.stage.result_bytes > 1e6
    ]
    worker.calls = 0
    planner.record_failed(large, worker, fault=False)
    worker.record_full(large.stage.result_bytes, 300.0)
    planner.add(make_spec("other", (2,)))
    assert {p.stage.result_bytes for p in planner.assign_batch(worker, 600.0)} == {
        1_000
    }
    worker.calls = 0
    assert [p.stage.result_bytes for p in planner.assign_batch(worker, 1_000.0)] == [
        10**7
    ]


def test_omitted_stage_needs_no_item() -> None:
    planner = make_planner()
    chain = planner.add(make_spec("r", (0, 2)))
    worker = worker_of(planner, "b0")
    complete_all(planner, worker, planner.assign_batch(worker, 0.0))
    assert chain.done()
    assert len(chain.outputs()) == 2


def test_counts_of_open_items_return_to_zero() -> None:
    draws = random.Random(5)
    planner = make_planner(workers=2)
    now_ms = 0.0
    for n in range(60):
        planner.add(make_spec(f"r{n}", (draws.randint(0, 3), draws.randint(1, 3))))
    while planner.chains:
        now_ms += 100.0
        for name in ("a0", "a1", "b0", "b1"):
            worker = worker_of(planner, name)
            batch = planner.assign_batch(worker, now_ms)
            if not batch:
                continue
            planner.record_call_ended(worker)
            for item in batch:
                draw = draws.random()
                if draw < 0.8:
                    planner.record_completed(item, worker, f"{name}/{id(item)}", now_ms)
                elif draw < 0.9:
                    planner.recompute_inputs(item)
                    planner.record_failed(item, worker, fault=False)
                else:
                    planner.record_failed(item, worker, fault=draw < 0.95)
    for queue in planner.queues.values():
        assert all(count == 0 for count in queue.open_items.values())


def test_upstream_that_refuses_connections_does_not_look_fast() -> None:
    """Guards against measuring crashed upstreams as fast: their calls fail early."""
    worker = Worker("a0", "a", "10.0.0.1:80", "z0")
    worker.record_call(300.0, 2.0, 1_000.0, failed=True)
    assert worker.slowness_at(1_000.0) == 1.0
    worker.record_call(300.0, 900.0, 2_000.0, failed=True)
    assert worker.slowness_at(2_000.0) > 1.5


def test_slow_upstream_gets_work_only_if_it_would_be_completed_sooner_there() -> None:
    planner = make_planner(workers=2, services=("a",))
    slow, sound = worker_of(planner, "a0"), worker_of(planner, "a1")
    slow.record_call(200.0, 2_000.0, 0.0)
    planner.add(make_spec("r", (2,)))
    assert planner.assign_batch(slow, 0.0) == []
    assert len(planner.assign_batch(sound, 0.0)) == 2


def test_upstream_that_was_slow_is_tried_again_after_a_while() -> None:
    planner = make_planner(workers=2, services=("a",))
    slow = worker_of(planner, "a0")
    slow.record_call(200.0, 2_000.0, 0.0)
    planner.add(make_spec("r", (2,)))
    assert len(planner.assign_batch(slow, 20_000.0)) == 2
