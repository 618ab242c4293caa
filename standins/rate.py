"""Limit a rate by a token bucket."""

from dataclasses import dataclass

MS_PER_S = 1000.0


@dataclass
class TokenBucket:
    """Hold up to one second's worth of tokens, and at least one.

    Parameters
    ----------
    per_s : float
        Tokens added a second.
    level : float
        Tokens at `at_ms`.
    """

    per_s: float
    level: float
    at_ms: float

    def take(self, now_ms: float) -> float:
        """Take one token and return 0, or return the ms until there is one."""
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
