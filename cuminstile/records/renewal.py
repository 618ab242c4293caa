"""Append a full copy of the configuration before the platform trims the original."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..const import (
    CONFIG_RENEWAL_CHECK_MS,
    CONFIG_RENEWAL_GRACE_MS,
    CONFIG_RENEWAL_INTERVAL_MS,
    CONFIG_RENEWAL_RECORDS,
    CONFIG_STREAM,
)
from ..events import Event
from ..exceptions import PlatformUnavailableError
from ..rendezvous import rank
from .config_record import RECORD_CODEC
from .configuration import ConfigurationState, make_copy
from .follow import read_configuration

if TYPE_CHECKING:
    from ..runtime import Vm


async def renew_configuration(vm: Vm) -> None:
    """Append a copy of the last accepted version whenever one is due; never returns."""
    due_since_ms: float | None = None
    while True:
        await vm.clock.sleep_ms(CONFIG_RENEWAL_CHECK_MS)
        now_ms = vm.clock.now_ms()
        if not is_due(vm.configuration, vm.clock.wall_ms()):
            due_since_ms = None
            continue
        due_since_ms = now_ms if due_since_ms is None else due_since_ms
        if is_chosen(vm) or now_ms - due_since_ms > CONFIG_RENEWAL_GRACE_MS:
            await append_copy(vm)


def is_due(state: ConfigurationState, wall_ms: int) -> bool:
    """Return whether the record that a new reader starts from may soon be trimmed."""
    if state.head_record is None or not state.head_confirmed:
        return False
    return (
        state.trimmed_to > state.replay_offset
        or state.next_offset - state.replay_offset > CONFIG_RENEWAL_RECORDS
        or wall_ms - state.replay_offset_time_ms > CONFIG_RENEWAL_INTERVAL_MS
    )


def is_chosen(vm: Vm) -> bool:
    """Return whether this VM is the one that should write the copy.

    VMs whose lists of members differ may both write; a second copy does no harm.
    """
    alive = vm.members.alive(vm.clock.now_ms())
    names = [member.name for member in alive if not member.leaving]
    if not vm.leaving:
        names.append(vm.settings.name)
    return rank(CONFIG_STREAM, names)[:1] == (vm.settings.name,)


async def append_copy(vm: Vm) -> None:
    """Append a copy of the last accepted version unless the log has a recent one."""
    state = vm.configuration
    try:
        await read_configuration(vm, 0)
        copy = make_copy(state)
        if copy is None or not is_due(state, vm.clock.wall_ms()):
            return
        offset = await vm.platform.append(CONFIG_STREAM, RECORD_CODEC.encode(copy))
        vm.journal.record(Event.CONFIG_COPIED, version=copy.version, offset=offset)
    except PlatformUnavailableError:
        return  # The next round retries; a copy that is appended twice does no harm.
