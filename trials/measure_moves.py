"""Compare the policies for traffic moves over several seeds and print tables."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import fire

from cuminstile.judging import by_confidence_bounds, by_repeated_z_test, never_bad
from cuminstile.moves import (
    BY_EVIDENCE,
    LAST_STEP,
    PLAN_FRACTION,
    MovePolicy,
    MoveState,
    can_grow,
    move_number,
)
from cuminstile.records.verdicts import Verdict

from .behaviours import (
    NOISY_LATENCY_SIGMA,
    failing,
    good,
    later,
    on_route,
    slow,
    under_load,
)
from .moves import Behaviour, Plan, Trial

DURATION_MS = 120_000
LOW_CALLS_PER_S = 0.5
LOW_DURATION_MS = 600_000
LIMIT_MS = 5_000.0
SHOWN_BY_CALLS = 5


def by_plan(state: MoveState, wall_ms: int) -> bool:
    """Return whether the schedule allows the next step; a baseline without evidence."""
    move = state.move
    duration_ms = move.finish_by_ms - move.start_at_ms
    planned_ms = PLAN_FRACTION * duration_ms * (state.decision.step + 1) / LAST_STEP
    return wall_ms - move.start_at_ms >= planned_ms


POLICIES = {
    "bets": BY_EVIDENCE,
    "confidence bounds": MovePolicy(by_confidence_bounds, can_grow),
    "repeated z-test": MovePolicy(by_repeated_z_test, can_grow),
    "fixed schedule": MovePolicy(never_bad, by_plan),
}
BAD: dict[str, Behaviour] = {
    "fails, all": failing(1.0),
    "fails, half": failing(0.5),
    "fails, a tenth": failing(0.1),
    "slow, 4 times": slow(4.0),
    "slow, 1.5 times": slow(1.5),
    "fails, all, from half time": later(failing(1.0), 0.5),
    "slow, 4 times, from 0.6 of the time": later(slow(4.0), 0.6),
    "fails, all, from 3 in flight": under_load(failing(1.0), 3),
    "fails, all, on one route": on_route(failing(1.0), "draft"),
}


@dataclass(frozen=True)
class GoodCase:
    """Plan of the trials of a good version, and the function that runs them."""

    plan: Plan
    run: Callable[[Trial], None]


def run_through(trial: Trial) -> None:
    """Run a move without faults."""
    trial.run_to(1.02)


def run_without_platform(trial: Trial) -> None:
    """Run a move while the platform is unavailable for 90 % of the time."""
    trial.run_to(0.05)
    trial.platform.unavailable_vms |= {vm.settings.name for vm in trial.vms}
    trial.run_to(0.95)
    trial.heal()
    trial.run_to(1.02)


def run_with_partition(trial: Trial) -> None:
    """Run a move while one data centre is cut off for 90 % of the time."""
    trial.run_to(0.05)
    trial.cut("dc1")
    trial.run_to(0.95)
    trial.heal()
    trial.run_to(1.02)


def good_cases() -> dict[str, GoodCase]:
    """Return the cases with good versions by name."""
    quiet, noisy = good(), good(NOISY_LATENCY_SIGMA)
    swinging = good(NOISY_LATENCY_SIGMA, swing=2.0)
    plan = Plan(quiet, quiet, duration_ms=DURATION_MS)
    low = replace(plan, calls_per_s=LOW_CALLS_PER_S, duration_ms=LOW_DURATION_MS)
    return {
        "quiet": GoodCase(plan, run_through),
        "noisy": GoodCase(replace(plan, new=noisy, old=noisy), run_through),
        "noisy, load swings, data centres differ": GoodCase(
            replace(plan, new=swinging, old=swinging), run_through
        ),
        "0.5 calls/s": GoodCase(low, run_through),
        "platform away": GoodCase(plan, run_without_platform),
        "a data centre cut off": GoodCase(plan, run_with_partition),
    }


def measure_good(seeds: int = 40, case: str = "", policy: str = "") -> None:
    """Print how many moves to good versions were completed in time.

    Parameters
    ----------
    case, policy : str
        The only case or policy to run; empty for all.
    """
    print("| good version | policy | done in time | taken back |")
    print("| --- | --- | --- | --- |")
    for name, good_case in good_cases().items():
        if case not in ("", name):
            continue
        for label, chosen in POLICIES.items():
            if policy not in ("", label):
                continue
            done = taken_back = 0
            for seed in range(seeds):
                trial = Trial(replace(good_case.plan, policy=chosen), seed)
                good_case.run(trial)
                done += trial.verdict() == Verdict.DONE
                taken_back += trial.verdict() == Verdict.TAKEN_BACK
            cells = (name, label, f"{done} of {seeds}", f"{taken_back} of {seeds}")
            print(f"| {' | '.join(cells)} |", flush=True)


@dataclass(frozen=True)
class BadResult:
    """Result of one trial of a bad version.

    Parameters
    ----------
    bad_calls : int
        Bad answers that callers got from it.
    verdict_ms : float
        From the first bad answer to the verdict.
    after_ms : float
        From bad answer number `SHOWN_BY_CALLS` to the last call that it got.
    """

    is_taken_back: bool
    bad_calls: int
    verdict_ms: float
    after_ms: float


def run_bad(behaviour: Behaviour, policy: MovePolicy, seed: int) -> BadResult:
    """Run one trial of a bad version."""
    plan = Plan(behaviour, good(), duration_ms=DURATION_MS, policy=policy)
    trial = Trial(plan, seed)
    trial.run_to(1.02)
    bad_at_ms = trial.call_times.bad_at_ms
    known = trial.vms[0].traffic.verdicts.by_number.get(move_number(trial.move))
    is_taken_back = known is not None and known.record.verdict == Verdict.TAKEN_BACK
    written_ms = known.written_ms - trial.move.start_at_ms if known else 0
    first_ms = bad_at_ms[0] if bad_at_ms else 0.0
    shown_ms = trial.nth_bad_answer_ms(SHOWN_BY_CALLS) if bad_at_ms else 0.0
    last_ms = trial.call_times.new_at_ms[-1]
    return BadResult(
        is_taken_back, len(bad_at_ms), written_ms - first_ms, last_ms - shown_ms
    )


def measure_bad(seeds: int = 20, policy: str = "") -> None:
    """Print how many bad answers there were until the moves were taken back.

    Parameters
    ----------
    policy : str
        The only policy to run; empty for all.
    """
    print(
        "| bad version | policy | taken back | bad answers: median (most)"
        " | s from the first bad answer to the verdict: median (most)"
        f" | no call later than 5 s after the bad answer number {SHOWN_BY_CALLS} |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for name, behaviour in BAD.items():
        for label, chosen in POLICIES.items():
            if policy not in ("", label):
                continue
            results = [run_bad(behaviour, chosen, seed) for seed in range(seeds)]
            print(f"| {' | '.join(bad_cells(name, label, results))} |", flush=True)


def bad_cells(name: str, label: str, results: list[BadResult]) -> Iterable[str]:
    """Return one row of the table of bad versions."""
    seeds = len(results)
    back = [result for result in results if result.is_taken_back]
    in_time = sum(result.after_ms <= LIMIT_MS for result in back)
    calls = [result.bad_calls for result in results]
    times = [result.verdict_ms / 1000.0 for result in back]
    spread = f"{statistics.median(times):.1f} ({max(times):.1f})" if times else "-"
    return (
        name,
        label,
        f"{len(back)} of {seeds}",
        f"{statistics.median(calls):.0f} ({max(calls)})",
        spread,
        f"{in_time} of {seeds}",
    )


if __name__ == "__main__":
    fire.Fire({"good": measure_good, "bad": measure_bad}, name="measure-moves")
