"""Limit the second sends of all VMs, and stop them where a service is short of room.

Each VM may hedge a share of its own requests, so that the sum stays inside the
operator's limit without communication: also as VMs start, stop or are cut off. Does no
I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..request_window import RequestWindow
from .timing import AnswerTimes

WINDOW_MS = 10_000.0
"""Time over which the share of hedged requests is counted."""
MAX_KINDS = 1_000
"""Kinds of requests whose times are remembered."""


@dataclass(frozen=True)
class HedgeLimits:
    """The operator's limits for second sends.

    Parameters
    ----------
    share : float
        Second sends allowed for each request of a service; 0 turns them off.
    busy_share : float
        Share of a service's slots in use from which on there are no second sends.
    """

    share: float = 0.0
    busy_share: float = 0.5


@dataclass
class Hedging:
    """Second sends of one VM: the limits in force and what was seen.

    Parameters
    ----------
    uses : dict of str to RequestWindow
        By service.
    times : dict of str to AnswerTimes
        By route.
    """

    limits: HedgeLimits = field(default_factory=HedgeLimits)
    uses: dict[str, RequestWindow] = field(default_factory=dict)
    times: dict[str, AnswerTimes] = field(default_factory=dict)

    @property
    def is_on(self) -> bool:
        """Return whether the operator allows second sends."""
        return self.limits.share > 0

    def use_of(self, service: str, now_ms: float) -> RequestWindow:
        """Return what a service has got in the window."""
        use = self.uses.setdefault(service, RequestWindow())
        use.discard_before(now_ms - WINDOW_MS)
        return use

    def record_request(self, service: str, now_ms: float) -> None:
        """Count a request, of which a share may be hedged."""
        if self.is_on:
            self.use_of(service, now_ms).requests.append(now_ms)

    def record_time(self, route: str, took_ms: float) -> None:
        """Record how long an answer took, or for how long at least there was none."""
        if not self.is_on:
            return
        if len(self.times) >= MAX_KINDS and route not in self.times:
            self.times.pop(next(iter(self.times)))
        self.times.setdefault(route, AnswerTimes()).record(took_ms)

    def may_hedge(self, service: str, used_share: float, now_ms: float) -> bool:
        """Return whether a second send to a service is inside the limits.

        Parameters
        ----------
        used_share : float
            Share of the service's slots in use.
        """
        if used_share >= self.limits.busy_share:
            return False
        use = self.use_of(service, now_ms)
        return len(use.extra) + 1 <= self.limits.share * len(use.requests)

    def record_hedge(self, service: str, now_ms: float) -> None:
        """Count a second send."""
        self.use_of(service, now_ms).extra.append(now_ms)
