"""Let calls wait for slots, one line for each upstream version."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

from ..admission import refuse_long_wait, start_by, weight_of
from ..calls import StageCall
from ..queueing import ORDERS, Ticket, WaitingLine
from .table import UpstreamState

if TYPE_CHECKING:
    from ..runtime import Vm

T = TypeVar("T")


@dataclass
class WaitingLines:
    """Hold the calls that wait, by upstream version."""

    by_version: dict[str, WaitingLine[Any]] = field(default_factory=dict)

    def wake(self) -> None:
        """Hand out the slots that may be free now."""
        for line in self.by_version.values():
            line.notify()


def is_line(vm: Vm, version: str) -> bool:
    """Return whether calls of a version wait already."""
    line = vm.line.by_version.get(version)
    return line is not None and bool(line.waiting)


async def wait_for_slot(
    vm: Vm,
    call: StageCall,
    candidates: Sequence[UpstreamState],
    try_take: Callable[[], T | None],
    is_free: bool,
) -> T:
    """Return what `try_take` gives, waiting in line while it gives nothing.

    `is_free` tells whether a slot is free now for whoever is first in line.

    Raises
    ------
    CuminstileError
        With `OVERLOADED`, `DEADLINE_TOO_SHORT` or `DEADLINE_PASSED`; nothing has run.
    """
    line = vm.line.by_version.get(call.version)
    if line is None:
        limits = vm.settings.limits
        order = ORDERS[limits.order]
        line = WaitingLine(vm.clock, limits.queue_length, leave_to_caller, order)
        vm.line.by_version[call.version] = line
    must_wait = bool(line.waiting) or not is_free
    ticket = ticket_of(vm, call, candidates, must_wait)
    if must_wait:
        refuse_long_wait(vm, call, line, ticket)
    slot: T = await line.acquire(ticket, try_take)
    return slot


def leave_to_caller(slot: Any) -> None:
    """Do nothing: whoever waits for a slot frees what it was handed."""


def ticket_of(
    vm: Vm, call: StageCall, candidates: Sequence[UpstreamState], must_wait: bool
) -> Ticket:
    """Return what the line has to know about a call."""
    weight = weight_of(vm, call.organisation)
    work_ms = sum(state.mean_ms for state in candidates) / len(candidates)
    start_by_ms = start_by(vm, call, must_wait)
    return Ticket(call.organisation, weight, start_by_ms, work_ms)
