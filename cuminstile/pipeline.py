"""Run the steps of a pipeline for one request."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio

from .admission import (
    NO_BUDGET,
    PROBE_BUDGET,
    Budget,
    budget_of,
    concurrent_steps,
    deadline_too_short,
    refuse_infeasible,
)
from .calls import RunTrace, StageCall, StageOutcome, TokenSink, drop_tokens
from .events import Event
from .exceptions import CuminstileError, ErrorCode, RunStatus, raised_at
from .objects.model import Pipeline, Step
from .shutdown.in_progress import Phase, RequestInProgress

if TYPE_CHECKING:
    from .runtime import Vm


@dataclass(frozen=True)
class Request:
    """A caller's request.

    Parameters
    ----------
    deadline_ms : float
        Monotonic time of this VM by which the answer must be complete.
    idempotency_key : str
        Empty for a request without one.
    issued_at_ms : int
        When the caller issued its key, in ms since 1970 UTC.
    is_resend : bool
        Whether the caller has sent this key before.
    ends_with_vm : bool
        Whether the deadline is that of a VM that shuts down, before the caller's own.
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
    ends_with_vm: bool = False


@dataclass
class Progress:
    """Results of the steps of one request so far.

    Parameters
    ----------
    traces : dict of str to RunTrace
        For each step, whether a non-repeatable call may have run.
    is_probe : bool
        Whether the request is tried although it is estimated to be late.
    waiting : RequestInProgress
        What the request waits for now.
    """

    outcomes: dict[str, StageOutcome] = field(default_factory=dict)
    finished: dict[str, anyio.Event] = field(default_factory=dict)
    traces: dict[str, RunTrace] = field(default_factory=dict)
    is_probe: bool = False
    error: CuminstileError | None = None
    waiting: RequestInProgress = field(default_factory=RequestInProgress)

    def maybe_ran(self) -> bool:
        """Return whether a call of a non-repeatable stage may have run."""
        return any(trace.maybe_ran for trace in self.traces.values())


async def run_pipeline(
    vm: Vm, request: Request, progress: Progress, on_tokens: TokenSink
) -> None:
    """Run all steps, each as soon as the steps that it needs are done.

    Raises
    ------
    CuminstileError
        The first error of a step; the other steps are then cancelled.
    """
    steps = request.pipeline.steps
    progress.finished = {step.name: anyio.Event() for step in steps}
    progress.traces = {step.name: RunTrace() for step in steps}
    check_feasibility(vm, request, progress, [step for step in steps if not step.needs])
    async with anyio.create_task_group() as tasks:

        async def run(step: Step, sink: TokenSink) -> None:
            try:
                await run_step(vm, request, step, progress, sink)
            except CuminstileError as error:
                progress.error = progress.error or error
                tasks.cancel_scope.cancel()
            except Exception as error:
                # An error in this code must not end other requests.
                progress.error = progress.error or internal_error(vm, error)
                tasks.cancel_scope.cancel()

        for step in steps:
            is_last = step is steps[-1]
            tasks.start_soon(run, step, on_tokens if is_last else drop_tokens)
    if progress.error is not None:
        raise progress.error


def internal_error(vm: Vm, error: Exception) -> CuminstileError:
    """Record an unexpected error and return the error for the caller.

    Only its type and location are recorded, as its text may contain a key or an input.
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
        check_feasibility(vm, request, progress, [step])
    stage = vm.objects.stages[step.stage]
    budget = effective_budget(vm, request, progress, step)
    is_last = step is request.pipeline.steps[-1]
    call = StageCall(
        request=request.name,
        organisation=request.organisation,
        pipeline=request.pipeline.name,
        step=step.name,
        stage=step.stage,
        version="",
        input=step_input(request, step, progress.outcomes),
        stream=stage.streams and request.stream and is_last,
        priority=0,
        deadline_ms=request.deadline_ms - budget.later_ms,
        idempotency_key=request.idempotency_key,
        issued_at_ms=request.issued_at_ms,
        reserve_ms=budget.reserve_ms,
        is_probe=budget.is_probe,
    )
    progress.waiting.enter(Phase.STAGES, call.stage, vm.clock.now_ms())
    outcome = await run_within_budget(vm, request, call, progress, on_tokens)
    progress.outcomes[step.name] = outcome
    progress.finished[step.name].set()


def check_feasibility(
    vm: Vm, request: Request, progress: Progress, steps: Sequence[Step]
) -> None:
    """Refuse the request if these steps and the later ones can't be in time.

    If a call of a non-repeatable stage may have run, the rest is always tried.

    Raises
    ------
    CuminstileError
        With `DEADLINE_TOO_SHORT`; these steps have not run.
    """
    if progress.is_probe or progress.maybe_ran():
        return
    progress.is_probe = refuse_infeasible(
        vm, request.pipeline, request.organisation, steps, request.deadline_ms
    )


def effective_budget(
    vm: Vm, request: Request, progress: Progress, step: Step
) -> Budget:
    """Return the time that a step has to leave to the later ones.

    A non-repeatable run is stopped only at the caller's deadline. So no step that runs
    concurrently or later is refused or stopped early, as that would cancel the run too.
    """
    stages = vm.objects.stages
    concurrent = concurrent_steps(request.pipeline, step)
    has_unrepeatable = any(not stages[other.stage].repeatable for other in concurrent)
    if progress.is_probe or progress.maybe_ran() or has_unrepeatable:
        return PROBE_BUDGET
    if not stages[step.stage].repeatable:
        return NO_BUDGET
    return budget_of(vm, request.pipeline, step)


async def run_within_budget(
    vm: Vm,
    request: Request,
    call: StageCall,
    progress: Progress,
    on_tokens: TokenSink,
) -> StageOutcome:
    """Run one stage; cancel it when the later ones cannot be in time any more.

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
            tasks.start_soon(cancel_at, vm, call.deadline_ms, tasks.cancel_scope)
        try:
            outcome = await vm.run_stage(vm, call, trace, on_tokens, True)
        except Exception as caught:
            error = caught
        tasks.cancel_scope.cancel()
    if outcome is not None:
        return outcome
    if error is None:
        raise deadline_too_short(
            "cancelled: not enough time is left for the later steps"
        )
    if is_deadline_error(error) and vm.clock.now_ms() < request.deadline_ms:
        raise deadline_too_short("no upstream had a free slot in time") from error
    raise error


async def cancel_at(vm: Vm, at_ms: float, scope: anyio.CancelScope) -> None:
    """Cancel a scope at a monotonic time of this VM."""
    await vm.clock.sleep_ms(at_ms - vm.clock.now_ms())
    scope.cancel()


def is_deadline_error(error: Exception) -> bool:
    """Return whether a stage was refused because its deadline has passed."""
    return (
        isinstance(error, CuminstileError) and error.code is ErrorCode.DEADLINE_PASSED
    )


def step_input(
    request: Request, step: Step, outcomes: Mapping[str, StageOutcome]
) -> dict[str, Any]:
    """Return a step's input: the request's and the outputs of the steps it needs."""
    outputs = {name: outcomes[name].output for name in step.needs}
    return {"request": request.input, "outputs": outputs}
