"""Keep the background tasks of a VM running whatever happens in them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from .pipeline import internal_error

if TYPE_CHECKING:
    from .runtime import Vm

RESTART_DELAY_MS = 1_000

Background = Callable[["Vm"], Awaitable[None]]


async def keep_running(vm: Vm, task: Background) -> None:
    """Run an endless task; record an unexpected error and start it again."""
    while True:
        try:
            await task(vm)
        except Exception as error:
            internal_error(vm, error)
        await vm.clock.sleep_ms(RESTART_DELAY_MS)
