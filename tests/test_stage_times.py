"""Test cuminstile.stage_times."""

from cuminstile.stage_times import (
    MIN_RUNS,
    PROBE_EVERY_CALLS,
    UNKNOWN,
    WINDOW_MS,
    StageTimes,
)

RUN = ("generate-1", "chat")


def times_with(elapsed_ms: float, runs: int = 100, at_ms: float = 0.0) -> StageTimes:
    times = StageTimes()
    for _ in range(runs):
        times.record_run(*RUN, elapsed_ms, at_ms)
    return times


def test_nothing_is_estimated_from_a_few_runs() -> None:
    assert times_with(300.0, MIN_RUNS - 1).estimate(*RUN, 0.0) is UNKNOWN
    assert times_with(300.0, MIN_RUNS).estimate(*RUN, 0.0).least_ms >= 299.0


def test_quantiles_stand_in_their_order() -> None:
    times = StageTimes()
    for elapsed_ms in range(1, 101):
        times.record_run(*RUN, float(elapsed_ms), 0.0)
    estimate = times.estimate(*RUN, 0.0)
    assert 4.0 <= estimate.least_ms <= 6.0
    assert 49.0 <= estimate.typical_ms <= 52.0
    assert 89.0 <= estimate.likely_ms <= 92.0


def test_old_runs_are_forgotten_even_if_none_follows() -> None:
    times = times_with(300.0)
    assert times.estimate(*RUN, WINDOW_MS) is not UNKNOWN
    assert times.estimate(*RUN, 2 * WINDOW_MS) is UNKNOWN


def test_a_run_stopped_early_makes_no_estimate_shorter() -> None:
    times = times_with(300.0)
    for _ in range(100):
        times.record_stopped(*RUN, 20.0, 0.0)
    assert times.estimate(*RUN, 5_000.0).least_ms >= 299.0


def test_runs_stopped_late_make_the_estimate_longer() -> None:
    times = times_with(300.0)
    for _ in range(100):
        times.record_stopped(*RUN, 2_000.0, 0.0)
    assert times.estimate(*RUN, 5_000.0).likely_ms >= 1_900.0


def test_a_small_part_is_tried_against_the_estimates() -> None:
    times = StageTimes()
    tried = [times.is_probe(("chat",)) for _ in range(10 * PROBE_EVERY_CALLS)]
    assert sum(tried) == 10
    assert not tried[0]
