"""In-memory log of the platform for trials, with outages and lost responses."""

from __future__ import annotations

from dataclasses import dataclass, field

from cuminstile.clock import VirtualClock
from cuminstile.exceptions import PlatformUnavailableError, TrimmedError
from cuminstile.records.client import Record, Records


@dataclass
class MemoryPlatform:
    """In-memory streams; calls of the VMs in `unavailable_vms` fail.

    Parameters
    ----------
    lost_appends : int
        How many of the next appends take effect although the call fails.
    """

    clock: VirtualClock
    streams: dict[str, list[Record]] = field(default_factory=dict)
    unavailable_vms: set[str] = field(default_factory=set)
    lost_appends: int = 0
    first: int = 0

    def append_now(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset."""
        records = self.streams.setdefault(stream, [])
        records.append(Record(len(records), self.clock.wall_ms(), payload))
        return len(records) - 1

    def trim(self, stream: str, first: int) -> None:
        """Delete the records before an offset."""
        self.first = first


@dataclass
class VmPlatformClient:
    """One VM's client of the platform."""

    platform: MemoryPlatform
    vm: str

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset, with the faults that are set."""
        if self.vm in self.platform.unavailable_vms:
            raise PlatformUnavailableError("the platform is unavailable")
        offset = self.platform.append_now(stream, payload)
        if self.platform.lost_appends:
            self.platform.lost_appends -= 1
            raise PlatformUnavailableError("the response to the append was lost")
        return offset

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_ms: int = 0
    ) -> Records:
        """Return records from an offset on, with the faults that are set."""
        if self.vm in self.platform.unavailable_vms:
            raise PlatformUnavailableError("the platform is unavailable")
        if offset < self.platform.first:
            raise TrimmedError(stream, self.platform.first)
        records = tuple(self.platform.streams.get(stream, [])[offset:][:limit])
        return Records(records, offset + len(records), 0)
