"""Begin and shorten the quarantine of a name. Does no I/O."""

from __future__ import annotations

from .crash_blame import Suspect
from .crash_limits import PROVEN_PART_LIMITS, SUSPICION_VALID_MS


def quarantine_until(suspect: Suspect, until_ms: float) -> None:
    """Quarantine a name until a time; it stays suspected for longer."""
    suspect.quarantined_until_ms = max(suspect.quarantined_until_ms, until_ms)
    suspect.expires_ms = max(suspect.expires_ms, until_ms + SUSPICION_VALID_MS)


def relax_quarantine(suspect: Suspect, now_ms: float) -> None:
    """Shorten or end a quarantine of a part that turns out to have run well."""
    if len(suspect.crashes) < PROVEN_PART_LIMITS.quarantine_after:
        suspect.quarantines = 0
        suspect.blamed_ms = 0.0
    until_ms = now_ms + PROVEN_PART_LIMITS.first_quarantine_ms
    if suspect.blamed:
        suspect.quarantined_until_ms = min(suspect.quarantined_until_ms, until_ms)
    else:
        suspect.quarantined_until_ms = 0.0
