"""Token bucket that bounds how much of something may come at once and over time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Tokens that are used up and come back over time.

    Parameters
    ----------
    size : float
        Most tokens that it holds; it starts full.
    per_s : float
        Tokens that come back each second.
    used : float
        Tokens that have not come back yet; more than `size` once it is overdrawn.
    at_ms : float
        When `used` was right, in monotonic ms.
    """

    size: float
    per_s: float
    used: float = 0.0
    at_ms: float = 0.0

    def take(self, tokens: float, now_ms: float) -> bool:
        """Use up tokens; return whether the bucket held so many."""
        back = (now_ms - self.at_ms) * self.per_s / 1000.0
        self.used = max(0.0, self.used - back) + tokens
        self.at_ms = now_ms
        return self.used <= self.size

    def wait_ms(self) -> float:
        """Return how long an overdrawn bucket takes to be empty, 0 for another one."""
        return max(0.0, self.used - self.size) / self.per_s * 1000.0
