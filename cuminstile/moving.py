"""Keep the traffic moves of a VM going."""

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

TICK_MS = 250
LATE_LIMIT_INTERVAL_MS = 2_000
LATE_QUANTILE = 0.85
LATE_FACTOR = 1.25
LEAST_RUNS = 10


async def run_moves_loop(vm: Vm) -> None:
    """Decide about the traffic moves and tell the other VMs, for ever."""
    while True:
        await advance_and_broadcast(vm)
        await vm.clock.sleep_ms(TICK_MS)


async def advance_and_broadcast(vm: Vm) -> None:
    """Decide once about the traffic moves and tell the other VMs what is new."""
    if vm.configuration.current is not None:
        advance_moves(vm)
    await send_decisions(vm)
    await send_evidence(vm)


def advance_moves(vm: Vm) -> None:
    """Take in what was published, then decide once about each move."""
    if not vm.traffic.knows_past_decisions():
        return
    wall_ms = vm.clock.wall_ms()
    forget_ended(vm)
    start_due(vm, wall_ms)
    take_back_withdrawn(vm, wall_ms)
    for state in vm.traffic.moves.values():
        update_late_limits(vm, state)
        if advance(state, wall_ms, vm.traffic.policy):
            note_mark(vm, state)
        note_wanted(vm, state)


def forget_ended(vm: Vm) -> None:
    """Drop the moves whose verdict is recorded."""
    traffic = vm.traffic
    for number in tuple(traffic.moves):
        if traffic.verdicts.of(number):
            del traffic.moves[number]
    for rounds in (traffic.here, traffic.elsewhere):
        for key in tuple(rounds.sent):
            if key[0] not in traffic.moves:
                del rounds.sent[key]


def start_due(vm: Vm, wall_ms: int) -> None:
    """Start the published moves whose time has come."""
    for move in sorted(vm.objects.moves.values(), key=start_of):
        number = move_number(move)
        state = vm.traffic.moves.get(number)
        if state is not None:
            state.move = move
        elif is_due(vm, move, number, wall_ms):
            start(vm, move, number, wall_ms)


def is_due(vm: Vm, move: TrafficMove, number: int, wall_ms: int) -> bool:
    """Return whether a move that has no state yet goes on now."""
    if wall_ms < move.start_at_ms or vm.traffic.verdicts.of(number):
        return False
    return not has_earlier(vm, move)


def start_of(move: TrafficMove) -> int:
    """Return when a move starts."""
    return move.start_at_ms


def has_earlier(vm: Vm, move: TrafficMove) -> bool:
    """Return whether another move of the stage has not ended yet."""
    return any(state.move.stage == move.stage for state in vm.traffic.moves.values())


def start(vm: Vm, move: TrafficMove, number: int, wall_ms: int) -> None:
    """Start a move; take it back at once if it starts from another version."""
    state = MoveState(move, number, step_since_ms=wall_ms)
    vm.traffic.moves[number] = state
    vm.journal.record(Event.MOVE_STARTED, move=move.name, number=number)
    state.merge(vm.traffic.decisions.pop(number, MoveDecision()), wall_ms)
    settled = settled_version_of(vm, move.stage)
    if settled != move.from_version:
        reason = f"the stage uses {settled}, not {move.from_version}"
        take_back(state, reason, wall_ms)
        note_mark(vm, state)


def take_back_withdrawn(vm: Vm, wall_ms: int) -> None:
    """Take back the moves under way that the objects in force don't have any more."""
    published = {move_number(move) for move in vm.objects.moves.values()}
    for number, state in vm.traffic.moves.items():
        if number in published or state.decision.taken_back:
            continue
        version = vm.configuration.version
        if take_back(state, f"version {version} of the objects lacks it", wall_ms):
            note_mark(vm, state)


def update_late_limits(vm: Vm, state: MoveState) -> None:
    """Set for each pipeline above which duration a call counts as late.

    The old version's own recent calls say so, so that both versions are measured
    alike; other VMs' limits serve while this VM has seen too few.
    """
    now_ms = vm.clock.now_ms()
    if now_ms - state.limits_at_ms < LATE_LIMIT_INTERVAL_MS:
        return
    state.limits_at_ms = now_ms
    move = state.move
    for pipeline in vm.objects.pipelines.values():
        if all(step.stage != move.stage for step in pipeline.steps):
            continue
        quantile_ms = vm.traffic.latencies.quantile_ms(
            move.from_version, pipeline.name, LATE_QUANTILE, LEAST_RUNS
        )
        if quantile_ms is not None:
            state.late_above_ms[route_number(pipeline.name)] = quantile_ms * LATE_FACTOR


def note_mark(vm: Vm, state: MoveState) -> None:
    """Record a step or a take-back that was decided or heard here."""
    decision = state.decision
    if decision.taken_back:
        vm.journal.record(
            Event.MOVE_TAKEN_BACK, move=state.move.name, reason=decision.reason
        )
    else:
        vm.journal.record(Event.MOVE_STEP, move=state.move.name, step=decision.step)


def note_wanted(vm: Vm, state: MoveState) -> None:
    """Note since when a verdict has been due."""
    is_due = state.decision.taken_back or state.is_complete()
    if is_due and state.verdict_due_since_ms is None:
        state.verdict_due_since_ms = vm.clock.now_ms()
