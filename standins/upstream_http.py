"""HTTP API of the simulated upstreams, with faults in the responses."""

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio
from pydantic import ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from .calls import CALL, ORDER, ActiveCall, Call, Outcome
from .control import control_route
from .orders import Orders, apply_order
from .serving import ClosedResponse, close_connection, serve, wait_for_disconnect
from .upstream import Upstream, wait_ms


@dataclass
class AnswerContext:
    """Upstream, call and request that a response belongs to."""

    upstream: Upstream
    active: ActiveCall
    request: Request


def call_fields(upstream: Upstream, call: Call) -> dict[str, Any]:
    """Return the fields that every response to a call has."""
    return {
        "attempt": call.attempt,
        "incarnation": upstream.incarnation,
        "state": upstream.report_state(),
    }


def refused(upstream: Upstream, call: Call, code: str) -> Response:
    """Return the response to a call that was refused and did not run."""
    return JSONResponse({**call_fields(upstream, call), "code": code}, 429)


def failed(upstream: Upstream, call: Call, outcome: Outcome) -> Response:
    """Return the response to a call that failed or may have run."""
    code = "cancelled" if outcome is Outcome.CANCELLED else "failed"
    return JSONResponse({**call_fields(upstream, call), "code": code}, 500)


def complete_answer(context: AnswerContext) -> dict[str, Any]:
    """Return the complete answer, or an earlier call's if this fault was drawn."""
    upstream, active = context.upstream, context.active
    own = {
        **call_fields(upstream, active.call),
        "output": active.output,
        "work_ms": round(active.work_ms, 3),
    }
    earlier = upstream.last_answer
    upstream.last_answer = own
    if not active.faults.cross:
        return own
    return earlier or {**own, "attempt": f"other-{active.call.attempt}"}


async def send_no_response(context: AnswerContext) -> Response:
    """Close the connection, or keep it open until the client disconnects."""
    if context.upstream.values.drop_by == "hang":
        await wait_for_disconnect(context.request)
    return ClosedResponse()


async def delay_if_late(context: AnswerContext) -> None:
    """Delay the response if this fault was drawn."""
    if context.active.faults.late:
        await wait_ms(context.upstream.values.late_ms)


async def send_response(context: AnswerContext) -> Response:
    """Send one response when the work has ended."""
    active = context.active
    while active.outcome is Outcome.RUNNING:
        await active.changed.wait()
    await delay_if_late(context)
    if active.faults.drop:
        return await send_no_response(context)
    if active.outcome is not Outcome.ANSWERED:
        return failed(context.upstream, active.call, active.outcome)
    body = complete_answer(context)
    if active.faults.truncate:
        text = json.dumps(body).encode()
        return ClosedResponse(text[: len(text) // 2])
    return JSONResponse(body)


def event(body: Mapping[str, Any]) -> bytes:
    """Return one server-sent event."""
    return b"data: " + json.dumps(body).encode() + b"\n\n"


async def events_until_disconnect(context: AnswerContext) -> AsyncIterator[bytes]:
    """Yield the events of a stream; stop the work if the caller disconnects early."""
    upstream, active = context.upstream, context.active
    try:
        async for data in token_events(context):
            yield data
    finally:
        if active.outcome is Outcome.RUNNING and upstream.cancels:
            active.stop(Outcome.CANCELLED)


async def token_events(context: AnswerContext) -> AsyncIterator[bytes]:
    """Yield tokens as they are generated; close the connection if a fault was drawn."""
    active = context.active
    sent = 0
    while True:
        changed = active.changed
        if len(active.tokens) > sent:
            chunk = active.tokens[sent:]
            yield token_event(active, sent, chunk)
            if active.faults.repeat:
                yield token_event(active, sent, chunk)
            sent += len(chunk)
        elif active.outcome is not Outcome.RUNNING:
            break
        else:
            await changed.wait()
        if active.faults.truncate and sent >= 3:
            await close_connection(context.request)
            return
    async for data in last_events(context):
        yield data


def token_event(active: ActiveCall, start: int, tokens: list[str]) -> bytes:
    """Return the event for a chunk of tokens."""
    attempt = active.call.attempt
    if active.faults.cross:
        attempt = f"other-{attempt}"
    index = active.call.resume_at + start
    return event({"attempt": attempt, "index": index, "tokens": tokens})


async def last_events(context: AnswerContext) -> AsyncIterator[bytes]:
    """Yield the final event, or close the connection instead."""
    active = context.active
    await delay_if_late(context)
    if active.faults.drop and context.upstream.values.drop_by == "hang":
        await anyio.sleep_forever()
    if active.faults.drop or active.outcome is not Outcome.ANSWERED:
        context.upstream.report_state()
        await close_connection(context.request)
        return
    count = active.call.resume_at + len(active.tokens)
    yield event({**complete_answer(context), "done": True, "count": count})


def run_route(upstream: Upstream) -> Route:
    """Return the route that runs calls."""

    async def run(request: Request) -> Response:
        try:
            call = CALL.validate_json(await request.body())
        except ValidationError as error:
            return JSONResponse({"code": "malformed", "message": str(error)}, 400)
        if refusal := upstream.refuse(call):
            return refused(upstream, call, refusal.code)
        active = upstream.accept(call)
        assert upstream.tasks is not None
        upstream.tasks.start_soon(upstream.work, active)
        context = AnswerContext(upstream, active, request)
        if not call.stream:
            return await send_response(context)
        events = events_until_disconnect(context)
        return StreamingResponse(events, media_type="text/event-stream")

    return Route("/run", run, methods=["POST"])


def cancel_route(upstream: Upstream) -> Route:
    """Return the route that cancels a call, if the upstream supports it."""

    async def cancel(request: Request) -> Response:
        attempt = (await request.json()).get("attempt", "")
        active = upstream.active.get(attempt)
        if active is None or not upstream.cancels:
            return JSONResponse({"cancelled": False})
        active.stop(Outcome.CANCELLED)
        return JSONResponse({"cancelled": True})

    return Route("/cancel", cancel, methods=["POST"])


def load_route(upstream: Upstream) -> Route:
    """Return the route of the load report, which lags by `report_lag_ms`."""

    async def load(request: Request) -> Response:
        report = upstream.reported_load()
        values = upstream.values
        return JSONResponse(
            {
                "incarnation": upstream.incarnation,
                "state": report.state,
                "in_flight": report.in_flight,
                "capacity": values.capacity,
                "cold_capacity": values.cold_capacity,
                "queue": report.queue,
                "versions": sorted(upstream.versions),
                "leaving": report.leaving,
                "report_age_ms": values.report_lag_ms,
            }
        )

    return Route("/load", load, methods=["GET"])


def runs_route(upstream: Upstream) -> Route:
    """Return the route that lists all runs."""

    async def runs(request: Request) -> Response:
        after = int(request.query_params.get("after", "0"))
        return JSONResponse(
            {
                "runs": upstream.log.rows(after),
                "next": len(upstream.log.runs),
                "in_flight": len(upstream.active),
                "highest_in_flight": upstream.highest_in_flight,
                "highest_cold_in_flight": upstream.highest_cold_in_flight,
                "overloads": upstream.overloads,
                "overloads_told": upstream.overloads_reported,
                "left_at_ms": upstream.left_at_ms,
                "incarnation": upstream.incarnation,
                "state": upstream.state,
            }
        )

    return Route("/runs", runs, methods=["GET"])


def orders_routes(upstream: Upstream, orders: Orders) -> list[Route]:
    """Return the routes that apply orders and list those applied."""

    async def accept(request: Request) -> Response:
        try:
            order = ORDER.validate_json(await request.body())
        except ValidationError as error:
            return JSONResponse({"code": "malformed", "message": str(error)}, 400)
        if upstream.values.checks_fencing and order.fencing < orders.highest:
            body = {"code": "old_fencing", "highest": orders.highest}
            return JSONResponse(body, 409)
        await apply_order(upstream, orders, order)
        return JSONResponse({"highest": orders.highest})

    async def list_orders(request: Request) -> Response:
        return JSONResponse({"orders": orders.rows(), "highest": orders.highest})

    return [
        Route("/orders", accept, methods=["POST"]),
        Route("/orders", list_orders, methods=["GET"]),
    ]


def serve_upstream(
    upstream: Upstream, port: int, more: list[Route] | None = None
) -> None:
    """Serve an upstream until SIGTERM."""

    @asynccontextmanager
    async def lifespan(app: Starlette) -> AsyncIterator[None]:
        async with anyio.create_task_group() as tasks:
            upstream.tasks = tasks
            yield
            tasks.cancel_scope.cancel()

    routes = [
        run_route(upstream),
        cancel_route(upstream),
        load_route(upstream),
        runs_route(upstream),
        *orders_routes(upstream, Orders()),
        control_route(upstream.control),
        *(more or []),
    ]
    serve(routes, port, lifespan)
