"""Times of the requests and the extra sends of a service in a sliding window."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass
class RequestWindow:
    """Times in monotonic ms, the oldest first.

    Parameters
    ----------
    requests : deque of float
        When callers sent requests.
    extra : deque of float
        When requests were sent once more.
    """

    requests: deque[float] = field(default_factory=deque)
    extra: deque[float] = field(default_factory=deque)

    def discard_before(self, at_ms: float) -> None:
        """Remove what is older than a time."""
        for times in (self.requests, self.extra):
            while times and times[0] < at_ms:
                times.popleft()
