"""Judge from the evidence of all VMs whether a new version is worse."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from .evidence import LOG_UNITS_PER_NAT, Evidence, add
from .rates import RateBets
from .sequential import PRIOR_LATE_CALLS, Detector, sum_logs

ALL_ROUTES = 0
FALSE_TAKE_BACK_LIMIT = 0.005
CONFIRMED_LIMIT = 0.1
RATE_TEST_LIMIT = 0.02
ALL_ROUTES_STAKE = 0.7
DETECTOR_WINDOW_MS = 5_000
PAUSE_GROWTH_RATIO = 0.5
MIN_BAD_CALLS = 3
CRITICAL_Z = 2.58
MIN_CALLS = 5


@dataclass(frozen=True)
class Judgement:
    """Result of a test of the evidence.

    Parameters
    ----------
    route : int
        The route with the most evidence against the new version; `ALL_ROUTES` for all
        of them together.
    evidence_ratio : float
        The evidence against the new version, as a fraction of what is needed to take
        the move back.
    """

    route: int = ALL_ROUTES
    evidence_ratio: float = 0.0

    @property
    def is_bad(self) -> bool:
        """Return whether the move to the new version is to be taken back."""
        return self.evidence_ratio >= 1.0

    @property
    def is_growth_paused(self) -> bool:
        """Return whether the new version's share must not grow for now."""
        return self.evidence_ratio >= PAUSE_GROWTH_RATIO


@dataclass(frozen=True)
class MoveProgress:
    """Progress of a move in time and steps.

    Parameters
    ----------
    step, steps : int
        The index of the current share, and that of the last one.
    """

    elapsed_ms: int
    duration_ms: int
    step: int
    steps: int


@dataclass
class RouteTests:
    """Both sequential tests for one route, or for all routes together.

    Parameters
    ----------
    assigned : Detector
        Gains of the bets on which version bad calls were routed to.
    rates : Detector
        Gains of the bets on the new version's rate of bad calls.
    failed, late : RateBets
        The rate bets on failures and on lateness.
    """

    assigned: Detector
    rates: Detector
    failed: RateBets = field(default_factory=RateBets)
    late: RateBets = field(default_factory=lambda: RateBets(PRIOR_LATE_CALLS))

    def update(self, counted: Evidence, progress: MoveProgress) -> Gains:
        """Apply the current evidence and return what the bets have gained."""
        window = progress.elapsed_ms // DETECTOR_WINDOW_MS
        assigned = [value / LOG_UNITS_PER_NAT for value in counted.log_bets]
        rates = self.rate_sums(counted, progress.elapsed_ms)
        return Gains(
            self.assigned.update(assigned, window, progress.step),
            self.rates.update(rates, window, progress.step),
        )

    def rate_sums(self, counted: Evidence, at_ms: int) -> list[float]:
        """Return the sums of the log bets on the rates of failures and lateness."""
        old_total = counted.total - counted.new_total
        failed = self.failed.update(
            at_ms, counted.new_total, counted.new_failed, old_total, counted.old_failed
        )
        late = self.late.update(
            at_ms,
            counted.new_total - counted.new_failed,
            counted.new_late,
            old_total - counted.old_failed,
            counted.old_late,
        )
        return failed + late


@dataclass(frozen=True)
class Gains:
    """Logarithms of what the bets of both tests have gained."""

    assigned: float
    rates: float

    def with_stake(self, stake: float) -> Gains:
        """Return the gains if only this fraction of the stake was bet."""
        return Gains(self.assigned + math.log(stake), self.rates + math.log(stake))

    def evidence_ratio(self) -> float:
        """Return the evidence as a fraction of what is needed.

        The test of where bad calls were routed is sufficient by itself. A lower limit
        is sufficient for it if the test of the new version's rate confirms it.
        """
        full = -math.log(FALSE_TAKE_BACK_LIMIT)
        lower = -math.log(CONFIRMED_LIMIT)
        confirmed = min(self.assigned / lower, self.rates / -math.log(RATE_TEST_LIMIT))
        return max(self.assigned / full, confirmed)


@dataclass
class MoveTests:
    """Sequential tests of one move, by route."""

    by_route: dict[int, RouteTests] = field(default_factory=dict)

    def for_route(self, route: int, progress: MoveProgress) -> RouteTests:
        """Return the tests of a route; create them if they are missing."""
        windows = max(1, math.ceil(progress.duration_ms / DETECTOR_WINDOW_MS))
        return self.by_route.setdefault(
            route,
            RouteTests(
                Detector(windows, progress.steps), Detector(windows, progress.steps)
            ),
        )


Judge = Callable[[Mapping[int, Evidence], MoveTests, MoveProgress], Judgement]


def by_bets(
    evidence: Mapping[int, Evidence], move_tests: MoveTests, progress: MoveProgress
) -> Judgement:
    """Judge by bets on each route and on all routes together.

    The stake is divided between the test of all routes together and the tests of each.
    """
    every = with_total(evidence)
    if not every:
        return Judgement()
    gains = {
        route: move_tests.for_route(route, progress)
        .update(counted, progress)
        .with_stake(stake_of(route, len(every)))
        for route, counted in every.items()
    }
    worst = max(gains, key=lambda route: gains[route].evidence_ratio())
    evidence_ratio = Gains(
        sum_logs(gain.assigned for gain in gains.values()),
        sum_logs(gain.rates for gain in gains.values()),
    ).evidence_ratio()
    counted = every[worst]
    if counted.new_failed + counted.new_late < MIN_BAD_CALLS:
        # One bad call among few calls may be chance: pause the growth, but don't take
        # the move back.
        return Judgement(worst, min(evidence_ratio, PAUSE_GROWTH_RATIO))
    return Judgement(worst, evidence_ratio)


def stake_of(route: int, tests: int) -> float:
    """Return the fraction of the stake for a route."""
    if tests == 1:
        return 1.0
    if route == ALL_ROUTES:
        return ALL_ROUTES_STAKE
    return (1.0 - ALL_ROUTES_STAKE) / (tests - 1)


def by_confidence_bounds(
    evidence: Mapping[int, Evidence], move_tests: MoveTests, progress: MoveProgress
) -> Judgement:
    """Judge by always-valid bounds on both versions' fractions of bad calls.

    Compares the counts of the whole move, so it does not account for changes over time
    that affect both versions.
    """
    every = with_total(evidence)
    level = FALSE_TAKE_BACK_LIMIT / max(1, 2 * len(every))
    for route, counted in every.items():
        new_bad = counted.new_failed + counted.new_late
        old_bad = counted.old_failed + counted.old_late
        new_low = confidence_bound(new_bad, counted.new_total, level, is_lower=True)
        old_total = counted.total - counted.new_total
        if new_low > confidence_bound(old_bad, old_total, level, is_lower=False):
            return Judgement(route, 1.0)
    return Judgement()


def confidence_bound(bad: int, total: int, level: float, is_lower: bool) -> float:
    """Return a bound on a fraction that is valid at all times.

    It holds with a probability of `1 - level`. It is computed by bisection from the
    mixture of the likelihoods of all fractions.
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
    evidence: Mapping[int, Evidence], move_tests: MoveTests, progress: MoveProgress
) -> Judgement:
    """Judge by a fixed-sample z-test, repeated on every call; a baseline policy."""
    for route, counted in with_total(evidence).items():
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


def never_bad(
    evidence: Mapping[int, Evidence], move_tests: MoveTests, progress: MoveProgress
) -> Judgement:
    """Never judge a version as bad; a baseline policy."""
    return Judgement()


def with_total(evidence: Mapping[int, Evidence]) -> dict[int, Evidence]:
    """Return the evidence by route, with the sum if there are several routes."""
    every = dict(evidence)
    if len(every) > 1:
        total = Evidence()
        for counted in evidence.values():
            total = add(total, counted)
        every[ALL_ROUTES] = total
    return every
