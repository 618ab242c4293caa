"""Handle the operators' HTTP requests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import asdict
from itertools import islice
from typing import TYPE_CHECKING, Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..caller.bodies import error_body
from ..const import EVENT_RING_SIZE
from ..events import Event
from ..exceptions import HTTP_STATUS, CuminstileError, ErrorCode
from ..records.config_record import OBJECTS
from .auth import check_operator
from .bodies import event_body, query_number, read_publish_body
from .publish import publish
from .report import Reporter
from .status import all_moves, make_status

if TYPE_CHECKING:
    from ..runtime import Vm

MAX_TIME_MS = 2**53
Answerer = Callable[["Vm", Request, Sequence[Reporter]], Awaitable[Any]]
Endpoint = Callable[[Request], Awaitable[Response]]


def make_app(vm: Vm, reporters: Sequence[Reporter] = ()) -> Starlette:
    """Return the ASGI application for the operators' port.

    Parameters
    ----------
    reporters : sequence of Reporter
        Functions whose reports are added to the status.
    """

    def endpoint(answerer: Answerer) -> Endpoint:
        async def answer(http: Request) -> Response:
            try:
                header = http.headers.get("authorization", "")
                check_operator(vm.settings.operator_keys, header)
                return JSONResponse(await answerer(vm, http, reporters))
            except CuminstileError as error:
                return refuse(vm, http, error)

        return answer

    routes = [
        Route("/operator/publish", endpoint(answer_publish), methods=["POST"]),
        Route("/operator/status", endpoint(answer_status)),
        Route("/operator/moves", endpoint(answer_moves)),
        Route("/operator/events", endpoint(answer_events)),
        Route("/operator/objects", endpoint(answer_objects)),
    ]
    unknown = endpoint(answer_unknown)

    async def not_found(http: Request, error: Exception) -> Response:
        return await unknown(http)

    return Starlette(routes=routes, exception_handlers={404: not_found, 405: not_found})


def refuse(vm: Vm, http: Request, error: CuminstileError) -> Response:
    """Record a refused request and return the HTTP response for the error."""
    vm.journal.record(
        Event.OPERATOR_REFUSED, path=http.url.path[:100], code=error.code.value
    )
    return JSONResponse(error_body(error), HTTP_STATUS[error.code])


async def answer_unknown(vm: Vm, http: Request, reporters: Sequence[Reporter]) -> Any:
    """Refuse a request with an unknown path or method."""
    raise CuminstileError(ErrorCode.UNKNOWN_PATH, "unknown path or method")


async def answer_publish(vm: Vm, http: Request, reporters: Sequence[Reporter]) -> Any:
    """Publish the objects in the body and return the version."""
    if vm.leaving:
        raise CuminstileError(ErrorCode.SHUTTING_DOWN, "this VM is shutting down")
    body = await read_publish_body(http)
    return {"version": await publish(vm, body)}


async def answer_status(vm: Vm, http: Request, reporters: Sequence[Reporter]) -> Any:
    """Return the status of the system as this VM sees it."""
    return asdict(make_status(vm, reporters))


async def answer_moves(vm: Vm, http: Request, reporters: Sequence[Reporter]) -> Any:
    """Return the traffic moves."""
    component_reports = [reporter() for reporter in reporters]
    return {"moves": [asdict(move) for move in all_moves(vm, component_reports)]}


async def answer_events(vm: Vm, http: Request, reporters: Sequence[Reporter]) -> Any:
    """Return this VM's newest events after `after_ms`, at most `limit`."""
    after_ms = query_number(http, "after_ms", 0, MAX_TIME_MS)
    limit = query_number(http, "limit", EVENT_RING_SIZE, EVENT_RING_SIZE)
    later = (
        record
        for record in reversed(vm.journal.ring)
        if record.stamp.wall_ms > after_ms
    )
    newest = list(islice(later, limit))
    return {"events": [event_body(record) for record in reversed(newest)]}


async def answer_objects(vm: Vm, http: Request, reporters: Sequence[Reporter]) -> Any:
    """Return the objects in force on this VM."""
    current = vm.configuration.current
    items = current.items if current else ()
    return {
        "version": vm.configuration.version,
        "objects": OBJECTS.dump_python(items, mode="json"),
    }
