"""Give a suspected request an upstream for itself."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from ..calls import StageCall
from ..exceptions import RunStatus
from .client import UpstreamError, upstream_failed_error
from .evidence import mark_cold, mark_warm
from .leases import usable_slots
from .load import announce
from .table import Condition, UpstreamState

if TYPE_CHECKING:
    from ..runtime import Vm

T = TypeVar("T")
WAIT_MS = 1_000
POLL_INTERVAL_MS = 10


async def reserve(vm: Vm, state: UpstreamState) -> None:
    """Take an owned upstream as cold, so that no other VM calls it any more."""
    state.suspects += 1
    if state.condition is not Condition.WARM:
        return
    mark_cold(state, vm.clock.now_ms(), cold_observed=True)
    state.reserved_warm = True
    await announce(vm, (state,))


async def give_up(vm: Vm, state: UpstreamState) -> None:
    """Return an upstream that was warm, once no suspected request wants it."""
    state.suspects -= 1
    if state.suspects or not state.reserved_warm:
        return
    state.reserved_warm = False
    mark_warm(state, vm.clock.now_ms())
    await announce(vm, (state,))


def may_start(vm: Vm, state: UpstreamState) -> bool:
    """Return whether nothing at all runs at an upstream that only this VM calls."""
    holding = vm.leases.holdings.get(state.name)
    if holding is None or holding.foreign != 0 or state.in_flight:
        return False
    return usable_slots(vm, state, vm.clock.now_ms()) > 0


async def wait_for_turn(
    vm: Vm, call: StageCall, try_acquire: Callable[[], T | None]
) -> T:
    """Return what `try_take` gives; after a while let the call look elsewhere.

    Raises
    ------
    CuminstileError
        With `UPSTREAM_FAILED`; nothing has run.
    """
    limit_ms = min(call.deadline_ms, vm.clock.now_ms() + WAIT_MS)
    while vm.clock.now_ms() < limit_ms:
        item = try_acquire()
        if item is not None:
            return item
        await vm.clock.sleep_ms(POLL_INTERVAL_MS)
    error = UpstreamError("lease", False)
    raise upstream_failed_error(error, RunStatus.NOT_RUN) from error
