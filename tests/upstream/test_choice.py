"""Test cuminstile.upstream.choice: which warm upstream gets a call."""

import random

import pytest

from cuminstile.objects.model import Upstream
from cuminstile.upstream.choice import (
    MAX_AFFINITY_SLOWDOWN,
    PREFIX_CHARS,
    prefix_affinity,
    shortest_time,
)
from cuminstile.upstream.table import Condition, UpstreamState

from .fake_data_centre import running_data_centre


def make_states(*means_ms: float) -> list[UpstreamState]:
    states = []
    for number, mean_ms in enumerate(means_ms):
        name = f"u{number}"
        state = UpstreamState(Upstream("upstream", name, "dc-1", "127.0.0.1:1", ("v",)))
        state.condition = Condition.WARM
        state.mean_ms = mean_ms
        states.append(state)
    return states


def fill(state: UpstreamState, calls: int) -> None:
    state.calls = dict.fromkeys(range(calls), 0.0)


def test_fast_upstream_gets_calls_until_its_load_outweighs_its_speed():
    fast, slow = states = make_states(60.0, 90.0)
    assert shortest_time(states, None, 0.0) is fast
    fill(fast, fast.capacity * 3 // 4)
    assert shortest_time(states, None, 0.0) is slow


def test_upstream_that_has_not_answered_yet_is_tried_but_not_flooded():
    known, fresh = states = make_states(60.0, 0.0)
    fill(known, 1)
    assert shortest_time(states, None, 0.0) is fresh
    fill(fresh, 2)
    assert shortest_time(states, None, 0.0) is known


def test_unknown_upstreams_share_by_load():
    first, second = states = make_states(0.0, 0.0)
    fill(first, 1)
    assert shortest_time(states, None, 0.0) is second


@pytest.fixture
async def call_for(monkeypatch):
    async with running_data_centre(monkeypatch, 1) as centre:
        yield lambda prompt: centre.call(
            "r", input={"request": {"prompt": prompt}, "outputs": {}}
        )


async def test_prompts_with_the_same_prefix_go_to_one_upstream(call_for):
    states = make_states(*[60.0] * 4)
    draws = random.Random(1)
    prefixes = [str(draws.random()) * PREFIX_CHARS for _ in range(40)]
    chosen = {
        prefix: {
            prefix_affinity(
                draws.sample(states, 4), call_for(prefix + str(tail)), 0.0
            ).name
            for tail in range(3)
        }
        for prefix in prefixes
    }
    assert all(len(names) == 1 for names in chosen.values())
    assert len(set.union(*chosen.values())) == 4


async def test_far_shorter_time_overrides_affinity(call_for):
    states = make_states(60.0, 60.0)
    call = call_for("p" * PREFIX_CHARS)
    preferred = prefix_affinity(states, call, 0.0)
    (other,) = [state for state in states if state is not preferred]
    preferred.mean_ms = 60.0 * MAX_AFFINITY_SLOWDOWN
    assert prefix_affinity(states, call, 0.0) is preferred
    fill(preferred, 1)
    assert prefix_affinity(states, call, 0.0) is other


async def test_input_without_a_long_prompt_goes_to_the_fastest_upstream(call_for):
    states = make_states(90.0, 60.0)
    for prompt in ("short", 7, None):
        assert prefix_affinity(states, call_for(prompt), 0.0) is states[1]
