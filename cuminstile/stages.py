"""Run one stage of a request on an upstream of the right version."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .attempts import TokenForwarder, attempt_once, local_upstreams
from .calls import RunTrace, StageCall, StageOutcome, TokenSink
from .events import Event
from .exceptions import CuminstileError, ErrorCode, RunStatus
from .routing import serving_upstreams
from .traffic import Assignment, assign, watch_call
from .upstream.loaded_versions import is_possibly_loaded
from .upstream.retries import RETRY_PAUSE_MS, is_retry_allowed

if TYPE_CHECKING:
    from .runtime import Vm


async def run_stage(
    vm: Vm,
    call: StageCall,
    trace: RunTrace,
    on_tokens: TokenSink,
    can_forward: bool,
) -> StageOutcome:
    """Run one stage here or, if `can_forward`, on another VM.

    Raises
    ------
    CuminstileError
        The error of the last attempt; its `ran` shows whether the stage may have run.
    """
    if call.version:
        return await run_version(vm, call, trace, on_tokens, can_forward)
    assignment = choose_version(vm, call)
    call = replace(call, version=assignment.version)
    with watch_call(vm, call, assignment, trace):
        return await run_version(
            vm, call, trace, on_tokens, can_forward, assignment.fallback
        )


async def run_version(
    vm: Vm,
    call: StageCall,
    trace: RunTrace,
    on_tokens: TokenSink,
    can_forward: bool,
    fallback: str = "",
) -> StageOutcome:
    """Run one stage on upstreams of the call's version, with retries.

    A retry uses the version `fallback`, if there is one, unless tokens of the call's
    own version have already been forwarded. Under the same condition, `fallback` is
    used if no upstream serves the call's version.
    """
    started_ms = vm.clock.now_ms()
    forwarder = TokenForwarder(on_tokens, call.resume_at)
    tried = list(call.avoid)
    while True:
        current_call = replace(call, resume_at=forwarder.forwarded)
        try:
            outcome = await attempt_once(
                vm, current_call, trace, forwarder, can_forward, tried
            )
        except CuminstileError as error:
            if can_forward and await wait_for_agreement(vm, current_call, error, tried):
                continue
            is_unstreamed = forwarder.forwarded == call.resume_at
            if (
                is_unstreamed
                and fallback not in ("", call.version)
                and is_unserved(error)
            ):
                # Nothing ran, so this must not count against the version.
                trace.excused = True
                call = replace(call, version=fallback)
                continue
            if not is_retry_allowed(
                vm, current_call, trace, error, len(tried) - len(call.avoid)
            ):
                raise
            vm.journal.record(
                Event.STAGE_RETRIED, request=call.request, stage=call.stage
            )
            if fallback and is_unstreamed:
                call = replace(call, version=fallback)
                tried = list(call.avoid)
            continue
        elapsed_ms = vm.clock.now_ms() - started_ms
        vm.metrics.stage_ms.observe({"stage": call.stage}, elapsed_ms)
        return replace(
            outcome,
            elapsed_ms=elapsed_ms,
            attempts=max(1, len(tried) - len(call.avoid)),
        )


def choose_version(vm: Vm, call: StageCall) -> Assignment:
    """Return the version for this call and the traffic move that chose it."""

    def has_upstream(version: str) -> bool:
        upstreams = serving_upstreams(vm, version)
        return any(is_possibly_loaded(vm, upstream, version) for upstream in upstreams)

    return assign(vm, call, has_upstream)


def is_unserved(error: CuminstileError) -> bool:
    """Return whether a call has not run because no upstream serves its version."""
    return error.code is ErrorCode.NO_UPSTREAM and error.ran is RunStatus.NOT_RUN


async def wait_for_agreement(
    vm: Vm, call: StageCall, error: CuminstileError, tried: list[str]
) -> bool:
    """Pause if the local VMs do not agree yet which of them calls an upstream.

    Returns
    -------
    bool
        Whether the call should be tried again.
    """
    if not is_unserved(error):
        return False
    tried[:] = [name for name in tried if name not in vm.sessions.by_name]
    if not local_upstreams(vm, call, tried):
        return False
    await vm.clock.sleep_ms(RETRY_PAUSE_MS * (0.5 + vm.random.random()))
    return vm.clock.now_ms() < call.deadline_ms
