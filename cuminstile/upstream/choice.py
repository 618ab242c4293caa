"""Choose one of several upstreams for a call."""

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
MOST_LONGER = 2.0

Choice = Callable[[Sequence[UpstreamState], StageCall, float], UpstreamState]


def make_round_robin() -> Choice:
    """Return a choice that takes each upstream in turn."""
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
    """Return the upstream with the fewest own calls for its capacity."""
    return min(candidates, key=lambda state: state.in_flight / state.capacity)


def least_loaded(
    candidates: Sequence[UpstreamState], call: StageCall, now_ms: float
) -> UpstreamState:
    """Return the upstream with the least expected load for its capacity."""
    return min(candidates, key=lambda state: expected_load(state, now_ms))


def expected_load(state: UpstreamState, now_ms: float) -> float:
    """Return the expected share of an upstream's capacity that is in use.

    What was reported counts the less the older it is; own calls count in full.
    """
    age_ms = max(0.0, now_ms - state.reported_ms)
    weight = math.pow(0.5, age_ms / REPORT_HALF_LIFE_MS)
    foreign = max(0, state.reported_in_flight - state.sent_until(state.reported_ms))
    bears = state.capacity if state.condition is Condition.WARM else state.ramp_limit
    return (weight * foreign + state.in_flight) / bears


def shortest_time(
    candidates: Sequence[UpstreamState], call: StageCall, now_ms: float
) -> UpstreamState:
    """Return the upstream that is expected to answer first."""
    return min(candidates, key=expected_times(candidates, now_ms))


def expected_times(
    candidates: Sequence[UpstreamState], now_ms: float
) -> Callable[[UpstreamState], float]:
    """Return a function that gives the time an answer of a candidate may take.

    It is the usual time of its answers, longer with its load. One that has not
    answered yet counts as the fastest of the others, so that it is tried.
    """
    known = [state.mean_ms for state in candidates if state.mean_ms]
    fastest_ms = min(known, default=1.0)

    def expected_ms(state: UpstreamState) -> float:
        usual_ms = state.mean_ms or fastest_ms
        return usual_ms * (1.0 + expected_load(state, now_ms))

    return expected_ms


def prefix_affinity(
    candidates: Sequence[UpstreamState], call: StageCall, now_ms: float
) -> UpstreamState:
    """Return the upstream where calls with the same beginning of the prompt go.

    Every VM finds the same one without a message. Where it would take far longer
    than another, or the prompt is short, the shortest time decides.
    """
    expected_ms = expected_times(candidates, now_ms)
    shortest = min(candidates, key=expected_ms)
    prompt = next(prompts_in(call.input), "")
    if len(prompt) < PREFIX_CHARS:
        return shortest
    beginning = prompt[:PREFIX_CHARS]
    first = max(candidates, key=lambda state: weight(beginning, state.name))
    if expected_ms(first) > MOST_LONGER * expected_ms(shortest):
        return shortest
    return first


def prompts_in(value: Any) -> Iterator[str]:
    """Yield each text that stands under `prompt` in an input."""
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
