"""Parse the bytes of a connection into answers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import httptools

from ..status_lines import find_joined_head
from ..token_bucket import TokenBucket
from .answer_bounds import BodyScan
from .answers import AnswerEnd, AnswerHead, Incoming, JoinedAnswersError

MAX_HEAD_BYTES = 64 * 1024
"""Bytes that may arrive without completing a final head, a part of a body or its end:
heads, interim heads (1xx), trailers and chunk headers."""
MAX_INTERIM_HEADS = 64
"""Interim heads (1xx) before the final one; a sound upstream sends a few."""
SMALL_PIECE_BYTES = 32
"""Parts of a body below this size cost more to handle than to carry."""
MAX_SMALL_PIECES = 4_096
SMALL_PIECES_PER_S = 1_000
"""An engine sends some hundred tokens of one answer in a second."""
DEFAULT_KEEP_ALIVE_MS = 4_000.0
"""Keep-alive time that is assumed if the peer states none."""
KEEP_ALIVE_SHARE = 0.6
"""Share of the keep-alive time after which a connection is not reused."""
NO_BODY_STATUSES = frozenset({204, 304})


class UnsupportedCodingError(Exception):
    """An answer has a transfer coding that the parser leaves undecoded."""


class TooManyInterimHeadsError(Exception):
    """An answer has more interim heads than any sound upstream sends."""


class AnswerParser:
    """Parser of the answers of one connection, with their limits.

    Parameters
    ----------
    carried : deque of bytes
        Ids of the attempts that were sent on the connection.
    on_item : callable
        Called with each head, part of a body and end of an answer, in order.
    on_begin : callable
        Called when a message begins.

    Attributes
    ----------
    joined : str
        Why an answer was found not to be one message, empty if none was.
    may_quote : bool
        Whether bodies may hold whole answers and show their own end, so that one in a
        body without a length isn't taken for the next answer.
    in_message : bool
        Whether bytes came behind the last complete answer.
    framed : bool
        Whether the last answer has a length or chunks, or no body.
    to_head : bool
        Whether the last request has the method HEAD: its answer ends with its head,
        whatever length that states.
    keep_alive : bool
        Whether the peer keeps the connection open.
    keep_alive_ms : float
        After how long the idle connection is not reused.
    """

    def __init__(
        self,
        carried: deque[bytes],
        on_item: Callable[[Incoming], None],
        on_begin: Callable[[], None],
    ) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.carried = carried
        self.on_item = on_item
        self.on_begin = on_begin
        self.scan = BodyScan(carried)
        self.headers: list[tuple[bytes, bytes]] = []
        self.reason = b""
        self.joined = ""
        self.may_quote = False
        self.in_message = False
        self.interim_heads = 0
        self.has_length = False
        self.framed = True
        self.receiving_body = False
        self.to_head = False
        self.surplus = False
        self.keep_alive = True
        self.keep_alive_ms = DEFAULT_KEEP_ALIVE_MS * KEEP_ALIVE_SHARE
        self.overhead_bytes = 0
        self.progressed = False
        self.pieces: list[bytes] = []
        self.small_pieces_received = 0
        self.small_pieces = TokenBucket(MAX_SMALL_PIECES, SMALL_PIECES_PER_S)

    def feed(self, data: bytes, now_ms: float) -> str:
        """Parse some bytes; return why the connection must be closed, empty if not."""
        self.progressed = False
        small_before = self.small_pieces_received
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.pass_on_pieces()
            self.in_message = True
            return self.joined or f"invalid HTTP answer: {error}"
        if self.surplus:
            return "received a body in an answer to HEAD"
        self.pass_on_pieces()
        if self.joined:
            return self.joined
        self.overhead_bytes = 0 if self.progressed else self.overhead_bytes + len(data)
        if self.overhead_bytes > MAX_HEAD_BYTES:
            return f"received over {MAX_HEAD_BYTES} bytes outside of a body"
        small = self.small_pieces_received - small_before
        if small and not self.small_pieces.take(small, now_ms):
            return f"received over {MAX_SMALL_PIECES} tiny parts of a body at once"
        return ""

    def begin_answer(self, to_head: bool) -> None:
        """Prepare for the answer to a request, which may have the method HEAD."""
        if self.to_head:
            self.parser = httptools.HttpResponseParser(self)
        self.to_head = to_head

    def end_in_order(self) -> None:
        """End a body without a length, as its connection was closed in order.

        Such a body goes on over the head of another answer. If the connection carried
        no id that could name a request in that head, any head there counts as such, and
        so does one that breaks off before it could name a request.
        """
        if self.framed or not self.receiving_body:
            return
        self.receiving_body = False
        self.keep_alive = False
        unnamed = self.scan.holds_head and not self.carried
        if not self.may_quote and (unnamed or self.scan.ends_in_headers):
            self.joined = "the body without a length holds another answer"
        else:
            self.pass_on(AnswerEnd())

    def on_message_begin(self) -> None:
        """Start to parse a new answer."""
        self.headers = []
        self.reason = b""
        self.scan = BodyScan(self.carried)
        self.in_message = True
        self.on_begin()

    def on_status(self, reason: bytes) -> None:
        """Add a part of the reason."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header, without the spaces around its value."""
        self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Pass on the head of an answer, unless it is an interim one (1xx).

        Raises
        ------
        JoinedAnswersError
            If the head holds the start of another one; parsing ends.
        TooManyInterimHeadsError
            If no final head has come after many interim ones; parsing ends.
        UnsupportedCodingError
            If the body has another transfer coding than `chunked`; parsing ends.
        """
        self.check_head()
        status = self.parser.get_status_code()
        if status < 200:
            self.count_interim_head()
            return
        self.interim_heads = 0
        length, chunked = None, False
        for name, value in self.headers:
            if name == b"content-length" and value.isdigit():
                length = int(value)
            elif name == b"transfer-encoding":
                if chunked or value.lower() != b"chunked":
                    raise UnsupportedCodingError(value.decode("latin-1"))
                chunked = True
            elif name == b"connection" and b"close" in value.lower():
                self.keep_alive = False
            elif name == b"keep-alive":
                self.apply_keep_alive(value)
        if status in NO_BODY_STATUSES:
            length = 0
        self.has_length = length is not None and not chunked
        self.framed = chunked or length is not None or self.to_head
        if not self.framed:
            self.keep_alive = False
        self.receiving_body = not self.to_head
        self.pass_on(AnswerHead(status, tuple(self.headers), length))
        if self.to_head:
            self.in_message = False
            self.pass_on(AnswerEnd())

    def count_interim_head(self) -> None:
        """Count an interim head.

        Raises
        ------
        TooManyInterimHeadsError
            If there are more than `MAX_INTERIM_HEADS` in a row.
        """
        self.interim_heads += 1
        if self.interim_heads > MAX_INTERIM_HEADS:
            raise TooManyInterimHeadsError

    def check_head(self) -> None:
        """Check that the head holds no start of another one.

        Raises
        ------
        JoinedAnswersError
            If it does.
        """
        self.joined = self.joined or find_joined_head(self.reason, self.headers)
        if self.joined:
            raise JoinedAnswersError(self.joined)

    def apply_keep_alive(self, value: bytes) -> None:
        """Apply the keep-alive timeout that the peer states."""
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name == b"timeout" and number.isdigit():
                self.keep_alive_ms = int(number) * 1000.0 * KEEP_ALIVE_SHARE

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body until the bytes that came with it are parsed."""
        if not self.receiving_body:
            self.surplus = True
            return
        self.pieces.append(body)
        self.small_pieces_received += len(body) < SMALL_PIECE_BYTES

    def on_message_complete(self) -> None:
        """Pass on the end of an answer, which an interim one is not."""
        self.in_message = self.parser.get_status_code() < 200
        if self.in_message or not self.receiving_body:
            return
        self.receiving_body = False
        self.pass_on_pieces()
        if self.joined:
            return
        if self.has_length:
            self.pass_on(AnswerEnd(self.scan.may_run_on, self.scan.in_head))
        else:
            self.pass_on(AnswerEnd())

    def pass_on_pieces(self) -> None:
        """Pass on the parts of the body that came together as one.

        They are dropped once the body turns out to hold another answer.
        """
        if not self.pieces:
            return
        body = b"".join(self.pieces)
        self.pieces = []
        if self.scan.add(body):
            self.joined = "the body holds another answer to a request of the connection"
        if not self.joined:
            self.pass_on(body)

    def pass_on(self, item: Incoming) -> None:
        """Pass on one item after the body received before."""
        self.pass_on_pieces()
        self.progressed = True
        self.on_item(item)
