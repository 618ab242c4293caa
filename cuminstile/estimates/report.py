"""A load that an upstream reports of itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an upstream as it reports it.

    Parameters
    ----------
    running, waiting : int
        Requests of all VMs that run there, and that wait there.
    slots : int
        How many it runs at once.
    slowness : float or None
        How long work takes there at this moment relative to its usual time, None if
        the report doesn't say.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None
