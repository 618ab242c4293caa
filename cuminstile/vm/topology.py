"""Decide which VMs keep a session with each other.

Within a data centre every two VMs do. Between data centres each VM picks a few
delegates of every other one, so that the number of sessions grows with the
number of data centres and not with the number of VMs.
"""

from collections.abc import Iterable

from ..rendezvous import rank
from .membership import Member

DELEGATES = 2


def needs_session(
    own_name: str, own_data_centre: str, other: Member, members: Iterable[Member]
) -> bool:
    """Return whether this VM and `other` keep a session.

    Both sides come to the same answer from the same list of VMs; where the lists
    differ for a while, a session more or less does no harm.
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
    return candidate in rank(name, names)[:DELEGATES]
