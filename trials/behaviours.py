"""Behaviours of good and bad versions for the trials of traffic moves."""

from __future__ import annotations

import math
import random

from .moves import Answer, Behaviour, CallContext

MEDIAN_MS = 300.0
BACKGROUND_FAILURES = 0.01
QUIET_LATENCY_SIGMA, NOISY_LATENCY_SIGMA = 0.3, 0.8
FAILED_AFTER_MS = 50.0


def good(spread: float = QUIET_LATENCY_SIGMA, swing: float = 0.0) -> Behaviour:
    """Return the behaviour of a version that works.

    Parameters
    ----------
    spread : float
        The standard deviation of the logarithm of the latency.
    swing : float
        By how much the load on the whole system slows all versions down: the latency
        rises by up to this fraction and falls again. Unless it is 0, dc1 is also
        slower by half.
    """

    def behave(context: CallContext, rng: random.Random) -> Answer:
        common = 1.0 + swing * (1.0 + math.sin(context.progress * 25.0)) / 2.0
        if swing and context.data_centre == "dc1":
            common *= 1.5
        elapsed_ms = MEDIAN_MS * common * math.exp(rng.gauss(0.0, spread))
        # Under load all versions fail more often.
        failures = BACKGROUND_FAILURES * (1.0 + 4.0 * (common - 1.0))
        return Answer(rng.random() >= failures, elapsed_ms)

    return behave


def failing(fraction: float) -> Behaviour:
    """Return the behaviour of a version that fails a fraction of its calls."""
    healthy = good()

    def behave(context: CallContext, rng: random.Random) -> Answer:
        if rng.random() < fraction:
            return Answer(False, FAILED_AFTER_MS, is_bad=True)
        return healthy(context, rng)

    return behave


def slow(factor: float) -> Behaviour:
    """Return the behaviour of a version whose latency is higher by a factor."""
    healthy = good()

    def behave(context: CallContext, rng: random.Random) -> Answer:
        answer = healthy(context, rng)
        return Answer(answer.is_good, answer.elapsed_ms * factor, is_bad=True)

    return behave


def later(bad: Behaviour, progress: float) -> Behaviour:
    """Return the behaviour of a version that is bad from some progress of the move."""
    healthy = good()

    def behave(context: CallContext, rng: random.Random) -> Answer:
        is_bad = context.progress >= progress
        return (bad if is_bad else healthy)(context, rng)

    return behave


def under_load(bad: Behaviour, in_flight: int) -> Behaviour:
    """Return the behaviour of a version that is bad with many calls in flight."""
    healthy = good()

    def behave(context: CallContext, rng: random.Random) -> Answer:
        is_bad = context.in_flight >= in_flight
        return (bad if is_bad else healthy)(context, rng)

    return behave


def on_route(bad: Behaviour, route: str) -> Behaviour:
    """Return the behaviour of a version that is bad for one pipeline only."""
    healthy = good()

    def behave(context: CallContext, rng: random.Random) -> Answer:
        return (bad if context.route == route else healthy)(context, rng)

    return behave
