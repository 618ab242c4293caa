"""Test cuminstile.traffic."""

from dataclasses import replace

import pytest

from cuminstile.calls import RunTrace, StageCall
from cuminstile.evidence import CallResult
from cuminstile.exceptions import CuminstileError, ErrorCode
from cuminstile.moves import MoveDecision, MoveState, move_number, route_number
from cuminstile.runtime import Vm
from cuminstile.traffic import (
    MAX_CONSECUTIVE_EXCUSES,
    Assignment,
    assign,
    record_call,
    result_of,
    watch_call,
)
from trials.behaviours import good
from trials.moves import Plan, Trial
from trials.setting import NEW, OLD

FAILED = CuminstileError(ErrorCode.UPSTREAM_FAILED, "failed")
CALL = StageCall(
    request="r", organisation="o", pipeline="chat", step="generate", stage="generate",
    version="", input={"a": 1}, stream=False, priority=0, deadline_ms=1e9,
)  # fmt: skip


def vm_with_move() -> tuple[Vm, MoveState]:
    trial = Trial(Plan(good(), good()), 1)
    trial.run_to(0.01)
    vm = trial.vms[0]
    state = vm.traffic.moves[move_number(trial.move)]
    state.evidence_table.own.clear()
    state.late_above_ms[route_number("chat")] = 500.0
    return vm, state


def record_one(
    vm: Vm, state: MoveState, is_new: bool, reason: str = "", *,
    upstream: str = "warm", elapsed_ms: float = 100.0, body: object = None,
) -> None:  # fmt: skip
    trace = RunTrace()
    if reason:
        trace.record_failure(reason, upstream == "cold")
    else:
        trace.record_answer(upstream)
    call = replace(CALL, version=NEW if is_new else OLD, input=body)
    assignment = Assignment(call.version, state.number, is_new, 0.5)
    error = FAILED if reason else None
    record_call(vm, call, assignment, trace, elapsed_ms, not reason, error)


def counted(state: MoveState) -> tuple[int, int, int]:
    total = state.evidence_table.total()
    return total.new_good, total.new_failed, total.new_late


def test_failures_and_lateness_count() -> None:
    vm, state = vm_with_move()
    record_one(vm, state, True)
    record_one(vm, state, True, "failed", body=1)
    record_one(vm, state, True, elapsed_ms=501.0)
    assert counted(state) == (1, 1, 1)


@pytest.mark.parametrize(
    ("reason", "upstream", "elapsed_ms"),
    [("lost", "cold", 9.0), ("connect", "", 9.0), ("", "cold", 900.0)],
)
def test_cold_starts_are_excused_only_a_few_times_in_a_row(
    reason: str, upstream: str, elapsed_ms: float
) -> None:
    vm, state = vm_with_move()
    for index in range(MAX_CONSECUTIVE_EXCUSES):
        record_one(vm, state, True, reason, upstream=upstream, elapsed_ms=elapsed_ms,
             body=index)  # fmt: skip
    assert counted(state) == (0, 0, 0)
    record_one(
        vm, state, True, reason, upstream=upstream, elapsed_ms=elapsed_ms, body=-1
    )
    assert sum(counted(state)) == 1


def test_failure_answered_by_a_cold_upstream_counts() -> None:
    vm, state = vm_with_move()
    record_one(vm, state, True, "failed", upstream="cold")
    assert counted(state) == (0, 1, 0)


def test_body_that_fails_on_both_versions_counts_against_neither() -> None:
    vm, state = vm_with_move()
    record_one(vm, state, False, "failed", body="poison")
    for _ in range(5):
        record_one(vm, state, True, "failed", body="poison")
    assert counted(state) == (0, 0, 0)
    record_one(vm, state, True, body="poison")
    record_one(vm, state, True, "failed", body="poison")
    assert counted(state) == (1, 1, 0)


def test_quarantined_body_is_left_out() -> None:
    error = CuminstileError(ErrorCode.QUARANTINED, "quarantined")
    trace = RunTrace(failures=1)
    assert result_of(trace, False, True, error) == CallResult.LEFT_OUT


async def test_a_cancelled_call_is_late_after_the_limit_and_left_out_before() -> None:
    vm, state = vm_with_move()
    assignment = Assignment(NEW, state.number, True, 0.5)
    for elapsed_ms in (400.0, 600.0):
        with pytest.raises(KeyboardInterrupt):  # noqa: SIM117
            with watch_call(vm, CALL, assignment, RunTrace()):
                vm.clock.at_ms += elapsed_ms  # type: ignore[attr-defined]
                raise KeyboardInterrupt
    assert counted(state) == (0, 0, 1)


def test_every_vm_and_attempt_choose_the_same_version() -> None:
    trial = Trial(Plan(good(), good()), 1)
    trial.run_to(0.01)
    number = move_number(trial.move)
    for vm in trial.vms:
        vm.traffic.moves[number].merge(MoveDecision(3), trial.clock.wall_ms())
    for index in range(200):
        call = replace(CALL, request=f"r{index}")
        chosen = {assign(vm, call, lambda name: True).version for vm in trial.vms}
        assert len(chosen) == 1


def test_version_that_nothing_serves_now_is_passed_over_and_not_counted() -> None:
    vm, state = vm_with_move()
    state.merge(MoveDecision(6), vm.clock.wall_ms())
    for index in range(20):
        call = replace(CALL, request=f"r{index}")
        assignment = assign(vm, call, lambda name: name == OLD)
        assert assignment.version == OLD
        assert assignment.move == (state.number if assignment.share else 0)


@pytest.mark.parametrize("seed", range(5))
def test_a_new_version_never_gets_more_than_its_first_share(seed: int) -> None:
    vm, _ = vm_with_move()
    vm.traffic.first_share_calls.clear()
    new = 0
    for number in range(1, 401):
        call = replace(CALL, request=f"{seed}-{number}")
        new += assign(vm, call, lambda name: True).is_new
        assert new <= 0.05 * number
    assert new >= 0.04 * 400
