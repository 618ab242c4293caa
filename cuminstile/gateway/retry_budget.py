"""Limit the retries that all VMs together send to a service.

Designed for retry storms, which turn a slow service into one that fails. Each VM can
retry a share of its own requests and an equal share of the common slack, so that the
sum stays below the limit without communication. Does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..request_window import RequestWindow

SAFETY_FACTOR = 0.8
"""Share of the limit that is used, as the windows of the VMs are not aligned."""


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
    windows: dict[str, RequestWindow] = field(default_factory=dict)

    def window(self, service: str, now_ms: float) -> RequestWindow:
        """Remove entries older than the window; return the window of a service."""
        window = self.windows.setdefault(service, RequestWindow())
        window.discard_before(now_ms - self.window_ms)
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
        return allowed - len(window.extra)

    def acquire(
        self, service: str, vm_count: int, now_ms: float, count: int = 1
    ) -> bool:
        """Acquire retries from the budget; return whether there were enough."""
        if self.remaining(service, vm_count, now_ms) < count:
            return False
        self.window(service, now_ms).extra.extend([now_ms] * count)
        return True
