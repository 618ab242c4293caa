"""Estimate the capacity of an upstream from its answers, refusals and load reports."""

from dataclasses import dataclass

from .ranking import compact_id
from .table import Condition, UpstreamState

LATENCY_SMOOTHING = 0.1
SLOW_FACTOR = 3.0
SLOW_DEVIATIONS = 8.0
MAX_SLOW_ANSWERS = 2
LIMIT_DECREASE = 0.7
MIN_LIMIT = 1.0


@dataclass(frozen=True)
class LoadReport:
    """The load of an upstream, as reported by itself.

    Parameters
    ----------
    about_ms : float
        Time that the report describes, on this VM's monotonic clock.
    process : str
        The incarnation as the upstream names it.
    versions : frozenset of str
        The versions that it has loaded; empty if it does not report them.
    """

    incarnation: int
    condition: Condition
    in_flight: int
    capacity: int
    about_ms: float
    process: str = ""
    versions: frozenset[str] = frozenset()


def mark_cold(state: UpstreamState, about_ms: float, cold_observed: bool) -> bool:
    """Mark an upstream cold; return whether its condition changed."""
    changed = state.condition is not Condition.COLD
    state.condition = Condition.COLD
    state.evidence_ms = max(state.evidence_ms, about_ms)
    state.cold_observed = state.cold_observed or cold_observed
    state.ramp_limit = float(state.upstream.cold_capacity)
    state.slow_streak = 0
    state.mean_ms = 0.0
    return changed


def mark_warm(state: UpstreamState, about_ms: float) -> None:
    """Mark an upstream warm."""
    state.condition = Condition.WARM
    state.evidence_ms = max(state.evidence_ms, about_ms)
    state.cold_observed = False
    state.limit = float(state.capacity)


def apply_good_answer(
    state: UpstreamState,
    reported_state: str,
    incarnation: str,
    started_ms: float,
    now_ms: float,
) -> bool:
    """Apply a good answer; return whether the upstream changed to cold.

    Parameters
    ----------
    reported_state : str
        `cold` or `warm`, as reported by the upstream in its answer.
    started_ms : float
        When the call was started.
    """
    number = compact_id(incarnation)
    restarted = state.incarnation not in (0, number)
    state.incarnation = number
    state.failures = 0
    state.ejections = 0
    if reported_state == "cold" or (restarted and reported_state != "warm"):
        return mark_cold(state, now_ms, cold_observed=True)
    if restarted:
        return mark_cold(state, started_ms, cold_observed=True)
    if is_latency_jump(state, now_ms - started_ms):
        return mark_cold(state, now_ms, cold_observed=True)
    if reported_state == "warm" and started_ms >= state.evidence_ms:
        raise_limits(state)
    return False


def raise_limits(state: UpstreamState) -> None:
    """Raise the limit of calls after a good answer that reports a warm upstream."""
    if state.condition is Condition.COLD:
        state.ramp_limit = min(state.ramp_limit + 1.0, float(state.capacity))
        return
    state.limit = min(state.limit + 1.0 / state.limit, float(state.capacity))


def is_latency_jump(state: UpstreamState, elapsed_ms: float) -> bool:
    """Return whether the last answers took far longer than usual; update the mean."""
    if not state.mean_ms:
        state.mean_ms = elapsed_ms
        state.deviation_ms = elapsed_ms / 2.0
        return False
    bound_ms = max(
        SLOW_FACTOR * state.mean_ms,
        state.mean_ms + SLOW_DEVIATIONS * state.deviation_ms,
    )
    if elapsed_ms > bound_ms:
        state.slow_streak += 1
        return state.slow_streak >= MAX_SLOW_ANSWERS
    state.slow_streak = 0
    error_ms = elapsed_ms - state.mean_ms
    state.mean_ms += LATENCY_SMOOTHING * error_ms
    state.deviation_ms += LATENCY_SMOOTHING * (abs(error_ms) - state.deviation_ms)
    return False


def apply_refusal(
    state: UpstreamState, code: str, incarnation: str, now_ms: float
) -> bool:
    """Apply a refusal; return whether the upstream changed to cold."""
    number = compact_id(incarnation)
    restarted = bool(number) and state.incarnation not in (0, number)
    state.incarnation = number or state.incarnation
    if code == "cold" or restarted:
        return mark_cold(state, now_ms, cold_observed=True)
    if code == "busy":
        state.limit = max(MIN_LIMIT, state.limit * LIMIT_DECREASE)
    return False


def apply_report(state: UpstreamState, report: LoadReport) -> bool:
    """Apply a load report; return whether the condition changed.

    A report that is older than the latest evidence changes no condition.
    """
    if report.about_ms > state.reported_ms:
        state.reported_ms = report.about_ms
        state.reported_in_flight = report.in_flight
        state.reported_capacity = report.capacity
    if report.about_ms < state.evidence_ms:
        return False
    if report.condition is Condition.UNAVAILABLE:
        return apply_unavailable(state, report)
    restarted = state.incarnation not in (0, report.incarnation)
    state.incarnation = report.incarnation
    if report.condition is Condition.COLD or restarted:
        return apply_cold_report(state, report, restarted)
    return apply_warm_report(state, report)


def apply_unavailable(state: UpstreamState, report: LoadReport) -> bool:
    """Mark an upstream unavailable: it is leaving, or it no longer reports."""
    changed = state.condition is not Condition.UNAVAILABLE
    state.condition = Condition.UNAVAILABLE
    state.evidence_ms = report.about_ms
    return changed


def apply_cold_report(
    state: UpstreamState, report: LoadReport, restarted: bool
) -> bool:
    """Apply a report of a cold or a restarted upstream."""
    previous = state.condition
    if previous is Condition.COLD and not restarted:
        return False
    cold_observed = restarted or previous is Condition.WARM
    mark_cold(state, report.about_ms, cold_observed)
    return True


def apply_warm_report(state: UpstreamState, report: LoadReport) -> bool:
    """Apply a report of a warm upstream.

    An upstream that was observed to be cold stays cold until it has ramped up.
    """
    previous = state.condition
    if previous is Condition.WARM:
        state.evidence_ms = report.about_ms
        return False
    if not state.cold_observed:
        mark_warm(state, report.about_ms)
        return True
    state.condition = Condition.COLD
    return previous is not Condition.COLD
