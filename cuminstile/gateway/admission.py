"""Decide at arrival whether staged work can be in time.

Answers the pattern of bursts beyond what the stages bear: what would only be late is
refused at once, so that what is admitted is in time. Needs no network.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

from .batch_planner import BatchPlanner, Forecast
from .chain import LATE_RANK, ChainSpec

IDLE_WAIT_MS = 150.0
"""Wait up to which work that is late already is still taken on: under half a call."""
RETURN_WAIT_MS = 400.0
"""The same for a caller that comes back as told: about one call."""
FORECAST_MARGIN = 1.06
"""How many times its forecast work without a queue may take."""
QUEUE_MARGIN = 0.4
"""The share by which queues are longer than they seem: the upstreams stay as busy with
a shorter queue, and what waits at the edge of its target is late after any mishap."""
RETRY_MIN_MS = 100.0
"""The soonest that a caller is asked to come back: some turns of the network."""
RETRY_SPREAD_MS = 250.0
"""Spread of the returns of callers that are refused together: about one call."""
RETRY_LEFT_SHARE = 0.32
"""The share of its time left up to which a caller follows the advice."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Tell whether work is taken on, and what decided it; times in ms from now."""

    admitted: bool
    in_time: bool
    reason: str
    ready_ms: float
    alone_ms: float
    retry_after_ms: float = 0.0


def judge(
    planner: BatchPlanner, spec: ChainSpec, now_ms: float, again: bool, returning: bool
) -> Verdict:
    """Return whether a chain is admitted.

    Parameters
    ----------
    again : bool
        Whether another scheduler had admitted it; its caller has waited already.
    returning : bool
        Whether its caller was refused before and comes back as told.
    """
    if not planner.can_run(spec):
        return Verdict(False, False, "no_upstream", 0.0, 0.0, RETRY_SPREAD_MS)
    forecast = planner.forecast(spec, now_ms, spec.priority)
    target_left_ms = spec.target_at_ms - now_ms
    safe_ms = forecast.ready_ms * FORECAST_MARGIN + forecast.queued_ms * QUEUE_MARGIN
    if safe_ms <= target_left_ms:
        return Verdict(True, True, "in_time", forecast.ready_ms, forecast.alone_ms)
    behind = planner.forecast(spec, now_ms, spec.priority + LATE_RANK)
    if again or late_but_served(spec, behind, now_ms, returning):
        return Verdict(True, False, "late", behind.ready_ms, behind.alone_ms)
    return Verdict(
        False,
        False,
        "overloaded",
        forecast.ready_ms,
        forecast.alone_ms,
        come_back_late_ms(spec, now_ms),
    )


def late_but_served(
    spec: ChainSpec, behind: Forecast, now_ms: float, returning: bool
) -> bool:
    """Tell whether late work is taken on, behind all that may be in time.

    It is taken on only if there is next to no wait: it would take up room and batches
    of what may be in time. A caller that comes back as told may wait longer.
    """
    wait_ms = behind.ready_ms - behind.alone_ms
    limit_ms = RETURN_WAIT_MS if returning else IDLE_WAIT_MS
    return wait_ms <= limit_ms and behind.ready_ms <= spec.expires_at_ms - now_ms


def come_back_late_ms(spec: ChainSpec, now_ms: float) -> float:
    """Return when a caller that can't be in time should come back."""
    left_ms = (spec.expires_at_ms - now_ms) * RETRY_LEFT_SHARE
    return max(RETRY_MIN_MS, left_ms - RETRY_SPREAD_MS * spread_of(spec))


def spread_of(spec: ChainSpec) -> float:
    """Return a number from 0 to 1 that differs between requests."""
    return (crc32(spec.request_id.encode()) % 1000) / 1000.0
