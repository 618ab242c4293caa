"""Run a caller's request and respond with one JSON body or a stream of events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import orjson
from starlette.requests import Request as HttpRequest
from starlette.responses import JSONResponse, Response
from starlette.types import Receive, Scope, Send

from ..calls import TokenSink, drop_tokens
from ..events import Event
from ..exceptions import CuminstileError, ErrorCode, RunStatus
from ..pipeline import Progress, Request, run_pipeline
from ..shutdown.in_progress import RequestInProgress
from ..vm.ending import shutting_down
from .bodies import answer_body, error_body

if TYPE_CHECKING:
    from ..runtime import Vm

TOO_LATE_CODES = (ErrorCode.DEADLINE_PASSED, ErrorCode.DEADLINE_TOO_SHORT)
STREAM_HEADERS = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]


async def run_request(
    vm: Vm, request: Request, progress: Progress, on_tokens: TokenSink
) -> None:
    """Run a request within its deadline and record its result.

    Raises
    ------
    CuminstileError
        If the request failed, its deadline passed or this VM ends before its answer;
        with the run status over all of its steps.
    """
    started_ms = vm.clock.now_ms()
    progress.waiting = RequestInProgress(
        request.name,
        request.pipeline.name,
        started_ms,
        request.deadline_ms,
        since_ms=started_ms,
    )
    vm.activity.requests += 1
    vm.in_progress.begin(progress.waiting)
    try:
        await run_until_deadline(vm, request, progress, on_tokens)
    except CuminstileError as error:
        error = with_run_status(error, request, progress)
        record_end(vm, request, error.code.value, started_ms)
        count_refusal(vm, error)
        raise error from error
    except anyio.get_cancelled_exc_class():
        record_end(vm, request, "cancelled", started_ms)
        raise
    finally:
        vm.activity.requests -= 1
        vm.in_progress.end(progress.waiting)
    record_end(vm, request, "answered", started_ms)


async def run_until_deadline(
    vm: Vm, request: Request, progress: Progress, on_tokens: TokenSink
) -> None:
    """Run a request, at the latest until its deadline or the end of this VM.

    Raises
    ------
    CuminstileError
        If the request failed; with `SHUTTING_DOWN` if only the end of this VM left it
        too little time.
    """
    left_ms = request.deadline_ms - vm.clock.now_ms()
    with vm.end_scopes.scope() as until_end:
        with anyio.move_on_after(left_ms / 1000.0) as until_deadline:
            try:
                await run_pipeline(vm, request, progress, on_tokens)
            except CuminstileError as error:
                if request.ends_with_vm and error.code in TOO_LATE_CODES:
                    raise shutting_down(vm, error.ran) from error
                raise
    if until_end.cancelled_caught:
        raise shutting_down(vm)
    if until_deadline.cancelled_caught:
        if request.ends_with_vm:
            raise shutting_down(vm)
        raise CuminstileError(ErrorCode.DEADLINE_PASSED, "the deadline has passed")


def with_run_status(
    error: CuminstileError, request: Request, progress: Progress
) -> CuminstileError:
    """Return the error with the run status over all steps.

    The status of a refused resend is always `UNKNOWN`: an earlier attempt may have
    run, or may still run.
    """
    may_have_run = progress.maybe_ran() or request.is_resend
    ran = RunStatus.UNKNOWN if may_have_run else error.ran
    return CuminstileError(error.code, error.message, ran, error.findings)


def count_refusal(vm: Vm, error: CuminstileError) -> None:
    """Count a refusal by its error code and run status."""
    labels = {"code": error.code.value, "ran": error.ran.value}
    vm.metrics.refusals_total.inc(labels)


def count_deadline(vm: Vm, request: Request, result: str) -> None:
    """Count whether an admitted request was answered completely by its deadline.

    A request whose caller has disconnected is not counted.
    """
    if result == "cancelled":
        return
    in_time = result == "answered" and vm.clock.now_ms() <= request.deadline_ms
    labels = {"pipeline": request.pipeline.name, "met": "yes" if in_time else "no"}
    vm.metrics.deadlines_total.inc(labels)


def record_end(vm: Vm, request: Request, result: str, started_ms: float) -> None:
    """Record the result of a request in the metrics and the journal."""
    elapsed_ms = vm.clock.now_ms() - started_ms
    pipeline = request.pipeline.name
    vm.metrics.requests_total.inc({"pipeline": pipeline, "result": result})
    count_deadline(vm, request, result)
    if result == "answered":
        vm.metrics.request_ms.observe({"pipeline": pipeline}, elapsed_ms)
        event = Event.REQUEST_ANSWERED
    elif result == "cancelled":
        event = Event.REQUEST_CANCELLED
    else:
        event = Event.REQUEST_REFUSED
    vm.journal.record(
        event, request=request.name, result=result, elapsed_ms=round(elapsed_ms, 1)
    )


async def answer_with_json(vm: Vm, request: Request, http: HttpRequest) -> Response:
    """Run a request and return its complete answer as a JSON response.

    If all of its steps may be repeated, the request is cancelled when its caller
    disconnects.

    Raises
    ------
    CuminstileError
        If the request failed, its deadline passed or its caller disconnected.
    """
    progress = Progress()
    error: CuminstileError | None = None
    async with anyio.create_task_group() as tasks:
        if not has_non_repeatable_step(vm, request):
            tasks.start_soon(cancel_on_disconnect, http.receive, tasks.cancel_scope)
        try:
            await run_request(vm, request, progress, drop_tokens)
        except CuminstileError as caught:
            error = caught
        tasks.cancel_scope.cancel()
    if error is not None:
        raise error
    if len(progress.outcomes) < len(request.pipeline.steps):
        raise CuminstileError(ErrorCode.DEADLINE_PASSED, "the caller disconnected")
    return JSONResponse(answer_body(request, progress))


def has_non_repeatable_step(vm: Vm, request: Request) -> bool:
    """Return whether a step of the request may not be repeated."""
    stages = vm.objects.stages
    return any(not stages[step.stage].repeatable for step in request.pipeline.steps)


async def cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel a scope when the caller closes its connection."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


@dataclass(frozen=True)
class TokenStream:
    """ASGI response that streams a request's answer as server-sent events.

    Each event is written as soon as it is available, without a task or a queue of
    its own, because tokens cause most of the load on a streaming VM.
    """

    vm: Vm
    request: Request

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the request and send its events until the caller disconnects."""
        await send(
            {"type": "http.response.start", "status": 200, "headers": STREAM_HEADERS}
        )

        async def send_event(event: bytes, more: bool) -> None:
            message = {"type": "http.response.body", "body": event, "more_body": more}
            await send(message)

        async def on_tokens(index: int, tokens: tuple[str, ...]) -> None:
            await send_event(sse("tokens", {"index": index, "tokens": tokens}), True)

        async with anyio.create_task_group() as tasks:
            if not has_non_repeatable_step(self.vm, self.request):
                tasks.start_soon(cancel_on_disconnect, receive, tasks.cancel_scope)
            await send_event(await final_event(self.vm, self.request, on_tokens), False)
            tasks.cancel_scope.cancel()


async def final_event(vm: Vm, request: Request, on_tokens: TokenSink) -> bytes:
    """Run a request and return the last event of its stream: `done` or `error`."""
    progress = Progress()
    try:
        await run_request(vm, request, progress, on_tokens)
    except CuminstileError as error:
        return sse("error", error_body(error))
    return sse("done", answer_body(request, progress))


def sse(event: str, data: dict[str, Any]) -> bytes:
    """Return one encoded server-sent event."""
    return b"event: %s\ndata: %s\n\n" % (event.encode(), orjson.dumps(data))
