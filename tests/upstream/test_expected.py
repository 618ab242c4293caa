"""Test cuminstile.upstream.expected: what cannot be in time is not started."""

import pytest

from cuminstile.objects.model import Upstream
from cuminstile.upstream.evidence import mark_cold, take_good_answer
from cuminstile.upstream.expected import can_finish, expected_ms, note_cut_off
from cuminstile.upstream.table import Condition, UpstreamState

from .centre import running_centre

NEVER_WARM = 1_000_000
COLD_WORK_MS = 1_500.0


def cold_state() -> UpstreamState:
    """Return the state of an upstream about which nothing is known."""
    return UpstreamState(Upstream("upstream", "u", "dc", "h:1", ("v",), 8, 1))


def test_cold_answers_tell_how_long_a_call_takes() -> None:
    state = cold_state()
    assert can_finish(state, 1.0, 0.0)
    take_good_answer(state, "cold", "i", 0.0, 1_500.0)
    assert not can_finish(state, 2_000.0, 1_500.0)
    assert can_finish(state, 3_000.0, 1_500.0)
    take_good_answer(state, "warm", "i", 1_500.0, 1_900.0)
    assert can_finish(state, 2_400.0, 1_900.0)


def test_cut_off_call_shows_the_least_time() -> None:
    state = cold_state()
    note_cut_off(state, 900.0, 900.0)
    assert not can_finish(state, 1_500.0, 900.0)
    # An upstream that seems too slow for every call is tried again.
    assert can_finish(state, 20_100.0, 20_000.0)


def test_upstream_that_turns_cold_is_no_faster_than_before() -> None:
    state = cold_state()
    state.condition = Condition.WARM
    state.mean_ms = 400.0
    mark_cold(state, 0.0, shown=True)
    assert expected_ms(state, 0.0) == 400.0


@pytest.mark.parametrize("seed", range(3))
async def test_cold_upstream_finishes_calls_under_overload(monkeypatch, seed) -> None:
    async with running_centre(
        monkeypatch, 1, seed, warm_after=NEVER_WARM, work_ms=COLD_WORK_MS
    ) as centre:
        await centre.start("vm-a")
        await centre.start("vm-b")
        results: list = []
        for number in range(300):
            vm = ("vm-a", "vm-b")[number % 2]
            centre.send(vm, centre.call(f"r{number}", 4_000.0), results)
            await centre.clock.advance_ms(100.0)
        assert centre.upstreams["runner-0"].excess == []
    good = sum(result[0] == "good" and result[1] <= 4_000.0 for result in results)
    # It runs one call at a time, from the lease 2 s after the start on.
    assert good >= 0.75 * 28_000.0 / COLD_WORK_MS
