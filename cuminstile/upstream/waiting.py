"""Queues of calls that wait for slots, one for each upstream version."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

from ..admission import latest_start_ms, refuse_long_wait, weight_of
from ..calls import StageCall
from ..queueing import ORDERS, Ticket, WaitQueue
from .table import UpstreamState

if TYPE_CHECKING:
    from ..runtime import Vm

T = TypeVar("T")


@dataclass
class WaitQueues:
    """The waiting calls, by upstream version."""

    by_version: dict[str, WaitQueue[Any]] = field(default_factory=dict)

    def wake(self) -> None:
        """Assign the slots that may be free now."""
        for wait_queue in self.by_version.values():
            wait_queue.notify()


def has_waiting_calls(vm: Vm, version: str) -> bool:
    """Return whether calls of a version are waiting."""
    wait_queue = vm.wait_queue.by_version.get(version)
    return wait_queue is not None and bool(wait_queue.waiting)


async def wait_for_slot(
    vm: Vm,
    call: StageCall,
    candidates: Sequence[UpstreamState],
    try_acquire: Callable[[], T | None],
    is_free: bool,
) -> T:
    """Return the result of `try_acquire`, and wait in the queue while it is None.

    `is_free` is whether a slot is free now for the first call in the queue.

    Raises
    ------
    CuminstileError
        With `OVERLOADED`, `DEADLINE_TOO_SHORT` or `DEADLINE_PASSED`; the call has not
        run.
    """
    wait_queue = vm.wait_queue.by_version.get(call.version)
    if wait_queue is None:
        limits = vm.settings.limits
        order = ORDERS[limits.order]
        wait_queue = WaitQueue(vm.clock, limits.queue_length, skip_release, order)
        vm.wait_queue.by_version[call.version] = wait_queue
    must_wait = bool(wait_queue.waiting) or not is_free
    ticket = ticket_of(vm, call, candidates, must_wait)
    if must_wait:
        refuse_long_wait(vm, call, wait_queue, ticket)
    slot: T = await wait_queue.acquire(ticket, try_acquire)
    return slot


def skip_release(slot: Any) -> None:
    """Do nothing: the caller of `wait_for_slot` releases the slots it acquired."""


def ticket_of(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState], must_wait: bool
) -> Ticket:
    """Return the queue's ticket for a call."""
    weight = weight_of(vm, call.organisation)
    work_ms = sum(state.mean_ms for state in candidates) / len(candidates)
    start_by_ms = latest_start_ms(vm, call, must_wait)
    return Ticket(call.organisation, weight, start_by_ms, work_ms)
