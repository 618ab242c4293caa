"""Update the state of upstreams after each call, and announce changed conditions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..calls import StageCall
from ..events import Event
from .client import UpstreamAnswer, UpstreamError
from .crashes import clear_suspect, record_lost_call
from .ejection import record_failed_call, record_good_call
from .evidence import (
    LoadReport,
    apply_good_answer,
    apply_refusal,
    mark_cold,
    mark_warm,
)
from .limits import Slot
from .load import announce
from .peers import upstreams_here
from .table import Condition, UpstreamState

if TYPE_CHECKING:
    from ..runtime import Vm

REFUSAL_REASONS = ("busy", "cold", "version_missing", "refused")
FINISHED_REASONS = (*REFUSAL_REASONS, "failed", "connect", "lease")


async def apply_answer(vm: Vm, slot: Slot, answer: UpstreamAnswer) -> None:
    """Apply a good answer to the state of its upstream."""
    slot.finished = True
    state = slot.state
    now_ms = vm.clock.now_ms()
    sent_ms = slot.sent_ms
    call = slot.call
    vm.stage_times.record_run(call.version, call.pipeline, now_ms - sent_ms, now_ms)
    vm.retries.earn(slot.call.stage, vm.settings.limits.retry_fraction, now_ms)
    if slot.isolated:
        await clear_suspect(vm, slot.call)
    record_good_call(state)
    turned_cold = apply_good_answer(
        state, answer.state, answer.incarnation, sent_ms, now_ms
    )
    if turned_cold:
        await announce_cold(vm, state, "answer")
    elif is_ramped_up(vm, state):
        mark_warm(state, now_ms)
        vm.journal.record(Event.UPSTREAM_WARM, upstream=state.name)
        await announce(vm, (state,))


def is_ramped_up(vm: Vm, state: UpstreamState) -> bool:
    """Return whether a leased cold upstream has ramped up to its full capacity."""
    if state.suspect_calls:
        return False
    return state.condition is Condition.COLD and state.ramp_limit >= state.capacity


def siblings_of(vm: Vm, call: StageCall) -> list[UpstreamState]:
    """Return the upstreams of this data centre that serve a call's version.

    Those that the call has already tried are included.
    """
    every = (vm.upstreams.state_of(upstream) for upstream in upstreams_here(vm))
    return [
        state
        for state in every
        if call.version in state.upstream.versions
        and state.condition is not Condition.UNAVAILABLE
    ]


async def apply_failure(vm: Vm, slot: Slot, error: UpstreamError) -> None:
    """Apply a failed or refused call to the state of its upstream."""
    state = slot.state
    now_ms = vm.clock.now_ms()
    slot.finished = error.reason in FINISHED_REASONS
    slot.connection_lost = error.reason == "lost"
    if error.reason == "lease":
        return
    if error.reason in REFUSAL_REASONS:
        if apply_refusal(state, error.reason, error.incarnation, now_ms):
            await announce_cold(vm, state, "refusal")
        return
    siblings = siblings_of(vm, slot.call)
    if record_failed_call(state, siblings, now_ms, vm.random.random()):
        vm.journal.record(
            Event.UPSTREAM_EJECTED, upstream=state.name, failures=state.failures
        )
    if error.reason in ("lost", "connect"):
        await apply_connection_error(vm, slot, error)


async def apply_connection_error(vm: Vm, slot: Slot, error: UpstreamError) -> None:
    """Treat a connection that broke or could not be opened as a restart.

    A version that a traffic move has on trial may break its own calls, and must not
    make the upstream cold for other versions. For such a version only the call has
    failed if the upstream's report shows the same process and a warm state. In all
    other cases the upstream is marked cold before its report is requested, because the
    report lags and may describe the time before the restart.
    """
    state = slot.state
    was_sent = error.reason == "lost" and error.maybe_sent
    is_version_suspected = was_sent and is_on_trial(vm, slot.call)
    if not is_version_suspected:
        await mark_cold_and_announce(vm, state)
    if not was_sent:
        return
    report = await vm.load.fetch(vm, state.upstream)
    if is_version_suspected and not is_same_and_warm(state, report):
        await mark_cold_and_announce(vm, state)
    await record_lost_call(
        vm, slot.call, state.name, report, slot.incarnation, slot.isolated
    )


async def mark_cold_and_announce(vm: Vm, state: UpstreamState) -> None:
    """Mark an upstream cold, and announce it if its condition changed."""
    state.reserved_warm = False
    if mark_cold(state, vm.clock.now_ms(), cold_observed=True):
        await announce_cold(vm, state, "lost connection")


def is_on_trial(vm: Vm, call: StageCall) -> bool:
    """Return whether a traffic move introduces the version of a call."""
    moves = vm.traffic.moves.values()
    return any(state.move.to_version == call.version for state in moves)


def is_same_and_warm(state: UpstreamState, report: LoadReport | None) -> bool:
    """Return whether a report shows the known process in a warm state."""
    if report is None:
        return False
    known = state.incarnation in (0, report.incarnation)
    return known and report.condition is Condition.WARM


async def announce_cold(vm: Vm, state: UpstreamState, reason: str) -> None:
    """Log that an upstream turned cold, and send it to the other VMs."""
    vm.journal.record(Event.UPSTREAM_COLD, upstream=state.name, reason=reason)
    await announce(vm, (state,))
