"""Shares of the VMs of a data centre in the capacity of a warm upstream."""

from .ranking import ranked
from .table import UpstreamState


def share(state: UpstreamState, vms: tuple[str, ...], own: str) -> int:
    """Return how many calls one VM may have in flight at a warm upstream.

    The shares of all VMs add up to the upstream's limit. The VMs that rank first get
    one call more if the limit is not divisible.
    """
    order = ranked(vms, state.name)
    if own not in order:
        return 0
    every, rest = divmod(max(1, int(state.limit)), len(order))
    return every + (order.index(own) < rest)
