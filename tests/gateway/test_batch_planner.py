"""Test cuminstile.gateway.batch_planner."""

import random

from .planners import complete_all, make_planner, make_spec, worker_of


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
