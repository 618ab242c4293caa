"""Priority semaphore with a variable capacity."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio


@dataclass
class Slots:
    """Slots in use and tasks that wait for one; higher priorities go first.

    Parameters
    ----------
    capacity : callable
        Returns the current number of slots.
    """

    capacity: Callable[[], int]
    working: int = 0
    waiting: list[tuple[int, int, anyio.Event]] = field(default_factory=list)
    order: "itertools.count[int]" = field(default_factory=itertools.count)

    async def acquire(self, priority: int) -> None:
        """Wait for a slot and occupy it."""
        if self.working < self.capacity() and not self.waiting:
            self.working += 1
            return
        event = anyio.Event()
        entry = (-priority, next(self.order), event)
        heapq.heappush(self.waiting, entry)
        try:
            await event.wait()
        except BaseException:
            self.cancel_wait(entry)
            raise

    def cancel_wait(self, entry: tuple[int, int, anyio.Event]) -> None:
        """Remove a waiting task, or release the slot that it was just granted."""
        if entry in self.waiting:
            self.waiting.remove(entry)
            heapq.heapify(self.waiting)
        else:
            self.release()

    def release(self) -> None:
        """Release a slot and grant it to a waiting task."""
        self.working -= 1
        self.admit()

    def admit(self) -> None:
        """Grant all free slots to waiting tasks."""
        while self.waiting and self.working < self.capacity():
            _, _, event = heapq.heappop(self.waiting)
            self.working += 1
            event.set()
