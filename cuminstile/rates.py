"""Bets on a new version's rate of bad calls, given the old one's recent rate."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from .sequential import EXTRA_BAD_FRACTIONS, MAX_BAD_FRACTION, MIN_BAD_FRACTION

RECENT_MS = 10_000
PRIOR_CALLS = 50.0
MARGIN_DEVIATIONS = 1.0


@dataclass(frozen=True)
class CallCounts:
    """Numbers of counted calls and of bad ones at a time of the move."""

    at_ms: int = 0
    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0


@dataclass
class RateBets:
    """Sums of log bets on the rate of one kind of bad call.

    They gain nothing on average while the new version's rate is not higher than the old
    version's in the last seconds. Since the rate is known from many calls, they detect
    a bad version faster than bets on which version a bad call was routed to. But a rate
    that rises for both versions at once can mislead them.

    Parameters
    ----------
    prior_bad : float
        Prior number of bad calls among `PRIOR_CALLS` calls.
    recent : deque of CallCounts
        Earlier counts, for the last `RECENT_MS`.
    last : CallCounts
        The latest counts.
    sums : list of float
        The sums of the log bets, in nats.
    """

    prior_bad: float = 0.5
    recent: deque[CallCounts] = field(default_factory=deque)
    last: CallCounts = CallCounts()
    sums: list[float] = field(default_factory=lambda: [0.0] * len(EXTRA_BAD_FRACTIONS))

    def update(
        self, at_ms: int, new: int, new_bad: int, old: int, old_bad: int
    ) -> list[float]:
        """Apply the total counts at `at_ms` and return the sums."""
        self.recent.append(self.last)
        present = CallCounts(at_ms, new, new_bad, old, old_bad)
        while len(self.recent) > 1 and self.recent[0].at_ms < at_ms - RECENT_MS:
            self.recent.popleft()
        baseline = baseline_rate(self.recent[0], present, self.prior_bad)
        bad = new_bad - self.last.new_bad
        good = new - self.last.new - bad
        for index, extra in enumerate(EXTRA_BAD_FRACTIONS):
            self.sums[index] += log_ratio(good, bad, baseline, extra)
        self.last = present
        return list(self.sums)


def baseline_rate(before: CallCounts, present: CallCounts, prior_bad: float) -> float:
    """Return an upper estimate of the old version's fraction of bad calls.

    This is the fraction of the whole move or the recent one, whichever is higher.
    """
    calls = present.old + PRIOR_CALLS
    bad = present.old_bad + prior_bad
    recent_calls = present.old - before.old + PRIOR_CALLS
    recent_bad = present.old_bad - before.old_bad + PRIOR_CALLS * bad / calls
    whole = upper_rate(bad, calls)
    recent = upper_rate(recent_bad, recent_calls)
    return min(MAX_BAD_FRACTION, max(MIN_BAD_FRACTION, whole, recent))


def upper_rate(bad: float, calls: float) -> float:
    """Return a fraction plus a margin for its uncertainty."""
    return (bad + MARGIN_DEVIATIONS * math.sqrt(bad)) / calls


def log_ratio(good: int, bad: int, baseline: float, extra: float) -> float:
    """Return the log likelihood ratio of an extra fraction of bad calls, in nats."""
    worse = baseline + (1.0 - baseline) * extra
    return bad * math.log(worse / baseline) + good * math.log(
        (1 - worse) / (1 - baseline)
    )
