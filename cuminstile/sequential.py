"""Sequential test of whether a new version is worse, valid at any time.

Calls are routed to the new version at random, with a known probability. If the versions
are alike, whether a call was bad is independent of the version it was routed to,
whatever else changes over time or differs between data centres. The test bets against
this null hypothesis (testing by betting).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

EXTRA_BAD_FRACTIONS = (0.1, 0.5)
MIN_BAD_FRACTION = 0.005
MAX_BAD_FRACTION = 0.5
MEMORY_CALLS = 500
PRIOR_LATE_CALLS = 2.5
START_STAKE, STEPS_STAKE, WINDOWS_STAKE, LATER_STAKE = 0.3, 0.5, 0.15, 0.05


@dataclass
class BadFraction:
    """Decaying average of the fraction of bad calls of the old version."""

    calls: float = 50.0
    bad: float = 0.5

    def add(self, is_bad: bool) -> None:
        """Count one call; the weight of older calls decays exponentially."""
        decay = 1.0 - 1.0 / MEMORY_CALLS
        self.calls = self.calls * decay + 1.0
        self.bad = self.bad * decay + float(is_bad)

    def value(self) -> float:
        """Return the fraction, clamped to the bounds of the test."""
        return min(MAX_BAD_FRACTION, max(MIN_BAD_FRACTION, self.bad / self.calls))


def log_bets(
    is_new: bool, is_bad: bool, share: float, old_bad: float
) -> tuple[float, ...]:
    """Return the logarithm of the payoff of each bet on one call, in nats.

    Each bet assumes one extra fraction of bad calls. The mean payoff is 1 while the
    versions are alike.

    Parameters
    ----------
    share : float
        The probability, 0 to 1, with which the call was routed to the new version.
    old_bad : float
        The old version's fraction of bad calls as known before this call.
    """
    return tuple(
        log_bet(is_new, is_bad, share, old_bad, old_bad + (1.0 - old_bad) * extra)
        for extra in EXTRA_BAD_FRACTIONS
    )


def log_bet(
    is_new: bool, is_bad: bool, share: float, old_bad: float, new_bad: float
) -> float:
    """Return the logarithm of the payoff of one bet."""
    new_likelihood = new_bad if is_bad else 1.0 - new_bad
    old_likelihood = old_bad if is_bad else 1.0 - old_bad
    average = share * new_likelihood + (1.0 - share) * old_likelihood
    return math.log((new_likelihood if is_new else old_likelihood) / average)


@dataclass
class Detector:
    """Gains of bets, mixed over all times at which a version may have become bad.

    Fractions of the stake are bet on "the version is bad from now on": at the start, at
    each growth of the share, and in each time window. They add up to at most one. So
    the gains on a good version reach `1 / p` with a probability of at most `p`, however
    often they are checked.

    Parameters
    ----------
    windows, steps : int
        The planned numbers of time windows and of growths of the share.
    log_gains : list of float
        For each bet, the logarithm of its current value.
    last_sums : list of float
        The sums of log bets that were applied last.
    window, step : int
        The last window and step at which a fraction was staked.
    """

    windows: int
    steps: int
    log_gains: list[float] = field(default_factory=list)
    last_sums: list[float] = field(default_factory=list)
    window: int = -1
    step: int = 0

    def update(self, sums: Sequence[float], window: int, step: int) -> float:
        """Apply the current sums of log bets and return the logarithm of the gain."""
        if not self.last_sums:
            self.log_gains = [-math.inf] * len(sums)
            self.last_sums = [0.0] * len(sums)
        stake = self.stake_at(window, step)
        if stake:
            self.log_gains = [
                add_logs(gain, math.log(stake)) for gain in self.log_gains
            ]
        self.window = max(window, self.window)
        self.step = max(step, self.step)
        for index, total in enumerate(sums):
            self.log_gains[index] += total - self.last_sums[index]
            self.last_sums[index] = total
        return self.log_gain()

    def stake_at(self, window: int, step: int) -> float:
        """Return the fraction of the stake to bet now."""
        if self.window < 0:
            return START_STAKE
        stake = STEPS_STAKE / self.steps * max(0, step - self.step)
        if window <= self.window:
            return stake
        extra_windows = window - self.windows + 1
        if extra_windows <= 0:
            return stake + WINDOWS_STAKE / self.windows
        return stake + LATER_STAKE / (extra_windows * (extra_windows + 1.0))

    def log_gain(self) -> float:
        """Return the logarithm of the mean gain of the bets."""
        return sum_logs(self.log_gains) - math.log(len(self.log_gains))


def add_logs(one: float, other: float) -> float:
    """Return `log(exp(one) + exp(other))`."""
    high, low = max(one, other), min(one, other)
    if low == -math.inf:
        return high
    return high + math.log1p(math.exp(low - high))


def sum_logs(values: Iterable[float]) -> float:
    """Return the logarithm of the sum of the values' exponentials."""
    total = -math.inf
    for value in values:
        total = add_logs(total, value)
    return total
