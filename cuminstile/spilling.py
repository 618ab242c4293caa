"""Hand work that would have to wait here to a VM that has a slot free.

Work handed over in this way never waits there: it gets a free slot or is refused at
once, and then waits here. So nothing is gained by it under overload, and it costs
little: a place that has refused is left alone for a while, and a burst asks one place
once in 10 ms only, since the first refusal is still under way.
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

LEFT_ALONE_MS = 100
PACE_MS = 10
NO_SLOT = (ErrorCode.OVERLOADED, ErrorCode.NO_UPSTREAM, ErrorCode.SHUTTING_DOWN)
MIN_REMAINING_MS = 100


@dataclass(frozen=True)
class Place:
    """Name where work was handed: a VM here, or another data centre."""

    name: str
    version: str


@dataclass
class SpillState:
    """Hold until when each place that has refused is left alone."""

    until_ms: dict[Place, float] = field(default_factory=dict)


def can_spill(vm: Vm, call: StageCall) -> bool:
    """Return whether a call may look for a free slot elsewhere.

    A call that may not be repeated stays where its key is claimed.
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
    """Run a call where a slot is free now; return nothing if none was found.

    A call that another VM here has forwarded may only go to another data centre.

    Raises
    ------
    CuminstileError
        If a VM took the call and then failed.
    """
    for session in places(vm, call, tried, can_forward):
        place = place_of(vm, call, session)
        vm.journal.record(
            Event.STAGE_SPILLED, request=call.request, step=call.step, peer=session.name
        )
        vm.spilling.until_ms[place] = vm.clock.now_ms() + PACE_MS
        handed_on = replace(call, can_wait=False)
        try:
            return await run_on_peer(vm, session, handed_on, trace, on_tokens)
        except CuminstileError as error:
            if error.code not in NO_SLOT:
                tried.append(session.name)
                raise
            vm.spilling.until_ms[place] = vm.clock.now_ms() + LEFT_ALONE_MS
    return None


def places(
    vm: Vm, call: StageCall, tried: list[str], can_forward: bool
) -> list[Session]:
    """Return a VM here and one of another data centre that may have a free slot."""
    siblings = [
        session
        for session in vm.sessions.of_data_centre(vm.settings.data_centre)
        if can_forward
        and session.name not in tried
        and not is_leaving(vm, session)
        and is_open(vm, call, session)
    ]
    found = [vm.random.choice(siblings)] if siblings else []
    elsewhere = None if call.handed_over else choose_peer(vm, call.version, tried)
    if elsewhere is not None and is_open(vm, call, elsewhere):
        found.append(elsewhere)
    return found


def place_of(vm: Vm, call: StageCall, session: Session) -> Place:
    """Return the place that stands for a session."""
    if session.data_centre == vm.settings.data_centre:
        return Place(session.name, call.version)
    return Place(session.data_centre, call.version)


def is_open(vm: Vm, call: StageCall, session: Session) -> bool:
    """Return whether the place has not refused lately."""
    place = place_of(vm, call, session)
    return vm.clock.now_ms() >= vm.spilling.until_ms.get(place, 0.0)
