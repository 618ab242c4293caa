"""Readiness of this VM: whether the load balancer should send it requests."""

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
    """Return why this VM should get no requests; empty if it is ready.

    A VM that joins others waits until it may call cold upstreams and can forward the
    calls that it does not make itself. If every other VM of its data centre is recently
    started too or dead, no other VM could serve earlier, so the VM is ready at once.
    """
    if vm.leaving:
        return "leaving"
    if vm.configuration.current is None:
        return "no configuration"
    if is_recently_started(vm) and not all_others_recently_started(vm):
        return "joining"
    if is_connecting(vm):
        return "connecting"
    return ""


def all_others_recently_started(vm: Vm) -> bool:
    """Return whether all other VMs of the data centre are recently started or dead."""
    now_ms = vm.clock.now_ms()
    others = known_here(vm) - {vm.settings.name}
    return all(
        is_other_recently_started(vm, other, now_ms) or is_dead(vm, other, now_ms)
        for other in others
    )


def is_other_recently_started(vm: Vm, other: str, now_ms: float) -> bool:
    """Return whether another VM reported lately that it is recently started."""
    return vm.leases.recently_started_until_ms.get(other, NEVER_MS) > now_ms


def is_connecting(vm: Vm) -> bool:
    """Return whether a first session is missing that is likely to open soon."""
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
