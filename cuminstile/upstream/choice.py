"""Policies that choose one of several upstreams for a call."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from ..calls import StageCall
from ..rendezvous import weight
from .table import Condition, UpstreamState

REPORT_HALF_LIFE_MS = 1_000.0
PREFIX_CHARS = 1_024
MAX_AFFINITY_SLOWDOWN = 2.0

Choice = Callable[[Sequence[UpstreamState], StageCall, float], UpstreamState]


def make_round_robin() -> Choice:
    """Return a policy that takes the upstreams in turn."""
    turns = itertools.count()

    def choose(
        candidates: Sequence[UpstreamState], call: StageCall, now_ms: float
    ) -> UpstreamState:
        ordered = sorted(candidates, key=lambda state: state.name)
        return ordered[next(turns) % len(ordered)]

    return choose


def least_in_flight(
    candidates: Sequence[UpstreamState], call: StageCall, now_ms: float
) -> UpstreamState:
    """Return the upstream with the fewest own calls, relative to its capacity."""
    return min(candidates, key=lambda state: state.in_flight / state.capacity)


def least_loaded(
    candidates: Sequence[UpstreamState], call: StageCall, now_ms: float
) -> UpstreamState:
    """Return the upstream with the least expected load, relative to its capacity."""
    return min(candidates, key=lambda state: expected_load(state, now_ms))


def expected_load(state: UpstreamState, now_ms: float) -> float:
    """Return the expected fraction of an upstream's capacity that is in use.

    The weight of the reported load decays with its age. Calls of this VM count in full.
    """
    age_ms = max(0.0, now_ms - state.reported_ms)
    weight = math.pow(0.5, age_ms / REPORT_HALF_LIFE_MS)
    foreign_calls = max(0, state.reported_in_flight - state.sent_by(state.reported_ms))
    limit = state.capacity if state.condition is Condition.WARM else state.ramp_limit
    return (weight * foreign_calls + state.in_flight) / limit


def shortest_time(
    candidates: Sequence[UpstreamState], call: StageCall, now_ms: float
) -> UpstreamState:
    """Return the upstream that is expected to answer first."""
    return min(candidates, key=expected_times(candidates, now_ms))


def expected_times(
    candidates: Sequence[UpstreamState], now_ms: float
) -> Callable[[UpstreamState], float]:
    """Return a function that returns the expected answer time of a candidate, in ms.

    It is the mean time of the candidate's answers, increased with its load. A candidate
    that has not answered yet counts as fast as the fastest other, so that it is tried.
    """
    known_ms = [state.mean_ms for state in candidates if state.mean_ms]
    fastest_ms = min(known_ms, default=1.0)

    def expected_ms(state: UpstreamState) -> float:
        mean_ms = state.mean_ms or fastest_ms
        return mean_ms * (1.0 + expected_load(state, now_ms))

    return expected_ms


def prefix_affinity(
    candidates: Sequence[UpstreamState], call: StageCall, now_ms: float
) -> UpstreamState:
    """Return the same upstream for all prompts with the same prefix.

    All VMs choose the same one by rendezvous hashing, without messages. If it would
    take far longer than another one, or the prompt is short, the shortest expected time
    decides.
    """
    expected_ms = expected_times(candidates, now_ms)
    shortest = min(candidates, key=expected_ms)
    prompt = next(prompts_in(call.input), "")
    if len(prompt) < PREFIX_CHARS:
        return shortest
    prefix = prompt[:PREFIX_CHARS]
    preferred = max(candidates, key=lambda state: weight(prefix, state.name))
    if expected_ms(preferred) > MAX_AFFINITY_SLOWDOWN * expected_ms(shortest):
        return shortest
    return preferred


def prompts_in(value: Any) -> Iterator[str]:
    """Yield each string under a key `prompt` in an input, at any depth."""
    if isinstance(value, dict):
        prompt = value.get("prompt")
        if isinstance(prompt, str):
            yield prompt
        for item in value.values():
            yield from prompts_in(item)
    elif isinstance(value, list):
        for item in value:
            yield from prompts_in(item)


CHOICES: dict[str, Choice] = {
    "round_robin": make_round_robin(),
    "least_in_flight": least_in_flight,
    "least_loaded": least_loaded,
    "shortest_time": shortest_time,
    "prefix_affinity": prefix_affinity,
}
