"""Run calls of non-repeatable stages at most once for each idempotency key."""

from __future__ import annotations

import math
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from .calls import RunTrace, StageCall, StageOutcome
from .claim_background import use_partition
from .claim_outcomes import decode_outcome, encode_failure, encode_outcome
from .claim_state import HeldClaim
from .clock import Clock
from .const import (
    CALLER_CLOCK_SKEW_MS,
    CLAIM_LOG_GRACE_MS,
    RESEND_WINDOW_MS,
)
from .events import Event
from .exceptions import CuminstileError, ErrorCode, PlatformUnavailableError, RunStatus
from .pipeline import internal_error
from .records.claim_log import Partition, wait_until
from .records.claim_projection import Claim
from .records.claim_records import (
    ClaimEntry,
    OutcomeEntry,
    VoidEntry,
    fingerprint_of,
    key_of,
    partition_of,
)
from .vm.claim_exchange import request_claim_outcome
from .vm.ending import shutting_down

if TYPE_CHECKING:
    from .runtime import Vm

Dispatch = Callable[[], Awaitable[StageOutcome]]

CLAIM_ID_BYTES = 8
HEALTH_CHECK_INTERVAL_MS = 100
RUN_GRACE_MS = 10_000


@dataclass
class OutcomeReply:
    """Outcome of a claim as its claimant reported it.

    Parameters
    ----------
    recorded : bytes
        The encoded outcome; empty until the claimant has reported one.
    no_reply_since_ms : float
        Monotonic time since which the claimant is known to report no outcome.
    """

    recorded: bytes = b""
    no_reply_since_ms: float = math.inf


async def run_once(
    vm: Vm, call: StageCall, trace: RunTrace, dispatch: Dispatch
) -> StageOutcome:
    """Run `dispatch`, or return the recorded outcome if the call's key has run.

    Raises
    ------
    CuminstileError
        The refusal; its `ran` shows whether the key may have run.
    """
    check_age(call, vm.clock.wall_ms())
    key = key_of(call)
    partition = use_partition(vm, partition_of(key))
    entry = ClaimEntry(key, b"", fingerprint_of(call))
    while True:
        effective_claim = partition.projection.effective_claim(key)
        if effective_claim is None:
            held = await claim_key(vm, partition, call, entry)
            if held is not None:
                return await run_claimed_call(vm, held, call, trace, dispatch)
            continue
        if effective_claim.entry.fingerprint != entry.fingerprint:
            raise CuminstileError(
                ErrorCode.KEY_REUSED, "the key was used for another request"
            )
        trace.maybe_ran = True
        recorded = await await_outcome(vm, partition, effective_claim, call.deadline_ms)
        if recorded:
            vm.metrics.claims_total.inc({"result": "replayed"})
            vm.journal.record(
                Event.CLAIM_REPLAYED, request=call.request, step=call.step
            )
            return decode_outcome(recorded)
        trace.maybe_ran = False


def check_age(call: StageCall, wall_ms: int) -> None:
    """Refuse a call without a key or with an issue time outside the resend window."""
    if not call.idempotency_key or not call.issued_at_ms:
        raise CuminstileError(
            ErrorCode.KEY_REQUIRED, "the call has no idempotency_key or no issued_at_ms"
        )
    if call.issued_at_ms > wall_ms + CALLER_CLOCK_SKEW_MS:
        raise CuminstileError(
            ErrorCode.KEY_FROM_FUTURE,
            f"issued_at_ms is more than {CALLER_CLOCK_SKEW_MS} ms ahead",
        )
    if call.issued_at_ms < wall_ms - RESEND_WINDOW_MS:
        raise key_too_old()


def key_too_old() -> CuminstileError:
    """Return the error for a key so old that its earlier runs are unknown."""
    return CuminstileError(
        ErrorCode.KEY_TOO_OLD,
        "the claim log does not cover a key of this age",
        RunStatus.UNKNOWN,
    )


async def claim_key(
    vm: Vm, partition: Partition, call: StageCall, wanted: ClaimEntry
) -> HeldClaim | None:
    """Claim a key; return the claim if it is the effective one, otherwise None.

    Before it returns, the claim has been read back from the log. A claim that is not
    the effective one, or that fails, is released.
    """
    claim_id = secrets.token_bytes(CLAIM_ID_BYTES)
    entry = ClaimEntry(wanted.key, claim_id, wanted.fingerprint)
    held = HeldClaim(entry, partition)
    check_health(vm, partition, call)
    vm.claims.held[claim_id] = held
    vm.activity.claims += 1
    began_ms = vm.clock.now_ms()
    partition.pending.claims.append(entry)
    partition.request_append()
    try:
        while claim_id not in partition.projection.by_claim:
            check_health(vm, partition, call)
            until_ms = min(
                call.deadline_ms, vm.clock.now_ms() + HEALTH_CHECK_INTERVAL_MS
            )
            await wait_until(vm.clock, partition.changed, until_ms)
        read_back = partition.projection.by_claim[claim_id]
        vm.metrics.claims_read_back_ms.observe({}, vm.clock.now_ms() - began_ms)
        check_window(partition, read_back, call)
    except BaseException:
        release_claim(vm, held)
        raise
    if partition.projection.effective_claim(entry.key) is not read_back:
        release_claim(vm, held)
        return None
    vm.metrics.claims_total.inc({"result": "first"})
    return held


def check_health(vm: Vm, partition: Partition, call: StageCall) -> None:
    """Refuse a call if its deadline has passed or the claim log is unavailable."""
    now_ms = vm.clock.now_ms()
    if now_ms >= call.deadline_ms:
        raise CuminstileError(ErrorCode.DEADLINE_PASSED, "the deadline has passed")
    if partition.is_unavailable(now_ms):
        raise PlatformUnavailableError(
            "the claim log is not responding; the key is not claimed"
        )


def check_window(partition: Partition, read_back: Claim, call: StageCall) -> None:
    """Refuse a key that may have an earlier claim in a part of the log not read.

    Compares with the platform's times of the records, so the result does not depend
    on this VM's clock.
    """
    if call.issued_at_ms > read_back.time_ms + CALLER_CLOCK_SKEW_MS:
        raise CuminstileError(
            ErrorCode.KEY_FROM_FUTURE, "issued_at_ms is ahead of the platform's time"
        )
    oldest_ms = read_back.time_ms - RESEND_WINDOW_MS - CALLER_CLOCK_SKEW_MS
    if call.issued_at_ms < oldest_ms:
        raise key_too_old()
    if (
        call.issued_at_ms - CALLER_CLOCK_SKEW_MS
        < partition.projection.complete_since_ms
    ):
        raise key_too_old()


def release_claim(vm: Vm, held: HeldClaim) -> None:
    """Void a claim whose call was not dispatched, so that a resend can run."""
    vm.metrics.claims_total.inc({"result": "given_up"})
    held.finished_ms = vm.clock.now_ms()
    held.finished.set()
    pending = held.partition.pending
    if held.entry in pending.claims:
        pending.claims.remove(held.entry)
        vm.activity.claims -= 1
        return
    pending.voids.append(VoidEntry(held.entry.claim))
    held.partition.request_append()


async def run_claimed_call(
    vm: Vm, held: HeldClaim, call: StageCall, trace: RunTrace, dispatch: Dispatch
) -> StageOutcome:
    """Run a claimed call; the run continues if its caller disconnects."""

    def check_send() -> None:
        if held.is_abandoned or vm.clock.now_ms() >= call.deadline_ms:
            raise CuminstileError(ErrorCode.DEADLINE_PASSED, "the deadline has passed")

    trace.check_send = check_send
    assert vm.claims.tasks is not None
    vm.claims.tasks.start_soon(execute, vm, held, call, trace, dispatch)
    try:
        await held.finished.wait()
    finally:
        held.is_abandoned = True
    if held.error is not None:
        raise held.error
    assert held.outcome is not None
    return held.outcome


async def execute(
    vm: Vm, held: HeldClaim, call: StageCall, trace: RunTrace, dispatch: Dispatch
) -> None:
    """Dispatch a claimed call and record its outcome."""
    limit_ms = call.deadline_ms + RUN_GRACE_MS
    held.error = CuminstileError(
        ErrorCode.UPSTREAM_FAILED,
        "the upstream did not respond in time",
        RunStatus.UNKNOWN,
    )

    async def run() -> None:
        try:
            held.outcome = await dispatch()
            held.error = None
        except CuminstileError as error:
            held.error = error
        except Exception as error:
            held.error = internal_error(vm, error)

    with vm.end_scopes.scope() as until_end:
        await run_until(vm.clock, limit_ms, run)
    if until_end.cancelled_caught and not trace.maybe_ran:
        held.error = shutting_down(vm)
    if held.outcome is not None:
        held.recorded = encode_outcome(held.outcome)
    elif trace.maybe_ran:
        held.recorded = encode_failure(held.error)
    if not held.recorded:
        release_claim(vm, held)
        return
    held.finished_ms = vm.clock.now_ms()
    held.finished.set()
    held.partition.pending.outcomes.append(
        OutcomeEntry(held.entry.claim, held.recorded)
    )
    held.partition.request_append()


async def run_until(
    clock: Clock, until_ms: float, work: Callable[[], Awaitable[None]]
) -> None:
    """Run `work` and cancel it at a monotonic time."""
    async with anyio.create_task_group() as tasks:

        async def end() -> None:
            await clock.sleep_ms(until_ms - clock.now_ms())
            tasks.cancel_scope.cancel()

        tasks.start_soon(end)
        await work()
        tasks.cancel_scope.cancel()


async def await_outcome(
    vm: Vm, partition: Partition, effective_claim: Claim, deadline_ms: float
) -> bytes:
    """Return the outcome of a claim as soon as its claimant or the log reports it.

    Returns empty bytes if the claim was voided.

    Raises
    ------
    CuminstileError
        With `CLAIMED_ELSEWHERE` if neither reports it in time.
    """
    reply = OutcomeReply()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(request_outcome, vm, partition, effective_claim, reply)
        while not (
            effective_claim.is_void or effective_claim.outcome or reply.recorded
        ):
            until_ms = min(deadline_ms, reply.no_reply_since_ms + CLAIM_LOG_GRACE_MS)
            if vm.clock.now_ms() >= until_ms:
                break
            await wait_until(vm.clock, partition.changed, until_ms)
        tasks.cancel_scope.cancel()
    if effective_claim.is_void:
        return b""
    if recorded := effective_claim.outcome or reply.recorded:
        return recorded
    raise CuminstileError(
        ErrorCode.CLAIMED_ELSEWHERE,
        f"{effective_claim.vm} has claimed the key and not reported its outcome",
        RunStatus.UNKNOWN,
    )


async def request_outcome(
    vm: Vm, partition: Partition, effective_claim: Claim, reply: OutcomeReply
) -> None:
    """Request the outcome of a claim from its claimant, this VM or another."""
    claim_id = effective_claim.entry.claim
    if effective_claim.vm != vm.settings.name:
        reply.recorded = await request_claim_outcome(
            vm, effective_claim.vm, effective_claim.incarnation, claim_id
        )
    elif held := vm.claims.held.get(claim_id):
        await held.finished.wait()
        reply.recorded = held.recorded
    if not reply.recorded:
        reply.no_reply_since_ms = vm.clock.now_ms()
    partition.notify()
