"""Refuse work that cannot be done in time, and share the time over the steps.

In a calm system only a deadline that is below what almost every run needs is refused:
trying costs nobody anything. Where calls wait, a call that is likely to be late takes
the slot of one that could be in time; there the waiting and the usual times count.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from .calls import StageCall
from .exceptions import CuminstileError, ErrorCode, RunStatus
from .objects.model import Pipeline, Step
from .queueing import MIN_WORK_MS, Ticket, WaitQueue
from .stage_times import UNKNOWN, Estimate
from .traffic import move_under_way, settled_version_of
from .upstream.shares import share
from .upstream.table import Condition, UpstreamState

if TYPE_CHECKING:
    from .runtime import Vm

DEFAULT_WEIGHT = 1


@dataclass(frozen=True)
class Budget:
    """Hold what a step has to leave to the steps after it.

    Parameters
    ----------
    later_ms : float
        What they need at least.
    reserve_ms : float
        How much more they usually need.
    is_probe : bool
        Whether the step is tried although the estimates may speak against it.
    """

    later_ms: float = 0.0
    reserve_ms: float = 0.0
    is_probe: bool = False


NO_BUDGET = Budget()
TRIED_ANYWAY = Budget(is_probe=True)


def refuse_too_short(
    vm: Vm, pipeline: Pipeline, organisation: str, steps: Iterable[Step], due_ms: float
) -> bool:
    """Refuse a request whose steps, and those after them, cannot be in time.

    Returns whether it goes on as a probe.

    Raises
    ------
    CuminstileError
        With `DEADLINE_TOO_SHORT`; these steps have not run.
    """
    if not vm.settings.limits.predict:
        return False
    steps = tuple(steps)
    remaining_ms = due_ms - vm.clock.now_ms()

    def least(step: Step) -> float:
        return estimate_of_step(vm, pipeline, step).least_ms

    if longest(pipeline, steps, least) > remaining_ms:
        if vm.stage_times.is_probe((pipeline.name,)):
            return True
        raise too_short("the steps of this request take longer than its deadline")
    waits = {
        step.name: wait_of_step(vm, pipeline, organisation, step, due_ms)
        for step in pipeline.steps
    }
    if not any(waits.values()):
        return False

    def usual(step: Step) -> float:
        estimate = estimate_of_step(vm, pipeline, step)
        wait_ms = waits[step.name]
        return wait_ms + estimate.likely_ms if wait_ms else estimate.typical_ms

    if longest(pipeline, steps, usual) > remaining_ms:
        raise too_short("too much work waits for this request to be in time")
    return False


def budget_of(vm: Vm, pipeline: Pipeline, step: Step) -> Budget:
    """Return what a step has to leave to the steps after it."""
    later = [other for other in pipeline.steps if step.name in other.needs]
    if not later or not vm.settings.limits.predict:
        return NO_BUDGET

    def least(other: Step) -> float:
        return estimate_of_step(vm, pipeline, other).least_ms

    def typical(other: Step) -> float:
        return estimate_of_step(vm, pipeline, other).typical_ms

    later_ms = longest(pipeline, later, least)
    return Budget(later_ms, longest(pipeline, later, typical) - later_ms)


def steps_beside(pipeline: Pipeline, step: Step) -> list[Step]:
    """Return the steps that may run at the same time as one."""
    needs = {item.name: item.needs for item in pipeline.steps}

    def before(name: str) -> set[str]:
        return set(needs[name]).union(*(before(other) for other in needs[name]))

    own = before(step.name) | {step.name}
    return [
        other
        for other in pipeline.steps
        if other.name not in own and step.name not in before(other.name)
    ]


def longest(
    pipeline: Pipeline, steps: Iterable[Step], need_ms: Callable[[Step], float]
) -> float:
    """Return the time of the longest way from one of the steps to the end."""
    held: dict[str, float] = {}

    def from_here(step: Step) -> float:
        if step.name not in held:
            after = (item for item in pipeline.steps if step.name in item.needs)
            rest_ms = max((from_here(item) for item in after), default=0.0)
            held[step.name] = need_ms(step) + rest_ms
        return held[step.name]

    return max((from_here(step) for step in steps), default=0.0)


def estimate_of_step(vm: Vm, pipeline: Pipeline, step: Step) -> Estimate:
    """Return how long a step takes, `UNKNOWN` where that is not sure.

    A step that may not be repeated may have its answer kept under the key. During a
    traffic move the version is not drawn yet.
    """
    stage = vm.objects.stages[step.stage]
    if not stage.repeatable:
        return UNKNOWN
    version = version_of_step(vm, step)
    if not version:
        return UNKNOWN
    return vm.stage_times.estimate(version, pipeline.name, vm.clock.now_ms())


def version_of_step(vm: Vm, step: Step) -> str:
    """Return the version that a step will use, empty while a move goes on."""
    settled = settled_version_of(vm, step.stage)
    if move_under_way(vm, step.stage, settled) is not None:
        return ""
    return settled


def wait_of_step(
    vm: Vm, pipeline: Pipeline, organisation: str, step: Step, due_ms: float
) -> float:
    """Return how long a step has to wait for a slot, 0 where it need not."""
    version = version_of_step(vm, step)
    now_ms = vm.clock.now_ms()
    if not version or not vm.stage_times.waited_lately(version, now_ms):
        return 0.0
    wait_queue = vm.wait_queue.by_version.get(version)
    estimate = vm.stage_times.estimate(version, pipeline.name, now_ms)
    if wait_queue is None or estimate is UNKNOWN:
        return 0.0
    start_by_ms = due_ms - estimate.likely_ms
    weight = weight_of(vm, organisation)
    ticket = Ticket(organisation, weight, start_by_ms, estimate.typical_ms)
    return wait_in_line(vm, wait_queue, version, ticket)


def wait_in_line(
    vm: Vm, wait_queue: WaitQueue[Any], version: str, ticket: Ticket
) -> float:
    """Return how long a new call waits behind those that go before it.

    As many calls end in the time of a run as this VM has slots. Beside a cold
    upstream, which may get warm at any time, nothing is predicted.
    """
    states = [
        state
        for state in vm.upstreams.by_name.values()
        if version in state.upstream.versions
    ]
    slots = sum(slots_at(vm, state) for state in states)
    if not slots or any(state.condition is Condition.COLD for state in states):
        return 0.0
    return wait_behind(wait_queue, ticket, slots, vm.clock.now_ms())


def slots_at(vm: Vm, state: UpstreamState) -> int:
    """Return how many calls this VM has, or may have, at a warm upstream.

    What has just turned warm has few calls yet and bears more.
    """
    if state.condition is Condition.UNAVAILABLE:
        return 0
    own = vm.settings.name
    return max(state.in_flight, share(state, vm.upstreams.working or (own,), own))


def wait_behind(
    wait_queue: WaitQueue[Any], ticket: Ticket, slots: int, now_ms: float
) -> float:
    """Return how long a new call waits if the line is served by the fair shares.

    A call that is too late when its turn comes takes no time: after an upstream was
    away, a long line holds many such, and what comes new may be in time all the same.
    """
    queues: dict[str, list[Ticket]] = defaultdict(list)
    for waiter in wait_queue.waiting:
        queues[waiter.ticket.organisation].append(waiter.ticket)
    queues[ticket.organisation].append(ticket)
    for queue in queues.values():
        queue.sort(key=lambda item: item.start_by_ms, reverse=True)
    work_ms = max(MIN_WORK_MS, ticket.work_ms)
    used = [(wait_queue.shares.start_of(name), name) for name in queues]
    heapq.heapify(used)
    wait_ms = 0.0
    while True:
        used_ms, name = heapq.heappop(used)
        first = queues[name].pop()
        if first is ticket:
            return wait_ms
        if first.start_by_ms >= now_ms + wait_ms:
            wait_ms += work_ms / slots
            used_ms += work_ms / first.weight
        if queues[name]:
            heapq.heappush(used, (used_ms, name))


def weight_of(vm: Vm, organisation: str) -> int:
    """Return an organisation's share of a busy system against the others."""
    found = vm.objects.organisations.get(organisation)
    return found.weight if found else DEFAULT_WEIGHT


def latest_start_ms(vm: Vm, call: StageCall, must_wait: bool) -> float:
    """Return until when a call has to start to be in time.

    Where calls wait, one that starts later is refused although it might just be in
    time: its slot is worth more to another.
    """
    now_ms = vm.clock.now_ms()
    limits = vm.settings.limits
    if call.is_probe or not limits.predict or is_moving(vm, call):
        return call.deadline_ms
    estimate = vm.stage_times.estimate(call.version, call.pipeline, now_ms)
    if must_wait:
        return call.deadline_ms - call.reserve_ms - estimate.likely_ms
    latest_ms = call.deadline_ms - estimate.least_ms
    if latest_ms < now_ms and vm.stage_times.is_probe((call.version,)):
        return call.deadline_ms
    return latest_ms


def is_moving(vm: Vm, call: StageCall) -> bool:
    """Return whether a move goes on for the stage: each version has to be judged."""
    settled = settled_version_of(vm, call.stage)
    return move_under_way(vm, call.stage, settled) is not None


def refuse_long_wait(
    vm: Vm, call: StageCall, wait_queue: WaitQueue[Any], ticket: Ticket
) -> None:
    """Refuse a call that has found no free slot and would wait too long.

    Raises
    ------
    CuminstileError
        With `DEADLINE_TOO_SHORT`; nothing has run.
    """
    now_ms = vm.clock.now_ms()
    vm.stage_times.record_waiting(call.version, now_ms)
    if call.is_probe or not vm.settings.limits.predict or is_moving(vm, call):
        return
    if now_ms + wait_in_line(vm, wait_queue, call.version, ticket) > ticket.start_by_ms:
        raise too_short("too many calls wait for this one to be in time")


def too_short(message: str, ran: RunStatus = RunStatus.NOT_RUN) -> CuminstileError:
    """Return the refusal of what cannot be in time any more."""
    return CuminstileError(ErrorCode.DEADLINE_TOO_SHORT, message, ran)
