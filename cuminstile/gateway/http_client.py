"""Speak HTTP/1.1 over one connection to an upstream or to the platform."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from typing import cast

import httptools

from .upstream_protocol import RawHeaders

CONNECT_TIMEOUT_MS = 400.0
"""Many turns of the network between data centres; a live peer accepts at once."""
READ_AHEAD_BYTES = 256 * 1024
"""What may be received and not yet read before reading pauses."""
MAX_HEAD_BYTES = 64 * 1024
"""Bytes of an answer that may come without a final head, a body or its end: heads,
provisional heads, trailers and the frames of chunks."""
MAX_BODY_BYTES = 2 * 1024 * 1024
"""Size of a body that is kept until it is whole."""
HEAD_WEIGHT_BYTES = 512
"""What an answer that nobody has read yet counts for besides its body."""
USER_TIMEOUT_MS = 3_000
"""How long sent bytes may stay unacknowledged before the kernel gives up."""
DEFAULT_KEEP_ALIVE_MS = 4_000.0
"""How long an idle connection is used again where the peer states no time."""
KEEP_ALIVE_SHARE = 0.6
"""The share of the stated idle time after which a connection is not used again."""
NO_BODY_STATUSES = frozenset({204, 304})


class ConnectionLostError(Exception):
    """Tell that a connection could not be opened, broke, or spoke no HTTP.

    Parameters
    ----------
    sent : bool
        Whether bytes of the request may have reached the peer.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class AnswerTooLargeError(ConnectionLostError):
    """Tell that an answer was given up because it has no end in sight."""

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold status and headers of an answer, names in lower case.

    Parameters
    ----------
    length : int or None
        Size of the body in bytes, if stated.
    """

    status: int
    headers: RawHeaders
    length: int | None

    def get(self, name: bytes) -> bytes | None:
        """Return the first header of a name in lower case, if any."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Mark that the body of an answer is whole."""


Incoming = AnswerHead | AnswerEnd | bytes


class HttpConnection(asyncio.Protocol):
    """Hold one connection; one request at a time.

    The parser's callbacks queue what arrives; `receive` hands it out in order.
    `requests` counts the requests that were sent on it. `answered` tells whether the
    whole answer to the last one was handed out: until then its bytes may still come,
    or never, and another request must not wait behind it.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.incoming: deque[Incoming] = deque()
        self.waiting_bytes = 0
        self.quiet_bytes = 0
        self.progressed = False
        self.waiter: asyncio.Future[None] | None = None
        self.headers: list[tuple[bytes, bytes]] = []
        self.framed = True
        self.in_body = False
        self.in_use = False
        self.sent = False
        self.requests = 0
        self.head_taken = False
        self.answered = False
        self.lost: str | None = None
        self.clean_end = False
        self.keep = True
        self.keep_alive_ms = DEFAULT_KEEP_ALIVE_MS * KEEP_ALIVE_SHARE
        self.idle_since_ms = 0.0
        self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport and bound the time of unacknowledged bytes."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; bytes that belong to no request end the connection."""
        if not self.in_use:
            self.close("bytes that no request waits for")
            return
        self.progressed = False
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.close(f"no HTTP: {error}")
            return
        self.quiet_bytes = 0 if self.progressed else self.quiet_bytes + len(data)
        if self.quiet_bytes > MAX_HEAD_BYTES:
            self.close(f"over {MAX_HEAD_BYTES} bytes that are no part of a body")
            return
        if self.waiting_bytes > READ_AHEAD_BYTES and not self.paused:
            assert self.transport is not None
            self.paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Note that the peer has ended its side in order."""
        self.clean_end = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End a body without a length if the peer closed in order."""
        if self.in_body and not self.framed and self.clean_end and exc is None:
            self.in_body = False
            self.keep = False
            self.push(AnswerEnd())
        if self.lost is None:
            self.lost = "closed by the peer" if exc is None else f"broken: {exc}"
        self.wake()

    def on_message_begin(self) -> None:
        """Start a new answer."""
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Queue the head of an answer, unless it is only a provisional one."""
        status = self.parser.get_status_code()
        if status < 200:
            return
        length, chunked = None, False
        for name, value in self.headers:
            if name == b"content-length" and value.isdigit():
                length = int(value)
            elif name == b"transfer-encoding":
                chunked = True
            elif name == b"connection" and b"close" in value.lower():
                self.keep = False
            elif name == b"keep-alive":
                self.note_keep_alive(value)
        if status in NO_BODY_STATUSES:
            length = 0
        self.framed = chunked or length is not None
        if not self.framed:
            self.keep = False
        self.in_body = True
        self.push(AnswerHead(status, tuple(self.headers), length))

    def note_keep_alive(self, value: bytes) -> None:
        """Take over the idle time that the peer states."""
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name == b"timeout" and number.isdigit():
                self.keep_alive_ms = int(number) * 1000.0 * KEEP_ALIVE_SHARE

    def on_body(self, body: bytes) -> None:
        """Queue a part of the body."""
        self.push(body)

    def on_message_complete(self) -> None:
        """Queue the end of an answer."""
        if self.parser.get_status_code() < 200 or not self.in_body:
            return
        self.in_body = False
        self.push(AnswerEnd())

    def push(self, item: Incoming) -> None:
        """Queue one item and wake the reader."""
        self.progressed = True
        self.waiting_bytes += weight_of(item)
        self.incoming.append(item)
        self.wake()

    def wake(self) -> None:
        """Wake the reader if it waits."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def receive(self) -> Incoming:
        """Return the next item.

        Raises
        ------
        ConnectionLostError
            If the connection ended before the answer did.
        """
        while not self.incoming:
            if self.lost is not None:
                raise ConnectionLostError(self.lost, self.sent)
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        item = self.incoming.popleft()
        self.waiting_bytes -= weight_of(item)
        if self.paused and self.waiting_bytes <= READ_AHEAD_BYTES // 2:
            self.paused = False
            if self.transport is not None:
                self.transport.resume_reading()
        if isinstance(item, AnswerEnd):
            self.answered = self.head_taken
        return item

    async def receive_head(self) -> AnswerHead:
        """Return the head of the next answer, passing over what is left before it."""
        self.head_taken = self.answered = False
        while True:
            item = await self.receive()
            if isinstance(item, AnswerHead):
                self.head_taken = True
                return item

    async def receive_rest(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the rest of the body of the current answer.

        Raises
        ------
        AnswerTooLargeError
            If it is larger than `max_bytes`; the connection is closed then.
        ConnectionLostError
            If the connection ended before it did.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            item = await self.receive()
            if isinstance(item, AnswerEnd):
                return b"".join(parts)
            if isinstance(item, bytes):
                parts.append(item)
                size += len(item)
            if size > max_bytes:
                self.close(f"a body of over {max_bytes} bytes")
                raise AnswerTooLargeError(f"a body of over {max_bytes} bytes")

    def send(self, data: bytes) -> None:
        """Start a request.

        Raises
        ------
        ConnectionLostError
            If the connection is already lost; nothing was sent then.
        """
        if self.lost is not None or self.transport is None:
            raise ConnectionLostError(self.lost or "not open", sent=False)
        self.in_use = True
        self.sent = True
        self.requests += 1
        self.head_taken = self.answered = False
        self.transport.write(data)

    def release(self, now_ms: float) -> bool:
        """Mark the connection idle, or close it; return whether it is kept."""
        usable = (
            self.keep
            and self.lost is None
            and self.answered
            and not self.incoming
            and self.transport is not None
            and self.transport.get_write_buffer_size() == 0
        )
        if not usable:
            self.close("not to be used again")
            return False
        self.in_use = False
        self.sent = False
        self.idle_since_ms = now_ms
        return True

    def close(self, reason: str) -> None:
        """Reset the connection, so that the peer stops its work on it."""
        if self.lost is None:
            self.lost = reason
        if self.transport is not None:
            self.transport.abort()
        self.wake()


def weight_of(item: Incoming) -> int:
    """Return what an item that nobody has read yet counts for, in bytes."""
    return len(item) if isinstance(item, bytes) else HEAD_WEIGHT_BYTES


async def open_connection(
    address: str, timeout_ms: float = CONNECT_TIMEOUT_MS
) -> HttpConnection:
    """Return a new connection to `host:port`.

    Raises
    ------
    ConnectionLostError
        If it can't be opened in time; nothing was sent then.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            _, connection = await loop.create_connection(
                HttpConnection, host, int(port)
            )
    except (OSError, TimeoutError) as error:
        raise ConnectionLostError(f"no connection: {error!r}", sent=False) from error
    return connection


@dataclass
class ConnectionPool:
    """Hold the idle connections by the key of their peer; the newest is used first."""

    idle: dict[str, deque[HttpConnection]]

    def acquire(self, key: str, now_ms: float) -> HttpConnection | None:
        """Return an idle connection that the peer still keeps, if any."""
        queue = self.idle.get(key)
        while queue:
            connection = queue.pop()
            age_ms = now_ms - connection.idle_since_ms
            if connection.lost is None and age_ms < connection.keep_alive_ms:
                return connection
            connection.close("idle for too long")
        return None

    def release(self, key: str, connection: HttpConnection, now_ms: float) -> None:
        """Keep a connection for its next use, or close it."""
        if connection.release(now_ms):
            self.idle.setdefault(key, deque()).append(connection)

    def sweep(self, now_ms: float) -> None:
        """Close connections that are not going to be used again."""
        for key in list(self.idle):
            queue = self.idle[key]
            while queue and (
                queue[0].lost is not None
                or now_ms - queue[0].idle_since_ms >= queue[0].keep_alive_ms
            ):
                queue.popleft().close("idle for too long")
            if not queue:
                del self.idle[key]

    def drop(self, key: str) -> None:
        """Close all idle connections of a peer."""
        for connection in self.idle.pop(key, ()):
            connection.close("peer is gone")


def render_request(
    method: bytes, target: bytes, headers: RawHeaders, body: bytes
) -> bytes:
    """Return the bytes of a request; the length of the body is stated."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
