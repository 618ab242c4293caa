"""Simulated upstream of the gateway, with faults."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import orjson

RESPONSE_SEAL = "3e1b.07"
ENDLESS_CHUNK = b"x" * 65_536


class Fault(StrEnum):
    """Fault that an upstream applies to a request."""

    NONE = "none"
    REFUSE = "refuse"
    INPUT_GONE = "input_gone"
    RESET = "reset"
    CUT = "cut"
    TORN = "torn"
    STALE_FIRST = "stale_first"
    NO_SEAL = "no_seal"
    FAIL = "fail"
    SILENT = "silent"
    UNFRAMED = "unframed"
    ENDLESS_HEAD = "endless_head"
    ENDLESS_BODY = "endless_body"


@dataclass(frozen=True)
class ReceivedRequest:
    """Request as received, with header names in lower case.

    Parameters
    ----------
    at_s : float
        When it was read, in monotonic seconds.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float = 0.0

    def shared_parts(self) -> list[str]:
        """Return the ids of the parts of the prompt, without the last one."""
        entries = self.headers.get("prompt-prefix", "").split(",")
        return [entry.partition(":")[0] for entry in entries[:-1]]


@dataclass
class GatewayUpstream:
    """Upstream that acts as a plain service, an engine or a stage, by the request.

    Parameters
    ----------
    seen : list of Seen
        All requests in the sequence of their arrival.
    ran : list of str
        Ids of the attempts that ran, in the sequence of their start.
    cancelled : list of str
        Ids of the attempts whose connection closed while they ran.
    faults : list of Fault
        Faults of the next requests; each request takes the first one.
    endless_bytes : int
        Number of bytes sent in responses without an end.
    leaving : bool
        Whether it says in each answer that it leaves.
    closed_s : float
        It refuses requests, and wants none for so long; 0 to serve them.
    crash_on : bytes
        The process ends when it begins to run a request whose body contains this.
    crash_part : str
        The process ends when it begins to run a request with this part in its prompt.
    crash_after_events : int
        Events of a stream that it sends before it ends so; 0 to end at once.
    on_crash : callable
        Called after the process has ended.
    """

    id: str
    work_s: float = 0.005
    events: int = 3
    received: list[ReceivedRequest] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    freed: list[str] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    endless_bytes: int = 0
    address: str = ""
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    leaving: bool = False
    closed_s: float = 0.0
    crash_on: bytes = b""
    crash_part: str = ""
    crash_after_events: int = 0
    on_crash: Callable[[], None] = field(default=lambda: None)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def serve(self, host: str) -> asyncio.Server:
        """Listen on a free port of a host and return the server."""
        server = await asyncio.start_server(self.connection, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.server = server
        return server

    def crash(self) -> None:
        """End the process: reset all connections and listen no more."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.on_crash()

    async def connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                received = await read_request(reader)
                self.received.append(received)
                if self.is_crashed_by(received) and not self.crash_after_events:
                    self.crash()
                    return
                await self.answer(received, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def is_crashed_by(self, received: ReceivedRequest) -> bool:
        """Return whether a request ends the process."""
        if self.crash_part and self.crash_part in received.shared_parts():
            return True
        return bool(self.crash_on) and self.crash_on in received.body

    async def answer(
        self,
        received: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Respond to one request, with its fault if any."""
        if received.headers.get("expect-instance", self.id) != self.id:
            writer.write(
                b"HTTP/1.1 421 Misdirected\r\nInstance-Id: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % self.id.encode()
            )
            return
        if self.faults and self.faults[0] in (Fault.ENDLESS_HEAD, Fault.ENDLESS_BODY):
            await self.answer_without_end(received, self.faults.pop(0), writer)
        if self.closed_s:
            writer.write(
                b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRetry-After: %g\r\n"
                b"Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % (self.closed_s, received.headers.get("attempt-id", "").encode())
            )
            return
        if received.target == "/api/stage-run":
            await self.run_stage_items(received, writer)
            return
        if received.target == "/api/stage-free":
            self.freed += orjson.loads(received.body)["handles"]
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        if fault is Fault.REFUSE:
            writer.write(
                b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return
        if fault is Fault.INPUT_GONE:
            writer.write(
                b"HTTP/1.1 409 Gone\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return
        attempt = received.headers.get("attempt-id", "")
        self.ran.append(attempt)
        if fault is Fault.RESET:
            raise ConnectionError
        if fault is Fault.SILENT:
            await asyncio.sleep(30)
        if "token-count" in received.headers:
            first = int(received.headers.get("last-event-id", "0")) + 1
            crash_at = first + self.crash_after_events
            if not self.is_crashed_by(received):
                crash_at = 0
            await self.stream(attempt, first, fault, reader, writer, crash_at)
        else:
            await self.respond(attempt, fault, writer, received.method != "HEAD")

    async def answer_without_end(
        self, received: ReceivedRequest, fault: Fault, writer: asyncio.StreamWriter
    ) -> None:
        """Send an endless head or body until the caller closes the connection."""
        attempt = received.headers.get("attempt-id", "")
        self.ran.append(attempt)
        start = response_head(200, attempt, None)
        writer.write(start if fault is Fault.ENDLESS_BODY else start[:-2] + b"X-A: ")
        try:
            while True:
                writer.write(ENDLESS_CHUNK)
                await writer.drain()
                self.endless_bytes += len(ENDLESS_CHUNK)
        except ConnectionError:
            self.cancelled.append(attempt)
            raise

    async def respond(
        self,
        attempt: str,
        fault: Fault,
        writer: asyncio.StreamWriter,
        has_body: bool = True,
    ) -> None:
        """Respond as a plain service; a response to HEAD is only its head."""
        await asyncio.sleep(self.work_s)
        body = f"answer to {attempt}".encode()
        if fault is Fault.STALE_FIRST:
            stale = b"answer to another"
            writer.write(response_head(200, "another", len(stale)) + stale)
        status = 500 if fault is Fault.FAIL else 200
        length = None if fault is Fault.UNFRAMED else len(body)
        start = response_head(
            status,
            attempt,
            length,
            has_seal=fault is not Fault.NO_SEAL,
            leaving=self.leaving,
        )
        if fault is Fault.CUT:
            writer.write(start + body[:4])
            await writer.drain()
            raise ConnectionError
        writer.write(start + body if has_body else start)
        await writer.drain()
        if fault is Fault.UNFRAMED:
            raise ConnectionError

    async def stream(
        self,
        attempt: str,
        first: int,
        fault: Fault,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        crash_at: int,
    ) -> None:
        """Respond with an event stream that starts at event `first`.

        The process ends instead of sending event `crash_at`, if that is not 0.
        """
        start = response_head(200, attempt, None, chunked=True, leaving=self.leaving)
        writer.write(start)
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_s)
            if reader.at_eof():
                self.cancelled.append(attempt)
                raise ConnectionError
            if number == crash_at:
                self.crash()
                raise ConnectionError
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            if fault is Fault.TORN and number == 3:
                writer.write(b"8\r\n%b\r\n" % event[:8])
                await writer.drain()
                raise ConnectionError
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if fault is Fault.CUT and number == 2:
                raise ConnectionError
        writer.write(b"0\r\n\r\n")

    async def run_stage_items(
        self, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to a stage call with a handle for each work item."""
        await asyncio.sleep(self.work_s)
        items = orjson.loads(received.body)["items"]
        completed = [
            {"handle": f"{self.address}/{item['id']}-{item['stage']}-{item['piece']}"}
            for item in items
        ]
        body = orjson.dumps({"items": completed})
        writer.write(
            b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b"
            % (b"Server-Leaving: 1\r\n" if self.leaving else b"", len(body), body)
        )


def response_head(
    status: int,
    attempt: str,
    length: int | None,
    has_seal: bool = True,
    chunked: bool = False,
    leaving: bool = False,
) -> bytes:
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} Answer", f"Attempt-Id: {attempt}"]
    if has_seal:
        lines.append(f"Response-Seal: {RESPONSE_SEAL}.{attempt}")
    if leaving:
        lines.append("Server-Leaving: 1")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    elif length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Read one request from a connection."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.split(": ", 1) for line in lines if line)
    headers = {name.lower(): value for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(method, target, headers, body, time.monotonic())
