"""Compare the ramp of cold upstreams with fixed limits and with an ideal ramp."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

from cuminstile.runtime import Vm
from cuminstile.upstream import evidence, leases, limits
from cuminstile.upstream.table import UpstreamState

from .policy_tables import Study, figure
from .policy_trial import (
    Load,
    PolicyTrial,
    TrialUpstream,
    policy_trial,
    start_vms,
)

RUN_MS = 10_000.0
RUNS_BEFORE_TURNING_COLD = 3
NEVER_S = float("inf")
Install = Callable[[PolicyTrial], None]


def use_ramp(trial: PolicyTrial) -> None:
    """Leave the ramp unchanged."""


def full_after_warm_answer(trial: PolicyTrial) -> None:
    """Raise the limit to the full capacity at the first answer that says warm."""

    def raise_limits(state: UpstreamState) -> None:
        state.ramp_limit = float(state.capacity)

    trial.patch.setattr(evidence, "raise_limits", raise_limits)


def cold_until_report(trial: PolicyTrial) -> None:
    """Keep the limit for a cold upstream until a load report says warm."""
    original = evidence.apply_warm_report

    def raise_limits(state: UpstreamState) -> None:
        return

    def apply_warm_report(state: UpstreamState, report: evidence.LoadReport) -> bool:
        state.cold_observed = False
        return original(state, report)

    trial.patch.setattr(evidence, "raise_limits", raise_limits)
    trial.patch.setattr(evidence, "apply_warm_report", apply_warm_report)


def all_at_once(trial: PolicyTrial) -> None:
    """Use the full capacity from the start, although the upstream is cold."""
    original = leases.usable_slots

    def usable_slots(vm: Vm, state: UpstreamState, now_ms: float) -> int:
        state.ramp_limit = float(state.capacity)
        return original(vm, state, now_ms)

    trial.patch.setattr(limits, "usable_slots", usable_slots)


@dataclass(frozen=True)
class RampCase:
    """Cold start of one upstream.

    Parameters
    ----------
    turns_cold : bool
        Whether the upstream becomes cold again soon after it was warm.
    """

    load: Load
    turns_cold: bool = False


@dataclass(frozen=True)
class RampResult:
    """Figures of one cold start."""

    full_s: float = figure("s from the first call to full use")
    ideal_s: float = figure("ideal, s")
    excess: float = figure("calls beyond what it bears", 1)
    answered: float = figure("answered within 10 s after the first call", 0)


async def run(case: RampCase, install: Install, seed: int) -> RampResult:
    """Run one trial and return its figures."""
    async with policy_trial(case.load, seed) as trial:
        install(trial)
        await start_vms(trial, 0.0)
        fake = trial.upstreams[0]
        while not fake.starts:
            await trial.offer(100.0)
        first_ms = fake.starts[0]
        await trial.offer(
            RUN_MS - (trial.now_ms - first_ms), turn_cold_once(fake, case)
        )
        answered = sum(
            item.is_good and item.at_ms + item.elapsed_ms >= first_ms
            for item in trial.finished
        )
        reached = full_ms(fake, case.load.capacity)
    return RampResult(
        (reached - first_ms) / 1_000.0,
        ideal_s(case, seed),
        float(len(fake.excess)),
        float(answered),
    )


def turn_cold_once(fake: TrialUpstream, case: RampCase) -> Callable[[], None]:
    """Return an observer that turns an upstream cold once, soon after it was warm."""
    turned: list[float] = []

    def observe() -> None:
        is_due = (
            fake.warm and fake.runs >= case.load.warm_after + RUNS_BEFORE_TURNING_COLD
        )
        if case.turns_cold and is_due and not turned:
            turned.append(fake.clock.now_ms())
            fake.turn_cold(case.load.warm_after)

    return observe


def full_ms(fake: TrialUpstream, capacity: int) -> float:
    """Return when a warm upstream first had as many calls in flight as its capacity."""
    reached = [
        at_ms
        for at_ms, _, state, in_flight in fake.history
        if state == "warm" and in_flight >= capacity
    ]
    return reached[0] if reached else NEVER_S


def ideal_s(case: RampCase, seed: int) -> float:
    """Return the duration of a ramp that always uses the cold capacity in full."""
    draws = random.Random(f"ideal-{seed}")
    load = case.load
    ends: list[float] = [0.0] * load.cold_capacity
    for _ in range(load.warm_after):
        start_ms = heapq.heappop(ends)
        work_ms = load.base_ms[0] * (0.7 + 0.6 * draws.random())
        heapq.heappush(ends, start_ms + work_ms)
    return max(ends) / 1_000.0


def cold(warm_after: int, cold_capacity: int = 1, lag_ms: float = 200.0) -> Load:
    """Return a load above the capacity of a data centre with one cold upstream."""
    return Load(
        base_ms=(100.0,),
        capacity=8,
        calls_per_s=100.0,
        report_lag_ms=lag_ms,
        is_warm=False,
        warm_after=warm_after,
        cold_capacity=cold_capacity,
    )


STUDY = Study(
    {
        "warm after 8 runs": RampCase(cold(8)),
        "warm after 24 runs, bears 2 cold": RampCase(cold(24, 2)),
        "warm after 8 runs, reports lag 1 s": RampCase(cold(8, lag_ms=1_000.0)),
        "warm after 8 runs, then cold again": RampCase(cold(8), turns_cold=True),
    },
    {
        "ramp": use_ramp,
        "all at the first warm answer": full_after_warm_answer,
        "as cold until a report says warm": cold_until_report,
        "all at once": all_at_once,
    },
    run,
)
