"""Test cuminstile.scaling.demand: what callers demand, as one VM counts it."""

import pytest

from cuminstile.duties.messages import DemandEntry
from cuminstile.scaling.demand import (
    BASE_WINDOW_MS,
    RATE_WINDOW_MS,
    LocalDemand,
    Run,
    local_demand,
)

BASE_MS = 60.0


def entry_of(demand: LocalDemand, now_ms: float) -> DemandEntry:
    (entry,) = local_demand(demand, "a", {"chat": 0}, now_ms)
    return entry


def prompt_run(read_ms: float, written_ms: float = 120.0) -> Run:
    first_ms = BASE_MS + read_ms
    return Run(first_ms, first_ms + written_ms, slots=12, reads_prompt=True)


def test_arrivals_count_whether_upstreams_are_there_or_not() -> None:
    demand = LocalDemand()
    for at_ms in range(0, 4_000, 100):
        demand.record_request("chat", "draft", float(at_ms))
    assert entry_of(demand, 3_900.0).requests == pytest.approx(10.0, abs=0.5)
    assert entry_of(demand, 3_900.0 + RATE_WINDOW_MS + 1).requests == 0.0


def test_engine_is_kept_busy_by_reading_and_by_a_slot_of_its_batch() -> None:
    demand = LocalDemand()
    demand.record_run("chat", "draft", prompt_run(0.0), 0.0)
    for _ in range(200):
        demand.record_run("chat", "draft", prompt_run(40.0), 0.0)
    demand.record_request("chat", "draft", 0.0)
    assert entry_of(demand, 0.0).work_ms == pytest.approx(40.0 + 120.0 / 12, rel=0.01)


def test_plain_service_is_kept_busy_by_its_slots_alone() -> None:
    demand = LocalDemand()
    demand.record_run("chat", "look", Run(30.0, 30.0, 6, reads_prompt=False), 0.0)
    assert entry_of(demand, 0.0).work_ms == 5.0


def test_shift_to_a_dearer_kind_shows_as_soon_as_its_requests_arrive() -> None:
    demand = LocalDemand()
    for kind, read_ms in (("note", 0.0), ("note", 10.0), ("draft", 100.0)):
        demand.record_run("chat", kind, prompt_run(read_ms, 0.0), 0.0)
    for at_ms in range(5):
        demand.record_request("chat", "note", float(at_ms))
    cheap_ms = entry_of(demand, 5.0).work_ms
    for at_ms in range(15):
        demand.record_request("chat", "draft", float(at_ms))
    assert entry_of(demand, 15.0).work_ms > 20 * cheap_ms


def test_slower_path_to_the_upstreams_is_not_work_for_long() -> None:
    """Pattern: callers move to a data centre that is farther away."""
    demand = LocalDemand()
    demand.record_run("chat", "draft", prompt_run(0.0, 0.0), 0.0)
    far = Run(BASE_MS + 30.0, BASE_MS + 30.0, 12, reads_prompt=True)
    for step in range(1, 100):
        demand.record_run("chat", "draft", far, step * BASE_WINDOW_MS / 20)
    assert entry_of(demand, 0.0).work_ms == pytest.approx(0.0, abs=1.0)


def test_refusals_and_waiting_requests_are_told() -> None:
    demand = LocalDemand()
    demand.record_waiting("chat", 1)
    demand.record_waiting("chat", 1)
    demand.record_waiting("chat", -1)
    demand.record_refused("chat", 100.0)
    (entry,) = local_demand(demand, "a", {"chat": 3}, 200.0)
    assert (entry.queued, entry.in_flight, entry.refused) == (1, 3, 0.5)
    assert entry_of(demand, 200.0 + RATE_WINDOW_MS).refused == 0.0
