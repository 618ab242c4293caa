"""Test cuminstile.shutdown.schedule."""

import pytest

from cuminstile.shutdown.schedule import shutdown_times


@pytest.mark.parametrize("shutdown_ms", [0.0, 500.0, 2_000.0, 8_000.0, 60_000.0])
def test_work_is_handed_on_then_requests_answered_then_the_process_ends(
    shutdown_ms: float,
) -> None:
    times = shutdown_times(1_000.0, shutdown_ms)
    assert times.began_ms <= times.hand_over_at_ms <= times.answer_by_ms
    assert times.answer_by_ms <= times.exit_at_ms <= 1_000.0 + shutdown_ms
