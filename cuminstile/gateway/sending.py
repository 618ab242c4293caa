"""Send a request to an upstream, and pass its answer on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from ..events import Event
from .event_stream import AnswerProgress, EventTooLargeError
from .http_client import (
    MAX_BODY_BYTES,
    AnswerEnd,
    AnswerHead,
    AnswerTooLargeError,
    ConnectionLostError,
    HttpConnection,
    open_connection,
    render_request,
)
from .http_server import CallerConnection, Request
from .model import Organisation, Route, RouteKind, Service
from .state import Gateway
from .upstream_protocol import AnswerFields, CallFields, Dispatch, RawHeaders
from .upstreams import (
    BUSY_MS,
    UpstreamListAge,
    UpstreamState,
    record_failure,
    record_load,
    record_success,
    record_unreachable,
)

MAX_OTHER_ANSWERS = 16
"""Answers to other requests that are passed over while one's own is awaited."""
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"transfer-encoding",
        b"content-length",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
    }
)


class Outcome(StrEnum):
    """Tell how one send ended.

    `UNSENT` left this VM with no byte, `NOT_RUN` is proved not to have run, `UNKNOWN`
    may have run, `FAILED` is an upstream's own failure, `PASSED_ON` reached the caller.
    """

    UNSENT = "unsent"
    NOT_RUN = "not_run"
    INPUT_GONE = "input_gone"
    UNKNOWN = "unknown"
    FAILED = "failed"
    PASSED_ON = "passed_on"


@dataclass(frozen=True, slots=True)
class Call:
    """Hold one request of a caller and what was found out about it; ms, monotonic.

    Parameters
    ----------
    target_at_ms : float
        Until when its answer earns its full worth.
    expires_at_ms : float
        When the caller, or the operator's bound, ends the wait.
    """

    request: Request
    out: CallerConnection
    fields: CallFields
    route: Route
    service: Service
    organisation: Organisation | None
    priority: int
    target_at_ms: float
    expires_at_ms: float


@dataclass(frozen=True, slots=True)
class Failure:
    """Hold an upstream's own failure, to be passed on if nothing better comes."""

    status: int
    headers: RawHeaders
    body: bytes


@dataclass
class Send:
    """Hold the state of one send.

    Parameters
    ----------
    answer : AnswerProgress
        What has gone to the caller, also in sends before this one.
    chosen_by : ListAge
        The list of upstreams by which the upstream was chosen.
    sent : bool
        Whether a byte of it may have reached the upstream.
    timeout : asyncio.Timeout or None
        When it is given up; a stream that has begun is given more time.
    """

    answer: AnswerProgress
    chosen_by: UpstreamListAge
    outcome: Outcome = Outcome.UNSENT
    failure: Failure | None = None
    detail: str = ""
    sent: bool = False
    timeout: asyncio.Timeout | None = None
    on_running: Callable[[], None] = field(default=lambda: None)


def passed_headers(headers: RawHeaders) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer without those of one connection only."""
    return [(name, value) for name, value in headers if name not in HOP_HEADERS]


async def send_once(
    vm: Gateway, call: Call, state: UpstreamState, inputs: tuple[str, ...], send: Send
) -> None:
    """Send a request to one upstream; what became of it stands in `send`.

    Leaving this function in any way ends the upstream's work on the request.
    """
    started_ms = vm.clock.now_ms()
    tokens = call.fields.prompt_tokens
    state.in_flight += 1
    state.tokens_in_flight += tokens
    reading = True

    def running() -> None:
        nonlocal reading
        if reading:
            reading = False
            state.tokens_in_flight -= tokens
            send.on_running()

    connection: HttpConnection | None = None
    try:
        connection = vm.pool.acquire(state.info.id, started_ms)
        if connection is None:
            connection = await open_connection(state.info.address)
        await exchange(vm, call, state, inputs, connection, send, running)
    except ConnectionLostError as error:
        send.detail = str(error)
        send.outcome = Outcome.UNKNOWN if send.sent else Outcome.UNSENT
        if not send.sent:
            record_unreachable(state, vm.clock.now_ms())
    finally:
        state.in_flight -= 1
        if reading:
            state.tokens_in_flight -= tokens
        if connection is not None and connection.in_use:
            connection.close("request given up")


async def exchange(
    vm: Gateway,
    call: Call,
    state: UpstreamState,
    inputs: tuple[str, ...],
    connection: HttpConnection,
    send: Send,
    running: Callable[[], None],
) -> None:
    """Send the request on a connection, and deal with the answer."""
    now_ms = vm.clock.now_ms()
    dispatch = Dispatch(
        state.info.id,
        max(1.0, call.expires_at_ms - now_ms),
        call.organisation.name if call.organisation else None,
        call.priority if call.service.engine else None,
        inputs,
        send.answer.last_event,
    )
    headers = vm.protocol.forwarded_headers(call.request.headers, dispatch)
    request = call.request
    data = render_request(request.method, request.target, headers, request.body)
    connection.send(data)
    send.sent = True
    head, fields = await receive_own_head(vm, call, connection)
    if fields.load is not None:
        record_load(state, fields.load, vm.clock.now_ms())
    if fields.not_run or head.status == 421:
        await take_not_run(vm, state, connection, head, send)
    elif not fields.sealed:
        send.detail = f"status {head.status} without a seal"
        connection.close(send.detail)
        send.outcome = Outcome.UNKNOWN
    elif head.status >= 300:
        body = await connection.receive_rest()
        vm.pool.release(state.info.id, connection, vm.clock.now_ms())
        send.failure = Failure(head.status, passed_headers(head.headers), body)
        send.detail = f"status {head.status}"
        send.outcome = Outcome.FAILED
    elif call.route.kind is RouteKind.STREAM or (head.length or 0) > MAX_BODY_BYTES:
        await pass_on(vm, call, state, connection, head, send, running)
    else:
        await pass_whole(vm, call, state, connection, head, send)
    if send.outcome is Outcome.PASSED_ON:
        record_success(state, vm.clock.now_ms() - now_ms)


async def receive_own_head(
    vm: Gateway, call: Call, connection: HttpConnection
) -> tuple[AnswerHead, AnswerFields]:
    """Return the head of the answer to this request; answers to others are dropped.

    Raises
    ------
    AnswerTooLargeError
        If too many of them come.
    ConnectionLostError
        If the connection ends before.
    """
    for _ in range(MAX_OTHER_ANSWERS):
        head = await connection.receive_head()
        fields = vm.protocol.read_answer(head.status, head.headers)
        if not call.fields.attempt_id or fields.attempt_id == call.fields.attempt_id:
            return head, fields
        if fields.not_run and not fields.attempt_id:
            return head, fields
        vm.journal.record(
            Event.ANSWER_DROPPED,
            request=call.fields.attempt_id,
            other=fields.attempt_id,
            status=head.status,
        )
    raise AnswerTooLargeError(f"{MAX_OTHER_ANSWERS} answers to other requests")


async def take_not_run(
    vm: Gateway,
    state: UpstreamState,
    connection: HttpConnection,
    head: AnswerHead,
    send: Send,
) -> None:
    """Note that the upstream states that it has not run the request."""
    send.outcome = Outcome.INPUT_GONE if head.status == 409 else Outcome.NOT_RUN
    send.detail = f"status {head.status}, not run"
    if head.status in (429, 503):
        state.busy_until_ms = vm.clock.now_ms() + BUSY_MS
    try:
        await connection.receive_rest()
        vm.pool.release(state.info.id, connection, vm.clock.now_ms())
    except ConnectionLostError as error:
        send.detail += f", then {error}"


async def pass_whole(
    vm: Gateway,
    call: Call,
    state: UpstreamState,
    connection: HttpConnection,
    head: AnswerHead,
    send: Send,
) -> None:
    """Pass an answer on once it is whole."""
    body = await connection.receive_rest()
    vm.pool.release(state.info.id, connection, vm.clock.now_ms())
    send.answer.begun = True
    send.outcome = Outcome.PASSED_ON
    await call.out.write_whole(head.status, passed_headers(head.headers), body)


async def pass_on(
    vm: Gateway,
    call: Call,
    state: UpstreamState,
    connection: HttpConnection,
    head: AnswerHead,
    send: Send,
    running: Callable[[], None],
) -> None:
    """Pass a stream or a large body on as it arrives.

    Of a stream that may be resumed only whole events are passed on. An answer that
    breaks is broken off at the caller too, unless another upstream goes on with it: it
    never looks complete.
    """
    answer = send.answer
    extend_timeout(vm, call, send)
    if not answer.begun:
        answer.begun = True
        answer.framed = head.length is not None
        call.out.write_head(head.status, passed_headers(head.headers), head.length)
    try:
        while True:
            item = await connection.receive()
            if isinstance(item, AnswerEnd):
                break
            if isinstance(item, bytes):
                running()
                await call.out.write(next_bytes(call, answer, item))
    except (ConnectionLostError, EventTooLargeError) as error:
        answer.drop_partial()
        send.detail = f"stream broke: {error}"
        send.outcome = Outcome.UNKNOWN
        return
    await call.out.write(answer.take_rest())
    call.out.finish()
    vm.pool.release(state.info.id, connection, vm.clock.now_ms())
    send.outcome = Outcome.PASSED_ON


def next_bytes(call: Call, answer: AnswerProgress, data: bytes) -> bytes:
    """Return what of new bytes can be passed on now.

    Raises
    ------
    EventTooLargeError
        If an event has no end in sight.
    """
    if call.route.resumable:
        return answer.take(data)
    if call.route.kind is RouteKind.STREAM:
        answer.note_unended(data)
    return data


def extend_timeout(vm: Gateway, call: Call, send: Send) -> None:
    """Let a stream that has begun go on until its caller's time is over."""
    if send.timeout is None or send.timeout.expired():
        return
    left_ms = max(0.0, call.expires_at_ms - vm.clock.now_ms())
    send.timeout.reschedule(asyncio.get_running_loop().time() + left_ms / 1000.0)


def judge_upstream(vm: Gateway, call: Call, state: UpstreamState, send: Send) -> None:
    """Take a failed send as evidence against its upstream."""
    if send.outcome not in (Outcome.UNKNOWN, Outcome.FAILED):
        return
    if record_failure(state, vm.clock.now_ms()):
        vm.journal.record(
            Event.UPSTREAM_EJECTED,
            upstream=state.info.id,
            service=state.info.service,
            request=call.fields.attempt_id,
            reason=send.detail,
            until_ms=round(state.ejected_until_ms - vm.clock.now_ms()),
        )


async def send_within(
    vm: Gateway,
    call: Call,
    state: UpstreamState,
    inputs: tuple[str, ...],
    send: Send,
    limit_ms: float,
) -> None:
    """Send a request, giving up after a time, or at the end for a begun stream."""
    try:
        async with asyncio.timeout(limit_ms / 1000.0) as timeout:
            send.timeout = timeout
            await send_once(vm, call, state, inputs, send)
    except TimeoutError:
        send.answer.drop_partial()
        send.detail = f"no whole answer in {round(limit_ms)} ms"
        send.outcome = Outcome.UNKNOWN if send.sent else Outcome.UNSENT
