"""Stand in for the platform's log in tests, with outages and lost answers."""

from dataclasses import dataclass, field, replace

from cuminstile.clock import VirtualClock
from cuminstile.const import PLATFORM_TIMEOUT_MS
from cuminstile.exceptions import PlatformUnavailableError, TrimmedError
from cuminstile.records.client import ListedVm, Record, Records


@dataclass
class FakePlatform:
    """Keep streams in memory; tests script its faults.

    Parameters
    ----------
    away : bool
        Whether no call is answered.
    hangs : bool
        Whether a platform that is away keeps its callers waiting.
    lost_appends : int
        How many of the next appends take effect without an answer.
    dropped_appends : int
        How many of the next appends neither take effect nor are answered.
    """

    clock: VirtualClock
    is_unavailable: bool = False
    hangs: bool = False
    lost_appends: int = 0
    dropped_appends: int = 0
    streams: dict[str, list[Record]] = field(default_factory=dict)
    first: dict[str, int] = field(default_factory=dict)
    listed: tuple[ListedVm, ...] = ()
    weights: list[str] = field(default_factory=list)
    weights_wait_ms: int = 0

    def end(self, stream: str) -> int:
        """Return the offset that the next record gets."""
        return self.first.get(stream, 0) + len(self.streams.get(stream, []))

    def put(self, stream: str, payload: bytes) -> int:
        """Append at once, as somebody else would."""
        offset = self.end(stream)
        record = Record(offset, self.clock.wall_ms(), payload)
        self.streams.setdefault(stream, []).append(record)
        return offset

    def trim(self, stream: str, first: int) -> None:
        """Forget the records before an offset."""
        records = self.streams.setdefault(stream, [])
        self.streams[stream] = [item for item in records if item.offset >= first]
        self.first[stream] = first

    def copy_with_own_faults(self) -> "FakePlatform":
        """Return the same platform, with faults of its own, for another VM."""
        return replace(self)

    async def fail(self, wait_ms: int = 0) -> None:
        """Fail a call as a platform that is away does."""
        if self.hangs:
            await self.clock.sleep_ms(PLATFORM_TIMEOUT_MS + wait_ms)
        raise PlatformUnavailableError("away")

    async def append(self, stream: str, payload: bytes) -> int:
        """Append as the platform would, with the scripted faults."""
        await self.clock.sleep_ms(0)
        if self.is_unavailable:
            await self.fail()
        if self.dropped_appends:
            self.dropped_appends -= 1
            raise PlatformUnavailableError("dropped")
        offset = self.put(stream, payload)
        if self.lost_appends:
            self.lost_appends -= 1
            raise PlatformUnavailableError("lost")
        return offset

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_ms: int = 0
    ) -> Records:
        """Read as the platform would, with the scripted faults."""
        await self.clock.sleep_ms(0)
        if self.is_unavailable:
            await self.fail(wait_ms)
        if offset >= self.end(stream):
            await self.clock.sleep_ms(wait_ms)
        if self.is_unavailable:
            await self.fail()
        first = self.first.get(stream, 0)
        if offset < first:
            raise TrimmedError(stream, first)
        records = self.streams.get(stream, [])[offset - first :][:limit]
        next_offset = records[-1].offset + 1 if records else offset
        return Records(tuple(records), next_offset, first)

    async def acquire_weights(self, name: str) -> int:
        """Grant a load, or tell how long to wait."""
        if self.is_unavailable:
            await self.fail()
        self.weights.append(name)
        return self.weights_wait_ms

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the scripted list."""
        if self.is_unavailable:
            await self.fail()
        return self.listed
