"""Test cuminstile.platform.store, on servers with scripted answers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from cuminstile.clock import Clock
from cuminstile.eras.position import Position
from cuminstile.exceptions import TrimmedError
from cuminstile.gateway.following import StoreCallError
from cuminstile.platform import store as store_module
from cuminstile.platform.store import StoreClient

from ..gateway.servers import Session, serving

pytestmark = pytest.mark.anyio
TOPIC = "topic"
EMPTY_PAGE = bytes(16)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + EMPTY_PAGE


@asynccontextmanager
async def store_of(*sessions: Session) -> AsyncIterator[tuple[StoreClient, list]]:
    """Yield a client of a server, and the connections that the server accepted."""
    async with serving(*sessions) as (address, accepted):
        yield StoreClient(address, Clock()), accepted


async def answer_all(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while await reader.readuntil(b"\r\n\r\n"):
        writer.write(ANSWER)


async def never_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while await reader.read(1000):
        pass


async def test_call_after_a_timeout_uses_another_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against breaking DRAIN after an outage: all later calls hung too."""
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_MS", 100.0)
    async with store_of(never_answer, answer_all) as (client, accepted):
        with pytest.raises(StoreCallError):
            await client.read(TOPIC, Position(0, 0), 0.0)
        assert (await client.read(TOPIC, Position(0, 0), 0.0)).end.offset == 0
        assert len(accepted) == 2


async def test_timeout_of_one_call_ends_calls_that_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a long poll that is never answered and so misses all changes."""
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_MS", 100.0)
    async with store_of(never_answer) as (client, _):
        waiting = asyncio.create_task(client.read(TOPIC, Position(0, 0), 20_000.0))
        await asyncio.sleep(0.05)
        with pytest.raises(StoreCallError):
            await client.read(TOPIC, Position(0, 0), 0.0)
        async with asyncio.timeout(0.1):
            with pytest.raises(StoreCallError):
                await waiting


def page_of(end: int, records: int) -> bytes:
    """Return the answer to a read of the last records before an end."""
    record = b"\x00\x00\x00\x05\x03keyv"
    body = end.to_bytes(8, "big") + bytes(8) + record * records
    return answer_of(body)


def newest_of(end: int) -> bytes:
    """Return the answer that no key has a value."""
    return answer_of(b'{"items":[],"has_more":false,"end":%d}' % end)


def answer_of(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def repeating_first(*answers: bytes) -> Session:
    """Return a session that repeats its first answer as the second one is due."""

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for number, answer in enumerate(answers):
            await reader.readuntil(b"\r\n\r\n")
            if number == 1:
                writer.write(answers[0])
                await asyncio.sleep(0.02)
            writer.write(answer)
        await reader.read()

    return session


async def test_second_answer_to_a_read_is_not_that_to_a_read_of_another_topic() -> None:
    """Guards against a topic that gets the records of another one."""
    sessions = (
        repeating_first(page_of(7, 2), page_of(40, 1)),
        repeating_first(page_of(40, 1)),
    )
    async with store_of(*sessions) as (client, _):
        assert (await client.read(TOPIC, Position(0, 5), 0.0)).end.offset == 7
        page = await client.read("other", Position(0, 39), 0.0)
    assert (len(page.records), page.end) == (1, Position(0, 40))


@pytest.mark.parametrize(
    ("first", "second_from"),
    [(page_of(7, 2), 7), (page_of(5, 0), 7)],
    ids=["records before", "end before"],
)
async def test_second_answer_to_a_read_is_not_that_to_the_next_one(
    first: bytes, second_from: int
) -> None:
    """Guards against records of before that are numbered as those after them."""
    sessions = repeating_first(first, page_of(8, 1)), repeating_first(page_of(8, 1))
    async with store_of(*sessions) as (client, accepted):
        await client.read(TOPIC, Position(0, 5), 0.0)
        with pytest.raises(StoreCallError):
            await client.read(TOPIC, Position(0, second_from), 0.0)
        assert (await client.read(TOPIC, Position(0, 7), 0.0)).end.offset == 8
        assert len(accepted) == 2


async def test_answer_to_a_read_on_a_new_connection_is_the_stores_own() -> None:
    """Guards against a store that began anew and is refused without end."""
    async with store_of(repeating_first(page_of(0, 0))) as (client, _):
        assert (await client.read(TOPIC, Position(0, 5), 0.0)).records == ()


async def test_second_answer_is_not_the_snapshot_of_another_topic() -> None:
    """Guards against a topic that loses its keys by a second answer of another one."""
    sessions = (
        repeating_first(newest_of(7), newest_of(40)),
        repeating_first(newest_of(40)),
    )
    async with store_of(*sessions) as (client, _):
        assert (await client.newest(TOPIC)).end.offset == 7
        assert (await client.newest("other")).end.offset == 40


async def test_second_answer_does_not_confirm_an_append() -> None:
    """Guards against an append that counts as done and was refused."""
    done = answer_of(b'{"offset":0,"end":1}')
    refused = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    async with store_of(repeating_first(done, refused), repeating_first(refused)) as (
        client,
        _,
    ):
        await client.append_keyed(TOPIC, "key", b"value")
        with pytest.raises(StoreCallError):
            await client.append_keyed(TOPIC, "key", b"value")


async def test_connection_with_bytes_between_calls_is_not_used_again() -> None:
    """Guards against a second answer that waits on an idle connection."""

    async def twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(page_of(7, 2))
        await asyncio.sleep(0.02)
        writer.write(page_of(7, 2))
        await reader.read()

    sessions = twice, repeating_first(page_of(8, 1))
    async with store_of(*sessions) as (client, accepted):
        await client.read(TOPIC, Position(0, 5), 0.0)
        await asyncio.sleep(0.05)
        assert (await client.read(TOPIC, Position(0, 7), 0.0)).end.offset == 8
        assert len(accepted) == 2


@pytest.mark.parametrize("shown", [0, 10, 45], ids=["none", "head", "body"])
async def test_connection_of_a_call_without_its_whole_answer_is_not_used_again(
    shown: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an answer whose rest comes in the next call."""
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_MS", 50.0)

    async def part(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(page_of(7, 2)[:shown])
        await reader.read()

    async with store_of(part, answer_all) as (client, accepted):
        with pytest.raises(StoreCallError):
            await client.read(TOPIC, Position(0, 0), 0.0)
        assert (await client.read(TOPIC, Position(0, 0), 0.0)).end.offset == 0
        assert len(accepted) == 2


async def test_hundred_reads_of_two_topics_open_two_connections() -> None:
    async with store_of(answer_all) as (client, accepted):
        for _ in range(50):
            await client.read(TOPIC, Position(0, 0), 0.0)
            await client.read("other", Position(0, 0), 0.0)
        assert len(accepted) <= 2


async def test_answered_calls_share_a_connection() -> None:
    async with store_of(answer_all) as (client, accepted):
        for _ in range(3):
            await client.read(TOPIC, Position(0, 0), 0.0)
        assert len(accepted) == 1


def of_era(era: int, answer: bytes) -> bytes:
    """Return an answer that names an era."""
    return answer.replace(b"\r\n", b"\r\nStore-Era: %d\r\n" % era, 1)


def once(answer: bytes) -> Session:
    """Return a session that gives each call the same answer."""

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(answer)

    return session


async def test_records_of_a_later_era_do_not_continue_the_known_log() -> None:
    """Guards against reading on where offsets were given out again."""
    answer = of_era(2, page_of(7, 2))
    async with store_of(once(answer)) as (client, _):
        with pytest.raises(TrimmedError):
            await client.read(TOPIC, Position(1, 5), 0.0)
        found = await client.read(TOPIC, Position(2, 5), 0.0)
    assert found.end == Position(2, 7)


async def test_late_answer_of_an_earlier_era_is_refused() -> None:
    """Guards against acting on what the store has lost since."""
    sessions = once(of_era(4, newest_of(3))), once(of_era(3, newest_of(9)))
    async with store_of(*sessions) as (client, _):
        assert (await client.newest(TOPIC)).end == Position(4, 3)
        with pytest.raises(StoreCallError, match="earlier era"):
            await client.newest(TOPIC)
        with pytest.raises(StoreCallError, match="earlier era"):
            await client.append_keyed(TOPIC, "key", b"value")


async def test_refusal_tells_of_a_return_too() -> None:
    busy = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    async with store_of(once(of_era(6, busy))) as (client, _):
        with pytest.raises(StoreCallError):
            await client.newest(TOPIC)
        assert client.era.number == 6


# Guards against a malformed header that ends the loop which follows the store.
@pytest.mark.parametrize("value", [b"", b"x", b"-1", b"1.5", b"9" * 5_000])
async def test_era_that_is_no_number_counts_as_none(value: bytes) -> None:
    answer = newest_of(3).replace(b"\r\n", b"\r\nStore-Era: %b\r\n" % value, 1)
    async with store_of(once(answer)) as (client, _):
        assert (await client.newest(TOPIC)).end == Position(0, 3)
