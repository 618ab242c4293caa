"""The VMs of this VM's data centre, which share its upstreams.

Functions with `_here` in their names cover only this VM's data centre.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..exceptions import CuminstileError
from ..objects.model import Upstream
from ..vm.sessions import Session
from ..wire import Message
from .ranking import ranked

if TYPE_CHECKING:
    from ..runtime import Vm


WORKING_CACHE_MS = 20
GONE_AFTER_MS = 1_000
FROZEN_AFTER_MS = 2_500


def alive_here(vm: Vm) -> frozenset[str]:
    """Return the live VMs of this data centre, including this VM.

    A VM that keeps its session but sends nothing is frozen; when it resumes it discards
    what it knew. A VM without a session may be about to reconnect.
    """
    now_ms = vm.clock.now_ms()
    own = vm.settings
    names = {own.name}
    for member in vm.members.by_name.values():
        if member.data_centre != own.data_centre:
            continue
        connected = member.name in vm.sessions.by_name
        limit_ms = FROZEN_AFTER_MS if connected else GONE_AFTER_MS
        if now_ms - member.last_seen_ms <= limit_ms:
            names.add(member.name)
    return frozenset(names)


def known_here(vm: Vm) -> frozenset[str]:
    """Return the VMs of this data centre that are live or in the VM list."""
    own = vm.settings.data_centre
    every = vm.members.by_name.values()
    listed = {item.name for item in every if item.data_centre == own and item.listed}
    return alive_here(vm) | listed


def working_here(vm: Vm) -> tuple[str, ...]:
    """Return the VMs of this data centre that take part in the work, sorted by name.

    The result is cached for `WORKING_CACHE_MS`. Shares and ownership depend on it, but
    no lease does.
    """
    table = vm.upstreams
    now_ms = vm.clock.now_ms()
    if now_ms - table.working_ms >= WORKING_CACHE_MS:
        table.working = present_here(vm)
        table.working_ms = now_ms
    return table.working


def present_here(vm: Vm) -> tuple[str, ...]:
    """Return the live VMs that are not leaving, sorted by name; if all leave, all."""
    names = alive_here(vm)
    members = vm.members.by_name
    leaving = {name for name in names if name in members and members[name].leaving}
    if vm.leaving:
        leaving.add(vm.settings.name)
    return tuple(sorted(names - leaving or names))


def owner_of(vm: Vm, upstream: str) -> str:
    """Return the VM that polls an upstream, and leases it while it is cold."""
    return ranked(working_here(vm), upstream)[0]


def is_owner(vm: Vm, upstream: str) -> bool:
    """Return whether this VM owns an upstream."""
    return owner_of(vm, upstream) == vm.settings.name


def upstreams_here(vm: Vm) -> tuple[Upstream, ...]:
    """Return the upstreams of this data centre; none without a configuration."""
    if vm.configuration.current is None:
        return ()
    every = vm.objects.upstreams.values()
    own = vm.settings.data_centre
    return tuple(item for item in every if item.data_centre == own)


def sessions_here(vm: Vm) -> tuple[Session, ...]:
    """Return the open sessions with VMs of this data centre."""
    return vm.sessions.of_data_centre(vm.settings.data_centre)


async def send_each(sessions: Iterable[Session], message: Message) -> None:
    """Send one message over several sessions; skip those on which sending fails."""
    for session in tuple(sessions):
        try:
            await session.send(message)
        except CuminstileError:
            continue
