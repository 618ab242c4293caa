"""Find the start of an answer inside another one, as the two parse as one message.

HTTP/1.1 marks no start of a message. If an upstream breaks off an answer and sends
another one on the connection, the parser takes the second one for the rest of the
first: of a header, a reason or a body. Needs no network.
"""

from __future__ import annotations

import re
from collections.abc import Collection
from dataclasses import dataclass

from ..status_lines import STATUS_LINE

STATUS_LINE_BYTES = 12
STATUS_LINE_START = re.compile(
    rb"(?:H|HT|HTT|HTTP|HTTP/|HTTP/\d|HTTP/\d\.|HTTP/\d\.\d|HTTP/\d\.\d \d{0,2})\Z"
)
HEADER_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
MAX_LINE_BYTES = 8 * 1024
"""Longest line of a head that is looked at inside a body."""


@dataclass
class BodyScan:
    """Search for the head of another answer in a body that arrives in parts.

    Parameters
    ----------
    attempts : collection of bytes
        Ids of the attempts that the connection has carried. A head inside the body that
        names one of them is no quotation, but the upstream's next answer.
    rest : bytes
        Bytes at the end of the body that have to be looked at again.
    in_head : bool
        Whether the body ends inside something that looks like a head.
    on_status_line : bool
        Whether it ends inside the status line of that head.
    holds_head : bool
        Whether a complete head that names no attempt was found.
    """

    attempts: Collection[bytes]
    rest: bytes = b""
    in_head: bool = False
    on_status_line: bool = False
    holds_head: bool = False

    @property
    def ends_in_headers(self) -> bool:
        """Return whether the body ends behind the status line of an incomplete head."""
        return self.in_head and not self.on_status_line

    @property
    def may_run_on(self) -> bool:
        """Return whether an answer that begins in the body may go on behind its end."""
        if self.in_head or self.holds_head:
            return True
        return STATUS_LINE_START.search(self.rest) is not None

    def add(self, data: bytes) -> bool:
        """Add a part; return whether an answer to an attempt was found in the body."""
        text = self.rest + data
        position = 0
        while True:
            if not self.in_head:
                match = STATUS_LINE.search(text, position)
                if match is None:
                    start = max(position, len(text) - STATUS_LINE_BYTES + 1)
                    self.rest = text[start:]
                    return False
                position = match.end()
                self.in_head = self.on_status_line = True
            end = text.find(b"\n", position)
            if end < 0:
                self.keep_line(text[position:])
                return False
            if self.add_line(text[position:end]):
                return True
            position = end + 1

    def keep_line(self, line: bytes) -> None:
        """Keep the beginning of a line of a head until its end arrives."""
        matches = list(STATUS_LINE.finditer(line))
        if matches:
            self.on_status_line = True
            line = line[matches[-1].end() :]
        if len(line) > MAX_LINE_BYTES:
            self.in_head = False
            line = line[-STATUS_LINE_BYTES + 1 :]
        self.rest = line

    def add_line(self, line: bytes) -> bool:
        """Add a complete line of a head; return whether it names an attempt."""
        if self.on_status_line or STATUS_LINE.search(line):
            self.on_status_line = False
            return False
        line = line.strip(b"\r")
        if not line:
            self.in_head = False
            self.holds_head = True
            return False
        name, colon, value = line.partition(b":")
        if not colon or not HEADER_NAME.fullmatch(name):
            self.in_head = False
            return False
        return value.strip(b" \t") in self.attempts
