"""End the waits of requests in time before their VM shuts down."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from ..clock import Clock
from .in_progress import RequestsInProgress
from .schedule import ShutdownTimes


class ShutdownReachedError(Exception):
    """A wait ended because its VM shuts down."""


@asynccontextmanager
async def limited_wait(
    clock: Clock,
    requests: RequestsInProgress,
    shutdown: ShutdownTimes | None,
    ahead_ms: float = 0.0,
    may_end: Callable[[], bool] = lambda: True,
) -> AsyncIterator[None]:
    """Limit what is awaited inside to the time before the last answers of a shutdown.

    Parameters
    ----------
    requests : RequestsInProgress
        Tells of a shutdown that begins meanwhile.
    shutdown : ShutdownTimes or None
        Times of the shutdown, None if none has begun.
    ahead_ms : float
        How long before the last answers the wait ends.
    may_end : callable
        Returns whether the wait may still be ended when its time has come.

    Raises
    ------
    ShutdownReachedError
        If the time has come, also before anything is awaited.
    """
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    assert task is not None
    cancelling = task.cancelling()
    timer: asyncio.TimerHandle | None = None
    ended = False

    def left_ms(times: ShutdownTimes) -> float:
        return times.answer_by_ms - ahead_ms - clock.now_ms()

    def end() -> None:
        nonlocal ended
        if may_end():
            # Nothing of the task runs any more between the question and its end.
            ended = True
            task.cancel()

    def start_timer(times: ShutdownTimes) -> None:
        nonlocal timer
        timer = loop.call_later(max(0.0, left_ms(times)) / 1000.0, end)

    if shutdown is not None and left_ms(shutdown) <= 0.0:
        raise ShutdownReachedError
    requests.watchers.add(start_timer)
    if shutdown is not None:
        start_timer(shutdown)
    try:
        yield
    except asyncio.CancelledError:
        if ended and task.uncancel() <= cancelling:
            raise ShutdownReachedError from None
        raise
    finally:
        requests.watchers.discard(start_timer)
        if timer is not None:
            timer.cancel()
