"""Client of the platform's store; all calls of the store are made here."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import urlencode

import orjson

from ..clock import Clock
from ..eras.position import Position
from ..eras.store_era import StoreEra
from ..exceptions import TrimmedError
from ..gateway.answers import AnswerHead, ConnectionLostError
from ..gateway.connection_pool import ConnectionPool
from ..gateway.following import StoreCallError
from ..gateway.http_client import HttpConnection, open_connection, render_request
from ..gateway.topics import KeyedRecord, TopicPage

CALL_TIMEOUT_MS = 1_500.0
"""Timeout of a call; the store answers in a few ms unless it is slow or unavailable."""
CONNECT_TIMEOUT_MS = 800.0
"""Timeout for opening a connection to the store."""
MAX_PAGE_KB = 1_024
"""Maximum size of one read, the platform's own default."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Maximum size of an accepted answer: more than a full page in base64."""
HEAD_BYTES = 16
"""End offset and first retained offset ahead of the records, 8 bytes each."""
LENGTH_BYTES = 4
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 15
"""Longest number of an era; a longer one is malformed."""


@dataclass
class StoreClient:
    """The store's client and its connections.

    Parameters
    ----------
    address : str
        `host:port`.
    era : StoreEra
        The newest era of the store, common to all clients of a process.
    calls : int
        Calls made so far; the platform charges for each.
    in_progress : set of HttpConnection
        The connections of calls that are waiting for an answer.
    """

    address: str
    clock: Clock
    era: StoreEra = field(default_factory=StoreEra)
    pool: ConnectionPool = field(default_factory=lambda: ConnectionPool({}))
    calls: int = 0
    in_progress: set[HttpConnection] = field(default_factory=set)

    async def call(
        self,
        method: bytes,
        path: str,
        query: dict[str, object],
        body: bytes = b"",
        wait_ms: float = 0.0,
        may_answer: Callable[[bytes], bool] = lambda _: True,
        alone: bool = False,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> tuple[AnswerHead, bytes]:
        """Return the answer to one call.

        Answers don't name their topic, so each topic has connections of its own.

        Parameters
        ----------
        may_answer : callable
            Returns whether the body of a status 200 can be the answer. It is asked on
            a connection that has carried a call, whose answer may have come twice.
        alone : bool
            Whether the call gets a new connection, which carries no other call.
        timeout_ms : float
            Time for the answer, besides `wait_ms`.

        Raises
        ------
        StoreCallError
            If the call is not answered, or answered with an error status or from an
            era before the newest known one; it may have taken effect.
        """
        self.calls += 1
        target = f"{path}?{urlencode(query)}" if query else path
        headers = [(b"Host", self.address.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        request = render_request(method, target.encode(), headers, body)
        topic = str(query["topic"])
        connection: HttpConnection | None = None
        if not alone:
            connection = self.pool.acquire(topic, self.clock.now_ms())
        calls_before = None if connection is None else connection.requests
        try:
            async with asyncio.timeout((timeout_ms + wait_ms) / 1000.0):
                if connection is None:
                    connection = await open_connection(self.address, CONNECT_TIMEOUT_MS)
                    calls_before = 0
                self.in_progress.add(connection)
                connection.send(request)
                head = await connection.receive_head()
                answer = await connection.receive_rest(MAX_ANSWER_BYTES)
                if calls_before and head.status == 200 and not may_answer(answer):
                    raise ConnectionLostError("answer to an earlier call", sent=True)
        except ConnectionLostError as error:
            if connection is not None:
                connection.close("call failed")
            raise StoreCallError(f"{path}: {error!r}", calls_before) from error
        except TimeoutError as error:
            self.close_connections()
            raise StoreCallError(f"{path}: {error!r}", calls_before) from error
        finally:
            if connection is not None:
                self.in_progress.discard(connection)
                if alone:
                    connection.close("the call had a connection of its own")
                self.pool.release(topic, connection, self.clock.now_ms())
        if not self.era.observe(named_era(head), self.clock.now_ms()):
            raise StoreCallError(f"{path}: answer of an earlier era", calls_before)
        if head.status in (429, 500, 502, 503, 504, 507):
            raise StoreCallError(f"{path}: status {head.status}", calls_before)
        return head, answer

    def close_connections(self) -> None:
        """Close all connections after a timeout, as the others may be dead too.

        A long poll would notice a dead connection only at the end of its wait.
        """
        for topic in list(self.pool.idle):
            self.pool.drop(topic)
        for connection in self.in_progress:
            connection.close("another call of the store timed out")

    async def newest(self, topic: str, may_be_missing: bool = False) -> TopicPage:
        """Return the newest record of each key of a topic.

        Parameters
        ----------
        may_be_missing : bool
            Whether a topic that the store doesn't know counts as empty, whatever the
            status with which it says so.
        """
        records: list[KeyedRecord] = []
        query: dict[str, object] = {"topic": topic, "part": 0}
        first_end: Position | None = None
        while True:
            head, body = await self.call(b"GET", "/api/log-newest", query, alone=True)
            if head.status != 200 and may_be_missing:
                return TopicPage((), self.position(head, 0))
            if head.status != 200:
                raise StoreCallError(f"newest of {topic}: status {head.status}", None)
            page = decode_page(topic, body)
            records += page.records
            end = self.position(head, page.end)
            # Pages are no snapshot: later changes are read from the first page's end.
            first_end = end if first_end is None else first_end
            if end.era != first_end.era:
                raise StoreCallError(f"newest of {topic}: pages of two eras", None)
            if page.next_key is None:
                return TopicPage(tuple(records), first_end)
            query["after"] = page.next_key

    def position(self, head: AnswerHead, offset: int) -> Position:
        """Return the position of an offset in an answer."""
        named = named_era(head)
        return Position(self.era.number if named is None else named, offset)

    async def read(self, topic: str, start: Position, wait_ms: float) -> TopicPage:
        """Return the records of a topic from a position on, waiting up to `wait_ms`."""
        query: dict[str, object] = {
            "topic": topic,
            "part": 0,
            "from": start.offset,
            "max_kb": MAX_PAGE_KB,
            "wait_ms": int(wait_ms),
        }
        head, body = await self.call(
            b"GET",
            "/api/log-read",
            query,
            wait_ms=wait_ms,
            may_answer=lambda body: can_follow(body, start.offset),
        )
        if head.status == 410 or self.position(head, 0).era > start.era:
            raise TrimmedError(topic, start.offset)
        if head.status != 200 or len(body) < HEAD_BYTES:
            raise StoreCallError(f"read of {topic}: status {head.status}", None)
        records = decode_records(body, start.offset)
        end = start.offset + len(records)
        return TopicPage(records, self.position(head, end))

    async def append(
        self,
        topic: str,
        records: bytes,
        at: Position,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> Position | None:
        """Append framed records if a topic ends at a position.

        Returns the new end, None if the topic ends elsewhere. None too if the store is
        in another era than that of `at`: what it may have appended then stands behind
        other records.

        Raises
        ------
        StoreCallError
            If the store doesn't answer; the records may still be appended later.
        """
        query: dict[str, object] = {"topic": topic, "part": 0, "at": at.offset}
        head, answer = await self.call(
            b"POST",
            "/api/log-append",
            query,
            records,
            alone=True,
            timeout_ms=timeout_ms,
        )
        if head.status == 412 or self.position(head, 0).era != at.era:
            return None
        if head.status != 200:
            raise StoreCallError(f"append to {topic}: status {head.status}", None)
        try:
            return at.at(int(orjson.loads(answer)["end"]))
        except (KeyError, TypeError, ValueError) as error:
            raise StoreCallError(f"append to {topic}: {error!r}", None) from error

    async def append_keyed(self, topic: str, key: str, value: bytes) -> None:
        """Append one record; a call without an answer may still take effect later."""
        body = framed(key, value)
        query: dict[str, object] = {"topic": topic, "part": 0}
        head, _ = await self.call(b"POST", "/api/log-append", query, body, alone=True)
        if head.status != 200:
            raise StoreCallError(f"append to {topic}: status {head.status}", None)


@dataclass(frozen=True, slots=True)
class NewestPage:
    """One page of newest records; `next_key` is None on the last one."""

    records: tuple[KeyedRecord, ...]
    end: int
    next_key: str | None


def decode_page(topic: str, body: bytes) -> NewestPage:
    """Return a page of newest records, whose values are base64-encoded.

    Raises
    ------
    StoreCallError
        If the answer is malformed.
    """
    from base64 import b64decode

    try:
        raw = orjson.loads(body)
        records = tuple(
            KeyedRecord(item["key"], b64decode(item["value"]), int(item["offset"]))
            for item in raw["items"]
        )
        more = bool(raw["has_more"]) and bool(records)
        return NewestPage(records, int(raw["end"]), records[-1].key if more else None)
    except (KeyError, TypeError, ValueError) as error:
        message = f"newest of {topic}: malformed answer: {error!r}"
        raise StoreCallError(message, None) from error


def named_era(head: AnswerHead) -> int | None:
    """Return the era that an answer names, None if it names none."""
    value = head.get(ERA_HEADER)
    if value is None or not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        return None
    return int(value)


def decode_records(body: bytes, start: int) -> tuple[KeyedRecord, ...]:
    """Return the records after the 16 bytes of offsets, without a truncated last one.

    A record of a keyed topic is the length of its key in one byte, the key, and the
    value; an empty value means that the key is deleted.
    """
    records: list[KeyedRecord] = []
    position, offset = HEAD_BYTES, start
    while position + LENGTH_BYTES <= len(body):
        size = int.from_bytes(body[position : position + LENGTH_BYTES], "big")
        content = body[position + LENGTH_BYTES : position + LENGTH_BYTES + size]
        if len(content) < size:
            break
        records.append(decode_keyed(content, offset))
        position += LENGTH_BYTES + size
        offset += 1
    return tuple(records)


def can_follow(body: bytes, start: int) -> bool:
    """Return whether a page can be the answer to a read from an offset on.

    The page says where the topic ends: not before the offset, nor within its records.
    An answer to an earlier read is of records before the offset.
    """
    if len(body) < HEAD_BYTES:
        return False
    end = int.from_bytes(body[: HEAD_BYTES // 2], "big")
    return start <= start + len(decode_records(body, start)) <= end


def framed(key: str, value: bytes) -> bytes:
    """Return a record of a keyed topic with its length."""
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return len(record).to_bytes(LENGTH_BYTES, "big") + record


def decode_keyed(content: bytes, offset: int) -> KeyedRecord:
    """Return one record of a keyed topic."""
    length = content[0] if content else 0
    key = content[1 : 1 + length].decode("utf-8", "replace")
    value = content[1 + length :]
    return KeyedRecord(key, value or None, offset)
