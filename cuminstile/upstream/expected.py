"""Expect how long a call takes at an upstream, so that only what can finish starts."""

from __future__ import annotations

import math
from collections.abc import Sequence

from .table import Condition, UpstreamState

SMOOTHING = 0.3
HALF_LIFE_MS = 5_000.0
MIN_PART = 0.7


def note_ramp_time(
    state: UpstreamState, said: str, elapsed_ms: float, now_ms: float
) -> None:
    """Note how long a good answer took while the upstream was taken as cold.

    The first that says `warm` ends what the cold ones have shown.
    """
    if state.ramp_ms and said != "warm":
        elapsed_ms = state.ramp_ms + SMOOTHING * (elapsed_ms - state.ramp_ms)
    state.ramp_ms = elapsed_ms
    state.ramp_noted_ms = now_ms


def note_cut_off(state: UpstreamState, elapsed_ms: float, now_ms: float) -> None:
    """Note that a call at a cold upstream was cut off: it takes longer than that."""
    if state.condition is not Condition.COLD:
        return
    state.ramp_ms = max(expected_ms(state, now_ms), elapsed_ms)
    state.ramp_noted_ms = now_ms


def expected_ms(state: UpstreamState, now_ms: float) -> float:
    """Return how long a call is expected to take; 0 while nothing is known.

    What a cold upstream has shown counts the less the older it is, so that one that
    seems too slow for every call is tried again.
    """
    if state.condition is Condition.WARM:
        return state.mean_ms
    age_ms = max(0.0, now_ms - state.ramp_noted_ms)
    shown_ms = state.ramp_ms * math.pow(0.5, age_ms / HALF_LIFE_MS)
    return max(shown_ms, state.usual_ms)


def can_finish(state: UpstreamState, deadline_ms: float, now_ms: float) -> bool:
    """Return whether a call that starts now may be in time.

    Calls differ: one that has most of the usual time left may still be short enough.
    """
    return now_ms + MIN_PART * expected_ms(state, now_ms) <= deadline_ms


def least_ms(candidates: Sequence[UpstreamState]) -> float:
    """Return the least time that a call takes at the candidates once all are warm."""
    return MIN_PART * min(state.mean_ms or state.usual_ms for state in candidates)
