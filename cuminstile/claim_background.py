"""Background loop of the claims: follow claim streams and drop expired claims."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from .claim_routing import is_preferred_claimant
from .const import (
    CALLER_CLOCK_SKEW_MS,
    CLAIM_MARKER_INTERVAL_MS,
    CLAIM_PARTITION_IDLE_LIMIT_MS,
    CLAIM_PARTITIONS,
    CLAIM_POLL_WAIT_MS,
    RESEND_WINDOW_MS,
)
from .exceptions import PlatformUnavailableError
from .records.claim_log import Partition, run_partition

if TYPE_CHECKING:
    from .runtime import Vm


async def run_claims_loop(vm: Vm) -> None:
    """Follow claim streams and drop expired claims; runs until cancelled."""
    async with anyio.create_task_group() as tasks:
        vm.claims.tasks = tasks
        for partition in vm.claims.partitions.values():
            # Restarts streams that were followed before an unexpected error.
            partition.scope = anyio.CancelScope()
            tasks.start_soon(run_partition, vm, partition)
        while True:
            drop_expired_claims(vm)
            follow_preferred_streams(vm)
            unfollow_unused_streams(vm)
            await vm.clock.sleep_ms(CLAIM_POLL_WAIT_MS)


def drop_expired_claims(vm: Vm) -> None:
    """Drop finished claims that are too old for any resend to refer to."""
    oldest_ms = vm.clock.now_ms() - RESEND_WINDOW_MS - 2 * CALLER_CLOCK_SKEW_MS
    for claim_id, held in tuple(vm.claims.held.items()):
        if held.finished_ms < oldest_ms:
            del vm.claims.held[claim_id]


def follow_preferred_streams(vm: Vm) -> None:
    """Follow the streams that this VM claims on, and write markers to idle ones.

    If all records of a stream have been trimmed, nothing is known about keys issued
    before its next record. So a marker is written ahead of the first claim.
    """
    for number in range(CLAIM_PARTITIONS):
        if not is_preferred_claimant(vm, number):
            continue
        partition = use_partition(vm, number)
        now_ms = vm.clock.now_ms()
        if (
            now_ms - partition.last_read_ms >= CLAIM_MARKER_INTERVAL_MS
            and partition.is_idle()
        ):
            partition.pending.is_marker_due = True
            partition.request_append()


def unfollow_unused_streams(vm: Vm) -> None:
    """Stop following idle streams unused for `CLAIM_PARTITION_IDLE_LIMIT_MS`."""
    oldest_ms = vm.clock.now_ms() - CLAIM_PARTITION_IDLE_LIMIT_MS
    busy = {
        held.partition.number
        for held in vm.claims.held.values()
        if not held.is_finished()
    }
    for number, partition in tuple(vm.claims.partitions.items()):
        if (
            partition.last_used_ms < oldest_ms
            and partition.is_idle()
            and number not in busy
        ):
            partition.scope.cancel()
            del vm.claims.partitions[number]


def use_partition(vm: Vm, number: int) -> Partition:
    """Return a partition; start following its stream if it is not followed yet."""
    claims = vm.claims
    partition = claims.partitions.get(number)
    if partition is None:
        if claims.tasks is None:
            raise PlatformUnavailableError(
                "claim streams are not followed yet; the key is not claimed"
            )
        partition = Partition(number)
        claims.partitions[number] = partition
        claims.tasks.start_soon(run_partition, vm, partition)
    partition.last_used_ms = vm.clock.now_ms()
    return partition
