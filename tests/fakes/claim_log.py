"""Keep the platform's streams in memory, with scripted faults for each VM."""

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
    """Hold the streams that every VM appends to and reads.

    Parameters
    ----------
    ends : dict of str to int
        The next offset of each stream.
    late : list
        Appends that take effect at a time still to come.
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

    def settle(self) -> None:
        """Let late appends whose time has come take effect."""
        due = [item for item in self.late if item[0] <= self.clock.now_ms()]
        for item in due:
            self.late.remove(item)
            self.append(item[1], item[2])

    def trim(self, stream: str, keep: int = 1) -> None:
        """Forget the oldest records, all but `keep`."""
        records = self.streams.get(stream, [])
        del records[: max(0, len(records) - keep)]

    def first(self, stream: str) -> int:
        """Return the oldest offset that is kept."""
        return self.ends.get(stream, 0) - len(self.streams.get(stream, []))

    def from_offset(self, stream: str, offset: int) -> list[Record]:
        """Return the records from an offset on."""
        self.settle()
        first = self.first(stream)
        if offset < first:
            raise TrimmedError(stream, first)
        return self.streams.get(stream, [])[offset - first :]


@dataclass
class FakePlatform(PlatformClient):
    """Be one VM's way to the log, with faults of its own.

    Parameters
    ----------
    is_away : bool
        Whether nothing gets through.
    lose_answers : float
        The fraction of appends that take effect without an answer.
    late_effects : float
        The fraction of appends that fail and yet take effect `late_ms` later.
    gate : anyio.Event or None
        Holds every answer back until it is set, as for a frozen VM.
    """

    log: FakeLog = None  # type: ignore[assignment]
    chance: random.Random = field(default_factory=random.Random)
    is_unavailable: bool = False
    lost_answer_fraction: float = 0.0
    late_append_fraction: float = 0.0
    late_ms: float = 700.0
    delay_ms: float = 1.0
    gate: anyio.Event | None = None

    async def travel(self) -> None:
        """Take the time of one way; fail if the platform is away."""
        await self.log.clock.sleep_ms(self.delay_ms)
        if self.gate is not None:
            await self.gate.wait()
        if self.is_unavailable:
            raise PlatformUnavailableError("cut off")

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset."""
        await self.travel()
        if self.chance.random() < self.late_append_fraction:
            due_ms = self.log.clock.now_ms() + self.late_ms
            self.log.late.append((due_ms, stream, payload))
            raise PlatformUnavailableError("delayed")
        self.log.settle()
        offset = self.log.append(stream, payload)
        if self.chance.random() < self.lost_answer_fraction:
            raise PlatformUnavailableError("the answer was lost")
        await self.travel()
        return offset

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_ms: int = 0
    ) -> Records:
        """Return records from an offset on, waiting a while for the first."""
        await self.travel()
        until_ms = self.log.clock.now_ms() + wait_ms
        records = self.log.from_offset(stream, offset)
        while (
            not records
            and self.log.clock.now_ms() < until_ms
            and not self.is_unavailable
        ):
            check_ms = min(until_ms, self.log.clock.now_ms() + LATE_CHECK_MS)
            await wait_until(self.log.clock, self.log.arrived, check_ms)
            records = self.log.from_offset(stream, offset)
        await self.travel()
        records = records[:limit]
        first = self.log.first(stream)
        return Records(tuple(records), offset + len(records), first)

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return no VMs."""
        return ()


def connect_platform(vm: Vm, log: FakeLog, seed: int = 0) -> FakePlatform:
    """Give a VM its own way to a log."""
    platform = FakePlatform("", "", vm.platform.pool, log, random.Random(seed))
    vm.platform = platform
    return platform


@asynccontextmanager
async def claiming(*vms: Vm) -> AsyncIterator[FakeLog]:
    """Let VMs claim on a log of their own, until the block ends."""
    log = FakeLog(vms[0].clock)
    async with anyio.create_task_group() as tasks:
        for vm in vms:
            connect_platform(vm, log)
            tasks.start_soon(run_claims_loop, vm)
        await anyio.lowlevel.checkpoint()
        yield log
        tasks.cancel_scope.cancel()
