"""Track a server-sent event stream so that another upstream can resume it.

Designed for upstreams that crash in the middle of resumable streams. Needs no network.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_END_BYTES = 4
"""Length of the longest event delimiter."""
MAX_EVENT_BYTES = 256 * 1024
"""Maximum size of one event: far more than an event with tokens needs."""
MAX_EVENTS = 4_096
EVENTS_PER_S = 1_000
"""An engine sends some hundred tokens of one answer in a second."""
MAX_NUMBER_DIGITS = 18
"""Longest id of an event that is compared as a number."""
EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventTooLargeError(Exception):
    """An event exceeds the size limit."""

    def __init__(self) -> None:
        super().__init__(f"event exceeds {MAX_EVENT_BYTES} bytes")


class EventRateError(Exception):
    """A stream has more events than any sound upstream sends."""

    def __init__(self) -> None:
        super().__init__(f"over {MAX_EVENTS} events at once")


class EventCutOffError(Exception):
    """A stream ended before its first event or inside an event."""

    def __init__(self) -> None:
        super().__init__("the stream ended before the end of an event")


class EventOrderError(Exception):
    """A run begins with an event that the caller has received already."""

    def __init__(self, event: str) -> None:
        super().__init__(f"event {event[:40]!r} was sent before")


@dataclass
class AnswerProgress:
    """How much of an answer was sent to the caller.

    Parameters
    ----------
    begun : bool
        Whether the head was sent: no other answer may follow.
    last_event : str or None
        Id of the last event that was sent.
    has_length : bool
        Whether the head stated a length; the answer of another run can have another.
    holds_head : bool
        Whether an event may have been ended by the head of another answer.
    partial : bytes
        Beginning of an event whose end has not arrived.
    tail : bytes
        The last bytes received: the delimiter of an event may arrive in two parts.
    unfinished_bytes : int
        Bytes received since the end of the last event.
    ended_events : int
        Events received in full, comments and empty ones included.
    counted : bool
        Whether the request was counted as one that an upstream began.
    """

    begun: bool = False
    last_event: str | None = None
    has_length: bool = False
    holds_head: bool = False
    partial: bytes = field(default=b"")
    tail: bytes = b""
    unfinished_bytes: int = 0
    ended_events: int = 0
    counted: bool = False

    @property
    def resumable(self) -> bool:
        """Return whether another run can continue what the caller has received."""
        if not self.begun:
            return True
        is_known = self.last_event is not None and not self.holds_head
        return is_known and not self.has_length

    def add_bytes(self, data: bytes) -> bytes:
        """Add received bytes and return the complete events; keep the rest.

        Raises
        ------
        EventOrderError
            If an id is not higher than that of an event that was sent.
        EventTooLargeError
            If an event exceeds the size limit.
        """
        data = self.partial + data
        ends = [match.end() for match in EVENT_END.finditer(data)]
        self.ended_events += len(ends)
        end = ends[-1] if ends else 0
        complete, self.partial = data[:end], data[end:]
        if len(self.partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        ids = [name.decode("latin-1") for name in EVENT_ID.findall(complete)]
        if ids:
            self.check_order(ids[0])
            self.last_event = ids[-1]
        return complete

    def check_order(self, event: str) -> None:
        """Check that an event follows the last one; ids that are no numbers can't be.

        Raises
        ------
        EventOrderError
            If it doesn't.
        """
        last = self.last_event or ""
        if max(len(last), len(event)) > MAX_NUMBER_DIGITS:
            return
        if last.isdecimal() and event.isdecimal() and int(event) <= int(last):
            raise EventOrderError(event)

    def check_event_size(self, data: bytes) -> None:
        """Check the size of the current event of a stream that is forwarded unbuffered.

        Raises
        ------
        EventTooLargeError
            If an event exceeds the size limit.
        """
        recent = self.tail + data
        ends = [match.end() for match in EVENT_END.finditer(recent)]
        self.ended_events += sum(end > len(self.tail) for end in ends)
        if ends:
            self.unfinished_bytes = len(recent) - ends[-1]
        else:
            self.unfinished_bytes += len(data)
        self.tail = recent[-EVENT_END_BYTES:]
        if self.unfinished_bytes > MAX_EVENT_BYTES:
            raise EventTooLargeError

    def check_end(self) -> None:
        """Check that the stream ended with a whole event.

        Raises
        ------
        EventCutOffError
            If it ended inside an event.
        """
        if self.partial.strip(b"\r\n"):
            raise EventCutOffError
        recent = self.tail[-self.unfinished_bytes :] if self.unfinished_bytes else b""
        if recent.strip(b"\r\n"):
            raise EventCutOffError

    def flush(self) -> bytes:
        """Return the remaining bytes at the end of a complete stream."""
        rest, self.partial = self.partial, b""
        return rest

    def drop_partial(self) -> None:
        """Discard an incomplete event; the next run sends it in full."""
        self.partial = b""
