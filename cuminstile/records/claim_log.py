"""Follow the `claims` streams and append to them in batches."""

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
from .claim_projection import CLAIM_RETENTION_MS, ClaimProjection
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
ENTRY_BYTES = 128


@dataclass
class Pending:
    """Entries waiting to be appended to one stream.

    Parameters
    ----------
    is_marker_due : bool
        Whether to append a batch even if there are no entries.
    """

    claims: list[ClaimEntry] = field(default_factory=list)
    voids: list[VoidEntry] = field(default_factory=list)
    outcomes: list[OutcomeEntry] = field(default_factory=list)
    is_marker_due: bool = False

    def is_empty(self) -> bool:
        """Return whether nothing waits to be appended."""
        waiting = self.claims or self.voids or self.outcomes or self.is_marker_due
        return not waiting

    def next_batch(self, vm: Vm) -> ClaimBatch:
        """Remove and return a batch of as many entries as fit in one record."""
        budget_bytes = MAX_CLAIM_RECORD_BYTES
        count = budget_bytes // (2 * ENTRY_BYTES)
        claims, self.claims = self.claims[:count], self.claims[count:]
        voids, self.voids = self.voids[:count], self.voids[count:]
        budget_bytes -= ENTRY_BYTES * (len(claims) + len(voids))
        outcomes: list[OutcomeEntry] = []
        while (
            self.outcomes
            and len(self.outcomes[0].outcome) + ENTRY_BYTES <= budget_bytes
        ):
            outcomes.append(self.outcomes.pop(0))
            budget_bytes -= len(outcomes[-1].outcome) + ENTRY_BYTES
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
    """One `claims` stream as this VM reads and writes it.

    Parameters
    ----------
    changed : anyio.Event
        Set, and replaced, whenever the projection or the health has changed.
    wake : anyio.Event
        Set when something waits to be appended.
    scope : anyio.CancelScope
        Cancelling it ends reading and writing.
    is_located : bool
        Whether the offset to start reading from has been found.
    read_failing_since_ms, write_failing_since_ms : float or None
        Monotonic times since which reads and appends have failed.
    last_used_ms : float
        Monotonic time at which a call last needed the partition.
    last_append_ms : float
        Monotonic time at which the last append started.
    last_read_ms : float
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
    read_failing_since_ms: float | None = None
    write_failing_since_ms: float | None = None
    last_used_ms: float = 0.0
    last_append_ms: float = -math.inf
    last_read_ms: float = -math.inf

    @property
    def stream(self) -> str:
        """Return the name of the stream."""
        return stream_of(self.number)

    def is_unavailable(self, now_ms: float) -> bool:
        """Return whether reads or appends have failed for the tolerated time."""
        return any(
            since_ms is not None and now_ms - since_ms >= CLAIM_LOG_UNAVAILABLE_AFTER_MS
            for since_ms in (self.read_failing_since_ms, self.write_failing_since_ms)
        )

    def is_idle(self) -> bool:
        """Return whether no append is waiting or in progress."""
        return self.pending.is_empty() and not self.is_writing

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self.changed.set()
        self.changed = anyio.Event()

    def request_append(self) -> None:
        """Wake the writer."""
        self.wake.set()


async def wait_until(clock: Clock, event: anyio.Event, until_ms: float) -> None:
    """Wait for an event, until a monotonic time at most."""
    async with anyio.create_task_group() as tasks:

        async def end() -> None:
            await clock.sleep_ms(until_ms - clock.now_ms())
            tasks.cancel_scope.cancel()

        tasks.start_soon(end)
        await event.wait()
        tasks.cancel_scope.cancel()


async def run_partition(vm: Vm, partition: Partition) -> None:
    """Read and write one stream until its scope is cancelled."""
    with partition.scope:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow, vm, partition)
            tasks.start_soon(write, vm, partition)


async def follow(vm: Vm, partition: Partition) -> None:
    """Read the stream and apply every record; never returns."""
    backoff_ms = float(RECONNECT_MIN_MS)
    while True:
        try:
            await read_once(vm, partition)
        except PlatformUnavailableError:
            if partition.read_failing_since_ms is None:
                partition.read_failing_since_ms = vm.clock.now_ms()
            partition.notify()
            await vm.clock.sleep_ms(backoff_ms)
            backoff_ms = min(backoff_ms * 2, RECONNECT_MAX_MS)
            continue
        backoff_ms = float(RECONNECT_MIN_MS)
        partition.read_failing_since_ms = None
        partition.notify()


async def read_once(vm: Vm, partition: Partition) -> None:
    """Read from the next offset and apply the records."""
    if not partition.is_located:
        await locate(vm, partition)
    wait_ms = 0 if partition.read_failing_since_ms is not None else CLAIM_POLL_WAIT_MS
    try:
        batch = await vm.platform.read(
            partition.stream, partition.projection.next_offset, wait_ms=wait_ms
        )
    except TrimmedError as error:
        partition.projection.start_at(error.first_offset)
        return
    for record in batch.records:
        partition.last_read_ms = vm.clock.now_ms()
        apply(vm, partition, record)


def apply(vm: Vm, partition: Partition, record: Record) -> None:
    """Apply one record; one that is not a batch is logged and skipped."""
    try:
        partition.projection.apply(record)
    except CuminstileError as error:
        vm.journal.record(
            Event.CLAIM_RECORD_REFUSED,
            stream=partition.stream,
            offset=record.offset,
            reason=error.message,
        )


async def locate(vm: Vm, partition: Partition) -> None:
    """Find the offset to start from: the oldest record that a resend can refer to.

    An offset that is too late is safe, because keys issued before the first record
    read are refused.
    """
    try:
        probe = await vm.platform.read(partition.stream, 0, 1)
        first = 0
    except TrimmedError as error:
        first = error.first_offset
        probe = await vm.platform.read(partition.stream, first, 1)
    since_ms = vm.clock.wall_ms() - CLAIM_RETENTION_MS
    start = first
    if probe.records and probe.records[0].time_ms < since_ms:
        start = await first_since(vm.platform, partition.stream, first, since_ms)
    if start > 0:
        partition.projection.start_at(start)
    partition.is_located = True


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
    """Return whether the record at an offset was trimmed or is older than a time."""
    try:
        found = await platform.read(stream, offset, 1)
    except TrimmedError:
        return True
    return bool(found.records) and found.records[0].time_ms < since_ms


async def write(vm: Vm, partition: Partition) -> None:
    """Append pending entries, one record at a time; never returns.

    One record per interval carries all entries added since the last one, so that
    the number of appends does not grow with the number of claims.
    """
    while True:
        await partition.wake.wait()
        partition.wake = anyio.Event()
        due_ms = partition.last_append_ms + CLAIM_APPEND_INTERVAL_MS
        await vm.clock.sleep_ms(due_ms - vm.clock.now_ms())
        while not partition.pending.is_empty():
            partition.is_writing = True
            partition.last_append_ms = vm.clock.now_ms()
            batch = partition.pending.next_batch(vm)
            await append_batch(vm, partition, batch)
            vm.activity.claims -= len(batch.voids) + len(batch.outcomes)
            partition.is_writing = False
            due_ms = partition.last_append_ms + CLAIM_APPEND_INTERVAL_MS
            await vm.clock.sleep_ms(due_ms - vm.clock.now_ms())


async def append_batch(vm: Vm, partition: Partition, batch: ClaimBatch) -> None:
    """Append one batch, with retries, until it is acknowledged or read back.

    Every append carries the same nonce, so that duplicates are ignored.
    """
    payload = BATCH_CODEC.encode(batch)
    backoff_ms = float(RECONNECT_MIN_MS)
    while batch.nonce not in partition.projection.applied_nonces:
        vm.metrics.claims_appends_total.inc({})
        vm.metrics.claims_appended_bytes_total.add({}, len(payload))
        try:
            await vm.platform.append(partition.stream, payload)
            break
        except PlatformUnavailableError:
            if partition.write_failing_since_ms is None:
                partition.write_failing_since_ms = vm.clock.now_ms()
            partition.notify()
            await vm.clock.sleep_ms(backoff_ms)
            backoff_ms = min(backoff_ms * 2, RECONNECT_MAX_MS)
    partition.write_failing_since_ms = None
    partition.notify()
