"""Choose the VM that claims a key, so that few VMs write and read each stream.

This is a preference alone: wherever a key is claimed, its stream decides.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .rendezvous import rank
from .vm.sessions import Session


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
