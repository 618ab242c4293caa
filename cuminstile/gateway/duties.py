"""Order the VMs of a fleet for duties: scheduling the stages, reading the store.

Designed for fleets of unequal VMs: one with half a core that schedules the stages of
all would be a bottleneck. Does no I/O.
"""

from __future__ import annotations

from math import log2

from .messages import Heartbeat

FULL_CORES = 2.0
"""Processor cores from which on a VM counts as strong."""
FULL_LINK_MBPS = 40.0
"""Link from which on a VM counts as strong: the messages of some hundred requests a
second."""
TOLERANCE = 0.1
"""Share by which a VM may be below a limit; sizes of VMs are not exact."""
MAX_WEAKNESS = 4
"""Halvings of its strength after which a VM is not ranked lower any more."""
WEAKNESS_STEP_MS = 10 * 365 * 86_400_000
"""Added to the start time for each halving: more than any process runs."""


def weakness(cores: float, link_mbps: float) -> int:
    """Return how often a strong VM has to be halved to be like this one."""
    strength = min(cores / FULL_CORES, link_mbps / FULL_LINK_MBPS) + TOLERANCE
    if strength <= 0 or strength >= 1:
        return 0 if strength >= 1 else MAX_WEAKNESS
    return min(MAX_WEAKNESS, int(-log2(strength)) + 1)


def duty_order(started_ms: int, cores: float, link_mbps: float) -> int:
    """Return the number by which VMs are ordered for duties, the lowest first.

    Strong VMs come before weaker ones, and of those that are alike the one that
    started first.

    Parameters
    ----------
    started_ms : int
        Start of the process in ms since 1970 UTC.
    """
    return started_ms + weakness(cores, link_mbps) * WEAKNESS_STEP_MS


def duty_key(member: Heartbeat) -> tuple[bool, int, str]:
    """Return the key by which VMs are sorted for duties, leaving ones last."""
    return member.leaving, member.duty_order, member.address
