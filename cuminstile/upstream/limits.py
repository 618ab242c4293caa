"""Hand out slots for calls, so that no upstream gets more than it bears."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from ..calls import StageCall
from ..events import Event
from ..exceptions import CuminstileError, ErrorCode, Ran
from .alone import give_up, may_start, reserve, wait_for_turn
from .choice import CHOICES
from .client import UpstreamAnswer, UpstreamError, cancel_call, refusal
from .crashes import (
    Suspicion,
    note_lost,
    note_survived,
    place_for_suspect,
    refuse_quarantined,
    suspicion_of,
)
from .ejection import is_ejected, is_probed, note_call_failed, note_call_good
from .evidence import (
    LoadReport,
    mark_cold,
    mark_warm,
    take_good_answer,
    take_refusal,
)
from .expected import can_finish, note_cut_off
from .leases import holds, usable
from .load import PAUSE_LIMIT_MS, announce
from .peers import is_owner, owner_of, working_here
from .shares import share
from .table import Condition, UpstreamState
from .waiting import line_length, wait_for_slot

if TYPE_CHECKING:
    from ..runtime import Vm

CANCEL_TIMEOUT_MS = 300
NEVER_LEFT_MS = float("inf")
PROBE_LIMIT = 1
REFUSALS = ("busy", "cold", "version_missing", "refused")
SETTLED = (*REFUSALS, "failed", "connect", "lease")


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
    alone: bool = False
    incarnation: int = 0
    settled: bool = False
    lost: bool = False

    @property
    def sent_ms(self) -> float:
        """Return when the bytes of the call left; infinity while they have not."""
        return self.state.calls.get(self.number, NEVER_LEFT_MS)

    def is_cleared(self) -> bool:
        """Return whether a call that has an upstream for itself needs none."""
        return self.alone and suspicion_of(self.vm, self.call) is Suspicion.NONE

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
        expected = Suspicion.SUSPECTED if self.alone else Suspicion.NONE
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
        return state.in_flight <= usable(vm, state, now_ms)
    return vm.leases.granted_to(state.name, now_ms) == ""


def is_just_woken(vm: Vm, now_ms: float) -> bool:
    """Return whether this VM was paused and may not have read what happened since."""
    table = vm.upstreams
    return now_ms - table.ticked_ms > PAUSE_LIMIT_MS or now_ms < table.settled_ms


def own_limit(vm: Vm, state: UpstreamState, now_ms: float) -> int:
    """Return how many calls this VM may have in flight at an upstream now."""
    if state.suspects or is_ejected(state, now_ms) or is_just_woken(vm, now_ms):
        return 0
    limit = granted_limit(vm, state, now_ms)
    return min(limit, PROBE_LIMIT) if is_probed(state) else limit


def granted_limit(vm: Vm, state: UpstreamState, now_ms: float) -> int:
    """Return what leases and shares allow this VM at an upstream."""
    if state.condition is Condition.AWAY:
        return 0
    if state.condition is Condition.COLD:
        return usable(vm, state, now_ms)
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
    vm: Vm,
    call: StageCall,
    candidates: Sequence[UpstreamState],
    attempt: str,
    patience_ms: float = math.inf,
) -> AsyncIterator[Slot]:
    """Wait for a slot at one of the candidates and hold it.

    A suspected request waits until it has an upstream for itself.

    Raises
    ------
    CuminstileError
        With `OVERLOADED` or `DEADLINE_PASSED`; nothing has run then.
    StillWaiting
        After `patience_ms` in line; nothing has run then.
    """
    taken: list[Slot] = []
    waited: Slot | Moved
    alone = suspicion_of(vm, call) is Suspicion.SUSPECTED

    def take(state: UpstreamState | None) -> Slot | None:
        if state is None:
            return None
        number = next(state.numbers)
        state.calls[number] = NEVER_LEFT_MS
        taken.append(Slot(vm, call, state, number, attempt, alone))
        return taken[0]

    def try_alone() -> Slot | None:
        refuse_quarantined(vm, call)
        return take(pick_alone(vm, candidates))

    def try_warm() -> Slot | Moved | None:
        if not any(serves(vm, state) for state in candidates):
            return Moved()
        if line_length(vm, call.version) <= 1:
            return take(pick(vm, call, candidates))
        return take(pick(vm, call, of_condition(candidates, Condition.WARM)))

    def try_cold() -> Slot | None:
        return take(pick(vm, call, of_condition(candidates, Condition.COLD)))

    try:
        if alone:
            await reserve(vm, candidates[0])
            waited = await wait_for_turn(vm, call, try_alone)
            yield taken_or_moved(waited)
        else:
            refuse_to_wait(vm, call, candidates)
            waited = await wait_for_slot(
                vm, call, candidates, try_warm, try_cold, patience_ms
            )
            yield taken_or_moved(waited)
    finally:
        for item in taken:
            await give_back(vm, item)
        if alone:
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
    raise refusal(error, Ran.NOT_RUN) from error


def refuse_to_wait(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]
) -> None:
    """Refuse a call that would have to wait and may not.

    Raises
    ------
    CuminstileError
        With `OVERLOADED`; nothing has run.
    """
    if call.may_wait or not must_wait(vm, call, candidates):
        return
    raise CuminstileError(ErrorCode.OVERLOADED, "no slot is free at once")


def pick_alone(vm: Vm, candidates: Sequence[UpstreamState]) -> UpstreamState | None:
    """Return the reserved upstream once nothing runs there."""
    return candidates[0] if may_start(vm, candidates[0]) else None


def pick(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]
) -> UpstreamState | None:
    """Return the candidate that the settings' choice prefers, if one has a slot."""
    free = with_free_slot(vm, call, candidates)
    if not free:
        return None
    choose = CHOICES[vm.settings.limits.choice]
    return choose(free, call, vm.clock.now_ms())


def of_condition(
    candidates: Sequence[UpstreamState], condition: Condition
) -> list[UpstreamState]:
    """Return the candidates that are in a condition now."""
    return [state for state in candidates if state.condition is condition]


def with_free_slot(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]
) -> list[UpstreamState]:
    """Return the candidates with a free slot now at which the call may be in time."""
    now_ms = vm.clock.now_ms()
    return [
        state
        for state in candidates
        if state.in_flight < own_limit(vm, state, now_ms)
        and can_finish(state, call.deadline_ms, now_ms)
    ]


def must_wait(vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]) -> bool:
    """Return whether a call would not get a slot at once."""
    if suspicion_of(vm, call) is Suspicion.SUSPECTED:
        return False
    return line_length(vm, call.version) > 0 or not with_free_slot(vm, call, candidates)


async def give_back(vm: Vm, item: Slot) -> None:
    """Free a slot; a call that may still run is cancelled first."""
    state = item.state
    try:
        if item.sent_ms < NEVER_LEFT_MS and not item.settled:
            if not item.lost:
                now_ms = vm.clock.now_ms()
                note_cut_off(state, now_ms - item.sent_ms, now_ms)
            await cancel_at_upstream(vm, item)
    finally:
        state.calls.pop(item.number, None)
        vm.line.wake()


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


async def note_answered(vm: Vm, item: Slot, answer: UpstreamAnswer) -> None:
    """Take the evidence of a good answer."""
    item.settled = True
    state = item.state
    now_ms = vm.clock.now_ms()
    sent_ms = item.sent_ms
    vm.retries.earn(item.call.stage, vm.settings.limits.retry_fraction, now_ms)
    if item.alone:
        await note_survived(vm, item.call)
    note_call_good(state)
    turned = take_good_answer(state, answer.state, answer.incarnation, sent_ms, now_ms)
    if turned:
        await note_cold(vm, state, "answer")
    elif is_ramped_up(vm, state):
        mark_warm(state, now_ms)
        vm.journal.record(Event.UPSTREAM_WARM, upstream=state.name)
        await announce(vm, (state,))


def is_ramped_up(vm: Vm, state: UpstreamState) -> bool:
    """Return whether a held upstream has borne its whole capacity step by step."""
    if state.suspects:
        return False
    return state.condition is Condition.COLD and state.ramp >= state.capacity


async def note_failed(
    vm: Vm, item: Slot, error: UpstreamError, siblings: Sequence[UpstreamState]
) -> None:
    """Take the evidence of a call that gave no good answer."""
    state = item.state
    now_ms = vm.clock.now_ms()
    item.settled = error.reason in SETTLED
    item.lost = error.reason == "lost"
    if error.reason == "lease":
        return
    if error.reason in REFUSALS:
        if take_refusal(state, error.reason, error.incarnation, now_ms):
            await note_cold(vm, state, "refusal")
        return
    if note_call_failed(state, siblings, now_ms, vm.random.random()):
        vm.journal.record(
            Event.UPSTREAM_EJECTED, upstream=state.name, failures=state.failures
        )
    if error.reason in ("lost", "connect"):
        await note_connection(vm, item, error)


async def note_connection(vm: Vm, item: Slot, error: UpstreamError) -> None:
    """Take a connection that broke or that could not be opened as a restart.

    A version that a move has on trial may break its calls and must not turn the others
    there cold: for it, the call alone failed where the upstream's report shows the
    same process, warm. Otherwise no report is asked first, since it lags and may be
    of the time before the upstream turned cold.
    """
    state = item.state
    was_sent = error.reason == "lost" and error.left
    may_be_version = was_sent and is_on_trial(vm, item.call)
    if not may_be_version:
        await take_as_cold(vm, state)
    if not was_sent:
        return
    report = await vm.load.fetch(vm, state.upstream)
    if may_be_version and not is_same_and_warm(state, report):
        await take_as_cold(vm, state)
    await note_lost(vm, item.call, report, item.incarnation, item.alone)


async def take_as_cold(vm: Vm, state: UpstreamState) -> None:
    """Take an upstream as cold from now on, and tell everyone if it was warm."""
    state.reserved_warm = False
    if mark_cold(state, vm.clock.now_ms(), shown=True):
        await note_cold(vm, state, "lost connection")


def is_on_trial(vm: Vm, call: StageCall) -> bool:
    """Return whether a traffic move brings in the version of a call."""
    moves = vm.traffic.moves.values()
    return any(state.move.to_version == call.version for state in moves)


def is_same_and_warm(state: UpstreamState, report: LoadReport | None) -> bool:
    """Return whether a report shows the process that was known, and warm."""
    if report is None:
        return False
    known = state.incarnation in (0, report.incarnation)
    return known and report.condition is Condition.WARM


async def note_cold(vm: Vm, state: UpstreamState, reason: str) -> None:
    """Tell everyone that a warm upstream turned cold."""
    vm.journal.record(Event.UPSTREAM_COLD, upstream=state.name, reason=reason)
    await announce(vm, (state,))
