"""Run stages on other VMs, and run stages here for other VMs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import anyio

from ..calls import RunTrace, StageCall, StageOutcome, TokenSink
from ..events import Event
from ..exceptions import CuminstileError, ErrorCode, RunStatus
from ..pipeline import internal_error
from ..wire import Message
from .ending import shutting_down
from .messages import (
    ClaimOutcomeResponse,
    RunStage,
    StageCancel,
    StageDone,
    StageRefused,
    StageTokens,
)
from .sessions import Session, peer_lost

if TYPE_CHECKING:
    from ..runtime import Vm


async def run_on_peer(
    vm: Vm, session: Session, call: StageCall, trace: RunTrace, on_tokens: TokenSink
) -> StageOutcome:
    """Run one stage on another VM.

    Raises
    ------
    CuminstileError
        The other VM's refusal, or `PEER_LOST` if the session closed.
    """
    number = next(session.numbers)
    answers, incoming = anyio.create_memory_object_stream[Message](math.inf)
    session.calls[number] = answers
    repeatable = vm.objects.stages[call.stage].repeatable
    finished = False
    try:
        if not repeatable:
            trace.maybe_ran = True
        await send_call(session, make_run_stage(vm, number, call), trace)
        async for message in incoming:
            if isinstance(message, StageTokens):
                await on_tokens(message.index, message.tokens)
                continue
            finished = True
            return outcome_of(message, trace, repeatable)
        raise peer_lost(session.name)
    finally:
        session.calls.pop(number, None)
        if not finished:
            with anyio.CancelScope(shield=True):
                await send_cancel(session, number)


async def send_call(session: Session, message: RunStage, trace: RunTrace) -> None:
    """Send a call; if it is too large, mark it as not run and raise the error."""
    try:
        await session.send(message)
    except CuminstileError as error:
        if error.code is ErrorCode.BODY_TOO_LARGE:
            trace.maybe_ran = False
        raise


async def send_answer(session: Session, answer: StageDone | StageRefused) -> None:
    """Send an answer, or a refusal in its place if it is too large."""
    try:
        await session.send(answer)
    except CuminstileError as error:
        if error.code is not ErrorCode.BODY_TOO_LARGE:
            raise
        text = f"the upstream's answer is too large: {error.message}"
        code = ErrorCode.UPSTREAM_FAILED
        refused = StageRefused(
            answer.call, code, text, RunStatus.UNKNOWN, answer.failures, answer.excused
        )
        await session.send(refused)


async def send_cancel(session: Session, number: int) -> None:
    """Cancel a call on the other VM, without reporting a failure to do so."""
    try:
        with anyio.move_on_after(1.0):
            await session.send(StageCancel(number))
    except CuminstileError:
        return


def make_run_stage(vm: Vm, number: int, call: StageCall) -> RunStage:
    """Return the message that requests one call."""
    return RunStage(
        call=number,
        request=call.request,
        organisation=call.organisation,
        pipeline=call.pipeline,
        step=call.step,
        stage=call.stage,
        version=call.version,
        input=call.input,
        stream=call.stream,
        priority=call.priority,
        remaining_ms=call.deadline_ms - vm.clock.now_ms(),
        resume_at=call.resume_at,
        idempotency_key=call.idempotency_key,
        issued_at_ms=call.issued_at_ms,
        avoid=call.avoid,
        can_wait=call.can_wait,
    )


def outcome_of(message: Any, trace: RunTrace, repeatable: bool) -> StageOutcome:
    """Return the outcome that the other VM sent, or raise its refusal."""
    trace.failures += message.failures
    trace.excused = trace.excused or message.excused
    if isinstance(message, StageDone):
        return StageOutcome(
            message.output,
            message.version,
            message.upstream,
            message.data_centre,
            message.vm,
            message.attempts,
            message.elapsed_ms,
        )
    if message.ran is RunStatus.NOT_RUN and not repeatable:
        trace.maybe_ran = False
    raise CuminstileError(message.code, message.message, message.ran)


async def on_answer(
    vm: Vm,
    session: Session,
    message: StageTokens | StageDone | StageRefused | ClaimOutcomeResponse,
) -> None:
    """Pass an answer to the call that waits for it, or drop it if there is none."""
    answers = session.calls.get(message.call)
    if answers is None:
        vm.metrics.answers_dropped_total.inc({"reason": "no_call"})
        vm.journal.record(
            Event.ANSWER_DROPPED, source=session.name, reason="no call waits"
        )
        return
    await answers.send(message)


async def on_run_stage(vm: Vm, session: Session, message: RunStage) -> None:
    """Start a task that runs a stage for another VM."""
    session.tasks.start_soon(serve_stage, vm, session, message)


async def on_stage_cancel(vm: Vm, session: Session, message: StageCancel) -> None:
    """Cancel a stage that the other VM no longer waits for."""
    scope = session.serving.get(message.call)
    if scope is not None:
        scope.cancel()


async def serve_stage(vm: Vm, session: Session, message: RunStage) -> None:
    """Run a stage for another VM and send the answer."""
    call = StageCall(
        request=message.request,
        organisation=message.organisation,
        pipeline=message.pipeline,
        step=message.step,
        stage=message.stage,
        version=message.version,
        input=message.input,
        stream=message.stream,
        priority=message.priority,
        deadline_ms=vm.clock.now_ms() + message.remaining_ms,
        resume_at=message.resume_at,
        idempotency_key=message.idempotency_key,
        issued_at_ms=message.issued_at_ms,
        avoid=message.avoid,
        can_wait=message.can_wait,
        handed_over=session.data_centre != vm.settings.data_centre,
    )

    async def on_tokens(index: int, tokens: tuple[str, ...]) -> None:
        await session.send(StageTokens(message.call, index, tokens))

    with anyio.CancelScope() as scope:
        session.serving[message.call] = scope
        vm.activity.forwarded += 1
        try:
            answer = await answer_stage(vm, call, message.call, on_tokens)
            await send_answer(session, answer)
        except CuminstileError:
            # The session closed; the other VM detects that itself.
            return
        finally:
            vm.activity.forwarded -= 1
            session.serving.pop(message.call, None)


async def run_before_end(
    vm: Vm, call: StageCall, trace: RunTrace, on_tokens: TokenSink
) -> StageOutcome:
    """Run a stage for another VM; raise `SHUTTING_DOWN` if this VM ends before."""
    outcome: StageOutcome | None = None
    if not vm.closing:
        with vm.end_scopes.scope():
            # A call from another data centre may be passed on to a VM of this one.
            outcome = await vm.run_stage(vm, call, trace, on_tokens, call.handed_over)
    if outcome is None:
        raise shutting_down(vm)
    return outcome


async def answer_stage(
    vm: Vm, call: StageCall, number: int, on_tokens: TokenSink
) -> StageDone | StageRefused:
    """Run a stage here and return the answer or the refusal."""
    trace = RunTrace()
    try:
        outcome = await run_before_end(vm, call, trace, on_tokens)
    except CuminstileError as error:
        ran = RunStatus.UNKNOWN if trace.maybe_ran else error.ran
        return StageRefused(
            number, error.code, error.message, ran, trace.failures, trace.excused
        )
    except Exception as error:
        refused = internal_error(vm, error)
        return StageRefused(number, refused.code, refused.message, refused.ran)
    return StageDone(
        number,
        outcome.output,
        outcome.version,
        outcome.upstream,
        outcome.data_centre,
        outcome.vm,
        outcome.attempts,
        outcome.elapsed_ms,
        trace.failures,
        trace.excused,
    )
