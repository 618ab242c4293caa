"""Correct this VM's wall clock by those of other VMs; does no I/O.

Designed for VMs whose clock jumps or starts wrong: windows of time are those of all.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median

TOLERANCE_MS = 150.0
"""Difference up to which this VM's own clock is right: messages take a while."""
KEPT_MS = 5_000.0
"""How long what another VM said of the time counts."""


@dataclass
class FleetTime:
    """The time as this VM and others have it.

    Parameters
    ----------
    others : dict of str to tuple of float
        By address, the lead of a VM's wall clock over this VM's monotonic clock, and
        when it was heard, in monotonic ms.
    """

    others: dict[str, tuple[float, float]] = field(default_factory=dict)
    lead_ms: float | None = None

    def record(self, address: str, wall_ms: float, now_ms: float) -> None:
        """Record the time that another VM told.

        A message that came late, after a pause of this VM for example, makes the time
        seem earlier: the latest time of the last seconds counts.
        """
        lead = wall_ms - now_ms
        known = self.others.get(address)
        if known is None or lead >= known[0] or now_ms - known[1] > KEPT_MS / 2.0:
            self.others[address] = (lead, now_ms)

    def wall_ms(self, own_wall_ms: float, now_ms: float) -> float:
        """Return the corrected time in ms since 1970 UTC.

        This VM's clock holds as long as it agrees with most others; without others, it
        holds until it jumps.
        """
        own = own_wall_ms - now_ms
        leads = [
            lead
            for lead, heard_ms in self.others.values()
            if now_ms - heard_ms < KEPT_MS
        ]
        kept = own if self.lead_ms is None else self.lead_ms
        common = median(leads) if leads else kept
        self.lead_ms = own if abs(own - common) <= TOLERANCE_MS else common
        return now_ms + self.lead_ms
