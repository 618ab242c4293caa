"""Follow the `claims` streams and append to them in groups."""

from __future__ import annotations

import math
import secrets
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from ..clock import Clock
from ..const import (
    CLAIM_APPEND_INTERVAL_MS,
    CLAIM_LOG_UNAVAILABLE_AFTER_MS,
    CLAIM_POLL_WAIT_MS,
    MAX_CLAIM_RECORD_BYTES,
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
)
from ..events import Event
from ..exceptions import CuminstileError, PlatformUnavailableError, TrimmedError
from .claim_projection import KEEP_MS, ClaimProjection
from .claim_records import (
    BATCH_CODEC,
    ClaimBatch,
    ClaimEntry,
    OutcomeEntry,
    VoidEntry,
    stream_of,
)
from .client import PlatformClient, Record

if TYPE_CHECKING:
    from ..runtime import Vm

NONCE_BYTES = 8
ITEM_BYTES = 128


@dataclass
class Pending:
    """Hold what waits to be appended to one stream."""

    claims: list[ClaimEntry] = field(default_factory=list)
    voids: list[VoidEntry] = field(default_factory=list)
    outcomes: list[OutcomeEntry] = field(default_factory=list)
    is_marker_due: bool = False

    def is_empty(self) -> bool:
        """Return whether nothing waits."""
        waiting = self.claims or self.voids or self.outcomes or self.is_marker_due
        return not waiting

    def cut(self, vm: Vm) -> ClaimBatch:
        """Take as much as one record holds."""
        room = MAX_CLAIM_RECORD_BYTES
        count = room // (2 * ITEM_BYTES)
        claims, self.claims = self.claims[:count], self.claims[count:]
        voids, self.voids = self.voids[:count], self.voids[count:]
        room -= ITEM_BYTES * (len(claims) + len(voids))
        outcomes: list[OutcomeEntry] = []
        while self.outcomes and len(self.outcomes[0].outcome) + ITEM_BYTES <= room:
            outcomes.append(self.outcomes.pop(0))
            room -= len(outcomes[-1].outcome) + ITEM_BYTES
        self.is_marker_due = False
        return ClaimBatch(
            secrets.token_bytes(NONCE_BYTES),
            vm.settings.name,
            vm.incarnation,
            tuple(claims),
            tuple(voids),
            tuple(outcomes),
        )


@dataclass
class Partition:
    """Hold one `claims` stream as this VM follows and writes it.

    Parameters
    ----------
    changed : anyio.Event
        Set, and replaced, whenever the fold or the health has changed.
    wake : anyio.Event
        Set when something waits to be appended.
    read_failing_ms, write_failing_ms : float or None
        Monotonic times since which reads and appends have failed.
    used_ms : float
        Monotonic time at which a call last needed the partition.
    heard_ms : float
        Monotonic time at which the last record was read.
    """

    number: int
    projection: ClaimProjection = field(default_factory=ClaimProjection)
    pending: Pending = field(default_factory=Pending)
    changed: anyio.Event = field(default_factory=anyio.Event)
    wake: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    is_located: bool = False
    is_writing: bool = False
    read_failing_ms: float | None = None
    write_failing_ms: float | None = None
    last_used_ms: float = 0.0
    written_ms: float = -math.inf
    last_read_ms: float = -math.inf

    @property
    def stream(self) -> str:
        """Return the name of the stream."""
        return stream_of(self.number)

    def is_unavailable(self, now_ms: float) -> bool:
        """Return whether the platform has failed for long enough to say so."""
        return any(
            since_ms is not None and now_ms - since_ms >= CLAIM_LOG_UNAVAILABLE_AFTER_MS
            for since_ms in (self.read_failing_ms, self.write_failing_ms)
        )

    def is_idle(self) -> bool:
        """Return whether nothing waits to be appended."""
        return self.pending.is_empty() and not self.is_writing

    def notify(self) -> None:
        """Wake whoever waits for a change."""
        self.changed.set()
        self.changed = anyio.Event()

    def request_append(self) -> None:
        """Wake the writer."""
        self.wake.set()


async def wait_until(clock: Clock, event: anyio.Event, until_ms: float) -> None:
    """Wait for an event, at most until a monotonic time."""
    async with anyio.create_task_group() as tasks:

        async def end() -> None:
            await clock.sleep_ms(until_ms - clock.now_ms())
            tasks.cancel_scope.cancel()

        tasks.start_soon(end)
        await event.wait()
        tasks.cancel_scope.cancel()


async def run_partition(vm: Vm, part: Partition) -> None:
    """Follow and write one stream until its scope is cancelled."""
    with part.scope:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow, vm, part)
            tasks.start_soon(write, vm, part)


async def follow(vm: Vm, part: Partition) -> None:
    """Apply every record of the stream, for ever."""
    backoff_ms = float(RECONNECT_MIN_MS)
    while True:
        try:
            await read_once(vm, part)
        except PlatformUnavailableError:
            if part.read_failing_ms is None:
                part.read_failing_ms = vm.clock.now_ms()
            part.notify()
            await vm.clock.sleep_ms(backoff_ms)
            backoff_ms = min(backoff_ms * 2, RECONNECT_MAX_MS)
            continue
        backoff_ms = float(RECONNECT_MIN_MS)
        part.read_failing_ms = None
        part.notify()


async def read_once(vm: Vm, part: Partition) -> None:
    """Read from where the last read ended and apply what came."""
    if not part.is_located:
        await locate(vm, part)
    wait_ms = 0 if part.read_failing_ms is not None else CLAIM_POLL_WAIT_MS
    try:
        batch = await vm.platform.read(
            part.stream, part.projection.next_offset, wait_ms=wait_ms
        )
    except TrimmedError as error:
        part.projection.start_at(error.first_offset)
        return
    for record in batch.records:
        part.last_read_ms = vm.clock.now_ms()
        apply(vm, part, record)


def apply(vm: Vm, part: Partition, record: Record) -> None:
    """Apply one record; one that is no batch is left out and recorded."""
    try:
        part.projection.apply(record)
    except CuminstileError as error:
        vm.journal.record(
            Event.CLAIM_RECORD_REFUSED,
            stream=part.stream,
            offset=record.offset,
            reason=error.message,
        )


async def locate(vm: Vm, part: Partition) -> None:
    """Find where the part of the stream begins that a resend can refer to.

    A wrong guess is safe: keys issued before the first record read are refused.
    """
    try:
        probe = await vm.platform.read(part.stream, 0, 1)
        first = 0
    except TrimmedError as error:
        first = error.first_offset
        probe = await vm.platform.read(part.stream, first, 1)
    since_ms = vm.clock.wall_ms() - KEEP_MS
    start = first
    if probe.records and probe.records[0].time_ms < since_ms:
        start = await first_since(vm.platform, part.stream, first, since_ms)
    if start > 0:
        part.projection.start_at(start)
    part.is_located = True


async def first_since(
    platform: PlatformClient, stream: str, old: int, since_ms: int
) -> int:
    """Return an offset shortly before the first record since a time, by bisection.

    `old` is the offset of a record before that time.
    """
    step = 1
    while await is_older(platform, stream, old + step, since_ms):
        old += step
        step *= 2
    new = old + step
    while new - old > 1:
        middle = (old + new) // 2
        if await is_older(platform, stream, middle, since_ms):
            old = middle
        else:
            new = middle
    return old


async def is_older(
    platform: PlatformClient, stream: str, offset: int, since_ms: int
) -> bool:
    """Return whether there is a record at an offset that is older than a time."""
    try:
        found = await platform.read(stream, offset, 1)
    except TrimmedError:
        return True
    return bool(found.records) and found.records[0].time_ms < since_ms


async def write(vm: Vm, part: Partition) -> None:
    """Append what waits, one record at a time, for ever.

    One record at an interval carries all that has come meanwhile, so that appends do
    not grow with the claims.
    """
    while True:
        await part.wake.wait()
        part.wake = anyio.Event()
        due_ms = part.written_ms + CLAIM_APPEND_INTERVAL_MS
        await vm.clock.sleep_ms(due_ms - vm.clock.now_ms())
        while not part.pending.is_empty():
            part.is_writing = True
            part.written_ms = vm.clock.now_ms()
            batch = part.pending.cut(vm)
            await append_batch(vm, part, batch)
            vm.activity.claims -= len(batch.voids) + len(batch.outcomes)
            part.is_writing = False
            due_ms = part.written_ms + CLAIM_APPEND_INTERVAL_MS
            await vm.clock.sleep_ms(due_ms - vm.clock.now_ms())


async def append_batch(vm: Vm, part: Partition, batch: ClaimBatch) -> None:
    """Append one batch until an answer, or the stream itself, shows that it is there.

    Every append carries the same nonce, so that repeated ones do not count.
    """
    payload = BATCH_CODEC.encode(batch)
    backoff_ms = float(RECONNECT_MIN_MS)
    while batch.nonce not in part.projection.seen:
        vm.metrics.claims_appends_total.inc({})
        vm.metrics.claims_appended_bytes_total.add({}, len(payload))
        try:
            await vm.platform.append(part.stream, payload)
            break
        except PlatformUnavailableError:
            if part.write_failing_ms is None:
                part.write_failing_ms = vm.clock.now_ms()
            part.notify()
            await vm.clock.sleep_ms(backoff_ms)
            backoff_ms = min(backoff_ms * 2, RECONNECT_MAX_MS)
    part.write_failing_ms = None
    part.notify()
