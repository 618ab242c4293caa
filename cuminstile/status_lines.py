"""Find the first line of an HTTP/1.1 answer in bytes that should hold none."""

import re
from collections.abc import Iterable

STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def holds_status_line(text: bytes) -> bool:
    """Return whether a reason or the value of a header holds the start of an answer."""
    return b"HTTP/" in text and STATUS_LINE.search(text) is not None


def find_joined_head(reason: bytes, headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Return where the head of an answer holds the start of another one, or "".

    If an upstream breaks off an answer in its head and sends another one, the two parse
    as one: the status of the first with the body of the second.
    """
    if holds_status_line(reason):
        return "the reason holds the start of another answer"
    for name, value in headers:
        if holds_status_line(value):
            shown = name.decode("latin-1")
            return f"header {shown} holds the start of another answer"
    return ""
