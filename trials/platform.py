"""Keep the platform's log in memory for trials, with outages and lost answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from cuminstile.clock import VirtualClock
from cuminstile.exceptions import PlatformUnavailableError, TrimmedError
from cuminstile.records.client import Record, Records


@dataclass
class MemoryPlatform:
    """Keep streams in memory; `away` lists the VMs that get no answer."""

    clock: VirtualClock
    streams: dict[str, list[Record]] = field(default_factory=dict)
    unavailable_vms: set[str] = field(default_factory=set)
    lost_appends: int = 0
    first: int = 0

    def append_now(self, stream: str, payload: bytes) -> int:
        """Append one record."""
        records = self.streams.setdefault(stream, [])
        records.append(Record(len(records), self.clock.wall_ms(), payload))
        return len(records) - 1

    def trim(self, stream: str, first: int) -> None:
        """Forget the records before an offset."""
        self.first = first


@dataclass
class PlatformEnd:
    """Be one VM's client of the platform."""

    platform: MemoryPlatform
    vm: str

    async def append(self, stream: str, payload: bytes) -> int:
        """Append, unless the platform is away; an answer may be lost."""
        if self.vm in self.platform.unavailable_vms:
            raise PlatformUnavailableError("away")
        offset = self.platform.append_now(stream, payload)
        if self.platform.lost_appends:
            self.platform.lost_appends -= 1
            raise PlatformUnavailableError("lost")
        return offset

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_ms: int = 0
    ) -> Records:
        """Read, unless the platform is away."""
        if self.vm in self.platform.unavailable_vms:
            raise PlatformUnavailableError("away")
        if offset < self.platform.first:
            raise TrimmedError(stream, self.platform.first)
        records = tuple(self.platform.streams.get(stream, [])[offset:][:limit])
        return Records(records, offset + len(records), 0)
