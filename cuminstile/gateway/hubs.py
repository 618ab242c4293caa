"""Choose to which VMs a VM sends its heartbeats.

Designed for hundreds of VMs: if each sent to each, the heartbeats would cost most of
the processor time and of the traffic between data centres. The first VMs of each data
centre are hubs: they send to all VMs, and all VMs send to them. A VM that hears too few
hubs of its data centre acts as one itself, so that the loss of hubs mends itself. Does
no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

from .duties import duty_key
from .messages import Heartbeat

HUBS_PER_DATA_CENTRE = 2
"""Hubs of a data centre; one can fail unnoticed."""
FULL_MESH_VMS = 12
"""Largest fleet in which each VM sends to each."""


def hub_addresses(members: Iterable[Heartbeat]) -> set[str]:
    """Return the addresses of the hubs among VMs."""
    counts: dict[str, int] = {}
    hubs: set[str] = set()
    for member in sorted(members, key=duty_key):
        count = counts.get(member.data_centre, 0)
        if count < HUBS_PER_DATA_CENTRE:
            hubs.add(member.address)
        counts[member.data_centre] = count + 1
    return hubs


def heartbeat_targets(
    own: Heartbeat, live: Iterable[Heartbeat], peers: Iterable[str]
) -> list[str]:
    """Return the addresses to which a VM sends its heartbeats.

    Parameters
    ----------
    live : iterable of Heartbeat
        The heartbeats of the live VMs that this one hears.
    peers : iterable of str
        The addresses of all other VMs, silent ones among them.
    """
    addresses = list(peers)
    if len(addresses) < FULL_MESH_VMS:
        return addresses
    hubs = hub_addresses((own, *live))
    if own.address in hubs:
        return addresses
    return [address for address in addresses if address in hubs]
