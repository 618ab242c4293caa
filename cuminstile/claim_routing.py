"""Choose the VM that claims a key, so that few VMs write and read each stream.

This is a preference alone: wherever a key is claimed, its stream decides.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from .calls import StageCall
from .records.claim_records import key_of, partition_of
from .rendezvous import rank
from .routing import is_leaving, serving
from .upstream import limits
from .upstream.peers import working_here
from .upstream.shares import share
from .upstream.table import Condition, UpstreamState
from .vm.sessions import Session

if TYPE_CHECKING:
    from .runtime import Vm


def claimant_for(
    vm: Vm,
    call: StageCall,
    may_run_here: bool,
    local: Sequence[UpstreamState],
    tried: Sequence[str],
) -> Session | None:
    """Return a session towards the VM that claims the call's key, unless this does.

    A call that another data centre has handed over stays in this one.
    """
    partition = partition_of(key_of(call))
    sessions = [item for item in usable(vm) if item.name not in tried]
    own = vm.settings
    if not call.handed_over:
        centres = {upstream.data_centre for upstream in serving(vm, call.version)}
        reachable = {session.data_centre for session in sessions}
        if may_run_here or reachable & {own.data_centre}:
            reachable.add(own.data_centre)
        home = home_data_centre(partition, centres, reachable)
        if home != own.data_centre:
            return first_of(partition, sessions, home)
    names = able_vms(vm, call, local)
    able = [session for session in sessions if session.name in names]
    session = first_of(partition, able, own.data_centre)
    if may_run_here and session is not None:
        stays = own.name == rank(text_of(partition), (own.name, session.name))[0]
        return None if stays and not vm.leaving else session
    return session


def able_vms(vm: Vm, call: StageCall, local: Sequence[UpstreamState]) -> frozenset[str]:
    """Return the VMs here that may call an upstream: by a share, or as its owner."""
    working = working_here(vm)
    sharing = {
        name
        for name in working
        for state in local
        if state.condition is Condition.WARM and share(state, working, name) > 0
    }
    return limits.serving_vms(vm, call, local) | sharing


def first_of(
    partition: int, sessions: Sequence[Session], data_centre: str | None
) -> Session | None:
    """Return the session with the VM of a data centre that comes first."""
    by_name = {item.name: item for item in sessions if item.data_centre == data_centre}
    if not by_name:
        return None
    return by_name[rank(text_of(partition), by_name)[0]]


def text_of(partition: int) -> str:
    """Return what stands for a partition in rendezvous hashing."""
    return f"claims-{partition}"


def claims_here(vm: Vm, partition: int) -> bool:
    """Return whether other VMs hand a partition's keys to this one."""
    if vm.configuration.current is None or vm.leaving:
        return False
    own = vm.settings
    sessions = usable(vm)
    reachable = {session.data_centre for session in sessions} | {own.data_centre}
    homes = {
        home_data_centre(partition, centres, reachable)
        for centres in claiming_data_centres(vm)
    }
    names = [item.name for item in sessions if item.data_centre == own.data_centre]
    first = rank(text_of(partition), (*names, own.name))[0]
    return own.data_centre in homes and first == own.name


def claiming_data_centres(vm: Vm) -> list[set[str]]:
    """Return the data centres that serve each stage which may not be repeated."""
    return [
        {
            upstream.data_centre
            for version in vm.objects.versions_by_stage.get(stage.name, ())
            for upstream in serving(vm, version.name)
        }
        for stage in vm.objects.stages.values()
        if not stage.repeatable
    ]


def usable(vm: Vm) -> list[Session]:
    """Return the sessions with VMs that may receive work."""
    sessions = vm.sessions.by_name.values()
    return [session for session in sessions if not is_leaving(vm, session)]


def home_data_centre(
    partition: int, data_centres: Iterable[str], reachable: Iterable[str]
) -> str | None:
    """Return the data centre that claims a partition's keys, if any is reachable.

    Every data centre that serves gets the same number of partitions.
    """
    every = sorted(data_centres)
    candidates = set(reachable) & set(every)
    if not candidates:
        return None
    home = every[partition % len(every)]
    if home in candidates:
        return home
    return rank(text_of(partition), candidates)[0]
