"""Run the steps of a pipeline for one request."""

from __future__ import annotations

import traceback
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio

from .calls import RunTrace, StageCall, StageOutcome, TokenSink, drop_tokens
from .events import Event
from .exceptions import CuminstileError, ErrorCode, Ran
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
    """

    outcomes: dict[str, StageOutcome] = field(default_factory=dict)
    finished: dict[str, anyio.Event] = field(default_factory=dict)
    traces: dict[str, RunTrace] = field(default_factory=dict)
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
    vm.journal.record(Event.INTERNAL_ERROR, error=name, place=place_of(error))
    return CuminstileError(ErrorCode.INTERNAL, "internal error", Ran.UNKNOWN)


def place_of(error: Exception) -> str:
    """Return the file and line where an error was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""


async def run_step(
    vm: Vm, request: Request, step: Step, progress: Progress, on_tokens: TokenSink
) -> None:
    """Wait for the steps that this one needs, then run its stage."""
    for name in step.needs:
        await progress.finished[name].wait()
    stage = vm.objects.stages[step.stage]
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
        deadline_ms=request.deadline_ms,
        idempotency_key=request.idempotency_key,
        issued_at_ms=request.issued_at_ms,
    )
    trace = progress.traces[step.name]
    outcome = await vm.run_stage(vm, call, trace, on_tokens, True)
    progress.outcomes[step.name] = outcome
    progress.finished[step.name].set()


def input_of(
    request: Request, step: Step, outcomes: Mapping[str, StageOutcome]
) -> dict[str, Any]:
    """Return a step's input: the caller's and the outputs that the step needs."""
    outputs = {name: outcomes[name].output for name in step.needs}
    return {"request": request.input, "outputs": outputs}
