"""Token bucket rate limiter."""

from dataclasses import dataclass

MS_PER_S = 1000.0


@dataclass
class TokenBucket:
    """Token bucket with the capacity of one second's tokens, at least one.

    Parameters
    ----------
    per_s : float
        Tokens added per second.
    level : float
        Number of tokens at `at_ms`.
    """

    per_s: float
    level: float
    at_ms: float

    def try_acquire(self, now_ms: float) -> float:
        """Acquire a token and return 0, or return the ms until one is available."""
        gained = (now_ms - self.at_ms) * self.per_s / MS_PER_S
        self.level = min(max(1.0, self.per_s), self.level + gained)
        self.at_ms = now_ms
        if self.level >= 1.0:
            self.level -= 1.0
            return 0.0
        return (1.0 - self.level) * MS_PER_S / self.per_s


def make_bucket(per_s: float, now_ms: float) -> TokenBucket:
    """Return a full bucket."""
    return TokenBucket(per_s, max(1.0, per_s), now_ms)
