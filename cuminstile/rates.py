"""Bet on how often a new version's calls are bad, given the old one's recent rate."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from .sequential import EXTRA_BAD_FRACTIONS, MAX_BAD_FRACTION, MIN_BAD_FRACTION

RECENT_MS = 10_000
PRIOR_CALLS = 50.0
MARGIN_DEVIATIONS = 1.0


@dataclass(frozen=True)
class Counted:
    """Hold the calls that had been counted at a time, and how many were bad."""

    at_ms: int = 0
    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0


@dataclass
class RateBets:
    """Hold the sums of log bets on one kind of badness.

    They gain nothing on average while the new version's calls are bad no more often
    than the old one's were in the last seconds. The known rate of many calls makes
    them quicker than bets on where a bad call went; but a rate that rises for both
    versions at once can mislead them.

    Parameters
    ----------
    prior_bad : float
        How many of `PRIOR_CALLS` calls are taken to be bad before any is counted.
    recent : deque of Counted
        What was counted before, for the last `RECENT_MS`.
    sums : list of float
        The sums of the log bets, in nats.
    """

    prior_bad: float = 0.5
    recent: deque[Counted] = field(default_factory=deque)
    last: Counted = Counted()
    sums: list[float] = field(default_factory=lambda: [0.0] * len(EXTRA_BAD_FRACTIONS))

    def take(
        self, at_ms: int, new: int, new_bad: int, old: int, old_bad: int
    ) -> list[float]:
        """Take in what has been counted in all by now; return the sums."""
        self.recent.append(self.last)
        present = Counted(at_ms, new, new_bad, old, old_bad)
        while len(self.recent) > 1 and self.recent[0].at_ms < at_ms - RECENT_MS:
            self.recent.popleft()
        usual = usual_rate(self.recent[0], present, self.prior_bad)
        bad = new_bad - self.last.new_bad
        good = new - self.last.new - bad
        for index, extra in enumerate(EXTRA_BAD_FRACTIONS):
            self.sums[index] += log_ratio(good, bad, usual, extra)
        self.last = present
        return list(self.sums)


def usual_rate(before: Counted, present: Counted, prior_bad: float) -> float:
    """Return the old version's fraction of bad calls, rather too high.

    The whole move's or the recent one, whichever is higher.
    """
    calls = present.old + PRIOR_CALLS
    bad = present.old_bad + prior_bad
    recent_calls = present.old - before.old + PRIOR_CALLS
    recent_bad = present.old_bad - before.old_bad + PRIOR_CALLS * bad / calls
    whole = high_rate(bad, calls)
    recent = high_rate(recent_bad, recent_calls)
    return min(MAX_BAD_FRACTION, max(MIN_BAD_FRACTION, whole, recent))


def high_rate(bad: float, calls: float) -> float:
    """Return a fraction with a margin, since it is known from these calls alone."""
    return (bad + MARGIN_DEVIATIONS * math.sqrt(bad)) / calls


def log_ratio(good: int, bad: int, usual: float, extra: float) -> float:
    """Return by how much an extra fraction of bad calls explains the calls better."""
    worse = usual + (1.0 - usual) * extra
    return bad * math.log(worse / usual) + good * math.log((1 - worse) / (1 - usual))
