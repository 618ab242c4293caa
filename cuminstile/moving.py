"""Background loop that advances a VM's traffic moves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .events import Event
from .moves import (
    MoveDecision,
    MoveState,
    advance,
    move_number,
    route_number,
    take_back,
)
from .objects.model import TrafficMove
from .traffic import settled_version_of
from .vm.move_exchange import send_decisions, send_evidence

if TYPE_CHECKING:
    from .runtime import Vm

ADVANCE_INTERVAL_MS = 250
LATE_LIMIT_INTERVAL_MS = 2_000
LATE_QUANTILE = 0.85
LATE_FACTOR = 1.25
MIN_RUNS = 10


async def run_moves_loop(vm: Vm) -> None:
    """Advance the traffic moves and broadcast them; runs until cancelled."""
    while True:
        await advance_and_broadcast(vm)
        await vm.clock.sleep_ms(ADVANCE_INTERVAL_MS)


async def advance_and_broadcast(vm: Vm) -> None:
    """Advance the traffic moves once and send the other VMs what has changed."""
    if vm.configuration.current is not None:
        advance_moves(vm)
    await send_decisions(vm)
    await send_evidence(vm)


def advance_moves(vm: Vm) -> None:
    """Apply the published moves, then advance each active one once."""
    if not vm.traffic.knows_past_decisions():
        return
    wall_ms = vm.clock.wall_ms()
    drop_ended_moves(vm)
    start_due_moves(vm, wall_ms)
    take_back_withdrawn(vm, wall_ms)
    for state in vm.traffic.moves.values():
        update_late_limits(vm, state)
        if advance(state, wall_ms, vm.traffic.policy):
            record_mark(vm, state)
        record_verdict_due(vm, state)


def drop_ended_moves(vm: Vm) -> None:
    """Drop the moves whose verdict is recorded."""
    traffic = vm.traffic
    for number in tuple(traffic.moves):
        if traffic.verdicts.of(number):
            del traffic.moves[number]
    for rounds in (traffic.here, traffic.elsewhere):
        for key in tuple(rounds.sent):
            if key[0] not in traffic.moves:
                del rounds.sent[key]


def start_due_moves(vm: Vm, wall_ms: int) -> None:
    """Start the published moves that are due."""
    for move in sorted(vm.objects.moves.values(), key=start_time_ms):
        number = move_number(move)
        state = vm.traffic.moves.get(number)
        if state is not None:
            state.move = move
        elif is_due(vm, move, number, wall_ms):
            start_move(vm, move, number, wall_ms)


def is_due(vm: Vm, move: TrafficMove, number: int, wall_ms: int) -> bool:
    """Return whether a move that has no state yet has to start now."""
    if wall_ms < move.start_at_ms or vm.traffic.verdicts.of(number):
        return False
    return not is_stage_moving(vm, move)


def start_time_ms(move: TrafficMove) -> int:
    """Return when a move starts, as wall clock time in ms."""
    return move.start_at_ms


def is_stage_moving(vm: Vm, move: TrafficMove) -> bool:
    """Return whether another move of the stage has not ended yet."""
    return any(state.move.stage == move.stage for state in vm.traffic.moves.values())


def start_move(vm: Vm, move: TrafficMove, number: int, wall_ms: int) -> None:
    """Start a move; take it back at once if the stage uses another old version."""
    state = MoveState(move, number, step_since_ms=wall_ms)
    vm.traffic.moves[number] = state
    vm.journal.record(Event.MOVE_STARTED, move=move.name, number=number)
    state.merge(vm.traffic.decisions.pop(number, MoveDecision()), wall_ms)
    settled = settled_version_of(vm, move.stage)
    if settled != move.from_version:
        reason = f"the stage uses {settled}, not {move.from_version}"
        take_back(state, reason, wall_ms)
        record_mark(vm, state)


def take_back_withdrawn(vm: Vm, wall_ms: int) -> None:
    """Take back active moves that the configuration in force no longer contains."""
    published = {move_number(move) for move in vm.objects.moves.values()}
    for number, state in vm.traffic.moves.items():
        if number in published or state.decision.taken_back:
            continue
        version = vm.configuration.version
        if take_back(state, f"version {version} of the objects lacks it", wall_ms):
            record_mark(vm, state)


def update_late_limits(vm: Vm, state: MoveState) -> None:
    """Set the duration above which a call counts as late, for each pipeline.

    It is derived from the old version's recent calls, so that both versions have the
    same limit. Until this VM has seen enough calls, other VMs' limits are used.
    """
    now_ms = vm.clock.now_ms()
    if now_ms - state.late_limits_set_ms < LATE_LIMIT_INTERVAL_MS:
        return
    state.late_limits_set_ms = now_ms
    move = state.move
    for pipeline in vm.objects.pipelines.values():
        if all(step.stage != move.stage for step in pipeline.steps):
            continue
        quantile_ms = vm.traffic.latencies.quantile_ms(
            move.from_version, pipeline.name, LATE_QUANTILE, MIN_RUNS
        )
        if quantile_ms is not None:
            state.late_above_ms[route_number(pipeline.name)] = quantile_ms * LATE_FACTOR


def record_mark(vm: Vm, state: MoveState) -> None:
    """Record a step or a take-back that this VM has decided or received."""
    decision = state.decision
    if decision.taken_back:
        vm.journal.record(
            Event.MOVE_TAKEN_BACK, move=state.move.name, reason=decision.reason
        )
    else:
        vm.journal.record(Event.MOVE_STEP, move=state.move.name, step=decision.step)


def record_verdict_due(vm: Vm, state: MoveState) -> None:
    """Set the time since which a verdict has been due."""
    is_due = state.decision.taken_back or state.is_complete()
    if is_due and state.verdict_due_since_ms is None:
        state.verdict_due_since_ms = vm.clock.now_ms()
