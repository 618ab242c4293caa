"""Ejection of failing upstreams, for a limited time and never all of them at once."""

from collections.abc import Sequence

from .table import NEVER_MS, UpstreamState

FAILURES_TO_EJECT = 3
EJECTION_MIN_MS = 1_000
EJECTION_MAX_MS = 30_000
MAX_EJECTED_FRACTION = 0.5


def is_ejected(state: UpstreamState, now_ms: float) -> bool:
    """Return whether an upstream is ejected now."""
    return now_ms < state.ejected_until_ms


def is_half_open(state: UpstreamState) -> bool:
    """Return whether an upstream has given no good answer since its last ejection."""
    return state.ejections > 0


def record_good_call(state: UpstreamState) -> None:
    """Reset the failures and the ejection of an upstream after a good answer."""
    state.failures = 0
    state.ejections = 0
    state.ejected_until_ms = NEVER_MS


def record_failed_call(
    state: UpstreamState,
    siblings: Sequence[UpstreamState],
    now_ms: float,
    jitter: float,
) -> bool:
    """Count a failed call; return whether the upstream is ejected by it.

    Parameters
    ----------
    siblings : sequence of UpstreamState
        Upstreams of this data centre that serve the same version, including this one.
    jitter : float
        From 0 to 1. It varies the duration, so that upstreams that are ejected together
        do not return together.
    """
    state.failures += 1
    if is_ejected(state, now_ms):
        return False
    if state.failures < FAILURES_TO_EJECT and not is_half_open(state):
        return False
    ejected = sum(is_ejected(sibling, now_ms) for sibling in siblings)
    if ejected + 1 > MAX_EJECTED_FRACTION * len(siblings):
        return False
    pause_ms = min(EJECTION_MIN_MS * 2.0**state.ejections, EJECTION_MAX_MS)
    state.ejected_until_ms = now_ms + pause_ms * (0.75 + jitter / 2.0)
    state.ejections += 1
    return True
