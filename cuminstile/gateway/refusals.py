"""Refuse a request, with an error code and the time after which to retry."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from ..events import Event
from ..exceptions import HTTP_STATUS, ErrorCode
from .http_server import CallerConnection, Request
from .state import Gateway

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that assure the caller that its request has not run and never will."""
STATUS = {**HTTP_STATUS, ErrorCode.QUARANTINED: 500}
"""Statuses of the gateway. A quarantined request is well formed and allowed, so it gets
no 4xx: callers' own errors are counted apart."""
DEFAULT_RETRY_MS = 300.0
"""Default time after which a caller may retry."""


@dataclass
class Refusal(Exception):
    """The error answer to a request that is not served.

    Parameters
    ----------
    logged : str
        What the log says beyond the message; callers don't see it.
    """

    code: ErrorCode
    message: str
    retry_after_ms: float | None = None
    logged: str = ""


def out_of_time(maybe_ran: bool) -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    if maybe_ran:
        return Refusal(ErrorCode.DEADLINE_PASSED, "request timed out")
    return Refusal(ErrorCode.DEADLINE_TOO_SHORT, "not run in time", DEFAULT_RETRY_MS)


def shut_down(maybe_ran: bool) -> Refusal:
    """Return the refusal of a request that has no answer as its VM shuts down."""
    if maybe_ran:
        text = "the VM shuts down before the request is answered"
        return Refusal(ErrorCode.DEADLINE_PASSED, text)
    return Refusal(ErrorCode.SHUTTING_DOWN, "the VM shuts down", DEFAULT_RETRY_MS)


def internal_error() -> Refusal:
    """Return the refusal of a request that met a fault in the program."""
    return Refusal(ErrorCode.INTERNAL, "a fault in the program")


def no_upstream(maybe_ran: bool, opens_in_ms: float | None = None) -> Refusal:
    """Return the refusal of a request for which no upstream is available.

    Parameters
    ----------
    opens_in_ms : float or None
        When an upstream wants requests again, if all have said that they want none.
    """
    if maybe_ran:
        return Refusal(ErrorCode.UPSTREAM_FAILED, "no upstream answered")
    retry_ms = opens_in_ms or DEFAULT_RETRY_MS
    return Refusal(ErrorCode.NO_UPSTREAM, "no usable upstream", retry_ms)


def correct_refusal(refusal: Refusal, maybe_ran: bool) -> Refusal:
    """Return the refusal, without a "not run" status if the request may have run."""
    if maybe_ran and STATUS[refusal.code] in NOT_RUN_STATUSES:
        return Refusal(ErrorCode.UPSTREAM_FAILED, refusal.message)
    return refusal


def id_of(vm: Gateway, request: Request) -> str:
    """Return the caller's id of this attempt."""
    return vm.protocol.read_call(request.headers).attempt_id


async def write_refusal(
    vm: Gateway,
    request: Request,
    out: CallerConnection,
    refusal: Refusal,
    route_name: str,
) -> None:
    """Answer a request with the reason for its refusal and the time to retry."""
    status = STATUS[refusal.code]
    headers = [(b"Content-Type", b"application/json")]
    if refusal.retry_after_ms is not None and status in (429, 503):
        seconds = refusal.retry_after_ms / 1000.0
        headers.append((b"Retry-After", b"%.3f" % seconds))
    body = orjson.dumps({"code": refusal.code.value, "message": refusal.message})
    vm.journal.record(
        Event.REQUEST_REFUSED,
        request=id_of(vm, request),
        route=route_name,
        code=refusal.code.value,
        status=status,
        reason=refusal.message + refusal.logged,
        retry_after_ms=refusal.retry_after_ms,
        at_ms=round(vm.clock.now_ms() - request.arrived_ms, 1),
        manifest=vm.manifest.version if vm.manifest else -1,
    )
    vm.metrics.requests_total.inc({"route": route_name, "result": refusal.code.value})
    await out.write_answer(status, headers, body)
