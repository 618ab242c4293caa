"""Admission control for staged work.

Designed for bursts beyond the capacity of the stages: work that would be late is
refused on arrival, so that admitted work is in time. Does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

from .batch_planner import BatchPlanner
from .chain import LATE_RANK_OFFSET, ChainSpec
from .forecast import Forecast, forecast_chain

LATE_WAIT_LIMIT_MS = 150.0
"""Queueing time up to which work that will be late is still admitted: less than half a
call."""
RETRY_WAIT_LIMIT_MS = 400.0
"""The same for a caller that retries as advised: about one call."""
FORECAST_MARGIN = 1.06
"""Factor by which work without a queue may exceed its forecast."""
QUEUE_MARGIN = 0.4
"""Share of the queueing time that is added to the forecast: a shorter queue keeps the
upstreams as busy, and work that would just meet its target is late after any fault."""
RETRY_MIN_MS = 100.0
"""Shortest retry delay: some network round trips."""
RETRY_SPREAD_MS = 250.0
"""Spread of the retries of callers that are refused together: about one call."""
RETRY_REMAINING_SHARE = 0.32
"""Share of its remaining time up to which a caller follows the advised delay."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether work is admitted, and for which reason; times in ms from now."""

    admitted: bool
    in_time: bool
    reason: str
    ready_ms: float
    alone_ms: float
    retry_after_ms: float = 0.0


def decide_admission(
    planner: BatchPlanner, spec: ChainSpec, now_ms: float, again: bool, is_retry: bool
) -> Verdict:
    """Return whether a chain is admitted.

    Parameters
    ----------
    again : bool
        Whether it was admitted before; its caller has waited already.
    is_retry : bool
        Whether its caller was refused before and retries as advised.
    """
    if not planner.can_run(spec):
        return Verdict(False, False, "no_upstream", 0.0, 0.0, RETRY_SPREAD_MS)
    forecast = forecast_chain(planner.queues, spec, now_ms, spec.priority)
    target_left_ms = spec.target_at_ms - now_ms
    safe_ms = forecast.ready_ms * FORECAST_MARGIN + forecast.queued_ms * QUEUE_MARGIN
    if safe_ms <= target_left_ms:
        return Verdict(True, True, "in_time", forecast.ready_ms, forecast.alone_ms)
    late_rank = spec.priority + LATE_RANK_OFFSET
    late_forecast = forecast_chain(planner.queues, spec, now_ms, late_rank)
    if again or is_late_work_admitted(spec, late_forecast, now_ms, is_retry):
        return Verdict(
            True, False, "late", late_forecast.ready_ms, late_forecast.alone_ms
        )
    return Verdict(
        False,
        False,
        "overloaded",
        forecast.ready_ms,
        forecast.alone_ms,
        late_retry_after_ms(spec, now_ms),
    )


def is_late_work_admitted(
    spec: ChainSpec, late_forecast: Forecast, now_ms: float, is_retry: bool
) -> bool:
    """Return whether late work is admitted behind all work that can be in time.

    It is admitted only if it hardly has to wait, as it uses memory and batches that
    work in time needs. Work of a caller that retries as advised can wait longer.
    """
    wait_ms = late_forecast.ready_ms - late_forecast.alone_ms
    limit_ms = RETRY_WAIT_LIMIT_MS if is_retry else LATE_WAIT_LIMIT_MS
    return wait_ms <= limit_ms and late_forecast.ready_ms <= spec.expires_at_ms - now_ms


def late_retry_after_ms(spec: ChainSpec, now_ms: float) -> float:
    """Return the delay in ms after which the caller of late work should retry."""
    left_ms = (spec.expires_at_ms - now_ms) * RETRY_REMAINING_SHARE
    return max(RETRY_MIN_MS, left_ms - RETRY_SPREAD_MS * spread_fraction(spec))


def spread_fraction(spec: ChainSpec) -> float:
    """Return a number from 0 to 1 derived from the request's id."""
    return (crc32(spec.request_id.encode()) % 1000) / 1000.0
