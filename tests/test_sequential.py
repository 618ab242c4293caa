"""Test cuminstile.sequential."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cuminstile.sequential import BadFraction, Detector, log_bets

FRACTIONS = st.floats(0.01, 0.99)


@given(share=FRACTIONS, old_bad=st.floats(0.005, 0.5), is_bad=st.booleans())
def test_no_bet_gains_on_average_while_versions_are_alike(
    share: float, old_bad: float, is_bad: bool
) -> None:
    to_new = log_bets(True, is_bad, share, old_bad)
    to_old = log_bets(False, is_bad, share, old_bad)
    for new, old in zip(to_new, to_old, strict=True):
        average = share * math.exp(new) + (1.0 - share) * math.exp(old)
        assert average == pytest.approx(1.0)


def run_detector(
    seed: int, calls: int, bad_from: int, new_bad: float, limit: float
) -> int | None:
    """Return the call at which the detector passes the limit, if it does.

    Meanwhile the share grows and the fraction of bad calls of both versions varies.
    """
    rng = random.Random(seed)
    detector = Detector(calls // 20, 7)
    old = BadFraction()
    sums = (0.0, 0.0)
    for index in range(calls):
        share = 0.05 + 0.8 * index / calls
        common = 0.15 if (index // 100) % 2 else 0.01
        is_new = rng.random() < share
        is_worse = is_new and index >= bad_from
        is_bad = rng.random() < (new_bad if is_worse else common)
        bets = log_bets(is_new, is_bad, share, old.value())
        sums = tuple(a + b for a, b in zip(sums, bets, strict=True))
        if not is_new:
            old.add(is_bad)
        if detector.update(sums, index // 20, 7 * index // calls) >= math.log(limit):
            return index
    return None


def test_good_versions_seldom_pass_however_often_they_are_checked() -> None:
    # On average at most 1 in 20 may pass; 3 standard deviations more are allowed.
    passed = sum(run_detector(seed, 600, 600, 0.0, 20.0) is not None
                 for seed in range(300))  # fmt: skip
    assert passed <= 300 / 20 + 3 * math.sqrt(300 / 20)


@pytest.mark.parametrize("bad_from", [0, 400, 4_000])
def test_a_bad_version_is_detected_soon_after_a_long_good_time(bad_from: int) -> None:
    for seed in range(10):
        found = run_detector(seed, 5_000, bad_from, 0.9, 1_000.0)
        assert found is not None
        assert bad_from <= found < bad_from + 250
