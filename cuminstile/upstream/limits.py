"""Slots for calls, so that no upstream gets more concurrent calls than its capacity."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from ..calls import StageCall
from ..crash_limits import Suspicion
from ..exceptions import CuminstileError, ErrorCode, RunStatus
from ..objects.model import Role
from .choice import CHOICES
from .client import UpstreamError, cancel_call, upstream_failed_error
from .crashes import (
    refuse_quarantined,
    suspicion_of,
    upstreams_for_suspect,
)
from .ejection import is_ejected, is_half_open
from .isolation import can_start_isolated, release_reservation, reserve, wait_for_turn
from .leases import holds_lease, usable_slots
from .load import PAUSE_LIMIT_MS
from .peers import is_owner, owner_of, working_here
from .shares import share
from .table import Condition, UpstreamState
from .waiting import has_waiting_calls, wait_for_slot

if TYPE_CHECKING:
    from ..runtime import Vm

CANCEL_TIMEOUT_MS = 300
NOT_SENT_MS = float("inf")
HALF_OPEN_LIMIT = 1


@dataclass
class Slot:
    """The right to run one call at one upstream.

    Parameters
    ----------
    isolated : bool
        Whether the call is the only one at the upstream.
    incarnation : int
        Incarnation of the upstream when the call was sent; 0 while unknown.
    finished : bool
        Whether it is certain that the call no longer runs at the upstream.
    connection_lost : bool
        Whether the connection broke, so that there is nothing to cancel.
    """

    vm: Vm
    call: StageCall
    state: UpstreamState
    number: int
    attempt: str
    isolated: bool = False
    incarnation: int = 0
    finished: bool = False
    connection_lost: bool = False

    @property
    def sent_ms(self) -> float:
        """Return when the call was sent; infinity before that."""
        return self.state.calls.get(self.number, NOT_SENT_MS)

    def is_cleared(self) -> bool:
        """Return whether an isolated call is no longer suspected."""
        return self.isolated and suspicion_of(self.vm, self.call) is Suspicion.NONE

    def check(self) -> None:
        """Check right before the first byte is sent that the call is still allowed.

        Raises
        ------
        UpstreamError
            If this VM was paused, if it may no longer call the upstream, or if the
            request has become suspected.
        """
        now_ms = self.vm.clock.now_ms()
        if not can_send(self.vm, self.state, now_ms):
            raise UpstreamError("lease", False)
        expected = Suspicion.SUSPECTED if self.isolated else Suspicion.NONE
        if suspicion_of(self.vm, self.call) is not expected and not self.is_cleared():
            raise UpstreamError("lease", False)
        self.state.calls[self.number] = now_ms
        self.incarnation = self.state.incarnation


@dataclass(frozen=True)
class OwnerChanged:
    """Result of a failed acquisition: another VM now calls the candidates."""


def can_send(vm: Vm, state: UpstreamState, now_ms: float) -> bool:
    """Return whether a call that already has a slot may still be sent."""
    if is_just_resumed(vm, now_ms):
        return False
    if state.condition is Condition.COLD:
        # The calls in flight include this call.
        return state.in_flight <= usable_slots(vm, state, now_ms)
    return vm.leases.granted_to(state.name, now_ms) == ""


def is_just_resumed(vm: Vm, now_ms: float) -> bool:
    """Return whether this VM was paused and may not have read all messages since."""
    table = vm.upstreams
    return now_ms - table.last_tick_ms > PAUSE_LIMIT_MS or now_ms < table.usable_from_ms


def own_limit(vm: Vm, state: UpstreamState, now_ms: float) -> int:
    """Return how many calls this VM may have in flight at an upstream now."""
    if state.suspect_calls or is_ejected(state, now_ms) or is_just_resumed(vm, now_ms):
        return 0
    limit = granted_limit(vm, state, now_ms)
    return min(limit, HALF_OPEN_LIMIT) if is_half_open(state) else limit


def granted_limit(vm: Vm, state: UpstreamState, now_ms: float) -> int:
    """Return how many calls leases and shares allow this VM at an upstream."""
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
    """Return the candidates for which the call may wait at this VM."""
    if suspicion_of(vm, call) is Suspicion.SUSPECTED:
        isolating = upstreams_for_suspect(call, candidates)
        return [state for state in isolating if is_owner(vm, state.name)]
    return [state for state in candidates if serves(vm, state)]


def serving_vms(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]
) -> frozenset[str]:
    """Return the VMs of this data centre that own the candidates.

    They may call the candidates that this VM may not call.
    """
    if suspicion_of(vm, call) is Suspicion.SUSPECTED:
        candidates = upstreams_for_suspect(call, candidates)
    return frozenset(owner_of(vm, state.name) for state in candidates)


def serves(vm: Vm, state: UpstreamState) -> bool:
    """Return whether calls may wait at this VM for a slot at an upstream."""
    own = vm.settings.name
    if state.condition is Condition.WARM:
        return share(state, working_here(vm), own) > 0
    return owner_of(vm, state.name) == own


@asynccontextmanager
async def slot(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState], attempt: str
) -> AsyncIterator[Slot]:
    """Acquire a slot at one of the candidates, and release it at the end.

    A suspected request waits until no other call runs at its upstream.

    Raises
    ------
    CuminstileError
        With `OVERLOADED` or `DEADLINE_PASSED`; the call has not run.
    """
    acquired: list[Slot] = []
    result: Slot | OwnerChanged
    isolated = suspicion_of(vm, call) is Suspicion.SUSPECTED

    def try_acquire() -> Slot | OwnerChanged | None:
        if isolated:
            refuse_quarantined(vm, call)
        elif not any(serves(vm, state) for state in candidates):
            return OwnerChanged()
        state = (
            pick_isolated(vm, candidates) if isolated else pick(vm, call, candidates)
        )
        if state is None:
            return None
        number = next(state.call_numbers)
        state.calls[number] = NOT_SENT_MS
        acquired.append(Slot(vm, call, state, number, attempt, isolated))
        return acquired[0]

    try:
        if isolated:
            await reserve(vm, candidates[0])
            result = await wait_for_turn(vm, call, try_acquire)
            yield require_slot(result)
        else:
            refuse_to_wait(vm, call, candidates)
            is_free = bool(with_free_slot(vm, candidates))
            result = await wait_for_slot(vm, call, candidates, try_acquire, is_free)
            yield require_slot(result)
    finally:
        for held in acquired:
            await release_slot(vm, held)
        if isolated:
            await release_reservation(vm, candidates[0])


def require_slot(result: Slot | OwnerChanged) -> Slot:
    """Return the acquired slot.

    Raises
    ------
    CuminstileError
        If another VM now calls the candidates; the call has not run.
    """
    if isinstance(result, Slot):
        return result
    error = UpstreamError("lease", False)
    raise upstream_failed_error(error, RunStatus.NOT_RUN) from error


def refuse_to_wait(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]
) -> None:
    """Refuse a call that would have to wait but is not allowed to.

    Raises
    ------
    CuminstileError
        With `OVERLOADED`; the call has not run.
    """
    if call.can_wait or not must_wait(vm, call, candidates):
        return
    raise CuminstileError(
        ErrorCode.OVERLOADED,
        "no upstream has a free slot and the call is not allowed to wait",
    )


def pick_isolated(vm: Vm, candidates: Sequence[UpstreamState]) -> UpstreamState | None:
    """Return the reserved upstream if no call runs there, else None."""
    return candidates[0] if can_start_isolated(vm, candidates[0]) else None


def pick(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]
) -> UpstreamState | None:
    """Return the candidate that the configured policy prefers, or None.

    Only candidates with a free slot count.
    """
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
    """Return whether a call would not get a slot immediately."""
    if suspicion_of(vm, call) is Suspicion.SUSPECTED:
        return False
    return has_waiting_calls(vm, call.version) or not with_free_slot(vm, candidates)


async def release_slot(vm: Vm, held: Slot) -> None:
    """Release a slot, after cancelling its call if that may still run."""
    state = held.state
    try:
        if held.sent_ms < NOT_SENT_MS and not held.finished:
            record_stopped(vm, held)
            await cancel_at_upstream(vm, held)
    finally:
        state.calls.pop(held.number, None)
        vm.wait_queue.wake()


def record_stopped(vm: Vm, held: Slot) -> None:
    """Record how long a call had run when it was stopped."""
    call = held.call
    now_ms = vm.clock.now_ms()
    ran_ms = now_ms - held.sent_ms
    vm.stage_times.record_stopped(call.version, call.pipeline, ran_ms, now_ms)


async def cancel_at_upstream(vm: Vm, held: Slot) -> None:
    """Cancel a call at its upstream, and restart the count of foreign calls.

    The cancelled call may still run, and is no longer among this VM's calls.
    """
    address = held.state.upstream.address
    if not held.connection_lost:
        with anyio.move_on_after(CANCEL_TIMEOUT_MS / 1000.0, shield=True):
            await cancel_call(vm.upstream_pool, address, held.attempt)
    lease = vm.leases.own_leases.get(held.state.name)
    now_ms = vm.clock.now_ms()
    if lease is not None and holds_lease(vm, held.state.name, now_ms):
        lease.restart(now_ms)
