"""Test requests of callers that are torn, and another one behind on the connection."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from contextlib import suppress

import pytest

from cuminstile.gateway.http_server import Request
from cuminstile.platform.headers import read_call

from ..torn_answers import cuts, in_chunks
from .http_server.test_connection import connected

pytestmark = pytest.mark.anyio
HOST = b"Host: shop.example"
AGENT = b"User-Agent: callers/1.0 (x)"
TYPE = b"Content-Type: application/json"
READ_PAUSE_MS = 4.0
QUOTE = b"X-Original-Request: GET / HTTP/1.1"


def request(target: bytes, name: bytes, body: bytes, *fields: bytes) -> bytes:
    """Return a whole request; `ID` among the fields stands for that of its attempt."""
    lines = [b"POST " + target + b" HTTP/1.1"]
    lines += [b"Attempt-Id: " + name if one == b"ID" else one for one in fields]
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


ORDERS = {
    "host first": (HOST, b"ID", AGENT, TYPE),
    "host last": (AGENT, TYPE, b"ID", HOST),
    "host and id last": (AGENT, TYPE, HOST, b"ID"),
}
FIRST_BODY = b'{"input": "of the first request"}'
SECOND_BODY = b'{"input": "of the second one"}'


async def read_at_server(*reads: bytes) -> list[Request]:
    """Return the requests that are handed on; each bytes come in one read."""
    async with connected() as callers:
        with suppress(OSError):  # The server may have closed the connection by then.
            for data in reads:
                callers.writer.write(data)
                await asyncio.sleep(READ_PAUSE_MS / 1000.0)
            callers.writer.write_eof()
            await callers.reader.read()
        return [one for one in callers.requests if not read_call(one.headers).repeated]


def parts(one: Request) -> tuple[object, ...]:
    return one.method, one.target, one.headers, one.body


async def joined(first: bytes, second: bytes, late: bool) -> dict[int, Request]:
    """Return, by the cut of the first, requests that are neither of the two."""
    whole = {parts(one) for one in await read_at_server(first)}
    whole |= {parts(one) for one in await read_at_server(second)}
    assert len(whole) == 2
    wrong = {}
    for cut in cuts(first):
        reads = (first[:cut], second) if late else (first[:cut] + second,)
        for one in await read_at_server(*reads):
            if parts(one) not in whole:
                wrong[cut] = one
    return wrong


# Guards against a request with the path of one and the id and body of another, and
# against a body that is filled up with the head of the next request.
@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("late", [False, True], ids=["at once", "late"])
@pytest.mark.parametrize("frame", [bytes, in_chunks], ids=["length", "chunks"])
async def test_torn_request_is_not_completed_by_the_next_one(
    order: str, late: bool, frame: Callable[[bytes], bytes]
) -> None:
    first = frame(request(b"/first", b"a1", FIRST_BODY, *ORDERS[order]))
    second = frame(request(b"/second?x=1", b"b2", SECOND_BODY, *ORDERS[order]))
    wrong = await joined(first, second, late)
    assert {cut: first[:cut][-12:] for cut in wrong if not is_untold(first, cut)} == {}


def is_untold(first: bytes, cut: int) -> bool:
    """Return whether a cut lies where a sound request may quote a request line.

    That is at the start of a value, or behind a character in it that is no letter or
    digit.
    """
    head_end = first.index(b"\r\n\r\n")
    return cut < head_end and not first[cut - 1 : cut].isalnum()


# Guards against refusing sound requests for what they quote, or for those behind them.
@pytest.mark.parametrize("fields", [*itertools.permutations([HOST, QUOTE, b"ID"])])
async def test_request_that_quotes_a_request_line_is_read(
    fields: tuple[bytes, ...],
) -> None:
    assert len(await read_at_server(request(b"/x", b"a1", b"{}", *fields))) == 1


QUOTED = request(b"/q", b"q3", b"", HOST, b"ID")
SOUND = request(b"/y", b"b2", SECOND_BODY, HOST, b"ID")


@pytest.mark.parametrize("behind", [b"", b"\r\n", SOUND, b"garbage"])
@pytest.mark.parametrize("cut", [len(QUOTED), len(QUOTED) - 1, 30, 10, 1])
async def test_body_that_quotes_a_request_is_read(cut: int, behind: bytes) -> None:
    whole = request(b"/x", b"a1", b"see " + QUOTED[:cut], HOST, b"ID")
    read = await read_at_server(whole + behind)
    assert [one.body for one in read] == [b"see " + QUOTED[:cut]]


async def test_body_that_is_filled_up_over_several_reads_is_refused() -> None:
    """Guards against a check that looks at requests in one read only."""
    first = request(b"/first", b"a1", FIRST_BODY, HOST, b"ID")
    assert await read_at_server(first[:-20], first[-20:-10] + SOUND) == []


async def test_body_is_refused_though_the_next_head_is_not_complete() -> None:
    """Guards against a read that ends in the head by which a body was filled up."""
    first = request(b"/first", b"a1", FIRST_BODY, HOST, b"ID")
    end = SOUND.index(b"Attempt-Id") + 4
    wrong = {}
    for cut in range(len(first) - len(b"POST /y HTTP/1.1"), len(first)):
        if read := await read_at_server(first[:cut] + SOUND[:end], SOUND[end:]):
            wrong[cut] = read
    assert wrong == {}


async def test_body_that_is_filled_up_with_a_whole_head_is_refused() -> None:
    """Guards against a check that looks at the end of the next head only.

    A body whose rest is as long as the next request, with nothing behind, is left out.
    """
    first = request(b"/first", b"a1", b"x" * 300, HOST, b"ID")
    fits = len(first) - len(SOUND)
    for late in (False, True):
        wrong = await joined(first, SOUND, late)
        assert {cut: one.body for cut, one in wrong.items() if cut != fits} == {}
