"""Run what may not be repeated at most once for each idempotency key."""

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
from .claim_state import Held
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

if TYPE_CHECKING:
    from .runtime import Vm

Dispatch = Callable[[], Awaitable[StageOutcome]]

CLAIM_BYTES = 8
HEALTH_CHECK_MS = 100
RUN_GRACE_MS = 10_000


@dataclass
class Told:
    """Hold what a claimant said of its claim.

    Parameters
    ----------
    gone_ms : float
        Monotonic time since which the claimant is known to say nothing.
    """

    recorded: bytes = b""
    gone_ms: float = math.inf


async def run_once(
    vm: Vm, call: StageCall, trace: RunTrace, dispatch: Dispatch
) -> StageOutcome:
    """Run `dispatch` unless the call's key has run, or give its recorded outcome.

    Raises
    ------
    CuminstileError
        The refusal, with what is known about the key's run.
    """
    check_age(call, vm.clock.wall_ms())
    key = key_of(call)
    part = use_partition(vm, partition_of(key))
    entry = ClaimEntry(key, b"", fingerprint_of(call))
    while True:
        effective_claim = part.projection.effective_claim(key)
        if effective_claim is None:
            held = await claim(vm, part, call, entry)
            if held is not None:
                return await run_held(vm, held, call, trace, dispatch)
            continue
        if effective_claim.entry.fingerprint != entry.fingerprint:
            raise CuminstileError(
                ErrorCode.KEY_REUSED, "the key was used for another request"
            )
        trace.maybe_ran = True
        recorded = await outcome_of(vm, part, effective_claim, call.deadline_ms)
        if recorded:
            vm.metrics.claims_total.inc({"result": "replayed"})
            vm.journal.record(
                Event.CLAIM_REPLAYED, request=call.request, step=call.step
            )
            return decode_outcome(recorded)
        trace.maybe_ran = False


def check_age(call: StageCall, wall_ms: int) -> None:
    """Refuse a call without a key, or with an issue time that is out of bounds."""
    if not call.idempotency_key or not call.issued_at_ms:
        raise CuminstileError(ErrorCode.KEY_REQUIRED, "the call carries no key")
    if call.issued_at_ms > wall_ms + CALLER_CLOCK_SKEW_MS:
        raise CuminstileError(
            ErrorCode.KEY_FROM_FUTURE,
            f"issued_at_ms is more than {CALLER_CLOCK_SKEW_MS} ms ahead",
        )
    if call.issued_at_ms < wall_ms - RESEND_WINDOW_MS:
        raise too_old()


def too_old() -> CuminstileError:
    """Return the error for a key whose earlier sendings are not known any more."""
    return CuminstileError(
        ErrorCode.KEY_TOO_OLD, "the log tells no more of the key", RunStatus.UNKNOWN
    )


async def claim(
    vm: Vm, part: Partition, call: StageCall, wanted: ClaimEntry
) -> Held | None:
    """Claim a key and return the claim if it is the first that stands.

    The claim has been read back from the log then. Otherwise it is given up.
    """
    name = secrets.token_bytes(CLAIM_BYTES)
    entry = ClaimEntry(wanted.key, name, wanted.fingerprint)
    held = Held(entry, part)
    check_health(vm, part, call)
    vm.claims.held[name] = held
    vm.activity.claims += 1
    began_ms = vm.clock.now_ms()
    part.pending.claims.append(entry)
    part.request_append()
    try:
        while name not in part.projection.by_claim:
            check_health(vm, part, call)
            until_ms = min(call.deadline_ms, vm.clock.now_ms() + HEALTH_CHECK_MS)
            await wait_until(vm.clock, part.changed, until_ms)
        read_back = part.projection.by_claim[name]
        vm.metrics.claims_read_back_ms.observe({}, vm.clock.now_ms() - began_ms)
        check_window(part, read_back, call)
    except BaseException:
        give_up(vm, held)
        raise
    if part.projection.effective_claim(entry.key) is not read_back:
        give_up(vm, held)
        return None
    vm.metrics.claims_total.inc({"result": "first"})
    return held


def check_health(vm: Vm, part: Partition, call: StageCall) -> None:
    """Refuse a call whose deadline has passed or whose log does not answer."""
    now_ms = vm.clock.now_ms()
    if now_ms >= call.deadline_ms:
        raise CuminstileError(ErrorCode.DEADLINE_PASSED, "the deadline has passed")
    if part.is_unavailable(now_ms):
        raise PlatformUnavailableError(
            "the platform does not answer; the key is not claimed"
        )


def check_window(part: Partition, read_back: Claim, call: StageCall) -> None:
    """Refuse a key that may have been claimed before what was read of the log.

    Both times are the platform's, so this VM's clock does not matter.
    """
    if call.issued_at_ms > read_back.time_ms + CALLER_CLOCK_SKEW_MS:
        raise CuminstileError(
            ErrorCode.KEY_FROM_FUTURE, "issued_at_ms is ahead of the platform's time"
        )
    oldest_ms = read_back.time_ms - RESEND_WINDOW_MS - CALLER_CLOCK_SKEW_MS
    if call.issued_at_ms < oldest_ms:
        raise too_old()
    if call.issued_at_ms - CALLER_CLOCK_SKEW_MS < part.projection.complete_since_ms:
        raise too_old()


def give_up(vm: Vm, held: Held) -> None:
    """Take back a claim that is not dispatched, so that a resend can run."""
    vm.metrics.claims_total.inc({"result": "given_up"})
    held.finished_ms = vm.clock.now_ms()
    held.finished.set()
    pending = held.part.pending
    if held.entry in pending.claims:
        pending.claims.remove(held.entry)
        vm.activity.claims -= 1
        return
    pending.voids.append(VoidEntry(held.entry.claim))
    held.part.request_append()


async def run_held(
    vm: Vm, held: Held, call: StageCall, trace: RunTrace, dispatch: Dispatch
) -> StageOutcome:
    """Run a claimed call; the run goes on when its caller has left."""

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
    vm: Vm, held: Held, call: StageCall, trace: RunTrace, dispatch: Dispatch
) -> None:
    """Dispatch a claimed call and record how it ended."""
    limit_ms = call.deadline_ms + RUN_GRACE_MS
    held.error = CuminstileError(
        ErrorCode.UPSTREAM_FAILED, "the upstream gave no answer", RunStatus.UNKNOWN
    )

    async def run() -> None:
        try:
            held.outcome = await dispatch()
            held.error = None
        except CuminstileError as error:
            held.error = error
        except Exception as error:
            held.error = internal_error(vm, error)

    await run_until(vm.clock, limit_ms, run)
    if held.outcome is not None:
        held.recorded = encode_outcome(held.outcome)
    elif trace.maybe_ran:
        held.recorded = encode_failure(held.error)
    if not held.recorded:
        give_up(vm, held)
        return
    held.finished_ms = vm.clock.now_ms()
    held.finished.set()
    held.part.pending.outcomes.append(OutcomeEntry(held.entry.claim, held.recorded))
    held.part.request_append()


async def run_until(
    clock: Clock, until_ms: float, work: Callable[[], Awaitable[None]]
) -> None:
    """Run `work`, at most until a monotonic time."""
    async with anyio.create_task_group() as tasks:

        async def end() -> None:
            await clock.sleep_ms(until_ms - clock.now_ms())
            tasks.cancel_scope.cancel()

        tasks.start_soon(end)
        await work()
        tasks.cancel_scope.cancel()


async def outcome_of(
    vm: Vm, part: Partition, effective_claim: Claim, deadline_ms: float
) -> bytes:
    """Return the outcome of a claim as soon as its claimant or the log tells it.

    Returns nothing if the claim was voided.

    Raises
    ------
    CuminstileError
        With `CLAIMED_ELSEWHERE` if neither tells it in time.
    """
    told = Told()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask, vm, part, effective_claim, told)
        while not (effective_claim.is_void or effective_claim.outcome or told.recorded):
            until_ms = min(deadline_ms, told.gone_ms + CLAIM_LOG_GRACE_MS)
            if vm.clock.now_ms() >= until_ms:
                break
            await wait_until(vm.clock, part.changed, until_ms)
        tasks.cancel_scope.cancel()
    if effective_claim.is_void:
        return b""
    if recorded := effective_claim.outcome or told.recorded:
        return recorded
    raise CuminstileError(
        ErrorCode.CLAIMED_ELSEWHERE,
        f"{effective_claim.vm} holds the key and has not told its outcome",
        RunStatus.UNKNOWN,
    )


async def ask(vm: Vm, part: Partition, effective_claim: Claim, told: Told) -> None:
    """Ask the claimant, this VM or another, for the outcome of its claim."""
    name = effective_claim.entry.claim
    if effective_claim.vm != vm.settings.name:
        told.recorded = await request_claim_outcome(
            vm, effective_claim.vm, effective_claim.incarnation, name
        )
    elif held := vm.claims.held.get(name):
        await held.finished.wait()
        told.recorded = held.recorded
    if not told.recorded:
        told.gone_ms = vm.clock.now_ms()
    part.notify()
