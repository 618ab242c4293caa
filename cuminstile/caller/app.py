"""Handle the callers' HTTP requests."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aioprometheus.renderer import render
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request as HttpRequest
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Receive, Scope, Send
from starlette.types import Message as ASGIMessage

from ..const import MAX_BODY_BYTES
from ..events import Event
from ..exceptions import HTTP_STATUS, CuminstileError, ErrorCode, RunStatus
from ..gauges import update_gauges
from ..http_body import BODY_TIMEOUT_MS, read_body
from ..objects.model import Organisation, Pipeline
from ..pipeline import Request, internal_error
from ..readiness import unready_reason
from ..shutdown.in_progress import Phase, RequestInProgress
from ..shutdown.schedule import answer_by_ms
from ..vm.ending import shutting_down
from .bodies import RunBody, error_body, parse_run_body
from .serving import TokenStream, answer_with_json, count_refusal

if TYPE_CHECKING:
    from ..runtime import Vm

Endpoint = Callable[[HttpRequest], Awaitable[Response]]


def make_app(vm: Vm) -> Starlette:
    """Return the ASGI application for the callers' port."""

    async def run(http: HttpRequest) -> Response | TokenStream:
        try:
            request = await accept_before_end(vm, http)
        except CuminstileError as error:
            count_refusal(vm, error)
            vm.journal.record(Event.REQUEST_REFUSED, code=error.code.value)
            return error_response(error)
        except Exception as error:
            return error_response(internal_error(vm, error))
        try:
            if request.stream:
                return TokenStream(vm, request)
            return await answer_with_json(vm, request, http)
        except CuminstileError as error:
            return error_response(error)
        except Exception as error:
            return error_response(internal_error(vm, error))

    async def healthz(http: HttpRequest) -> Response:
        return PlainTextResponse("ok")

    async def readyz(http: HttpRequest) -> Response:
        reason = unready_reason(vm)
        return PlainTextResponse(reason or "ready", 503 if reason else 200)

    async def metrics(http: HttpRequest) -> Response:
        update_gauges(vm)
        content, headers = render(vm.metrics.registry, [http.headers.get("accept", "")])
        return Response(content, headers=dict(headers))

    return Starlette(
        routes=[
            Route("/v1/pipelines/{name}", run, methods=["POST"]),
            Route("/healthz", healthz),
            Route("/readyz", readyz),
            Route("/metrics", metrics),
        ],
        exception_handlers={404: unknown_path, 405: unknown_path},
        middleware=[Middleware(CloseConnectionsOnShutdown, vm=vm)],
    )


@dataclass(frozen=True)
class CloseConnectionsOnShutdown:
    """ASGI middleware that closes each connection after its response on shutdown.

    While the VM is leaving, each response has the header `Connection: close`. The
    load balancer's idle connections are then gone before the port is closed, and no
    request is sent on a connection that is being closed.
    """

    app: ASGIApp
    vm: Vm

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the application and add the header to its response."""

        async def send_with_close(message: ASGIMessage) -> None:
            if self.vm.leaving and message["type"] == "http.response.start":
                message["headers"] = [*message["headers"], (b"connection", b"close")]
            await send(message)

        await self.app(scope, receive, send_with_close)


async def unknown_path(http: HttpRequest, error: Exception) -> Response:
    """Return the response for an unknown path or method."""
    return error_response(
        CuminstileError(ErrorCode.UNKNOWN_PATH, "unknown path or method")
    )


def error_response(error: CuminstileError) -> Response:
    """Return the HTTP response for an error."""
    return JSONResponse(error_body(error), HTTP_STATUS[error.code])


async def accept_before_end(vm: Vm, http: HttpRequest) -> Request:
    """Return the caller's request, or refuse it if this VM ends before all of it came.

    Raises
    ------
    CuminstileError
        With `SHUTTING_DOWN`, or as `accept_request` does. What has not come may be a
        resend, so that the run status of the request is unknown.
    """
    now_ms = vm.clock.now_ms()
    waiting = RequestInProgress(route=http.path_params["name"], arrived_ms=now_ms)
    waiting.expires_at_ms = now_ms + BODY_TIMEOUT_MS
    waiting.enter(Phase.BODY, "", now_ms)
    request: Request | None = None
    vm.in_progress.begin(waiting)
    try:
        with vm.end_scopes.scope():
            request = await accept_request(vm, http)
    finally:
        vm.in_progress.end(waiting)
    if request is None:
        raise shutting_down(vm, RunStatus.UNKNOWN)
    return request


async def accept_request(vm: Vm, http: HttpRequest) -> Request:
    """Check an HTTP request, record its start and return the caller's request.

    Raises
    ------
    CuminstileError
        If the VM has no configuration, the key or the pipeline is unknown, or the
        body is not valid.
    """
    arrived_ms = vm.clock.now_ms()
    if vm.configuration.current is None:
        raise await no_configuration_error(http)
    organisation = authenticate(vm, http.headers.get("authorization", ""))
    body = parse_run_body(await read_body(http, MAX_BODY_BYTES))
    pipeline = vm.objects.pipelines.get(http.path_params["name"])
    if pipeline is None:
        raise CuminstileError(
            ErrorCode.UNKNOWN_PIPELINE,
            "unknown pipeline",
            known_run_status(body),
        )
    require_idempotency_key(vm, pipeline, body)
    deadline_ms = arrived_ms + (body.deadline_ms or pipeline.deadline_ms)
    request = Request(
        name=secrets.token_hex(8),
        organisation=organisation.name,
        pipeline=pipeline,
        input=body.input,
        stream=body.stream,
        deadline_ms=min(deadline_ms, answer_by_ms(vm.shutdown)),
        idempotency_key=body.idempotency_key,
        issued_at_ms=body.issued_at_ms,
        is_resend=body.resend,
        ends_with_vm=answer_by_ms(vm.shutdown) < deadline_ms,
    )
    vm.journal.record(
        Event.REQUEST_STARTED,
        request=request.name,
        organisation=organisation.name,
        pipeline=pipeline.name,
    )
    return request


async def no_configuration_error(http: HttpRequest) -> CuminstileError:
    """Return the error of a VM that has no configuration yet.

    The body is read first, because the run status in the error depends on whether
    the request is a resend.
    """
    body = parse_run_body(await read_body(http, MAX_BODY_BYTES))
    return CuminstileError(
        ErrorCode.NO_CONFIGURATION,
        "no configuration is in force yet",
        known_run_status(body),
    )


def known_run_status(body: RunBody) -> RunStatus:
    """Return the run status of a request that this VM refuses before its first step.

    An earlier attempt of a resend may have run.
    """
    return RunStatus.UNKNOWN if body.resend else RunStatus.NOT_RUN


def authenticate(vm: Vm, header: str) -> Organisation:
    """Return the organisation that the caller's API key belongs to.

    The lookup is by digest, so its duration reveals nothing about a valid key.

    Raises
    ------
    CuminstileError
        With `UNAUTHENTICATED` if the header holds no valid key.
    """
    scheme, _, key = header.partition(" ")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    organisation = vm.objects.organisations_by_digest.get(digest)
    if scheme.lower() != "bearer" or organisation is None:
        raise CuminstileError(
            ErrorCode.UNAUTHENTICATED, "the Authorization header has no valid key"
        )
    return organisation


def require_idempotency_key(vm: Vm, pipeline: Pipeline, body: RunBody) -> None:
    """Require an idempotency key if the pipeline has a non-repeatable stage.

    Raises
    ------
    CuminstileError
        With `KEY_REQUIRED` if the key or its time of issue is missing.
    """
    stages = vm.objects.stages
    if all(stages[step.stage].repeatable for step in pipeline.steps):
        return
    if not body.idempotency_key or not body.issued_at_ms:
        raise CuminstileError(
            ErrorCode.KEY_REQUIRED,
            "this pipeline requires idempotency_key and issued_at_ms",
        )
