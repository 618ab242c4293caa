"""Bound the processor time that connections take with very small chunks.

Designed for crowds that send each byte as a chunk of its own, or go on sending bodies
that were refused. Such connections are read one slice at a time, in turn, and together
for at most half of the time.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from ..clock import Clock

SLICE_BYTES = 4_096
"""Bytes of a body in chunks that are parsed at a time."""
MOST_PARTS = 128
"""Chunks in a slice above which they count as very small: under 32 bytes each."""
FEW_PARTS = 8
"""Chunks in a slice up to which the next slice may be a long one."""
LONG_SLICE_BYTES = 65_536
MOST_RESUMED = 4
"""Connections that are read again after one turn; each reads once, for about a ms."""
TURN_MS = 2.0
"""How long slices are parsed at a time, and how long the process then does other work:
short beside the time of a request."""

Step = Callable[[], bool]
"""Parses one slice; returns whether there is more to parse."""


class SlowLane:
    """Connections whose slices are parsed in turn."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.steps: deque[Step] = deque()
        self.timer: asyncio.TimerHandle | None = None

    def add(self, step: Step) -> None:
        """Add a connection behind the others."""
        self.steps.append(step)
        if self.timer is None:
            self.schedule()

    def schedule(self) -> None:
        """Parse slices after some time for other work."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(TURN_MS / 1000.0, self.run)

    def run(self) -> None:
        """Parse one slice of each connection in turn, until the turn is over."""
        self.timer = None
        end_ms = self.clock.now_ms() + TURN_MS
        resumed = 0
        while self.steps and self.clock.now_ms() < end_ms and resumed < MOST_RESUMED:
            step = self.steps.popleft()
            if step():
                self.steps.append(step)
            else:
                resumed += 1
        if self.steps:
            self.schedule()
