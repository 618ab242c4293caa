"""Supervision of background jobs, which are restarted when they fail."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING

from .clock import Clock
from .events import Event, Journal
from .exceptions import raised_at

if TYPE_CHECKING:
    from .runtime import Vm

RESTART_DELAY_MS = 1_000

BackgroundTask = Callable[["Vm"], Awaitable[None]]


async def run_with_restarts(
    job: Callable[[], Awaitable[None]], journal: Journal, clock: Clock
) -> None:
    """Run a job forever; record an unexpected error and restart the job after a delay.

    Only the error's type and place are recorded: its text may hold a key or an input.
    """
    while True:
        try:
            await job()
        except Exception as error:
            name = type(error).__name__
            journal.record(Event.INTERNAL_ERROR, error=name, place=raised_at(error))
        await clock.sleep_ms(RESTART_DELAY_MS)


async def supervise(vm: Vm, task: BackgroundTask) -> None:
    """Run a background task of a VM; see `run_with_restarts`."""
    await run_with_restarts(partial(task, vm), vm.journal, vm.clock)
