"""Run the steps of a pipeline for one request."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio

from .admission import (
    NO_BUDGET,
    TRIED_ANYWAY,
    Budget,
    budget_of,
    refuse_too_short,
    steps_beside,
    too_short,
)
from .calls import RunTrace, StageCall, StageOutcome, TokenSink, drop_tokens
from .events import Event
from .exceptions import CuminstileError, ErrorCode, RunStatus, raised_at
from .objects.model import Pipeline, Step

if TYPE_CHECKING:
    from .runtime import Vm


@dataclass(frozen=True)
class Request:
    """Hold one caller's request.

    Parameters
    ----------
    deadline_ms : float
        Monotonic time of this VM by which the answer must be whole.
    idempotency_key : str
        Empty for a request without one.
    issued_at_ms : int
        When the caller issued its key, in ms since 1970 UTC.
    is_resend : bool
        Whether the caller has sent this key before.
    """

    name: str
    organisation: str
    pipeline: Pipeline
    input: Any
    stream: bool
    deadline_ms: float
    idempotency_key: str
    issued_at_ms: int
    is_resend: bool = False


@dataclass
class Progress:
    """Hold what the steps of one request have given so far.

    Parameters
    ----------
    traces : dict of str to RunTrace
        For each step, whether a call that may not be repeated may have run.
    is_probe : bool
        Whether the request is tried although it seems that it cannot be in time.
    """

    outcomes: dict[str, StageOutcome] = field(default_factory=dict)
    finished: dict[str, anyio.Event] = field(default_factory=dict)
    traces: dict[str, RunTrace] = field(default_factory=dict)
    is_probe: bool = False
    error: CuminstileError | None = None

    def maybe_ran(self) -> bool:
        """Return whether anything that may not be repeated may have run."""
        return any(trace.maybe_ran for trace in self.traces.values())


async def run_pipeline(
    vm: Vm, request: Request, progress: Progress, on_tokens: TokenSink
) -> None:
    """Run every step, each as soon as the steps that it needs are done.

    Raises
    ------
    CuminstileError
        The first error of a step; the other steps are then cancelled.
    """
    steps = request.pipeline.steps
    progress.finished = {step.name: anyio.Event() for step in steps}
    progress.traces = {step.name: RunTrace() for step in steps}
    predict(vm, request, progress, [step for step in steps if not step.needs])
    async with anyio.create_task_group() as tasks:

        async def run(step: Step, sink: TokenSink) -> None:
            try:
                await run_step(vm, request, step, progress, sink)
            except CuminstileError as error:
                progress.error = progress.error or error
                tasks.cancel_scope.cancel()
            except Exception as error:
                # A fault of ours must not take other requests with it.
                progress.error = progress.error or internal_error(vm, error)
                tasks.cancel_scope.cancel()

        for step in steps:
            is_last = step is steps[-1]
            tasks.start_soon(run, step, on_tokens if is_last else drop_tokens)
    if progress.error is not None:
        raise progress.error


def internal_error(vm: Vm, error: Exception) -> CuminstileError:
    """Record an unexpected error and return the one that the caller sees.

    Only its type and place are recorded: its text may hold a key or an input.
    """
    name = type(error).__name__
    vm.journal.record(Event.INTERNAL_ERROR, error=name, place=raised_at(error))
    return CuminstileError(ErrorCode.INTERNAL, "internal error", RunStatus.UNKNOWN)


async def run_step(
    vm: Vm, request: Request, step: Step, progress: Progress, on_tokens: TokenSink
) -> None:
    """Wait for the steps that this one needs, then run its stage."""
    for name in step.needs:
        await progress.finished[name].wait()
    if step.needs:
        predict(vm, request, progress, [step])
    stage = vm.objects.stages[step.stage]
    budget = budget_for(vm, request, progress, step)
    is_last = step is request.pipeline.steps[-1]
    call = StageCall(
        request=request.name,
        organisation=request.organisation,
        pipeline=request.pipeline.name,
        step=step.name,
        stage=step.stage,
        version="",
        input=input_of(request, step, progress.outcomes),
        stream=stage.streams and request.stream and is_last,
        priority=0,
        deadline_ms=request.deadline_ms - budget.later_ms,
        idempotency_key=request.idempotency_key,
        issued_at_ms=request.issued_at_ms,
        reserve_ms=budget.reserve_ms,
        is_probe=budget.is_probe,
    )
    outcome = await run_in_budget(vm, request, call, progress, on_tokens)
    progress.outcomes[step.name] = outcome
    progress.finished[step.name].set()


def predict(
    vm: Vm, request: Request, progress: Progress, steps: Sequence[Step]
) -> None:
    """Refuse the request if these steps, and those after them, can't be in time.

    Where work that may not be repeated may have run, the rest is tried in any case.

    Raises
    ------
    CuminstileError
        With `DEADLINE_TOO_SHORT`; these steps have not run.
    """
    if progress.is_probe or progress.maybe_ran():
        return
    progress.is_probe = refuse_too_short(
        vm, request.pipeline, request.organisation, steps, request.deadline_ms
    )


def budget_for(vm: Vm, request: Request, progress: Progress, step: Step) -> Budget:
    """Return the time that a step leaves to the later ones.

    A run that may not be repeated is stopped at the caller's deadline alone. So no
    step beside or after it is refused or stopped earlier: that would end it as well.
    """
    stages = vm.objects.stages
    beside = steps_beside(request.pipeline, step)
    is_held = any(not stages[other.stage].repeatable for other in beside)
    if progress.is_probe or progress.maybe_ran() or is_held:
        return TRIED_ANYWAY
    if not stages[step.stage].repeatable:
        return NO_BUDGET
    return budget_of(vm, request.pipeline, step)


async def run_in_budget(
    vm: Vm,
    request: Request,
    call: StageCall,
    progress: Progress,
    on_tokens: TokenSink,
) -> StageOutcome:
    """Run one stage, and stop it when the later ones cannot be in time any more.

    Raises
    ------
    CuminstileError
        With `DEADLINE_TOO_SHORT` if the caller's own deadline has not passed.
    """
    trace = progress.traces[call.step]
    outcome: StageOutcome | None = None
    error: Exception | None = None
    async with anyio.create_task_group() as tasks:
        if call.deadline_ms < request.deadline_ms:
            tasks.start_soon(stop_late, vm, call.deadline_ms, tasks.cancel_scope)
        try:
            outcome = await vm.run_stage(vm, call, trace, on_tokens, True)
        except Exception as caught:
            error = caught
        tasks.cancel_scope.cancel()
    if outcome is not None:
        return outcome
    if error is None:
        raise too_short("the later steps of this request cannot be in time any more")
    if is_late(error) and vm.clock.now_ms() < request.deadline_ms:
        raise too_short("no upstream was free in time for the deadline") from error
    raise error


async def stop_late(vm: Vm, at_ms: float, scope: anyio.CancelScope) -> None:
    """Cancel a scope at a moment of this VM's clock."""
    await vm.clock.sleep_ms(at_ms - vm.clock.now_ms())
    scope.cancel()


def is_late(error: Exception) -> bool:
    """Return whether a stage was refused for want of time."""
    return (
        isinstance(error, CuminstileError) and error.code is ErrorCode.DEADLINE_PASSED
    )


def input_of(
    request: Request, step: Step, outcomes: Mapping[str, StageOutcome]
) -> dict[str, Any]:
    """Return a step's input: the caller's and the outputs that the step needs."""
    outputs = {name: outcomes[name].output for name in step.needs}
    return {"request": request.input, "outputs": outputs}
