"""Test cuminstile.gateway.batch_choice: what the next call to an upstream runs."""

import pytest

from cuminstile.gateway.batch_planner import BatchPlanner
from cuminstile.gateway.chain import ChainSpec, ChainStage, WorkItem
from cuminstile.gateway.stage_queue import Worker

from .planners import SPEC, complete_all, make_planner, make_spec, worker_of


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


def test_slow_upstream_gets_calls_while_the_fast_one_wants_none() -> None:
    """Guards against requests that wait for a closed upstream until they are late."""
    planner = make_planner(workers=2)
    planner.add(make_spec("r"))
    slow, closed = worker_of(planner, "a0"), worker_of(planner, "a1")
    slow.estimate.lasting = 3.0
    assert planner.assign_batch(slow, 0.0) == []
    closed.available_at_ms = 3_000.0
    assert len(planner.assign_batch(slow, 0.0)) == 2


def test_items_of_one_request_are_judged_once_under_load() -> None:
    """Load: 300 requests wait, and every call of the scheduler looks at all of them.

    Guards against a scheduler that is busy with its own queue while other VMs wait for
    a verdict and take it for lost.
    """
    planner = make_planner()
    asked: list[WorkItem] = []
    for n in range(300):
        planner.add(make_spec(f"r{n}", (12,)))

    def may_run(item: WorkItem) -> bool:
        asked.append(item)
        return item.chain.spec.id != "r0"

    planner.may_run = may_run
    batch = planner.assign_batch(worker_of(planner, "a0"), 0.0)
    assert [item.chain.spec.id for item in batch] == ["r1"] * 12 + ["r2"]
    assert len(asked) == 3


def test_upstream_without_memory_for_any_item_judges_none() -> None:
    planner = make_planner()
    add_large_chain(planner, "large", 2)
    planner.may_run = lambda item: pytest.fail("an item was judged")
    worker = worker_of(planner, "a0")
    worker.reserved = SPEC.memory_bytes
    assert planner.assign_batch(worker, 0.0) == []


def test_upstream_in_a_slow_bout_gets_work_again_when_it_is_over() -> None:
    """Guards against long calls at upstreams that say that they are slow now."""
    planner = make_planner(workers=2, services=("a",))
    slow, sound = worker_of(planner, "a0"), worker_of(planner, "a1")
    for at_ms in (-3_000.0, -2_000.0, -1_000.0):
        slow.estimate.record_report(0, 0, 1, 1.0, at_ms)
        sound.estimate.record_report(0, 0, 1, 1.0, at_ms)
    slow.estimate.record_report(0, 0, 1, 2.5, 0.0)
    planner.add(make_spec("r", (2,)))
    assert planner.queues["a"].idle_workers(0.0) == [sound, slow]
    assert planner.assign_batch(slow, 0.0) == []
    assert len(planner.assign_batch(slow, 2_000.0)) == 2


def test_call_at_an_upstream_that_says_it_is_slow_is_expected_to_take_longer() -> None:
    planner = make_planner(workers=1, services=("a",))
    worker = worker_of(planner, "a0")
    for at_ms in (-2_000.0, -1_000.0, 0.0):
        worker.estimate.record_report(0, 0, 1, 2.5, at_ms)
    planner.add(make_spec("r", (2,)))
    assert len(planner.assign_batch(worker, 0.0)) == 2
    nominal_ms = planner.queues["a"].call_time_ms(2)
    assert worker.busy_until_ms == nominal_ms * worker.slowness_at(0.0) > 2 * nominal_ms
