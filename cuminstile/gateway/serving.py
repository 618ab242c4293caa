"""Serve one request of a caller from its arrival to the end of its answer."""

from __future__ import annotations

import asyncio

from ..events import Event
from ..exceptions import ErrorCode, raised_at
from ..shutdown.waits import ShutdownReachedError, limited_wait
from .accepting import accept
from .attempts import StreamBrokenError, send_until_answered
from .crash_guard import refuse_quarantined
from .http_server import CallerConnection, Request
from .refusals import Refusal, id_of, internal_error, shut_down, write_refusal
from .send_state import Call, Progress
from .staged_results import free_results
from .staged_work import results_for
from .state import Gateway


async def serve(vm: Gateway, request: Request, out: CallerConnection) -> None:
    """Answer one request; the connection is closed if the answer is incomplete.

    A fault in the program is answered with a status that doesn't say whether the
    request ran.
    """
    vm.requests += 1
    route_name = ""
    progress = Progress()
    try:
        call = accept(vm, request, out)
        route_name = call.route.name
        vm.in_progress.begin(call.progress)
        try:
            await serve_call(vm, call, progress)
        finally:
            vm.in_progress.end(call.progress)
    except Refusal as refusal:
        await write_refusal(vm, request, out, refusal, route_name)
    except StreamBrokenError as error:
        vm.journal.record(
            Event.STREAM_BROKEN,
            request=id_of(vm, request),
            route=route_name,
            reason=str(error),
        )
        vm.metrics.requests_total.inc({"route": route_name, "result": "broken"})
    except asyncio.CancelledError:
        vm.journal.record(Event.REQUEST_CANCELLED, request=id_of(vm, request))
        vm.metrics.requests_total.inc({"route": route_name, "result": "cancelled"})
        raise
    except Exception as error:
        vm.journal.record(
            Event.INTERNAL_ERROR,
            request=id_of(vm, request),
            error=type(error).__name__,
            place=raised_at(error),
        )
        if progress.answer.begun:
            labels = {"route": route_name, "result": "internal"}
            vm.metrics.requests_total.inc(labels)
            return
        await write_refusal(vm, request, out, internal_error(), route_name)
    finally:
        vm.requests -= 1


async def serve_call(vm: Gateway, call: Call, progress: Progress) -> None:
    """Serve a request; one without an answer is refused before its VM shuts down.

    Raises
    ------
    Refusal
        If no upstream answers the request.
    StreamBrokenError
        If the answer breaks off.
    """
    vm.retries.record_request(call.service.name, vm.clock.now_ms())
    if call.service.scaling is not None:
        vm.demand.record_request(call.service.name, call.route.name, vm.clock.now_ms())
    vm.hedging.record_request(call.service.name, vm.clock.now_ms())
    refuse_quarantined(vm, call)
    try:
        async with limited_wait(
            vm.clock,
            vm.in_progress,
            vm.shutdown,
            may_end=lambda: not progress.answer.begun,
        ):
            await run_and_send(vm, call, progress)
    except ShutdownReachedError:
        if progress.answer.begun:
            raise StreamBrokenError("the VM shuts down") from None
        raise shut_down(progress.runs > 0) from None


async def run_and_send(vm: Gateway, call: Call, progress: Progress) -> None:
    """Run the stages of a request, then send it; errors as in `serve_call`."""
    arrived_ms = call.request.arrived_ms
    progress.results = await results_for(vm, call, False, arrived_ms)
    try:
        await send_until_answered(vm, call, progress)
    except Refusal as refusal:
        if refusal.code is ErrorCode.NO_UPSTREAM and call.service.scaling is not None:
            vm.demand.record_refused(call.service.name, vm.clock.now_ms())
        raise
    finally:
        free_results(vm, progress.results)
