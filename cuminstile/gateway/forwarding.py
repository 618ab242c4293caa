"""Forward the answer of an upstream to the caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from .answers import AnswerEnd, AnswerHead, ConnectionLostError
from .connection_headers import nominated_headers
from .crash_evidence import record_long_run
from .event_stream import (
    AnswerProgress,
    EventCutOffError,
    EventOrderError,
    EventRateError,
    EventTooLargeError,
)
from .http_client import HttpConnection
from .model import RouteKind
from .send_state import Call, Outcome, Send
from .state import Gateway
from .upstream_protocol import RawHeaders
from .upstreams import UpstreamState

CONTENT_TYPE = b"content-type"
EVENT_STREAM_TYPE = b"text/event-stream"
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


@dataclass
class HeldLastByte:
    """The last byte of a stream of a stated length, until its end is checked.

    A caller that has received the whole length takes the answer for complete.

    Parameters
    ----------
    left_bytes : int or None
        Bytes of the length that are still to come, None if no length was stated.
    """

    left_bytes: int | None
    byte: bytes = b""

    def hold_from(self, data: bytes) -> bytes:
        """Return a part of the body without the byte that would complete it."""
        if self.left_bytes is None or not data:
            return data
        self.left_bytes -= len(data)
        if self.left_bytes > 0:
            return data
        self.byte = data[-1:]
        return data[:-1]


def end_to_end_headers(
    headers: RawHeaders, read: frozenset[bytes] = frozenset()
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer without the hop-by-hop headers.

    Parameters
    ----------
    read : frozenset of bytes
        Names that are forwarded even if the upstream's `Connection` lists them.
    """
    dropped = HOP_HEADERS | (nominated_headers(headers) - read - {CONTENT_TYPE})
    return [(name, value) for name, value in headers if name not in dropped]


def continues_stream(head: AnswerHead) -> bool:
    """Return whether an answer can go on with a stream that has begun."""
    kind = head.get(CONTENT_TYPE) or EVENT_STREAM_TYPE
    return head.status == 200 and kind.startswith(EVENT_STREAM_TYPE)


async def forward_answer(
    vm: Gateway,
    call: Call,
    state: UpstreamState,
    connection: HttpConnection,
    head: AnswerHead,
    send: Send,
) -> None:
    """Forward an answer once it is complete; one to HEAD with the length it states."""
    count_begun(vm, call, send)
    body = await connection.receive_rest()
    send.unframed = not connection.parser.framed
    vm.pool.release(state.info.id, connection, vm.clock.now_ms())
    if send.race is not None:
        send.race.win()
    send.answer.begun = True
    send.outcome = Outcome.FORWARDED
    headers = end_to_end_headers(head.headers, vm.protocol.read_in_answers)
    is_head = call.request.method == b"HEAD"
    call.out.write_head(head.status, headers, head.length if is_head else len(body))
    await call.out.write(body)
    call.out.finish()


async def stream_answer(
    vm: Gateway,
    call: Call,
    state: UpstreamState,
    connection: HttpConnection,
    head: AnswerHead,
    send: Send,
    mark_running: Callable[[], None],
) -> None:
    """Forward a stream or a large body as it arrives.

    Only complete events of a resumable stream are forwarded. If the answer breaks off,
    it breaks off for the caller too, unless another upstream resumes it: an incomplete
    answer never looks complete. None resumes it behind what may be the head of another
    answer, as that ends an event that was broken off. Of two sends of a request the one
    whose first event comes first is forwarded.
    """
    answer = send.answer
    extend_timeout(vm, call, send)
    last = HeldLastByte(None if answer.begun else head.length)
    waits_for_event = send.race is not None
    if not waits_for_event:
        begin_answer(vm, call, head, send)
    try:
        while True:
            item = await connection.receive()
            if isinstance(item, AnswerEnd):
                check_stream_end(call, connection, send)
            if waits_for_event:
                waits_for_event = False
                begin_answer(vm, call, head, send)
            if isinstance(item, AnswerEnd):
                break
            if isinstance(item, bytes):
                mark_running()
                count_begun(vm, call, send)
                send.events_since_ms = send.events_since_ms or vm.clock.now_ms()
                if vm.crash_guard.table.by_fingerprint and send.runs_long(vm.clock):
                    record_long_run(vm, call, send.events_since_ms)
                data = forwardable_bytes(call, answer, item)
                await call.out.write(last.hold_from(data))
                await limit_stream(vm, call, send, len(item))
    except (
        ConnectionLostError,
        EventCutOffError,
        EventTooLargeError,
        EventOrderError,
        EventRateError,
    ) as error:
        if not waits_for_event:
            answer.drop_partial()
            answer.holds_head = connection.parser.scan.holds_head
        send.detail = f"stream interrupted: {error}"
        send.outcome = Outcome.UNKNOWN
        return
    send.unframed = not connection.parser.framed
    await call.out.write(last.byte + answer.flush())
    call.out.finish()
    vm.pool.release(state.info.id, connection, vm.clock.now_ms())
    send.outcome = Outcome.FORWARDED


def count_begun(vm: Gateway, call: Call, send: Send) -> None:
    """Count a request that an upstream began, once however often it is sent."""
    if vm.duties is None or send.answer.counted or call.organisation is None:
        return
    send.answer.counted = True
    vm.duties.count_begun(call.organisation.name)


def begin_answer(vm: Gateway, call: Call, head: AnswerHead, send: Send) -> None:
    """Write the head of a stream to the caller, unless an earlier send has begun it.

    Raises
    ------
    asyncio.CancelledError
        If another send of the request answers the caller.
    """
    if send.race is not None:
        send.race.win()
    if send.answer.begun:
        return
    send.answer.begun = True
    send.answer.has_length = head.length is not None
    headers = end_to_end_headers(head.headers, vm.protocol.read_in_answers)
    call.out.write_head(head.status, headers, head.length)


def check_stream_end(call: Call, connection: HttpConnection, send: Send) -> None:
    """Check that a stream that ended with its connection ended with a whole event.

    Raises
    ------
    EventCutOffError
        If it ended before the first event or inside one: it was broken off.
    """
    if call.route.kind is not RouteKind.STREAM or connection.parser.framed:
        return
    if not send.events_since_ms:
        raise EventCutOffError
    send.answer.check_end()


def forwardable_bytes(call: Call, answer: AnswerProgress, data: bytes) -> bytes:
    """Return the bytes that can be forwarded now.

    Raises
    ------
    EventTooLargeError
        If an event exceeds the size limit.
    """
    if call.route.resumable:
        return answer.add_bytes(data)
    if call.route.kind is RouteKind.STREAM:
        answer.check_event_size(data)
    return data


async def limit_stream(vm: Gateway, call: Call, send: Send, size: int) -> None:
    """Wait while a stream of events is too fast.

    Raises
    ------
    EventRateError
        If it has too many events.
    """
    if call.route.kind is not RouteKind.STREAM:
        return
    now_ms = vm.clock.now_ms()
    events = send.answer.ended_events - send.events_counted
    send.events_counted = send.answer.ended_events
    if not send.event_tokens.take(events, now_ms):
        raise EventRateError
    if not send.byte_tokens.take(size, now_ms):
        await vm.clock.sleep_ms(send.byte_tokens.wait_ms())


def extend_timeout(vm: Gateway, call: Call, send: Send) -> None:
    """Extend the timeout of a stream that has begun to the request's deadline."""
    if send.timeout is None or send.timeout.expired():
        return
    left_ms = max(0.0, call.expires_at_ms - vm.clock.now_ms())
    send.timeout.reschedule(asyncio.get_running_loop().time() + left_ms / 1000.0)
