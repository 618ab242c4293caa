"""Find the start of a request inside another one, as the two parse as one message.

HTTP/1.1 marks no start of a message. If a caller breaks off a request and sends another
one on the connection, the parser takes the second one for the rest of the first: of the
value of a header or of a body. Only what no sound request holds is found here: a header
or a body may quote a request line.
"""

import re
from collections.abc import Iterable, Sequence

REQUEST_LINE = rb"(?:GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) /\S* HTTP/1\.[01]"
CUT_BY_REQUEST_LINE = re.compile(rb"[0-9A-Za-z]" + REQUEST_LINE + rb"\Z")
"""A method right behind a letter or digit is no quotation of a request line."""
ENDS_IN_REQUEST_LINE = re.compile(REQUEST_LINE + rb"\Z")
HEADER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*")
LENGTH_LINE = re.compile(rb"content-length:[ \t]*(\d{1,15})[ \t]*", re.IGNORECASE)
MAX_SEARCHED_BYTES = 16 * 1024
"""How far before the end of a body the head of another request is searched."""


def holds_joined_head(headers: Sequence[tuple[bytes, bytes]]) -> bool:
    """Return whether the head of a request was cut off by that of another one.

    A head with two hosts may be, too: each request has one.
    """
    hosts = sum(name == b"host" for name, _ in headers)
    return hosts > 1 or any(
        b" HTTP/1." in value and CUT_BY_REQUEST_LINE.search(value) is not None
        for _, value in headers
    )


def is_filled_up(body: bytes, behind: bytes) -> bool:
    """Return whether a body ends inside another request.

    That is inside its head, of which a line at least has to end behind the body, or
    before the end that its head states.

    Parameters
    ----------
    behind : bytes
        What came behind the body, which is no request by itself.
    """
    tail = body[-MAX_SEARCHED_BYTES:]
    if tail.endswith(b"\r") and behind.startswith(b"\n"):
        tail, behind = tail + b"\n", behind[1:]
    rest, line_end, _ = behind.partition(b"\r\n")
    if line_end and head_at_end(tail + rest) is not None:
        return True
    head, blank, part = tail.rpartition(b"\r\n\r\n")
    lines = head_at_end(head) if blank else None
    return lines is not None and stated_length(lines) > len(part)


def head_at_end(text: bytes) -> list[bytes] | None:
    """Return the header lines, last one first, of a head at the end, None if none is.

    The head may lack the empty line at its end.
    """
    headers: list[bytes] = []
    for line in reversed(text.removesuffix(b"\r\n").split(b"\r\n")):
        if ENDS_IN_REQUEST_LINE.search(line):
            return headers
        if not HEADER_LINE.fullmatch(line):
            return None
        headers.append(line)
    return None


def stated_length(headers: Iterable[bytes]) -> int:
    """Return the length of the body that header lines state, 0 if they state none."""
    for line in headers:
        if match := LENGTH_LINE.fullmatch(line):
            return int(match[1])
    return 0
