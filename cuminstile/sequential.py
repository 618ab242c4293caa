"""Test, at any time, whether a new version is worse than the old one.

Calls go to the new version at random, by a known share. If the versions are alike,
whether a call was bad tells nothing about where it went, whatever else changes over
time or differs between data centres. The test bets against that.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

EXTRA_BAD_FRACTIONS = (0.1, 0.5)
MIN_BAD_FRACTION = 0.005
MAX_BAD_FRACTION = 0.5
MEMORY_CALLS = 500
PRIOR_LATE = 2.5
START_STAKE, STEPS_STAKE, WINDOWS_STAKE, LATER_STAKE = 0.3, 0.5, 0.15, 0.05


@dataclass
class BadFraction:
    """Hold the fraction of the old version's recent calls that were bad."""

    calls: float = 50.0
    bad: float = 0.5

    def add(self, is_bad: bool) -> None:
        """Count one call; older ones weigh less and less."""
        keep = 1.0 - 1.0 / MEMORY_CALLS
        self.calls = self.calls * keep + 1.0
        self.bad = self.bad * keep + float(is_bad)

    def value(self) -> float:
        """Return the fraction, within the bounds that the test works with."""
        return min(MAX_BAD_FRACTION, max(MIN_BAD_FRACTION, self.bad / self.calls))


def log_bets(
    is_new: bool, is_bad: bool, share: float, old_bad: float
) -> tuple[float, ...]:
    """Return the logarithm of what each bet on one call pays, in nats.

    Each bet assumes one extra fraction of bad calls; on average none of them gains
    while the versions are alike.

    Parameters
    ----------
    share : float
        The probability, 0 to 1, with which the call went to the new version.
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
    """Return the logarithm of what one bet pays."""
    like_new = new_bad if is_bad else 1.0 - new_bad
    like_old = old_bad if is_bad else 1.0 - old_bad
    average = share * like_new + (1.0 - share) * like_old
    return math.log((like_new if is_new else like_old) / average)


@dataclass
class Detector:
    """Hold what bets have gained, over all moments at which badness may begin.

    Parts of the stake are put on "the version is bad from now on": at the start, at
    each growth of the share, and in each window of time. The sum of all parts is at
    most one, so that a good version's gains reach `1 / p` with a probability of at
    most `p`, however often one looks.

    Parameters
    ----------
    windows, steps : int
        The numbers of planned windows and of growths.
    log_gains : list of float
        For each bet the logarithm of what it holds.
    seen : list of float
        The sums of bets that have been taken into account.
    window, step : int
        The last window and step at which something was staked.
    """

    windows: int
    steps: int
    log_gains: list[float] = field(default_factory=list)
    seen: list[float] = field(default_factory=list)
    window: int = -1
    step: int = 0

    def take(self, sums: Sequence[float], window: int, step: int) -> float:
        """Take in the present sums of log bets; return the gain's logarithm."""
        if not self.seen:
            self.log_gains = [-math.inf] * len(sums)
            self.seen = [0.0] * len(sums)
        part = self.part_of(window, step)
        if part:
            self.log_gains = [add_logs(gain, math.log(part)) for gain in self.log_gains]
        self.window = max(window, self.window)
        self.step = max(step, self.step)
        for index, total in enumerate(sums):
            self.log_gains[index] += total - self.seen[index]
            self.seen[index] = total
        return self.log_gain()

    def part_of(self, window: int, step: int) -> float:
        """Return the part of the stake that is for badness from now on."""
        if self.window < 0:
            return START_STAKE
        part = STEPS_STAKE / self.steps * max(0, step - self.step)
        if window <= self.window:
            return part
        late = window - self.windows + 1
        if late <= 0:
            return part + WINDOWS_STAKE / self.windows
        return part + LATER_STAKE / (late * (late + 1.0))

    def log_gain(self) -> float:
        """Return the logarithm of the average over the bets."""
        return sum_logs(self.log_gains) - math.log(len(self.log_gains))


def add_logs(one: float, other: float) -> float:
    """Return `log(exp(one) + exp(other))`."""
    high, low = max(one, other), min(one, other)
    if low == -math.inf:
        return high
    return high + math.log1p(math.exp(low - high))


def sum_logs(values: Iterable[float]) -> float:
    """Return the logarithm of the sum of what the values are logarithms of."""
    total = -math.inf
    for value in values:
        total = add_logs(total, value)
    return total
