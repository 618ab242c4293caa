"""Test cuminstile.shutdown.scheduler_role."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

import pytest

from cuminstile.shutdown.schedule import shutdown_times
from cuminstile.shutdown.scheduler_role import (
    CALL_MS,
    KEEP_MS,
    MIN_GAIN_MS,
    NOTICE_MS,
    HandOverTime,
    SchedulerRole,
    StepKind,
    choose_scheduler,
    hand_over_time,
    next_step,
)

TIMES = shutdown_times(0.0, 8_000.0)
EARLY = HandOverTime(False, 5_000.0)
DUE = HandOverTime(True, 1_000.0)
LATEST = HandOverTime(True, 0.0)
WALL_MS = 1_700_000_000_000


@dataclass(frozen=True)
class Vm:
    """What a VM says of itself."""

    address: str
    duty_order: int = 0
    leaving: bool = False
    schedules: bool = False
    ends_at_ms: int = 0
    can_schedule: bool = True


def leaving(name: str, ends_ms: int = 0, schedules: bool = False) -> Vm:
    """Return a VM that shuts down."""
    return Vm(name, 0, True, schedules, WALL_MS + ends_ms)


def name_of(vm: Vm | None) -> str:
    return "" if vm is None else vm.address


@pytest.mark.parametrize(
    ("vms", "chosen"),
    [
        ([Vm("b", 2), Vm("a", 1)], "a"),
        ([Vm("b", 1), Vm("a", 1)], "a"),
        ([Vm("a", 1), leaving("k", schedules=True)], "k"),
        ([leaving("k", 0, True), leaving("l", 9, True)], "l"),
        ([Vm("a", 1), leaving("k")], "a"),
        ([leaving("k", 0), leaving("l", 9)], "l"),
        ([leaving("k"), Vm("older build", leaving=True)], "k"),
        ([Vm("handed over", leaving=True)], ""),
        ([Vm("a", 1, can_schedule=False), Vm("b", 2)], "b"),
        ([Vm("a", 1, can_schedule=False), leaving("l")], "l"),
        ([Vm("a", 1, can_schedule=False), Vm("b", 2, can_schedule=False)], "a"),
    ],
)
def test_all_vms_choose_the_same_scheduler(vms: list[Vm], chosen: str) -> None:
    assert name_of(choose_scheduler(vms)) == chosen
    assert name_of(choose_scheduler(reversed(vms))) == chosen


@pytest.mark.parametrize(
    ("own", "others", "time", "kind", "to"),
    [
        (leaving("k", 0, True), [Vm("a")], EARLY, StepKind.WAIT, ""),
        (leaving("k", 0, True), [Vm("a")], DUE, StepKind.HAND_OVER, "a"),
        (leaving("k", 0, True), [], LATEST, StepKind.WAIT, ""),
        (leaving("k", 0, True), [Vm("a", can_schedule=False)], DUE, StepKind.WAIT, ""),
        (
            leaving("k", 0, True),
            [Vm("a", can_schedule=False)],
            LATEST,
            "hand_over",
            "a",
        ),
        (leaving("k", 0), [Vm("a")], EARLY, StepKind.HAND_OVER, "a"),
        (leaving("k", 9), [leaving("l", 0)], EARLY, StepKind.KEEP, ""),
        (leaving("k", 0, True), [leaving("l", 9, True)], EARLY, "hand_over", "l"),
        (leaving("k", 0, True), [leaving("l", 2_000)], DUE, StepKind.WAIT, ""),
        (leaving("k", 0, True), [leaving("l", 2_000)], LATEST, "hand_over", "l"),
        (leaving("k", 0, True), [leaving("l", 10)], LATEST, StepKind.WAIT, ""),
    ],
)
def test_work_is_handed_over_once_and_as_late_as_possible(
    own: Vm, others: list[Vm], time: HandOverTime, kind: StepKind, to: str
) -> None:
    step = next_step(own, others, time)
    assert (step.kind, name_of(step.successor)) == (kind, to)


def test_vm_that_ends_later_gets_the_work_while_it_can_still_keep_it() -> None:
    """Guards against a second hand-over right behind the first one."""
    gain_ms = KEEP_MS - 1_000.0
    successor = leaving("l", int(gain_ms))
    own = leaving("k", 0, True)
    assert gain_ms > MIN_GAIN_MS
    for left_ms, kind in ((1_001.0, StepKind.WAIT), (1_000.0, StepKind.HAND_OVER)):
        step = next_step(own, [successor], HandOverTime(True, left_ms))
        assert step.kind is kind


def test_time_of_the_hand_over() -> None:
    latest_ms = TIMES.answer_by_ms - CALL_MS
    assert hand_over_time(None, -inf, 0.0) == HandOverTime(False, inf)
    assert not hand_over_time(TIMES, -inf, TIMES.hand_over_at_ms - 1.0).is_due
    assert hand_over_time(TIMES, -inf, TIMES.hand_over_at_ms).is_due
    assert not hand_over_time(TIMES, 3_000.0, TIMES.hand_over_at_ms).is_due
    assert not hand_over_time(TIMES, 3_000.0, latest_ms - 1.0).is_overdue
    assert hand_over_time(TIMES, 3_000.0, latest_ms).is_due
    assert hand_over_time(TIMES, 3_000.0, latest_ms).is_overdue


def test_role_is_given_up_for_good_and_others_get_time_to_hear_it() -> None:
    role = SchedulerRole(ends_at_ms=WALL_MS)
    assert role.is_open
    role.keep(10.0)
    assert not role.is_known_closed(10.0)
    role.close(20.0)
    assert not role.is_open
    assert not role.is_known_closed(20.0 + NOTICE_MS - 1.0)
    assert role.is_known_closed(20.0 + NOTICE_MS)
