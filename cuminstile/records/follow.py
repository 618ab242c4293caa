"""Follow the platform's configuration stream and VM list."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..const import (
    CONFIG_POLL_WAIT_MS,
    CONFIG_STREAM,
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
    VM_LIST_BYTES_PER_S,
    VM_LIST_ENTRY_BYTES,
    VM_LIST_INTERVAL_MS,
)
from ..events import Event
from ..exceptions import CuminstileError, PlatformUnavailableError, TrimmedError
from ..vm.configuration import request_from_newest_peer
from .client import Record
from .configuration import (
    Effect,
    apply_record,
    finish_catching_up,
    is_head_readable,
    skip_gap,
)

if TYPE_CHECKING:
    from ..runtime import Vm


async def follow_configuration(vm: Vm) -> None:
    """Read the configuration stream and apply every record; never returns."""
    backoff_ms = RECONNECT_MIN_MS
    while True:
        try:
            await read_configuration(vm, CONFIG_POLL_WAIT_MS)
        except PlatformUnavailableError as error:
            record_platform_state(vm, error.message)
            await request_from_newest_peer(vm)
            await vm.clock.sleep_ms(backoff_ms)
            backoff_ms = min(backoff_ms * 2, RECONNECT_MAX_MS)
            continue
        backoff_ms = RECONNECT_MIN_MS
        record_platform_state(vm, "")
        if not vm.configuration.head_confirmed or not is_head_readable(
            vm.configuration
        ):
            await request_from_newest_peer(vm)


async def read_configuration(vm: Vm, wait_ms: int) -> None:
    """Read once from the next offset and apply the records.

    Raises
    ------
    PlatformUnavailableError
        If the platform doesn't answer.
    """
    state = vm.configuration
    try:
        batch = await vm.platform.read(
            CONFIG_STREAM,
            state.next_offset,
            wait_ms=wait_ms if state.caught_up else 0,
        )
    except TrimmedError as error:
        vm.journal.record(
            Event.CONFIG_GAP,
            next_offset=state.next_offset,
            first_offset=error.first_offset,
        )
        skip_gap(state, error.first_offset)
        return
    state.trimmed_to = max(state.trimmed_to, batch.first_offset)
    apply_all(vm, batch.records)
    if not batch.records and not state.caught_up:
        finish_catching_up(state)
        record_in_force(vm)


def apply_all(vm: Vm, records: Iterable[Record]) -> None:
    """Apply records in order until one of them moves the offset to continue from."""
    state = vm.configuration
    for record in records:
        apply(vm, record)
        if state.next_offset <= record.offset:
            return


def apply(vm: Vm, record: Record) -> None:
    """Apply one record; one that is malformed or unreadable is logged and skipped."""
    state = vm.configuration
    try:
        effect = apply_record(state, record.offset, record.payload, record.time_ms)
    except CuminstileError as error:
        record_refused(vm, record.offset, error.message)
        return
    if effect == Effect.IN_FORCE and state.caught_up:
        record_in_force(vm)
    elif effect == Effect.UNUSABLE:
        record_refused(vm, record.offset, "accepted, but not readable by this release")
    elif effect == Effect.CONFLICT:
        vm.journal.record(Event.CONFIG_CONFLICT, offset=record.offset, head=state.head)


def record_in_force(vm: Vm) -> None:
    """Log the version in force, if there is one."""
    if vm.configuration.current is not None:
        vm.in_force.update(vm.configuration.version, vm.clock.now_ms())
        vm.journal.record(Event.CONFIG_IN_FORCE, version=vm.configuration.version)


def record_refused(vm: Vm, offset: int, reason: str) -> None:
    """Log that the objects of a record are not used on this VM."""
    vm.journal.record(Event.CONFIG_RECORD_REFUSED, offset=offset, reason=reason)


def record_platform_state(vm: Vm, reason: str) -> None:
    """Log when the platform becomes unavailable and when it is available again."""
    if reason and vm.platform_unavailable_since_ms is None:
        vm.platform_unavailable_since_ms = vm.clock.now_ms()
        vm.journal.record(Event.PLATFORM_LOST, reason=reason)
    elif not reason and vm.platform_unavailable_since_ms is not None:
        away_ms = vm.clock.now_ms() - vm.platform_unavailable_since_ms
        vm.platform_unavailable_since_ms = None
        vm.journal.record(Event.PLATFORM_BACK, away_ms=round(away_ms))


async def follow_vm_list(vm: Vm) -> None:
    """Apply the platform's VM list at intervals; never returns.

    The last list stays in use while the platform is unavailable.
    """
    while True:
        try:
            vm.members.apply_list(await vm.platform.list_vms(), vm.clock.now_ms())
        except PlatformUnavailableError as error:
            record_platform_state(vm, error.message)
        await vm.clock.sleep_ms(list_interval_ms(len(vm.members.by_name)))


def list_interval_ms(vms: int) -> float:
    """Return the interval to read the VM list; a long one is read less often.

    This bounds the bytes per second that the list costs.
    """
    interval_ms = vms * VM_LIST_ENTRY_BYTES / VM_LIST_BYTES_PER_S * 1_000.0
    return max(float(VM_LIST_INTERVAL_MS), interval_ms)
