"""Stand in for the store of the users' platform: keyed topics over HTTP."""

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
    """Hold the records of one topic: key and value, None for a dropped key.

    Parameters
    ----------
    first : int
        The oldest offset that is still there.
    """

    records: list[tuple[str, bytes | None]] = field(default_factory=list)
    first: int = 0


@dataclass
class KeyedStoreServer:
    """Hold the topics, and what the store does wrong.

    Parameters
    ----------
    status : int or None
        Answer every call with this status, as a store that is away.
    silent : bool
        Never answer the calls that come now; their connections stay open for good.
    turned_away : set of str
        Hosts, as callers name the store, whose calls get that alone; others are served.
    calls : int
        Calls answered so far.
    """

    topics: dict[str, StoreTopic] = field(default_factory=dict)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    status: int | None = None
    silent: bool = False
    affected_hosts: set[str] = field(default_factory=set)
    calls: int = 0

    def concerned(self, request: Request) -> bool:
        """Tell whether a caller is among those that the store does not serve."""
        return not self.affected_hosts or request.url.hostname in self.affected_hosts

    def away(self, request: Request) -> bool:
        """Tell whether the store refuses a call."""
        return self.status is not None and self.concerned(request)

    def hangs(self, request: Request) -> bool:
        """Tell whether the store never answers a call."""
        return self.silent and self.concerned(request)

    def topic(self, name: str) -> StoreTopic:
        """Return a topic, made on first use."""
        return self.topics.setdefault(name, StoreTopic())

    async def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Append a record and wake the readers that wait."""
        self.topic(topic).records.append((key, value))
        async with self.changed:
            self.changed.notify_all()

    async def put_json(self, topic: str, key: str, value: object) -> None:
        """Append a record with an object in JSON."""
        await self.put(topic, key, orjson.dumps(value))

    async def refuse_calls(self, status: int = 503) -> None:
        """Refuse every call from now on, also those that wait."""
        self.status = status
        async with self.changed:
            self.changed.notify_all()

    async def stop_answering(self) -> None:
        """Answer no call from now on, also none that waits."""
        self.silent = True
        async with self.changed:
            self.changed.notify_all()

    async def hang_if_silent(self, request: Request) -> None:
        """Never return while the store is silent, nor later."""
        if self.hangs(request):
            await asyncio.Event().wait()

    def trim(self, topic: str) -> None:
        """Forget the history of a topic; the newest record of each key stays."""
        known = self.topic(topic)
        known.first = len(known.records)

    async def newest(self, request: Request) -> Response:
        """Answer with the newest record of each key."""
        self.calls += 1
        await self.hang_if_silent(request)
        if self.away(request):
            return Response(status_code=self.status or 503)
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
        return JSONResponse({"items": items, "has_more": False, "end": end})

    async def read(self, request: Request) -> Response:
        """Answer with the records from an offset on, waiting for the first one."""
        self.calls += 1
        await self.hang_if_silent(request)
        if self.away(request):
            return Response(status_code=self.status or 503)
        topic = self.topic(request.query_params["topic"])
        start = int(request.query_params["from"])
        wait_s = int(request.query_params.get("wait_ms", "0")) / 1000.0
        if start < topic.first:
            return JSONResponse({"first": topic.first}, status_code=410)
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(
                    lambda: (
                        len(topic.records) > start
                        or self.away(request)
                        or self.hangs(request)
                    )
                )
        except TimeoutError:
            pass
        await self.hang_if_silent(request)
        if self.away(request):
            return Response(status_code=self.status or 503)
        body = struct.pack(">QQ", len(topic.records), topic.first)
        for key, value in topic.records[start:]:
            name = key.encode()
            content = bytes([len(name)]) + name + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return Response(body)

    def app(self) -> Starlette:
        """Return the web application."""
        routes = [
            Route("/api/log-newest", self.newest),
            Route("/api/log-read", self.read),
        ]
        return Starlette(routes=routes)
