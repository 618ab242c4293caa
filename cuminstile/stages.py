"""Run one stage of a request on an upstream of the right version."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from .calls import RunTrace, StageCall, StageOutcome, TokenSink
from .events import Event
from .exceptions import CuminstileError, ErrorCode, Ran
from .objects.model import DataCentreState, Upstream
from .traffic import Assignment, assign, watch_call
from .upstream.choice import least_in_flight
from .upstream.client import UpstreamAnswer, UpstreamError, call_upstream, refusal
from .upstream.table import UpstreamState
from .vm.forwarding import run_on_peer
from .vm.sessions import Session

if TYPE_CHECKING:
    from .runtime import Vm

MAX_ATTEMPTS = 3


@dataclass
class TokenCounter:
    """Pass on tokens and count those passed, so that a stream can resume."""

    on_tokens: TokenSink
    passed: int

    async def take(self, index: int, tokens: tuple[str, ...]) -> None:
        """Pass on what was not passed yet."""
        fresh = tokens[max(0, self.passed - index) :]
        if not fresh:
            return
        await self.on_tokens(self.passed, fresh)
        self.passed += len(fresh)


async def run_stage(
    vm: Vm,
    call: StageCall,
    trace: RunTrace,
    on_tokens: TokenSink,
    may_forward: bool,
) -> StageOutcome:
    """Run one stage here or, if `may_forward`, on a VM of another data centre.

    Raises
    ------
    CuminstileError
        With what is known about the run.
    """
    if call.version:
        return await run_version(vm, call, trace, on_tokens, may_forward)
    assignment = choose_version(vm, call)
    call = replace(call, version=assignment.version)
    with watch_call(vm, call, assignment, trace):
        return await run_version(vm, call, trace, on_tokens, may_forward)


async def run_version(
    vm: Vm,
    call: StageCall,
    trace: RunTrace,
    on_tokens: TokenSink,
    may_forward: bool,
) -> StageOutcome:
    """Run one stage on upstreams of the call's version, with retries."""
    started_ms = vm.clock.now_ms()
    counter = TokenCounter(on_tokens, call.resume_at)
    tried: list[str] = []
    while True:
        present = replace(call, resume_at=counter.passed)
        try:
            outcome = await attempt_once(
                vm, present, trace, counter, may_forward, tried
            )
        except CuminstileError as error:
            if not may_retry(vm, present, trace, error, len(tried)):
                raise
            vm.journal.record(
                Event.STAGE_RETRIED, request=call.request, stage=call.stage
            )
            continue
        elapsed_ms = vm.clock.now_ms() - started_ms
        vm.metrics.stage_ms.observe({"stage": call.stage}, elapsed_ms)
        return replace(outcome, elapsed_ms=elapsed_ms, attempts=max(1, len(tried)))


def choose_version(vm: Vm, call: StageCall) -> Assignment:
    """Return the upstream version that serves this call, and why."""
    return assign(vm, call, has_upstream=lambda name: bool(serving(vm, name)))


def may_retry(
    vm: Vm, call: StageCall, trace: RunTrace, error: CuminstileError, attempts: int
) -> bool:
    """Return whether another attempt is allowed and makes sense."""
    retryable = (
        ErrorCode.UPSTREAM_FAILED,
        ErrorCode.PEER_LOST,
        ErrorCode.SHUTTING_DOWN,
    )
    if error.code not in retryable or attempts >= MAX_ATTEMPTS:
        return False
    if trace.maybe_ran and not vm.objects.stages[call.stage].repeatable:
        return False
    return vm.clock.now_ms() < call.deadline_ms


async def attempt_once(
    vm: Vm,
    call: StageCall,
    trace: RunTrace,
    counter: TokenCounter,
    may_forward: bool,
    tried: list[str],
) -> StageOutcome:
    """Try one upstream of this data centre, or one VM of another."""
    local = local_upstreams(vm, call, tried)
    if local:
        return await run_here(vm, call, trace, counter, local, tried)
    session = peer_for(vm, call, tried) if may_forward else None
    if session is None:
        raise no_upstream(call)
    tried.append(session.name)
    vm.journal.record(
        Event.STAGE_FORWARDED, request=call.request, step=call.step, peer=session.name
    )
    return await run_on_peer(vm, session, call, trace, counter.take)


def no_upstream(call: StageCall) -> CuminstileError:
    """Return the error for a stage that nothing serves."""
    return CuminstileError(
        ErrorCode.NO_UPSTREAM, f"no upstream serves stage {call.stage}"
    )


def local_upstreams(vm: Vm, call: StageCall, tried: list[str]) -> list[UpstreamState]:
    """Return the upstreams of this data centre that may run the call."""
    own = vm.settings.data_centre
    return [
        vm.upstreams.state_of(upstream)
        for upstream in serving(vm, call.version)
        if upstream.data_centre == own and upstream.name not in tried
    ]


def serving(vm: Vm, version: str) -> tuple[Upstream, ...]:
    """Return the upstreams of a version in data centres that are in."""
    centres = vm.objects.data_centres
    return tuple(
        upstream
        for upstream in vm.objects.by_version.get(version, ())
        if centres[upstream.data_centre].state is DataCentreState.IN
    )


def peer_for(vm: Vm, call: StageCall, tried: list[str]) -> Session | None:
    """Return a session with a VM whose data centre has an upstream for the call."""
    centres = {upstream.data_centre for upstream in serving(vm, call.version)}
    centres.discard(vm.settings.data_centre)
    sessions = [
        session
        for session in vm.sessions.by_name.values()
        if session.data_centre in centres and session.name not in tried
    ]
    staying = [session for session in sessions if not is_leaving(vm, session)]
    # A VM that leaves still works for a while: better than refusing.
    candidates = staying or sessions
    if not candidates:
        return None
    return vm.random.choice(candidates)


def is_leaving(vm: Vm, session: Session) -> bool:
    """Return whether the other VM is shutting down."""
    member = vm.members.by_name.get(session.name)
    return member is None or member.leaving


async def run_here(
    vm: Vm,
    call: StageCall,
    trace: RunTrace,
    counter: TokenCounter,
    candidates: list[UpstreamState],
    tried: list[str],
) -> StageOutcome:
    """Run the call on one of the candidates."""
    chosen = least_in_flight(candidates)
    name = chosen.upstream.name
    tried.append(name)
    attempt = f"{call.request}.{call.step}.{secrets.token_hex(4)}"
    repeatable = vm.objects.stages[call.stage].repeatable
    vm.journal.record(
        Event.STAGE_STARTED, request=call.request, step=call.step, upstream=name
    )
    chosen.in_flight += 1
    try:
        answer = await call_upstream(
            vm.upstream_pool,
            chosen.upstream.address,
            call,
            attempt,
            call.deadline_ms - vm.clock.now_ms(),
            None if repeatable else trace,
            counter.take,
        )
    except UpstreamError as error:
        note_failure(vm, call, chosen, error)
        trace.note_failure(error.reason, error.state)
        ran = Ran.UNKNOWN if trace.maybe_ran else Ran.NOT_RUN
        raise refusal(error, ran) from error
    finally:
        chosen.in_flight -= 1
    note_success(vm, call, chosen, answer)
    trace.note_answer(answer.state)
    own = vm.settings
    return StageOutcome(
        answer.output, call.version, name, own.data_centre, own.name, 1, 0.0
    )


def note_failure(
    vm: Vm, call: StageCall, chosen: UpstreamState, error: UpstreamError
) -> None:
    """Record an attempt that failed."""
    vm.metrics.stage_attempts_total.inc({"stage": call.stage, "result": error.reason})
    vm.journal.record(
        Event.STAGE_FAILED,
        request=call.request,
        step=call.step,
        upstream=chosen.upstream.name,
        reason=error.reason,
    )
    if error.reason == "crossed":
        vm.metrics.answers_dropped_total.inc({"reason": "crossed"})
        vm.journal.record(
            Event.ANSWER_DROPPED, source=chosen.upstream.name, reason="crossed"
        )


def note_success(
    vm: Vm, call: StageCall, chosen: UpstreamState, answer: UpstreamAnswer
) -> None:
    """Record an attempt that gave the stage's output."""
    chosen.incarnation = answer.incarnation
    chosen.state = answer.state
    vm.metrics.stage_attempts_total.inc({"stage": call.stage, "result": "good"})
    vm.journal.record(
        Event.STAGE_ANSWERED,
        request=call.request,
        step=call.step,
        upstream=chosen.upstream.name,
    )
