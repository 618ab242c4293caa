"""Decide which VMs read the store, and when the others read it themselves.

Designed for hundreds of VMs that would each follow the store alone. A few VMs read it
and pass on what they read. The others read it only if nothing was passed on for a
while, so that VMs which lose the readers go on. Does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .duties import duty_key
from .messages import Heartbeat

READERS = 2
"""VMs that always read; one can fail without a delay."""
STANDBY_STEP_MS = 100.0
"""How much later each further VM reads, so that not all of them do at once."""
MAX_STANDBY_STEPS = 8
"""Steps after which all further VMs read at the same time."""


@dataclass(frozen=True, slots=True)
class ReaderRole:
    """A VM's role in following the store.

    Parameters
    ----------
    rank : int
        How many VMs read the store before it.
    data_centre_rank : int
        How many VMs of its data centre do.
    vms, data_centres : int
        How many VMs there are, and in how many data centres.
    """

    rank: int
    data_centre_rank: int
    vms: int
    data_centres: int

    @property
    def is_reader(self) -> bool:
        """Return whether the VM is one of the `READERS`."""
        return self.rank < READERS

    @property
    def is_first_in_data_centre(self) -> bool:
        """Return whether the VM reads the store first in its data centre."""
        return self.data_centre_rank == 0

    @property
    def readers(self) -> int:
        """Return how many VMs are readers."""
        return min(READERS, self.vms)


def reader_role(own: Heartbeat, live: Iterable[Heartbeat]) -> ReaderRole:
    """Return the role of a VM among the live ones.

    The first VMs of each data centre come before the second ones, and leaving VMs come
    last; otherwise their order for duties decides.
    """
    members = sorted((own, *live), key=duty_key)
    counts: dict[str, int] = {}
    ranks: dict[str, int] = {}
    for member in members:
        ranks[member.address] = counts.get(member.data_centre, 0)
        counts[member.data_centre] = ranks[member.address] + 1
    own_key = (ranks[own.address], duty_key(own))
    before = sum((ranks[m.address], duty_key(m)) < own_key for m in members)
    return ReaderRole(before, ranks[own.address], len(members), len(counts))


def standby_ms(role: ReaderRole, max_age_ms: float) -> float:
    """Return the age at which a VM that does not always read a topic does.

    Parameters
    ----------
    max_age_ms : float
        The age at which the first VM after the readers does.
    """
    steps = min(MAX_STANDBY_STEPS, max(0, role.rank - READERS))
    return max_age_ms + steps * STANDBY_STEP_MS
