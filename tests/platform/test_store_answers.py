"""Test cuminstile.platform.store with answers that are torn and joined."""

from __future__ import annotations

from base64 import b64encode
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from cuminstile.clock import Clock
from cuminstile.eras.position import Position
from cuminstile.exceptions import TrimmedError
from cuminstile.gateway.following import StoreCallError
from cuminstile.gateway.topics import TopicPage
from cuminstile.platform.store import StoreClient

from ..gateway.servers import serving
from ..torn_answers import FRAMINGS, answer, answering, cuts

pytestmark = pytest.mark.anyio
TOPIC = "keyed.topic"
Call = Callable[[StoreClient], Awaitable[Any]]


def page(end: int, *values: bytes) -> bytes:
    """Return the answer to a read of the last records before an end."""
    contents = [b"\x03key" + value for value in values]
    records = [len(one).to_bytes(4, "big") + one for one in contents]
    offsets = end.to_bytes(8, "big") + bytes(8)
    return answer(b"200 OK", offsets + b"".join(records), b"Content-Type: x/raw")


PAGE = page(7, b"first value", b"second value")
EMPTY = page(5)
TRIMMED = answer(b"410 Gone", b'{"first":9}')
BUSY = answer(b"503 Busy", b"nothing was done")
APPENDED = answer(b"200 OK", b'{"offset":7,"end":8}')
OTHER_END = answer(b"412 Failed", b'{"end":9}')
NEWEST = answer(
    b"200 OK",
    b'{"items":[{"key":"k","value":"%b","offset":3}],"has_more":false,"end":7}'
    % b64encode(b"value"),
)


async def read(client: StoreClient) -> object:
    return await client.read(TOPIC, Position(0, 5), 0.0)


async def newest(client: StoreClient) -> object:
    return await client.newest(TOPIC)


async def append(client: StoreClient) -> object:
    await client.append_keyed(TOPIC, "key", b"value")
    return "appended"


async def found(call: Call, *answers: bytes) -> object:
    """Return what the last of some calls gets, None for an error."""
    last: object = None
    async with serving(answering(*answers), answering(answers[-1])) as (address, _):
        client = StoreClient(address, Clock())
        for _ in answers:
            try:
                last = await call(client)
            except TrimmedError:
                last = "trimmed"
            except StoreCallError:
                last = None
    return last


# Guards against a record that is filled up with the next answer, an append that counts
# as done and was refused, and records that count as deleted and are there.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize(
    ("call", "torn", "whole"),
    [
        (read, PAGE, PAGE),
        (read, PAGE, EMPTY),
        (read, PAGE, BUSY),
        (read, TRIMMED, PAGE),
        (read, BUSY, TRIMMED),
        (newest, NEWEST, BUSY),
        (newest, BUSY, NEWEST),
        (append, APPENDED, OTHER_END),
        (append, BUSY, APPENDED),
    ],
    ids=[
        "page, page",
        "page, empty page",
        "page, busy",
        "trimmed, page",
        "busy, trimmed",
        "newest, busy",
        "busy, newest",
        "appended, other end",
        "busy, appended",
    ],
)
async def test_torn_answer_is_not_completed_by_the_next_one(
    call: Call, torn: bytes, whole: bytes, framing: str
) -> None:
    frame = FRAMINGS[framing]
    wrong = {}
    for cut in cuts(frame(torn)):
        got = await found(call, frame(torn)[:cut] + frame(whole))
        if got is not None:
            wrong[cut] = got
    assert wrong == {}


# Guards against a read that gets the status or the records of the start of an earlier
# second answer.
@pytest.mark.parametrize("early", [True, False], ids=["behind the first", "late"])
@pytest.mark.parametrize(
    ("second", "due"), [(PAGE, TRIMMED), (TRIMMED, PAGE), (PAGE, EMPTY)]
)
async def test_start_of_a_second_answer_is_no_part_of_the_next_one(
    second: bytes, due: bytes, early: bool
) -> None:
    right = (None, await found(read, due))
    wrong = {}
    for cut in cuts(second):
        start = second[:cut]
        answers = (EMPTY + start, due) if early else (EMPTY, start + due)
        got = await found(read, *answers)
        if got not in right:
            wrong[cut] = got
    assert wrong == {}


# Guards against refusing a whole page for what its records hold.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("value", [b"H", b"HTTP/1.1 200", b"the words HTTP/1.1 alone"])
async def test_whole_page_is_read(value: bytes, framing: str) -> None:
    got = await found(read, FRAMINGS[framing](page(7, b"first", value)))
    assert isinstance(got, TopicPage)
    assert [record.value for record in got.records] == [b"first", value]


async def test_error_of_a_joined_answer_says_why() -> None:
    """Guards against an answer that was given up, and no log line says why."""
    async with serving(answering(PAGE[:30] + BUSY)) as (address, _):
        with pytest.raises(StoreCallError, match="start of another answer"):
            await read(StoreClient(address, Clock()))
