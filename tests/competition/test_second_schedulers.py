"""Test what a second scheduler tells the first one."""

from __future__ import annotations

import pytest

from cuminstile.competition.second_schedulers import REPORT_LASTS_MS, reported_loads
from cuminstile.gateway.batch_choice import free_memory
from cuminstile.gateway.batch_planner import BatchPlanner
from cuminstile.gateway.handover import apply_worker_loads, worker_loads
from tests.gateway.planners import (
    SPEC,
    complete_all,
    make_planner,
    make_spec,
    worker_of,
)


def told(second: BatchPlanner, first: BatchPlanner, now_ms: float) -> int:
    """Let one planner tell the other; return the memory that this sees as free."""
    apply_worker_loads(first, reported_loads(worker_loads(second, (), now_ms)), now_ms)
    return free_memory(first.queues["a"], worker_of(first, "a0"), now_ms)


def test_results_of_a_second_scheduler_take_memory_until_it_has_freed_them() -> None:
    """Load: a cut between data centres ends, and two schedulers share the upstreams.

    Guards against calls to upstreams without room for their results.
    """
    first, second = make_planner(), make_planner()
    chain = second.add(make_spec("r1", (1, 2)))
    worker = worker_of(second, "a0")
    batch = second.assign_batch(worker, 0.0)
    held = SPEC.memory_bytes - 1_000
    assert told(second, first, 1.0) == held
    assert worker_of(first, "a0").available_at_ms == pytest.approx(
        SPEC.call_ms + SPEC.item_ms
    )
    complete_all(second, worker, batch)
    assert told(second, first, 300.0) == held
    second.end(chain)
    second.record_freed(second.released)
    assert told(second, first, 600.0) == held
    assert told(second, first, 301.0 + REPORT_LASTS_MS) == SPEC.memory_bytes


def test_upstreams_without_work_of_the_second_scheduler_are_not_reported() -> None:
    """Guards against an idle VM's estimates that replace those of the scheduler."""
    assert reported_loads(worker_loads(make_planner(), (), 0.0)) == ()
