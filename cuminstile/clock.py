"""Real and virtual clocks with times in milliseconds."""

import heapq
import itertools
import time
from dataclasses import dataclass, field

import anyio


class Clock:
    """The machine's clock."""

    def now_ms(self) -> float:
        """Return the monotonic time in ms.

        It advances while the process is stopped and while the machine is suspended, so
        that what has a time limit runs out meanwhile.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0

    def wall_ms(self) -> int:
        """Return the wall-clock time in ms since 1970 UTC."""
        return int(time.time() * 1000)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for `duration_ms`; 0 or less only yields to other tasks."""
        await anyio.sleep(max(0.0, duration_ms) / 1000.0)


@dataclass
class VirtualClock(Clock):
    """A clock that advances only when a test moves it.

    Parameters
    ----------
    at_ms : float
        The current monotonic time in ms.
    epoch_ms : int
        The wall-clock time at monotonic time zero, in ms since 1970 UTC.
    sleepers : list of tuple
        Heap of wake-up time in ms, sequence number and event of each sleeping task.
    order : itertools.count
        Sequence numbers, by which tasks with the same wake-up time are woken.
    """

    at_ms: float = 0.0
    epoch_ms: int = 1_700_000_000_000
    sleepers: list[tuple[float, int, anyio.Event]] = field(default_factory=list)
    order: "itertools.count[int]" = field(default_factory=itertools.count)

    def now_ms(self) -> float:
        """Return the virtual monotonic time in ms."""
        return self.at_ms

    def wall_ms(self) -> int:
        """Return the virtual wall-clock time in ms since 1970 UTC."""
        return self.epoch_ms + int(self.at_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep until a test has advanced the clock by `duration_ms`."""
        if duration_ms <= 0:
            await anyio.lowlevel.checkpoint()
            return
        event = anyio.Event()
        entry = (self.at_ms + duration_ms, next(self.order), event)
        heapq.heappush(self.sleepers, entry)
        await event.wait()

    async def advance_ms(self, duration_ms: float) -> None:
        """Advance the time, waking each sleeping task at its own time."""
        await settle()
        end_ms = self.at_ms + duration_ms
        while self.sleepers and self.sleepers[0][0] <= end_ms:
            due_ms, _, event = heapq.heappop(self.sleepers)
            self.at_ms = max(self.at_ms, due_ms)
            event.set()
            await settle()
        self.at_ms = end_ms
        await settle()


async def settle(rounds: int = 20) -> None:
    """Yield `rounds` times, so that other tasks run until they wait again."""
    for _ in range(rounds):
        await anyio.lowlevel.checkpoint()
