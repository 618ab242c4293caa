"""Test cuminstile.upstream.ejection: failing upstreams are ejected, never all."""

import pytest

from cuminstile.objects.model import Upstream
from cuminstile.upstream.ejection import (
    EJECTION_MAX_MS,
    is_ejected,
    is_half_open,
    record_failed_call,
    record_good_call,
)
from cuminstile.upstream.table import UpstreamState

from .fake_data_centre import running_data_centre
from .test_leases import load_for, start_three


def make_states(count: int) -> list[UpstreamState]:
    return [
        UpstreamState(Upstream("upstream", f"u{number}", "dc-1", "127.0.0.1:1", ("v",)))
        for number in range(count)
    ]


def fail(state, states, times, now_ms=0.0):
    return [record_failed_call(state, states, now_ms, 0.5) for _ in range(times)]


def test_upstream_is_ejected_after_failures_in_a_row():
    states = make_states(4)
    assert fail(states[0], states, 2) == [False, False]
    record_good_call(states[0])
    assert fail(states[0], states, 3) == [False, False, True]
    assert is_ejected(states[0], 0.0)
    assert not is_ejected(states[0], 1_000.0)


def test_never_more_than_half_are_ejected():
    states = make_states(5)
    for state in states:
        fail(state, states, 10)
    assert sum(is_ejected(state, 0.0) for state in states) == 2
    alone = make_states(1)
    fail(alone[0], alone, 10)
    assert not is_ejected(alone[0], 0.0)


def test_failure_when_half_open_ejects_longer_and_a_good_answer_resets():
    states = make_states(2)
    fail(states[0], states, 3)
    assert is_half_open(states[0])
    assert fail(states[0], states, 1, 1_000.0) == [True]
    assert is_ejected(states[0], 2_999.0)
    assert not is_ejected(states[0], 3_001.0)
    for _ in range(20):
        fail(states[0], states, 1, states[0].ejected_until_ms)
    last_ms = states[0].ejected_until_ms
    assert fail(states[0], states, 1, last_ms) == [True]
    assert states[0].ejected_until_ms <= last_ms + EJECTION_MAX_MS * 1.25
    record_good_call(states[0])
    assert not is_half_open(states[0])


async def test_failing_upstream_gets_few_calls_and_returns(monkeypatch):
    async with running_data_centre(monkeypatch, 3) as centre:
        await start_three(centre)
        results = []
        await load_for(centre, 8_000.0, results)
        bad = centre.upstreams["runner-1"]
        bad.failing = 1.0
        before = len(bad.history)
        await load_for(centre, 10_000.0, results)
        # Without ejection a third of the 1000 calls would have gone there.
        assert (len(bad.history) - before) / 2 < 100
        bad.failing = 0.0
        await load_for(centre, 20_000.0, results, 20.0)
        before = len(bad.history)
        await load_for(centre, 2_000.0, results)
        assert (len(bad.history) - before) / 2 > 30


@pytest.mark.parametrize("seed", range(3))
async def test_retried_calls_never_eject_more_than_half(monkeypatch, seed):
    async with running_data_centre(monkeypatch, 4, seed, warm=True) as centre:
        await start_three(centre)
        await centre.clock.advance_ms(3_000.0)
        for fake in centre.upstreams.values():
            fake.failing = 1.0
        most = 0
        for _ in range(200):
            await load_for(centre, 10.0, [])
            for vm in centre.vms.values():
                states = vm.upstreams.by_name.values()
                now_ms = centre.clock.now_ms()
                most = max(most, sum(is_ejected(state, now_ms) for state in states))
        assert most == 2
