"""Run what the claims need in the background: streams followed, old claims dropped."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from .claim_routing import claims_here
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
    """Run what the claims need in the background, for ever."""
    async with anyio.create_task_group() as tasks:
        vm.claims.tasks = tasks
        for part in vm.claims.partitions.values():
            # They were followed before an unexpected error ended that.
            part.scope = anyio.CancelScope()
            tasks.start_soon(run_partition, vm, part)
        while True:
            forget_finished(vm)
            follow_own(vm)
            leave_unused(vm)
            await vm.clock.sleep_ms(CLAIM_POLL_WAIT_MS)


def forget_finished(vm: Vm) -> None:
    """Forget claims so old that no resend can ask for them."""
    oldest_ms = vm.clock.now_ms() - RESEND_WINDOW_MS - 2 * CALLER_CLOCK_SKEW_MS
    for name, held in tuple(vm.claims.held.items()):
        if held.finished_ms < oldest_ms:
            del vm.claims.held[name]


def follow_own(vm: Vm) -> None:
    """Follow the streams that this VM is to claim on, and keep them from running dry.

    A stream whose records have all been trimmed tells nothing of keys issued before
    its next record, so that record is written ahead of the first claim.
    """
    for number in range(CLAIM_PARTITIONS):
        if not claims_here(vm, number):
            continue
        part = use_partition(vm, number)
        now_ms = vm.clock.now_ms()
        if now_ms - part.last_read_ms >= CLAIM_MARKER_INTERVAL_MS and part.is_idle():
            part.pending.is_marker_due = True
            part.request_append()


def leave_unused(vm: Vm) -> None:
    """Stop following streams that no call has needed for long."""
    oldest_ms = vm.clock.now_ms() - CLAIM_PARTITION_IDLE_LIMIT_MS
    busy = {
        held.part.number for held in vm.claims.held.values() if not held.is_finished()
    }
    for number, part in tuple(vm.claims.partitions.items()):
        if part.last_used_ms < oldest_ms and part.is_idle() and number not in busy:
            part.scope.cancel()
            del vm.claims.partitions[number]


def use_partition(vm: Vm, number: int) -> Partition:
    """Return a partition, which this VM follows from now on."""
    claims = vm.claims
    part = claims.partitions.get(number)
    if part is None:
        if claims.tasks is None:
            raise PlatformUnavailableError("the claims are not followed yet")
        part = Partition(number)
        claims.partitions[number] = part
        claims.tasks.start_soon(run_partition, vm, part)
    part.last_used_ms = vm.clock.now_ms()
    return part
