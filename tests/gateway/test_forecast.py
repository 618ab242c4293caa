"""Test cuminstile.gateway.forecast: when the stages of a request would be ready."""

from __future__ import annotations

import pytest

from cuminstile.gateway.forecast import forecast_chain

from .planners import SPEC, make_planner, make_spec, worker_of

CALL_MS = SPEC.call_ms + 3 * SPEC.item_ms


@pytest.mark.parametrize(
    ("workers", "at_ms", "start_ms"),
    [
        # One upstream: its call ends when the next one may begin.
        (1, 100.0, CALL_MS),
        (1, 10_000.0, 10_000.0),
        # Two: the other one is idle, but starts are half a call apart.
        (2, 10.0, CALL_MS / 2),
        (2, 200.0, 200.0),
    ],
)
def test_wait_for_an_upstream_and_for_the_next_start_run_together(
    workers: int, at_ms: float, start_ms: float
) -> None:
    """Load: few upstreams are left, and requests have time for hardly two calls.

    Guards against a wait that is counted twice: urgent requests that could have been in
    time were refused, and less urgent ones with more time took their place.
    """
    planner = make_planner(workers=workers)
    planner.add(make_spec("first", (3,)))
    assert planner.assign_batch(worker_of(planner, "a0"), 0.0)
    if at_ms > CALL_MS:
        worker_of(planner, "a0").calls = 0
    spec = make_spec("second", (3,))
    forecast = forecast_chain(planner.queues, spec, at_ms, spec.priority)
    ready_ms = start_ms - at_ms + CALL_MS + spec.engine_ms
    assert forecast.ready_ms == pytest.approx(ready_ms)
