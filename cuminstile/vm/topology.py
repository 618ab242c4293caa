"""Decide which VMs have a session with each other.

Within a data centre the VMs form a full mesh. Between data centres each VM picks a
few delegates in every other data centre, so that its number of sessions grows with
the number of data centres and not with the number of VMs.
"""

from collections.abc import Iterable

from ..rendezvous import rank
from .membership import Member

DELEGATES_PER_DATA_CENTRE = 2


def needs_session(
    own_name: str, own_data_centre: str, other: Member, members: Iterable[Member]
) -> bool:
    """Return whether this VM and `other` need a session.

    Both sides get the same result from the same list of VMs. While their lists
    differ, an extra or a missing session does no harm.
    """
    if other.data_centre == own_data_centre:
        return True
    every = tuple(members)
    there = {item.name for item in every if item.data_centre == other.data_centre}
    here = {item.name for item in every if item.data_centre == own_data_centre}
    here.add(own_name)
    return is_delegate(own_name, other.name, there) or is_delegate(
        other.name, own_name, here
    )


def is_delegate(name: str, candidate: str, names: Iterable[str]) -> bool:
    """Return whether `candidate` is among the delegates that `name` picks."""
    return candidate in rank(name, names)[:DELEGATES_PER_DATA_CENTRE]
