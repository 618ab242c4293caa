"""Test cuminstile.rates."""

import math
import random
import statistics

import pytest

from cuminstile.rates import RateBets

TICK_MS = 250


def run(new_bad: float, old_bad: float, seed: int, calls: int = 400) -> list[float]:
    """Return the sums after `calls` calls of each version, one per tick."""
    rng = random.Random(seed)
    bets = RateBets()
    bad = {True: 0, False: 0}
    sums: list[float] = []
    for index in range(1, calls + 1):
        bad[True] += rng.random() < new_bad
        bad[False] += rng.random() < old_bad
        sums = bets.update(index * TICK_MS, index, bad[True], index, bad[False])
    return sums


@pytest.mark.parametrize("fraction", [0.01, 0.05, 0.2])
def test_rate_bets_gain_nothing_from_a_version_as_good_as_the_old_one(
    fraction: float,
) -> None:
    ends = [max(run(fraction, fraction, seed)) for seed in range(200)]
    # At most 1 in 20 may gain a factor of 20; 3 standard deviations more are allowed.
    gained = sum(end >= math.log(20.0) for end in ends)
    assert gained <= 200 / 20 + 3 * math.sqrt(200 / 20)
    assert statistics.median(ends) < 0


@pytest.mark.parametrize("new_bad", [0.15, 0.6])
def test_rate_bets_gain_from_a_worse_version(new_bad: float) -> None:
    ends = [max(run(new_bad, 0.01, seed)) for seed in range(40)]
    assert min(ends) > 0


def test_a_rate_that_rises_for_both_versions_is_followed_within_seconds() -> None:
    bets = RateBets()
    bets.update(0, 100, 0, 100, 0)
    bets.update(TICK_MS, 200, 0, 200, 0)
    rising = bets.update(2 * TICK_MS, 220, 6, 300, 30)
    assert max(rising) < 0
    # The old version recovered longer ago than `RECENT_MS`.
    bets.update(20_000, 220, 6, 2_000, 30)
    sums = bets.update(40_000, 220, 6, 4_000, 30)
    assert max(bets.update(40_000 + TICK_MS, 240, 18, 4_100, 31)) > max(sums)
