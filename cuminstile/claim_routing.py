"""Choose the VM that claims a key, so that few VMs write and read each stream.

This is a preference alone: wherever a key is claimed, its stream decides.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from .calls import StageCall
from .platform.claim_records import key_of, partition_of
from .rendezvous import rank
from .routing import is_leaving, serving
from .vm.sessions import Session

if TYPE_CHECKING:
    from .runtime import Vm


def claimant_for(
    vm: Vm, call: StageCall, may_leave: bool, tried: Sequence[str]
) -> Session | None:
    """Return a session towards the VM that claims the call's key, unless this does.

    `may_leave` tells whether the call may go to another data centre.
    """
    if call.is_handed_over:
        return None
    sessions = [item for item in usable(vm) if item.name not in tried]
    centres = {upstream.data_centre for upstream in serving(vm, call.version)}
    partition = partition_of(key_of(call))
    name = claimant_name(
        partition,
        centres,
        vm.settings.data_centre,
        None if vm.leaving else vm.settings.name,
        sessions,
        may_leave,
    )
    return None if name is None else vm.sessions.by_name.get(name)


def claims_here(vm: Vm, partition: int) -> bool:
    """Return whether other VMs hand a partition's keys to this one."""
    if vm.configuration.current is None or vm.leaving:
        return False
    own = vm.settings
    return any(
        claimant_name(partition, centres, own.data_centre, own.name, usable(vm), True)
        == own.name
        for centres in claiming_data_centres(vm)
    )


def claiming_data_centres(vm: Vm) -> list[set[str]]:
    """Return the data centres that serve each stage which may not be repeated."""
    return [
        {
            upstream.data_centre
            for version in vm.objects.by_stage.get(stage.name, ())
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
    serving = sorted(data_centres)
    candidates = set(reachable) & set(serving)
    if not candidates:
        return None
    home = serving[partition % len(serving)]
    if home in candidates:
        return home
    return rank(f"claims-{partition}", candidates)[0]


def claimant_name(
    partition: int,
    data_centres: Iterable[str],
    own_data_centre: str,
    own_name: str | None,
    sessions: Sequence[Session],
    may_leave: bool,
) -> str | None:
    """Return the VM to which a call goes for its claim, this VM's own name included.

    Parameters
    ----------
    data_centres : iterable of str
        Those that serve the stage.
    own_name : str or None
        This VM, or None while it shuts down.
    sessions : sequence of Session
        With the other VMs that may receive work.
    may_leave : bool
        Whether the call may go to another data centre.
    """
    serving = set(data_centres)
    home: str | None = own_data_centre
    if may_leave:
        reachable = {session.data_centre for session in sessions} | {own_data_centre}
        home = home_data_centre(partition, serving, reachable)
    if home not in serving:
        return None
    names = [item.name for item in sessions if item.data_centre == home]
    if own_name is not None and home == own_data_centre:
        names.append(own_name)
    return rank(f"claims-{partition}", names)[0] if names else None
