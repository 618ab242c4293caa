"""Bound the repeats that all VMs together send to a service.

Answers the pattern of retries that turn a slow service into a dead one. Each VM may
repeat a share of its own requests, and an equal share of the common slack, so that
the sum stays below the bound without any exchange. Needs no network.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SAFETY = 0.8
"""The share of the bound that is used; windows of VMs do not line up exactly."""


@dataclass
class ServiceWindow:
    """Hold the times of requests and repeats in the window, in monotonic ms."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


@dataclass
class RetryBudget:
    """Hold the windows by service.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    slack : float
        Repeats beside these, for all VMs together.
    window_ms : float
        The length of the window for both.
    """

    ratio: float
    slack: float
    window_ms: float
    windows: dict[str, ServiceWindow] = field(default_factory=dict)

    def window(self, service: str, now_ms: float) -> ServiceWindow:
        """Return the window of a service without what has left it."""
        window = self.windows.setdefault(service, ServiceWindow())
        for times in (window.requests, window.repeats):
            while times and times[0] < now_ms - self.window_ms:
                times.popleft()
        return window

    def record_request(self, service: str, now_ms: float) -> None:
        """Count a request of a caller."""
        self.window(service, now_ms).requests.append(now_ms)

    def remaining(self, service: str, vm_count: int, now_ms: float) -> float:
        """Return how many repeats this VM may still send in the window."""
        window = self.window(service, now_ms)
        allowed = SAFETY * (
            self.ratio * len(window.requests) + self.slack / max(1, vm_count)
        )
        return allowed - len(window.repeats)

    def acquire(
        self, service: str, vm_count: int, now_ms: float, count: int = 1
    ) -> bool:
        """Take repeats out of the budget; return whether it held them."""
        if self.remaining(service, vm_count, now_ms) < count:
            return False
        self.window(service, now_ms).repeats.extend([now_ms] * count)
        return True
