"""Compare the retry budget with unlimited retries and with no retries."""

from __future__ import annotations

from dataclasses import dataclass

from cuminstile.upstream.retries import RetryBudget

from .policy_tables import Study, figure
from .policy_trial import (
    Load,
    PolicyTrial,
    good_fraction,
    policy_trial,
    start_vms,
    starts_between,
)

WARM_UP_MS = 2_000.0
FAULT_MS = 6_000.0
AFTER_MS = 12_000.0
DRAIN_MS = 5_000.0
NORMAL_LATENCY_MS = 500.0


class Unlimited(RetryBudget):
    """Budget that allows all retries; only the attempts at one call are limited."""

    def spend(self, stage: str, now_ms: float) -> bool:
        """Allow a retry."""
        return True


class NoRetries(RetryBudget):
    """Budget that allows no retry."""

    def spend(self, stage: str, now_ms: float) -> bool:
        """Refuse a retry."""
        return False


@dataclass(frozen=True)
class RetryCase:
    """Fault of all upstreams, and the load.

    Parameters
    ----------
    failing : float
        Fraction of the calls that fail.
    slower : float
        Factor on the work time.
    """

    failing: float
    slower: float = 1.0
    calls_per_s: float = 80.0


def set_fault(trial: PolicyTrial, failing: float, slower: float) -> None:
    """Set the failure rate and the slowdown of all upstreams."""
    for fake, base_ms in zip(trial.upstreams, trial.load.base_ms, strict=True):
        fake.failing = failing
        fake.base_ms = base_ms * slower


@dataclass(frozen=True)
class RetryResult:
    """Figures of one trial of retries."""

    attempts: float = figure("attempts a request in the fault")
    during: float = figure("answered in the fault", 3)
    after: float = figure("answered in the 12 s after it", 3)
    recovery_s: float = figure("s until all are answered within 0.5 s again", 1)


async def run(case: RetryCase, budget: type[RetryBudget], seed: int) -> RetryResult:
    """Run one trial and return its figures."""
    async with policy_trial(Load(calls_per_s=case.calls_per_s), seed) as trial:
        await start_vms(trial)
        for vm in trial.centre.vms.values():
            vm.retries = budget()
        await trial.offer(WARM_UP_MS)
        start_ms = trial.now_ms
        set_fault(trial, case.failing, case.slower)
        await trial.offer(FAULT_MS)
        end_ms = trial.now_ms
        set_fault(trial, 0.0, 1.0)
        await trial.offer(AFTER_MS)
        last_ms = trial.now_ms
        await trial.centre.clock.advance_ms(DRAIN_MS)
    during = trial.between(start_ms, end_ms)
    after = trial.between(end_ms, last_ms)
    late = [
        item.at_ms - end_ms
        for item in after
        if not item.is_good or item.elapsed_ms > NORMAL_LATENCY_MS
    ]
    return RetryResult(
        starts_between(trial.upstreams, start_ms, end_ms) / len(during),
        good_fraction(during),
        good_fraction(after),
        max(late, default=0.0) / 1_000.0,
    )


STUDY = Study(
    {
        "30 % of the calls fail": RetryCase(0.3),
        "30 % fail, 85 % of full load": RetryCase(0.3, calls_per_s=130.0),
        "all calls fail": RetryCase(1.0),
        "all calls fail within 5 ms": RetryCase(1.0, 0.05),
        "4 times slower": RetryCase(0.0, 4.0),
    },
    {"budget": RetryBudget, "unlimited": Unlimited, "none": NoRetries},
    run,
)
