"""Make one attempt at a stage: on this VM, another VM, or the key's claimant."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from .calls import RunTrace, StageCall, StageOutcome, TokenSink
from .claim_routing import choose_claimant
from .claims import run_once
from .events import Event
from .exceptions import CuminstileError, ErrorCode, RunStatus
from .routing import choose_peer, serving_upstreams
from .spilling import can_spill, spill
from .upstream import limits
from .upstream.client import UpstreamError, call_upstream, upstream_failed_error
from .upstream.crashes import refuse_quarantined
from .upstream.loaded_versions import is_possibly_loaded
from .upstream.results import apply_answer, apply_failure
from .upstream.table import Condition, UpstreamState
from .vm.forwarding import run_on_peer
from .vm.sessions import Session

if TYPE_CHECKING:
    from .runtime import Vm


@dataclass
class TokenForwarder:
    """Forwards tokens and counts them, so that a stream can resume after a retry.

    Parameters
    ----------
    forwarded : int
        The index of the next token to forward.
    """

    on_tokens: TokenSink
    forwarded: int

    async def forward(self, index: int, tokens: tuple[str, ...]) -> None:
        """Forward the tokens that were not forwarded yet."""
        fresh = tokens[max(0, self.forwarded - index) :]
        if not fresh:
            return
        await self.on_tokens(self.forwarded, fresh)
        self.forwarded += len(fresh)


async def attempt_once(
    vm: Vm,
    call: StageCall,
    trace: RunTrace,
    forwarder: TokenForwarder,
    can_forward: bool,
    tried: list[str],
) -> StageOutcome:
    """Make one attempt: at an upstream of this data centre, or through another VM."""
    stage = vm.objects.stages.get(call.stage)
    if stage is None:
        raise no_upstream(call)
    attempt = attempt_repeatable if stage.repeatable else attempt_claimed
    return await attempt(vm, call, trace, forwarder, can_forward, tried)


async def attempt_claimed(
    vm: Vm,
    call: StageCall,
    trace: RunTrace,
    forwarder: TokenForwarder,
    can_forward: bool,
    tried: list[str],
) -> StageOutcome:
    """Run a call of a non-repeatable stage on the VM that claims its key."""
    local = local_upstreams(vm, call, tried)
    here = limits.served_here(vm, call, local)
    session: Session | None = None
    if can_forward:
        session = choose_claimant(vm, call, bool(here), local, tried)
    if not here or session is not None:
        return await run_elsewhere(vm, call, trace, forwarder, session, tried)

    async def dispatch() -> StageOutcome:
        # Checked only now, as the key may have run before the quarantine; a resend
        # then still gets the recorded outcome.
        refuse_quarantined(vm, call)
        return await run_here(vm, call, trace, forwarder, here, tried)

    return await run_once(vm, call, trace, dispatch)


async def attempt_repeatable(
    vm: Vm,
    call: StageCall,
    trace: RunTrace,
    forwarder: TokenForwarder,
    can_forward: bool,
    tried: list[str],
) -> StageOutcome:
    """Run a call of a repeatable stage on this VM if it can, otherwise elsewhere."""
    refuse_quarantined(vm, call)
    local = local_upstreams(vm, call, tried)
    here = limits.served_here(vm, call, local)
    if not here:
        session = choose_vm(vm, call, local, tried) if can_forward else None
        return await run_elsewhere(vm, call, trace, forwarder, session, tried)
    if can_spill(vm, call) and limits.must_wait(vm, call, here):
        outcome = await spill(vm, call, trace, forwarder.forward, tried, can_forward)
        if outcome is not None:
            return outcome
    return await run_here(vm, call, trace, forwarder, here, tried)


def choose_vm(
    vm: Vm, call: StageCall, local: list[UpstreamState], tried: list[str]
) -> Session | None:
    """Return a session with a local VM that serves the call, else a remote one."""
    session = choose_local_peer(vm, call, local, tried)
    if session is None and not call.handed_over:
        session = choose_peer(vm, call.version, tried)
    return session


async def run_elsewhere(
    vm: Vm,
    call: StageCall,
    trace: RunTrace,
    forwarder: TokenForwarder,
    session: Session | None,
    tried: list[str],
) -> StageOutcome:
    """Run the call on another VM.

    Raises
    ------
    CuminstileError
        With `NO_UPSTREAM` if `session` is None, or the error of the other VM.
    """
    if session is None:
        raise no_upstream(call)
    tried.append(session.name)
    vm.journal.record(
        Event.STAGE_FORWARDED, request=call.request, step=call.step, peer=session.name
    )
    avoid = tuple(name for name in tried if name in vm.upstreams.by_name)
    forwarded_call = replace(call, avoid=avoid)
    return await run_on_peer(vm, session, forwarded_call, trace, forwarder.forward)


def no_upstream(call: StageCall) -> CuminstileError:
    """Return the error for a stage that nothing serves."""
    return CuminstileError(
        ErrorCode.NO_UPSTREAM, f"no upstream serves stage {call.stage}"
    )


def local_upstreams(vm: Vm, call: StageCall, tried: list[str]) -> list[UpstreamState]:
    """Return the upstreams of this data centre that may run the call."""
    own = vm.settings.data_centre
    states = (
        vm.upstreams.state_of(upstream)
        for upstream in serving_upstreams(vm, call.version)
        if upstream.data_centre == own and upstream.name not in tried
    )
    return [
        state
        for state in states
        if state.condition is not Condition.UNAVAILABLE
        and is_possibly_loaded(vm, state.upstream, call.version)
    ]


def choose_local_peer(
    vm: Vm, call: StageCall, local: list[UpstreamState], tried: list[str]
) -> Session | None:
    """Return a session with a local VM that may call one of the upstreams."""
    names = limits.serving_vms(vm, call, local)
    sessions = [
        session
        for session in vm.sessions.of_data_centre(vm.settings.data_centre)
        if session.name in names and session.name not in tried
    ]
    return vm.random.choice(sessions) if sessions else None


async def run_here(
    vm: Vm,
    call: StageCall,
    trace: RunTrace,
    forwarder: TokenForwarder,
    candidates: list[UpstreamState],
    tried: list[str],
) -> StageOutcome:
    """Run the call on one of the candidates as soon as one has a free slot."""
    attempt = f"{call.request}.{call.step}.{secrets.token_hex(4)}"
    repeatable = vm.objects.stages[call.stage].repeatable
    async with limits.slot(vm, call, candidates, attempt) as slot:
        name = slot.state.name
        tried.append(name)
        vm.journal.record(
            Event.STAGE_STARTED, request=call.request, step=call.step, upstream=name
        )
        was_cold = slot.state.condition is Condition.COLD
        try:
            answer = await call_upstream(
                vm.upstream_pool,
                slot.state.upstream.address,
                call,
                attempt,
                call.deadline_ms - vm.clock.now_ms(),
                None if repeatable else trace,
                forwarder.forward,
                slot.check,
            )
        except UpstreamError as error:
            if error.reason == "lease":
                # The upstream did not fail, so it may be tried again.
                tried.remove(name)
            await apply_failure(vm, slot, error)
            record_failure(vm, call, slot.state, error)
            trace.record_failure(error.reason, was_cold)
            ran = RunStatus.UNKNOWN if trace.maybe_ran else RunStatus.NOT_RUN
            raise upstream_failed_error(error, ran) from error
        await apply_answer(vm, slot, answer)
    record_success(vm, call, slot.state)
    trace.record_answer(answer.state)
    own = vm.settings
    return StageOutcome(
        answer.output, call.version, name, own.data_centre, own.name, 1, 0.0
    )


def record_failure(
    vm: Vm, call: StageCall, chosen: UpstreamState, error: UpstreamError
) -> None:
    """Record a failed attempt."""
    vm.metrics.stage_attempts_total.inc({"stage": call.stage, "result": error.reason})
    vm.journal.record(
        Event.STAGE_FAILED,
        request=call.request,
        step=call.step,
        upstream=chosen.upstream.name,
        reason=error.reason,
    )
    if error.reason == "version_missing":
        chosen.loaded.record_missing(call.version, vm.clock.now_ms())
    if error.reason == "crossed":
        vm.metrics.answers_dropped_total.inc({"reason": "crossed"})
        vm.journal.record(
            Event.ANSWER_DROPPED, source=chosen.upstream.name, reason="crossed"
        )


def record_success(vm: Vm, call: StageCall, chosen: UpstreamState) -> None:
    """Record an attempt that returned the stage's output."""
    vm.metrics.stage_attempts_total.inc({"stage": call.stage, "result": "good"})
    vm.journal.record(
        Event.STAGE_ANSWERED,
        request=call.request,
        step=call.step,
        upstream=chosen.upstream.name,
    )
