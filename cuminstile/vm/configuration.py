"""Exchange the configuration with other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..const import CONFIG_REQUEST_INTERVAL_MS
from ..events import Event
from ..exceptions import CuminstileError
from ..records.config_record import NO_VERSION, RECORD_CODEC, decode
from ..records.configuration import (
    ConfigurationState,
    Effect,
    apply_copy,
    finish_catching_up,
    is_head_readable,
    make_copy,
)
from .messages import ConfigRequest, ConfigResponse

if TYPE_CHECKING:
    from ..runtime import Vm
    from .sessions import Session


async def request_from_newest_peer(vm: Vm) -> None:
    """Request the configuration from a random VM among those with the newest version.

    Sends nothing if no VM has a version that this VM could use. Called while the
    platform is unavailable and after a gap in the stream.
    """
    versions = {
        name: vm.members.by_name[name].config_version
        for name in sorted(vm.sessions.by_name)
        if name in vm.members.by_name
    }
    newest = max(versions.values(), default=NO_VERSION)
    if newest < oldest_useful_version(vm.configuration):
        return
    names = [name for name, version in versions.items() if version == newest]
    await request_configuration(vm, vm.sessions.by_name[vm.random.choice(names)])


def oldest_useful_version(state: ConfigurationState) -> int:
    """Return the oldest version that this VM could use."""
    if state.head_confirmed and is_head_readable(state):
        return state.head + 1
    return max(0, state.head)


async def request_configuration(vm: Vm, session: Session) -> None:
    """Request the configuration from one VM."""
    vm.configuration.last_request_ms = vm.clock.now_ms()
    try:
        await session.send(ConfigRequest(oldest_useful_version(vm.configuration) - 1))
    except CuminstileError:
        return  # The session has just closed; the next round uses another VM.


async def on_newer_version(vm: Vm, session: Session, version: int) -> None:
    """Request a newer version from a VM that reports it while the platform is down."""
    state = vm.configuration
    if vm.platform_unavailable_since_ms is None or version < oldest_useful_version(
        state
    ):
        return
    if vm.clock.now_ms() - state.last_request_ms >= CONFIG_REQUEST_INTERVAL_MS:
        await request_configuration(vm, session)


async def on_config_request(vm: Vm, session: Session, message: ConfigRequest) -> None:
    """Send the last accepted version if it is newer than the requested one."""
    copy = make_copy(vm.configuration)
    if copy is None or copy.version <= message.version:
        return
    await session.send(ConfigResponse(copy.version, RECORD_CODEC.encode(copy)))


async def on_config_response(vm: Vm, session: Session, message: ConfigResponse) -> None:
    """Apply a version that another VM has sent."""
    state = vm.configuration
    try:
        copy = decode(message.payload)
    except CuminstileError as error:
        vm.journal.record(
            Event.PEER_MESSAGE_REFUSED, peer=session.name, reason=error.message
        )
        return
    if copy.version <= NO_VERSION or copy.version != message.version:
        vm.journal.record(
            Event.PEER_MESSAGE_REFUSED, peer=session.name, reason="not a copy"
        )
        return
    effect = apply_copy(state, copy)
    if effect == Effect.NOTHING:
        return
    finish_catching_up(state)
    vm.in_force.update(state.version, vm.clock.now_ms())
    vm.journal.record(
        Event.CONFIG_TAKEN_FROM_PEER,
        peer=session.name,
        version=copy.version,
        usable=effect == Effect.IN_FORCE,
    )
