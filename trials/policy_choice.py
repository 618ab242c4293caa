"""Compare the policies that choose among warm upstreams of unequal speed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from cuminstile.settings import LimitSettings
from cuminstile.upstream.choice import (
    CHOICES,
    Choice,
    least_in_flight,
    least_loaded,
    make_round_robin,
    shortest_time,
)

from .policy_tables import Study, figure
from .policy_trial import Load, good_fraction, policy_trial, quantile, start_vms

WARM_UP_MS = 2_000.0
RUN_MS = 8_000.0
DRAIN_MS = 5_000.0
LATENCY_TARGET_MS = 400.0


@dataclass(frozen=True)
class ChoiceResult:
    """Figures of one trial of a choice policy."""

    p50_ms: float = figure("p50, ms", 0)
    p95_ms: float = figure("p95, ms", 0)
    attained: float = figure("answered within 400 ms", 3)


@dataclass(frozen=True)
class ChoiceCase:
    """Upstreams and load of a trial.

    Parameters
    ----------
    slower_before : float
        Factor on the first upstream's work time before the measurement.
    """

    load: Load
    slower_before: float = 1.0


async def run(case: ChoiceCase, make: Callable[[], Choice], seed: int) -> ChoiceResult:
    """Run one trial and return its figures."""
    async with policy_trial(case.load, seed) as trial:
        trial.patch.setitem(CHOICES, LimitSettings().engine_choice, make())
        await start_vms(trial)
        first = trial.upstreams[0]
        first.base_ms = case.load.base_ms[0] * case.slower_before
        await trial.offer(WARM_UP_MS)
        first.base_ms = case.load.base_ms[0]
        start_ms = trial.now_ms
        await trial.offer(RUN_MS)
        end_ms = trial.now_ms
        await trial.centre.clock.advance_ms(DRAIN_MS)
    finished = trial.between(start_ms, end_ms)
    times = [item.elapsed_ms for item in finished]
    return ChoiceResult(
        quantile(times, 0.5),
        quantile(times, 0.95),
        good_fraction(finished, LATENCY_TARGET_MS),
    )


UNEQUAL = Load(
    base_ms=(60.0, 60.0, 60.0, 120.0, 120.0, 240.0),
    capacity=8,
    calls_per_s=110.0,
    slowdown=0.15,
    report_lag_ms=1_000.0,
)

EQUAL = replace(UNEQUAL, base_ms=(90.0,) * 6, calls_per_s=105.0)
BUSY = replace(UNEQUAL, calls_per_s=220.0)

STUDY = Study(
    {
        "equal speed, 40 % of full load": ChoiceCase(EQUAL),
        "equal now, 1 of 6 was 2.5 times slower": ChoiceCase(EQUAL, 2.5),
        "unequal, 40 % of full load": ChoiceCase(UNEQUAL),
        "unequal, 80 % of full load": ChoiceCase(BUSY),
        "unequal, 80 %, reports lag 0.2 s": ChoiceCase(
            replace(BUSY, report_lag_ms=200.0)
        ),
    },
    {
        "least_loaded": lambda: least_loaded,
        "least_in_flight": lambda: least_in_flight,
        "round_robin": make_round_robin,
        "shortest_time": lambda: shortest_time,
    },
    run,
)
