"""Send a request to an upstream and forward its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..events import Event
from ..recency import remember
from ..scaling.demand import Run
from .answers import (
    AnswerHead,
    AnswerTooLargeError,
    ConnectionLostError,
    JoinedAnswersError,
    NoListenerError,
)
from .crash_evidence import record_survivor
from .forwarding import (
    continues_stream,
    count_begun,
    end_to_end_headers,
    forward_answer,
    stream_answer,
)
from .http_client import (
    MAX_BODY_BYTES,
    MAX_FAILED_ATTEMPTS,
    MAX_REFUSED_ATTEMPTS,
    HttpConnection,
    open_connection,
    render_request,
)
from .model import RouteKind
from .refusals import NOT_RUN_STATUSES
from .send_state import Call, Failure, Outcome, Send
from .state import Gateway
from .unframed_answers import record_alive, record_ended
from .upstream_protocol import AnswerFields, Dispatch
from .upstream_words import record_words
from .upstreams import (
    BUSY_MS,
    UpstreamState,
    record_failure,
    record_load,
    record_success,
    record_unreachable,
)

MAX_OTHER_ANSWERS = 16
"""Answers to other requests that are dropped before the connection is closed."""


class UnidentifiedAnswerError(ConnectionLostError):
    """An answer had no id, so neither it nor a later one can be trusted."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status} without an id", sent=True)


async def send_once(
    vm: Gateway, call: Call, state: UpstreamState, inputs: tuple[str, ...], send: Send
) -> None:
    """Send a request to one upstream and store the outcome in `send`.

    However this function ends, the upstream's work on the request ends with it. By then
    another request may use the connection, if the caller reads a whole answer slowly.
    """
    tokens = call.fields.prompt_tokens
    state.in_flight += 1
    state.tokens_in_flight += tokens
    tokens_counted = True
    vm.demand.record_waiting(call.service.name, 1)

    def mark_running() -> None:
        nonlocal tokens_counted
        if tokens_counted:
            tokens_counted = False
            state.tokens_in_flight -= tokens
            vm.demand.record_waiting(call.service.name, -1)
            send.on_running()

    connection: HttpConnection | None = None
    try:
        connection = acquire_connection(vm, state, call.fields.attempt_id)
        if connection is None:
            connection = await open_connection(state.info.address)
            connection.opened_ms = vm.clock.now_ms()
        await send_on_connection(
            vm, call, state, inputs, connection, send, mark_running
        )
    except ConnectionLostError as error:
        send.detail = str(error)
        send.outcome = Outcome.UNKNOWN if send.sent else Outcome.UNSENT
        if isinstance(error, NoListenerError):
            record_ended(vm, state.process)
        if not send.sent and vm.table.may_get(state, vm.clock.now_ms()):
            record_unreachable(state, vm.clock.now_ms())
    finally:
        state.in_flight -= 1
        if tokens_counted:
            state.tokens_in_flight -= tokens
            vm.demand.record_waiting(call.service.name, -1)
        if connection is not None and connection.requests == send.nth_request:
            log_joined_answers(vm, call, state, connection)
            send.crashed = send.outcome is Outcome.UNKNOWN and connection.ended_by_peer
            if connection.in_use:
                connection.close("request cancelled")


def log_joined_answers(
    vm: Gateway, call: Call, state: UpstreamState, connection: HttpConnection
) -> None:
    """Log an answer that was given up because it is not one message."""
    if connection.parser.joined:
        vm.journal.record(
            Event.ANSWER_GIVEN_UP,
            request=call.fields.attempt_id,
            upstream=state.info.id,
            nth_request=connection.requests,
            reason=connection.parser.joined,
        )


def acquire_connection(
    vm: Gateway, state: UpstreamState, attempt_id: str
) -> HttpConnection | None:
    """Return an idle connection on which no answer of another can be taken for this.

    A request without an id needs a connection that has carried no other one.
    """
    if not attempt_id:
        return None
    connection = vm.pool.acquire(state.info.id, vm.clock.now_ms())
    if connection and has_answered(connection, attempt_id):
        connection.close("the same attempt was answered on the connection")
        return None
    return connection


def has_answered(connection: HttpConnection, attempt_id: str) -> bool:
    """Return whether an attempt was refused or failed on a connection.

    A second answer to it has the id of any further send of the attempt.
    """
    return (
        attempt_id in connection.refused_attempts
        or attempt_id in connection.failed_attempts
    )


async def send_on_connection(
    vm: Gateway,
    call: Call,
    state: UpstreamState,
    inputs: tuple[str, ...],
    connection: HttpConnection,
    send: Send,
    mark_running: Callable[[], None],
) -> None:
    """Send the request on a connection and handle the answer."""
    now_ms = vm.clock.now_ms()
    if not vm.table.may_get(state, now_ms):
        connection.close("the upstream gets no requests now")
        raise ConnectionLostError("the upstream gets no requests now", sent=False)
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
    connection.send(data, call.fields.attempt_id)
    send.sent = True
    send.sent_ms = now_ms
    send.nth_request = connection.requests
    head, fields = await receive_matching_head(vm, call, state, connection)
    record_survivor(vm, state, connection.opened_ms, now_ms)
    record_alive(vm, state, now_ms)
    if fields.load is not None:
        record_load(state, fields.load, vm.clock.now_ms())
        record_speed(vm, state)
    if fields.states_not_run(state.info.id):
        await record_not_run(vm, state, connection, head, fields, send)
    elif not fields.sealed:
        send.detail = f"status {head.status} without a seal"
        connection.close(send.detail)
        send.outcome = Outcome.UNKNOWN
    elif head.status >= 300:
        if head.status not in NOT_RUN_STATUSES:
            count_begun(vm, call, send)
        body = await connection.receive_rest()
        attempts = connection.failed_attempts
        remember(attempts, call.fields.attempt_id, None, MAX_FAILED_ATTEMPTS)
        vm.pool.release(state.info.id, connection, vm.clock.now_ms())
        if head.status not in NOT_RUN_STATUSES:
            headers = end_to_end_headers(head.headers, vm.protocol.read_in_answers)
            send.failure = Failure(head.status, headers, body)
        send.detail = f"status {head.status}"
        send.outcome = Outcome.FAILED
    elif send.answer.begun and not continues_stream(head):
        send.detail = f"status {head.status}, does not go on with the stream"
        connection.close(send.detail)
        send.outcome = Outcome.UNKNOWN
    elif call.route.kind is RouteKind.STREAM or (head.length or 0) > MAX_BODY_BYTES:
        await stream_answer(vm, call, state, connection, head, send, mark_running)
    else:
        await forward_answer(vm, call, state, connection, head, send)
    if send.outcome is Outcome.FORWARDED:
        took_ms = vm.clock.now_ms() - now_ms
        record_success(state, took_ms)
        if dispatch.last_event is None:
            vm.answer_times.record(call.route.name, took_ms)
            if call.service.scaling is not None:
                record_run(vm, call, state, send, now_ms)


def record_run(
    vm: Gateway, call: Call, state: UpstreamState, send: Send, sent_ms: float
) -> None:
    """Record how long a request kept its upstream busy, from its send to now."""
    now_ms = vm.clock.now_ms()
    first_ms = (send.events_since_ms or now_ms) - sent_ms
    reads_prompt = call.service.engine is not None
    run = Run(first_ms, now_ms - sent_ms, state.info.slots, reads_prompt)
    vm.demand.record_run(call.service.name, call.route.name, run, now_ms)


def record_speed(vm: Gateway, state: UpstreamState) -> None:
    """Note for other VMs how fast an upstream is, and log if that has changed."""
    vm.speeds.note_report(state.process, state.estimate)
    if vm.speeds.is_worth_a_line(state.process, state.estimate):
        vm.journal.record(
            Event.UPSTREAM_SPEED_CHANGED,
            upstream=state.info.id,
            service=state.info.service,
            slowness=round(state.estimate.usual_report, 2),
        )


async def receive_matching_head(
    vm: Gateway, call: Call, state: UpstreamState, connection: HttpConnection
) -> tuple[AnswerHead, AnswerFields]:
    """Return the head of the answer to this request; drop answers to other requests.

    Raises
    ------
    AnswerTooLargeError
        If too many answers to other requests arrive.
    UnidentifiedAnswerError
        If an answer without an id arrives that may be the one to this request or to
        another.
    ConnectionLostError
        If the connection ends first.
    """
    for _ in range(MAX_OTHER_ANSWERS):
        head = await connection.receive_head()
        fields = vm.protocol.read_answer(head.status, head.headers)
        if fields.leaving or fields.closed_ms:
            record_words(vm, state.info, fields)
        if not call.fields.attempt_id or fields.attempt_id == call.fields.attempt_id:
            return head, fields
        if is_first_refusal(connection, fields, state):
            return head, fields
        vm.journal.record(
            Event.ANSWER_DROPPED,
            request=call.fields.attempt_id,
            other=fields.attempt_id,
            status=head.status,
            nth_request=connection.requests,
        )
        if not fields.attempt_id:
            raise UnidentifiedAnswerError(head.status)
    raise AnswerTooLargeError(f"received {MAX_OTHER_ANSWERS} answers to other requests")


def is_first_refusal(
    connection: HttpConnection, fields: AnswerFields, state: UpstreamState
) -> bool:
    """Return whether an answer without an id refuses the request in progress.

    Upstreams may refuse a request before they read its id. On a connection that has
    carried another request, the refusal may be a late second answer to that one.
    """
    if fields.attempt_id or connection.requests > 1:
        return False
    return fields.states_not_run(state.info.id)


async def record_not_run(
    vm: Gateway,
    state: UpstreamState,
    connection: HttpConnection,
    head: AnswerHead,
    fields: AnswerFields,
    send: Send,
) -> None:
    """Record that the upstream reports that it has not run the request.

    The connection must carry no request that a copy of this refusal could answer.
    """
    send.outcome = Outcome.INPUT_GONE if head.status == 409 else Outcome.NOT_RUN
    send.detail = f"status {head.status}, not run"
    if head.status in (429, 503):
        state.busy_until_ms = vm.clock.now_ms() + BUSY_MS
    try:
        await connection.receive_rest()
        connection.refused_attempts.add(fields.attempt_id)
        refused = len(connection.refused_attempts)
        if not fields.attempt_id or refused > MAX_REFUSED_ATTEMPTS:
            connection.close("a copy of the refusal could answer another request")
        else:
            vm.pool.release(state.info.id, connection, vm.clock.now_ms())
    except JoinedAnswersError as error:
        send.outcome = Outcome.UNKNOWN
        send.detail = str(error)
    except ConnectionLostError as error:
        send.detail += f", then {error}"


def record_upstream_failure(
    vm: Gateway, call: Call, state: UpstreamState, send: Send
) -> None:
    """Count a failed send against its upstream, and log if that ejects the upstream."""
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


async def send_with_timeout(
    vm: Gateway,
    call: Call,
    state: UpstreamState,
    inputs: tuple[str, ...],
    send: Send,
    limit_ms: float,
) -> None:
    """Send a request with a timeout; a stream that has begun runs to its deadline."""
    try:
        async with asyncio.timeout(limit_ms / 1000.0) as timeout:
            send.timeout = timeout
            await send_once(vm, call, state, inputs, send)
    except TimeoutError:
        send.answer.drop_partial()
        send.detail = f"no complete answer within {round(limit_ms)} ms"
        send.outcome = Outcome.UNKNOWN if send.sent else Outcome.UNSENT
