"""Keep append-only streams in memory, trimmed from the front."""

from collections import deque
from dataclasses import dataclass, field

import anyio


@dataclass(frozen=True)
class Record:
    """Hold one record with its offset and time of day in ms since 1970 UTC."""

    offset: int
    time_ms: int
    payload: bytes


@dataclass
class Stream:
    """Hold the records of one stream that are still retained.

    Parameters
    ----------
    end : int
        The offset that the next record gets.
    arrived : anyio.Event
        Set at the next append, then replaced.
    """

    records: deque[Record] = field(default_factory=deque)
    end: int = 0
    arrived: anyio.Event = field(default_factory=anyio.Event)

    @property
    def first(self) -> int:
        """Return the offset of the oldest retained record."""
        return self.records[0].offset if self.records else self.end

    def append(self, payload: bytes, time_ms: int) -> int:
        """Append one record and return its offset."""
        offset = self.end
        self.records.append(Record(offset, time_ms, payload))
        self.end += 1
        self.wake()
        return offset

    def wake(self) -> None:
        """Wake every reader that waits for a record."""
        self.arrived.set()
        self.arrived = anyio.Event()

    def trim(self, retain: int | None, oldest_ms: float | None) -> None:
        """Drop what is beyond `retain` records or older than `oldest_ms`."""
        while retain is not None and len(self.records) > retain:
            self.records.popleft()
        while (
            oldest_ms is not None
            and self.records
            and self.records[0].time_ms < oldest_ms
        ):
            self.records.popleft()

    def read(self, offset: int, limit: int) -> tuple[Record, ...]:
        """Return up to `limit` records from `offset` on, which is not trimmed."""
        start = max(0, offset - self.first)
        stop = min(len(self.records), start + limit)
        return tuple(self.records[index] for index in range(start, stop))
