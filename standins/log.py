"""Append-only streams in memory, with retention limits."""

from collections import deque
from dataclasses import dataclass, field

import anyio


@dataclass(frozen=True)
class StreamRecord:
    """Record of a stream, with its offset and append time in ms since 1970 UTC."""

    offset: int
    time_ms: int
    payload: bytes


@dataclass
class Stream:
    """Retained records of one stream.

    Parameters
    ----------
    end : int
        Offset of the next record.
    arrived : anyio.Event
        Set by the next append, then replaced by a new event.
    """

    records: deque[StreamRecord] = field(default_factory=deque)
    end: int = 0
    arrived: anyio.Event = field(default_factory=anyio.Event)

    @property
    def first(self) -> int:
        """Return the offset of the oldest retained record."""
        return self.records[0].offset if self.records else self.end

    def append(self, payload: bytes, time_ms: int) -> int:
        """Append one record and return its offset."""
        offset = self.end
        self.records.append(StreamRecord(offset, time_ms, payload))
        self.end += 1
        self.wake()
        return offset

    def wake(self) -> None:
        """Wake all readers that wait for a record."""
        self.arrived.set()
        self.arrived = anyio.Event()

    def trim(self, retain: int | None, oldest_ms: float | None) -> None:
        """Drop records beyond the newest `retain` or older than `oldest_ms`."""
        while retain is not None and len(self.records) > retain:
            self.records.popleft()
        while (
            oldest_ms is not None
            and self.records
            and self.records[0].time_ms < oldest_ms
        ):
            self.records.popleft()

    def read(self, offset: int, limit: int) -> tuple[StreamRecord, ...]:
        """Return up to `limit` records from `offset` on, which must not be trimmed."""
        start = max(0, offset - self.first)
        stop = min(len(self.records), start + limit)
        return tuple(self.records[index] for index in range(start, stop))
