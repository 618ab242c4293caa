"""Fake of the platform's log, with outages and lost responses."""

from dataclasses import dataclass, field, replace

from cuminstile.clock import VirtualClock
from cuminstile.const import PLATFORM_TIMEOUT_MS
from cuminstile.exceptions import PlatformUnavailableError, TrimmedError
from cuminstile.records.client import ListedVm, Record, Records


@dataclass
class FakePlatform:
    """In-memory streams, with faults that tests set.

    Parameters
    ----------
    is_unavailable : bool
        Whether every call fails.
    hangs : bool
        Whether calls to an unavailable platform fail after a timeout and not at once.
    lost_appends : int
        How many of the next appends take effect although the call fails.
    dropped_appends : int
        How many of the next appends fail and do not take effect.
    weights : list of str
        The upstreams that asked for permission to load weights.
    weights_wait_ms : int
        The answer to such a request; 0 permits the load.
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
        """Append a record without faults, as another client would."""
        offset = self.end(stream)
        record = Record(offset, self.clock.wall_ms(), payload)
        self.streams.setdefault(stream, []).append(record)
        return offset

    def trim(self, stream: str, first: int) -> None:
        """Delete the records before an offset."""
        records = self.streams.setdefault(stream, [])
        self.streams[stream] = [item for item in records if item.offset >= first]
        self.first[stream] = first

    def copy_with_own_faults(self) -> "FakePlatform":
        """Return a client for another VM: the same streams, faults of its own."""
        return replace(self)

    async def fail(self, wait_ms: int = 0) -> None:
        """Fail as a call to an unavailable platform does."""
        if self.hangs:
            await self.clock.sleep_ms(PLATFORM_TIMEOUT_MS + wait_ms)
        raise PlatformUnavailableError("the platform is unavailable")

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record, with the faults that are set, and return its offset."""
        await self.clock.sleep_ms(0)
        if self.is_unavailable:
            await self.fail()
        if self.dropped_appends:
            self.dropped_appends -= 1
            raise PlatformUnavailableError("the append was dropped")
        offset = self.put(stream, payload)
        if self.lost_appends:
            self.lost_appends -= 1
            raise PlatformUnavailableError("the response to the append was lost")
        return offset

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_ms: int = 0
    ) -> Records:
        """Return records from an offset on, with the faults that are set."""
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
        """Record a request to load weights; return the wait in ms, 0 if permitted."""
        if self.is_unavailable:
            await self.fail()
        self.weights.append(name)
        return self.weights_wait_ms

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the list of VMs that the test set."""
        if self.is_unavailable:
            await self.fail()
        return self.listed
