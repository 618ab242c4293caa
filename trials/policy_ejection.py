"""Compare the ejection of bad upstreams with no ejection."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cuminstile.upstream import results
from cuminstile.upstream.ejection import is_ejected, record_failed_call
from cuminstile.upstream.table import UpstreamState

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
AFTER_MS = 14_000.0
DRAIN_MS = 5_000.0
CALL_GAP_MS = 500.0
RECOVERY_WINDOW_MS = 1_000.0
RECOVERY_FRACTION = 0.5
NEVER_S = float("inf")
RecordFailedCall = Callable[
    [UpstreamState, Sequence[UpstreamState], float, float], bool
]


def never_eject(
    state: UpstreamState,
    siblings: Sequence[UpstreamState],
    now_ms: float,
    jitter: float,
) -> bool:
    """Return False: the baseline ejects no upstream."""
    return False


@dataclass(frozen=True)
class EjectionCase:
    """Number of bad upstreams among the four, and their fault.

    Parameters
    ----------
    failing : float
        Fraction of the calls that fail at the bad upstreams.
    slower : float
        Factor on the work time of the bad upstreams.
    """

    bad: int
    failing: float = 1.0
    slower: float = 1.0
    calls_per_s: float = 80.0


@dataclass(frozen=True)
class EjectionResult:
    """Figures of one trial of ejection."""

    answered: float = figure("answered in the fault", 3)
    after: float = figure("answered in the 14 s after it", 3)
    share: float = figure("calls at the bad ones, of their even share")
    quiet_s: float = figure("s until a bad one gets no call for 0.5 s", 1)
    back_s: float = figure("s after the fault until it gets half its share", 1)
    most_ejected: float = figure("most ejected at once, of 4", 0)


@dataclass
class EjectionObserver:
    """Record the highest number of upstreams that one VM had ejected at once."""

    trial: PolicyTrial
    most: int = 0

    def observe(self) -> None:
        """Count the ejected upstreams of each VM."""
        now_ms = self.trial.now_ms
        for vm in self.trial.centre.vms.values():
            states = vm.upstreams.by_name.values()
            ejected = sum(is_ejected(state, now_ms) for state in states)
            self.most = max(self.most, ejected)


async def run(
    case: EjectionCase, record_failed: RecordFailedCall, seed: int
) -> EjectionResult:
    """Run one trial and return its figures."""
    async with policy_trial(Load(calls_per_s=case.calls_per_s), seed) as trial:
        trial.patch.setattr(results, "record_failed_call", record_failed)
        await start_vms(trial)
        observer = EjectionObserver(trial)
        await trial.offer(WARM_UP_MS)
        start_ms = trial.now_ms
        bad = trial.upstreams[: case.bad]
        for fake in bad:
            fake.failing = case.failing
            fake.base_ms *= case.slower
        await trial.offer(FAULT_MS, observer.observe)
        end_ms = trial.now_ms
        for fake, base_ms in zip(trial.upstreams, trial.load.base_ms, strict=True):
            fake.failing = 0.0
            fake.base_ms = base_ms
        await trial.offer(AFTER_MS, observer.observe)
        last_ms = trial.now_ms
        await trial.centre.clock.advance_ms(DRAIN_MS)
    even = trial.load.calls_per_s / len(trial.upstreams)
    at_bad = starts_between(bad, start_ms, end_ms) / len(bad)
    first = bad[0].starts
    return EjectionResult(
        good_fraction(trial.between(start_ms, end_ms)),
        good_fraction(trial.between(end_ms, last_ms)),
        at_bad / (even * FAULT_MS / 1_000.0),
        first_gap_s(first, start_ms, end_ms),
        first_busy_s(first, end_ms, last_ms, even * RECOVERY_FRACTION),
        float(observer.most),
    )


def first_gap_s(starts: list[float], start_ms: float, end_ms: float) -> float:
    """Return the seconds until an upstream first gets no call for `CALL_GAP_MS`."""
    inside = [at_ms for at_ms in starts if start_ms <= at_ms < end_ms]
    moments = [start_ms, *inside, end_ms]
    for before_ms, after_ms in zip(moments, moments[1:], strict=False):
        if after_ms - before_ms >= CALL_GAP_MS:
            return (before_ms - start_ms) / 1_000.0
    return NEVER_S


def first_busy_s(
    starts: list[float], start_ms: float, end_ms: float, calls_per_s: float
) -> float:
    """Return the seconds from `start_ms` to the first second with that call rate."""
    inside = [at_ms for at_ms in starts if start_ms <= at_ms < end_ms]
    wanted = int(calls_per_s * RECOVERY_WINDOW_MS / 1_000.0)
    for at_ms, later_ms in zip(inside, inside[wanted:], strict=False):
        if later_ms - at_ms <= RECOVERY_WINDOW_MS:
            return (at_ms - start_ms) / 1_000.0
    return NEVER_S


STUDY = Study(
    {
        "1 of 4 fails all": EjectionCase(1),
        "1 of 4 fails all within 5 ms": EjectionCase(1, slower=0.05),
        "1 of 4 fails half": EjectionCase(1, failing=0.5),
        "2 of 4 fail all": EjectionCase(2),
        "4 of 4 fail all": EjectionCase(4),
        "4 of 4 fail 30 %, 85 % of full load": EjectionCase(4, 0.3, calls_per_s=130.0),
    },
    {"ejection": record_failed_call, "no ejection": never_eject},
    run,
)
