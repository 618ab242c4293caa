"""One connection of a caller: read requests in turn and run their handler."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import anyio
import httptools

from ...memory.account import BYTES_PER_BODY_BYTE, SMALL_BYTES, Grant, Kind, Room
from ...memory.descriptors import LEAST_AGE_MS
from ...memory.turns import MOST_PARTS, SLICE_BYTES
from ...request_bounds import holds_joined_head, is_filled_up
from ..model import Limits
from .answer import AnswerWriter
from .incoming import IncomingRequest, Unparsed
from .request import Handler, Request, has_ambiguous_length, stated_length
from .sockets import limit_unread, unread_bytes

if TYPE_CHECKING:
    from .server import Server

MAX_BACKLOG_BYTES = 64 * 1024
"""Limit of bytes that may come at once behind a request that isn't answered yet."""
FIRST_CHUNKED_BYTES = 64 * 1024
"""Room that a body of unknown length gets first; more gets room for the largest one."""
SOON_WHOLE_BYTES = 16 * 1024
"""A body of such a length follows its head at once, as one part of both: the request is
checked once, when it is whole."""
UNREAD_BYTES = 64 * 1024
"""What the kernel keeps, about, of a connection that has to wait for room."""
READ_BYTES = 512 * 1024
"""The same once the connection is read again."""
LINGER_MS = 1_000.0
"""How long a connection that has ended its sending direction reads on: a caller reads
its answer and closes in that time."""


class CallerConnection(AnswerWriter):
    """One connection of a caller; answers one request at a time.

    Parameters
    ----------
    incoming : IncomingRequest
        What has come of the request that is read.
    unparsed : Unparsed
        Bytes that wait for room or for their turn.
    room : Room
        Of the request that is read or answered.
    request : Request or None
        The request in progress.
    task, scope : asyncio.Task, anyio.CancelScope or None
        Run its handler.
    last_used_ms : float
        Monotonic time of the end of the last answer, or of the start.
    waiting, in_lane : bool
        Whether it isn't read until it has room, or until its turn.
    rejected : bool
        Whether what comes is dropped.
    refused_early, early_answered : bool
        Whether the request is refused before its body has come, and has its answer.
    aborted : bool
        Whether it was closed for another connection.
    ended_ms : float or None
        When the sending direction was ended, None if it wasn't.
    sends_on : bool
        Whether its caller sent more behind the last answer, or has more to send.
    """

    def __init__(self, server: Server) -> None:
        super().__init__(server.clock, server.account)
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.incoming = IncomingRequest()
        self.unparsed = Unparsed()
        self.room = Room(Kind.REQUEST, self.room_decided, self.lose_room)
        self.request: Request | None = None
        self.task: asyncio.Task[None] | None = None
        self.scope: anyio.CancelScope | None = None
        self.last_used_ms = server.clock.now_ms()
        self.waiting = False
        self.in_lane = False
        self.rejected = False
        self.refused_early = False
        self.early_answered = False
        self.aborted = False
        self.ended_ms: float | None = None
        self.sends_on = False

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
        self.unparsed.clear()
        self.incoming.body = bytearray()
        if self.request is None:
            self.server.account.give_back(self.room)
        self.server.account.give_back(self.answer_room)
        self.resume_writing()
        if self.scope is not None:
            self.scope.cancel()

    def eof_received(self) -> bool:
        """Treat an EOF from the caller as a disconnect; the transport closes itself."""
        return False

    def stays_open(self) -> bool:
        """Return whether the connection is kept after the answer."""
        return self.keep_alive and not self.server.closing

    def idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return (
            self.request is None
            and self.incoming.began_ms is None
            and self.ended_ms is None
        )

    def expects_request(self) -> bool:
        """Return whether a request may be on the way, though no part of it was read."""
        if self.transport is None or self.transport.is_closing() or not self.idle():
            return False
        age_ms = self.clock.now_ms() - self.last_used_ms
        is_new = not self.answered and age_ms <= LEAST_AGE_MS
        return is_new or unread_bytes(self.transport) > 0

    def is_answering(self) -> bool:
        """Return whether a request is in progress."""
        return self.request is not None

    def is_reading(self) -> bool:
        """Return whether a part of a request has come that isn't answered."""
        return (
            self.request is None
            and self.incoming.began_ms is not None
            and not self.rejected
            and not self.early_answered
        )

    def is_lingering(self) -> bool:
        """Return whether its caller goes on sending and may not have its answer yet."""
        return self.ended_ms is not None and self.sends_on and not self.lost

    def is_needed(self) -> bool:
        """Return whether its caller would lose a request or an answer by its end."""
        return (
            self.is_answering()
            or self.is_reading()
            or self.expects_request()
            or self.is_lingering()
            or self.has_unsent()
        )

    def is_between(self) -> bool:
        """Return whether it has answered a request and waits for the next one."""
        return self.answered and self.incoming.began_ms is None

    def quiet_since_ms(self) -> float:
        """Return since when no complete request came."""
        began_ms = self.incoming.began_ms
        return self.last_used_ms if began_ms is None else began_ms

    def enforce_timeouts(self, now_ms: float, limits: Limits) -> None:
        """Close an idle connection, or reject a slow request, after its timeout."""
        self.count_unsent(now_ms)
        if self.ended_ms is not None:
            if now_ms - self.ended_ms > LINGER_MS:
                self.close_at_once()
            return
        if self.request is not None:
            return
        if self.incoming.began_ms is None:
            if now_ms - self.last_used_ms > limits.idle_timeout_ms:
                self.close_at_once()
            return
        limit_ms = limits.header_timeout_ms
        if self.incoming.headers_done:
            limit_ms = max(limit_ms, limits.idle_timeout_ms)
        if now_ms - self.incoming.began_ms > limit_ms:
            self.reject(408)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; during an answer, drop them and close after it."""
        if self.ended_ms is not None:
            self.sends_on = True
        if self.rejected:
            return
        if self.request is not None and not self.refused_early:
            self.keep_alive = False
            if len(data) > MAX_BACKLOG_BYTES:
                self.close()
            return
        if self.incoming.began_ms is None:
            self.incoming.began_ms = self.server.clock.now_ms()
        if self.waiting or self.in_lane:
            self.unparsed.data += data
            return
        self.feed(data)
        if self.refused_early and not (self.waiting or self.in_lane or self.rejected):
            self.in_lane = True
            self.pause_reading()
            self.server.slow_lane.add(self.take_turn)

    def feed(self, data: bytes) -> None:
        """Parse received bytes, those of a body in chunks in slices."""
        if not self.incoming.headers_done and len(data) > SLICE_BYTES:
            end = data.find(b"\r\n\r\n") + 4
            if b"transfer-encoding" in data[:end].lower():
                self.parse(data[:end])
                data = data[end:]
        if not data:
            return
        if not (self.incoming.headers_done and self.incoming.in_chunks):
            self.parse(data)
            return
        self.unparsed.data, self.unparsed.begin = data, 0
        while self.unparsed and self.feed_slice():
            pass

    def feed_slice(self) -> bool:
        """Parse one slice; return whether the next one may follow at once."""
        if self.rejected or self.lost or self.waiting:
            return False
        size = self.unparsed.slice_bytes()
        self.unparsed.parts = 0
        self.parse(self.next_slice(size))
        most_parts = MOST_PARTS * size // SLICE_BYTES
        if self.unparsed.parts > most_parts and not self.is_complete():
            self.enter_lane()
            return False
        return bool(self.unparsed)

    def next_slice(self, size: int) -> memoryview:
        """Return the next bytes to parse: all that is left behind a whole body."""
        return self.unparsed.take(len(self.unparsed) if self.is_complete() else size)

    def is_complete(self) -> bool:
        """Return whether the body of the request in progress has come."""
        return not self.incoming.headers_done or (
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
        kept = self.incoming.body_bytes + len(self.unparsed)
        if kept > self.room.held:
            account.hold(self.room, kept)
        self.pause_reading()
        self.server.slow_lane.add(self.take_turn)

    def drop_rest(self) -> None:
        """Read no more of a refused request; close after its answer."""
        self.unparsed.clear()
        self.keep_alive = False
        self.rejected = True
        if self.early_answered:
            self.close()

    def take_turn(self) -> bool:
        """Parse a slice in turn; return whether more is left for another turn."""
        if self.rejected or self.lost or self.waiting or not self.unparsed:
            self.in_lane = False
            self.pump()
            return False
        self.feed_slice()
        return True

    def pump(self) -> None:
        """Parse what was kept, then read on."""
        if self.waiting or self.in_lane or self.rejected or self.lost:
            return
        data = self.unparsed.take_all()
        if data:
            self.feed(data)
        if not self.waiting and not self.in_lane:
            self.resume_reading()

    def pause_reading(self) -> None:
        """Leave what comes to the kernel, and the rest to the caller."""
        if self.transport is not None and not self.lost:
            self.transport.pause_reading()
            limit_unread(self.transport, UNREAD_BYTES)

    def resume_reading(self) -> None:
        """Read on."""
        if self.transport is not None and not self.transport.is_closing():
            limit_unread(self.transport, READ_BYTES)
            self.transport.resume_reading()

    def parse(self, data: bytes | memoryview) -> None:
        """Parse bytes; then decide on a request whose body has not come whole."""
        self.incoming.received_bytes += len(data)
        body_before = self.incoming.body_bytes if self.incoming.headers_done else None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400)
        except httptools.HttpParserError:
            self.take_back_joined(bytes(data), body_before)
            self.reject(400)
        if self.rejected or self.is_complete():
            if self.request is None and self.exceeds_head_limit():
                self.reject(431)
            return
        if self.exceeds_head_limit():
            self.reject(431)
        elif not self.incoming.head_checked:
            self.check_head()
        else:
            self.count_body(len(data))

    def exceeds_head_limit(self) -> bool:
        """Return whether too many bytes have come around the body."""
        limit = self.server.limits().max_header_bytes
        return self.incoming.received_bytes > self.incoming.most_bytes(limit)

    def check_head(self) -> None:
        """Refuse a request by its head, or ask for room for its body."""
        self.incoming.head_checked = True
        head = self.request_with(b"")
        most = self.server.limits().max_body_bytes
        length = stated_length(self.incoming.headers)
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

    def request_with(self, body: bytes) -> Request:
        """Return the request whose head has come."""
        came = self.incoming
        assert came.began_ms is not None
        method = self.parser.get_method() if came.url else b""
        return Request(method, came.url, tuple(came.headers), body, came.began_ms)

    def address(self) -> str:
        """Return the IP address of the caller."""
        assert self.transport is not None
        peer = self.transport.get_extra_info("peername")
        return str(peer[0]) if peer else ""

    def ask_room(self, size: int) -> None:
        """Ask for room; wait unread if there is none now."""
        account = self.server.account
        now_ms = self.server.clock.now_ms()
        kept = self.incoming.body_bytes + len(self.unparsed)
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
        if self.transport is None or self.incoming.body_bytes:
            return
        if self.incoming.has_header(b"expect"):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def count_body(self, size: int) -> None:
        """Count bytes of a body; one in chunks may need more room."""
        if self.refused_early:
            return
        self.room.move(size, self.server.clock.now_ms())
        most = self.server.limits().max_body_bytes * BYTES_PER_BODY_BYTE
        if not self.incoming.in_chunks or self.waiting or self.room.held >= most:
            return
        if self.incoming.body_bytes * BYTES_PER_BODY_BYTE > self.room.held:
            self.ask_room(most)

    def refuse_room(self) -> None:
        """Refuse a request for whose body there is no room."""
        head = self.request_with(b"")
        self.refuse_early(head, self.server.refuse_body)

    def refuse_early(self, head: Request, refuse: Handler) -> None:
        """Answer a request before its body, which is then dropped as it comes.

        A caller that waits for `100 Continue` may send its body or not, so that the end
        of the request isn't known.
        """
        self.refused_early = True
        self.incoming.body = bytearray()
        self.server.account.give_back(self.room)
        if self.incoming.has_header(b"expect"):
            self.keep_alive = False
        self.begin_answer(head, refuse)

    def refuse_unread(self, refuse: Handler) -> None:
        """Refuse a request of which a part has come, and drop the rest."""
        if not self.is_reading():
            return
        self.waiting = False
        self.refuse_early(self.request_with(b""), refuse)
        self.drop_rest()

    def lose_room(self) -> None:
        """Give up a request that sits on room without progress; it has not run."""
        if self.request is None:
            self.reject(408)

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
            self.to_head = False

    def on_message_begin(self) -> None:
        """Start a new request; a pipelined one ends the connection after the answer."""
        if self.request is not None or self.refused_early:
            self.keep_alive = False
            return
        self.incoming.url = b""
        self.incoming.headers = []
        self.incoming.body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self.request is None:
            self.incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header without the spaces around its value.

        A trailer is dropped, as only the head is checked.
        """
        if self.request is not None and not self.refused_early:
            return
        if not self.incoming.headers_done:
            self.incoming.headers.append((name.lower(), value.strip(b" \t")))
            return
        self.incoming.trailer_bytes += len(name) + len(value) + 4
        if self.incoming.trailer_bytes > self.server.limits().max_header_bytes:
            self.reject(431)

    def on_headers_complete(self) -> None:
        """Reject headers that are ambiguous or too large."""
        if self.request is not None:
            return
        self.incoming.headers_done = True
        self.incoming.in_chunks = self.incoming.has_header(b"transfer-encoding")
        if self.incoming.header_bytes() > self.server.limits().max_header_bytes:
            self.reject(431)
        elif has_ambiguous_length(self.incoming.headers) or holds_joined_head(
            self.incoming.headers
        ):
            self.reject(400)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; reject a body above the limit."""
        if self.rejected or (self.request is not None and not self.refused_early):
            return
        self.unparsed.parts += 1
        self.incoming.body_bytes += len(body)
        if not self.refused_early:
            self.incoming.body += body
        if self.incoming.body_bytes > self.server.limits().max_body_bytes:
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
        request = self.request_with(bytes(self.incoming.body))
        self.incoming.body = bytearray()
        self.room.can_lose = False
        handler = self.server.handler
        if not self.take_room(len(request.body) * BYTES_PER_BODY_BYTE):
            handler = self.server.refuse_body
        self.begin_answer(request, handler)

    def take_room(self, size: int) -> bool:
        """Return whether there is room for the request, which is complete."""
        account = self.server.account
        if self.incoming.head_checked:
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
        self.to_head = request.method == b"HEAD"
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
        self.to_head = False
        self.sends_on = self.refused_early
        self.server.account.give_back(self.room)
        if not self.answered or self.server.closing or self.lost:
            self.reset()
        elif self.refused_early and not self.rejected:
            self.early_answered = True
        else:
            self.reset()

    def reset(self) -> None:
        """Reset the state for the next request, or close the connection."""
        self.incoming = IncomingRequest()
        self.refused_early = False
        self.early_answered = False
        self.last_used_ms = self.server.clock.now_ms()
        if not self.answered or not self.stays_open():
            self.close()

    def reject(self, status: int) -> None:
        """Reject invalid input with an error status and close the connection."""
        if self.rejected or self.request is not None:
            self.keep_alive = False
            return
        self.rejected = True
        self.keep_alive = False
        self.unparsed.clear()
        self.incoming.body = bytearray()
        self.waiting = False
        self.server.account.give_back(self.room)
        if not self.early_answered:
            self.write_head(status, (), 0)
        self.close()

    def close(self) -> None:
        """Close the connection after the written bytes are sent."""
        if self.server.closing:
            self.end_sending()
        else:
            self.close_at_once()

    def end_sending(self) -> None:
        """End the sending direction, then drop what comes until the caller closes.

        A close with unread bytes would reset the connection, and its caller could lose
        the answer.
        """
        if self.transport is None or self.lost or self.ended_ms is not None:
            return
        if self.transport.is_closing():
            return
        if self.request is not None or not self.transport.can_write_eof():
            self.close_at_once()
            return
        self.ended_ms = self.clock.now_ms()
        self.sends_on |= self.rejected
        self.rejected = True
        self.unparsed.clear()
        self.transport.write_eof()
        self.transport.resume_reading()

    def close_at_once(self) -> None:
        """Close the connection after the written bytes are sent, and read no more."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once, without what is not sent yet."""
        self.aborted = True
        super().abort()
