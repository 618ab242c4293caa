"""Choose the VM that claims a key, so that few VMs write and read each stream.

The choice is only a preference. Any VM may claim a key; the order of records in the
key's stream decides which claim is effective.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from .calls import StageCall
from .records.claim_records import key_of, partition_of
from .rendezvous import rank
from .routing import is_leaving, serving_upstreams
from .upstream import limits
from .upstream.peers import working_here
from .upstream.shares import share
from .upstream.table import Condition, UpstreamState
from .vm.sessions import Session

if TYPE_CHECKING:
    from .runtime import Vm


def choose_claimant(
    vm: Vm,
    call: StageCall,
    can_run_here: bool,
    local: Sequence[UpstreamState],
    tried: Sequence[str],
) -> Session | None:
    """Return a session with the VM that should claim the call's key.

    Returns None if this VM should claim it or no suitable VM is connected. A call
    forwarded by another data centre is claimed in this one.
    """
    partition = partition_of(key_of(call))
    sessions = [item for item in usable_sessions(vm) if item.name not in tried]
    own = vm.settings
    if not call.handed_over:
        centres = {
            upstream.data_centre for upstream in serving_upstreams(vm, call.version)
        }
        reachable = {session.data_centre for session in sessions}
        if can_run_here or reachable & {own.data_centre}:
            reachable.add(own.data_centre)
        home = home_data_centre(partition, centres, reachable)
        if home != own.data_centre:
            return first_session(partition, sessions, home)
    names = eligible_vms(vm, call, local)
    eligible = [session for session in sessions if session.name in names]
    session = first_session(partition, eligible, own.data_centre)
    if can_run_here and session is not None:
        stays = own.name == rank(hash_key(partition), (own.name, session.name))[0]
        return None if stays and not vm.leaving else session
    return session


def eligible_vms(
    vm: Vm, call: StageCall, local: Sequence[UpstreamState]
) -> frozenset[str]:
    """Return the local VMs that own an upstream or have a share of its capacity."""
    working = working_here(vm)
    sharing = {
        name
        for name in working
        for state in local
        if state.condition is Condition.WARM and share(state, working, name) > 0
    }
    return limits.serving_vms(vm, call, local) | sharing


def first_session(
    partition: int, sessions: Sequence[Session], data_centre: str | None
) -> Session | None:
    """Return the session with a data centre's highest-ranked VM, if there is one."""
    by_name = {item.name: item for item in sessions if item.data_centre == data_centre}
    if not by_name:
        return None
    return by_name[rank(hash_key(partition), by_name)[0]]


def hash_key(partition: int) -> str:
    """Return the key of a partition for rendezvous hashing."""
    return f"claims-{partition}"


def is_preferred_claimant(vm: Vm, partition: int) -> bool:
    """Return whether other VMs forward a partition's calls to this one."""
    if vm.configuration.current is None or vm.leaving:
        return False
    own = vm.settings
    sessions = usable_sessions(vm)
    reachable = {session.data_centre for session in sessions} | {own.data_centre}
    homes = {
        home_data_centre(partition, centres, reachable)
        for centres in claiming_data_centres(vm)
    }
    names = [item.name for item in sessions if item.data_centre == own.data_centre]
    first = rank(hash_key(partition), (*names, own.name))[0]
    return own.data_centre in homes and first == own.name


def claiming_data_centres(vm: Vm) -> list[set[str]]:
    """Return the serving data centres of each non-repeatable stage."""
    return [
        {
            upstream.data_centre
            for version in vm.objects.versions_by_stage.get(stage.name, ())
            for upstream in serving_upstreams(vm, version.name)
        }
        for stage in vm.objects.stages.values()
        if not stage.repeatable
    ]


def usable_sessions(vm: Vm) -> list[Session]:
    """Return the sessions with VMs that are not shutting down."""
    sessions = vm.sessions.by_name.values()
    return [session for session in sessions if not is_leaving(vm, session)]


def home_data_centre(
    partition: int, data_centres: Iterable[str], reachable: Iterable[str]
) -> str | None:
    """Return the data centre that claims a partition's keys, if one is reachable.

    The partitions are divided evenly among the data centres that serve.
    """
    every = sorted(data_centres)
    candidates = set(reachable) & set(every)
    if not candidates:
        return None
    home = every[partition % len(every)]
    if home in candidates:
        return home
    return rank(hash_key(partition), candidates)[0]
