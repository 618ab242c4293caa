"""Hand out slots for calls, so that no upstream gets more than it bears."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from ..calls import StageCall
from ..exceptions import CuminstileError, ErrorCode, RunStatus
from ..objects.model import Role
from .choice import CHOICES
from .client import UpstreamError, cancel_call, upstream_failed_error
from .crashes import (
    Suspicion,
    place_for_suspect,
    refuse_quarantined,
    suspicion_of,
)
from .ejection import is_ejected, is_probed
from .isolation import give_up, may_start, reserve, wait_for_turn
from .leases import holds, usable_slots
from .load import PAUSE_LIMIT_MS
from .peers import is_owner, owner_of, working_here
from .shares import share
from .table import Condition, UpstreamState
from .waiting import is_line, wait_for_slot

if TYPE_CHECKING:
    from ..runtime import Vm

CANCEL_TIMEOUT_MS = 300
NEVER_LEFT_MS = float("inf")
PROBE_LIMIT = 1


@dataclass
class Slot:
    """Hold the right to run one call at one upstream.

    Parameters
    ----------
    alone : bool
        Whether the call has the upstream for itself.
    incarnation : int
        Of the upstream when the call was sent; 0 while unknown.
    settled : bool
        Whether it is sure that the call runs there no more.
    lost : bool
        Whether the connection broke, so that there is nothing to cancel.
    """

    vm: Vm
    call: StageCall
    state: UpstreamState
    number: int
    attempt: str
    isolated: bool = False
    incarnation: int = 0
    settled: bool = False
    lost: bool = False

    @property
    def sent_ms(self) -> float:
        """Return when the bytes of the call left; infinity while they have not."""
        return self.state.calls.get(self.number, NEVER_LEFT_MS)

    def is_cleared(self) -> bool:
        """Return whether a call that has an upstream for itself needs none."""
        return self.isolated and suspicion_of(self.vm, self.call) is Suspicion.NONE

    def check(self) -> None:
        """Make sure, right before the bytes leave, that the call is still allowed.

        Raises
        ------
        UpstreamError
            If this VM was paused, the upstream is not this VM's to call any more, or
            the request has come under suspicion meanwhile.
        """
        now_ms = self.vm.clock.now_ms()
        if not may_send(self.vm, self.state, now_ms):
            raise UpstreamError("lease", False)
        expected = Suspicion.SUSPECTED if self.isolated else Suspicion.NONE
        if suspicion_of(self.vm, self.call) is not expected and not self.is_cleared():
            raise UpstreamError("lease", False)
        self.state.calls[self.number] = now_ms
        self.incarnation = self.state.incarnation


@dataclass(frozen=True)
class Moved:
    """Stand in for a slot where another VM has become the one to call."""


def may_send(vm: Vm, state: UpstreamState, now_ms: float) -> bool:
    """Return whether a call that has its slot may still be sent."""
    if is_just_woken(vm, now_ms):
        return False
    if state.condition is Condition.COLD:
        # This call is itself one of those in flight.
        return state.in_flight <= usable_slots(vm, state, now_ms)
    return vm.leases.granted_to(state.name, now_ms) == ""


def is_just_woken(vm: Vm, now_ms: float) -> bool:
    """Return whether this VM was paused and may not have read what happened since."""
    table = vm.upstreams
    return now_ms - table.last_tick_ms > PAUSE_LIMIT_MS or now_ms < table.settled_ms


def own_limit(vm: Vm, state: UpstreamState, now_ms: float) -> int:
    """Return how many calls this VM may have in flight at an upstream now."""
    if state.suspects or is_ejected(state, now_ms) or is_just_woken(vm, now_ms):
        return 0
    limit = granted_limit(vm, state, now_ms)
    return min(limit, PROBE_LIMIT) if is_probed(state) else limit


def granted_limit(vm: Vm, state: UpstreamState, now_ms: float) -> int:
    """Return what leases and shares allow this VM at an upstream."""
    if state.condition is Condition.UNAVAILABLE:
        return 0
    if state.condition is Condition.COLD:
        return usable_slots(vm, state, now_ms)
    if vm.leases.granted_to(state.name, now_ms):
        return 0
    return share(state, working_here(vm), vm.settings.name)


def served_here(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]
) -> list[UpstreamState]:
    """Return the candidates for which the call may wait here."""
    if suspicion_of(vm, call) is Suspicion.SUSPECTED:
        places = place_for_suspect(call, candidates)
        return [state for state in places if is_owner(vm, state.name)]
    return [state for state in candidates if serves(vm, state)]


def serving_vms(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]
) -> frozenset[str]:
    """Return the VMs here that may call the candidates where this VM may not."""
    if suspicion_of(vm, call) is Suspicion.SUSPECTED:
        candidates = place_for_suspect(call, candidates)
    return frozenset(owner_of(vm, state.name) for state in candidates)


def serves(vm: Vm, state: UpstreamState) -> bool:
    """Return whether calls of an upstream may wait here for a slot."""
    own = vm.settings.name
    if state.condition is Condition.WARM:
        return share(state, working_here(vm), own) > 0
    return owner_of(vm, state.name) == own


@asynccontextmanager
async def slot(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState], attempt: str
) -> AsyncIterator[Slot]:
    """Wait for a slot at one of the candidates and hold it.

    A suspected request waits until it has an upstream for itself.

    Raises
    ------
    CuminstileError
        With `OVERLOADED` or `DEADLINE_PASSED`; nothing has run then.
    """
    taken: list[Slot] = []
    waited: Slot | Moved
    isolated = suspicion_of(vm, call) is Suspicion.SUSPECTED

    def try_acquire() -> Slot | Moved | None:
        if isolated:
            refuse_quarantined(vm, call)
        elif not any(serves(vm, state) for state in candidates):
            return Moved()
        state = pick_alone(vm, candidates) if isolated else pick(vm, call, candidates)
        if state is None:
            return None
        number = next(state.numbers)
        state.calls[number] = NEVER_LEFT_MS
        taken.append(Slot(vm, call, state, number, attempt, isolated))
        return taken[0]

    try:
        if isolated:
            await reserve(vm, candidates[0])
            waited = await wait_for_turn(vm, call, try_acquire)
            yield taken_or_moved(waited)
        else:
            refuse_to_wait(vm, call, candidates)
            is_free = bool(with_free_slot(vm, candidates))
            waited = await wait_for_slot(vm, call, candidates, try_acquire, is_free)
            yield taken_or_moved(waited)
    finally:
        for item in taken:
            await give_back(vm, item)
        if isolated:
            await give_up(vm, candidates[0])


def taken_or_moved(item: Slot | Moved) -> Slot:
    """Return a slot that was taken.

    Raises
    ------
    CuminstileError
        If another VM has to call; nothing has run.
    """
    if isinstance(item, Slot):
        return item
    error = UpstreamError("lease", False)
    raise upstream_failed_error(error, RunStatus.NOT_RUN) from error


def refuse_to_wait(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]
) -> None:
    """Refuse a call that would have to wait and may not.

    Raises
    ------
    CuminstileError
        With `OVERLOADED`; nothing has run.
    """
    if call.can_wait or not must_wait(vm, call, candidates):
        return
    raise CuminstileError(ErrorCode.OVERLOADED, "no slot is free at once")


def pick_alone(vm: Vm, candidates: Sequence[UpstreamState]) -> UpstreamState | None:
    """Return the reserved upstream once nothing runs there."""
    return candidates[0] if may_start(vm, candidates[0]) else None


def pick(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]
) -> UpstreamState | None:
    """Return the candidate that the settings' choice prefers, if one has a slot."""
    free = with_free_slot(vm, candidates)
    if not free:
        return None
    policy = vm.settings.limits
    is_engine = vm.objects.stages[call.stage].role is Role.ENGINE
    name = policy.engine_choice if is_engine else policy.choice
    return CHOICES[name](free, call, vm.clock.now_ms())


def with_free_slot(vm: Vm, candidates: Sequence[UpstreamState]) -> list[UpstreamState]:
    """Return the candidates at which this VM has a free slot now."""
    now_ms = vm.clock.now_ms()
    return [
        state for state in candidates if state.in_flight < own_limit(vm, state, now_ms)
    ]


def must_wait(vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]) -> bool:
    """Return whether a call would not get a slot at once."""
    if suspicion_of(vm, call) is Suspicion.SUSPECTED:
        return False
    return is_line(vm, call.version) or not with_free_slot(vm, candidates)


async def give_back(vm: Vm, item: Slot) -> None:
    """Free a slot; a call that may still run is cancelled first."""
    state = item.state
    try:
        if item.sent_ms < NEVER_LEFT_MS and not item.settled:
            record_stopped(vm, item)
            await cancel_at_upstream(vm, item)
    finally:
        state.calls.pop(item.number, None)
        vm.wait_queue.wake()


def record_stopped(vm: Vm, item: Slot) -> None:
    """Take how long a call had run when it was stopped."""
    call = item.call
    now_ms = vm.clock.now_ms()
    ran_ms = now_ms - item.sent_ms
    vm.stage_times.record_stopped(call.version, call.pipeline, ran_ms, now_ms)


async def cancel_at_upstream(vm: Vm, item: Slot) -> None:
    """Tell the upstream to stop a call, and count anew what runs there."""
    address = item.state.upstream.address
    if not item.lost:
        with anyio.move_on_after(CANCEL_TIMEOUT_MS / 1000.0, shield=True):
            await cancel_call(vm.upstream_pool, address, item.attempt)
    holding = vm.leases.holdings.get(item.state.name)
    now_ms = vm.clock.now_ms()
    if holding is not None and holds(vm, item.state.name, now_ms):
        holding.restart(now_ms)
