"""Test cuminstile.gateway.forwarding with answers that end too soon."""

from __future__ import annotations

import asyncio

import pytest

from cuminstile.clock import Clock
from cuminstile.gateway.event_stream import AnswerProgress
from cuminstile.gateway.forwarding import end_to_end_headers
from cuminstile.gateway.model import RouteKind
from cuminstile.gateway.send_state import Outcome
from cuminstile.platform.headers import PROTOCOL

from .servers import Session, serving
from .test_sending import Sent, read_id, send
from .test_state import make_vm

pytestmark = pytest.mark.anyio
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n"
STREAM = b"Content-Type: text/event-stream\r\n\r\n"
CHUNKED = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = b"id: %d\ndata: x\n\n"


def writing(head: bytes, body: bytes) -> Session:
    """Return a session that writes bytes and closes the connection in order."""

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        start = head % await read_id(reader) if b"%s" in head else head
        writer.write(start + body)
        await writer.drain()

    return session


async def send_to(
    session: Session, kind: RouteKind = RouteKind.STREAM, resumable: bool = False
) -> Sent:
    """Return the outcome of one send to an upstream with such a session."""
    progress = AnswerProgress() if resumable else None
    async with serving(session) as (address, _):
        return await send(make_vm(Clock()), address, "a1", kind, progress)


# Guards against a stream that ends with its connection inside an event, or before the
# first one, and looks complete to the caller.
@pytest.mark.parametrize("resumable", [False, True])
@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"id: 1",
        EVENT % 1 + b"id: 2\nda",
        EVENT % 1 + b"id: 2\ndata: x\n",
        EVENT % 1 + EVENT % 2 + b"i",
    ],
)
async def test_unframed_stream_that_ends_inside_an_event_is_broken_off(
    body: bytes, resumable: bool
) -> None:
    sent = await send_to(writing(HEAD + STREAM, body), resumable=resumable)
    assert sent.outcome is Outcome.UNKNOWN
    assert not sent.caller.finished
    if resumable:
        whole = b"".join(EVENT % n for n in (1, 2) if EVENT % n in body)
        assert sent.caller.body == whole


@pytest.mark.parametrize("resumable", [False, True])
@pytest.mark.parametrize("end", [b"", b"\n", b"\r\n"])
async def test_unframed_stream_of_whole_events_is_complete(
    end: bytes, resumable: bool
) -> None:
    body = EVENT % 1 + EVENT % 2 + end
    sent = await send_to(writing(HEAD + STREAM, body), resumable=resumable)
    assert sent.outcome is Outcome.FORWARDED
    assert sent.caller.finished
    assert sent.caller.body == body


async def test_unframed_plain_answer_is_complete() -> None:
    session = writing(HEAD + b"\r\n", b"no events here")
    sent = await send_to(session, RouteKind.IDEMPOTENT)
    assert sent.outcome is Outcome.FORWARDED
    assert sent.caller.body == b"no events here"


# Guards against a success with an empty or short body after an upstream stopped in the
# middle of the head of its answer, or of its framed body, and closed.
@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.IDEMPOTENT])
@pytest.mark.parametrize("resumable", [False, True])
@pytest.mark.parametrize(
    ("head", "body"),
    [
        (b"HTTP/1.1 200 OK\r\n", b""),
        (b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Se", b""),
        (HEAD + b"Content-Len", b""),
        (HEAD + b"Content-Length: 1", b""),
        (HEAD + b"Content-Length: 40\r\n", b""),
        (HEAD + b"Content-Length: 40\r\n\r", b""),
        (HEAD + b"Content-Length: 40\r\n\r\n", EVENT % 1),
        (HEAD + CHUNKED, b""),
        (HEAD + CHUNKED, b"f\r\n" + EVENT % 1),
        (HEAD + CHUNKED, b"f\r\n" + EVENT % 1 + b"\r\n0"),
    ],
)
async def test_answer_that_ends_inside_its_head_or_frame_is_not_complete(
    head: bytes, body: bytes, kind: RouteKind, resumable: bool
) -> None:
    sent = await send_to(writing(head, body), kind, resumable)
    assert sent.outcome is Outcome.UNKNOWN
    assert not sent.caller.finished


# Guards against a field of the upstream's connection that reaches the caller.
@pytest.mark.parametrize(
    "options", [[b"close, X-Foo, x-bar"], [b"close", b",X-FOO ,\tX-Bar"]]
)
def test_fields_that_connection_names_are_not_forwarded(options: list[bytes]) -> None:
    sound = [(b"x-baz", b"3"), (b"content-type", b"text/plain")]
    connection = [(b"connection", option) for option in options]
    nominated = [(b"x-foo", b"1"), (b"x-bar", b"2"), (b"x-foo", b"3")]
    assert end_to_end_headers([*nominated, *sound, *connection]) == sound


def test_fields_of_an_answer_that_are_read_stay() -> None:
    """Guards against a checked seal of an upstream that doesn't reach the caller."""
    sound = [(b"attempt-id", b"a1"), (b"content-type", b"x"), (b"response-seal", b"s")]
    connection = (b"connection", b"close, Content-Type, Response-Seal, Attempt-Id")
    read = PROTOCOL.read_in_answers
    assert end_to_end_headers([*sound, connection], read) == sound
