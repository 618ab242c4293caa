"""Give the configuration to other VMs, and take it from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import Event
from ..exceptions import CuminstileError
from ..platform.configuration import (
    NO_VERSION,
    RECORDS,
    Effect,
    decode,
    finish_catching_up,
    make_copy,
    take_copy,
)
from .messages import ConfigAsk, ConfigGive

if TYPE_CHECKING:
    from ..runtime import Vm
    from .sessions import Session


async def ask_peer(vm: Vm) -> None:
    """Ask one other VM for its configuration if it may help this one.

    Used while the platform is away, and after a gap in the stream.
    """
    state = vm.configuration
    least = state.head + 1 if state.anchored else max(0, state.head)
    helpful = [
        session
        for name, session in sorted(vm.sessions.by_name.items())
        if name in vm.members.by_name
        and vm.members.by_name[name].config_version >= least
    ]
    if not helpful:
        return
    session = vm.random.choice(helpful)
    try:
        await session.send(ConfigAsk(least - 1))
    except CuminstileError:
        return  # The session has just closed; the next round asks another VM.


async def on_config_ask(vm: Vm, session: Session, message: ConfigAsk) -> None:
    """Give the version accepted last if it is newer than the one that is named."""
    copy = make_copy(vm.configuration)
    if copy is None or copy.version <= message.version:
        return
    await session.send(ConfigGive(copy.version, RECORDS.encode(copy)))


async def on_config_give(vm: Vm, session: Session, message: ConfigGive) -> None:
    """Take over a version that another VM has given."""
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
    effect = take_copy(state, copy)
    if effect == Effect.NOTHING:
        return
    finish_catching_up(state)
    vm.journal.record(
        Event.CONFIG_TAKEN_FROM_PEER,
        peer=session.name,
        version=copy.version,
        usable=effect == Effect.IN_FORCE,
    )
