"""Follow an event stream, so that another upstream can go on where one broke off.

Answers the pattern of upstreams that crash in the middle of streams which may be
resumed. Needs no network.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_END_BYTES = 4
"""Length of the longest end of an event."""
MAX_EVENT_BYTES = 256 * 1024
"""Bytes that may come without the end of an event: far more than tokens take."""
EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventTooLargeError(Exception):
    """Tell that an event has no end in sight."""

    def __init__(self) -> None:
        super().__init__(f"an event of over {MAX_EVENT_BYTES} bytes")


@dataclass
class AnswerProgress:
    """Hold how much of an answer has gone to the caller.

    Parameters
    ----------
    begun : bool
        Whether its head has gone: no other answer may follow.
    last_event : str or None
        The id of the last event that has gone.
    framed : bool
        Whether the head told a length, which the rest of another run need not have.
    partial : bytes
        The beginning of an event whose end has not arrived.
    tail : bytes
        The last bytes that have come: the end of an event may come in two parts.
    unended_bytes : int
        Bytes that have come since the last end of an event.
    """

    begun: bool = False
    last_event: str | None = None
    has_length: bool = False
    partial: bytes = field(default=b"")
    tail: bytes = b""
    unfinished_bytes: int = 0

    @property
    def resumable(self) -> bool:
        """Tell whether another run can go on behind what has gone to the caller."""
        return not self.begun or (self.last_event is not None and not self.has_length)

    def add_bytes(self, data: bytes) -> bytes:
        """Return the whole events that new bytes complete; the rest is kept.

        Raises
        ------
        EventTooLargeError
            If an event has no end in sight.
        """
        data = self.partial + data
        ends = [match.end() for match in EVENT_END.finditer(data)]
        end = ends[-1] if ends else 0
        whole, self.partial = data[:end], data[end:]
        if len(self.partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_event = ids[-1].decode("latin-1")
        return whole

    def check_event_size(self, data: bytes) -> None:
        """Follow how long an event of a stream goes on that is passed on as it comes.

        Raises
        ------
        EventTooLargeError
            If an event has no end in sight.
        """
        recent = self.tail + data
        ends = [match.end() for match in EVENT_END.finditer(recent)]
        if ends:
            self.unfinished_bytes = len(recent) - ends[-1]
        else:
            self.unfinished_bytes += len(data)
        self.tail = recent[-EVENT_END_BYTES:]
        if self.unfinished_bytes > MAX_EVENT_BYTES:
            raise EventTooLargeError

    def flush(self) -> bytes:
        """Return what is left at the end of a stream that is complete."""
        rest, self.partial = self.partial, b""
        return rest

    def drop_partial(self) -> None:
        """Forget an event that broke off: the next run sends it whole."""
        self.partial = b""
