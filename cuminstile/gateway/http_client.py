"""HTTP/1.1 client connections to upstreams and the platform, and their pool."""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NoReturn, cast

from .answer_parser import AnswerParser
from .answers import (
    AnswerEnd,
    AnswerHead,
    AnswerTooLargeError,
    ConnectionLostError,
    Incoming,
    JoinedAnswersError,
    NoListenerError,
    buffered_size,
)
from .upstream_protocol import RawHeaders

CONNECT_TIMEOUT_MS = 400.0
"""Many network round trips between data centres; a live peer accepts immediately."""
READ_AHEAD_BYTES = 256 * 1024
"""Received bytes that are buffered before reading from the socket pauses."""
FEED_BYTES = 16 * 1024
"""Bytes that are parsed before the limits of an answer are checked."""
MAX_REFUSED_ATTEMPTS = 16
"""Refused attempts that a connection remembers; it is closed after more."""
MAX_FAILED_ATTEMPTS = 256
"""Failed attempts that a connection remembers; the oldest are forgotten."""
MAX_CARRIED_ATTEMPTS = 256
"""Attempts that a connection remembers to have carried; the oldest are forgotten."""
RUN_ON_WAIT_MS = 20.0
"""How long bytes behind a body that may hold the start of another answer are awaited;
an upstream writes an answer at once."""
MAX_BODY_BYTES = 2 * 1024 * 1024
"""Maximum size of a body that is buffered until it is complete."""
USER_TIMEOUT_MS = 3_000
"""How long sent bytes may stay unacknowledged before the kernel ends the connection."""


class HttpConnection(asyncio.Protocol):
    """One connection, for one request at a time.

    The parser queues what arrives; `receive` returns it in order.
    `requests` counts the requests that were sent on the connection. `answered` is true
    once the complete answer to the last request was returned. Until then its remaining
    bytes may arrive late or never, so the connection must not carry another request.
    `refused_attempts` holds the ids of attempts that were refused on the connection,
    `failed_attempts` those that failed. `ended_by_peer` is true if the peer closed or
    reset the connection, as its process does when it ends. `on_unexpected` is called
    with bytes that come while no request is in progress. `carried` holds the ids of the
    attempts that were sent on the connection.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.carried: deque[bytes] = deque(maxlen=MAX_CARRIED_ATTEMPTS)
        self.parser = AnswerParser(self.carried, self.enqueue, self.wake)
        self.incoming: deque[Incoming] = deque()
        self.buffered_bytes = 0
        self.waiter: asyncio.Future[None] | None = None
        self.in_use = False
        self.sent = False
        self.requests = 0
        self.head_received = False
        self.answered = False
        self.lost: str | None = None
        self.peer_sent_eof = False
        self.ended_by_peer = False
        self.on_unexpected: Callable[[bytes], None] = lambda _: None
        self.opened_ms = 0.0
        self.refused_attempts: set[str] = set()
        self.failed_attempts: OrderedDict[str, None] = OrderedDict()
        self.idle_since_ms = 0.0
        self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the timeout of unacknowledged bytes."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is in progress."""
        if not self.in_use:
            self.on_unexpected(data)
            self.close("received bytes without a request in progress")
            return
        now_ms = asyncio.get_running_loop().time() * 1000.0
        for start in range(0, len(data), FEED_BYTES):
            wrong = self.parser.feed(data[start : start + FEED_BYTES], now_ms)
            if wrong:
                self.close(wrong)
                return
        if self.buffered_bytes > READ_AHEAD_BYTES and not self.paused:
            assert self.transport is not None
            self.paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Record that the peer closed its side of the connection in order."""
        self.peer_sent_eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End a body without a length if the peer closed in order; wake the reader."""
        if self.peer_sent_eof and exc is None:
            self.parser.end_in_order()
        if self.lost is None:
            self.ended_by_peer = exc is None or isinstance(exc, ConnectionError)
            self.lost = (
                "closed by the peer" if exc is None else f"connection broke: {exc}"
            )
        self.wake()

    def enqueue(self, item: Incoming) -> None:
        """Queue one item, and wake the reader."""
        self.buffered_bytes += buffered_size(item)
        self.incoming.append(item)
        self.wake()

    def wake(self) -> None:
        """Wake the reader if it is waiting."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def receive(self) -> Incoming:
        """Return the next queued item.

        Raises
        ------
        ConnectionLostError
            If the connection ended before the answer.
        """
        while not self.incoming:
            if self.parser.joined:
                raise JoinedAnswersError(self.parser.joined)
            if self.lost is not None:
                raise ConnectionLostError(self.lost, self.sent, self.ended_by_peer)
            await self.wait()
        item = self.incoming.popleft()
        self.buffered_bytes -= buffered_size(item)
        if self.paused and self.buffered_bytes <= READ_AHEAD_BYTES // 2:
            self.paused = False
            if self.transport is not None:
                self.transport.resume_reading()
        if isinstance(item, AnswerEnd):
            if item.may_run_on and self.head_received:
                await self.check_end()
            if item.ends_in_head and not self.head_received:
                self.give_up("an answer to another request ends inside the one due")
            self.answered = self.head_received
        return item

    async def wait(self) -> None:
        """Wait until something arrives or the connection ends."""
        self.waiter = asyncio.get_running_loop().create_future()
        await self.waiter

    async def check_end(self) -> None:
        """Check that no answer which begins in the body goes on behind its end.

        Raises
        ------
        JoinedAnswersError
            If bytes come behind the body.
        """
        if self.lost is None and not self.surplus_received:
            try:
                async with asyncio.timeout(RUN_ON_WAIT_MS / 1000.0):
                    await self.wait()
            except TimeoutError:
                return
        if self.surplus_received:
            self.give_up("the body holds the start of an answer that goes on behind it")

    def give_up(self, joined: str) -> NoReturn:
        """Close the connection, as what was received is not one message.

        Raises
        ------
        JoinedAnswersError
            Always.
        """
        self.parser.joined = joined
        self.close(joined)
        raise JoinedAnswersError(joined)

    @property
    def surplus_received(self) -> bool:
        """Return whether bytes came behind the last answer that was returned."""
        return self.parser.in_message or bool(self.incoming)

    async def receive_head(self) -> AnswerHead:
        """Return the head of the next answer; skip the rest of an earlier answer."""
        self.head_received = self.answered = False
        while True:
            item = await self.receive()
            if isinstance(item, AnswerHead):
                self.head_received = True
                return item

    async def receive_rest(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the rest of the body of the current answer.

        Raises
        ------
        AnswerTooLargeError
            If the body is larger than `max_bytes`; the connection is then closed.
        ConnectionLostError
            If the connection ended before the body.
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
                self.close(f"body exceeds {max_bytes} bytes")
                raise AnswerTooLargeError(f"body exceeds {max_bytes} bytes")

    def send(self, data: bytes, attempt_id: str = "") -> None:
        """Write a request, which may have the id of an attempt.

        Raises
        ------
        ConnectionLostError
            If the connection is already lost; nothing was sent.
        """
        if self.lost is not None or self.transport is None:
            raise ConnectionLostError(self.lost or "connection is not open", sent=False)
        self.parser.begin_answer(data.startswith(b"HEAD "))
        self.in_use = True
        self.sent = True
        self.requests += 1
        self.head_received = self.answered = False
        if attempt_id:
            self.carried.append(attempt_id.encode("latin-1"))
        self.transport.write(data)

    def release(self, now_ms: float) -> bool:
        """Mark the connection idle, or close it; return whether it can be reused."""
        usable = (
            self.parser.keep_alive
            and self.lost is None
            and self.answered
            and not self.surplus_received
            and self.transport is not None
            and self.transport.get_write_buffer_size() == 0
        )
        if not usable:
            self.close("connection can't be reused")
            return False
        self.in_use = False
        self.sent = False
        self.idle_since_ms = now_ms
        return True

    def close(self, reason: str) -> None:
        """Reset the connection, so that the peer stops working on its request."""
        if self.lost is None:
            self.lost = reason
        if self.transport is not None:
            self.transport.abort()
        self.wake()


async def open_connection(
    address: str, timeout_ms: float = CONNECT_TIMEOUT_MS
) -> HttpConnection:
    """Return a new connection to `host:port`.

    Raises
    ------
    NoListenerError
        If nothing listens at the address.
    ConnectionLostError
        If the connection can't be opened in time; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            _, connection = await loop.create_connection(
                HttpConnection, host, int(port)
            )
    except ConnectionRefusedError as error:
        raise NoListenerError(f"cannot connect: {error!r}") from error
    except (OSError, TimeoutError) as error:
        raise ConnectionLostError(f"cannot connect: {error!r}", sent=False) from error
    return connection


def render_request(
    method: bytes, target: bytes, headers: RawHeaders, body: bytes
) -> bytes:
    """Return the bytes of a request, with the `Content-Length` of the body."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
