"""Say after how many crashes a name is quarantined, and for how long."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

QUARANTINE_MS = 600_000.0
"""Duration of the first quarantine; a trial is allowed after it."""
QUARANTINE_FACTOR = 6
"""Factor by which each further quarantine is longer."""
QUARANTINE_MAX_MS = 86_400_000.0
SUSPICION_VALID_MS = 600_000.0
"""How long a suspicion is kept after the last crash or the end of a quarantine."""


class Suspicion(IntEnum):
    """Whether a name is suspected or known to crash upstreams.

    The numbers are sent between VMs.
    """

    NONE = 0
    SUSPECTED = 1
    QUARANTINED = 2


@dataclass(frozen=True, slots=True)
class CrashLimits:
    """After how many crashes a name is suspected and quarantined, and for how long.

    Parameters
    ----------
    first_quarantine_ms : float
        Duration of the first quarantine.
    """

    suspect_after: int
    quarantine_after: int
    first_quarantine_ms: float


PART_LIMITS = CrashLimits(1, 3, QUARANTINE_MS)
"""Limits of a part with which no request is known to have run well."""
PROVEN_PART_LIMITS = CrashLimits(3, 5, 3_000.0)
"""Limits of a part with which requests ran well: others need it."""


def quarantine_length_ms(limits: CrashLimits, quarantines: int) -> float:
    """Return the duration of the next quarantine after some earlier ones, in ms."""
    if quarantines == 0:
        return limits.first_quarantine_ms
    if limits.first_quarantine_ms < QUARANTINE_MS:
        quarantines -= 1
    length_ms: float = QUARANTINE_MS * QUARANTINE_FACTOR**quarantines
    return min(QUARANTINE_MAX_MS, length_ms)
