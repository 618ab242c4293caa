"""Test cuminstile.gateway.lost_results: what is computed again after a loss."""

from cuminstile.gateway.batch_planner import BatchPlanner
from cuminstile.gateway.chain import WorkItem

from .planners import complete_all, make_planner, make_spec, worker_of


def make_second_call(counts: tuple[int, int]) -> tuple[BatchPlanner, list[WorkItem]]:
    """Return a planner whose first stage ran at `a0`, and the call then at `b0`."""
    planner = make_planner()
    planner.add(make_spec("r", counts))
    worker = worker_of(planner, "a0")
    complete_all(planner, worker, planner.assign_batch(worker, 0.0))
    return planner, planner.assign_batch(worker_of(planner, "b0"), 300.0)


def test_no_item_starts_without_its_inputs_after_one_was_lost() -> None:
    """Guards against items called without an input that a crashed upstream stored."""
    planner, batch = make_second_call((3, 4))
    first, second = worker_of(planner, "a0"), worker_of(planner, "b0")
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
    planner, batch = make_second_call((2, 20))
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
    planner, batch = make_second_call((3, 4))
    first, second = worker_of(planner, "a0"), worker_of(planner, "b0")
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
