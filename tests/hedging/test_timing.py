"""Test when a second send begins, for loads of quick and slow answers."""

import random

import pytest

from cuminstile.hedging.timing import MAX_TIMES, AnswerTimes, second_send_after_ms

USUAL_MS = 50.0
SLOW_MS = 900.0
AIM_MS = 200.0


def times_of(values: list[float]) -> AnswerTimes:
    times = AnswerTimes()
    for value in values:
        times.record(value)
    return times


def drawn_answer_ms(source: random.Random, slow_share: float) -> float:
    """Return a time; a share of them comes from upstreams in a slow bout."""
    usual_ms = SLOW_MS if source.random() < slow_share else USUAL_MS
    return max(1.0, source.gauss(usual_ms, 5.0))


def drawn_times(slow_share: float, seed: int) -> AnswerTimes:
    source = random.Random(seed)
    return times_of([drawn_answer_ms(source, slow_share) for _ in range(MAX_TIMES)])


@pytest.mark.parametrize("seed", range(5))
def test_few_slow_answers_are_sent_again_once_the_usual_ones_have_come(
    seed: int,
) -> None:
    after_ms = second_send_after_ms(drawn_times(0.04, seed), AIM_MS)
    assert after_ms is not None
    assert USUAL_MS < after_ms <= AIM_MS - USUAL_MS


@pytest.mark.parametrize("seed", range(5))
def test_service_that_is_slow_for_most_gets_no_second_sends(seed: int) -> None:
    assert second_send_after_ms(drawn_times(0.9, seed), AIM_MS) is None


def test_answers_that_all_take_the_same_time_are_sent_again_only_if_lost() -> None:
    times = times_of([USUAL_MS] * MAX_TIMES)
    assert second_send_after_ms(times, AIM_MS) == 2 * USUAL_MS
    assert second_send_after_ms(times, 2.5 * USUAL_MS) is None


def test_nothing_is_sent_again_too_late_for_the_target() -> None:
    assert second_send_after_ms(drawn_times(0.04, 1), USUAL_MS) is None


def test_few_known_answers_tell_nothing() -> None:
    assert second_send_after_ms(times_of([USUAL_MS] * 20 + [SLOW_MS]), AIM_MS) is None


def test_old_times_are_forgotten() -> None:
    times = times_of([SLOW_MS] * MAX_TIMES + [USUAL_MS] * MAX_TIMES)
    assert times.ordered == [USUAL_MS] * MAX_TIMES


# A module that hedges always, or after a fixed delay, sends more or is late more often.
@pytest.mark.parametrize("seed", range(5))
def test_fewer_answers_are_late_for_little_extra_work(seed: int) -> None:
    source = random.Random(seed)
    times = drawn_times(0.05, seed)
    after_ms = second_send_after_ms(times, AIM_MS)
    assert after_ms is not None
    late = late_before = sent = 0
    for _ in range(2_000):
        first_ms = drawn_answer_ms(source, 0.05)
        late_before += first_ms > AIM_MS
        took_ms = first_ms
        if first_ms > after_ms:
            sent += 1
            took_ms = min(first_ms, after_ms + drawn_answer_ms(source, 0.05))
        late += took_ms > AIM_MS
    assert late <= late_before / 4
    assert sent <= 0.15 * 2_000
