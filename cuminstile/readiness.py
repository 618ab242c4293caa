"""Tell whether the balancer should send requests to this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .upstream.leases import is_recently_started
from .upstream.peer_probes import is_dead
from .upstream.peers import known_here
from .upstream.table import NEVER_MS
from .vm.topology import needs_session

if TYPE_CHECKING:
    from .runtime import Vm

CONNECT_LIMIT_MS = 2_000


def unready_reason(vm: Vm) -> str:
    """Return why this VM should get no requests; empty if it should.

    A VM that joins others waits until it may call cold upstreams and can hand over
    what it does not call itself. Where every other VM of its data centre is as young
    or dead, nobody would serve any sooner, and requests may as well wait here.
    """
    if vm.leaving:
        return "leaving"
    if vm.configuration.current is None:
        return "no configuration"
    if is_recently_started(vm) and not starts_afresh(vm):
        return "joining"
    if is_connecting(vm):
        return "connecting"
    return ""


def starts_afresh(vm: Vm) -> bool:
    """Return whether every other VM of the data centre is as young as this, or dead."""
    now_ms = vm.clock.now_ms()
    others = known_here(vm) - {vm.settings.name}
    return all(
        is_as_young(vm, other, now_ms) or is_dead(vm, other, now_ms) for other in others
    )


def is_as_young(vm: Vm, other: str, now_ms: float) -> bool:
    """Return whether another VM has said lately that it is as young as this one."""
    return vm.leases.recently_started_until_ms.get(other, NEVER_MS) > now_ms


def is_connecting(vm: Vm) -> bool:
    """Return whether a first session is missing that may well come about soon."""
    now_ms = vm.clock.now_ms()
    if now_ms >= vm.leases.abstains_until_ms + CONNECT_LIMIT_MS:
        return False
    own = vm.settings
    members = tuple(vm.members.by_name.values())
    return any(
        needs_session(own.name, own.data_centre, member, members)
        for member in members
        if member.listed
        and member.last_seen_ms == NEVER_MS
        and not is_dead(vm, member.name, now_ms)
    )
