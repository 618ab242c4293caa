"""Judge from the evidence of all VMs whether a new version is worse."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from .evidence import LOG_UNITS_PER_NAT, Evidence, add
from .rates import RateBets
from .sequential import PRIOR_LATE, Detector, sum_logs

ALL_ROUTES = 0
FALSE_TAKE_BACK_LIMIT = 0.005
CONFIRMED_LIMIT = 0.1
RATE_LIMIT = 0.02
ALL_ROUTES_PART = 0.7
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
    def is_growth_paused(self) -> bool:
        """Return whether the share may not grow for now."""
        return self.strength >= HELD_FRACTION


@dataclass(frozen=True)
class Progress:
    """Tell how far a move is.

    Parameters
    ----------
    step, steps : int
        The index of the present share, and that of the last one.
    """

    elapsed_ms: int
    duration_ms: int
    step: int
    steps: int


@dataclass
class RouteSuspicion:
    """Hold what both tests have gained on one route, or on all together.

    Parameters
    ----------
    assigned : Detector
        Gains of the bets on where bad calls went.
    rates : Detector
        Gains of the bets on how often the new version's calls are bad.
    """

    assigned: Detector
    rates: Detector
    failed: RateBets = field(default_factory=RateBets)
    late: RateBets = field(default_factory=lambda: RateBets(PRIOR_LATE))

    def take(self, counted: Evidence, progress: Progress) -> Gains:
        """Take in the evidence; return what the bets have gained."""
        window = progress.elapsed_ms // DETECTOR_WINDOW_MS
        assigned = [value / LOG_UNITS_PER_NAT for value in counted.log_bets]
        rates = self.rate_sums(counted, progress.elapsed_ms)
        return Gains(
            self.assigned.take(assigned, window, progress.step),
            self.rates.take(rates, window, progress.step),
        )

    def rate_sums(self, counted: Evidence, at_ms: int) -> list[float]:
        """Return the sums of the log bets on failures and on lateness."""
        old_total = counted.total - counted.new_total
        failed = self.failed.take(
            at_ms, counted.new_total, counted.new_failed, old_total, counted.old_failed
        )
        late = self.late.take(
            at_ms,
            counted.new_total - counted.new_failed,
            counted.new_late,
            old_total - counted.old_failed,
            counted.old_late,
        )
        return failed + late


@dataclass(frozen=True)
class Gains:
    """Hold the logarithms of what the bets of both tests have gained."""

    assigned: float
    rates: float

    def weighed(self, part: float) -> Gains:
        """Return the gains of a part of the stake."""
        return Gains(self.assigned + math.log(part), self.rates + math.log(part))

    def strength(self) -> float:
        """Return the evidence as a fraction of what is enough.

        Where bad calls went is enough by itself. It is also enough at a lower limit
        if the new version's rate says the same.
        """
        full = -math.log(FALSE_TAKE_BACK_LIMIT)
        lower = -math.log(CONFIRMED_LIMIT)
        confirmed = min(self.assigned / lower, self.rates / -math.log(RATE_LIMIT))
        return max(self.assigned / full, confirmed)


@dataclass
class Suspicion:
    """Hold what the tests of one move have gained, by route."""

    by_route: dict[int, RouteSuspicion] = field(default_factory=dict)

    def of(self, route: int, progress: Progress) -> RouteSuspicion:
        """Return what is held of a route."""
        windows = max(1, math.ceil(progress.duration_ms / DETECTOR_WINDOW_MS))
        return self.by_route.setdefault(
            route,
            RouteSuspicion(
                Detector(windows, progress.steps), Detector(windows, progress.steps)
            ),
        )


Judge = Callable[[Mapping[int, Evidence], Suspicion, Progress], Judgement]


def by_bets(
    evidence: Mapping[int, Evidence], suspicion: Suspicion, progress: Progress
) -> Judgement:
    """Judge by the bets on each route and on all of them together.

    The stake is divided between all routes together and each of them.
    """
    every = with_all(evidence)
    if not every:
        return Judgement()
    gains = {
        route: suspicion.of(route, progress)
        .take(counted, progress)
        .weighed(part_of(route, len(every)))
        for route, counted in every.items()
    }
    worst = max(gains, key=lambda route: gains[route].strength())
    strength = Gains(
        sum_logs(gain.assigned for gain in gains.values()),
        sum_logs(gain.rates for gain in gains.values()),
    ).strength()
    counted = every[worst]
    if counted.new_failed + counted.new_late < LEAST_BAD_CALLS:
        # One bad call and few calls by chance are no verdict, but a reason to wait.
        return Judgement(worst, min(strength, HELD_FRACTION))
    return Judgement(worst, strength)


def part_of(route: int, tests: int) -> float:
    """Return which part of the stake is for a route."""
    if tests == 1:
        return 1.0
    if route == ALL_ROUTES:
        return ALL_ROUTES_PART
    return (1.0 - ALL_ROUTES_PART) / (tests - 1)


def by_confidence_bounds(
    evidence: Mapping[int, Evidence], suspicion: Suspicion, progress: Progress
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
    evidence: Mapping[int, Evidence], suspicion: Suspicion, progress: Progress
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


def never_bad(
    evidence: Mapping[int, Evidence], suspicion: Suspicion, progress: Progress
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
