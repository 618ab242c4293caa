"""Let calls wait for slots, one line for each upstream version."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any, TypeVar

from ..calls import StageCall
from ..queueing import Ticket, WaitingLine
from .expected import least_ms
from .table import UpstreamState

if TYPE_CHECKING:
    from ..runtime import Vm

T = TypeVar("T")
DEFAULT_WEIGHT = 1


@dataclass
class WaitingLines:
    """Hold the calls that wait, by upstream version."""

    by_version: dict[str, WaitingLine[Any]] = field(default_factory=dict)

    def wake(self) -> None:
        """Hand out the slots that may be free now."""
        for line in self.by_version.values():
            line.notify()


def line_length(vm: Vm, version: str) -> int:
    """Return how many calls of a version wait."""
    line = vm.line.by_version.get(version)
    return len(line.waiting) if line else 0


async def wait_for_slot(
    vm: Vm,
    call: StageCall,
    candidates: Sequence[UpstreamState],
    try_take: Callable[[], T | None],
    try_slow: Callable[[], T | None],
    patience_ms: float = math.inf,
) -> T:
    """Return what `try_take` gives, waiting in line while it gives nothing.

    Raises
    ------
    CuminstileError
        With `OVERLOADED` or `DEADLINE_PASSED`; nothing has run.
    StillWaiting
        After `patience_ms`; nothing has run.
    """
    line = vm.line.by_version.get(call.version)
    if line is None:
        line = WaitingLine(vm.clock, vm.settings.limits.queue_length, leave_to_caller)
        vm.line.by_version[call.version] = line
    ticket = ticket_of(vm, call, candidates)
    patient_until_ms = vm.clock.now_ms() + patience_ms
    ticket = replace(ticket, patient_until_ms=patient_until_ms)
    slot: T = await line.acquire(ticket, try_take, try_slow)
    return slot


def leave_to_caller(slot: Any) -> None:
    """Do nothing: whoever waits for a slot frees what it was handed."""


def ticket_of(vm: Vm, call: StageCall, candidates: Sequence[UpstreamState]) -> Ticket:
    """Return what the line has to know about a call."""
    organisation = vm.objects.organisations.get(call.organisation)
    weight = organisation.weight if organisation else DEFAULT_WEIGHT
    work_ms = sum(state.mean_ms for state in candidates) / len(candidates)
    start_by_ms = call.deadline_ms - least_ms(candidates)
    return Ticket(call.organisation, weight, start_by_ms, work_ms)
