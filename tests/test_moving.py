"""Test whole traffic moves over several VMs: cuminstile.moving and what it uses."""

import bisect
import random

import pytest

from cuminstile.const import MOVE_STREAM
from cuminstile.moves import move_number
from cuminstile.records.verdicts import Verdict
from trials.behaviours import (
    NOISY_LATENCY_SIGMA,
    failing,
    good,
    later,
    on_route,
    slow,
    under_load,
)
from trials.moves import CallContext, Plan, Trial, objects_of
from trials.setting import NEW, OLD, publish

SEEDS = (1, 2, 3)
# With this seed, five bad answers come early under load, then none for more than 5 s.
PAUSING_SEED = 40
ENOUGH_CALLS = 20
TAKE_BACK_LIMIT_MS = 5_000.0
SHOWN_BY_CALLS = 5


def run(plan: Plan, seed: int, progress: float = 1.05) -> Trial:
    trial = Trial(plan, seed)
    trial.run_to(progress)
    return trial


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("calls_per_s", "duration_ms"),
    [(20.0, 120_000), (2.0, 60_000), (0.5, 600_000)],
)
def test_good_version_is_done_in_time(
    seed: int, calls_per_s: float, duration_ms: int
) -> None:
    plan = Plan(good(), good(), calls_per_s, duration_ms)
    trial = run(plan, seed, 1.0)
    assert trial.verdict() == Verdict.DONE, trial.reason()


@pytest.mark.parametrize("seed", SEEDS)
def test_good_version_is_done_although_load_swings_and_data_centres_differ(
    seed: int,
) -> None:
    noisy = good(NOISY_LATENCY_SIGMA, swing=2.0)
    trial = run(Plan(noisy, noisy, duration_ms=120_000), seed)
    assert trial.verdict() == Verdict.DONE, trial.reason()


BAD = {
    "fails": failing(1.0),
    "fails by half": failing(0.5),
    "slow": slow(4.0),
    "fails later": later(failing(0.8), 0.5),
    "slow later": later(slow(4.0), 0.6),
    "fails under load": under_load(failing(1.0), 3),
    "fails on one route": on_route(failing(1.0), "draft"),
}


@pytest.mark.parametrize("seed", (*SEEDS, PAUSING_SEED))
@pytest.mark.parametrize("kind", BAD)
def test_bad_version_gets_nothing_soon_after_it_shows(kind: str, seed: int) -> None:
    trial = run(Plan(BAD[kind], good(), duration_ms=120_000), seed)
    assert trial.verdict() == Verdict.TAKEN_BACK
    shown_ms = trial.nth_bad_answer_ms(SHOWN_BY_CALLS)
    assert trial.call_times.new_at_ms[-1] <= shown_ms + TAKE_BACK_LIMIT_MS


@pytest.mark.parametrize("seed", SEEDS)
def test_version_gets_five_in_a_hundred_before_enough_evidence(seed: int) -> None:
    trial = run(Plan(good(), good(), duration_ms=120_000), seed, 0.3)
    first = trial.call_times.new_at_ms[:ENOUGH_CALLS]
    until = bisect.bisect(trial.call_times.at_ms, first[-1])
    # The share is a probability: three standard deviations are allowed.
    share = ENOUGH_CALLS / until
    assert share <= 0.05 + 3 * (0.05 * 0.95 / until) ** 0.5


@pytest.mark.parametrize("seed", SEEDS)
def test_platform_outage_delays_only_the_record(seed: int) -> None:
    trial = Trial(Plan(good(), good(), duration_ms=120_000), seed)
    trial.run_to(0.1)
    trial.platform.unavailable_vms |= {vm.settings.name for vm in trial.vms}
    trial.run_to(0.95)
    assert trial.verdict() == Verdict.NONE
    assert shares(trial) == {1.0}
    late = trial.add_vm("vm-0-9", "dc0")
    trial.platform.unavailable_vms.add("vm-0-9")
    trial.run_to(0.98)
    assert late.traffic.moves[move_number(trial.move)].is_complete()
    trial.heal()
    trial.run_to(1.0)
    assert trial.verdict() == Verdict.DONE


@pytest.mark.parametrize("seed", SEEDS)
def test_data_centre_cut_off_goes_by_its_own_evidence(seed: int) -> None:
    trial = Trial(Plan(good(), good(), duration_ms=120_000), seed)
    trial.run_to(0.02)
    trial.cut("dc1")
    trial.run_to(0.95)
    inside = [vm for vm in trial.vms if vm.settings.data_centre == "dc1"]
    number = move_number(trial.move)
    assert all(vm.traffic.moves[number].is_complete() for vm in inside)
    trial.heal()
    trial.run_to(1.0)
    assert verdicts(trial) == {Verdict.DONE}


@pytest.mark.parametrize("seed", SEEDS)
def test_data_centre_cut_off_takes_a_bad_version_back_by_itself(seed: int) -> None:
    bad = failing(0.9)
    healthy = good()

    def bad_there(context: CallContext, rng: random.Random) -> object:
        is_bad = context.data_centre == "dc1" and context.progress > 0.5
        return (bad if is_bad else healthy)(context, rng)

    trial = Trial(Plan(bad_there, good(), duration_ms=120_000), seed)  # type: ignore
    trial.run_to(0.4)
    trial.cut("dc1")
    trial.run_to(0.65)
    number = move_number(trial.move)
    for vm in trial.vms:
        is_inside = vm.settings.data_centre == "dc1"
        assert vm.traffic.moves[number].decision.taken_back == is_inside
    trial.heal()
    trial.run_to(1.05)
    # All VMs have the same verdict, whichever came first in the log.
    assert len(verdicts(trial)) == 1


@pytest.mark.parametrize("lost", [1, 4])
def test_lost_answers_to_appends_give_one_verdict(lost: int) -> None:
    trial = Trial(Plan(failing(1.0), good(), duration_ms=120_000), 1)
    trial.platform.lost_appends = lost
    trial.run_to(0.6)
    assert verdicts(trial) == {Verdict.TAKEN_BACK}
    assert len(trial.platform.streams[MOVE_STREAM]) <= lost + 1


def test_withdrawn_move_is_taken_back_with_its_reason() -> None:
    trial = Trial(Plan(good(), good(), duration_ms=120_000), 1)
    trial.run_to(0.5)
    for vm in trial.vms[:2]:
        publish(vm, objects_of(trial.plan), version=7)
    trial.run_to(0.53)
    assert verdicts(trial) == {Verdict.TAKEN_BACK}
    assert "version 7" in trial.reason()
    moved = len(trial.call_times.new_at_ms)
    trial.run_to(0.7)
    assert len(trial.call_times.new_at_ms) == moved


def test_withdrawing_a_move_that_is_done_changes_no_traffic() -> None:
    trial = run(Plan(good(), good(), duration_ms=120_000), 1, 1.0)
    assert trial.verdict() == Verdict.DONE
    for vm in trial.vms:
        publish(vm, objects_of(trial.plan), version=7)
    trial.run_to(1.02)
    moved, calls = len(trial.call_times.new_at_ms), trial.call_times.calls
    trial.run_to(1.3)
    assert len(trial.call_times.new_at_ms) - moved == trial.call_times.calls - calls
    assert verdicts(trial) == {Verdict.DONE}


def test_reverse_move_goes_back_from_the_version_in_use() -> None:
    trial = run(Plan(good(), good(), duration_ms=120_000), 1, 1.0)
    back = trial.reverse_move(delay_ms=1_000)
    for vm in trial.vms:
        publish(vm, objects_of(trial.plan, trial.move, back), version=7)
    trial.run_to(2.1)
    assert {vm.traffic.verdicts.of(move_number(back)) for vm in trial.vms} == {
        Verdict.DONE
    }
    assert trial.call_times.new_at_ms[-1] < 120_000 * 2.05
    assert (back.to_version, back.from_version) == (OLD, NEW)


def test_reverse_of_a_move_that_was_taken_back_changes_nothing() -> None:
    trial = run(Plan(failing(1.0), good(), duration_ms=120_000), 1, 1.0)
    back = trial.reverse_move(delay_ms=1_000)
    for vm in trial.vms:
        publish(vm, objects_of(trial.plan, trial.move, back), version=7)
    moved = len(trial.call_times.new_at_ms)
    trial.run_to(1.2)
    known = trial.vms[0].traffic.verdicts.by_number[move_number(back)]
    assert known.record.verdict == Verdict.TAKEN_BACK
    assert "uses generate-1" in known.record.reason
    assert len(trial.call_times.new_at_ms) == moved


def shares(trial: Trial) -> set[float]:
    number = move_number(trial.move)
    wall_ms = trial.clock.wall_ms()
    return {vm.traffic.moves[number].share(wall_ms) for vm in trial.vms}


def verdicts(trial: Trial) -> set[Verdict]:
    number = move_number(trial.move)
    return {vm.traffic.verdicts.of(number) for vm in trial.vms}
