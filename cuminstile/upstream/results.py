"""Judge upstreams by how each call ended, and tell the other VMs what it shows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..calls import StageCall
from ..events import Event
from .client import UpstreamAnswer, UpstreamError
from .crashes import note_survived, record_lost_call
from .ejection import record_failed_call, record_good_call
from .evidence import (
    LoadReport,
    mark_cold,
    mark_warm,
    take_good_answer,
    take_refusal,
)
from .limits import Slot
from .load import announce
from .peers import upstreams_here
from .table import Condition, UpstreamState

if TYPE_CHECKING:
    from ..runtime import Vm

REFUSALS = ("busy", "cold", "version_missing", "refused")
SETTLED = (*REFUSALS, "failed", "connect", "lease")


async def apply_answer(vm: Vm, item: Slot, answer: UpstreamAnswer) -> None:
    """Take the evidence of a good answer."""
    item.settled = True
    state = item.state
    now_ms = vm.clock.now_ms()
    sent_ms = item.sent_ms
    call = item.call
    vm.stage_times.record_run(call.version, call.pipeline, now_ms - sent_ms, now_ms)
    vm.retries.earn(item.call.stage, vm.settings.limits.retry_fraction, now_ms)
    if item.isolated:
        await note_survived(vm, item.call)
    record_good_call(state)
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
    return state.condition is Condition.COLD and state.ramp_limit >= state.capacity


def siblings_of(vm: Vm, call: StageCall) -> list[UpstreamState]:
    """Return the upstreams here that serve a call, also those that it has tried."""
    every = (vm.upstreams.state_of(upstream) for upstream in upstreams_here(vm))
    return [
        state
        for state in every
        if call.version in state.upstream.versions
        and state.condition is not Condition.UNAVAILABLE
    ]


async def apply_failure(vm: Vm, item: Slot, error: UpstreamError) -> None:
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
    siblings = siblings_of(vm, item.call)
    if record_failed_call(state, siblings, now_ms, vm.random.random()):
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
    await record_lost_call(vm, item.call, report, item.incarnation, item.isolated)


async def take_as_cold(vm: Vm, state: UpstreamState) -> None:
    """Take an upstream as cold from now on, and tell everyone if it was warm."""
    state.reserved_warm = False
    if mark_cold(state, vm.clock.now_ms(), cold_observed=True):
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
