"""Refuse requests that cannot meet their deadline, and budget time between steps.

While no calls are queued, a request is refused only if its deadline is shorter than
what almost every run needs: an attempt takes no slot from other calls. While calls are
queued, a call that is likely to be late takes a slot from one that could be in time, so
queueing time and usual run times count as well.
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
from .traffic import active_move, settled_version_of
from .upstream.shares import share
from .upstream.table import Condition, UpstreamState

if TYPE_CHECKING:
    from .runtime import Vm

DEFAULT_WEIGHT = 1


@dataclass(frozen=True)
class Budget:
    """Time that a step has to leave to the steps after it.

    Parameters
    ----------
    later_ms : float
        The minimum that the later steps need.
    reserve_ms : float
        How much more than that they usually need.
    is_probe : bool
        Whether the step is tried even if the estimates say that it will be late.
    """

    later_ms: float = 0.0
    reserve_ms: float = 0.0
    is_probe: bool = False


NO_BUDGET = Budget()
PROBE_BUDGET = Budget(is_probe=True)


def refuse_infeasible(
    vm: Vm, pipeline: Pipeline, organisation: str, steps: Iterable[Step], due_ms: float
) -> bool:
    """Refuse a request if these steps and the later ones cannot meet the deadline.

    Returns
    -------
    bool
        Whether the request continues as a probe although it is estimated to be late.

    Raises
    ------
    CuminstileError
        With `DEADLINE_TOO_SHORT`; these steps have not run.
    """
    if not vm.settings.limits.predict:
        return False
    steps = tuple(steps)
    remaining_ms = due_ms - vm.clock.now_ms()

    def minimum_ms(step: Step) -> float:
        return estimate_of_step(vm, pipeline, step).least_ms

    if longest_path_ms(pipeline, steps, minimum_ms) > remaining_ms:
        if vm.stage_times.is_probe((pipeline.name,)):
            return True
        raise deadline_too_short(
            "the estimated run time of the steps exceeds the deadline"
        )
    waits = {
        step.name: step_wait_ms(vm, pipeline, organisation, step, due_ms)
        for step in pipeline.steps
    }
    if not any(waits.values()):
        return False

    def expected_ms(step: Step) -> float:
        estimate = estimate_of_step(vm, pipeline, step)
        wait_ms = waits[step.name]
        return wait_ms + estimate.likely_ms if wait_ms else estimate.typical_ms

    if longest_path_ms(pipeline, steps, expected_ms) > remaining_ms:
        raise deadline_too_short(
            "the estimated queueing and run time exceeds the deadline"
        )
    return False


def budget_of(vm: Vm, pipeline: Pipeline, step: Step) -> Budget:
    """Return the time that a step has to leave to the steps after it."""
    later = [other for other in pipeline.steps if step.name in other.needs]
    if not later or not vm.settings.limits.predict:
        return NO_BUDGET

    def minimum_ms(other: Step) -> float:
        return estimate_of_step(vm, pipeline, other).least_ms

    def median_ms(other: Step) -> float:
        return estimate_of_step(vm, pipeline, other).typical_ms

    later_ms = longest_path_ms(pipeline, later, minimum_ms)
    return Budget(later_ms, longest_path_ms(pipeline, later, median_ms) - later_ms)


def concurrent_steps(pipeline: Pipeline, step: Step) -> list[Step]:
    """Return the steps that may run at the same time as `step`."""
    needs = {item.name: item.needs for item in pipeline.steps}

    def ancestors(name: str) -> set[str]:
        return set(needs[name]).union(*(ancestors(other) for other in needs[name]))

    own = ancestors(step.name) | {step.name}
    return [
        other
        for other in pipeline.steps
        if other.name not in own and step.name not in ancestors(other.name)
    ]


def longest_path_ms(
    pipeline: Pipeline, steps: Iterable[Step], need_ms: Callable[[Step], float]
) -> float:
    """Return the time of the longest path from any of the steps to the end."""
    path_by_step_ms: dict[str, float] = {}

    def path_ms(step: Step) -> float:
        if step.name not in path_by_step_ms:
            after = (item for item in pipeline.steps if step.name in item.needs)
            rest_ms = max((path_ms(item) for item in after), default=0.0)
            path_by_step_ms[step.name] = need_ms(step) + rest_ms
        return path_by_step_ms[step.name]

    return max((path_ms(step) for step in steps), default=0.0)


def estimate_of_step(vm: Vm, pipeline: Pipeline, step: Step) -> Estimate:
    """Return how long a step takes, or `UNKNOWN` if that is not known.

    It is unknown for a non-repeatable step, whose outcome may already be recorded under
    the key, and during a traffic move, as the call's version is not chosen yet.
    """
    stage = vm.objects.stages[step.stage]
    if not stage.repeatable:
        return UNKNOWN
    version = version_of_step(vm, step)
    if not version:
        return UNKNOWN
    return vm.stage_times.estimate(version, pipeline.name, vm.clock.now_ms())


def version_of_step(vm: Vm, step: Step) -> str:
    """Return the version that a step will use; empty during a traffic move."""
    settled = settled_version_of(vm, step.stage)
    if active_move(vm, step.stage, settled) is not None:
        return ""
    return settled


def step_wait_ms(
    vm: Vm, pipeline: Pipeline, organisation: str, step: Step, due_ms: float
) -> float:
    """Return the predicted time until a step gets a slot; 0 if it need not wait."""
    version = version_of_step(vm, step)
    now_ms = vm.clock.now_ms()
    if not version or not vm.stage_times.waited_recently(version, now_ms):
        return 0.0
    wait_queue = vm.wait_queue.by_version.get(version)
    estimate = vm.stage_times.estimate(version, pipeline.name, now_ms)
    if wait_queue is None or estimate is UNKNOWN:
        return 0.0
    start_by_ms = due_ms - estimate.likely_ms
    weight = weight_of(vm, organisation)
    ticket = Ticket(organisation, weight, start_by_ms, estimate.typical_ms)
    return queue_wait_ms(vm, wait_queue, version, ticket)


def queue_wait_ms(
    vm: Vm, wait_queue: WaitQueue[Any], version: str, ticket: Ticket
) -> float:
    """Return the predicted time that a new call waits in a queue.

    Assumes that as many calls end in the time of one run as this VM has slots. Returns
    0 if an upstream of the version is cold, since it may become warm at any time.
    """
    states = [
        state
        for state in vm.upstreams.by_name.values()
        if version in state.upstream.versions
    ]
    slots = sum(slot_count(vm, state) for state in states)
    if not slots or any(state.condition is Condition.COLD for state in states):
        return 0.0
    return predict_wait_ms(wait_queue, ticket, slots, vm.clock.now_ms())


def slot_count(vm: Vm, state: UpstreamState) -> int:
    """Return how many calls this VM has or may have in flight at a warm upstream.

    An upstream that has just become warm has fewer calls in flight than its share.
    """
    if state.condition is Condition.UNAVAILABLE:
        return 0
    own = vm.settings.name
    return max(state.in_flight, share(state, vm.upstreams.working or (own,), own))


def predict_wait_ms(
    wait_queue: WaitQueue[Any], ticket: Ticket, slots: int, now_ms: float
) -> float:
    """Simulate fair-share scheduling and return how long a new call waits.

    A waiting call that has expired when its turn comes takes no time. After an upstream
    was unavailable, a long queue holds many expired calls, and a new call may still be
    in time.
    """
    queues: dict[str, list[Ticket]] = defaultdict(list)
    for waiter in wait_queue.waiting:
        queues[waiter.ticket.organisation].append(waiter.ticket)
    queues[ticket.organisation].append(ticket)
    for queue in queues.values():
        queue.sort(key=lambda item: item.start_by_ms, reverse=True)
    work_ms = max(MIN_WORK_MS, ticket.work_ms)
    used = [(wait_queue.shares.virtual_start_ms(name), name) for name in queues]
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
    """Return an organisation's weight for fair shares."""
    found = vm.objects.organisations.get(organisation)
    return found.weight if found else DEFAULT_WEIGHT


def latest_start_ms(vm: Vm, call: StageCall, must_wait: bool) -> float:
    """Return the latest monotonic time at which a call can start and be in time.

    If calls have to wait, a likely run time is assumed: a call that would start later
    might still be in time, but its slot is of more use to another call.
    """
    now_ms = vm.clock.now_ms()
    limits = vm.settings.limits
    if call.is_probe or not limits.predict or has_active_move(vm, call):
        return call.deadline_ms
    estimate = vm.stage_times.estimate(call.version, call.pipeline, now_ms)
    if must_wait:
        return call.deadline_ms - call.reserve_ms - estimate.likely_ms
    latest_ms = call.deadline_ms - estimate.least_ms
    if latest_ms < now_ms and vm.stage_times.is_probe((call.version,)):
        return call.deadline_ms
    return latest_ms


def has_active_move(vm: Vm, call: StageCall) -> bool:
    """Return whether a move of the stage is active, so both versions need calls."""
    settled = settled_version_of(vm, call.stage)
    return active_move(vm, call.stage, settled) is not None


def refuse_long_wait(
    vm: Vm, call: StageCall, wait_queue: WaitQueue[Any], ticket: Ticket
) -> None:
    """Refuse a call that found no free slot and would wait too long.

    Raises
    ------
    CuminstileError
        With `DEADLINE_TOO_SHORT`; nothing has run.
    """
    now_ms = vm.clock.now_ms()
    vm.stage_times.record_waiting(call.version, now_ms)
    if call.is_probe or not vm.settings.limits.predict or has_active_move(vm, call):
        return
    if (
        now_ms + queue_wait_ms(vm, wait_queue, call.version, ticket)
        > ticket.start_by_ms
    ):
        raise deadline_too_short("the estimated queueing time exceeds the deadline")


def deadline_too_short(
    message: str, ran: RunStatus = RunStatus.NOT_RUN
) -> CuminstileError:
    """Return the error for work that cannot meet its deadline."""
    return CuminstileError(ErrorCode.DEADLINE_TOO_SHORT, message, ran)
