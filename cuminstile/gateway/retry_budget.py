"""Limit the retries that all VMs together send to a service.

Designed for retry storms, which turn a slow service into one that fails. Each VM can
retry a share of its own requests and an equal share of the common slack, so that the
sum stays below the limit without communication. Does no I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SAFETY_FACTOR = 0.8
"""Share of the limit that is used, as the windows of the VMs are not aligned."""


@dataclass
class ServiceWindow:
    """Times of the requests and retries in the window, in monotonic ms."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass
class RetryBudget:
    """Retry budgets of all services.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Retries allowed in addition, for all VMs together.
    window_ms : float
        Length of the window for both.
    """

    ratio: float
    slack: float
    window_ms: float
    windows: dict[str, ServiceWindow] = field(default_factory=dict)

    def window(self, service: str, now_ms: float) -> ServiceWindow:
        """Remove entries older than the window; return the window of a service."""
        window = self.windows.setdefault(service, ServiceWindow())
        for times in (window.requests, window.retries):
            while times and times[0] < now_ms - self.window_ms:
                times.popleft()
        return window

    def record_request(self, service: str, now_ms: float) -> None:
        """Record a request of a caller."""
        self.window(service, now_ms).requests.append(now_ms)

    def remaining(self, service: str, vm_count: int, now_ms: float) -> float:
        """Return how many more retries this VM can send in the window."""
        window = self.window(service, now_ms)
        allowed = SAFETY_FACTOR * (
            self.ratio * len(window.requests) + self.slack / max(1, vm_count)
        )
        return allowed - len(window.retries)

    def acquire(
        self, service: str, vm_count: int, now_ms: float, count: int = 1
    ) -> bool:
        """Acquire retries from the budget; return whether there were enough."""
        if self.remaining(service, vm_count, now_ms) < count:
            return False
        self.window(service, now_ms).retries.extend([now_ms] * count)
        return True
