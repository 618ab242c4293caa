"""Upstreams of a soak, which keep a record of all that they run and answer."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from .manifest import POISON
from .messages import read_body, read_head, render_head
from .observations import (
    Answered,
    Crashed,
    Fields,
    Record,
    Reused,
    Run,
    as_text,
    get_field,
)

EVENTS = 6
"""Events of each stream."""
Answer = Callable[["Exchange"], Awaitable[None]]


@dataclass
class SoakUpstream:
    """One upstream, as plain service, engine or stage by the request.

    Parameters
    ----------
    service : str
        Name of the service that the process belongs to.
    draw, draw_stage : callable
        Return how to answer a request, and a call for stage work.
    on_crash : callable
        Called as a request ends the process.
    shown_address : str
        Address by which VMs reach it.
    """

    id: str
    service: str
    record: Record
    rng: Random
    draw: Callable[[Random], Answer]
    draw_stage: Callable[[Random], Answer]
    runs: itertools.count[int]
    on_crash: Callable[[], None]
    born: int = 1
    shown_address: str = ""
    address: str = ""
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a host; a port of 0 takes a free one."""
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """End as a process does: reset all connections and listen no more."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection in sequence."""
        self.writers.add(writer)
        connection = ConnectionState()
        try:
            while not writer.is_closing():
                first, fields = await read_head(reader)
                exchange = Exchange(self, reader, writer, first, fields, connection)
                await exchange.serve()
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            writer.close()


@dataclass
class ConnectionState:
    """What the exchanges of a connection share.

    Parameters
    ----------
    late : list of bytes
        Second answers that are sent when the next request arrives.
    begun_s : float or None
        Time of the record at which the start of another answer was sent, behind a whole
        answer and while no request waited; None again once one has come.
    """

    late: list[bytes] = field(default_factory=list)
    begun_s: float | None = None


@dataclass
class Exchange:
    """One request on a connection, and what is needed to answer it.

    Parameters
    ----------
    way : str
        Name of the way in which the request is answered.
    """

    upstream: SoakUpstream
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    first: str
    fields: Fields
    connection: ConnectionState
    body: bytes = b""
    body_read: bool = False
    run: int = 0
    status: int = 200
    way: str = ""

    @property
    def attempt(self) -> str:
        """Return the id of the request."""
        return get_field(self.fields, "attempt-id")

    @property
    def seal(self) -> str:
        """Return the seal of the run."""
        return f"3e1b.07.{self.run:x}"

    @property
    def is_stream(self) -> bool:
        """Return whether the request asks for a stream."""
        return bool(get_field(self.fields, "token-count"))

    async def read_body(self) -> None:
        """Read the body of the request, once."""
        if not self.body_read:
            self.body_read = True
            self.body = await read_body(self.reader, self.fields)

    async def serve(self) -> None:
        """Send what is late, then answer the request."""
        method, target, _ = self.first.split(" ")
        self.note_reuse()
        late = self.connection.late
        while late:
            self.writer.write(late.pop())
            await asyncio.sleep(self.upstream.rng.choice((0.0, 0.02)))
        wanted = get_field(self.fields, "expect-instance")
        if wanted not in ("", self.upstream.id):
            await self.read_body()
            self.refuse(421, has_id=True)
        elif target.startswith("/api/"):
            await self.read_body()
            await self.serve_stage_call(target)
        elif method == "GET" and target == "/healthz":
            self.writer.write(
                self.render(200, b"", [("Instance-Id", self.upstream.id)])
            )
        elif poison := find_poison(self.fields):
            await self.begin()
            record = self.upstream.record
            record.add(Crashed(record.now_s(), self.upstream.id, poison))
            self.upstream.on_crash()
        else:
            answer = self.upstream.draw(self.upstream.rng)
            self.way = answer.__name__
            await answer(self)

    def note_reuse(self) -> None:
        """Write down that the request came behind the start of another answer."""
        begun_s = self.connection.begun_s
        if begun_s is not None:
            now_s = self.upstream.record.now_s()
            after_s = round(now_s - begun_s, 4)
            self.upstream.record.add(Reused(now_s, self.attempt, after_s))
            self.connection.begun_s = None

    def refuse(self, status: int, has_id: bool) -> None:
        """State that the request did not run."""
        fields = [("Not-Executed", "1"), ("Instance-Id", self.upstream.id)]
        if has_id:
            fields.append(("Attempt-Id", self.attempt))
        self.writer.write(self.render(status, b"", fields))

    async def begin(self) -> None:
        """Begin to run the request: read it and write it down."""
        await self.read_body()
        self.begin_unread()

    def begin_unread(self) -> None:
        """Write down a run of a request whose body may not be read yet."""
        method, target, _ = self.first.split(" ")
        self.run = next(self.upstream.runs)
        body = as_text(self.body) if self.body_read else ""
        record = self.upstream.record
        record.add(
            Run(
                record.now_s(),
                self.run,
                self.upstream.id,
                self.upstream.service,
                self.attempt,
                method,
                target,
                self.fields,
                body,
            )
        )

    def answer_body(self) -> bytes:
        """Return the body of a plain answer, which no other run has."""
        return f"run {self.run} of {self.attempt} at {self.upstream.id}".encode()

    def note_answer(self, status: int, body: bytes) -> None:
        """Write down the first answer to the run."""
        self.status = status
        record = self.upstream.record
        text = as_text(body)
        record.add(Answered(record.now_s(), self.run, status, text, self.way))

    def render(self, status: int, body: bytes, fields: list[tuple[str, str]]) -> bytes:
        """Return an answer with a length."""
        fields = [*fields, ("Content-Length", str(len(body)))]
        return render_head(f"HTTP/1.1 {status} Answer", fields) + body

    def own_fields(self) -> list[tuple[str, str]]:
        """Return the fields that make an answer one of this run."""
        return [("Attempt-Id", self.attempt), ("Response-Seal", self.seal)]

    async def serve_stage_call(self, target: str) -> None:
        """Answer a call for stage work, or another call that needs no run."""
        if target == "/api/stage-run":
            await self.upstream.draw_stage(self.upstream.rng)(self)
        else:
            self.writer.write(self.render(200, b"{}", []))


def find_poison(fields: Fields) -> str:
    """Return the part of a prompt that ends upstreams, or an empty text."""
    parts = get_field(fields, "prompt-prefix").split(",")
    names = (part.partition(":")[0] for part in parts)
    return next((name for name in names if name.startswith(POISON)), "")
