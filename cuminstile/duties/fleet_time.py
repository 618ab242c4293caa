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
APART_MS = 2_500.0
"""How long the time must differ from the one of most others: after a pause of this VM,
their last messages seem to be of an earlier time for about a second."""


@dataclass
class FleetTime:
    """The time as this VM and others have it.

    Parameters
    ----------
    others : dict of str to tuple of float
        By address, the lead of a VM's wall clock over this VM's monotonic clock, and
        when it was heard, in monotonic ms.
    lead_ms : float or None
        The lead of the corrected time, None before the first use.
    agreed : bool
        Whether it has agreed with the time of most others.
    apart_since_ms : float or None
        Since when it differs from theirs, None if it does not.
    """

    others: dict[str, tuple[float, float]] = field(default_factory=dict)
    lead_ms: float | None = None
    agreed: bool = False
    apart_since_ms: float | None = None

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

        A jump of this VM's clock changes nothing: the time goes on with the monotonic
        clock. It is set anew if it has differed from the one of most others for a
        while, at once for a VM that has just started.
        """
        own = own_wall_ms - now_ms
        if self.lead_ms is None:
            self.lead_ms = own
        leads = [
            lead
            for lead, heard_ms in self.others.values()
            if now_ms - heard_ms < KEPT_MS
        ]
        common = median(leads) if leads else self.lead_ms
        if abs(self.lead_ms - common) <= TOLERANCE_MS:
            self.apart_since_ms = None
            self.agreed |= bool(leads)
            if abs(own - self.lead_ms) <= TOLERANCE_MS:
                self.lead_ms = own
        else:
            self.set_anew(own, common, now_ms)
        return now_ms + self.lead_ms

    def set_anew(self, own: float, common: float, now_ms: float) -> None:
        """Take over the time of the others once it has differed for long enough."""
        if self.apart_since_ms is None:
            self.apart_since_ms = now_ms
        if self.agreed and now_ms - self.apart_since_ms < APART_MS:
            return
        self.lead_ms = own if abs(own - common) <= TOLERANCE_MS else common
        self.apart_since_ms = None
