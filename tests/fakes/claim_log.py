"""In-memory streams of the platform, with faults that tests set for each VM."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from cuminstile.claim_background import run_claims_loop
from cuminstile.clock import Clock
from cuminstile.exceptions import PlatformUnavailableError, TrimmedError
from cuminstile.records.claim_log import wait_until
from cuminstile.records.client import ListedVm, PlatformClient, Record, Records
from cuminstile.runtime import Vm

LATE_CHECK_MS = 100.0


@dataclass
class FakeLog:
    """The streams that all VMs append to and read.

    Parameters
    ----------
    ends : dict of str to int
        The next offset of each stream.
    late : list
        Appends that have not taken effect yet: time in ms, stream, payload.
    """

    clock: Clock
    streams: dict[str, list[Record]] = field(default_factory=dict)
    ends: dict[str, int] = field(default_factory=dict)
    late: list[tuple[float, str, bytes]] = field(default_factory=list)
    arrived: anyio.Event = field(default_factory=anyio.Event)
    appends: int = 0

    def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset."""
        self.appends += 1
        records = self.streams.setdefault(stream, [])
        offset = self.ends.get(stream, 0)
        self.ends[stream] = offset + 1
        records.append(Record(offset, self.clock.wall_ms(), payload))
        self.arrived.set()
        self.arrived = anyio.Event()
        return offset

    def apply_late_appends(self) -> None:
        """Apply the late appends that are due."""
        due = [item for item in self.late if item[0] <= self.clock.now_ms()]
        for item in due:
            self.late.remove(item)
            self.append(item[1], item[2])

    def trim(self, stream: str, keep: int = 1) -> None:
        """Delete the oldest records of a stream and leave the last `keep`."""
        records = self.streams.get(stream, [])
        del records[: max(0, len(records) - keep)]

    def first(self, stream: str) -> int:
        """Return the oldest offset that was not trimmed."""
        return self.ends.get(stream, 0) - len(self.streams.get(stream, []))

    def read_from(self, stream: str, offset: int) -> list[Record]:
        """Return the records from an offset on.

        Raises
        ------
        TrimmedError
            If the record at the offset was trimmed.
        """
        self.apply_late_appends()
        first = self.first(stream)
        if offset < first:
            raise TrimmedError(stream, first)
        return self.streams.get(stream, [])[offset - first :]


@dataclass
class FakePlatform(PlatformClient):
    """One VM's client of the log, with its own faults.

    Parameters
    ----------
    is_unavailable : bool
        Whether every call fails.
    lost_answer_fraction : float
        The fraction of appends that take effect although the call fails.
    late_append_fraction : float
        The fraction of appends that fail and take effect `late_ms` later.
    gate : anyio.Event or None
        Delays each call until it is set, as for a frozen VM.
    """

    log: FakeLog = None  # type: ignore[assignment]
    rng: random.Random = field(default_factory=random.Random)
    is_unavailable: bool = False
    lost_answer_fraction: float = 0.0
    late_append_fraction: float = 0.0
    late_ms: float = 700.0
    delay_ms: float = 1.0
    gate: anyio.Event | None = None

    async def wait_one_way(self) -> None:
        """Wait for the one-way delay; fail if the platform is unavailable."""
        await self.log.clock.sleep_ms(self.delay_ms)
        if self.gate is not None:
            await self.gate.wait()
        if self.is_unavailable:
            raise PlatformUnavailableError("cannot connect to the platform")

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset."""
        await self.wait_one_way()
        if self.rng.random() < self.late_append_fraction:
            due_ms = self.log.clock.now_ms() + self.late_ms
            self.log.late.append((due_ms, stream, payload))
            raise PlatformUnavailableError("append timed out")
        self.log.apply_late_appends()
        offset = self.log.append(stream, payload)
        if self.rng.random() < self.lost_answer_fraction:
            raise PlatformUnavailableError("the response to the append was lost")
        await self.wait_one_way()
        return offset

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_ms: int = 0
    ) -> Records:
        """Return records from an offset on; wait up to `wait_ms` for the first one."""
        await self.wait_one_way()
        until_ms = self.log.clock.now_ms() + wait_ms
        records = self.log.read_from(stream, offset)
        while (
            not records
            and self.log.clock.now_ms() < until_ms
            and not self.is_unavailable
        ):
            check_ms = min(until_ms, self.log.clock.now_ms() + LATE_CHECK_MS)
            await wait_until(self.log.clock, self.log.arrived, check_ms)
            records = self.log.read_from(stream, offset)
        await self.wait_one_way()
        records = records[:limit]
        first = self.log.first(stream)
        return Records(tuple(records), offset + len(records), first)

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return an empty list of VMs."""
        return ()


def connect_platform(vm: Vm, log: FakeLog, seed: int = 0) -> FakePlatform:
    """Replace the platform client of a VM by one of its own for a fake log."""
    platform = FakePlatform("", "", vm.platform.pool, log, random.Random(seed))
    vm.platform = platform
    return platform


@asynccontextmanager
async def claiming(*vms: Vm) -> AsyncIterator[FakeLog]:
    """Run the claim tasks of VMs on a fake log until the block ends."""
    log = FakeLog(vms[0].clock)
    async with anyio.create_task_group() as tasks:
        for vm in vms:
            connect_platform(vm, log)
            tasks.start_soon(run_claims_loop, vm)
        await anyio.lowlevel.checkpoint()
        yield log
        tasks.cancel_scope.cancel()
