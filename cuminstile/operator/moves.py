"""Reports on traffic moves for operators."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from ..moves import (
    LAST_STEP,
    PLAN_FRACTION,
    SHARES,
    MoveState,
    describe_counts,
    move_number,
)
from ..objects.model import TrafficMove
from ..records.verdicts import KnownVerdict, Verdict
from .report import ComponentReport, MoveReport, Problem, ProblemCode, Reporter

if TYPE_CHECKING:
    from ..runtime import Vm

MAX_SHOWN_VERDICTS = 50
BEHIND_STEPS = 2


def moves_reporter(vm: Vm) -> Reporter:
    """Return the function that reports the traffic moves of one VM."""

    def report() -> ComponentReport:
        return ComponentReport(
            problems=tuple(move_problems(vm)),
            moves=(*ended_moves(vm), *active_moves(vm), *waiting_moves(vm)),
        )

    return report


def ended_moves(vm: Vm) -> Iterator[MoveReport]:
    """Return an iterator over the latest moves of all stages that have a verdict."""
    verdicts = vm.traffic.verdicts.by_number
    latest = sorted(verdicts, key=vm.traffic.verdicts.start_of)[-MAX_SHOWN_VERDICTS:]
    return (ended_report(verdicts[number]) for number in latest)


def ended_report(known: KnownVerdict) -> MoveReport:
    """Return the report on a move with a verdict."""
    record = known.record
    return MoveReport(
        record.name,
        record.stage,
        record.from_version,
        record.to_version,
        record.start_at_ms,
        record.finish_by_ms,
        record.verdict.name.lower(),
        1.0 if record.verdict == Verdict.DONE else 0.0,
        record.reason,
    )


def active_moves(vm: Vm) -> Iterator[MoveReport]:
    """Yield the moves that have started and have no verdict yet."""
    wall_ms = vm.clock.wall_ms()
    for state in vm.traffic.moves.values():
        if not vm.traffic.verdicts.of(state.number):
            share = state.share(wall_ms)
            yield move_report(state.move, "moving", share, describe_progress(state))


def describe_progress(state: MoveState) -> str:
    """Return the reason for the present state of an active move."""
    counts = describe_counts(state, state.evidence_table.total())
    if state.decision.taken_back:
        return f"taken back, not yet recorded: {state.decision.reason}"
    if state.is_complete():
        return f"moved, not yet recorded: {counts}"
    if state.judgement.is_growth_paused:
        return f"on hold, {state.move.to_version} may be worse: {counts}"
    return counts


def waiting_moves(vm: Vm) -> Iterator[MoveReport]:
    """Yield the published moves that have not started."""
    current = vm.configuration.current
    traffic = vm.traffic
    for move in current.objects.moves.values() if current else ():
        number = move_number(move)
        if number not in traffic.moves and not traffic.verdicts.of(number):
            reason = "its start time is not reached, or an earlier move has not ended"
            yield move_report(move, "waiting", 0.0, reason)


def move_report(move: TrafficMove, state: str, share: float, reason: str) -> MoveReport:
    """Return the report on a move without a verdict."""
    return MoveReport(
        move.name,
        move.stage,
        move.from_version,
        move.to_version,
        move.start_at_ms,
        move.finish_by_ms,
        state,
        share,
        reason,
    )


def move_problems(vm: Vm) -> Iterator[Problem]:
    """Yield the moves that were taken back or may not finish in time."""
    current = vm.configuration.current
    for move in current.objects.moves.values() if current else ():
        known = vm.traffic.verdicts.by_number.get(move_number(move))
        if known is not None and known.record.verdict == Verdict.TAKEN_BACK:
            message = f"was taken back: {known.record.reason}"
            yield Problem(ProblemCode.MOVE_TAKEN_BACK, move.name, message)
    for state in vm.traffic.moves.values():
        if state.decision.taken_back:
            message = f"is taken back: {state.decision.reason}"
            yield Problem(ProblemCode.MOVE_TAKEN_BACK, state.move.name, message)
        elif is_behind(state, vm.clock.wall_ms()):
            share = SHARES[state.decision.step]
            message = f"is behind schedule, at {share:.0%}: {describe_progress(state)}"
            yield Problem(ProblemCode.MOVE_AT_RISK, state.move.name, message)


def is_behind(state: MoveState, wall_ms: int) -> bool:
    """Return whether a move is `BEHIND_STEPS` or more steps behind its plan."""
    move = state.move
    duration_ms = move.finish_by_ms - move.start_at_ms
    fraction = (wall_ms - move.start_at_ms) / (duration_ms * PLAN_FRACTION)
    planned = min(LAST_STEP, int(fraction * LAST_STEP))
    return planned - state.decision.step >= BEHIND_STEPS
