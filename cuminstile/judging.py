"""Judge from the evidence of all VMs whether a new version is worse."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from .evidence import LOG_UNITS_PER_NAT, Evidence, add
from .sequential import Detector

ALL_ROUTES = 0
FALSE_TAKE_BACK_LIMIT = 0.01
DETECTOR_WINDOW_MS = 5_000
HELD_FRACTION = 0.5
LEAST_BAD_CALLS = 3
CRITICAL_Z = 2.58
MIN_CALLS = 5


@dataclass(frozen=True)
class Judgement:
    """Hold what the evidence says at a moment.

    Parameters
    ----------
    route : int
        The route that looks worst; `ALL_ROUTES` for all together.
    strength : float
        The evidence against the new version, as a fraction of what is enough.
    """

    route: int = ALL_ROUTES
    strength: float = 0.0

    @property
    def is_bad(self) -> bool:
        """Return whether the new version is to be taken back."""
        return self.strength >= 1.0

    @property
    def is_held(self) -> bool:
        """Return whether the share may not grow for now."""
        return self.strength >= HELD_FRACTION


@dataclass
class Suspicion:
    """Hold the detectors of one move by route."""

    detectors: dict[int, Detector] = field(default_factory=dict)


Judge = Callable[[Mapping[int, Evidence], Suspicion, int, int], Judgement]


def by_bets(
    evidence: Mapping[int, Evidence],
    suspicion: Suspicion,
    elapsed_ms: int,
    duration_ms: int,
) -> Judgement:
    """Judge by the bets on each route and on all of them together.

    The limit on false take-backs is divided: one half is for all routes together,
    the rest for each of them alike.
    """
    window = elapsed_ms // DETECTOR_WINDOW_MS
    windows = max(1, math.ceil(duration_ms / DETECTOR_WINDOW_MS))
    gains: dict[int, float] = {}
    for route, counted in with_all(evidence).items():
        detector = suspicion.detectors.setdefault(route, Detector(windows))
        sums = [value / LOG_UNITS_PER_NAT for value in counted.log_bets]
        gains[route] = detector.take(sums, window)
    if not gains:
        return Judgement()
    strengths = {
        route: gain / math.log(parts_of(route, len(gains)) / FALSE_TAKE_BACK_LIMIT)
        for route, gain in gains.items()
    }
    worst = max(strengths, key=lambda route: strengths[route])
    counted = with_all(evidence)[worst]
    if counted.new_failed + counted.new_late < LEAST_BAD_CALLS:
        # One bad call and few calls by chance are no verdict, but a reason to wait.
        return Judgement(worst, min(strengths[worst], HELD_FRACTION))
    return Judgement(worst, strengths[worst])


def parts_of(route: int, tests: int) -> int:
    """Return which part of the limit a route's test has: one in so many."""
    if tests == 1:
        return 1
    return 2 if route == ALL_ROUTES else 2 * (tests - 1)


def by_confidence_bounds(
    evidence: Mapping[int, Evidence],
    suspicion: Suspicion,
    elapsed_ms: int,
    duration_ms: int,
) -> Judgement:
    """Judge by always-valid bounds on both versions' fractions of bad calls.

    The counts of the whole move are compared; what changes over time for both
    versions is not told apart.
    """
    every = with_all(evidence)
    level = FALSE_TAKE_BACK_LIMIT / max(1, 2 * len(every))
    for route, counted in every.items():
        new_bad = counted.new_failed + counted.new_late
        old_bad = counted.old_failed + counted.old_late
        new_low = bound(new_bad, counted.new_total, level, is_lower=True)
        old_total = counted.total - counted.new_total
        if new_low > bound(old_bad, old_total, level, is_lower=False):
            return Judgement(route, 1.0)
    return Judgement()


def bound(bad: int, total: int, level: float, is_lower: bool) -> float:
    """Return a bound on a fraction that holds at all times with `1 - level`.

    From the mixture of likelihoods over all fractions, by bisection.
    """
    if not total:
        return 0.0 if is_lower else 1.0
    mixture = math.lgamma(bad + 1) + math.lgamma(total - bad + 1)
    mixture -= math.lgamma(total + 2)
    centre = (bad + 0.5) / (total + 1.0)
    inside, outside = centre, (0.0 if is_lower else 1.0)
    for _ in range(30):
        middle = (inside + outside) / 2.0
        likelihood = bad * math.log(middle) + (total - bad) * math.log1p(-middle)
        if mixture - likelihood < -math.log(level):
            inside = middle
        else:
            outside = middle
    return outside


def by_repeated_z_test(
    evidence: Mapping[int, Evidence],
    suspicion: Suspicion,
    elapsed_ms: int,
    duration_ms: int,
) -> Judgement:
    """Judge by a test for one look, looked at again and again: a baseline."""
    for route, counted in with_all(evidence).items():
        new, old = counted.new_total, counted.total - counted.new_total
        if min(new, old) < MIN_CALLS:
            continue
        new_bad = counted.new_failed + counted.new_late
        old_bad = counted.old_failed + counted.old_late
        pooled = (new_bad + old_bad) / (new + old)
        deviation = math.sqrt(pooled * (1.0 - pooled) * (1.0 / new + 1.0 / old))
        if deviation and (new_bad / new - old_bad / old) / deviation > CRITICAL_Z:
            return Judgement(route, 1.0)
    return Judgement()


def never(
    evidence: Mapping[int, Evidence],
    suspicion: Suspicion,
    elapsed_ms: int,
    duration_ms: int,
) -> Judgement:
    """Find nothing wrong, whatever the evidence: a baseline."""
    return Judgement()


def with_all(evidence: Mapping[int, Evidence]) -> dict[int, Evidence]:
    """Return the evidence by route, and of several routes also the sum."""
    every = dict(evidence)
    if len(every) > 1:
        total = Evidence()
        for counted in evidence.values():
            total = add(total, counted)
        every[ALL_ROUTES] = total
    return every
