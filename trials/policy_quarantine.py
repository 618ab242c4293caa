"""Compare the quarantine of requests that crash upstreams with no quarantine."""

from __future__ import annotations

from dataclasses import dataclass, field

from cuminstile.calls import StageCall
from cuminstile.crash_limits import Suspicion
from cuminstile.runtime import Vm
from cuminstile.upstream import results
from cuminstile.upstream.crashes import record_lost_call, suspicion_of
from cuminstile.upstream.evidence import LoadReport

from .policy_tables import Study, figure
from .policy_trial import (
    Load,
    PolicyTrial,
    RequestResult,
    good_fraction,
    policy_trial,
    quantile,
    start_vms,
)

POISON = "poison"
WARM_UP_MS = 2_000.0
AFTER_MS = 6_000.0
IN_FLIGHT_MS = 500.0


@dataclass(frozen=True)
class PoisonCase:
    """Requests of a trial that crash their upstreams.

    Parameters
    ----------
    bodies : int
        The number of different request bodies.
    sendings : int
        How often each body is sent.
    every_ms : float
        Time between two sendings; 0 to send all at once.
    """

    bodies: int
    sendings: int
    every_ms: float


@dataclass(frozen=True)
class PoisonResult:
    """Figures of one trial with requests that crash upstreams."""

    crashed: float = figure("upstreams crashed for each poison body", 1)
    answered: float = figure("innocents answered", 3)
    p95_ms: float = figure("innocents' p95, ms", 0)
    held: float = figure("innocents suspected", 1)
    held_ms: float = figure("their mean time, ms", 0)
    longest_ms: float = figure("their longest, ms", 0)
    held_lost: float = figure("of them not answered", 1)


@dataclass
class Suspects:
    """Record the harmless requests that were suspected.

    Parameters
    ----------
    quarantines : bool
        Whether lost calls are recorded at all.
    """

    quarantines: bool
    names: set[str] = field(default_factory=set)

    async def record_lost_call(
        self,
        vm: Vm,
        call: StageCall,
        upstream: str,
        report: LoadReport | None,
        incarnation: int,
        isolated: bool,
    ) -> None:
        """Record a lost call, unless the trial has no quarantine."""
        if not self.quarantines:
            return
        await record_lost_call(vm, call, upstream, report, incarnation, isolated)
        suspected = suspicion_of(vm, call) is not Suspicion.NONE
        if suspected and POISON not in call.input:
            self.names.add(call.request)


async def run(case: PoisonCase, quarantines: bool, seed: int) -> PoisonResult:
    """Run one trial and return its figures."""
    suspects = Suspects(quarantines)
    async with policy_trial(Load(), seed) as trial:
        trial.patch.setattr(results, "record_lost_call", suspects.record_lost_call)
        await start_vms(trial)
        await trial.offer(WARM_UP_MS)
        for fake in trial.upstreams:
            fake.crash_on = POISON
        # A crash also hits the calls that were already in flight when the first
        # crashing request arrives.
        start_ms = trial.now_ms - IN_FLIGHT_MS
        for number in range(case.sendings):
            send_poison(trial, case, number)
            if case.every_ms:
                await trial.offer(case.every_ms)
        await trial.offer(AFTER_MS)
        last_ms = trial.now_ms
        await trial.centre.clock.advance_ms(AFTER_MS)
    crashes = sum(fake.crashes for fake in trial.upstreams)
    harmless = [
        item for item in trial.between(start_ms, last_ms) if POISON not in item.request
    ]
    held = [item for item in harmless if item.request in suspects.names]
    return result_of(crashes / case.bodies, harmless, held)


def send_poison(trial: PolicyTrial, case: PoisonCase, number: int) -> None:
    """Send each crashing body once."""
    for body in range(case.bodies):
        name = f"{POISON}-{body}"
        trial.send(trial.centre.call(f"{name}-{number}", input=name))


def result_of(
    crashed: float, harmless: list[RequestResult], held: list[RequestResult]
) -> PoisonResult:
    """Return the figures, from the requests that crash no upstream."""
    times = [item.elapsed_ms for item in held]
    return PoisonResult(
        crashed,
        good_fraction(harmless),
        quantile((item.elapsed_ms for item in harmless), 0.95),
        float(len(held)),
        sum(times) / len(times) if times else 0.0,
        max(times, default=0.0),
        float(sum(not item.is_good for item in held)),
    )


STUDY = Study(
    {
        "1 body, 12 times, 0.7 s apart": PoisonCase(1, 12, 700.0),
        "1 body, 12 times at once": PoisonCase(1, 12, 0.0),
        "3 bodies, 6 times, 1 s apart": PoisonCase(3, 6, 1_000.0),
    },
    {"quarantine": True, "no quarantine": False},
    run,
)
