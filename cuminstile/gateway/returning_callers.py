"""Recognise callers that come back after a refusal.

Answers the pattern of a burst whose refused callers return: their target counts from
their first attempt, which a new attempt does not tell. Needs no network.
"""

from __future__ import annotations

from dataclasses import dataclass, field

REMEMBERED_MS = 20_000.0
"""How long a first attempt is remembered: as long as the longest deadline in use."""
MAX_REMEMBERED = 50_000
"""Attempts remembered at most: some minutes of the largest load of today."""


@dataclass
class ReturningCallers:
    """Hold when the work of each key was first asked for, the oldest first."""

    first_ms: dict[str, float] = field(default_factory=dict)

    def waited_ms(self, key: str, now_ms: float) -> float:
        """Return the time since the first attempt with a key, 0 for a first one."""
        if not key:
            return 0.0
        self.forget(now_ms)
        return now_ms - self.first_ms.setdefault(key, now_ms)

    def forget(self, now_ms: float) -> None:
        """Forget what is too old, or too much."""
        while self.first_ms:
            oldest = next(iter(self.first_ms))
            recent = now_ms - self.first_ms[oldest] < REMEMBERED_MS
            if recent and len(self.first_ms) <= MAX_REMEMBERED:
                return
            del self.first_ms[oldest]
