"""Let calls wait for a slot in the order of their arrival."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

import anyio

from ..calls import StageCall
from ..exceptions import CuminstileError, ErrorCode

if TYPE_CHECKING:
    from ..runtime import Vm

T = TypeVar("T")
MIN_WAIT_MS = 1.0


@dataclass
class Waiter:
    """Hold one waiting call; `take` returns whether it got its slot."""

    take: Callable[[], bool]
    ready: anyio.Event = field(default_factory=anyio.Event)


@dataclass
class WaitingLine:
    """Hold the waiting calls by upstream version, first come first."""

    by_version: dict[str, deque[Waiter]] = field(default_factory=dict)

    def wake(self) -> None:
        """Give free slots to those that wait longest."""
        for waiters in self.by_version.values():
            while waiters and waiters[0].take():
                waiters.popleft().ready.set()


async def wait_for_slot(vm: Vm, call: StageCall, try_take: Callable[[], T | None]) -> T:
    """Return what `try_take` gives, waiting in line while it gives nothing.

    Raises
    ------
    CuminstileError
        With `OVERLOADED` if the line is full, with `DEADLINE_PASSED` if the call's
        deadline passes while it waits.
    """
    waiters = vm.line.by_version.setdefault(call.version, deque())
    taken: list[T] = []

    def take() -> bool:
        item = try_take()
        if item is not None:
            taken.append(item)
        return item is not None

    if not waiters and take():
        return taken[0]
    if len(waiters) >= vm.settings.limits.queue_length:
        raise CuminstileError(
            ErrorCode.OVERLOADED, f"too many calls wait for stage {call.stage}"
        )
    waiter = Waiter(take)
    waiters.append(waiter)
    try:
        await wait_until(vm, waiter, call.deadline_ms)
    finally:
        if waiter in waiters:
            waiters.remove(waiter)
    if not taken:
        raise CuminstileError(
            ErrorCode.DEADLINE_PASSED, f"no slot for stage {call.stage} in time"
        )
    return taken[0]


async def wait_until(vm: Vm, waiter: Waiter, deadline_ms: float) -> None:
    """Wait until the waiter has its slot or the deadline has passed."""
    async with anyio.create_task_group() as tasks:

        async def expire() -> None:
            await vm.clock.sleep_ms(deadline_ms - vm.clock.now_ms())
            waiter.ready.set()

        tasks.start_soon(expire)
        await waiter.ready.wait()
        tasks.cancel_scope.cancel()
