"""Judge from answers, refusals and load reports how much an upstream bears."""

from dataclasses import dataclass

from .ranking import compact_id
from .table import Condition, UpstreamState

SMOOTHING = 0.1
SLOW_FACTOR = 3.0
SLOW_DEVIATIONS = 8.0
SLOW_ANSWERS = 2
LIMIT_DECREASE = 0.7
MIN_LIMIT = 1.0


@dataclass(frozen=True)
class LoadReport:
    """Hold what an upstream says about its load.

    Parameters
    ----------
    about_ms : float
        Monotonic time of this VM that the report is about.
    process : str
        The incarnation as the upstream names it.
    versions : frozenset of str
        What it has loaded; empty if it doesn't tell.
    """

    incarnation: int
    condition: Condition
    in_flight: int
    capacity: int
    about_ms: float
    process: str = ""
    versions: frozenset[str] = frozenset()


def mark_cold(state: UpstreamState, about_ms: float, cold_observed: bool) -> bool:
    """Take an upstream as cold; return whether it was not."""
    turned = state.condition is not Condition.COLD
    state.condition = Condition.COLD
    state.evidence_ms = max(state.evidence_ms, about_ms)
    state.cold_observed = state.cold_observed or cold_observed
    state.ramp_limit = float(state.upstream.cold_capacity)
    state.slow_streak = 0
    state.mean_ms = 0.0
    return turned


def mark_warm(state: UpstreamState, about_ms: float) -> None:
    """Take an upstream as warm."""
    state.condition = Condition.WARM
    state.evidence_ms = max(state.evidence_ms, about_ms)
    state.cold_observed = False
    state.limit = float(state.capacity)


def take_good_answer(
    state: UpstreamState, said: str, incarnation: str, started_ms: float, now_ms: float
) -> bool:
    """Take the evidence of one good answer; return whether it turned cold.

    Parameters
    ----------
    said : str
        `cold` or `warm`, as the upstream says of itself.
    started_ms : float
        When the call was started.
    """
    number = compact_id(incarnation)
    renewed = state.incarnation not in (0, number)
    state.incarnation = number
    state.failures = 0
    state.ejections = 0
    if said == "cold" or (renewed and said != "warm"):
        return mark_cold(state, now_ms, cold_observed=True)
    if renewed:
        return mark_cold(state, started_ms, cold_observed=True)
    if jumped(state, now_ms - started_ms):
        return mark_cold(state, now_ms, cold_observed=True)
    if said == "warm" and started_ms >= state.evidence_ms:
        raise_limits(state)
    return False


def raise_limits(state: UpstreamState) -> None:
    """Allow more calls after a good answer of a warm upstream."""
    if state.condition is Condition.COLD:
        state.ramp_limit = min(state.ramp_limit + 1.0, float(state.capacity))
        return
    state.limit = min(state.limit + 1.0 / state.limit, float(state.capacity))


def jumped(state: UpstreamState, elapsed_ms: float) -> bool:
    """Return whether answers suddenly take far longer than usual."""
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
        return state.slow_streak >= SLOW_ANSWERS
    state.slow_streak = 0
    error_ms = elapsed_ms - state.mean_ms
    state.mean_ms += SMOOTHING * error_ms
    state.deviation_ms += SMOOTHING * (abs(error_ms) - state.deviation_ms)
    return False


def take_refusal(
    state: UpstreamState, code: str, incarnation: str, now_ms: float
) -> bool:
    """Take a refusal; return whether the upstream turned cold by it."""
    number = compact_id(incarnation)
    renewed = bool(number) and state.incarnation not in (0, number)
    state.incarnation = number or state.incarnation
    if code == "cold" or renewed:
        return mark_cold(state, now_ms, cold_observed=True)
    if code == "busy":
        state.limit = max(MIN_LIMIT, state.limit * LIMIT_DECREASE)
    return False


def take_report(state: UpstreamState, report: LoadReport) -> bool:
    """Take a load report; return whether the condition changed.

    A report about a moment before the present evidence changes no condition.
    """
    if report.about_ms > state.reported_ms:
        state.reported_ms = report.about_ms
        state.reported_in_flight = report.in_flight
        state.reported_capacity = report.capacity
    if report.about_ms < state.evidence_ms:
        return False
    if report.condition is Condition.UNAVAILABLE:
        return take_away(state, report)
    renewed = state.incarnation not in (0, report.incarnation)
    state.incarnation = report.incarnation
    if report.condition is Condition.COLD or renewed:
        return take_cold_report(state, report, renewed)
    return apply_warm_report(state, report)


def take_away(state: UpstreamState, report: LoadReport) -> bool:
    """Take a report that the upstream leaves or that there is none any more."""
    changed = state.condition is not Condition.UNAVAILABLE
    state.condition = Condition.UNAVAILABLE
    state.evidence_ms = report.about_ms
    return changed


def take_cold_report(state: UpstreamState, report: LoadReport, renewed: bool) -> bool:
    """Take a report of a cold or a renewed upstream."""
    before = state.condition
    if before is Condition.COLD and not renewed:
        return False
    cold_observed = renewed or before is Condition.WARM
    mark_cold(state, report.about_ms, cold_observed)
    return True


def apply_warm_report(state: UpstreamState, report: LoadReport) -> bool:
    """Take a report of a warm upstream; what was shown cold has to be ramped up."""
    before = state.condition
    if before is Condition.WARM:
        state.evidence_ms = report.about_ms
        return False
    if not state.cold_observed:
        mark_warm(state, report.about_ms)
        return True
    state.condition = Condition.COLD
    return before is not Condition.COLD
