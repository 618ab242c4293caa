"""Recognise callers that retry after a refusal.

Designed for bursts whose refused callers retry: their target counts from the first
attempt, whose time a new attempt does not state. Does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field

REMEMBERED_MS = 20_000.0
"""How long a first attempt is remembered: the longest deadline in use."""
MAX_REMEMBERED = 50_000
"""Maximum number of remembered attempts: some minutes of the largest current load."""


@dataclass
class ReturningCallers:
    """Monotonic times of the first attempt with each key, the oldest first."""

    first_ms: dict[str, float] = field(default_factory=dict)

    def waited_ms(self, key: str, now_ms: float) -> float:
        """Return the time in ms since the first attempt with a key, 0 for a new key.

        Without a key no caller is recognised.
        """
        if not key:
            return 0.0
        self.discard_old(now_ms)
        return now_ms - self.first_ms.setdefault(key, now_ms)

    def discard_old(self, now_ms: float) -> None:
        """Discard attempts that are too old, and the oldest ones above the limit."""
        while self.first_ms:
            oldest = next(iter(self.first_ms))
            recent = now_ms - self.first_ms[oldest] < REMEMBERED_MS
            if recent and len(self.first_ms) <= MAX_REMEMBERED:
                return
            del self.first_ms[oldest]
