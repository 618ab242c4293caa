"""Test cuminstile.gateway.http_server.connection with raw bytes of callers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from cuminstile.clock import Clock
from cuminstile.gateway.http_server import (
    CallerConnection,
    Handler,
    Request,
    Server,
    listen,
)
from cuminstile.gateway.model import Limits
from cuminstile.gateway.upstream_protocol import Dispatch
from cuminstile.platform.headers import forwarded_headers, read_call

pytestmark = pytest.mark.anyio
LIMITS = Limits(max_header_bytes=4_096, max_body_bytes=65_536)
HEAD = b"POST /x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"
FRAMING_NAMES = [b"Content-Length", b"Transfer-Encoding"]
"""The parser refuses these after a body, as they concern its length."""
TRAILER_NAMES = [
    b"Attempt-Id",
    b"Host",
    b"Model",
    b"Token-Count",
    b"Prompt-Prefix",
    b"Pieces",
    b"Piece-Key",
    b"Last-Event-Id",
    b"Idempotency-Key",
    b"Cookie",
    b"X-Foo",
    b"Authorization",
    b"Deadline-Ms",
    b"Tenant",
    b"Inputs",
    b"Expect-Instance",
    *FRAMING_NAMES,
]
BODIES = {
    "no chunk": b"",
    "one chunk": b"4\r\nbody\r\n",
    "many chunks": b"1\r\nx\r\n" * 200,
}
ENDLESS = b"x" * 16_384
ENDLESS_TIMES = 64


@dataclass
class Callers:
    """A server, the requests that it read, and one connection to it."""

    server: Server
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    requests: list[Request] = field(default_factory=list)

    async def exchange(self, data: bytes) -> tuple[int, bytes]:
        """Send bytes and return the status and the head of the answer."""
        self.writer.write(data)
        async with asyncio.timeout(2.0):
            head = await self.reader.readuntil(b"\r\n\r\n")
        return int(head.split(b" ", 2)[1]), head


async def answer_empty(request: Request, out: CallerConnection) -> None:
    await out.write_answer(200, (), b"")


@asynccontextmanager
async def connected(answer: Handler = answer_empty) -> AsyncIterator[Callers]:
    """Connect to a server that keeps the requests and answers them by a handler."""
    requests: list[Request] = []

    async def keep_and_answer(request: Request, out: CallerConnection) -> None:
        requests.append(request)
        await answer(request, out)

    server = Server(Clock(), keep_and_answer, lambda: LIMITS)
    listener = await listen(server, "127.0.0.1:0")
    host, port = listener.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    try:
        yield Callers(server, reader, writer, requests)
    finally:
        writer.close()
        listener.close()


def forwarded(request: Request) -> list[tuple[bytes, bytes]]:
    """Return the headers that an upstream gets of a request."""
    return forwarded_headers(request.headers, Dispatch("u1", 900.0, "o", None, ()))


async def first_forwarded(data: bytes) -> list[tuple[bytes, bytes]]:
    """Return the headers that an upstream gets of one sound request."""
    async with connected() as callers:
        assert (await callers.exchange(data))[0] == 200
        return forwarded(callers.requests[0])


# Guards against fields after a caller's body that reach the upstream as if they stood
# in the head, which is what was checked: the upstream then runs another request.
@pytest.mark.parametrize("announced", [False, True], ids=["plain", "announced"])
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("name", TRAILER_NAMES, ids=lambda name: name.decode())
async def test_no_trailer_reaches_an_upstream(
    name: bytes, body: str, announced: bool
) -> None:
    value = b"Bearer key" if name == b"Authorization" else b"31337"
    trailer = name + b": " + value + b"\r\n"
    start = CHUNKED + (b"Trailer: " + name + b"\r\n" if announced else b"") + b"\r\n"
    sound = await first_forwarded(start + BODIES[body] + b"0\r\n\r\n")
    async with connected() as callers:
        data = start + BODIES[body] + b"0\r\n" + trailer + b"\r\n"
        status, _ = await callers.exchange(data)
        if name in FRAMING_NAMES:
            assert (status, callers.requests) == (400, [])
            return
        assert status == 200
        request = callers.requests[0]
        assert forwarded(request) == sound
        assert read_call(request.headers).key is None
        assert read_call(request.headers).deadline_ms is None
        assert (await callers.exchange(HEAD + b"Content-Length: 0\r\n\r\n"))[0] == 200


# Guards against a caller whose bytes after the head never end and cost memory.
@pytest.mark.parametrize(
    ("before", "endless"),
    [
        (b"0\r\nX-Foo: ", ENDLESS),
        (b"0\r\n", b"X-Foo: abcdefg\r\n" * 1_024),
        (b"1;name=", ENDLESS),
        (b"4\r\nbody\r\n0;name=", ENDLESS),
        (b"", b"1;name=" + b"x" * 4_000 + b"\r\nx\r\n"),
    ],
    ids=[
        "one trailer",
        "many trailers",
        "chunk extension",
        "last chunk extension",
        "many chunk extensions",
    ],
)
async def test_bytes_without_end_after_the_head_are_refused(
    before: bytes, endless: bytes
) -> None:
    async with connected() as callers:
        callers.writer.write(CHUNKED + b"\r\n" + before)
        sent = 0
        for _ in range(ENDLESS_TIMES):
            callers.writer.write(endless)
            sent += len(endless)
            await asyncio.sleep(0.001)
            if not callers.server.connections:
                break
        assert not callers.server.connections
        assert not callers.requests


async def test_trailers_that_come_at_once_are_bounded_too() -> None:
    """Guards against many trailers that come whole before they are counted."""
    async with connected() as callers:
        trailers = b"X-Foo: abcdefg\r\n" * 1_024
        data = CHUNKED + b"\r\n0\r\n" + trailers + b"\r\n"
        assert (await callers.exchange(data))[0] == 431
        assert not callers.requests


# Guards against a bound on the bytes around a body that refuses a sound request or ends
# its connection.
@pytest.mark.parametrize("chunk_bytes", [1, 100, 65_536, None])
async def test_largest_body_is_accepted_and_its_connection_is_kept(
    chunk_bytes: int | None,
) -> None:
    size = LIMITS.max_body_bytes
    data = HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
    if chunk_bytes is not None:
        chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
        chunks = chunk * (size // chunk_bytes)
        data = CHUNKED + b"\r\n" + chunks + b"0\r\n\r\n"
    async with connected() as callers:
        for _ in range(2):
            status, head = await callers.exchange(data)
            assert (status, b"Connection: close" in head) == (200, False)
        bodies = [len(request.body) for request in callers.requests]
        assert bodies == [size // (chunk_bytes or 1) * (chunk_bytes or 1)] * 2


@pytest.mark.parametrize(
    "value", [b"chunked", b"Chunked", b"CHUNKED", b"chunked ", b"\tchUnked "]
)
async def test_case_of_a_transfer_coding_has_no_meaning(value: bytes) -> None:
    """Guards against a sound request that is refused for the case of `Chunked`."""
    async with connected() as callers:
        for _ in range(2):
            data = HEAD + b"Transfer-Encoding: " + value + b"\r\n\r\n"
            data += BODIES["many chunks"] + b"0\r\n\r\n"
            assert (await callers.exchange(data))[0] == 200
        assert [len(request.body) for request in callers.requests] == [200, 200]


# Guards against a body that this VM and a proxy before it end at different places.
@pytest.mark.parametrize(
    "fields",
    [
        [b"Transfer-Encoding: chunked, chunked"],
        [b"Transfer-Encoding: Chunked, Chunked"],
        [b"Transfer-Encoding: gzip, chunked"],
        [b"Transfer-Encoding: gzip, Chunked"],
        [b"Transfer-Encoding: chunked, gzip"],
        [b"Transfer-Encoding: identity"],
        [b"Transfer-Encoding: , chunked"],
        [b"Transfer-Encoding: chunked,"],
        [b"Transfer-Encoding: chunked;q=1"],
        [b"Transfer-Encoding: xchunked"],
        [b"Transfer-Encoding: \x0bchunked"],
        [b"Transfer-Encoding: chunked\x0b"],
        [b"Transfer-Encoding:"],
        [b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"],
        [b"Transfer-Encoding: Chunked", b"Transfer-Encoding: Chunked"],
        [b"Transfer-Encoding: gzip", b"Transfer-Encoding: Chunked"],
        [b"Transfer-Encoding: Chunked", b"Content-Length: 4"],
        [b"Content-Length: 4", b"Transfer-Encoding: Chunked"],
        [b"Content-Length: 4", b"Content-Length: 4"],
    ],
)
async def test_ambiguous_framing_is_refused(fields: list[bytes]) -> None:
    async with connected() as callers:
        head = HEAD + b"\r\n".join(fields) + b"\r\n\r\n"
        status, answer = await callers.exchange(head + b"0\r\n\r\n")
        assert (status, callers.requests) == (400, [])
        assert b"Connection: close" in answer


async def test_answer_to_head_has_no_body_and_its_connection_is_kept() -> None:
    """Guards against a body after HEAD that is read as the next answer."""

    async def answer(request: Request, out: CallerConnection) -> None:
        if request.target == b"/stream":
            out.write_head(200, (), None)
            await out.write(b"part")
            out.finish()
        else:
            await out.write_answer(404, (), b"missing")

    async with connected(answer) as callers:
        for target in (b"/stream", b"/missing", b"/stream"):
            start = b"HEAD " + target + b" HTTP/1.1\r\nHost: shop.example\r\n"
            status, head = await callers.exchange(start + b"\r\n")
            assert status == (404 if target == b"/missing" else 200)
            assert b"Connection: close" not in head
        status, _ = await callers.exchange(HEAD + b"Content-Length: 0\r\n\r\n")
        assert status == 404
        async with asyncio.timeout(2.0):
            assert await callers.reader.readexactly(7) == b"missing"


@pytest.mark.parametrize("spaces", [b" ", b"\t", b" \t \t"])
async def test_spaces_around_a_value_belong_to_no_header(spaces: bytes) -> None:
    """Guards against an id that its upstream gives back without the caller's spaces."""
    head = b"GET /x HTTP/1.1\r\nHost: h\r\nAttempt-Id:%sa1%s\r\n\r\n"
    async with connected() as callers:
        status, _ = await callers.exchange(head % (spaces, spaces))
        assert status == 200
        assert callers.requests[0].get(b"attempt-id") == b"a1"
