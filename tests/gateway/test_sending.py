"""Test cuminstile.gateway.sending with slow, dripping and repeating upstreams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import Any

import pytest

from cuminstile.clock import Clock
from cuminstile.gateway.event_stream import AnswerProgress
from cuminstile.gateway.http_server import Request
from cuminstile.gateway.model import RouteKind, Service
from cuminstile.gateway.send_state import Call, Failure, Outcome, Send
from cuminstile.gateway.sending import send_with_timeout
from cuminstile.gateway.state import Gateway
from cuminstile.gateway.upstream_protocol import CallFields
from cuminstile.gateway.upstreams import UpstreamListAge, UpstreamState

from .servers import Session, serving
from .test_decisions import make_route
from .test_state import make_upstream, make_vm

pytestmark = pytest.mark.anyio
FIRST_EVENT_MS = 300.0
"""Limit for the beginning of an answer in these tests."""
DEADLINE_MS = 1_500.0
END_SLACK_S = 0.5
SHORT_RUN_S = 0.05
EVENTS = 8
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class FakeCaller:
    """Connection of a caller that records what it is sent."""

    def __init__(self) -> None:
        self.body = b""
        self.finished = False

    def write_head(self, *arguments: Any) -> None:
        """Ignore the head."""

    async def write(self, data: bytes) -> None:
        """Record a part of the body."""
        self.body += data

    async def write_answer(self, status: int, headers: Any, body: bytes) -> None:
        """Record a whole answer."""
        del status, headers
        self.body += body
        self.finished = True

    def finish(self) -> None:
        """Record the end of the answer."""
        self.finished = True


@dataclass
class Sent:
    """Outcome of one send."""

    outcome: Outcome
    caller: FakeCaller
    failure: Failure | None


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def send(
    vm: Gateway,
    address: str,
    attempt_id: str,
    kind: RouteKind = RouteKind.STREAM,
    progress: AnswerProgress | None = None,
    limit_ms: float = FIRST_EVENT_MS,
    caller: FakeCaller | None = None,
) -> Sent:
    """Send one request to an upstream at an address, or go on with a stream."""
    caller = caller or FakeCaller()
    out: Any = caller
    now_ms = vm.clock.now_ms()
    headers = ((b"Attempt-Id", attempt_id.encode()),)
    call = Call(
        Request(b"POST", b"/x", headers, b"", now_ms),
        out,
        CallFields(attempt_id, DEADLINE_MS, None, 0, 0, (), (), ""),
        make_route("/x/", kind=kind, resumable=progress is not None),
        Service("s", 50),
        None,
        0,
        now_ms + FIRST_EVENT_MS,
        now_ms + DEADLINE_MS,
    )
    state = UpstreamState(replace(make_upstream("u1"), address=address))
    attempt = Send(progress or AnswerProgress(), UpstreamListAge(0, 0.0))
    await send_with_timeout(vm, call, state, (), attempt, limit_ms)
    return Sent(attempt.outcome, caller, attempt.failure)


async def read_id(reader: asyncio.StreamReader) -> bytes:
    """Return the id of the next request."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = (line.partition(b": ") for line in head.split(b"\r\n"))
    ids = (value for name, _, value in lines if name.lower() == b"attempt-id")
    return next(ids, b"")


async def sound_but_slow(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(STREAM_HEAD % await read_id(reader))
    for number in range(EVENTS):
        await asyncio.sleep(FIRST_EVENT_MS / 2_000.0)
        writer.write(chunk(b"id: %d\ndata: x\n\n" % number))
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    await reader.read()


async def dripping(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(STREAM_HEAD % await read_id(reader))
    writer.write(chunk(b"id: 0\ndata: x\n\n"))
    for _ in range(200):
        await asyncio.sleep(0.02)
        writer.write(chunk(b":"))
        await writer.drain()


async def answering_twice(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each request with its id, and once more as the next one is due."""
    last = b""
    while True:
        attempt_id = await read_id(reader)
        for name in (last, attempt_id):
            if name:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (name, len(name), name)
                )
        last = attempt_id


async def run(session: Session, kind: RouteKind = RouteKind.STREAM) -> Sent:
    vm = make_vm(Clock())
    async with serving(session) as (address, _):
        return await send(vm, address, "a1", kind)


async def test_slow_but_sound_stream_is_not_cut() -> None:
    """Guards against a limit on the whole answer where only its beginning has one."""
    sent = await run(sound_but_slow)
    assert sent.outcome is Outcome.FORWARDED
    assert sent.caller.finished
    assert sent.caller.body.count(b"data: x") == EVENTS


async def test_dripping_stream_ends_at_the_deadline_and_does_not_look_complete() -> (
    None
):
    """Guards against a stalled stream that a byte now and then keeps open for good."""
    async with asyncio.timeout(DEADLINE_MS / 1_000.0 + END_SLACK_S):
        sent = await run(dripping)
    assert sent.outcome is Outcome.UNKNOWN
    assert not sent.caller.finished


async def test_late_second_answer_goes_to_nobody() -> None:
    """Guards against a copy of an answer that the next caller on a connection gets."""
    vm = make_vm(Clock())
    async with serving(answering_twice) as (address, begun):
        for number in range(5):
            sent = await send(vm, address, f"a{number}", RouteKind.IDEMPOTENT)
            assert sent.outcome is Outcome.FORWARDED
            assert sent.caller.body == b"a%d" % number
        assert len(begun) == 1


REFUSAL = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n"


def refusing_twice(id_header: bytes) -> Session:
    """Return a session that writes its refusal of a request once more for the next."""

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first = await read_id(reader)
        writer.write(REFUSAL % (id_header % first if id_header else b""))
        second = await read_id(reader)
        writer.write(REFUSAL % (id_header % first if id_header else b""))
        writer.write(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (second, len(second), second)
        )
        await reader.read()

    return session


async def answering(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    name = await read_id(reader)
    writer.write(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (name, len(name), name)
    )
    await reader.read()


# Guards against "not run" for a request that runs, by a copy of an earlier refusal.
@pytest.mark.parametrize("id_header", [b"", b"Attempt-Id: %s\r\n"])
@pytest.mark.parametrize("second_id", ["a1", "a2"])
async def test_copy_of_a_refusal_answers_no_other_send(
    id_header: bytes, second_id: str
) -> None:
    vm = make_vm(Clock())
    async with serving(refusing_twice(id_header), answering) as (address, _):
        refused = await send(vm, address, "a1", RouteKind.ONCE)
        assert refused.outcome is Outcome.NOT_RUN
        sent = await send(vm, address, second_id, RouteKind.ONCE)
    assert sent.outcome is Outcome.FORWARDED
    assert sent.caller.body == second_id.encode()


SEALED = b"HTTP/1.1 %s\r\n%sResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok"
ID_FIELD = b"Attempt-Id: %s\r\n"


def answering_in_turn(*answers: bytes) -> Session:
    """Return a session that writes the next answers to each request.

    An answer with `%s` for its id gets that of the request. The last one follows the
    one before it without another request.
    """

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for number, answer in enumerate(answers):
            if number < len(answers) - 1:
                name = await read_id(reader)
            writer.write(answer.replace(b"%s", name))
        await reader.read()

    return session


OWN = SEALED % (b"200 OK", ID_FIELD)
OWN_FAILURE = SEALED % (b"500 Failed", ID_FIELD)
OWN_REFUSAL = REFUSAL % ID_FIELD
REFUSAL_WITHOUT_ID = REFUSAL % b""


# Guards against "not run" for a request that runs, so that it is sent once more or
# refused after its run: on a connection that has carried another request, a refusal
# without an id may be a second answer to that one.
@pytest.mark.parametrize(
    "first", [OWN_REFUSAL, OWN, OWN_FAILURE], ids=["refused", "answered", "failed"]
)
@pytest.mark.parametrize(
    "last", [OWN, OWN_FAILURE, b""], ids=["answer", "failure", "nothing"]
)
async def test_refusal_without_id_proves_nothing_on_a_used_connection(
    first: bytes, last: bytes
) -> None:
    vm = make_vm(Clock())
    session = answering_in_turn(first, REFUSAL_WITHOUT_ID, last)
    async with serving(session) as (address, begun):
        await send(vm, address, "a1", RouteKind.ONCE, limit_ms=DEADLINE_MS)
        async with asyncio.timeout(DEADLINE_MS / 2_000.0):
            sent = await send(vm, address, "a2", RouteKind.ONCE, limit_ms=DEADLINE_MS)
        assert len(begun) == 1
    assert sent.outcome is Outcome.UNKNOWN
    assert not any(vm.pool.idle.values())


# Guards against a success where the upstream had answered with a failure: the answer
# without an id may be the one to this request, and the next one its second.
@pytest.mark.parametrize("status", [b"500 Failed", b"404 Not Found", b"200 OK"])
@pytest.mark.parametrize("used", [False, True])
async def test_nothing_is_accepted_after_an_answer_without_id(
    status: bytes, used: bool
) -> None:
    vm = make_vm(Clock())
    session = answering_in_turn(*[OWN] * used, SEALED % (status, b""), OWN)
    async with serving(session) as (address, _):
        if used:
            await send(vm, address, "a1", RouteKind.ONCE, limit_ms=DEADLINE_MS)
        async with asyncio.timeout(DEADLINE_MS / 2_000.0):
            sent = await send(vm, address, "a2", RouteKind.ONCE, limit_ms=DEADLINE_MS)
    assert sent.outcome is Outcome.UNKNOWN
    assert sent.caller.body == b""


def failing_twice(second: bytes) -> Session:
    """Return a session that fails each request, and answers the first once more."""

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first = await read_id(reader)
        writer.write(OWN_FAILURE.replace(b"%s", first))
        name = await read_id(reader)
        writer.write(second.replace(b"%s", first))
        writer.write(OWN_FAILURE.replace(b"%s", name))
        await reader.read()

    return session


# Guards against a success where the upstream had answered with a failure: a request
# that is sent again after a failure has the id of before, and so has its second answer.
async def test_second_answer_after_a_failure_is_not_that_to_the_next_send() -> None:
    vm = make_vm(Clock())
    again = answering_in_turn(OWN_FAILURE, b"")
    async with serving(failing_twice(OWN), again) as (address, begun):
        for _ in range(2):
            sent = await send(vm, address, "a1", RouteKind.IDEMPOTENT)
            assert sent.outcome is Outcome.FAILED
            assert sent.caller.body == b""
        assert len(begun) == 2


# Guards against an answer of another request: without an id, nothing but a connection
# that has carried no other request tells whose the first answer is.
async def test_request_without_id_gets_no_second_answer_of_another() -> None:
    vm = make_vm(Clock())
    twice = answering_in_turn(OWN, SEALED % (b"200 OK", ID_FIELD), b"")
    own = answering_in_turn(SEALED.replace(b"ok", b"no") % (b"200 OK", b""), b"")
    async with serving(twice, own) as (address, _):
        await send(vm, address, "a1", RouteKind.ONCE)
        sent = await send(vm, address, "", RouteKind.ONCE)
    assert sent.outcome is Outcome.FORWARDED
    assert sent.caller.body == b"no"


async def test_refusal_without_id_of_a_first_request_is_believed() -> None:
    """Guards against a request that no upstream has run and that is not sent again."""
    vm = make_vm(Clock())
    async with serving(answering_in_turn(REFUSAL_WITHOUT_ID, b"")) as (address, _):
        sent = await send(vm, address, "a1", RouteKind.ONCE)
    assert sent.outcome is Outcome.NOT_RUN


async def test_sound_requests_share_one_connection() -> None:
    """Guards against a new connection for each request, which costs the upstream."""
    vm = make_vm(Clock())
    session = answering_in_turn(*[OWN, OWN_REFUSAL, OWN_FAILURE] * 5, b"")
    async with serving(session) as (address, begun):
        for number in range(15):
            await send(vm, address, f"a{number}", RouteKind.ONCE)
        assert len(begun) == 1


async def test_failure_keeps_the_seal_that_its_connection_field_names() -> None:
    """Guards against a failure of an upstream that its caller can't recognize."""
    fields = ID_FIELD + b"Connection: Response-Seal\r\n"
    vm = make_vm(Clock())
    answers = (SEALED % (b"500 Failed", fields), b"")
    async with serving(answering_in_turn(*answers)) as (address, _):
        sent = await send(vm, address, "a1", RouteKind.ONCE)
    assert sent.failure is not None
    assert (b"response-seal", b"s") in sent.failure.headers


def after_a_break(head: bytes, body: bytes) -> Session:
    """Return a session that answers a resumed stream with something else."""

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        name = await read_id(reader)
        start = b"HTTP/1.1 %s\r\nAttempt-Id: %s\r\n" % (head, name)
        writer.write(start + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        await writer.drain()
        await reader.read()

    return session


SEAL = b"\r\nResponse-Seal: s"
EVENT_STREAM = b"\r\nContent-Type: text/event-stream"


# Guards against an error's text in the middle of a stream, or a stream that looks
# complete, or events that come twice, after it broke off and another upstream answered.
@pytest.mark.parametrize(
    ("head", "body"),
    [
        (b"500 Failed" + SEAL, b"Traceback"),
        (b"503 Full", b"full"),
        (b"200 OK", b"id: 3\ndata: x\n\n"),
        (b"200 OK" + SEAL + b"\r\nContent-Type: application/json", b'{"error": 1}'),
        (b"206 Partial" + SEAL + EVENT_STREAM, b"id: 3\ndata: x\n\n"),
        (b"200 OK" + SEAL + EVENT_STREAM, b"id: 2\ndata: x\n\n"),
        (b"200 OK" + SEAL + EVENT_STREAM, b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"),
    ],
)
async def test_resumed_stream_goes_on_with_its_next_event_alone(
    head: bytes, body: bytes
) -> None:
    vm = make_vm(Clock())
    progress = AnswerProgress(begun=True, last_event="2")
    async with serving(after_a_break(head, body)) as (address, _):
        sent = await send(vm, address, "a1", progress=progress)
    assert sent.caller.body == b""
    assert not sent.caller.finished
    assert sent.outcome is not Outcome.FORWARDED


async def test_resumed_stream_that_goes_on_is_forwarded() -> None:
    vm = make_vm(Clock())
    progress = AnswerProgress(begun=True, last_event="2")
    rest = b"id: 3\ndata: x\n\n"
    session = after_a_break(b"200 OK" + SEAL + EVENT_STREAM, rest)
    async with serving(session) as (address, _):
        sent = await send(vm, address, "a1", progress=progress)
    assert (sent.caller.body, sent.caller.finished) == (rest, True)
    assert not vm.answer_times.by_route


async def test_time_of_each_whole_answer_is_known() -> None:
    """Guards against a shutdown at which nobody knows how long answers take."""
    vm = make_vm(Clock())
    async with serving(sound_but_slow) as (address, _):
        await send(vm, address, "a1")
    (took_ms,) = vm.answer_times.by_route["/x/"]
    assert took_ms >= EVENTS * FIRST_EVENT_MS / 2.0


# Guards against a request that was assigned to an upstream before it said that it
# leaves, and against a connection that nobody closes then.
async def test_upstream_that_leaves_after_the_choice_gets_nothing() -> None:
    vm = make_vm(Clock())
    vm.table.record_left("u1@1", 0.0)
    async with serving(answering) as (address, begun):
        sent = await send(vm, address, "a1", RouteKind.IDEMPOTENT)
        await asyncio.sleep(0.05)
        assert begun == [answering]
    assert sent.outcome is Outcome.UNSENT
    assert vm.pool.idle == {}


WHOLE = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n"
    b"Content-Length: 3\r\n\r\nrun"
)


class SlowCaller(FakeCaller):
    """Caller that reads no body until `reads` is set."""

    def __init__(self, reads: asyncio.Event) -> None:
        super().__init__()
        self.reads = reads

    async def write(self, data: bytes) -> None:
        """Record a part of the body once the caller reads."""
        await self.reads.wait()
        await super().write(data)


async def test_answer_that_is_read_slowly_cuts_off_no_other_request() -> None:
    """Guards against a request that loses its connection to the one before it there."""
    reads, arrived = asyncio.Event(), asyncio.Event()

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(WHOLE % await read_id(reader))
        name = await read_id(reader)
        arrived.set()
        await asyncio.sleep(SHORT_RUN_S)
        writer.write(WHOLE % name)
        await reader.read()

    vm = make_vm(Clock())
    async with serving(session) as (address, begun):
        slow = asyncio.create_task(
            send(vm, address, "a-1", RouteKind.ONCE, caller=SlowCaller(reads))
        )
        while not vm.pool.idle.get("u1"):
            await asyncio.sleep(0)
        next_ = asyncio.create_task(send(vm, address, "a-2", RouteKind.ONCE))
        await arrived.wait()
        reads.set()
        ends = await asyncio.gather(slow, next_)
        assert len(begun) == 1
    assert [sent.outcome for sent in ends] == [Outcome.FORWARDED] * 2
    assert [sent.caller.body for sent in ends] == [b"run"] * 2
