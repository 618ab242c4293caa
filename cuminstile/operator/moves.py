"""Report the traffic moves to operators."""

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
from .report import MoveReport, PartReport, Problem, ProblemCode, Reporter

if TYPE_CHECKING:
    from ..runtime import Vm

MAX_SHOWN_VERDICTS = 50
BEHIND_STEPS = 2


def moves_reporter(vm: Vm) -> Reporter:
    """Return what reports the moves of one VM."""

    def report() -> PartReport:
        return PartReport(
            problems=tuple(problems(vm)),
            moves=(*ended(vm), *under_way(vm), *waiting(vm)),
        )

    return report


def ended(vm: Vm) -> Iterator[MoveReport]:
    """Yield the moves that have a verdict, the latest ones of all stages."""
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


def under_way(vm: Vm) -> Iterator[MoveReport]:
    """Yield the moves that have started and have no verdict yet."""
    wall_ms = vm.clock.wall_ms()
    for state in vm.traffic.moves.values():
        if not vm.traffic.verdicts.of(state.number):
            share = state.share(wall_ms)
            yield move_report(state.move, "moving", share, reason_of(state))


def reason_of(state: MoveState) -> str:
    """Return why a move under way stands as it does."""
    counts = describe_counts(state, state.evidence_table.total())
    if state.decision.taken_back:
        return f"taken back, not yet recorded: {state.decision.reason}"
    if state.is_complete():
        return f"moved, not yet recorded: {counts}"
    if state.judgement.is_growth_paused:
        return f"held, {state.move.to_version} may be worse: {counts}"
    return counts


def waiting(vm: Vm) -> Iterator[MoveReport]:
    """Yield the moves whose time has not come."""
    current = vm.configuration.current
    traffic = vm.traffic
    for move in current.objects.moves.values() if current else ():
        number = move_number(move)
        if number not in traffic.moves and not traffic.verdicts.of(number):
            reason = "its time has not come, or a move before it has not ended"
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


def problems(vm: Vm) -> Iterator[Problem]:
    """Yield the published moves that were taken back or may not be done in time."""
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
            message = f"is behind its plan, at {share:.0%}: {reason_of(state)}"
            yield Problem(ProblemCode.MOVE_AT_RISK, state.move.name, message)


def is_behind(state: MoveState, wall_ms: int) -> bool:
    """Return whether a move is some steps behind its plan."""
    move = state.move
    duration_ms = move.finish_by_ms - move.start_at_ms
    fraction = (wall_ms - move.start_at_ms) / (duration_ms * PLAN_FRACTION)
    planned = min(LAST_STEP, int(fraction * LAST_STEP))
    return planned - state.decision.step >= BEHIND_STEPS
