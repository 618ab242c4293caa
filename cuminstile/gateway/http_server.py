"""HTTP/1.1 server for callers: parse requests within limits and write answers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import cast

import anyio
import httptools

from ..clock import Clock
from ..memory.account import (
    BYTES_PER_BODY_BYTE,
    SMALL_BYTES,
    Grant,
    Kind,
    MemoryAccount,
    Room,
)
from ..memory.descriptors import choose_displaced
from ..memory.turns import (
    FEW_PARTS,
    LONG_SLICE_BYTES,
    MOST_PARTS,
    SLICE_BYTES,
    SlowLane,
)
from ..request_bounds import holds_joined_head, is_filled_up
from .model import Limits
from .upstream_protocol import RawHeaders

MAX_BACKLOG_BYTES = 64 * 1024
"""Limit of bytes that may arrive after a request before its answer is written."""
FRAMING_PER_BODY_BYTE = 16
"""Bytes of chunk headers that are accepted for each byte of a body, on average; the
smallest chunk needs five."""
FIRST_CHUNKED_BYTES = 64 * 1024
"""Room that a body of unknown length gets first; more gets room for the largest one."""
SOON_WHOLE_BYTES = 16 * 1024
"""A body of such a length follows its head at once, as one part of both: the request is
checked once, when it is whole."""
UNREAD_BYTES = 64 * 1024
"""What the kernel keeps, about, of a connection that has to wait for room."""
READ_BYTES = 512 * 1024
"""The same once the connection is read again."""


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Answer"


def stated_length(headers: RawHeaders) -> int | None:
    """Return the length of the body that the headers state, if they state one."""
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return None


def has_ambiguous_length(headers: RawHeaders) -> bool:
    """Return whether another reader of the headers may end the body elsewhere."""
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if not codings:
        return len(lengths) > 1
    return bool(lengths) or [c.strip(b" \t").lower() for c in codings] != [b"chunked"]


@dataclass(frozen=True, slots=True)
class Request:
    """One complete request.

    Parameters
    ----------
    target : bytes
        Path and query as sent by the caller.
    headers : RawHeaders
        Headers in the caller's order, with names in lower case.
    arrived_ms : float
        Monotonic time of its first byte.
    """

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes
    arrived_ms: float

    def get(self, name: bytes) -> bytes | None:
        """Return the first header with a lower-case name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


Handler = Callable[[Request, "CallerConnection"], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class HeadVerdict:
    """What the head of a request is enough to decide.

    Parameters
    ----------
    owner : str
        Whose room the body takes.
    refuse : Handler or None
        Answers a request that is refused whatever its body is.
    """

    owner: str = ""
    refuse: Handler | None = None


HeadCheck = Callable[[Request, "CallerConnection"], HeadVerdict]


def accept_any(head: Request, out: CallerConnection) -> HeadVerdict:
    """Let each request send its body."""
    del head, out
    return HeadVerdict()


async def refuse_body(request: Request, out: CallerConnection) -> None:
    """Refuse a request for whose body there is no room."""
    del request
    await out.write_answer(503, ((b"Retry-After", b"1"),), b"")


@dataclass
class Server:
    """State shared by all connections of one listening port.

    Parameters
    ----------
    handler : Handler
        Answers one request; the connection is closed if the handler raises or leaves
        the answer incomplete.
    limits : callable
        Returns the limits in force.
    closing : bool
        Whether every answer has `Connection: close` and ends its connection.
    account : MemoryAccount
        Where bodies and answers take their room.
    check_head : HeadCheck
        Decides on a request whose body has not come whole with its head.
    refuse_body : Handler
        Answers a request for whose body there is no room; it has not run.
    most_connections : int or None
        How many connections may be open, None for any number.
    displaced : int
        Connections closed so far because there were too many.
    """

    clock: Clock
    handler: Handler
    limits: Callable[[], Limits]
    closing: bool = False
    account: MemoryAccount = field(default_factory=MemoryAccount)
    check_head: HeadCheck = accept_any
    refuse_body: Handler = refuse_body
    most_connections: int | None = None
    displaced: int = 0
    connections: set[CallerConnection] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.slow_lane = SlowLane(self.clock)

    def make_connection(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def make_place(self) -> bool:
        """Return whether one more connection may be open; another may be closed."""
        if self.most_connections is None:
            return True
        if len(self.connections) < self.most_connections:
            return True
        if sum(not one.aborted for one in self.connections) < self.most_connections:
            return True
        self.displaced += 1
        chosen = choose_displaced(self.connections, self.clock.now_ms())
        if chosen is None:
            return False
        chosen.abort()
        return True

    def begin_closing(self) -> None:
        """Close each connection after its current answer."""
        self.closing = True

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self.connections):
            if connection.idle():
                connection.close()

    def unread(self) -> list[CallerConnection]:
        """Return the connections on which a request comes that isn't complete."""
        return [one for one in self.connections if one.is_reading()]

    def has_unsent(self) -> bool:
        """Return whether written bytes of any connection are still in the process."""
        return any(connection.has_unsent() for connection in self.connections)

    def enforce_timeouts(self) -> None:
        """Close connections that exceed the idle or the request timeout."""
        now_ms = self.clock.now_ms()
        limits = self.limits()
        for connection in list(self.connections):
            connection.enforce_timeouts(now_ms, limits)
        self.account.check(now_ms, limits.header_timeout_ms)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; answers one request at a time."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.request: Request | None = None
        self.task: asyncio.Task[None] | None = None
        self.scope: anyio.CancelScope | None = None
        self.backlog = bytearray()
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.began_ms: float | None = None
        self.last_used_ms = server.clock.now_ms()
        self.received_bytes = 0
        self.trailer_bytes = 0
        self.headers_done = False
        self.rejected = False
        self.keep_alive = True
        self.chunked = False
        self.has_body = True
        self.answered = False
        self.lost = False
        self.write_waiter: asyncio.Future[None] | None = None
        self.room = Room(Kind.REQUEST, self.room_decided, self.lose_room)
        self.answer_room = Room(Kind.ANSWER, lambda given: None, self.abort)
        self.answer_room.can_lose = True
        self.body_bytes = 0
        self.parts = FEW_PARTS + 1
        self.in_chunks = False
        self.head_checked = False
        self.waiting = False
        self.aborted = False
        self.in_lane = False
        self.pending = b""
        self.parsed_bytes = 0
        self.refused_early = False
        self.early_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self.transport = cast(asyncio.Transport, transport)
        if not self.server.make_place():
            self.rejected = True
            self.abort()
            return
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, as its caller has disconnected."""
        self.lost = True
        self.server.connections.discard(self)
        self.waiting = False
        self.pending = b""
        self.body = bytearray()
        if self.request is None:
            self.server.account.give_back(self.room)
        self.server.account.give_back(self.answer_room)
        self.resume_writing()
        if self.scope is not None:
            self.scope.cancel()

    def eof_received(self) -> bool:
        """Treat an EOF from the caller as a disconnect; the transport closes itself."""
        return False

    def pause_writing(self) -> None:
        """Pause the answer, as the caller reads too slowly."""
        if self.write_waiter is None:
            self.write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Resume the answer."""
        waiter, self.write_waiter = self.write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return self.request is None and self.began_ms is None

    def is_answering(self) -> bool:
        """Return whether a request is in progress."""
        return self.request is not None

    def is_reading(self) -> bool:
        """Return whether a part of a request has come."""
        return self.request is None and self.began_ms is not None

    def is_between(self) -> bool:
        """Return whether it has answered a request and waits for the next one."""
        return self.answered and self.began_ms is None

    def quiet_since_ms(self) -> float:
        """Return since when no complete request came."""
        return self.last_used_ms if self.began_ms is None else self.began_ms

    def has_unsent(self) -> bool:
        """Return whether written bytes are still in the process, also after `close`."""
        return self.transport is not None and (
            self.transport.get_write_buffer_size() > 0
        )

    def enforce_timeouts(self, now_ms: float, limits: Limits) -> None:
        """Close an idle connection, or reject a slow request, after its timeout."""
        self.count_unsent(now_ms)
        if self.request is not None:
            return
        if self.began_ms is None:
            if now_ms - self.last_used_ms > limits.idle_timeout_ms:
                self.close()
            return
        limit_ms = limits.header_timeout_ms
        if self.headers_done:
            limit_ms = max(limit_ms, limits.idle_timeout_ms)
        if now_ms - self.began_ms > limit_ms:
            self.reject(408)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; during an answer, drop them and close after it."""
        if self.rejected:
            return
        if self.request is not None and not self.refused_early:
            self.keep_alive = False
            if len(self.backlog) + len(data) > MAX_BACKLOG_BYTES:
                self.close()
            return
        if self.began_ms is None:
            self.began_ms = self.server.clock.now_ms()
        if self.waiting or self.in_lane:
            self.pending += data
            return
        self.feed(data)
        if self.refused_early and not (self.waiting or self.in_lane or self.rejected):
            self.in_lane = True
            self.pause_reading()
            self.server.slow_lane.add(self.take_turn)

    def feed(self, data: bytes) -> None:
        """Parse received bytes, those of a body in chunks in slices."""
        if not self.headers_done and len(data) > SLICE_BYTES:
            end = data.find(b"\r\n\r\n") + 4
            if b"transfer-encoding" in data[:end].lower():
                self.parse(data[:end])
                data = data[end:]
        if not data:
            return
        if not (self.headers_done and self.in_chunks):
            self.parse(data)
            return
        self.pending, self.parsed_bytes = data, 0
        while self.pending and self.feed_slice():
            pass

    def feed_slice(self) -> bool:
        """Parse one slice; return whether the next one may follow at once."""
        if self.rejected or self.lost or self.waiting:
            return False
        size = SLICE_BYTES if self.parts > FEW_PARTS else LONG_SLICE_BYTES
        self.parts = 0
        self.parse(self.next_slice(size))
        if self.parts > MOST_PARTS * size // SLICE_BYTES and not self.is_complete():
            self.enter_lane()
            return False
        return bool(self.pending)

    def next_slice(self, size: int) -> memoryview:
        """Return the next bytes to parse: all that is left behind a whole body."""
        begin, end = self.parsed_bytes, self.parsed_bytes + size
        if self.is_complete():
            end = len(self.pending)
        data = memoryview(self.pending)[begin:end]
        self.parsed_bytes = end
        if end >= len(self.pending):
            self.pending, self.parsed_bytes = b"", 0
        return data

    def is_complete(self) -> bool:
        """Return whether the body of the request in progress has come."""
        return not self.headers_done or (
            self.request is not None and not self.refused_early
        )

    def enter_lane(self) -> None:
        """Let the others have their turn before the next slice is parsed."""
        if self.in_lane or self.rejected:
            return
        if self.refused_early:
            self.drop_rest()
            return
        account = self.server.account
        if account.is_crowded():
            self.refuse_room()
            self.drop_rest()
            return
        self.in_lane = True
        kept = self.body_bytes + len(self.pending) - self.parsed_bytes
        if kept > self.room.held:
            account.hold(self.room, kept)
        self.pause_reading()
        self.server.slow_lane.add(self.take_turn)

    def drop_rest(self) -> None:
        """Read no more of a refused request; close after its answer."""
        self.pending = b""
        self.keep_alive = False
        self.rejected = True
        if self.early_answered:
            self.close()

    def take_turn(self) -> bool:
        """Parse a slice in turn; return whether more is left for another turn."""
        if self.rejected or self.lost or self.waiting or not self.pending:
            self.in_lane = False
            self.pump()
            return False
        self.feed_slice()
        return True

    def pump(self) -> None:
        """Parse what was kept, then read on."""
        if self.waiting or self.in_lane or self.rejected or self.lost:
            return
        data = self.pending[self.parsed_bytes :]
        self.pending, self.parsed_bytes = b"", 0
        if data:
            self.feed(data)
        if not self.waiting and not self.in_lane:
            self.resume_reading()

    def pause_reading(self) -> None:
        """Leave what comes to the kernel, and the rest to the caller."""
        if self.transport is not None and not self.lost:
            self.transport.pause_reading()
            self.set_unread_bytes(UNREAD_BYTES)

    def resume_reading(self) -> None:
        """Read on."""
        if self.transport is not None and not self.transport.is_closing():
            self.set_unread_bytes(READ_BYTES)
            self.transport.resume_reading()

    def set_unread_bytes(self, size: int) -> None:
        """Set what the kernel keeps of what isn't read yet."""
        assert self.transport is not None
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def parse(self, data: bytes | memoryview) -> None:
        """Parse bytes; then decide on a request whose body has not come whole."""
        self.received_bytes += len(data)
        body_before = self.body_bytes if self.headers_done else None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400)
        except httptools.HttpParserError:
            self.take_back_joined(bytes(data), body_before)
            self.reject(400)
        if self.rejected or self.is_complete():
            if self.request is None and self.received_bytes > self.most_bytes():
                self.reject(431)
            return
        if self.received_bytes > self.most_bytes():
            self.reject(431)
        elif not self.head_checked:
            self.check_head()
        else:
            self.count_body(len(data))

    def check_head(self) -> None:
        """Refuse a request by its head, or ask for room for its body."""
        self.head_checked = True
        assert self.began_ms is not None
        head = Request(
            self.parser.get_method(), self.url, tuple(self.headers), b"", self.began_ms
        )
        most = self.server.limits().max_body_bytes
        length = stated_length(self.headers)
        if length is not None and length > most:
            self.reject(413)
            return
        if length is None or length > SOON_WHOLE_BYTES:
            verdict = self.server.check_head(head, self)
            if verdict.refuse is not None:
                self.refuse_early(head, verdict.refuse)
                return
            self.room.owner = verdict.owner or self.address()
        size = FIRST_CHUNKED_BYTES if length is None else length
        self.ask_room(size * BYTES_PER_BODY_BYTE)

    def address(self) -> str:
        """Return the IP address of the caller."""
        assert self.transport is not None
        peer = self.transport.get_extra_info("peername")
        return str(peer[0]) if peer else ""

    def ask_room(self, size: int) -> None:
        """Ask for room; wait unread if there is none now."""
        account = self.server.account
        now_ms = self.server.clock.now_ms()
        kept = self.body_bytes + len(self.pending) - self.parsed_bytes
        if kept > self.room.held:
            account.hold(self.room, kept)
        grant = account.ask(self.room, size, now_ms)
        if grant is Grant.GIVEN:
            self.begin_body()
        elif grant is Grant.REFUSED:
            self.refuse_room()
        else:
            self.waiting = True
            self.pause_reading()

    def room_decided(self, given: bool) -> None:
        """Read on with room for the body, or refuse it, after a wait."""
        self.waiting = False
        if given:
            self.begin_body()
        else:
            self.refuse_room()
        asyncio.get_running_loop().call_soon(self.pump)

    def begin_body(self) -> None:
        """Let the caller send its body, which has room now."""
        self.room.can_lose = True
        if self.transport is None or self.body_bytes:
            return
        if any(name == b"expect" for name, _ in self.headers):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def count_body(self, size: int) -> None:
        """Count bytes of a body; one in chunks may need more room."""
        if self.refused_early:
            return
        self.room.move(size, self.server.clock.now_ms())
        most = self.server.limits().max_body_bytes * BYTES_PER_BODY_BYTE
        if not self.in_chunks or self.waiting or self.room.held >= most:
            return
        if self.body_bytes * BYTES_PER_BODY_BYTE > self.room.held:
            self.ask_room(most)

    def refuse_room(self) -> None:
        """Refuse a request for whose body there is no room."""
        assert self.began_ms is not None
        head = Request(
            self.parser.get_method(), self.url, tuple(self.headers), b"", self.began_ms
        )
        self.refuse_early(head, self.server.refuse_body)

    def refuse_early(self, head: Request, refuse: Handler) -> None:
        """Answer a request before its body, which is then dropped as it comes.

        A caller that waits for `100 Continue` may send its body or not, so that the end
        of the request isn't known.
        """
        self.refused_early = True
        self.body = bytearray()
        self.server.account.give_back(self.room)
        if any(name == b"expect" for name, _ in self.headers):
            self.keep_alive = False
        self.begin_answer(head, refuse)

    def lose_room(self) -> None:
        """Give up a request that sits on room without progress; it has not run."""
        if self.request is None:
            self.reject(408)

    def count_unsent(self, now_ms: float) -> None:
        """Count the bytes of answers that the caller has not read."""
        if self.transport is None or not self.answer_room.held:
            return
        unsent = self.transport.get_write_buffer_size()
        gone = self.answer_room.held - unsent
        if gone > 0:
            self.answer_room.move(gone, now_ms)
            self.server.account.shrink(self.answer_room, unsent)

    def take_back_joined(self, data: bytes, body_before: int | None) -> None:
        """Take back a request whose body was filled up with the head of the next one.

        Its handler has not begun yet, as the rest of that head came in the same read.

        Parameters
        ----------
        data : bytes
            The bytes of that read, which end in no request.
        body_before : int or None
            Length of the body that came before, None if the head wasn't complete.
        """
        if self.request is None or self.task is None:
            return
        if self.request.get(b"content-length") is None:
            return
        body = self.request.body
        if body_before is None:
            body_end = data.find(b"\r\n\r\n") + 4 + len(body)
        else:
            body_end = len(body) - body_before
        if is_filled_up(body, data[body_end:]):
            self.task.cancel()
            self.request = None

    def most_bytes(self) -> int:
        """Return how many bytes may have come of a request that isn't complete."""
        limit = self.server.limits().max_header_bytes
        if not self.headers_done:
            return limit
        framing_limit = limit + FRAMING_PER_BODY_BYTE * self.body_bytes
        return limit + framing_limit + self.body_bytes

    def on_message_begin(self) -> None:
        """Start a new request; a pipelined one ends the connection after the answer."""
        if self.request is not None or self.refused_early:
            self.keep_alive = False
            return
        self.url = b""
        self.headers = []
        self.body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self.request is None:
            self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header without the spaces around its value.

        A trailer is dropped, as only the head is checked.
        """
        if self.request is not None and not self.refused_early:
            return
        if not self.headers_done:
            self.headers.append((name.lower(), value.strip(b" \t")))
            return
        self.trailer_bytes += len(name) + len(value) + 4
        if self.trailer_bytes > self.server.limits().max_header_bytes:
            self.reject(431)

    def on_headers_complete(self) -> None:
        """Reject headers that are ambiguous or too large."""
        if self.request is not None:
            return
        self.headers_done = True
        limits = self.server.limits()
        self.in_chunks = any(name == b"transfer-encoding" for name, _ in self.headers)
        if sum(len(n) + len(v) + 4 for n, v in self.headers) > limits.max_header_bytes:
            self.reject(431)
        elif has_ambiguous_length(self.headers) or holds_joined_head(self.headers):
            self.reject(400)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; reject a body above the limit."""
        if self.rejected or (self.request is not None and not self.refused_early):
            return
        self.parts += 1
        self.body_bytes += len(body)
        if not self.refused_early:
            self.body += body
        if self.body_bytes > self.server.limits().max_body_bytes:
            self.reject(413)

    def on_message_complete(self) -> None:
        """Start to answer the request, which is now complete."""
        if self.rejected:
            return
        if self.refused_early:
            self.end_refused()
            return
        if self.request is not None:
            return
        if not self.parser.should_keep_alive():
            self.keep_alive = False
        assert self.began_ms is not None
        request = Request(
            self.parser.get_method(),
            self.url,
            tuple(self.headers),
            bytes(self.body),
            self.began_ms,
        )
        self.body = bytearray()
        self.room.can_lose = False
        handler = self.server.handler
        if not self.take_room(len(request.body) * BYTES_PER_BODY_BYTE):
            handler = self.server.refuse_body
        self.begin_answer(request, handler)

    def take_room(self, size: int) -> bool:
        """Return whether there is room for the request, which is complete."""
        account = self.server.account
        if self.head_checked:
            account.shrink(self.room, size)
            return True
        if not size:
            return True
        self.room.owner = self.address() if size > SMALL_BYTES else ""
        return account.ask_at_once(self.room, size, self.server.clock.now_ms())

    def end_refused(self) -> None:
        """End a refused request, whose body has come; the next one may follow."""
        if self.request is not None:
            self.refused_early = False
            return
        self.reset()

    def begin_answer(self, request: Request, handler: Handler) -> None:
        """Start to answer a request."""
        self.request = request
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self.answer(request, handler))
        self.server.tasks.add(self.task)
        self.task.add_done_callback(self.server.tasks.discard)

    async def answer(self, request: Request, handler: Handler) -> None:
        """Run the handler for one request, then wait for the next one or close."""
        self.answered = False
        with anyio.CancelScope() as scope:
            self.scope = scope
            try:
                await handler(request, self)
            finally:
                self.scope = None
                self.finish_request()

    def finish_request(self) -> None:
        """Go on to the next request, or to the rest of a refused one, or close."""
        self.request = None
        self.server.account.give_back(self.room)
        if not self.answered or self.server.closing or self.lost:
            self.reset()
        elif self.refused_early and not self.rejected:
            self.early_answered = True
        else:
            self.reset()

    def reset(self) -> None:
        """Reset the state for the next request, or close the connection."""
        self.began_ms = None
        self.headers_done = False
        self.head_checked = False
        self.refused_early = False
        self.early_answered = False
        self.in_chunks = False
        self.received_bytes = 0
        self.trailer_bytes = 0
        self.body_bytes = 0
        self.last_used_ms = self.server.clock.now_ms()
        if not self.answered or not self.keep_alive or self.server.closing:
            self.close()

    def write_head(self, status: int, headers: RawHeaders, length: int | None) -> None:
        """Write status and headers; without a length the body is sent in chunks.

        An answer to HEAD has no body, and a length only if it isn't 0: the length of a
        body that an upstream left out is unknown.
        """
        if self.transport is None or self.lost:
            return
        self.has_body = self.request is None or self.request.method != b"HEAD"
        self.chunked = length is None and self.has_body
        lines = [b"HTTP/1.1 %d %s" % (status, reason_phrase(status))]
        lines += [name + b": " + value for name, value in headers]
        if self.chunked:
            lines.append(b"Transfer-Encoding: chunked")
        elif length is not None and (length or self.has_body):
            lines.append(b"Content-Length: %d" % length)
        if not self.keep_alive or self.server.closing:
            lines.append(b"Connection: close")
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    async def write(self, data: bytes) -> None:
        """Write a part of the body; wait while the caller reads too slowly."""
        if self.transport is None or self.lost or not data or not self.has_body:
            return
        if self.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.transport.write(data)
        if self.write_waiter is not None:
            await self.wait_until_read(self.transport)

    async def wait_until_read(self, transport: asyncio.Transport) -> None:
        """Wait while the caller reads too slowly; what it has not read is counted."""
        unsent = transport.get_write_buffer_size()
        self.answer_room.since_ms = self.server.clock.now_ms()
        self.answer_room.moved_ms = self.answer_room.since_ms
        self.answer_room.moved_bytes = 0
        self.server.account.hold(self.answer_room, unsent)
        while self.write_waiter is not None:
            await self.write_waiter
        self.server.account.give_back(self.answer_room)

    def finish(self) -> None:
        """End the body: the answer is complete."""
        if self.transport is not None and not self.lost and self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self.answered = True

    async def write_answer(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Write a complete answer."""
        self.write_head(status, headers, len(body))
        await self.write(body)
        self.finish()

    def reject(self, status: int) -> None:
        """Reject invalid input with an error status and close the connection."""
        if self.rejected or self.request is not None:
            self.keep_alive = False
            return
        self.rejected = True
        self.keep_alive = False
        self.pending = b""
        self.body = bytearray()
        self.waiting = False
        self.server.account.give_back(self.room)
        if not self.early_answered:
            self.write_head(status, (), 0)
        self.close()

    def close(self) -> None:
        """Close the connection after the written bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once, without what is not sent yet."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()


async def listen(server: Server, address: str) -> asyncio.Server:
    """Listen on `host:port` for connections of a server.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        server.make_connection, host, int(port), backlog=1024
    )
