"""Spill calls that would have to wait on this VM to a VM that has a free slot.

A spilled call never waits at its target: it gets a free slot or is refused at once, and
then waits here. So spilling gains nothing under overload, and it costs little: a target
that has refused gets no more calls for a while, and a burst sends a target at most one
call per 10 ms, since the first refusal has not arrived yet.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from .calls import RunTrace, StageCall, StageOutcome, TokenSink
from .events import Event
from .exceptions import CuminstileError, ErrorCode
from .routing import choose_peer, is_leaving
from .vm.forwarding import run_on_peer
from .vm.sessions import Session

if TYPE_CHECKING:
    from .runtime import Vm

REFUSAL_BACKOFF_MS = 100
SPILL_INTERVAL_MS = 10
NO_SLOT_CODES = (ErrorCode.OVERLOADED, ErrorCode.NO_UPSTREAM, ErrorCode.SHUTTING_DOWN)
MIN_REMAINING_MS = 100


@dataclass(frozen=True)
class SpillTarget:
    """Where calls of a version are spilled to: a local VM or another data centre."""

    name: str
    version: str


@dataclass
class SpillState:
    """Monotonic time until which each target gets no spilled calls."""

    blocked_until_ms: dict[SpillTarget, float] = field(default_factory=dict)


def can_spill(vm: Vm, call: StageCall) -> bool:
    """Return whether a call may be spilled.

    A call of a non-repeatable stage stays on the VM that claims its key.
    """
    stage = vm.objects.stages[call.stage]
    remaining_ms = call.deadline_ms - vm.clock.now_ms()
    return (
        vm.settings.limits.spill
        and call.can_wait
        and stage.repeatable
        and remaining_ms > MIN_REMAINING_MS
    )


async def spill(
    vm: Vm,
    call: StageCall,
    trace: RunTrace,
    on_tokens: TokenSink,
    tried: list[str],
    can_forward: bool,
) -> StageOutcome | None:
    """Run a call on a VM with a free slot; return None if no VM has one.

    A call forwarded by another local VM may only go to another data centre.

    Raises
    ------
    CuminstileError
        If a VM accepted the call and it failed there.
    """
    for session in spill_sessions(vm, call, tried, can_forward):
        target = target_of(vm, call, session)
        vm.journal.record(
            Event.STAGE_SPILLED, request=call.request, step=call.step, peer=session.name
        )
        vm.spilling.blocked_until_ms[target] = vm.clock.now_ms() + SPILL_INTERVAL_MS
        forwarded_call = replace(call, can_wait=False)
        try:
            return await run_on_peer(vm, session, forwarded_call, trace, on_tokens)
        except CuminstileError as error:
            if error.code not in NO_SLOT_CODES:
                tried.append(session.name)
                raise
            vm.spilling.blocked_until_ms[target] = (
                vm.clock.now_ms() + REFUSAL_BACKOFF_MS
            )
    return None


def spill_sessions(
    vm: Vm, call: StageCall, tried: list[str], can_forward: bool
) -> list[Session]:
    """Return at most one local and one remote VM that may have a free slot."""
    siblings = [
        session
        for session in vm.sessions.of_data_centre(vm.settings.data_centre)
        if can_forward
        and session.name not in tried
        and not is_leaving(vm, session)
        and is_target_open(vm, call, session)
    ]
    found = [vm.random.choice(siblings)] if siblings else []
    elsewhere = None if call.handed_over else choose_peer(vm, call.version, tried)
    if elsewhere is not None and is_target_open(vm, call, elsewhere):
        found.append(elsewhere)
    return found


def target_of(vm: Vm, call: StageCall, session: Session) -> SpillTarget:
    """Return the spill target that a session belongs to."""
    if session.data_centre == vm.settings.data_centre:
        return SpillTarget(session.name, call.version)
    return SpillTarget(session.data_centre, call.version)


def is_target_open(vm: Vm, call: StageCall, session: Session) -> bool:
    """Return whether the session's target may get a spilled call now."""
    target = target_of(vm, call, session)
    return vm.clock.now_ms() >= vm.spilling.blocked_until_ms.get(target, 0.0)
