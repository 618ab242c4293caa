"""Share a changing number of places by priority."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio


@dataclass
class Slots:
    """Hold who works and who waits; higher priorities go first.

    Parameters
    ----------
    capacity : callable
        Gives how many may work at present.
    """

    capacity: Callable[[], int]
    working: int = 0
    waiting: list[tuple[int, int, anyio.Event]] = field(default_factory=list)
    order: "itertools.count[int]" = field(default_factory=itertools.count)

    async def take(self, priority: int) -> None:
        """Wait for a place."""
        if self.working < self.capacity() and not self.waiting:
            self.working += 1
            return
        event = anyio.Event()
        entry = (-priority, next(self.order), event)
        heapq.heappush(self.waiting, entry)
        try:
            await event.wait()
        except BaseException:
            self.give_up(entry)
            raise

    def give_up(self, entry: tuple[int, int, anyio.Event]) -> None:
        """Forget one that waits, or pass on the place that it was just given."""
        if entry in self.waiting:
            self.waiting.remove(entry)
            heapq.heapify(self.waiting)
        else:
            self.release()

    def release(self) -> None:
        """Give a place back and let others have it."""
        self.working -= 1
        self.admit()

    def admit(self) -> None:
        """Let as many go on as there are places."""
        while self.waiting and self.working < self.capacity():
            _, _, event = heapq.heappop(self.waiting)
            self.working += 1
            event.set()
