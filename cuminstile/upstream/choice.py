"""Choose one of several upstreams for a call."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Sequence

from ..calls import StageCall
from .table import Condition, UpstreamState

REPORT_HALF_LIFE_MS = 1_000.0

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
    bears = state.capacity if state.condition is Condition.WARM else state.ramp
    return (weight * foreign + state.in_flight) / bears


CHOICES: dict[str, Choice] = {
    "round_robin": make_round_robin(),
    "least_in_flight": least_in_flight,
    "least_loaded": least_loaded,
}
