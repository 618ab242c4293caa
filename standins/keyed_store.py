"""Simulated store that the gateway follows: topics of keyed records over HTTP."""

from __future__ import annotations

import asyncio
import base64
import struct
from dataclasses import dataclass, field

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

OPERATOR_TOPIC = "keyed.op"
SERVER_TOPIC = "keyed.servers"


@dataclass
class StoreTopic:
    """Records of one topic: key and value, None for a deleted key.

    Parameters
    ----------
    first : int
        Offset of the oldest retained record.
    """

    records: list[tuple[str, bytes | None]] = field(default_factory=list)
    first: int = 0


@dataclass
class KeyedStoreServer:
    """Store server with its topics and simulated faults.

    Parameters
    ----------
    status : int or None
        If set, calls are refused with this status, as during an outage.
    silent : bool
        If set, calls get no response; their connections stay open even after `silent`
        is reset.
    turned_away : set of str
        If not empty, the faults affect only calls that name the store by one of these
        hosts.
    calls : int
        Number of calls received.
    refused_topics : set of str
        Topics of which all calls are refused.
    era : int or None
        The era that all answers name, None for a store that names none.
    """

    topics: dict[str, StoreTopic] = field(default_factory=dict)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    status: int | None = None
    silent: bool = False
    affected_hosts: set[str] = field(default_factory=set)
    calls: int = 0
    refused_topics: set[str] = field(default_factory=set)
    era: int | None = None

    def is_affected(self, request: Request) -> bool:
        """Return whether the faults affect a call."""
        return not self.affected_hosts or request.url.hostname in self.affected_hosts

    def is_refused(self, request: Request) -> bool:
        """Return whether the store refuses a call."""
        if request.query_params.get("topic") in self.refused_topics:
            return True
        return self.status is not None and self.is_affected(request)

    def is_unanswered(self, request: Request) -> bool:
        """Return whether the store leaves a call unanswered."""
        return self.silent and self.is_affected(request)

    def topic(self, name: str) -> StoreTopic:
        """Return a topic; create it on first use."""
        return self.topics.setdefault(name, StoreTopic())

    async def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Append a record and wake waiting readers."""
        self.topic(topic).records.append((key, value))
        async with self.changed:
            self.changed.notify_all()

    async def put_json(self, topic: str, key: str, value: object) -> None:
        """Append a record with a JSON value."""
        await self.put(topic, key, orjson.dumps(value))

    async def refuse_calls(self, status: int = 503) -> None:
        """Refuse all calls from now on, including those that wait."""
        self.status = status
        async with self.changed:
            self.changed.notify_all()

    async def stop_answering(self) -> None:
        """Leave all calls unanswered from now on, including those that wait."""
        self.silent = True
        async with self.changed:
            self.changed.notify_all()

    async def hang_if_unanswered(self, request: Request) -> None:
        """Block forever if the store leaves the call unanswered."""
        if self.is_unanswered(request):
            await asyncio.Event().wait()

    async def return_from_copy(self, ends: dict[str, int]) -> None:
        """Lose the records of topics behind offsets, and begin a new era."""
        for name, end in ends.items():
            del self.topic(name).records[end:]
        self.era = (self.era or 0) + 1
        async with self.changed:
            self.changed.notify_all()

    def era_headers(self) -> dict[str, str]:
        """Return the headers that name the era."""
        return {} if self.era is None else {"Store-Era": str(self.era)}

    def answer(self, content: object, status: int = 200) -> Response:
        """Return an answer with a JSON body."""
        return JSONResponse(content, status, headers=self.era_headers())

    def refusal(self) -> Response:
        """Return the answer to a refused call."""
        return Response(status_code=self.status or 503, headers=self.era_headers())

    def trim(self, topic: str) -> None:
        """Trim a topic up to its end; the newest record of each key stays available."""
        known = self.topic(topic)
        known.first = len(known.records)

    async def newest(self, request: Request) -> Response:
        """Return the newest record of each key."""
        self.calls += 1
        await self.hang_if_unanswered(request)
        if self.is_refused(request):
            return self.refusal()
        topic = self.topic(request.query_params["topic"])
        values: dict[str, tuple[bytes, int]] = {}
        for offset, (key, value) in enumerate(topic.records):
            values.pop(key, None)
            if value is not None:
                values[key] = (value, offset)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in values.items()
        ]
        end = len(topic.records)
        return self.answer({"items": items, "has_more": False, "end": end})

    async def read(self, request: Request) -> Response:
        """Return the records from an offset; long-poll at the end, 410 if trimmed."""
        self.calls += 1
        await self.hang_if_unanswered(request)
        if self.is_refused(request):
            return self.refusal()
        topic = self.topic(request.query_params["topic"])
        start = int(request.query_params["from"])
        wait_s = int(request.query_params.get("wait_ms", "0")) / 1000.0
        era = self.era
        if not topic.first <= start <= len(topic.records):
            return self.trimmed(topic)
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(
                    lambda: (
                        len(topic.records) > start
                        or self.is_refused(request)
                        or self.is_unanswered(request)
                        or self.era != era
                    )
                )
        except TimeoutError:
            pass
        await self.hang_if_unanswered(request)
        if self.is_refused(request):
            return self.refusal()
        if start > len(topic.records):
            return self.trimmed(topic)
        body = struct.pack(">QQ", len(topic.records), topic.first)
        for key, value in topic.records[start:]:
            name = key.encode()
            content = bytes([len(name)]) + name + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return Response(body, headers=self.era_headers())

    def trimmed(self, topic: StoreTopic) -> Response:
        """Return the answer to a read of records that the store doesn't have."""
        return self.answer({"first": topic.first}, 410)

    async def append(self, request: Request) -> Response:
        """Append keyed records if the topic ends where the caller says."""
        self.calls += 1
        await self.hang_if_unanswered(request)
        if self.is_refused(request):
            return self.refusal()
        body = await request.body()
        topic = self.topic(request.query_params["topic"])
        start = len(topic.records)
        if int(request.query_params.get("at", start)) != start:
            return self.answer({"end": start}, 412)
        while body:
            size = int.from_bytes(body[:4], "big")
            content, body = body[4 : 4 + size], body[4 + size :]
            key, value = content[1 : 1 + content[0]], content[1 + content[0] :]
            topic.records.append((key.decode(), value or None))
        async with self.changed:
            self.changed.notify_all()
        end = len(topic.records)
        return self.answer({"offset": start, "end": end})

    def app(self) -> Starlette:
        """Return the web application."""
        routes = [
            Route("/api/log-newest", self.newest),
            Route("/api/log-read", self.read),
            Route("/api/log-append", self.append, methods=["POST"]),
        ]
        return Starlette(routes=routes)
