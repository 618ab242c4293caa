"""Write the answer of one request, as fast as its caller reads."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from ...clock import Clock
from ...memory.account import Kind, MemoryAccount, Room
from ..upstream_protocol import RawHeaders


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Answer"


class AnswerWriter(asyncio.Protocol):
    """The sending direction of a connection; writes one answer at a time.

    Parameters
    ----------
    transport : asyncio.Transport or None
        Set once the connection is made.
    lost : bool
        Whether the connection has ended.
    keep_alive : bool
        Whether the connection is kept after the answer.
    to_head : bool
        Whether the answer is one to HEAD, which has no body.
    answered : bool
        Whether the last answer is complete.
    """

    def __init__(self, clock: Clock, account: MemoryAccount) -> None:
        self.clock = clock
        self.account = account
        self.transport: asyncio.Transport | None = None
        self.lost = False
        self.keep_alive = True
        self.to_head = False
        self.chunked = False
        self.answered = False
        self.write_waiter: asyncio.Future[None] | None = None
        self.answer_room = Room(Kind.ANSWER, lambda given: None, self.abort)
        self.answer_room.can_lose = True

    def abort(self) -> None:
        """Close the connection at once, without what is not sent yet."""
        if self.transport is not None:
            self.transport.abort()

    def stays_open(self) -> bool:
        """Return whether the connection is kept after the answer."""
        return self.keep_alive

    def pause_writing(self) -> None:
        """Pause the answer, as the caller reads too slowly."""
        if self.write_waiter is None:
            self.write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Resume the answer."""
        waiter, self.write_waiter = self.write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def has_unsent(self) -> bool:
        """Return whether written bytes are still in the process, also after `close`."""
        return self.transport is not None and (
            self.transport.get_write_buffer_size() > 0
        )

    def count_unsent(self, now_ms: float) -> None:
        """Count the bytes of answers that the caller has not read."""
        if self.transport is None or not self.answer_room.held:
            return
        unsent = self.transport.get_write_buffer_size()
        gone = self.answer_room.held - unsent
        if gone > 0:
            self.answer_room.move(gone, now_ms)
            self.account.shrink(self.answer_room, unsent)

    def write_head(self, status: int, headers: RawHeaders, length: int | None) -> None:
        """Write status and headers; without a length the body is sent in chunks.

        An answer to HEAD has no body, and a length only if it isn't 0: the length of a
        body that an upstream left out is unknown.
        """
        if self.transport is None or self.lost:
            return
        self.chunked = length is None and not self.to_head
        lines = [b"HTTP/1.1 %d %s" % (status, reason_phrase(status))]
        lines += [name + b": " + value for name, value in headers]
        if self.chunked:
            lines.append(b"Transfer-Encoding: chunked")
        elif length is not None and (length or not self.to_head):
            lines.append(b"Content-Length: %d" % length)
        if not self.stays_open():
            lines.append(b"Connection: close")
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    async def write(self, data: bytes) -> None:
        """Write a part of the body; wait while the caller reads too slowly."""
        if self.transport is None or self.lost or not data or self.to_head:
            return
        if self.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.transport.write(data)
        if self.write_waiter is not None:
            await self.wait_until_read(self.transport)

    async def wait_until_read(self, transport: asyncio.Transport) -> None:
        """Wait while the caller reads too slowly; what it has not read is counted."""
        unsent = transport.get_write_buffer_size()
        self.answer_room.since_ms = self.clock.now_ms()
        self.answer_room.moved_ms = self.answer_room.since_ms
        self.answer_room.moved_bytes = 0
        self.account.hold(self.answer_room, unsent)
        while self.write_waiter is not None:
            await self.write_waiter
        self.account.give_back(self.answer_room)

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
