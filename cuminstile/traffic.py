"""Choose the version of each call during traffic moves and count its result."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import cbor2

from .calls import RunTrace, StageCall
from .evidence import CallCounter, CallResult
from .exceptions import CuminstileError, ErrorCode
from .moves import SHARES, MoveState, hash_position, route_number
from .recency import remember
from .records.verdicts import settled_version
from .traffic_state import NO_MOVE, FirstShareCalls, Traffic

if TYPE_CHECKING:
    from .runtime import Vm

MAX_CONSECUTIVE_EXCUSES = 5
MAX_FAILED_BODIES = 1_000
FIRST_SHARE_DRAW_FACTOR = 10.0


@dataclass(frozen=True)
class Assignment:
    """Version of a call, and the move that chose it if there is one.

    Parameters
    ----------
    version : str
        Empty if nothing serves the stage.
    move : int
        The number of the move; `NO_MOVE` without one.
    share : float
        The probability, 0 to 1, with which a call is routed to the new version.
    fallback : str
        The version for a retry if a call to the new version fails.
    """

    version: str
    move: int = NO_MOVE
    is_new: bool = False
    share: float = 0.0
    fallback: str = ""


def assign(vm: Vm, call: StageCall, has_upstream: Callable[[str], bool]) -> Assignment:
    """Return the version for a call.

    Raises
    ------
    CuminstileError
        With `NO_UPSTREAM` if the stage has no version.
    """
    settled = settled_version_of(vm, call.stage)
    if not settled:
        raise CuminstileError(
            ErrorCode.NO_UPSTREAM, f"no upstream serves stage {call.stage}"
        )
    state = active_move(vm, call.stage, settled)
    if state is None or not vm.traffic.knows_past_decisions():
        return Assignment(settled)
    share = state.share(vm.clock.wall_ms())
    is_new = is_routed_to_new(vm, state, call, share)
    version = state.move.to_version if is_new else settled
    if has_upstream(version):
        fallback = settled if is_new and has_upstream(settled) else ""
        return Assignment(version, state.number, is_new, share, fallback)
    other = settled if is_new else state.move.to_version
    return Assignment(other if is_new and has_upstream(other) else version)


def is_routed_to_new(vm: Vm, state: MoveState, call: StageCall, share: float) -> bool:
    """Return whether a call is routed to the new version.

    At the first share, this VM also limits the count, since by chance a bad version
    could get more than its share of the first calls. Where the count allows a call,
    half of the calls are drawn, so that the new version's calls have no fixed positions
    in the order.
    """
    position = hash_position(state.number, call.request, call.step)
    if share > SHARES[0]:
        return position < share
    first_share_calls = vm.traffic.first_share_calls.setdefault(
        state.number, FirstShareCalls()
    )
    first_share_calls.calls += 1
    is_within = (
        first_share_calls.new + 1 <= share * first_share_calls.calls + head_start(vm)
    )
    is_within = is_within and is_within_total_share(state, first_share_calls, share)
    is_new = is_within and position < FIRST_SHARE_DRAW_FACTOR * share
    first_share_calls.new += is_new
    return is_new


def head_start(vm: Vm) -> float:
    """Return the fraction of a call that this VM may be ahead at the first share.

    The VMs' fractions are spread evenly from 0 on. So the first calls to the new
    version come from one VM after the other, and not from all at once after each has
    had 20 calls.
    """
    names = sorted((*vm.members.by_name, vm.settings.name))
    return names.index(vm.settings.name) / len(names)


def is_within_total_share(
    state: MoveState, first_share_calls: FirstShareCalls, share: float
) -> bool:
    """Return whether one more call stays within the share of all VMs' known calls."""
    others = [*state.evidence_table.others.values()]
    calls = first_share_calls.calls + sum(evidence.total for evidence in others)
    new = first_share_calls.new + sum(evidence.new_total for evidence in others)
    return new + 1 <= share * calls


def settled_version_of(vm: Vm, stage: str) -> str:
    """Return the version that a stage uses apart from any active move."""
    if len(vm.objects.versions_by_stage.get(stage, ())) <= 1:
        return settled_version(vm.objects, (), stage)
    verdicts = vm.traffic.verdicts.by_number.values()
    return settled_version(vm.objects, verdicts, stage)


def active_move(vm: Vm, stage: str, settled: str) -> MoveState | None:
    """Return the state of the stage's active move, if there is one."""
    for state in vm.traffic.moves.values():
        if state.move.stage != stage or state.move.from_version != settled:
            continue
        is_published = state.move.name in vm.objects.moves
        if is_published and not vm.traffic.verdicts.of(state.number):
            return state
    return None


@contextmanager
def watch_call(
    vm: Vm, call: StageCall, assignment: Assignment, trace: RunTrace
) -> Iterator[None]:
    """Record the result of a call that runs within the block."""
    started_ms = vm.clock.now_ms()
    is_answered = False
    error: CuminstileError | None = None
    try:
        yield
        is_answered = True
    except CuminstileError as caught:
        error = caught
        raise
    finally:
        elapsed_ms = vm.clock.now_ms() - started_ms
        record_call(vm, call, assignment, trace, elapsed_ms, is_answered, error)


def record_call(
    vm: Vm,
    call: StageCall,
    assignment: Assignment,
    trace: RunTrace,
    elapsed_ms: float,
    is_answered: bool,
    error: CuminstileError | None,
) -> None:
    """Record a call's result for its move and its duration for its stage."""
    state = vm.traffic.moves.get(assignment.move)
    route = route_number(call.pipeline)
    is_new = assignment.is_new
    if state is not None:
        limit_ms = state.late_above_ms.get(route)
        is_late = limit_ms is not None and elapsed_ms > limit_ms
        result = result_of(trace, is_answered, is_late, error)
        result = apply_excuse(state, is_new, trace, result)
        if not failed_on_both_versions(vm.traffic, call, is_new, result):
            counter = state.evidence_table.own.setdefault(route, CallCounter())
            counter.count(result, is_new, assignment.share)
    is_own_answer = not (is_new and trace.failures)
    if is_answered and is_own_answer and not trace.excused:
        vm.traffic.latencies.record(
            call.version, call.pipeline, elapsed_ms, vm.clock.now_ms()
        )


def result_of(
    trace: RunTrace, is_answered: bool, is_late: bool, error: CuminstileError | None
) -> CallResult:
    """Return a call's result before excuses are applied."""
    if error is not None and error.code == ErrorCode.QUARANTINED:
        return CallResult.LEFT_OUT
    if trace.failures:
        return CallResult.FAILED
    if is_late:
        return CallResult.LATE
    if is_answered:
        return CallResult.GOOD
    return CallResult.FAILED if trace.excused else CallResult.LEFT_OUT


def apply_excuse(
    state: MoveState, is_new: bool, trace: RunTrace, result: CallResult
) -> CallResult:
    """Leave out a bad call that a cold start or an unavailable process may explain.

    After `MAX_CONSECUTIVE_EXCUSES` without a good call in between, bad calls count.
    """
    if result == CallResult.GOOD:
        state.consecutive_excuses[is_new] = 0
        return result
    if not trace.excused or trace.failures or result == CallResult.LEFT_OUT:
        return result
    used = state.consecutive_excuses.get(is_new, 0) + 1
    state.consecutive_excuses[is_new] = used
    return result if used > MAX_CONSECUTIVE_EXCUSES else CallResult.LEFT_OUT


def failed_on_both_versions(
    traffic: Traffic, call: StageCall, is_new: bool, result: CallResult
) -> bool:
    """Return whether a body failed that has also failed on the other version.

    Such a failure is no evidence against either version. After a good answer to the
    body, its failures count again.
    """
    bodies = traffic.failed_bodies
    if result != CallResult.FAILED and not bodies:
        return False
    digest = call_digest(call)
    if result != CallResult.FAILED:
        if result == CallResult.GOOD:
            bodies.pop(digest, None)
        return False
    failed_on = bodies.get(digest, frozenset())
    remember(bodies, digest, failed_on | {is_new}, MAX_FAILED_BODIES)
    return (not is_new) in failed_on


def call_digest(call: StageCall) -> bytes:
    """Return a digest of a call's stage and input."""
    body = cbor2.dumps([call.stage, call.input])
    return hashlib.blake2b(body, digest_size=16).digest()
