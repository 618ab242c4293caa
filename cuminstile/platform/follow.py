"""Follow the platform's configuration stream and VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..const import (
    CONFIG_POLL_WAIT_MS,
    CONFIG_STREAM,
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
    VM_LIST_INTERVAL_MS,
)
from ..events import Event
from ..exceptions import CuminstileError, PlatformAwayError, TrimmedError
from .client import Record
from .configuration import accept

if TYPE_CHECKING:
    from ..runtime import Vm


async def follow_configuration(vm: Vm) -> None:
    """Apply every record of the configuration stream, for ever."""
    backoff_ms = RECONNECT_MIN_MS
    while True:
        try:
            await read_configuration(vm, CONFIG_POLL_WAIT_MS)
        except PlatformAwayError as error:
            note_platform(vm, error.message)
            await vm.clock.sleep_ms(backoff_ms)
            backoff_ms = min(backoff_ms * 2, RECONNECT_MAX_MS)
            continue
        backoff_ms = RECONNECT_MIN_MS
        note_platform(vm, "")


async def read_configuration(vm: Vm, wait_ms: int) -> None:
    """Read once from where the last read ended and apply what came."""
    state = vm.configuration
    try:
        batch = await vm.platform.read(
            CONFIG_STREAM, state.next_offset, wait_ms=wait_ms
        )
    except TrimmedError as error:
        state.next_offset = error.first_offset
        return
    for record in batch.records:
        apply(vm, record)


def apply(vm: Vm, record: Record) -> None:
    """Apply one record; one that is unusable is left out and recorded."""
    try:
        if accept(vm.configuration, record.offset, record.payload):
            vm.journal.record(Event.CONFIG_IN_FORCE, version=record.offset)
    except CuminstileError as error:
        vm.journal.record(
            Event.CONFIG_RECORD_REFUSED, offset=record.offset, reason=error.message
        )


def note_platform(vm: Vm, reason: str) -> None:
    """Record when the platform goes away and when it is back."""
    if reason and vm.platform_away_since_ms is None:
        vm.platform_away_since_ms = vm.clock.now_ms()
        vm.journal.record(Event.PLATFORM_LOST, reason=reason)
    elif not reason and vm.platform_away_since_ms is not None:
        away_ms = vm.clock.now_ms() - vm.platform_away_since_ms
        vm.platform_away_since_ms = None
        vm.journal.record(Event.PLATFORM_BACK, away_ms=round(away_ms))


async def follow_vm_list(vm: Vm) -> None:
    """Take over the platform's VM list, for ever; an old list is kept."""
    while True:
        try:
            vm.members.take_list(await vm.platform.list_vms(), vm.clock.now_ms())
        except PlatformAwayError as error:
            note_platform(vm, error.message)
        await vm.clock.sleep_ms(VM_LIST_INTERVAL_MS)
