"""Test cuminstile.shutdown.answer_times."""

from cuminstile.shutdown.answer_times import (
    MAX_ROUTES,
    MAX_TIMES,
    MIN_TIMES,
    AnswerTimes,
)


def test_few_answers_tell_nothing() -> None:
    """Guards against refusing on the word of one slow answer."""
    times = AnswerTimes()
    for _ in range(MIN_TIMES - 1):
        times.record("r", 5_000.0)
    assert times.usual_ms("r") == 0.0
    times.record("r", 5_000.0)
    assert times.usual_ms("r") == 5_000.0
    assert times.usual_ms("other") == 0.0


def test_half_of_the_answers_are_whole_in_the_usual_time() -> None:
    times = AnswerTimes()
    for took_ms in (100.0, 200.0, 300.0, 8_000.0, 9_000.0):
        times.record("r", took_ms)
    assert times.usual_ms("r") == 300.0


def test_last_answers_count_and_routes_are_bounded() -> None:
    times = AnswerTimes()
    for _ in range(MAX_TIMES):
        times.record("r", 5_000.0)
    for _ in range(MAX_TIMES):
        times.record("r", 100.0)
    assert times.usual_ms("r") == 100.0
    for number in range(2 * MAX_ROUTES):
        times.record(str(number), 1.0)
    assert len(times.by_route) == MAX_ROUTES
