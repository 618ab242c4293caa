"""Divide what a warm upstream bears between the VMs of its data centre."""

from .ranking import ranked
from .table import UpstreamState


def share(state: UpstreamState, vms: tuple[str, ...], own: str) -> int:
    """Return how many calls one VM may have in flight at a warm upstream.

    The shares of all VMs add up to the upstream's limit; those ranked first get what
    does not divide.
    """
    order = ranked(vms, state.name)
    if own not in order:
        return 0
    every, rest = divmod(max(1, int(state.limit)), len(order))
    return every + (order.index(own) < rest)
