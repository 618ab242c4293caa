"""Isolation of suspected requests: each runs at its upstream without other calls."""

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
MAX_ISOLATION_WAIT_MS = 1_000
POLL_INTERVAL_MS = 10


async def reserve(vm: Vm, state: UpstreamState) -> None:
    """Mark an owned upstream cold, so that no other VM calls it any more."""
    state.suspect_calls += 1
    if state.condition is not Condition.WARM:
        return
    mark_cold(state, vm.clock.now_ms(), cold_observed=True)
    state.reserved_warm = True
    await announce(vm, (state,))


async def release_reservation(vm: Vm, state: UpstreamState) -> None:
    """Mark a reserved upstream warm again, once no suspected request needs it.

    This applies only to an upstream that was warm when it was reserved.
    """
    state.suspect_calls -= 1
    if state.suspect_calls or not state.reserved_warm:
        return
    state.reserved_warm = False
    mark_warm(state, vm.clock.now_ms())
    await announce(vm, (state,))


def can_start_isolated(vm: Vm, state: UpstreamState) -> bool:
    """Return whether this VM holds an upstream's lease and no call runs there."""
    lease = vm.leases.own_leases.get(state.name)
    if lease is None or lease.foreign_calls != 0 or state.in_flight:
        return False
    return usable_slots(vm, state, vm.clock.now_ms()) > 0


async def wait_for_turn(
    vm: Vm, call: StageCall, try_acquire: Callable[[], T | None]
) -> T:
    """Return the first result of `try_acquire` that is not None.

    After `MAX_ISOLATION_WAIT_MS` the call fails, and may be retried elsewhere.

    Raises
    ------
    CuminstileError
        With `UPSTREAM_FAILED`; the call has not run.
    """
    limit_ms = min(call.deadline_ms, vm.clock.now_ms() + MAX_ISOLATION_WAIT_MS)
    while vm.clock.now_ms() < limit_ms:
        slot = try_acquire()
        if slot is not None:
            return slot
        await vm.clock.sleep_ms(POLL_INTERVAL_MS)
    error = UpstreamError("lease", False)
    raise upstream_failed_error(error, RunStatus.NOT_RUN) from error
