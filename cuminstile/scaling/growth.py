"""Keep what was needed in the last while, and expect how far it grows. Does no I/O."""

from __future__ import annotations

from collections import deque

TREND_MS = 4_000.0
"""Time over which the growth of the demand is measured."""
LEAST_RISE = 1.1
"""Rise above all of the time before from which the demand counts as growing."""
MAX_GROWTH = 1.25
"""Largest growth that is expected: a rise seldom goes on as it began."""
HOLD_MS = 12_000.0
"""How long an upstream must have been needed at no moment before it is given back."""
Needs = deque[tuple[float, float]]
"""Times in monotonic ms and the number of upstreams needed then, the oldest first."""


def record_need(needs: Needs, needed: float, now_ms: float) -> None:
    """Record what is needed now, and discard what is too old to count."""
    needs.append((now_ms, needed))
    while needs[0][0] < now_ms - HOLD_MS:
        needs.popleft()


def expected_growth(needs: Needs, lead_ms: float, now_ms: float) -> float:
    """Return by which factor the need is expected to grow within `lead_ms`.

    Only a need above that of all the time before counts as growing: a wave comes back
    to where it was.
    """
    recent = [need for at_ms, need in needs if at_ms > now_ms - TREND_MS]
    earlier = [need for at_ms, need in needs if at_ms <= now_ms - TREND_MS]
    half = len(recent) // 2
    if half < 2 or not earlier:
        return 1.0
    before = sum(recent[:half]) / half
    after = sum(recent[-half:]) / half
    if after <= max(*earlier, before) * LEAST_RISE or before <= 0:
        return 1.0
    # The two halves lie half of the time apart.
    rise = (after - before) * lead_ms / (TREND_MS / 2)
    return min(MAX_GROWTH, 1.0 + rise / after)
